//! Simulates days of failures to compare the policies for replacing lost copies.
//!
//! Run it with `cargo run -p mimosashift --example placement`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;

use mimosashift::order::placement::{Policy, RangeCopies, plan};
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 10;
const DAY_S: u64 = 86_400;
const DAYS: u64 = 10;
/// Replicas of each of the four models; 1,000 in all.
const REPLICAS: [u16; 4] = [700, 200, 80, 20];
/// Stages of a replica, each on one accelerator.
const STAGES: usize = 4;
const RANGES: usize = REPLICAS.len() * STAGES;
/// Accelerators per VM.
const VM_ACCELERATORS: usize = 4;
const VMS: usize = 1_000;
const RACK_VMS: usize = 25;
const VM_FAILURES_PER_DAY: u64 = 9;
const VM_RESTARTS_PER_DAY: u64 = 170;
const RACK_LOSS_PER_DAYS: u64 = 45;
const RESTART_S: u64 = 300;
const FAILURE_S: u64 = 3_600;
const RACK_S: u64 = 4 * 3_600;
const DETECT_S: u64 = 10;
const STAGE_GB: u64 = 20;
const STORE_GB_PER_S: u64 = 5;
const MAX_LOADS: u16 = 8;
/// Endpoints that can hold one range in addition to their own.
const SPARE_SLOTS: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Lost { vm: usize, down_s: u64 },
    Detected,
    Restored { vm: usize },
    Loaded { slot: Slot },
}

/// Destination of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Slot {
    Own { accelerator: usize, epoch: u32 },
    Spare { range: usize },
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    /// Copy-hours below the wanted number of copies.
    missing_copy_h: f64,
    /// Range-hours with less than 90 % of the wanted copies.
    short_range_h: f64,
    read_tb: f64,
    fewest_percent: u64,
}

struct Simulation {
    policy: Policy,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// The range assigned to each accelerator.
    assigned: Vec<usize>,
    live: Vec<bool>,
    down: Vec<u32>,
    epochs: Vec<u32>,
    spares: [u16; RANGES],
    spare_loads: [u16; RANGES],
    own_live: [u16; RANGES],
    queue: Vec<Slot>,
    loading: u16,
    store_free_at: u64,
    results: Results,
}

fn wanted(range: usize) -> u16 {
    REPLICAS[range / STAGES]
}

impl Simulation {
    fn new(policy: Policy, rng: &mut Pcg64Mcg) -> Self {
        let mut assigned: Vec<usize> = (0..RANGES)
            .flat_map(|range| std::iter::repeat_n(range, wanted(range).into()))
            .collect();
        for at in (1..assigned.len()).rev() {
            assigned.swap(at, rng.random_range(0..=at));
        }
        let accelerators = assigned.len();
        assert_eq!(accelerators, VMS * VM_ACCELERATORS);
        Self {
            policy,
            now: 0,
            events: BinaryHeap::new(),
            assigned,
            live: vec![true; accelerators],
            down: vec![0; VMS],
            epochs: vec![0; accelerators],
            spares: [0; RANGES],
            spare_loads: [0; RANGES],
            own_live: std::array::from_fn(wanted),
            queue: Vec::new(),
            loading: 0,
            store_free_at: 0,
            results: Results { fewest_percent: 100, ..Results::default() },
        }
    }

    /// Schedules random failures, the same ones for each policy.
    fn schedule_failures(&mut self, rng: &mut Pcg64Mcg) {
        let kinds = [(VM_FAILURES_PER_DAY, FAILURE_S), (VM_RESTARTS_PER_DAY, RESTART_S)];
        for (per_day, down_s) in kinds {
            for _ in 0..per_day * DAYS {
                let vm = rng.random_range(0..VMS);
                self.events
                    .push(Reverse((rng.random_range(0..DAYS * DAY_S), Event::Lost { vm, down_s })));
            }
        }
        // At most one rack is lost, with the probability given by its rate.
        if rng.random_range(0..RACK_LOSS_PER_DAYS) < DAYS {
            let at = rng.random_range(0..DAYS * DAY_S);
            let first = rng.random_range(0..VMS / RACK_VMS) * RACK_VMS;
            for vm in first..first + RACK_VMS {
                self.events.push(Reverse((at, Event::Lost { vm, down_s: RACK_S })));
            }
        }
    }

