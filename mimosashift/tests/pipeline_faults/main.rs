//! Drives the pipeline machine against fake engines under seeded faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mimosashift::engine::{Failure, Input, Label, Output, Reply, RequestId, Step};
use mimosashift::pipeline::recovery::Cost;
use mimosashift::pipeline::retry::{Budget, Share};
use mimosashift::pipeline::{
    Action, Actions, Context, Effect, Limits, Machine, Outcome, Replacement, Request, Scope,
};
use mimosashift::resource::{Layers, Name};
use mimosashift::route::{Chain, Stage};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const RANGES: [(u16, u16); 3] = [(0, 4), (4, 8), (8, 12)];
const REPLICAS: usize = 3;
const ENDPOINTS: usize = RANGES.len() * REPLICAS;
const TOKENS: u32 = 16;
/// Time after which the chooser knows that an endpoint is down.
const LIST_LAG: Duration = Duration::from_millis(300);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (x >> 32)
}

/// Runs one layer for one token: the output depends on every earlier token.
fn layer(kv: &mut u64, layer: u16, hidden: u64) -> u64 {
    *kv = mix(*kv, mix(u64::from(layer), hidden));
    mix(hidden, *kv)
}

fn to_token(hidden: u64) -> u32 {
    u32::try_from(hidden % 50_000).unwrap()
}

/// The whole answer, computed without stages.
fn oracle(prompt: &[u32]) -> Vec<u32> {
    let (mut kv, mut answer, mut inputs) = ([0; 12], Vec::new(), prompt.to_vec());
    while answer.len() < TOKENS as usize {
        let mut hidden = 0;
        for token in inputs.drain(..) {
            let run = |h, l: u16| layer(&mut kv[usize::from(l)], l, h);
            hidden = (0..12).fold(u64::from(token), run);
        }
        answer.push(to_token(hidden));
        inputs.push(to_token(hidden));
    }
    answer
}

/// KV digests by position, one per layer.
type Cache = Vec<Vec<u64>>;

#[derive(Default)]
struct Engine {
    caches: HashMap<(u32, Layers), Cache>,
    newest: u32,
    released: u32,
    ran: u32,
    down_since: Option<Instant>,
    leaving: bool,
    /// When each kind of fault ends here.
    until: BTreeMap<Fault, Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Kill,
    Restart,
    Leave,
    Pause,
    Delay,
    Overload,
    LoseRequests,
    LoseReplies,
    Reorder,
    Duplicate,
    Lie,
}

const FAULTS: [Fault; 11] = [
    Fault::Kill,
    Fault::Restart,
    Fault::Leave,
    Fault::Pause,
    Fault::Delay,
    Fault::Overload,
    Fault::LoseRequests,
    Fault::LoseReplies,
    Fault::Reorder,
    Fault::Duplicate,
    Fault::Lie,
];

impl Engine {
    fn has(&self, fault: Fault, now: Instant) -> bool {
        self.until.get(&fault).is_some_and(|until| now < *until)
    }

    fn run(&mut self, step: &Step, now: Instant) -> Result<Output, Failure> {
        let label = &step.label;
        if self.leaving {
            return Err(Failure::Leaving);
        }
        if self.has(Fault::Overload, now) {
            return Err(Failure::Overloaded);
        }
        if label.attempt < self.newest || label.attempt <= self.released {
            return Err(Failure::Refused("old attempt".to_owned()));
        }
        let key = (label.attempt, label.layers);
        if label.position == 0 {
            self.caches.retain(|(attempt, _), _| *attempt >= label.attempt);
            self.newest = label.attempt;
        }
        let cache = match self.caches.get_mut(&key) {
            Some(cache) => cache,
            None if label.position == 0 => self.caches.entry(key).or_default(),
            None => return Err(Failure::NoCache),
        };
        if cache.len() != label.position as usize {
            return Err(Failure::Refused("position".to_owned()));
        }
        self.ran += 1;
        let inputs: Vec<u64> = match &step.input {
            Input::Tokens(tokens) => tokens.iter().map(|token| u64::from(*token)).collect(),
            Input::Hidden(bytes) => {
                let words = bytes.chunks(8).map(|word| word.try_into().unwrap());
                words.map(u64::from_le_bytes).collect()
            }
        };
        assert_eq!(inputs.len(), label.count as usize, "input does not fit its label");
        let mut outputs = Vec::new();
        for mut hidden in inputs {
            let empty = vec![0; usize::from(label.layers.count())];
            let mut kv = cache.last().cloned().unwrap_or(empty);
            for (l, kv) in (label.layers.start()..).zip(&mut kv) {
                hidden = layer(kv, l, hidden);
            }
            cache.push(kv);
            outputs.push(hidden);
        }
        if label.layers.end() == 12 {
            return Ok(Output::Token(to_token(*outputs.last().unwrap())));
        }
        Ok(Output::Hidden(outputs.iter().flat_map(|hidden| hidden.to_le_bytes()).collect()))
    }

