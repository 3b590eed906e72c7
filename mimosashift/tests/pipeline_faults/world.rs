//! Simulation of engines, links and the choice of chains in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use mimosashift::engine::{Failure, Label, Output, Reply, RequestId, Step};
use mimosashift::pipeline::recovery::Cost;
use mimosashift::pipeline::retry::Budget;
use mimosashift::pipeline::{Action, Actions, Context, HedgedRequest, Outcome, Replacement, Scope};
use mimosashift::resource::{Layers, Name};
use mimosashift::route::{Chain, Stage};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::engine::{Engine, Fault};

pub const RANGES: [(u16, u16); 3] = [(0, 4), (4, 8), (8, 12)];
pub const REPLICAS: usize = 3;
pub const ENDPOINTS: usize = RANGES.len() * REPLICAS;
/// Time after which the choice of chains excludes an endpoint that is down.
pub const DOWN_DETECTION_DELAY: Duration = Duration::from_millis(300);
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
pub enum Event {
    Fault(usize, Fault, Duration),
    Arrive { to: usize, step: Step, tries: u32 },
    Answer { from: usize, label: Label, result: Result<Output, Failure> },
    Copy { from: usize, to: usize, label: Label },
    Copied { to: usize, label: Label, result: Result<(), Failure> },
    Choose { avoid: Vec<Name>, scope: Scope },
    Hedge { avoid: Vec<Name> },
    Cancel,
    Timer,
}

/// A mutation of the machine, to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    AnyRequest,
    AnyVersion,
    AnyAttempt,
    AnyPosition,
    AnyLayers,
    EmitTwice,
    ReportNotRun,
    IgnoreDeadline,
    KeepCache,
}

/// Budgets of a router.
pub struct Budgets {
    pub retries: Budget,
    pub hedges: Budget,
}

pub struct World {
    pub rng: Pcg64Mcg,
    pub now: Instant,
    pub events: BTreeMap<(Instant, u64), Event>,
    pub sequence: u64,
    pub engines: Vec<Engine>,
    pub expected: Vec<u32>,
    pub emitted: Vec<u32>,
    pub in_flight: Option<Label>,
    pub outcome: Option<(Instant, Outcome)>,
    pub mutant: Mutant,
    pub copied: u32,
    pub rebuilt: u32,
    pub violations: Vec<String>,
    pub first_token: Option<Instant>,
    last_token: Option<Instant>,
    pub longest_pause: Duration,
}

pub fn name(endpoint: usize) -> Name {
    Name::try_from(format!("e{endpoint}")).unwrap()
}

pub fn index(endpoint: &Name) -> usize {
    endpoint.as_str()[1..].parse().unwrap()
}

pub fn chain(stages: Vec<(usize, (u16, u16))>) -> Chain {
    let stage = |(endpoint, layers): (usize, (u16, u16))| Stage {
        endpoint: name(endpoint),
        layers: Layers::try_from(layers).unwrap(),
    };
    Chain::new(Name::try_from("p").unwrap(), 1, 12, stages.into_iter().map(stage)).unwrap()
}

pub fn cost(kv_bytes: u32) -> Cost {
    Cost {
        kv_bytes,
        link_bytes_per_second: 10_000_000,
        link_latency: ms(2),
        prefill_base: ms(12),
        prefill_token: Duration::from_micros(500),
    }
}

impl World {
    pub fn new(expected: Vec<u32>, mutant: Mutant, rng: Pcg64Mcg) -> Self {
        Self {
            rng,
            now: Instant::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            engines: (0..ENDPOINTS).map(|_| Engine::default()).collect(),
            expected,
            emitted: Vec::new(),
            in_flight: None,
            outcome: None,
            mutant,
            copied: 0,
            rebuilt: 0,
            violations: Vec::new(),
            first_token: None,
            last_token: None,
            longest_pause: Duration::ZERO,
        }
    }

