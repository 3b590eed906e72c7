//! Simulation of the pipeline machine with fake engines and seeded faults.

mod engine;
mod world;

use std::time::Duration;

use mimosashift::engine::RequestId;
use mimosashift::pipeline::retry::{Budget, BudgetSettings};
use mimosashift::pipeline::{Context, Effect, HedgedRequest, Outcome, Request, TimeoutLimits};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use engine::{FAULTS, Fault, oracle};
use world::{Budgets, ENDPOINTS, Event, Mutant, RANGES, REPLICAS, World, chain, cost, ms};

/// Tokens of a completion.
const TOKENS: u32 = 16;
/// Maximum events of one request; more means that the request never ends.
const MAX_EVENTS: usize = 100_000;

/// Results of the seeds of a run.
#[derive(Debug, Default)]
struct Stats {
    completed: u32,
    recovered: u32,
    failed: u32,
    not_run: u32,
    deadline: u32,
    cancelled: u32,
    dropped: u32,
    copied: u32,
    rebuilt: u32,
    hedged: u32,
    unexpected_failures: u32,
    violations: Vec<String>,
}

/// One request and the faults that affect it.
struct Schedule {
    prompt: Vec<u32>,
    first: Vec<usize>,
    deadline: Instant,
    /// Whether the request must complete: one endpoint of each range stays free
    /// of faults, and the deadline leaves enough time.
    must_complete: bool,
    burst: f64,
    /// Start, endpoint, kind and duration of each fault.
    faults: Vec<(Duration, usize, Fault, Duration)>,
    cancel: Option<Duration>,
    hedge: Option<Duration>,
}

impl Schedule {
    fn without_faults(rng: &mut Pcg64Mcg) -> Self {
        let tokens = rng.random_range(1..12);
        Self {
            prompt: (0..tokens).map(|_| rng.random_range(0..999)).collect(),
            first: (0..RANGES.len()).map(|r| r * REPLICAS + rng.random_range(0..3)).collect(),
            deadline: Instant::from_millis(30_000),
            must_complete: true,
            burst: 1_000.0,
            faults: Vec::new(),
            cancel: None,
            hedge: None,
        }
    }

    fn random(rng: &mut Pcg64Mcg) -> Self {
        let mut schedule = Self::without_faults(rng);
        schedule.must_complete = rng.random_bool(0.7);
        let delay = ms(rng.random_range(0..30));
        schedule.hedge = rng.random_bool(0.5).then_some(delay);
        for _ in 0..rng.random_range(0..12) {
            let at = rng.random_range(0..ENDPOINTS);
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let (after, duration) = (rng.random_range(0..250), rng.random_range(5..1_500));
            if !schedule.must_complete || at % REPLICAS != 0 {
                schedule.faults.push((ms(after), at, fault, ms(duration)));
            }
        }
        if !schedule.must_complete {
            schedule.deadline = Instant::from_millis(rng.random_range(10..3_000));
            let after = ms(rng.random_range(0..500));
            schedule.cancel = rng.random_bool(0.1).then_some(after);
            if rng.random_bool(0.3) {
                schedule.add_initial_faults(rng);
            }
        }
        schedule
    }

    /// Adds faults from the first step on and allows few retries, so that some
    /// requests end before any step has run.
    fn add_initial_faults(&mut self, rng: &mut Pcg64Mcg) {
        self.burst = 2.0;
        for at in 0..ENDPOINTS {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let duration = ms(rng.random_range(5..3_000));
            self.faults.push((Duration::ZERO, at, fault, duration));
            self.faults.push((Duration::ZERO, at, Fault::Duplicate, duration));
        }
    }

    fn request(&self) -> Request {
        Request {
            id: RequestId(1),
            prompt: self.prompt.clone(),
            max_tokens: TOKENS,
            stop: None,
            deadline: self.deadline,
            priority: 0,
            adapter: None,
        }
    }
}

fn run(seed: u64, mutant: Mutant, stats: &mut Stats) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let schedule = Schedule::random(&mut rng);
    let (world, hedge) = simulate(&schedule, mutant, rng);
    check_result(seed, &schedule, &hedge, world, stats);
}

