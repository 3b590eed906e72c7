//! Admission control: queue order against a reference implementation, bounds
//! and outcomes under random histories, and team limits over many routers in
//! virtual time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use mimosashift::admit::queue::{Item, Queue};
use mimosashift::admit::share::{
    self, DemandShares, PEER_TIMEOUT, REPORT_INTERVAL, Report, TeamId,
};
use mimosashift::admit::slots::Slots;
use mimosashift::admit::{Action, Admission, Bounds, Refusal, Request, Ticket, Usage};
use mimosashift::resource::{Name, Team};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn team(weight: u32, requests_per_second: u32, tokens_per_second: u32) -> Team {
    Team {
        priority: name("p"),
        token_digests: Vec::new(),
        operator: false,
        weight,
        requests_per_second,
        tokens_per_second,
    }
}

/// The same queueing rules without indexes: every operation is a linear search.
/// One token at weight 1 takes `1 << 16` of virtual time, as in [`Queue`].
#[derive(Default)]
struct ReferenceQueue {
    items: Vec<Item>,
    /// Virtual time and each team's virtual start, per level.
    levels: BTreeMap<u8, (u64, HashMap<Name, u64>)>,
}

impl ReferenceQueue {
    fn start(&self, item: &Item) -> u64 {
        let Some((virtual_time, starts)) = self.levels.get(&item.level) else { return 0 };
        starts.get(&item.team).map_or(*virtual_time, |start| *start)
    }

    fn finish(&self, item: &Item) -> u64 {
        let same = |other: &&Item| other.level == item.level && other.team == item.team;
        let cost: u64 = self.items.iter().filter(same).map(|other| u64::from(other.cost)).sum();
        self.start(item) + (cost << 16) / u64::from(item.weight)
    }

    fn push(&mut self, item: Item) {
        let (virtual_time, starts) = self.levels.entry(item.level).or_default();
        let queued = self.items.iter().any(|o| o.level == item.level && o.team == item.team);
        let start = starts.entry(item.team.clone()).or_insert(*virtual_time);
        if !queued {
            *start = (*start).max(*virtual_time);
        }
        self.items.push(item);
    }

    fn pop(&mut self) -> Option<Ticket> {
        let key = |i: &&Item| (i.level, self.start(i), i.team.clone(), i.ticket);
        let item = self.items.iter().min_by_key(key)?.clone();
        let start = self.start(&item);
        let (virtual_time, starts) = self.levels.get_mut(&item.level)?;
        *virtual_time = (*virtual_time).max(start);
        starts.insert(
            item.team.clone(),
            start + (u64::from(item.cost) << 16) / u64::from(item.weight),
        );
        self.remove_item(item.ticket);
        Some(item.ticket)
    }

    fn shed(&mut self) -> Option<Ticket> {
        let key = |i: &&Item| (i.level, self.finish(i), i.team.clone(), i.ticket);
        let ticket = self.items.iter().max_by_key(key)?.ticket;
        self.remove_item(ticket);
        Some(ticket)
    }

    fn remove_item(&mut self, ticket: Ticket) {
        self.items.retain(|item| item.ticket != ticket);
        let waiting: HashSet<u8> = self.items.iter().map(|item| item.level).collect();
        self.levels.retain(|level, _| waiting.contains(level));
    }
}

fn item(rng: &mut Pcg64Mcg, ticket: u64) -> Item {
    let team = rng.random_range(0..12_u32);
    Item {
        ticket: Ticket(ticket),
        level: rng.random_range(0..3),
        team: name(&format!("t{team}")),
        weight: 1 + team % 4,
        cost: rng.random_range(1..500),
        bytes: rng.random_range(0..1_000),
    }
}

/// Defines a test per seed: queue and reference must agree on a random history.
macro_rules! queue_agreement_tests {
    ($($case:ident: $seed:literal;)*) => {$(
        #[test]
        fn $case() {
            queue_agrees($seed);
        }
    )*};
}

