//! Drives the pipeline machine against fake engines under seeded faults.

mod engine;
mod world;

use std::time::Duration;

use mimosashift::engine::RequestId;
use mimosashift::pipeline::retry::{Budget, Share};
use mimosashift::pipeline::{Context, Effect, Hedge, Limits, Outcome, Request};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

use engine::{FAULTS, Fault, oracle};
use world::{Budgets, ENDPOINTS, Event, Mutant, RANGES, REPLICAS, World, chain, cost, ms};

/// Tokens of an answer.
const TOKENS: u32 = 16;
/// Most events of one request; more means that it never ends.
const MAX_EVENTS: usize = 100_000;

/// What the seeds of a run came to.
#[derive(Debug, Default)]
struct Tally {
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
    lost: u32,
    violations: Vec<String>,
}

/// One request and what happens to it.
struct Schedule {
    prompt: Vec<u32>,
    first: Vec<usize>,
    deadline: Instant,
    /// Whether one endpoint of each range stays free of faults, and there is
    /// time: such a request must complete.
    safe: bool,
    burst: f64,
    /// When, where, what and for how long.
    faults: Vec<(Duration, usize, Fault, Duration)>,
    cancel: Option<Duration>,
    hedge: Option<Duration>,
}

impl Schedule {
    fn quiet(rng: &mut Pcg64Mcg) -> Self {
        let tokens = rng.random_range(1..12);
        Self {
            prompt: (0..tokens).map(|_| rng.random_range(0..999)).collect(),
            first: (0..RANGES.len()).map(|r| r * REPLICAS + rng.random_range(0..3)).collect(),
            deadline: Instant::from_millis(30_000),
            safe: true,
            burst: 1_000.0,
            faults: Vec::new(),
            cancel: None,
            hedge: None,
        }
    }

    fn random(rng: &mut Pcg64Mcg) -> Self {
        let mut schedule = Self::quiet(rng);
        schedule.safe = rng.random_bool(0.7);
        let delay = ms(rng.random_range(0..30));
        schedule.hedge = rng.random_bool(0.5).then_some(delay);
        for _ in 0..rng.random_range(0..12) {
            let at = rng.random_range(0..ENDPOINTS);
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let (after, lasts) = (rng.random_range(0..250), rng.random_range(5..1_500));
            if !schedule.safe || at % REPLICAS != 0 {
                schedule.faults.push((ms(after), at, fault, ms(lasts)));
            }
        }
        if !schedule.safe {
            schedule.deadline = Instant::from_millis(rng.random_range(10..3_000));
            let after = ms(rng.random_range(0..500));
            schedule.cancel = rng.random_bool(0.1).then_some(after);
            if rng.random_bool(0.3) {
                schedule.storm(rng);
            }
        }
        schedule
    }

