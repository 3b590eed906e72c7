//! One run: routers, engines and callers in virtual time.

use std::time::Duration;

use mimosashift::admit;
use mimosashift::engine::{Failure, Label, Load, Output, Reply};
use mimosashift::pipeline::{Action, Actions, Effect, Machine, Outcome, Request, TimeoutLimits};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::call::{Call, Driver, End, Flight};
use super::engine::{Engine, Job};
use super::event::{Event, Queue};
use super::fault::Fault;
use super::fleet::{self, Fleet, Mix, ROUTERS};
use super::link::Link;
use super::naive::Naive;
use super::router::{Router, Sent, cost, request_id};
use super::tally::Tally;

mod engines;
mod routers;

/// Lag of load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two polls and shares of a router.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at a router's queue.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// Lag of the VM list.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time for which a leaving endpoint may still be given work.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decision code of the library.
    Library,
    /// Replicas in turn, no admission, failed requests start over.
    Naive,
}

/// A run to be made.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The endpoints.
    pub fleet: &'a Fleet,
    /// What callers ask for.
    pub mix: &'a Mix,
    /// Requests a second.
    pub rate: f64,
    /// How long requests come.
    pub duration: Duration,
    /// The fault, and when it happens.
    pub fault: Option<(Fault, Instant)>,
    /// Who decides.
    pub policy: Policy,
    /// Seed of arrivals and of all choices.
    pub seed: u64,
}

struct World<'a> {
    plan: Plan<'a>,
    now: Instant,
    queue: Queue,
    engines: Vec<Engine>,
    links: Vec<Link>,
    /// Reports that engines give, and those that they give next.
    reports: Vec<(Load, Load)>,
    routers: Vec<Router>,
    calls: Vec<Call>,
    open: usize,
    arrivals: Pcg64Mcg,
    next_replica: usize,
    tally: Tally,
}

/// Makes a run and counts what came of every request.
pub fn run(plan: Plan<'_>) -> Tally {
    let mut world = World::new(plan);
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        if world.is_over() {
            break;
        }
        world.handle(event);
    }
    world.tally.finish(&world.calls);
    world.tally
}

impl<'a> World<'a> {
    fn new(plan: Plan<'a>) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let endpoints = 0..plan.fleet.endpoints.len();
        let mut world = Self {
            now: Instant::ZERO,
            queue: Queue::default(),
            engines: endpoints.clone().map(|at| Engine::new(plan.fleet.engine(at))).collect(),
            links: endpoints.clone().map(|at| Link::new(plan.fleet.engine(at))).collect(),
            reports: endpoints.map(|_| (Load::default(), Load::default())).collect(),
            routers: (0..ROUTERS).map(|at| Router::new(plan.fleet, at, &mut rng)).collect(),
            calls: Vec::new(),
            open: 0,
            arrivals: Pcg64Mcg::seed_from_u64(rng.random()),
            next_replica: 0,
            tally: Tally::new(plan.fault.map(|(_, at)| at)),
            plan,
        };
        world.queue.push(Instant::ZERO, Event::Request);
        world.queue.push(Instant::ZERO, Event::Sample);
        for router in 0..ROUTERS {
            let first = Instant::ZERO + UPKEEP_INTERVAL * router as u32 / ROUTERS as u32;
            world.queue.push(first, Event::Upkeep { router });
            world.queue.push(Instant::ZERO, Event::Queue { router });
        }
        if let Some((_, at)) = plan.fault {
            world.queue.push(at, Event::Fault);
            world.queue.push(at + LIST_LAG, Event::Listed);
        }
        world
    }