    /// The cache of some layers for the first tokens.
    fn export(&self, label: &Label) -> Option<Cache> {
        let fits = |(attempt, held): &&(u32, Layers)| {
            *attempt == label.attempt && held.contains(label.layers)
        };
        let held = self.caches.keys().find(fits)?;
        let first = usize::from(label.layers.start() - held.1.start());
        let layers = first..first + usize::from(label.layers.count());
        let tokens = self.caches[held].get(..label.count as usize)?;
        Some(tokens.iter().map(|kv| kv[layers.clone()].to_vec()).collect())
    }
}

enum Event {
    Fault(usize, Fault, Duration),
    Arrive { to: usize, step: Step, tries: u32 },
    Answer { from: usize, label: Label, result: Result<Output, Failure> },
    Copy { from: usize, to: usize, label: Label },
    Copied { to: usize, label: Label, result: Result<(), Failure> },
    Choose { avoid: Vec<Name>, scope: Scope },
    Cancel,
}

/// A deliberate fault of the machine, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    AnyRequest,
    AnyVersion,
    AnyAttempt,
    AnyPosition,
    AnyLayers,
    EmitTwice,
    ClaimNotRun,
    IgnoreDeadline,
}

struct World {
    rng: Pcg64Mcg,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    engines: Vec<Engine>,
    chain: Chain,
    expected: Vec<u32>,
    emitted: Vec<u32>,
    in_flight: Option<Label>,
    outcome: Option<(Instant, Outcome)>,
    mutant: Mutant,
    copied: u32,
    attempts: u32,
    violations: Vec<String>,
}

fn name(endpoint: usize) -> Name {
    Name::try_from(format!("e{endpoint}")).unwrap()
}

fn index(endpoint: &Name) -> usize {
    endpoint.as_str()[1..].parse().unwrap()
}

fn chain(stages: Vec<(usize, (u16, u16))>) -> Chain {
    let stage = |(endpoint, layers): (usize, (u16, u16))| Stage {
        endpoint: name(endpoint),
        layers: Layers::try_from(layers).unwrap(),
    };
    Chain::new(Name::try_from("p").unwrap(), 1, 12, stages.into_iter().map(stage)).unwrap()
}

fn cost(kv_bytes: u32) -> Cost {
    Cost {
        kv_bytes,
        link_bytes_per_second: 10_000_000,
        link_latency: ms(2),
        prefill_base: ms(12),
        prefill_token: Duration::from_micros(500),
    }
}