queue_agreement_tests! {
    queue_agrees_with_reference_1: 1;
    queue_agrees_with_reference_2: 2;
    queue_agrees_with_reference_3: 3;
    queue_agrees_with_reference_4: 4;
}

fn queue_agrees(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut queue, mut reference) = (Queue::default(), ReferenceQueue::default());
    for step in 0..4_000 {
        // The queue alternately grows and shrinks, so that levels fill and empty.
        let grow = if step / 200 % 2 == 0 { 6 } else { 3 };
        match rng.random_range(0..10) {
            draw if draw < grow => {
                let item = item(&mut rng, step);
                queue.push(item.clone());
                reference.push(item);
            }
            9 => assert_eq!(queue.shed().map(|i| i.ticket), reference.shed(), "shed, step {step}"),
            8 => {
                let ticket = Ticket(rng.random_range(0..=step));
                let queued = reference.items.iter().any(|item| item.ticket == ticket);
                assert_eq!(queue.remove(ticket).is_some(), queued);
                reference.remove_item(ticket);
            }
            _ => assert_eq!(queue.pop().map(|i| i.ticket), reference.pop(), "pop, step {step}"),
        }
        assert_eq!(queue.len(), reference.items.len());
        assert_eq!(queue.bytes(), reference.items.iter().map(|item| item.bytes).sum::<usize>());
    }
}

#[test]
fn backlogged_teams_are_served_by_weight() {
    const MAX_COST: u32 = 400;
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut queue = Queue::default();
    for ticket in 0..4_000 {
        let team = ticket as u32 % 4;
        let cost = rng.random_range(1..=MAX_COST);
        let team_name = name(&format!("t{team}"));
        let weight = team + 1;
        queue.push(Item {
            ticket: Ticket(ticket),
            level: 1,
            team: team_name,
            weight,
            cost,
            bytes: 1,
        });
    }
    let mut served: HashMap<Name, f64> = HashMap::new();
    for _ in 0..1_500 {
        let item = queue.pop().unwrap();
        *served.entry(item.team.clone()).or_default() +=
            f64::from(item.cost) / f64::from(item.weight);
        let most = served.values().copied().fold(0.0, f64::max);
        let least =
            if served.len() < 4 { 0.0 } else { served.values().copied().fold(f64::MAX, f64::min) };
        // Bound of start-time fair queueing: one request of maximum cost per team.
        assert!(most - least <= 2.0 * f64::from(MAX_COST), "{served:?}");
    }
}

#[test]
fn queue_keeps_no_state_of_idle_teams() {
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    let mut queue = Queue::default();
    for ticket in 0..31_000 {
        queue.push(Item { team: name(&format!("t{ticket}")), ..item(&mut rng, ticket) });
        queue.pop();
    }
    assert_eq!(queue.teams(), 0);
}

const BOUNDS: Bounds = Bounds { queued: 40, queued_bytes: 20_000, start_slots: 8, max_slots: 16 };

/// The outcome of each ticket, as seen in the actions.
#[derive(Default)]
struct Outcomes {
    running: Vec<Ticket>,
    dispatched: HashSet<Ticket>,
    refused: HashSet<Ticket>,
}

impl Outcomes {
    fn record(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Dispatch(ticket) => {
                    assert!(self.dispatched.insert(ticket), "dispatched twice");
                    assert!(!self.refused.contains(&ticket), "dispatched after a refusal");
                    self.running.push(ticket);
                }
                Action::Refuse { ticket, .. } => {
                    assert!(self.refused.insert(ticket), "refused twice");
                    assert!(!self.dispatched.contains(&ticket), "refused after dispatch");
                }
            }
        }
    }
}

/// Defines a test per seed: in a random history every request has exactly one
/// outcome.
macro_rules! one_outcome_tests {
    ($($case:ident: $seed:literal;)*) => {$(
        #[test]
        fn $case() {
            every_request_has_one_outcome($seed);
        }
    )*};
}

