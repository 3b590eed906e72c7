//! Tests of the limits that endpoints name: a simulation of routers that share one,
//! and the cases of a single router.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use mimosashift::exchange::RequestRate;
use mimosashift::fleet::{Fleet, LimitRecord, Shortage, name_key};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use common::deployment::{PLAIN, at, plain};
use common::fleet::{DEMAND, choose, fleet, ids, read, two_zones};

#[path = "common"]
mod common {
    pub mod deployment;
    pub mod fleet;
}

/// The endpoint in question.
const ENDPOINT: &str = "e1";

/// Windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the first naming of a limit until it must hold.
const SETTLE_MS: u64 = 3_000;

/// Time of an answer.
const ANSWER_MS: u64 = 20;

/// Interval of digests to the own zone; every third goes to all zones.
const DIGEST_MS: u64 = 150;

/// Number of zones.
const ZONES: usize = 3;

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().unwrap()
}

fn key() -> (u64, u64) {
    (name_key(ENDPOINT), 1)
}

/// How the load is divided among routers over time.
#[derive(Clone, Copy, Debug)]
enum Load {
    Even,
    /// Half of the load arrives at the first router.
    Skewed,
    /// All of it arrives at one router, another one every five seconds.
    Moving,
    /// None for nine seconds, then all routers have ten times as much for one.
    Bursts,
}

impl Load {
    /// Requests per second at one of `routers` routers, of `total` on average.
    fn at(self, router: usize, routers: usize, total: f64, ms: u64) -> f64 {
        let even = total / routers as f64;
        match self {
            Self::Even => even,
            Self::Skewed if routers == 1 => total,
            Self::Skewed if router == 0 => total / 2.0,
            Self::Skewed => total / 2.0 / (routers - 1) as f64,
            Self::Moving => {
                if ms as usize / 5_000 % routers == router {
                    total
                } else {
                    0.0
                }
            }
            Self::Bursts => {
                if ms % 10_000 >= 9_000 {
                    10.0 * even
                } else {
                    0.0
                }
            }
        }
    }
}

/// Receiver, sender and content of a digest.
type Digest = (usize, usize, Arc<Vec<LimitRecord>>);

/// Removes the first item if it has arrived.
fn pop_arrived<T>(items: &mut VecDeque<(u64, T)>, ms: u64) -> Option<(u64, T)> {
    let has_arrived = items.front().is_some_and(|(arrives, _)| *arrives <= ms);
    has_arrived.then(|| items.pop_front())?
}

/// Routers that know one another and share the limit of one endpoint.
struct World {
    fleets: Vec<Fleet>,
    rng: Pcg64Mcg,
    /// Digests by time of arrival.
    digests: VecDeque<(u64, Digest)>,
    /// Receivers of answers by time of arrival.
    answers: VecDeque<(u64, usize)>,
    arrivals: Vec<u64>,
    refused: usize,
    /// When an answer first named the limit.
    named: Option<u64>,
}

impl World {
    fn new(routers: usize, seed: u64) -> Self {
        Self {
            fleets: (0..routers).map(|_| fleet(vec![plain(1, "a")])).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            digests: VecDeque::new(),
            answers: VecDeque::new(),
            arrivals: Vec::new(),
            refused: 0,
            named: None,
        }
    }

    fn run(&mut self, per_second: f64, total: f64, load: Load, duration_ms: u64) {
        let routers = self.fleets.len();
        for ms in 0..duration_ms {
            self.deliver(per_second, ms);
            for router in 0..routers {
                if (ms + router as u64 * 37).is_multiple_of(DIGEST_MS) {
                    self.send_digest(router, ms);
                }
                let chance = load.at(router, routers, total, ms) / 1_000.0;
                let requests =
                    chance as usize + usize::from(self.rng.random_range(0.0..1.0) < chance.fract());
                (0..requests).for_each(|_| self.request(router, ms));
            }
        }
    }

    fn request(&mut self, router: usize, ms: u64) {
        let random = self.rng.random_range(0.0..1.0);
        let fleet = &mut self.fleets[router];
        if fleet.choose_endpoint(PLAIN, "a", &[], at(ms)).is_none() {
            fleet.record_limited(PLAIN, at(ms));
            self.refused += 1;
            return;
        }
        fleet.record_sent(key(), at(ms), random);
        self.arrivals.push(ms);
        self.answers.push_back((ms + ANSWER_MS, router));
    }