impl World {
    fn later(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn link(&mut self, endpoint: usize) -> Duration {
        let engine = &self.engines[endpoint];
        let mut delay = Duration::from_micros(self.rng.random_range(200..1_500));
        if engine.has(Fault::Delay, self.now) {
            delay += ms(self.rng.random_range(10..900));
        }
        if engine.has(Fault::Reorder, self.now) {
            delay += ms(self.rng.random_range(0..300));
        }
        delay
    }

    fn check(&mut self, holds: bool, what: &str) {
        if !holds {
            self.violations.push(format!("{what} at {} us", self.now.as_micros()));
        }
    }

    fn act(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::CancelEngine { endpoint, attempt, .. } => {
                    let engine = &mut self.engines[index(&endpoint)];
                    engine.released = engine.released.max(attempt);
                    engine.caches.retain(|(held, _), _| *held > attempt);
                    continue;
                }
                _ => self.check(self.outcome.is_none(), "an action follows the end"),
            }
            match action {
                Action::Send { endpoint, step, .. } => {
                    self.in_flight = Some(step.label.clone());
                    self.attempts = step.label.attempt;
                    let to = index(&endpoint);
                    let delay = self.link(to);
                    self.later(delay, Event::Arrive { to, step, tries: 0 });
                }
                Action::Import { from, to, label, .. } => {
                    let (from, to) = (index(&from), index(&to));
                    let delay = self.link(from) + self.link(to);
                    self.later(delay, Event::Copy { from, to, label });
                }
                Action::Emit(token) => self.emit(token),
                Action::NeedChain { avoid, scope } => {
                    self.later(ms(1), Event::Choose { avoid: avoid.into_vec(), scope });
                }
                Action::Finish(outcome) => self.outcome = Some((self.now, outcome)),
                Action::CancelEngine { .. } => {}
            }
        }
    }

    fn emit(&mut self, token: u32) {
        self.emitted.push(token);
        if self.mutant == Mutant::EmitTwice && self.emitted.len() == 3 {
            self.emitted.push(token);
        }
        self.check(self.expected.starts_with(&self.emitted), "a wrong token");
    }

    fn fault(&mut self, at: usize, fault: Fault, lasts: Duration) {
        let now = self.now;
        let engine = &mut self.engines[at];
        engine.until.insert(fault, now + lasts);
        match fault {
            Fault::Kill | Fault::Restart => {
                engine.caches.clear();
                engine.down_since.get_or_insert(now);
            }
            Fault::Leave => engine.leaving = true,
            _ => {}
        }
    }

    fn down(&mut self, at: usize) -> bool {
        let now = self.now;
        let engine = &mut self.engines[at];
        if !engine.until.contains_key(&Fault::Kill) && !engine.has(Fault::Restart, now) {
            engine.down_since = None;
        }
        engine.down_since.is_some()
    }

    fn arrive(&mut self, to: usize, step: Step, tries: u32) {
        let (now, label) = (self.now, step.label.clone());
        if self.down(to) {
            let result = match tries {
                0 => Err(Failure::Unreachable("refused".to_owned())),
                _ if self.rng.random_bool(0.5) => return,
                _ => Err(Failure::Silent(ms(1))),
            };
            return self.later(ms(1), Event::Answer { from: to, label, result });
        }
        let engine = &mut self.engines[to];
        if engine.has(Fault::Pause, now) {
            let rest = engine.until[&Fault::Pause].since(now);
            return self.later(rest, Event::Arrive { to, step, tries: tries + 1 });
        }
        if engine.has(Fault::LoseRequests, now) {
            return;
        }
        let result = engine.run(&step, now);
        if engine.has(Fault::LoseReplies, now) {
            return;
        }
        let (duplicate, lie) = (engine.has(Fault::Duplicate, now), engine.has(Fault::Lie, now));
        let (label, result) = if lie { self.lie(label, result) } else { (label, result) };
        let delay = self.link(to) + ms(1);
        if duplicate {
            let again = delay + ms(self.rng.random_range(0..200));
            let (label, result) = (label.clone(), result.clone());
            self.later(again, Event::Answer { from: to, label, result });
        }
        self.later(delay, Event::Answer { from: to, label, result });
    }

    /// Other work's answer: one field of the label differs, and the output.
    fn lie(
        &mut self,
        mut label: Label,
        result: Result<Output, Failure>,
    ) -> (Label, Result<Output, Failure>) {
        match self.rng.random_range(0..6) {
            0 => label.request = RequestId(label.request.0 + 1),
            1 => label.version += 1,
            2 => label.attempt += 1,
            3 => label.position += 1,
            4 => label.layers = Layers::try_from((label.layers.start(), 99)).unwrap(),
            _ => return (label, result),
        }
        let result = result.map(|output| match output {
            Output::Token(token) => Output::Token(token ^ 1),
            Output::Hidden(bytes) => Output::Hidden(bytes.iter().map(|byte| byte ^ 1).collect()),
        });
        (label, result)
    }

    fn copy(&mut self, from: usize, to: usize, mut label: Label) {
        if self.engines[from].has(Fault::Pause, self.now)
            || self.engines[to].has(Fault::LoseReplies, self.now)
        {
            return;
        }
        let cache = self.engines[from].export(&label);
        let result = match cache {
            Some(cache) if !self.down(from) && !self.down(to) => {
                self.engines[to].caches.insert((label.attempt, label.layers), cache);
                self.copied += 1;
                Ok(())
            }
            _ => Err(Failure::NoCache),
        };
        if self.engines[to].has(Fault::Lie, self.now) {
            label.count += 1;
        }
        let delay = self.link(to) + ms(3);
        self.later(delay, Event::Copied { to, label, result });
    }

    fn choose(&mut self, avoid: &[Name], scope: Scope) -> Option<Replacement> {
        let whole = scope == Scope::Whole || self.rng.random_bool(0.1);
        let mut stages = Vec::new();
        for (range, layers) in RANGES.into_iter().enumerate() {
            let kept =
                self.chain.stages().iter().filter(|stage| {
                    layers.0 <= stage.layers.start() && stage.layers.end() <= layers.1
                });
            let kept: Vec<_> = kept.map(|s| (index(&s.endpoint), s.layers.into())).collect();
            if !whole && !kept.iter().any(|(endpoint, _)| avoid.contains(&name(*endpoint))) {
                stages.extend(kept);
                continue;
            }
            let mut free: Vec<usize> = (range * REPLICAS..(range + 1) * REPLICAS).collect();
            free.retain(|at| !avoid.contains(&name(*at)) && !self.known_down(*at));
            free.sort_by_key(|_| Reverse(self.rng.random::<u32>()));
            match free[..] {
                [] => return None,
                [first, second, ..] if self.rng.random_bool(0.3) => {
                    let middle = layers.0 + 2;
                    stages.extend([(first, (layers.0, middle)), (second, (middle, layers.1))]);
                }
                [first, ..] => stages.push((first, layers)),
            }
        }
        let old = std::mem::replace(&mut self.chain, chain(stages));
        let holders = old.stages().iter().map(|stage| stage.endpoint.clone()).collect();
        let kv_bytes = self.rng.random_range(1..20_000);
        Some(Replacement { chain: self.chain.clone(), holders, cost: cost(kv_bytes) })
    }

    fn known_down(&mut self, at: usize) -> bool {
        let down = self.down(at);
        let since = self.engines[at].down_since;
        down && since.is_some_and(|since| self.now.since(since) > LIST_LAG)
    }

    /// The label as a ledger without one of its comparisons would see it.
    fn mutate(&self, mut label: Label) -> Label {
        let Some(expected) = &self.in_flight else { return label };
        match self.mutant {
            Mutant::AnyRequest => label.request = expected.request,
            Mutant::AnyVersion => label.version = expected.version,
            Mutant::AnyAttempt => label.attempt = expected.attempt,
            Mutant::AnyPosition => label.position = expected.position,
            Mutant::AnyLayers => label.layers = expected.layers,
            _ => {}
        }
        label
    }

    fn handle(&mut self, event: Event, machine: &mut Machine, budget: &mut Budget) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let mut ctx = Context { now: self.now, rng: &mut rng, budget };
        let actions = match event {
            Event::Fault(at, fault, lasts) => return self.fault(at, fault, lasts),
            Event::Arrive { to, step, tries } => return self.arrive(to, step, tries),
            Event::Copy { from, to, label } => return self.copy(from, to, label),
            Event::Answer { from, label, result: Ok(output) } => {
                let reply = Reply { label: self.mutate(label), output };
                machine.on_reply(&mut ctx, &name(from), reply)
            }
            Event::Answer { from, label, result: Err(failure) } => {
                machine.on_failure(&mut ctx, &name(from), &label, &failure, None)
            }
            Event::Copied { to, label, result } => {
                machine.on_import(&mut ctx, &name(to), &label, result.as_ref().copied())
            }
            Event::Choose { avoid, scope } => {
                let replacement = self.choose(&avoid, scope);
                machine.on_chain(&mut ctx, replacement)
            }
            Event::Cancel => machine.cancel(),
        };
        self.act(actions);
    }
}

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
    lost: u32,
    violations: Vec<String>,
}