one_outcome_tests! {
    one_outcome_1: 11;
    one_outcome_2: 12;
    one_outcome_3: 13;
}

fn every_request_has_one_outcome(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut admission = Admission::new(BOUNDS);
    let (mut observed, mut out, mut now) = (Outcomes::default(), Vec::new(), Instant::ZERO);
    let (mut submitted, mut cancelled) = (0, 0);
    for _ in 0..20_000 {
        now = now + Duration::from_millis(rng.random_range(0..4));
        match rng.random_range(0..10) {
            0..5 => {
                let team_name = name(&format!("t{}", rng.random_range(0..9)));
                let request = Request {
                    name: &team_name,
                    team: &team(1 + rng.random_range(0..3), rng.random_range(0..2) * 50, 0),
                    level: rng.random_range(0..3),
                    cost: rng.random_range(1..200),
                    bytes: rng.random_range(0..3_000),
                    deadline: now + Duration::from_millis(rng.random_range(1..400)),
                    service: Duration::from_millis(rng.random_range(1..30)),
                };
                admission.submit(now, &request, &mut out);
                submitted += 1;
            }
            5 => {
                cancelled += usize::from(admission.cancel(Ticket(rng.random_range(0..=submitted))))
            }
            6 => admission.poll(now, &mut out),
            _ => {
                if !observed.running.is_empty() {
                    let at = rng.random_range(0..observed.running.len());
                    let ticket = observed.running.swap_remove(at);
                    let usage = Usage {
                        tokens: rng.random_range(0..300),
                        overloaded: rng.random_bool(0.02),
                    };
                    admission.release(now, ticket, usage, &mut out);
                }
            }
        }
        observed.record(&mut out);
        assert!(admission.queue().len() <= BOUNDS.queued);
        assert!(admission.queue().bytes() <= BOUNDS.queued_bytes);
        assert_eq!(admission.slots().used(), observed.running.len());
    }
    let queued = admission.queue().len();
    let outcomes = observed.dispatched.len() + observed.refused.len() + cancelled + queued;
    assert_eq!(outcomes as u64, submitted, "a request without an outcome");
    assert!(!observed.refused.is_empty() && cancelled > 0 && observed.dispatched.len() > 1_000);
}

fn request<'a>(name: &'a Name, team: &'a Team, level: u8, deadline_ms: u64) -> Request<'a> {
    Request {
        name,
        team,
        level,
        cost: 100,
        bytes: 100,
        deadline: Instant::from_millis(deadline_ms),
        service: Duration::from_millis(100),
    }
}

fn refusals(out: &[Action]) -> Vec<(u64, Refusal)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { ticket, refusal, .. } => Some((ticket.0, *refusal)),
        Action::Dispatch(_) => None,
    };
    out.iter().filter_map(refusal).collect()
}

#[test]
fn newest_request_of_the_most_backlogged_team_at_the_lowest_level_is_shed_first() {
    let bounds = Bounds { queued: 3, queued_bytes: 10_000, start_slots: 1, max_slots: 1 };
    let (mut admission, mut out) = (Admission::new(bounds), Vec::new());
    let (a, b, team) = (name("a"), name("b"), team(1, 0, 0));
    for (team_name, level) in [(&a, 0), (&a, 2), (&b, 2), (&b, 2), (&a, 0)] {
        admission.submit(Instant::ZERO, &request(team_name, &team, level, 100_000), &mut out);
    }
    assert_eq!(refusals(&out), [(3, Refusal::Shed)]);
    out.clear();
    admission.submit(Instant::ZERO, &request(&b, &team, 2, 100_000), &mut out);
    assert_eq!(refusals(&out), [(5, Refusal::Shed)]);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let bounds = Bounds { queued: 99, queued_bytes: 10_000, start_slots: 1, max_slots: 1 };
    let (mut admission, mut out) = (Admission::new(bounds), Vec::new());
    let (a, team) = (name("a"), team(1, 0, 0));
    admission.submit(Instant::ZERO, &request(&a, &team, 0, 99), &mut out);
    assert_eq!(refusals(&out), [(0, Refusal::Late)]);
    let first = admission.submit(Instant::ZERO, &request(&a, &team, 0, 1_000), &mut out);
    let now = Instant::from_millis(100);
    admission.release(now, first, Usage { tokens: 100, overloaded: false }, &mut out);
    out.clear();
    for _ in 0..4 {
        admission.submit(now, &request(&a, &team, 0, 1_000), &mut out);
    }
    assert!(refusals(&out).is_empty(), "three queued requests of 100 ms each meet their deadlines");
    admission.submit(now, &request(&a, &team, 0, 450), &mut out);
    let late = out.pop().unwrap();
    let Action::Refuse { refusal: Refusal::Late, retry_after, .. } = late else {
        panic!("{late:?}")
    };
    assert!(retry_after >= Duration::from_millis(50) && retry_after <= Duration::from_millis(200));
}

