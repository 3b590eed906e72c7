//! Discrete-event simulation of routers, engines and callers.

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

/// Interval between load samples; reports lag by one interval.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a router polls endpoints and shares health reports.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a router polls its admission queue.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay until the VM list reflects a fault.
const VM_LIST_LAG: Duration = Duration::from_secs(1);
/// Time for which a leaving endpoint may still receive new work.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

/// The policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Routing, admission and recovery of the library.
    Library,
    /// Round-robin over replicas, no admission, failed requests restart.
    Naive,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The simulated endpoints.
    pub fleet: &'a Fleet,
    /// Request sizes and deadline.
    pub mix: &'a Mix,
    /// Offered load in requests per second.
    pub rate: f64,
    /// Time span in which requests arrive.
    pub duration: Duration,
    /// The fault to inject and its time.
    pub fault: Option<(Fault, Instant)>,
    /// The policy under test.
    pub policy: Policy,
    /// Seed of arrivals and routing decisions.
    pub seed: u64,
}

struct Simulation<'a> {
    plan: Plan<'a>,
    now: Instant,
    queue: Queue,
    engines: Vec<Engine>,
    links: Vec<Link>,
    /// Current and next load report of each engine.
    reports: Vec<(Load, Load)>,
    routers: Vec<Router>,
    calls: Vec<Call>,
    open: usize,
    arrivals: Pcg64Mcg,
    next_replica: usize,
    tally: Tally,
}

/// Runs a simulation and returns its statistics.
pub fn run(plan: Plan<'_>) -> Tally {
    let mut simulation = Simulation::new(plan);
    while let Some((at, event)) = simulation.queue.pop() {
        simulation.now = at;
        if simulation.is_over() {
            break;
        }
        simulation.handle(event);
    }
    simulation.tally.record_requests(&simulation.calls);
    simulation.tally
}