    fn is_over(&self) -> bool {
        self.now.since(Instant::ZERO) > self.plan.duration && self.open == 0
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::Arrive { to, job } => self.arrive(to, job),
            Event::Iterated { at, epoch } => self.iterated(at, epoch),
            Event::Answer { call, from, label, result } => self.answer(call, from, label, result),
            Event::Export { call, from, to, label } => self.export(call, from, to, label),
            Event::Import { call, to, label, cache } => self.import(call, to, label, cache),
            Event::Copied { call, to, label, result } => self.copied(call, to, &label, &result),
            Event::Release { at, call, attempt } => self.engines[at].release(call, attempt),
            Event::Timer { call } => self.timer(call),
            Event::Sample => self.sample(),
            Event::Upkeep { router } => self.upkeep(router),
            Event::Queue { router } => self.look_at_queue(router),
            Event::Fault => self.fault(),
            Event::Listed => self.listed(),
        }
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.queue.push(self.now + after, event);
    }

    // Callers.

    fn request(&mut self) {
        if self.now.since(Instant::ZERO) > self.plan.duration {
            return;
        }
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / self.plan.rate;
        self.later(Duration::from_secs_f64(gap), Event::Request);
        let (prompt, max_tokens) = self.plan.mix.draw(&mut self.arrivals);
        let number = self.calls.len();
        let request = Request {
            id: request_id(number),
            prompt,
            max_tokens,
            stop: None,
            deadline: self.now + self.plan.mix.deadline,
            priority: 0,
            adapter: None,
        };
        let up: Vec<usize> = (0..ROUTERS).filter(|&at| self.routers[at].up).collect();
        let router = up[number % up.len()];
        self.calls.push(Call::new(request, router, self.now));
        self.open += 1;
        match self.plan.policy {
            Policy::Library => self.submit(number, router),
            Policy::Naive => self.start_naive(number),
        }
    }

    fn submit(&mut self, number: usize, router: usize) {
        let mut out = Vec::new();
        let request = &self.calls[number].request;
        let fleet = self.plan.fleet;
        let submitted = self.routers[router].submit(fleet, number, request, self.now, &mut out);
        if submitted.is_err() {
            self.tally.no_chain += 1;
            self.close(number, End::Refused);
        }
        self.verdicts(router, out);
    }

    fn start_naive(&mut self, number: usize) {
        let replicas = self.plan.fleet.endpoints.len() / usize::from(fleet::STAGES);
        let mut naive = Naive::new(self.calls[number].request.clone(), self.next_replica);
        self.next_replica = (self.next_replica + 1) % replicas;
        let actions = naive.start(self.plan.fleet);
        self.calls[number].driver = Driver::Naive(naive);
        self.act(number, actions);
    }

    fn verdicts(&mut self, router: usize, mut out: Vec<admit::Action>) {
        while !out.is_empty() {
            let mut next = Vec::new();
            for action in out {
                match action {
                    admit::Action::Dispatch(ticket) => self.dispatch(router, ticket, &mut next),
                    admit::Action::Refuse { ticket, refusal, .. } => {
                        let call = self.routers[router].waiting.remove(&ticket);
                        self.tally.refuse(refusal);
                        self.close(call.expect("a verdict is given once"), End::Refused);
                    }
                }
            }
            out = next;
        }
    }

    fn dispatch(&mut self, router: usize, ticket: admit::Ticket, out: &mut Vec<admit::Action>) {
        let (now, fleet) = (self.now, self.plan.fleet);
        let shell = &mut self.routers[router];
        let number = shell.waiting.remove(&ticket).expect("a verdict is given once");
        let request = self.calls[number].request.clone();
        let Ok(held) = shell.begin(fleet, &request, now) else {
            let usage = admit::Usage { tokens: 0, overloaded: false };
            shell.admission.release(now, ticket, usage, out);
            self.tally.no_chain += 1;
            return self.close(number, End::Refused);
        };
        let cost = cost(fleet, &held.chain);
        let chain = held.chain.clone();
        let limits = TimeoutLimits::default();
        let (machine, actions) =
            Machine::start(&mut shell.context(now), request, chain, cost, limits);
        self.calls[number].driver = Driver::Machine { machine: Box::new(machine), held, ticket };
        self.act(number, actions);
    }

    fn close(&mut self, number: usize, end: End) {
        let call = &mut self.calls[number];
        if call.end != End::Open {
            return;
        }
        (call.end, call.ended) = (end, self.now);
        self.open -= 1;
        if end == End::Refused && call.ran > 0 {
            self.tally.violation("a refused request ran", self.now);
        }
    }

    // Actions of machines.

    fn act(&mut self, number: usize, actions: Actions) {
        let mut left = actions;
        while !left.is_empty() {
            let mut next = Actions::new();
            for action in left {
                next.extend(self.perform(number, action));
            }
            left = next;
        }
        self.set_timer(number);
    }

    fn perform(&mut self, number: usize, action: Action) -> Actions {
        match action {
            Action::Send { endpoint, step, timeout } => {
                let to = fleet::number(&endpoint);
                let call = &mut self.calls[number];
                call.flight = Some(Flight {
                    to,
                    label: step.label.clone(),
                    sent: Sent::new(&step, self.now),
                    until: self.now + timeout,
                });
                let router = call.router;
                let latency = self.plan.fleet.latency(router, to);
                let after = self.links[to].send(&step.input, self.now, latency);
                self.later(after, Event::Arrive { to, job: Job { router, call: number, step } });
            }
            Action::Import { from, to, label, .. } => {
                let (from, to) = (fleet::number(&from), fleet::number(&to));
                let latency = self.plan.fleet.latency(self.calls[number].router, to);
                self.later(latency, Event::Export { call: number, from, to, label });
            }
            Action::CancelEngine { endpoint, attempt, .. } => {
                let at = fleet::number(&endpoint);
                let latency = self.plan.fleet.latency(self.calls[number].router, at);
                self.later(latency, Event::Release { at, call: number, attempt });
            }
            Action::Emit(token) => self.emit(number, token),
            Action::NeedChain { avoid, scope } => {
                let now = self.now;
                let call = &mut self.calls[number];
                let Driver::Machine { machine, held, .. } = &mut call.driver else {
                    return Actions::new();
                };
                let router = &mut self.routers[call.router];
                let found =
                    router.replace(self.plan.fleet, &call.request, held, &avoid, scope, now);
                return machine.on_chain(&mut router.context(now), found);
            }
            Action::NeedHedge { .. } => {}
            Action::Finish(outcome) => self.finish(number, &outcome),
        }
        Actions::new()
    }

    fn emit(&mut self, number: usize, token: u32) {
        let call = &mut self.calls[number];
        call.tried += 1;
        if call.tried <= call.emitted {
            return;
        }
        call.emitted += 1;
        let expected = call.oracle.next();
        if let Some((_, at)) = self.plan.fault
            && call.last_token <= at
            && self.now > at
            && call.emitted > 1
        {
            call.pause = Some(self.now.since(at));
        }
        call.last_token = self.now;
        if token == expected {
            self.tally.token(self.now);
        } else {
            self.tally.violation("a wrong token", self.now);
        }
    }

    fn finish(&mut self, number: usize, outcome: &Outcome) {
        let now = self.now;
        let call = &mut self.calls[number];
        let router = call.router;
        let whole = *outcome == Outcome::Complete;
        if whole && call.emitted != call.request.max_tokens {
            self.tally.violation("an answer is not whole", now);
        }
        let effect = match outcome {
            Outcome::Failed { effect, .. } | Outcome::DeadlineExceeded { effect } => *effect,
            Outcome::Complete | Outcome::Cancelled => Effect::Failed,
        };
        if effect == Effect::NotRun && call.ran > 0 {
            self.tally.violation("a request said not to have run did", now);
        }
        let tokens = call.request.prompt.len() as u32 + call.emitted;
        let overloaded = call.overloaded;
        let driver = std::mem::replace(&mut call.driver, Driver::Done);
        call.flight = None;
        if !whole {
            self.tally.lose(outcome, call.arrived);
        }
        self.close(number, if whole { End::Whole } else { End::Lost });
        let Driver::Machine { held, ticket, .. } = driver else { return };
        let shell = &mut self.routers[router];
        shell.end(&held);
        let mut out = Vec::new();
        let usage = admit::Usage { tokens, overloaded };
        shell.admission.release(now, ticket, usage, &mut out);
        self.verdicts(router, out);
    }

    fn set_timer(&mut self, number: usize) {
        let call = &mut self.calls[number];
        let due = match &call.driver {
            Driver::Machine { machine, .. } => machine.next_deadline(),
            Driver::Naive(_) => {
                let until = call.flight.as_ref().map(|flight| flight.until);
                until.map(|until| until.min(call.request.deadline))
            }
            Driver::Waiting | Driver::Done => None,
        };
        let Some(due) = due else { return };
        if call.timer.is_none_or(|timer| due < timer) {
            call.timer = Some(due);
            self.queue.push(due.max(self.now), Event::Timer { call: number });
        }
    }

    fn timer(&mut self, number: usize) {
        let now = self.now;
        if self.calls[number].timer.is_none_or(|timer| timer > now) {
            return;
        }
        self.calls[number].timer = None;
        let expired = self.calls[number].flight.take_if(|flight| now >= flight.until);
        if let Some(Flight { to, label, sent, .. }) = expired {
            let failure = Failure::Silent(now.since(sent.at));
            return self.failed(number, to, &label, &failure, sent.at);
        }
        let call = &mut self.calls[number];
        let actions = match &mut call.driver {
            Driver::Machine { machine, .. } => {
                machine.on_timer(&mut self.routers[call.router].context(now))
            }
            Driver::Naive(naive) if now >= call.request.deadline => naive.expire(self.plan.fleet),
            _ => Actions::new(),
        };
        self.act(number, actions);
    }

    fn failed(
        &mut self,
        number: usize,
        from: usize,
        label: &Label,
        failure: &Failure,
        sent: Instant,
    ) {
        let now = self.now;
        self.tally.fail(failure, label);
        let name = &self.plan.fleet.endpoints[from].0;
        let call = &mut self.calls[number];
        let router = &mut self.routers[call.router];
        let actions = match &mut call.driver {
            Driver::Machine { machine, .. } => {
                call.overloaded |= *failure == Failure::Overloaded;
                router.fail(name, failure, sent, now);
                machine.on_failure(&mut router.context(now), name, label, failure, None)
            }
            Driver::Naive(naive) => {
                call.tried = 0;
                naive.on_failure(self.plan.fleet, label)
            }
            Driver::Waiting | Driver::Done => Actions::new(),
        };
        self.act(number, actions);
    }

    fn answer(
        &mut self,
        number: usize,
        from: usize,
        label: Label,
        result: Result<Output, Failure>,
    ) {
        let now = self.now;
        let call = &mut self.calls[number];
        let flight = call.flight.take_if(|flight| flight.to == from && flight.label == label);
        let Some(flight) = flight else { return };
        let output = match result {
            Ok(output) => output,
            Err(failure) => {
                return self.failed(number, from, &label, &failure, flight.sent.at);
            }
        };
        let name = &self.plan.fleet.endpoints[from].0;
        let router = &mut self.routers[call.router];
        let actions = match &mut call.driver {
            Driver::Machine { machine, .. } => {
                router.succeed(name, &flight.sent, Link::bytes(&output), now);
                machine.on_reply(&mut router.context(now), name, Reply { label, output })
            }
            Driver::Naive(naive) => naive.on_reply(self.plan.fleet, &label, output),
            Driver::Waiting | Driver::Done => Actions::new(),
        };
        self.act(number, actions);
    }
}