#[test]
fn queued_request_past_its_latest_start_is_refused() {
    let bounds = Bounds { queued: 9, queued_bytes: 10_000, start_slots: 1, max_slots: 1 };
    let (mut admission, mut out) = (Admission::new(bounds), Vec::new());
    let (a, team) = (name("a"), team(1, 0, 0));
    let first = admission.submit(Instant::ZERO, &request(&a, &team, 0, 1_000), &mut out);
    let second = admission.submit(Instant::ZERO, &request(&a, &team, 0, 300), &mut out);
    out.clear();
    let usage = Usage { tokens: 1, overloaded: false };
    admission.release(Instant::from_millis(201), first, usage, &mut out);
    assert_eq!(refusals(&out), [(second.0, Refusal::Late)]);
    assert_eq!(out.len(), 1);
}

/// A team limited to 1,000 tokens per second, on a router with one slot.
fn limited() -> (Admission, Name, Team) {
    let bounds = Bounds { queued: 2, queued_bytes: 10_000, start_slots: 1, max_slots: 1 };
    (Admission::new(bounds), name("a"), team(1, 0, 1_000))
}

/// Submits a request; returns whether it is refused as over the team's limit.
fn over_limit(admission: &mut Admission, now: Instant, team_name: &Name, team: &Team) -> bool {
    let mut out = Vec::new();
    let ticket = admission.submit(now, &request(team_name, team, 0, 100_000), &mut out);
    refusals(&out).contains(&(ticket.0, Refusal::OverLimit))
}

#[test]
fn request_that_never_ran_is_not_charged() {
    let (mut admission, a, team) = limited();
    assert!(!over_limit(&mut admission, Instant::ZERO, &a, &team));
    // The debt of 100 tokens is paid after 100 ms.
    assert!(over_limit(&mut admission, Instant::from_millis(99), &a, &team));
    let now = Instant::from_millis(101);
    assert!(!over_limit(&mut admission, now, &a, &team));
    assert!(over_limit(&mut admission, now, &a, &team));
    assert!(admission.cancel(Ticket(2)), "the second one is queued");
    assert!(!over_limit(&mut admission, now, &a, &team));
}

#[test]
fn tokens_are_charged_by_actual_usage() {
    let (mut admission, a, team) = limited();
    let usage = |tokens| Usage { tokens, overloaded: false };
    assert!(!over_limit(&mut admission, Instant::ZERO, &a, &team));
    admission.release(Instant::ZERO, Ticket(0), usage(600), &mut Vec::new());
    assert!(over_limit(&mut admission, Instant::from_millis(599), &a, &team));
    let now = Instant::from_millis(601);
    assert!(!over_limit(&mut admission, now, &a, &team));
    admission.release(now, Ticket(2), usage(0), &mut Vec::new());
    assert!(!over_limit(&mut admission, now, &a, &team));
}