    fn send_digest(&mut self, router: usize, ms: u64) {
        let routers = self.fleets.len();
        let fleet = &mut self.fleets[router];
        fleet.update_limits(routers, at(ms));
        let records = Arc::new(fleet.limit_records(at(ms)));
        let round = ms / DIGEST_MS;
        let is_receiver =
            |to: &usize| *to != router && (round.is_multiple_of(3) || to % ZONES == router % ZONES);
        for to in (0..routers).filter(is_receiver) {
            self.digests.push_back((ms + 2, (to, router, records.clone())));
        }
    }

    fn deliver(&mut self, per_second: f64, ms: u64) {
        while let Some((_, router)) = pop_arrived(&mut self.answers, ms) {
            self.named.get_or_insert(ms);
            let random = self.rng.random_range(0.0..1.0);
            let (now, rate) = (at(ms), Some(rate(per_second)));
            self.fleets[router].observe_limit(key(), rate, now, now, random);
        }
        while let Some((_, (to, from, records))) = pop_arrived(&mut self.digests, ms) {
            let random = self.rng.random_range(0.0..1.0);
            let peer = format!("r{from}").into();
            self.fleets[to].merge_limits(&peer, &records, at(ms), random);
        }
    }

    /// The most arrivals in any window after the limit must hold.
    fn most_arrivals(&self) -> usize {
        let from = self.named.map_or(u64::MAX, |named| named + SETTLE_MS);
        let settled: Vec<_> = self.arrivals.iter().filter(|ms| **ms >= from).collect();
        let window = WINDOW.as_millis() as u64;
        let count = |start: &&u64| {
            settled.iter().filter(|ms| ***ms >= **start && ***ms < **start + window).count()
        };
        settled.iter().map(count).max().unwrap_or(0)
    }
}

/// The bound on the arrivals of a window.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64()) as usize + 5
}

#[test_case(Load::Even; "even")]
#[test_case(Load::Skewed; "skewed")]
#[test_case(Load::Moving; "moving")]
#[test_case(Load::Bursts; "bursts")]
fn limit_holds_over_all_routers(load: Load) {
    for routers in [1, 2, 4, 27, 100] {
        for per_second in [0.0_f64, 0.3, 1.0, 2.5, 16.5, 100.0] {
            let total = (4.0 * per_second).max(20.0);
            let most = (0..3).map(|seed| {
                let mut world = World::new(routers, seed);
                world.run(per_second, total, load, 30_000);
                world.most_arrivals()
            });
            let (most, allowed) = (most.max().unwrap(), allowed(per_second));
            println!("{load:?}, {routers} routers, {per_second}/s: {most} of {allowed}");
            assert!(most <= allowed, "{routers} routers, {per_second}/s: {most} of {allowed}");
        }
    }
}

#[test_case(Load::Even, 1; "one router")]
#[test_case(Load::Even, 4; "even, 4 routers")]
#[test_case(Load::Skewed, 4; "skewed, 4 routers")]
#[test_case(Load::Even, 27; "even, 27 routers")]
#[test_case(Load::Skewed, 27; "skewed, 27 routers")]
fn limited_endpoint_is_used(load: Load, routers: usize) {
    for per_second in [1.0_f64, 2.5, 16.5, 100.0] {
        let mut world = World::new(routers, 1);
        world.run(per_second, (2.0 * per_second).max(20.0), load, 60_000);
        let settled = world.arrivals.iter().filter(|ms| **ms >= 10_000).count();
        let share = settled as f64 / 50.0 / per_second;
        println!("{load:?}, {routers} routers, {per_second}/s: {share:.2} of the limit used");
        assert!(share >= 0.8, "{share:.2} of {per_second}/s used");
    }
}

#[test]
fn load_below_the_limit_is_not_refused() {
    let mut world = World::new(4, 1);
    world.run(50.0, 20.0, Load::Even, 30_000);
    let share = world.refused as f64 / (world.refused + world.arrivals.len()) as f64;
    assert!(share <= 0.01, "{share:.3} refused");
}

/// Sends requests until the router refuses; returns how many.
fn drain(fleet: &mut Fleet, ms: u64) -> usize {
    let mut sent = 0;
    while sent < 1_000 && fleet.choose_endpoint(PLAIN, "a", &[], at(ms)).is_some() {
        fleet.record_sent(key(), at(ms), 0.0);
        sent += 1;
    }
    fleet.record_limited(PLAIN, at(ms));
    sent
}

fn observe(fleet: &mut Fleet, per_second: Option<f64>, ms: u64) -> bool {
    fleet.observe_limit(key(), per_second.map(rate), at(ms), at(ms), 0.0).is_some()
}