fn run(seed: u64, mutant: Mutant, tally: &mut Tally) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // In a safe run one endpoint of each range stays free of faults, and there
    // is time: such a request must complete.
    let safe = rng.random_bool(0.7);
    let prompt: Vec<u32> = (0..rng.random_range(1..12)).map(|_| rng.random_range(0..999)).collect();
    let deadline = if safe { 30_000 } else { rng.random_range(10..3_000) };
    let first = (0..3).map(|range| (range * 3 + rng.random_range(0..3), RANGES[range])).collect();
    let mut world = World {
        now: Instant::ZERO,
        events: BTreeMap::new(),
        sequence: 0,
        engines: (0..ENDPOINTS).map(|_| Engine::default()).collect(),
        chain: chain(first),
        expected: oracle(&prompt),
        emitted: Vec::new(),
        in_flight: None,
        outcome: None,
        mutant,
        copied: 0,
        attempts: 0,
        violations: Vec::new(),
        rng,
    };
    for _ in 0..world.rng.random_range(0..12) {
        let at = world.rng.random_range(0..ENDPOINTS);
        if safe && at % REPLICAS == 0 {
            continue;
        }
        let fault = FAULTS[world.rng.random_range(0..FAULTS.len())];
        let lasts = ms(world.rng.random_range(5..1_500));
        let after = ms(world.rng.random_range(0..250));
        world.later(after, Event::Fault(at, fault, lasts));
    }
    // In a storm, the request meets faults from its first step on and has few
    // retries, so that some requests end before anything ran.
    let storm = !safe && world.rng.random_bool(0.3);
    for at in 0..if storm { ENDPOINTS } else { 0 } {
        let fault = FAULTS[world.rng.random_range(0..FAULTS.len())];
        let lasts = ms(world.rng.random_range(5..3_000));
        world.fault(at, fault, lasts);
        world.fault(at, Fault::Duplicate, lasts);
    }
    if !safe && world.rng.random_bool(0.1) {
        let after = ms(world.rng.random_range(0..500));
        world.later(after, Event::Cancel);
    }
    let request = Request {
        id: RequestId(u128::from(seed)),
        prompt,
        max_tokens: TOKENS,
        stop: None,
        deadline: Instant::from_millis(deadline),
        priority: 0,
        adapter: None,
    };
    let burst = if storm { 2.0 } else { 1_000.0 };
    let mut budget = Budget::new(Share { burst, ..Share::default() }, Instant::ZERO);
    let mut ctx = Context { now: Instant::ZERO, rng: &mut Pcg64Mcg::new(1), budget: &mut budget };
    let (mut machine, actions) =
        Machine::start(&mut ctx, request, world.chain.clone(), cost(1_000), Limits::default());
    world.act(actions);
    for _ in 0..100_000 {
        let event = world.events.keys().next().copied();
        let timer = machine.next_deadline();
        match (event, timer) {
            (None, None) => break,
            (Some((at, _)), _) if timer.is_none_or(|timer| at < timer) => {
                world.now = at;
                let (_, event) = world.events.pop_first().unwrap();
                world.handle(event, &mut machine, &mut budget);
            }
            (_, Some(timer)) => {
                world.now = timer.max(world.now);
                if mutant == Mutant::IgnoreDeadline && timer.as_micros() == deadline * 1_000 {
                    world.now = timer + ms(500);
                }
                let mut rng = Pcg64Mcg::seed_from_u64(world.rng.random());
                let now = world.now;
                let mut ctx = Context { now, rng: &mut rng, budget: &mut budget };
                let actions = machine.on_time(&mut ctx);
                world.act(actions);
            }
            (Some(_), None) => unreachable!("an event comes before no timer"),
        }
    }
    tally.dropped += machine.drops().total();
    tally.copied += world.copied;
    tally.rebuilt += world.attempts.saturating_sub(1);
    judge(seed, safe, deadline, &machine, world, tally);
}