#[test]
fn slots_shrink_on_overload_and_grow_when_full() {
    let mut slots = Slots::new(10, 20);
    while slots.acquire() {}
    slots.release(true);
    slots.release(true);
    assert_eq!(slots.limit(), 8);
    for _ in 0..200 {
        while slots.acquire() {}
        slots.release(false);
    }
    assert_eq!(slots.limit(), 20);
}

/// The limit follows the share of refused requests: it grows while fewer than
/// one in eleven are refused, and falls while more are.
#[test_case(20, 100; "one in twenty")]
#[test_case(5, 1; "one in five")]
fn slots_settle_by_the_share_of_refusals(one_in: usize, settled: usize) {
    let mut slots = Slots::new(50, 100);
    for request in 1..5_000 {
        while slots.acquire() {}
        slots.release(request % one_in == 0);
    }
    assert_eq!(slots.limit(), settled);
}

/// Routers that exchange demand reports, behind a load balancer.
struct Cluster {
    rng: Pcg64Mcg,
    now: Instant,
    routers: Vec<Admission>,
    names: Vec<Name>,
    in_flight: Vec<(Instant, usize, Report)>,
    /// Number of partitions; reports between them are lost.
    partitions: usize,
    team: Team,
    /// The limit, in requests per second.
    limit: u32,
    team_name: Name,
    /// Other teams that send one request per second each, far below their
    /// limits, and compete for entries in the reports.
    other_teams: Vec<Name>,
}

const REQUEST_COST_TOKENS: u32 = 50;
const SIMULATION_STEP: Duration = Duration::from_micros(500);
const REPORT_LATENCY: Duration = Duration::from_millis(60);

impl Cluster {
    fn new(seed: u64, routers: usize, limit: u32) -> Self {
        let bounds =
            Bounds { queued: 9, queued_bytes: 9_999, start_slots: 9_999, max_slots: 9_999 };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::from_millis(1),
            routers: (0..routers).map(|_| Admission::new(bounds)).collect(),
            names: (0..routers).map(|i| name(&format!("r{i}"))).collect(),
            in_flight: Vec::new(),
            partitions: 1,
            team: team(1, 0, limit * REQUEST_COST_TOKENS),
            limit,
            team_name: name("counter"),
            other_teams: Vec::new(),
        }
    }

    /// Offers twice the limit, distributed by `weights`, and returns the admitted
    /// rate relative to the limit.
    fn run(&mut self, time: Duration, weights: &[f64]) -> f64 {
        let (end, total) = (self.now + time, weights.iter().sum::<f64>());
        let chance = 2.0 * f64::from(self.limit) * SIMULATION_STEP.as_secs_f64();
        let mut admitted = 0;
        while self.now < end {
            self.now = self.now + SIMULATION_STEP;
            self.exchange();
            if self.rng.random_bool(self.other_teams.len() as f64 * SIMULATION_STEP.as_secs_f64()) {
                let team_name =
                    self.other_teams[self.rng.random_range(0..self.other_teams.len())].clone();
                let router = self.rng.random_range(0..self.routers.len());
                self.submit(router, &team_name);
            }
            if self.rng.random_bool(chance) {
                let mut draw = self.rng.random_range(0.0..total);
                let router = weights.iter().position(|weight| {
                    draw -= weight;
                    draw < 0.0
                });
                admitted += u32::from(self.submit(router.unwrap_or(0), &self.team_name.clone()));
            }
        }
        f64::from(admitted) / (f64::from(self.limit) * time.as_secs_f64())
    }

    fn submit(&mut self, router: usize, team_name: &Name) -> bool {
        let mut out = Vec::new();
        let request = Request {
            name: team_name,
            team: &self.team,
            level: 0,
            cost: REQUEST_COST_TOKENS,
            bytes: 1,
            deadline: self.now + Duration::from_secs(9),
            service: Duration::ZERO,
        };
        let ticket = self.routers[router].submit(self.now, &request, &mut out);
        let admitted = out.contains(&Action::Dispatch(ticket));
        if admitted {
            let usage = Usage { tokens: REQUEST_COST_TOKENS, overloaded: false };
            self.routers[router].release(self.now, ticket, usage, &mut out);
        }
        admitted
    }

    fn exchange(&mut self) {
        let micros = self.now.as_micros();
        let interval = REPORT_INTERVAL.as_micros() as u64;
        for router in 0..self.routers.len() {
            // Each router reports at its own phase of the interval, 7.5 ms after the
            // previous router; phases are compared in steps of 500 us.
            let phase = router as u64 * 7_500 % interval;
            if micros / 500 % (interval / 500) == phase / 500 {
                let peers = self.routers.len() - 1;
                let report = self.routers[router].report(self.now, peers);
                self.in_flight.push((self.now + REPORT_LATENCY, router, report));
            }
        }
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |sent| sent.0 <= now).collect();
        for (_, from, report) in due {
            for to in 0..self.routers.len() {
                if to != from && to % self.partitions == from % self.partitions {
                    let peer = &self.names[from];
                    self.routers[to].merge(now, peer, &report);
                }
            }
        }
    }
}