    /// Faults from the first step on and few retries, so that some requests
    /// end before anything ran.
    fn storm(&mut self, rng: &mut Pcg64Mcg) {
        self.burst = 2.0;
        for at in 0..ENDPOINTS {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let lasts = ms(rng.random_range(5..3_000));
            self.faults.push((Duration::ZERO, at, fault, lasts));
            self.faults.push((Duration::ZERO, at, Fault::Duplicate, lasts));
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

fn run(seed: u64, mutant: Mutant, tally: &mut Tally) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let schedule = Schedule::random(&mut rng);
    let (world, hedge) = play(&schedule, mutant, rng);
    judge(seed, &schedule, &hedge, world, tally);
}

/// Plays a schedule until nothing is left in flight.
fn play(schedule: &Schedule, mutant: Mutant, rng: Pcg64Mcg) -> (World, Hedge) {
    let first = schedule.first.iter().copied().zip(RANGES).collect();
    let mut world = World::new(oracle(&schedule.prompt), mutant, rng);
    for (after, at, fault, lasts) in &schedule.faults {
        world.later(*after, Event::Fault(*at, *fault, *lasts));
    }
    if let Some(after) = schedule.cancel {
        world.later(after, Event::Cancel);
    }
    let share = Share { burst: schedule.burst, ..Share::default() };
    let hedges = Budget::new(Share { burst: 10.0, ..share }, Instant::ZERO);
    let mut budgets = Budgets { retries: Budget::new(share, Instant::ZERO), hedges };
    let mut ctx =
        Context { now: Instant::ZERO, rng: &mut Pcg64Mcg::new(1), budget: &mut budgets.retries };
    let (mut hedge, actions) = Hedge::start(
        &mut ctx,
        schedule.request(),
        chain(first),
        cost(1_000),
        Limits::default(),
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

fn judge(seed: u64, schedule: &Schedule, hedge: &Hedge, mut world: World, tally: &mut Tally) {
    tally.dropped += hedge.total_dropped();
    tally.hedged += u32::from(hedge.hedged());
    tally.copied += world.copied;
    tally.rebuilt += world.rebuilt;
    let outcome = world.outcome.take();
    world.check(outcome.is_some(), "the request never ended");
    let Some((at, mut outcome)) = outcome else {
        return tally.violations.push(format!("seed {seed}: never ended"));
    };
    world.check(at <= schedule.deadline, "the end came after the deadline");
    if let (Mutant::ClaimNotRun, Outcome::Failed { effect, .. }) = (world.mutant, &mut outcome) {
        *effect = Effect::NotRun;
    }
    let kept = world.engines.iter().any(|engine| !engine.caches.is_empty());
    world.check(!kept, "an engine was left with a cache");
    let ran = world.engines.iter().any(|engine| engine.ran > 0);
    match outcome {
        Outcome::Complete => {
            world.check(world.emitted == world.expected, "complete, but not whole");
            tally.completed += 1;
            tally.recovered += u32::from(hedge.recovered() > 0);
        }
        Outcome::Cancelled => tally.cancelled += 1,
        Outcome::Failed { effect, .. } | Outcome::DeadlineExceeded { effect } => {
            if effect == Effect::NotRun {
                tally.not_run += 1;
                world.check(!ran, "said not run, but ran");
            }
            match outcome {
                Outcome::Failed { .. } => tally.failed += 1,
                _ => tally.deadline += 1,
            }
            if schedule.safe {
                tally.lost += 1;
                world.check(false, "lost with an endpoint and time to spare");
            }
        }
    }
    tally.violations.extend(world.violations.drain(..).map(|v| format!("seed {seed}: {v}")));
}

#[test_case(0; "seeds from 0")]
#[test_case(5_000; "seeds from 5000")]
#[test_case(10_000; "seeds from 10000")]
#[test_case(15_000; "seeds from 15000")]
fn invariants_hold_under_faults(first: u64) {
    let mut tally = Tally::default();
    (first..first + 5_000).for_each(|seed| run(seed, Mutant::None, &mut tally));
    eprintln!("{tally:?}");
    assert!(tally.violations.is_empty(), "{:#?}", &tally.violations);
    assert_eq!(tally.lost, 0);
    assert!(tally.recovered > 1_000 && tally.not_run > 10 && tally.dropped > 1_000);
}

#[test_case(Mutant::AnyRequest, "a wrong token"; "ledger ignores request")]
#[test_case(Mutant::AnyVersion, "a wrong token"; "ledger ignores version")]
#[test_case(Mutant::AnyAttempt, "a wrong token"; "ledger ignores attempt")]
#[test_case(Mutant::AnyPosition, "a wrong token"; "ledger ignores position")]
#[test_case(Mutant::AnyLayers, "a wrong token"; "ledger ignores layers")]
#[test_case(Mutant::EmitTwice, "a wrong token"; "token emitted twice")]
#[test_case(Mutant::ClaimNotRun, "said not run, but ran"; "false claim of not run")]
#[test_case(Mutant::KeepCache, "left with a cache"; "cache not released")]
#[test_case(Mutant::IgnoreDeadline, "after the deadline"; "deadline ignored")]
fn checks_find_a_faulty_machine(mutant: Mutant, violation: &str) {
    let mut tally = Tally::default();
    (0..3_000).for_each(|seed| run(seed, mutant, &mut tally));
    assert!(tally.violations.iter().any(|found| found.contains(violation)), "{tally:?}");
}

/// A single lost stage holds the answer up for a second at most.
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

/// The longest time between two tokens.
fn pause(seed: u64, fault: Fault) -> Duration {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut schedule = Schedule::quiet(&mut rng);
    let at = schedule.first[rng.random_range(0..RANGES.len())];
    let after = ms(rng.random_range(40..120));
    schedule.faults.push((after, at, fault, ms(60_000)));
    let (world, _) = play(&schedule, Mutant::None, rng);
    assert_eq!(world.emitted, world.expected, "seed {seed}");
    world.longest_pause
}

/// One request in ten meets a slow link; a second chain must cut the tail.
#[test]
fn hedging_cuts_the_tail_of_the_first_token() {
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
    let mut schedule = Schedule::quiet(&mut rng);
    schedule.hedge = hedge;
    let at = schedule.first[rng.random_range(0..RANGES.len())];
    if rng.random_bool(0.1) {
        schedule.faults.push((Duration::ZERO, at, Fault::Delay, ms(2_000)));
    }
    let (world, _) = play(&schedule, Mutant::None, rng);
    assert_eq!(world.emitted, world.expected, "seed {seed}");
    world.first_token.expect("the answer is whole").since(Instant::ZERO)
}