/// Runs a schedule until nothing is left in flight.
fn simulate(schedule: &Schedule, mutant: Mutant, rng: Pcg64Mcg) -> (World, HedgedRequest) {
    let first = schedule.first.iter().copied().zip(RANGES).collect();
    let mut world = World::new(oracle(&schedule.prompt), mutant, rng);
    for (after, at, fault, duration) in &schedule.faults {
        world.enqueue(*after, Event::Fault(*at, *fault, *duration));
    }
    if let Some(after) = schedule.cancel {
        world.enqueue(after, Event::Cancel);
    }
    let share = BudgetSettings { burst: schedule.burst, ..BudgetSettings::default() };
    let hedges = Budget::new(BudgetSettings { burst: 10.0, ..share }, Instant::ZERO);
    let mut budgets = Budgets { retries: Budget::new(share, Instant::ZERO), hedges };
    let mut ctx =
        Context { now: Instant::ZERO, rng: &mut Pcg64Mcg::new(1), budget: &mut budgets.retries };
    let (mut hedge, actions) = HedgedRequest::start(
        &mut ctx,
        schedule.request(),
        chain(first),
        cost(1_000),
        TimeoutLimits::default(),
        schedule.hedge,
    );
    world.act(actions);
    for _ in 0..MAX_EVENTS {
        let next = world.events.keys().next().map(|(at, _)| *at);
        let timer = hedge.next_deadline();
        match (next, timer) {
            (None, None) => break,
            (Some(at), _) if timer.is_none_or(|timer| at < timer) => {
                world.now = at.max(world.now);
                let (_, event) = world.events.pop_first().expect("an event is next");
                world.handle(event, &mut hedge, &mut budgets);
            }
            (_, timer) => {
                world.now = timer.expect("no event is next").max(world.now);
                if mutant == Mutant::IgnoreDeadline && timer == Some(schedule.deadline) {
                    world.now = schedule.deadline + ms(500);
                }
                world.handle(Event::Timer, &mut hedge, &mut budgets);
            }
        }
    }
    (world, hedge)
}

fn check_result(
    seed: u64,
    schedule: &Schedule,
    hedge: &HedgedRequest,
    mut world: World,
    stats: &mut Stats,
) {
    stats.dropped += hedge.total_dropped();
    stats.hedged += u32::from(hedge.hedged());
    stats.copied += world.copied;
    stats.rebuilt += world.rebuilt;
    let outcome = world.outcome.take();
    world.check(outcome.is_some(), "the request never ended");
    let Some((at, mut outcome)) = outcome else {
        return stats.violations.push(format!("seed {seed}: never ended"));
    };
    world.check(at <= schedule.deadline, "the end came after the deadline");
    if let (Mutant::ReportNotRun, Outcome::Failed { effect, .. }) = (world.mutant, &mut outcome) {
        *effect = Effect::NotRun;
    }
    let kept = world.engines.iter().any(|engine| !engine.caches.is_empty());
    world.check(!kept, "an engine was left with a cache");
    let ran = world.engines.iter().any(|engine| engine.steps_run > 0);
    match outcome {
        Outcome::Complete => {
            world.check(
                world.emitted == world.expected,
                "complete, but the tokens are not the expected ones",
            );
            stats.completed += 1;
            stats.recovered += u32::from(hedge.recoveries() > 0);
        }
        Outcome::Cancelled => stats.cancelled += 1,
        Outcome::Failed { effect, .. } | Outcome::DeadlineExceeded { effect } => {
            if effect == Effect::NotRun {
                stats.not_run += 1;
                world.check(!ran, "reported as not run, but ran");
            }
            match outcome {
                Outcome::Failed { .. } => stats.failed += 1,
                _ => stats.deadline += 1,
            }
            if schedule.must_complete {
                stats.unexpected_failures += 1;
                world.check(false, "failed although it must complete");
            }
        }
    }
    stats.violations.extend(world.violations.drain(..).map(|v| format!("seed {seed}: {v}")));
}