const SETTLING_TIME: Duration = Duration::from_secs(2);
const MEASURING_TIME: Duration = Duration::from_secs(5);

fn assert_within_5_percent_of_limit(admitted: f64, what: &str) {
    eprintln!("{what}: {:+.2}% of the limit", (admitted - 1.0) * 100.0);
    assert!((admitted - 1.0).abs() <= 0.05, "{what}: {admitted}");
}

/// Defines a test per number of routers, limit in requests per second, number
/// of other teams and seed: the limit must hold over all routers. `in_a_crowd`
/// in a name means 1,000 other teams.
macro_rules! limit_tests {
    ($($case:ident: $routers:literal $limit:literal $other_teams:literal $seed:literal;)*) => {$(
        #[test]
        fn $case() {
            limit_holds($routers, $limit, $other_teams, $seed);
        }
    )*};
}

limit_tests! {
    limit_holds_over_4_routers: 4 400 0 21;
    limit_holds_over_4_routers_with_another_seed: 4 400 0 22;
    limit_holds_over_4_routers_with_1000_other_teams: 4 400 1_000 25;
    limit_holds_over_40_routers: 40 400 0 23;
    limit_holds_over_40_routers_with_another_seed: 40 400 0 24;
    limit_holds_over_40_routers_with_1000_other_teams: 40 400 1_000 26;
    small_limit_holds_over_4_routers: 4 10 0 27;
    small_limit_holds_over_4_routers_with_1000_other_teams: 4 10 1_000 28;
    small_limit_holds_over_40_routers: 40 10 0 29;
    small_limit_holds_over_40_routers_in_a_crowd: 40 10 1_000 30;
}

fn limit_holds(routers: usize, limit: u32, other_teams: usize, seed: u64) {
    let mut cluster = Cluster::new(seed, routers, limit);
    cluster.other_teams = (0..other_teams).map(|i| name(&format!("t{i}"))).collect();
    let skewed: Vec<f64> = (0..routers).map(|i| 0.85_f64.powi(i as i32)).collect();
    let reversed: Vec<f64> = skewed.iter().rev().copied().collect();
    let mut only_one = vec![0.0; routers];
    only_one[routers / 2] = 1.0;
    for (weights, what) in
        [(skewed, "skewed"), (reversed, "reversed"), (only_one, "one router only")]
    {
        let settling = cluster.run(SETTLING_TIME, &weights);
        eprintln!(
            "{what}, {limit} requests/s, {routers} routers, {other_teams} others, first 2 s: {:+.2}%",
            (settling - 1.0) * 100.0
        );
        // Small limits need longer windows to make the weight of one request small.
        let window = Duration::from_secs(if limit < 100 { 12 } else { 1 });
        let windows: Vec<_> = (0..5).map(|_| cluster.run(window, &weights)).collect();
        eprintln!(
            "{what}, {limit} requests/s, {routers} routers, {other_teams} others, windows: {windows:.3?}"
        );
        let steady = windows.iter().sum::<f64>() / windows.len() as f64;
        assert_within_5_percent_of_limit(
            steady,
            &format!(
                "{what}, {limit} requests/s, {routers} routers, {other_teams} others, settled"
            ),
        );
    }
}