#[test]
fn limit_is_lifted_by_a_request_sent_after_it_was_named() {
    let mut fleet = fleet(vec![plain(1, "a")]);
    assert!(observe(&mut fleet, Some(1.0), 100));
    assert!(!observe(&mut fleet, None, 99), "this answer was overtaken by the one with the limit");
    assert!(drain(&mut fleet, 100) <= 1);
    assert!(fleet.time_to_credit(PLAIN, at(100)).is_some());
    assert!(observe(&mut fleet, None, 101));
    assert_eq!(drain(&mut fleet, 102), 1_000);
    assert_eq!(fleet.time_to_credit(PLAIN, at(102)), None);
}

#[test]
fn small_changes_of_a_limit_apply_and_are_not_announced() {
    let mut fleet = fleet(vec![plain(1, "a")]);
    assert!(observe(&mut fleet, Some(10.0), 100));
    assert!(!observe(&mut fleet, Some(9.5), 200));
    assert_eq!(fleet.limit_records(at(200))[0].rate, Some(rate(9.5)));
    assert!(observe(&mut fleet, Some(8.9), 300), "further from the one last announced");
    assert!(observe(&mut fleet, None, 400));
    assert!(observe(&mut fleet, Some(8.9), 500));
}

#[test]
fn limit_lapses_if_no_answer_confirms_it() {
    let mut fleet = fleet(vec![plain(1, "a")]);
    observe(&mut fleet, Some(1.0), 100);
    assert!(drain(&mut fleet, 59_000) <= 2);
    assert_eq!(drain(&mut fleet, 60_100), 1_000);
}

#[test]
fn limit_ends_with_a_restart_of_the_endpoint() {
    let mut fleet = fleet(vec![plain(1, "a")]);
    observe(&mut fleet, Some(1.0), 100);
    let mut restarted = plain(1, "a");
    restarted.incarnation = 2;
    fleet.apply_directory(vec![restarted], read(200), at(200));
    assert_eq!(drain(&mut fleet, 300), 1_000);
}

#[test]
fn restarted_router_learns_limits_from_its_peers() {
    let mut fleets = [fleet(vec![plain(1, "a")]), fleet(vec![plain(1, "a")])];
    observe(&mut fleets[0], Some(1.0), 100);
    fleets[0].update_limits(2, at(150));
    let records = fleets[0].limit_records(at(150));
    let changes = fleets[1].merge_limits(&"r0".into(), &records, at(160), 0.0);
    assert_eq!(changes.len(), 1);
    assert!(drain(&mut fleets[1], 200) <= 1);
    // A lifted limit is not restored by what a peer has heard before.
    assert!(observe(&mut fleets[1], None, 300));
    assert!(fleets[1].merge_limits(&"r0".into(), &records, at(310), 0.0).len() <= 1);
    fleets[1].update_limits(2, at(320));
    let lifted = fleets[1].limit_records(at(320));
    fleets[0].merge_limits(&"r1".into(), &lifted, at(330), 0.0);
    assert_eq!(drain(&mut fleets[0], 340), 1_000);
}

#[test]
fn zero_limit_lets_few_requests_pass() {
    let mut fleet = fleet(vec![plain(1, "a")]);
    observe(&mut fleet, Some(0.0), 0);
    let sent: usize = (1..=60_u64)
        .map(|second| {
            observe(&mut fleet, Some(0.0), second * 1_000);
            drain(&mut fleet, second * 1_000)
        })
        .sum();
    assert!((1..=16).contains(&sent), "{sent} requests in 60 s");
}

#[test]
fn chain_begins_at_another_engine_if_the_first_has_reached_its_limit() {
    let mut fleet = fleet(two_zones());
    let first = choose(&fleet, &DEMAND).unwrap()[0].id.clone();
    assert_eq!(&*first, "e1");
    // A limit of a later engine does not matter.
    for id in ["e1", "e2"] {
        fleet.observe_limit((name_key(id), 1), Some(rate(1.0)), at(50), at(50), 0.0);
        fleet.record_sent((name_key(id), 1), at(50), 0.0);
    }
    assert_eq!(choose(&fleet, &DEMAND).unwrap()[0].id.as_ref(), "e3");
    fleet.observe_limit((name_key("e3"), 1), Some(rate(1.0)), at(50), at(50), 0.0);
    fleet.record_sent((name_key("e3"), 1), at(50), 0.0);
    assert_eq!(choose(&fleet, &DEMAND), Err(Shortage::Limited));
    fleet.observe_limit((name_key("e1"), 1), None, at(60), at(60), 0.0);
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap()), ["e1", "e2"]);
}