fn judge(
    seed: u64,
    safe: bool,
    deadline: u64,
    machine: &Machine,
    mut world: World,
    tally: &mut Tally,
) {
    let outcome = world.outcome.take();
    world.check(outcome.is_some(), "the request never ended");
    let Some((at, mut outcome)) = outcome else {
        return tally.violations.push(format!("seed {seed}: never ended"));
    };
    world.check(at <= Instant::from_millis(deadline), "the end came after the deadline");
    if let (Mutant::ClaimNotRun, Outcome::Failed { effect, .. }) = (world.mutant, &mut outcome) {
        *effect = Effect::NotRun;
    }
    let ran = world.engines.iter().any(|engine| engine.ran > 0);
    match outcome {
        Outcome::Complete => {
            world.check(world.emitted == world.expected, "complete, but not whole");
            tally.completed += 1;
            tally.recovered += u32::from(machine.recovered() > 0);
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
            if safe {
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
#[test_case(Mutant::IgnoreDeadline, "after the deadline"; "deadline ignored")]
fn checks_find_a_faulty_machine(mutant: Mutant, violation: &str) {
    let mut tally = Tally::default();
    (0..3_000).for_each(|seed| run(seed, mutant, &mut tally));
    assert!(tally.violations.iter().any(|found| found.contains(violation)), "{tally:?}");
}