#[test_case(0; "seeds from 0")]
#[test_case(5_000; "seeds from 5000")]
#[test_case(10_000; "seeds from 10000")]
#[test_case(15_000; "seeds from 15000")]
fn invariants_hold_under_faults(first: u64) {
    let mut stats = Stats::default();
    (first..first + 5_000).for_each(|seed| run(seed, Mutant::None, &mut stats));
    eprintln!("{stats:?}");
    assert!(stats.violations.is_empty(), "{:#?}", &stats.violations);
    assert_eq!(stats.unexpected_failures, 0);
    assert!(stats.recovered > 1_000 && stats.not_run > 10 && stats.dropped > 1_000);
}

#[test_case(Mutant::AnyRequest, "a wrong token"; "ledger ignores request")]
#[test_case(Mutant::AnyVersion, "a wrong token"; "ledger ignores version")]
#[test_case(Mutant::AnyAttempt, "a wrong token"; "ledger ignores attempt")]
#[test_case(Mutant::AnyPosition, "a wrong token"; "ledger ignores position")]
#[test_case(Mutant::AnyLayers, "a wrong token"; "ledger ignores layers")]
#[test_case(Mutant::EmitTwice, "a wrong token"; "token emitted twice")]
#[test_case(Mutant::ReportNotRun, "reported as not run, but ran"; "false report of not run")]
#[test_case(Mutant::KeepCache, "left with a cache"; "cache not released")]
#[test_case(Mutant::IgnoreDeadline, "after the deadline"; "deadline ignored")]
fn checks_find_a_faulty_machine(mutant: Mutant, violation: &str) {
    let mut stats = Stats::default();
    (0..3_000).for_each(|seed| run(seed, mutant, &mut stats));
    assert!(stats.violations.iter().any(|found| found.contains(violation)), "{stats:?}");
}

/// A single lost stage delays the next token by one second at most.
#[test_case(Fault::Kill; "killed")]
#[test_case(Fault::Restart; "restarted")]
#[test_case(Fault::Pause; "paused")]
#[test_case(Fault::Leave; "leaving")]
#[test_case(Fault::LoseRequests; "requests lost")]
#[test_case(Fault::LoseReplies; "replies lost")]
fn one_loss_pauses_for_a_second_at_most(fault: Fault) {
    let mut pauses: Vec<Duration> = (0..1_000).map(|seed| pause(seed, fault)).collect();
    pauses.sort();
    eprintln!("{fault:?}: median {:?}, 99% {:?}, most {:?}", pauses[500], pauses[990], pauses[999]);
    assert!(pauses[999] <= ms(1_000));
}

/// Returns the longest time between two tokens.
fn pause(seed: u64, fault: Fault) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut schedule = Schedule::without_faults(&mut rng);
    let at = schedule.first[rng.random_range(0..RANGES.len())];
    let after = ms(rng.random_range(40..120));
    schedule.faults.push((after, at, fault, ms(60_000)));
    let (world, _) = simulate(&schedule, Mutant::None, rng);
    assert_eq!(world.emitted, world.expected, "seed {seed}");
    world.longest_pause
}

/// One request in ten uses a slow link; a second chain must reduce the tail
/// latency.
#[test]
fn hedging_reduces_tail_latency_of_the_first_token() {
    let tail = |hedge| {
        let mut times: Vec<Duration> = (0..2_000).map(|seed| first_token(seed, hedge)).collect();
        times.sort();
        (times[1_000], times[1_900], times[1_980])
    };
    let (without, with) = (tail(None), tail(Some(ms(30))));
    eprintln!("first token, median, 95%, 99%: {without:?} without, {with:?} with a second chain");
    assert!(with.2 < without.2);
}

fn first_token(seed: u64, hedge: Option<Duration>) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut schedule = Schedule::without_faults(&mut rng);
    schedule.hedge = hedge;
    let at = schedule.first[rng.random_range(0..RANGES.len())];
    if rng.random_bool(0.1) {
        schedule.faults.push((Duration::ZERO, at, Fault::Delay, ms(2_000)));
    }
    let (world, _) = simulate(&schedule, Mutant::None, rng);
    assert_eq!(world.emitted, world.expected, "seed {seed}");
    world.first_token.expect("the first token was emitted").since(Instant::ZERO)
}