    fn run(mut self) -> Results {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at >= DAYS * DAY_S {
                break;
            }
            self.account(at);
            self.now = at;
            self.handle(event);
            self.start_loads();
        }
        self.account(DAYS * DAY_S);
        self.results
    }

    fn copies(&self, range: usize) -> u16 {
        self.own_live[range] + self.spares[range]
    }

    fn account(&mut self, until: u64) {
        let hours = (until - self.now) as f64 / 3_600.0;
        for range in 0..RANGES {
            let (wanted, live) = (wanted(range), self.copies(range));
            self.results.missing_copy_h += f64::from(wanted.saturating_sub(live)) * hours;
            if live * 10 < wanted * 9 {
                self.results.short_range_h += hours;
            }
            let percent = u64::from(live) * 100 / u64::from(wanted);
            self.results.fewest_percent = self.results.fewest_percent.min(percent);
        }
    }

    fn schedule(&mut self, seconds: u64, event: Event) {
        self.events.push(Reverse((self.now + seconds, event)));
    }

    fn accelerators(vm: usize) -> std::ops::Range<usize> {
        vm * VM_ACCELERATORS..(vm + 1) * VM_ACCELERATORS
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Lost { vm, down_s } => {
                self.down[vm] += 1;
                for accelerator in Self::accelerators(vm) {
                    self.epochs[accelerator] += 1;
                    if std::mem::replace(&mut self.live[accelerator], false) {
                        self.own_live[self.assigned[accelerator]] -= 1;
                    }
                }
                self.schedule(DETECT_S, Event::Detected);
                self.schedule(down_s, Event::Restored { vm });
            }
            Event::Detected => self.replace_lost(),
            Event::Restored { vm } => {
                self.down[vm] -= 1;
                if self.down[vm] == 0 {
                    for accelerator in Self::accelerators(vm) {
                        let epoch = self.epochs[accelerator];
                        self.queue.push(Slot::Own { accelerator, epoch });
                    }
                }
            }
            Event::Loaded { slot } => self.loaded(slot),
        }
    }

    /// Queues copies for spare slots according to the policy.
    fn replace_lost(&mut self) {
        let held = self.spares.iter().chain(&self.spare_loads).map(|n| usize::from(*n)).sum();
        let ranges: [RangeCopies; RANGES] = std::array::from_fn(|range| RangeCopies {
            wanted: wanted(range),
            live: self.copies(range),
            loading: self.spare_loads[range],
        });
        for range in plan(self.policy, &ranges, SPARE_SLOTS.saturating_sub(held)) {
            self.spare_loads[range] += 1;
            self.queue.push(Slot::Spare { range });
        }
    }

    fn range(&self, slot: Slot) -> usize {
        match slot {
            Slot::Own { accelerator, .. } => self.assigned[accelerator],
            Slot::Spare { range } => range,
        }
    }

    /// Starts loads within the store's limits, range with the lowest share of copies first.
    fn start_loads(&mut self) {
        while self.loading < MAX_LOADS && !self.queue.is_empty() {
            let copy_share = |slot: &Slot| {
                let range = self.range(*slot);
                u32::from(self.copies(range)) * 1_000 / u32::from(wanted(range))
            };
            let at = (0..self.queue.len()).min_by_key(|at| copy_share(&self.queue[*at]));
            let slot = self.queue.remove(at.expect("the queue is not empty"));
            self.loading += 1;
            self.store_free_at = self.store_free_at.max(self.now) + STAGE_GB / STORE_GB_PER_S;
            self.results.read_tb += STAGE_GB as f64 / 1_000.0;
            self.events.push(Reverse((self.store_free_at, Event::Loaded { slot })));
        }
    }

    fn loaded(&mut self, slot: Slot) {
        self.loading -= 1;
        match slot {
            Slot::Spare { range } => {
                self.spare_loads[range] -= 1;
                self.spares[range] += 1;
            }
            Slot::Own { accelerator, epoch } if self.epochs[accelerator] == epoch => {
                let range = self.assigned[accelerator];
                self.live[accelerator] = true;
                self.own_live[range] += 1;
                if self.copies(range) > wanted(range) && self.spares[range] > 0 {
                    self.spares[range] -= 1;
                }
            }
            Slot::Own { .. } => {}
        }
    }
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    let days = (SEEDS * DAYS) as f64;
    writeln!(out, "policy      missing copy-h/day  short range-h/day  read TB/day  fewest copies")?;
    let policies = [
        Policy::Wait,
        Policy::EveryLoss,
        Policy::Below(98),
        Policy::Below(95),
        Policy::Below(90),
        Policy::Below(80),
    ];
    for policy in policies {
        let mut total = Results { fewest_percent: 100, ..Results::default() };
        for seed in 0..SEEDS {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut simulation = Simulation::new(policy, &mut rng);
            simulation.schedule_failures(&mut rng);
            let results = simulation.run();
            total.missing_copy_h += results.missing_copy_h;
            total.short_range_h += results.short_range_h;
            total.read_tb += results.read_tb;
            total.fewest_percent = total.fewest_percent.min(results.fewest_percent);
        }
        writeln!(
            out,
            "{:<11} {:>18.2} {:>18.3} {:>12.2} {:>13}%",
            format!("{policy:?}"),
            total.missing_copy_h / days,
            total.short_range_h / days,
            total.read_tb / days,
            total.fewest_percent,
        )?;
    }
    Ok(())
}