    pub fn enqueue(&mut self, after: Duration, event: Event) {
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

    pub fn check(&mut self, holds: bool, what: &str) {
        if !holds {
            self.violations.push(format!("{what} at {} us", self.now.as_micros()));
        }
    }

    pub fn act(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::CancelEngine { .. } if self.mutant == Mutant::KeepCache => continue,
                Action::CancelEngine { endpoint, attempt, .. } => {
                    let engine = &mut self.engines[index(&endpoint)];
                    engine.released_attempt = engine.released_attempt.max(attempt);
                    engine.caches.retain(|(held, _), _| *held > attempt);
                    continue;
                }
                _ => self.check(self.outcome.is_none(), "an action follows the end"),
            }
            match action {
                Action::Send { endpoint, step, .. } => {
                    self.in_flight = Some(step.label.clone());
                    let rebuilt = step.label.position == 0 && step.label.layers.start() == 0;
                    self.rebuilt += u32::from(rebuilt && !self.emitted.is_empty());
                    let to = index(&endpoint);
                    let delay = self.link(to);
                    self.enqueue(delay, Event::Arrive { to, step, tries: 0 });
                }
                Action::Import { from, to, label, .. } => {
                    let (from, to) = (index(&from), index(&to));
                    let delay = self.link(from) + self.link(to);
                    self.enqueue(delay, Event::Copy { from, to, label });
                }
                Action::Emit(token) => self.emit(token),
                Action::NeedChain { avoid, scope } => {
                    self.enqueue(ms(1), Event::Choose { avoid: avoid.into_vec(), scope });
                }
                Action::NeedHedge { avoid } => {
                    self.enqueue(ms(1), Event::Hedge { avoid: avoid.into_vec() });
                }
                Action::Finish(outcome) => self.outcome = Some((self.now, outcome)),
                Action::CancelEngine { .. } => {}
            }
        }
    }

    fn emit(&mut self, token: u32) {
        self.first_token.get_or_insert(self.now);
        let pause = self.last_token.map_or(Duration::ZERO, |last| self.now.since(last));
        self.longest_pause = self.longest_pause.max(pause);
        self.last_token = Some(self.now);
        self.emitted.push(token);
        if self.mutant == Mutant::EmitTwice && self.emitted.len() == 3 {
            self.emitted.push(token);
        }
        self.check(self.expected.starts_with(&self.emitted), "a wrong token");
    }

    pub fn fault(&mut self, at: usize, fault: Fault, duration: Duration) {
        let now = self.now;
        let engine = &mut self.engines[at];
        engine.until.insert(fault, now + duration);
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
            return self.enqueue(ms(1), Event::Answer { from: to, label, result });
        }
        let engine = &mut self.engines[to];
        if engine.has(Fault::Pause, now) {
            let rest = engine.until[&Fault::Pause].since(now);
            return self.enqueue(rest, Event::Arrive { to, step, tries: tries + 1 });
        }
        if engine.has(Fault::LoseRequests, now) {
            return;
        }
        let result = engine.run(&step, now);
        if engine.has(Fault::LoseReplies, now) {
            return;
        }
        let (duplicate, mislabel) =
            (engine.has(Fault::Duplicate, now), engine.has(Fault::Mislabel, now));
        let (label, result) = if mislabel { self.mislabel(label, result) } else { (label, result) };
        let delay = self.link(to) + ms(1);
        if duplicate {
            let again = delay + ms(self.rng.random_range(0..200));
            let (label, result) = (label.clone(), result.clone());
            self.enqueue(again, Event::Answer { from: to, label, result });
        }
        self.enqueue(delay, Event::Answer { from: to, label, result });
    }

    /// A reply to another step: one field of the label differs, and so does the
    /// output.
    fn mislabel(
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
            Some(cache) if !self.down(from) && self.accepts_cache(to, label.attempt) => {
                self.engines[to].caches.insert((label.attempt, label.layers), cache);
                self.copied += 1;
                Ok(())
            }
            _ => Err(Failure::NoCache),
        };
        if self.engines[to].has(Fault::Mislabel, self.now) {
            label.count += 1;
        }
        let delay = self.link(to) + ms(3);
        self.enqueue(delay, Event::Copied { to, label, result });
    }

    fn choose(&mut self, old: &Chain, avoid: &[Name], scope: Scope) -> Option<Replacement> {
        let whole = scope == Scope::Whole || self.rng.random_bool(0.1);
        let mut stages = Vec::new();
        for (range, layers) in RANGES.into_iter().enumerate() {
            let kept = old
                .stages()
                .iter()
                .filter(|stage| layers.0 <= stage.layers.start() && stage.layers.end() <= layers.1);
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
        let holders = old.stages().iter().map(|stage| stage.endpoint.clone()).collect();
        let kv_bytes = self.rng.random_range(1..20_000);
        Some(Replacement { chain: chain(stages), holders, cost: cost(kv_bytes) })
    }

    /// Whether an endpoint accepts a cache of this attempt.
    fn accepts_cache(&mut self, to: usize, attempt: u32) -> bool {
        let engine = &self.engines[to];
        let current = attempt >= engine.latest_attempt && attempt > engine.released_attempt;
        current && !self.down(to)
    }

    fn known_down(&mut self, at: usize) -> bool {
        let down = self.down(at);
        let since = self.engines[at].down_since;
        down && since.is_some_and(|since| self.now.since(since) > DOWN_DETECTION_DELAY)
    }

    /// The label as a reply filter that lacks one comparison would see it.
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

    pub fn handle(&mut self, event: Event, hedge: &mut HedgedRequest, budgets: &mut Budgets) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let mut ctx = Context { now: self.now, rng: &mut rng, budget: &mut budgets.retries };
        let actions = match event {
            Event::Fault(at, fault, duration) => return self.fault(at, fault, duration),
            Event::Arrive { to, step, tries } => return self.arrive(to, step, tries),
            Event::Copy { from, to, label } => return self.copy(from, to, label),
            Event::Answer { from, label, result: Ok(output) } => {
                let reply = Reply { label: self.mutate(label), output };
                hedge.on_reply(&mut ctx, &name(from), reply)
            }
            Event::Answer { from, label, result: Err(failure) } => {
                hedge.on_failure(&mut ctx, &name(from), &label, &failure, None)
            }
            Event::Copied { to, label, result } => {
                hedge.on_import(&mut ctx, &name(to), &label, result.as_ref().copied())
            }
            Event::Choose { avoid, scope } => {
                let replacement = self.choose(hedge.chain(), &avoid, scope);
                hedge.on_chain(&mut ctx, replacement)
            }
            Event::Hedge { avoid } => {
                let replacement = self.choose(hedge.chain(), &avoid, Scope::Whole);
                hedge.on_hedge(&mut ctx, replacement)
            }
            Event::Cancel => hedge.cancel(),
            Event::Timer => hedge.on_timer(&mut ctx, &mut budgets.hedges),
        };
        self.act(actions);
    }
}