#[test]
fn three_partitions_together_admit_between_1_5_and_3_15_times_the_limit() {
    let mut cluster = Cluster::new(31, 12, 400);
    let even = [1.0; 12];
    cluster.run(SETTLING_TIME, &even);
    cluster.partitions = 3;
    cluster.run(SETTLING_TIME, &even);
    let partitioned = cluster.run(MEASURING_TIME, &even);
    eprintln!("3 partitions: {partitioned:.2} of the limit");
    // Demand is twice the limit, so three partitions can admit all of it.
    assert!(partitioned > 1.5 && partitioned <= 3.0 * 1.05, "{partitioned}");
    cluster.partitions = 1;
    cluster.run(SETTLING_TIME, &even);
    assert_within_5_percent_of_limit(
        cluster.run(MEASURING_TIME, &even),
        "after the partition ended",
    );
}

#[test]
fn demand_of_silent_peer_expires() {
    let (mut share, peer, team) = (DemandShares::default(), name("r2"), TeamId::from(&name("a")));
    let mut other = DemandShares::default();
    other.observe(Instant::ZERO, team, 100, 1e3);
    share.observe(Instant::ZERO, team, 100, 1e3);
    share.merge(Instant::ZERO, &peer, &other.export(Instant::ZERO, 9));
    assert!((share.fraction(Instant::ZERO, team) - 0.5).abs() < 0.01);
    let now = Instant::ZERO + PEER_TIMEOUT;
    share.expire(now);
    assert_eq!(share.fraction(now, team), 1.0);
}

#[test]
fn state_of_idle_teams_is_dropped() {
    let mut share = DemandShares::default();
    let mut now = Instant::ZERO;
    for at in 0..31_000 {
        now = now + Duration::from_millis(1);
        share.observe(now, TeamId::from(&name(&format!("t{at}"))), 100, 1e3);
        if at % 250 == 0 {
            share.export(now, 128);
        }
    }
    for _ in 0..400 {
        now = now + REPORT_INTERVAL;
        share.export(now, 128);
    }
    assert_eq!(share.tracked_teams(), 0);
}

/// Defines a test per number of peers: reports to them must leave bandwidth for
/// heartbeats and configuration.
macro_rules! bandwidth_tests {
    ($($case:ident: $peers:literal;)*) => {$(
        #[test]
        fn $case() {
            report_fits_bandwidth($peers);
        }
    )*};
}

bandwidth_tests! {
    report_fits_bandwidth_with_3_peers: 3;
    report_fits_bandwidth_with_39_peers: 39;
    report_fits_bandwidth_with_369_peers: 369;
}

fn report_fits_bandwidth(peers: usize) {
    const BUDGET_BYTES_PER_SECOND: usize = 16 * 1024;
    let mut rng = Pcg64Mcg::seed_from_u64(41);
    let mut share = DemandShares::default();
    let (mut now, mut bytes) = (Instant::ZERO, 0);
    let seconds = 10;
    let reports = seconds * 1_000 / REPORT_INTERVAL.as_millis() as usize;
    for _ in 0..reports {
        for _ in 0..500 {
            now = now + REPORT_INTERVAL / 500;
            let at = rng.random_range(0..1_000);
            share.observe(now, TeamId::from(&name(&format!("t{at}"))), 50, 1e3);
        }
        let report = share.export(now, share::max_entries(peers));
        bytes += postcard::to_stdvec(&report).unwrap().len() * peers;
    }
    eprintln!("1,000 active teams, {peers} peers: {} bytes per second", bytes / seconds);
    // A quarter of the budget is left for heartbeats and configuration.
    assert!(bytes / seconds < BUDGET_BYTES_PER_SECOND * 3 / 4, "{bytes}");
}