impl<'a> Simulation<'a> {
    fn new(plan: Plan<'a>) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let endpoints = 0..plan.fleet.endpoints.len();
        let mut simulation = Self {
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
        simulation.queue.push(Instant::ZERO, Event::Request);
        simulation.queue.push(Instant::ZERO, Event::Sample);
        for router in 0..ROUTERS {
            let first = Instant::ZERO + UPKEEP_INTERVAL * router as u32 / ROUTERS as u32;
            simulation.queue.push(first, Event::Upkeep { router });
            simulation.queue.push(Instant::ZERO, Event::Queue { router });
        }
        if let Some((_, at)) = plan.fault {
            simulation.queue.push(at, Event::Fault);
            simulation.queue.push(at + VM_LIST_LAG, Event::VmListUpdate);
        }
        simulation
    }

    fn is_over(&self) -> bool {
        self.now.since(Instant::ZERO) > self.plan.duration && self.open == 0
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.on_request(),
            Event::Arrive { to, job } => self.on_step_arrival(to, job),
            Event::IterationEnd { at, epoch } => self.finish_iteration(at, epoch),
            Event::Answer { call, from, label, result } => {
                self.on_answer(call, from, label, result)
            }
            Event::Export { call, from, to, label } => self.export(call, from, to, label),
            Event::Import { call, to, label, cache } => self.import(call, to, label, cache),
            Event::CopyResult { call, to, label, result } => {
                self.on_copy_result(call, to, &label, &result)
            }
            Event::Release { at, call, attempt } => self.engines[at].release(call, attempt),
            Event::Timer { call } => self.on_timer(call),
            Event::Sample => self.sample_loads(),
            Event::Upkeep { router } => self.run_upkeep(router),
            Event::Queue { router } => self.poll_queue(router),
            Event::Fault => self.inject_fault(),
            Event::VmListUpdate => self.update_vm_list(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.queue.push(self.now + after, event);
    }

    // Requests.

    fn on_request(&mut self) {
        if self.now.since(Instant::ZERO) > self.plan.duration {
            return;
        }
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / self.plan.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Request);
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
        self.apply_decisions(router, out);
    }

    fn start_naive(&mut self, number: usize) {
        let replicas = self.plan.fleet.endpoints.len() / usize::from(fleet::STAGES);
        let mut naive = Naive::new(self.calls[number].request.clone(), self.next_replica);
        self.next_replica = (self.next_replica + 1) % replicas;
        let actions = naive.start(self.plan.fleet);
        self.calls[number].driver = Driver::Naive(naive);
        self.apply_actions(number, actions);
    }

    fn apply_decisions(&mut self, router: usize, mut out: Vec<admit::Action>) {
        while !out.is_empty() {
            let mut next = Vec::new();
            for action in out {
                match action {
                    admit::Action::Dispatch(ticket) => self.dispatch(router, ticket, &mut next),
                    admit::Action::Refuse { ticket, refusal, .. } => {
                        let call = self.routers[router].waiting.remove(&ticket);
                        self.tally.record_refusal(refusal);
                        self.close(call.expect("each ticket is decided once"), End::Refused);
                    }
                }
            }
            out = next;
        }
    }

    fn dispatch(&mut self, router: usize, ticket: admit::Ticket, out: &mut Vec<admit::Action>) {
        let (now, fleet) = (self.now, self.plan.fleet);
        let state = &mut self.routers[router];
        let number = state.waiting.remove(&ticket).expect("each ticket is decided once");
        let request = self.calls[number].request.clone();
        let Ok(active) = state.begin(fleet, &request, now) else {
            let usage = admit::Usage { tokens: 0, overloaded: false };
            state.admission.release(now, ticket, usage, out);
            self.tally.no_chain += 1;
            return self.close(number, End::Refused);
        };
        let cost = cost(fleet, &active.chain);
        let chain = active.chain.clone();
        let limits = TimeoutLimits::default();
        let (machine, actions) =
            Machine::start(&mut state.context(now), request, chain, cost, limits);
        self.calls[number].driver = Driver::Machine { machine: Box::new(machine), active, ticket };
        self.apply_actions(number, actions);
    }

    fn close(&mut self, number: usize, end: End) {
        let call = &mut self.calls[number];
        if call.end != End::Open {
            return;
        }
        (call.end, call.ended) = (end, self.now);
        self.open -= 1;
        if end == End::Refused && call.steps_run > 0 {
            self.tally.record_violation("refused request ran a step", self.now);
        }
    }

    // Actions of the request state machines.

    fn apply_actions(&mut self, number: usize, actions: Actions) {
        let mut left = actions;
        while !left.is_empty() {
            let mut next = Actions::new();
            for action in left {
                next.extend(self.apply_action(number, action));
            }
            left = next;
        }
        self.set_timer(number);
    }

    fn apply_action(&mut self, number: usize, action: Action) -> Actions {
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
                self.schedule(after, Event::Arrive { to, job: Job { router, call: number, step } });
            }
            Action::Import { from, to, label, .. } => {
                let (from, to) = (fleet::number(&from), fleet::number(&to));
                let latency = self.plan.fleet.latency(self.calls[number].router, to);
                self.schedule(latency, Event::Export { call: number, from, to, label });
            }
            Action::CancelEngine { endpoint, attempt, .. } => {
                let at = fleet::number(&endpoint);
                let latency = self.plan.fleet.latency(self.calls[number].router, at);
                self.schedule(latency, Event::Release { at, call: number, attempt });
            }
            Action::Emit(token) => self.emit(number, token),
            Action::NeedChain { avoid, scope } => {
                let now = self.now;
                let call = &mut self.calls[number];
                let Driver::Machine { machine, active, .. } = &mut call.driver else {
                    return Actions::new();
                };
                let router = &mut self.routers[call.router];
                let found =
                    router.replace(self.plan.fleet, &call.request, active, &avoid, scope, now);
                return machine.on_chain(&mut router.context(now), found);
            }
            Action::NeedHedge { .. } => {}
            Action::Finish(outcome) => self.finish(number, &outcome),
        }
        Actions::new()
    }

    fn emit(&mut self, number: usize, token: u32) {
        let call = &mut self.calls[number];
        call.attempt_tokens += 1;
        if call.attempt_tokens <= call.emitted {
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
            self.tally.record_token(self.now);
        } else {
            self.tally.record_violation("wrong token", self.now);
        }
    }

    fn finish(&mut self, number: usize, outcome: &Outcome) {
        let now = self.now;
        let call = &mut self.calls[number];
        let router = call.router;
        let whole = *outcome == Outcome::Complete;
        if whole && call.emitted != call.request.max_tokens {
            self.tally.record_violation("completed answer has the wrong number of tokens", now);
        }
        let effect = match outcome {
            Outcome::Failed { effect, .. } | Outcome::DeadlineExceeded { effect } => *effect,
            Outcome::Complete | Outcome::Cancelled => Effect::Failed,
        };
        if effect == Effect::NotRun && call.steps_run > 0 {
            self.tally.record_violation("request reported as not run had run a step", now);
        }
        let tokens = call.request.prompt.len() as u32 + call.emitted;
        let overloaded = call.overloaded;
        let driver = std::mem::replace(&mut call.driver, Driver::Done);
        call.flight = None;
        if !whole {
            self.tally.record_loss(outcome, call.arrived);
        }
        self.close(number, if whole { End::Complete } else { End::Lost });
        let Driver::Machine { active, ticket, .. } = driver else { return };
        let state = &mut self.routers[router];
        state.end(&active);
        let mut out = Vec::new();
        let usage = admit::Usage { tokens, overloaded };
        state.admission.release(now, ticket, usage, &mut out);
        self.apply_decisions(router, out);
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

    fn on_timer(&mut self, number: usize) {
        let now = self.now;
        if self.calls[number].timer.is_none_or(|timer| timer > now) {
            return;
        }
        self.calls[number].timer = None;
        let expired = self.calls[number].flight.take_if(|flight| now >= flight.until);
        if let Some(Flight { to, label, sent, .. }) = expired {
            let failure = Failure::Silent(now.since(sent.at));
            return self.on_failure(number, to, &label, &failure, sent.at);
        }
        let call = &mut self.calls[number];
        let actions = match &mut call.driver {
            Driver::Machine { machine, .. } => {
                machine.on_timer(&mut self.routers[call.router].context(now))
            }
            Driver::Naive(naive) if now >= call.request.deadline => naive.expire(self.plan.fleet),
            _ => Actions::new(),
        };
        self.apply_actions(number, actions);
    }

    fn on_failure(
        &mut self,
        number: usize,
        from: usize,
        label: &Label,
        failure: &Failure,
        sent: Instant,
    ) {
        let now = self.now;
        self.tally.record_failure(failure, label);
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
                call.attempt_tokens = 0;
                naive.on_failure(self.plan.fleet, label)
            }
            Driver::Waiting | Driver::Done => Actions::new(),
        };
        self.apply_actions(number, actions);
    }

    fn on_answer(
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
                return self.on_failure(number, from, &label, &failure, flight.sent.at);
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
        self.apply_actions(number, actions);
    }
}
