//! Runs the token pipeline of one request on its handler thread.
//!
//! The state machine in [`crate::pipeline`] decides; this module makes the
//! exchanges it asks for, one after the other, and returns their results to it.

use std::collections::VecDeque;
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::Node;
use super::installed::Installed;
use crate::emit;
use crate::engine::http::Import;
use crate::engine::{Failure, Label, Output, Reply, RequestId, Step};
use crate::event::Event;
use crate::health::{Availability, Exchange, HealthView};
use crate::pipeline::{
    Action, Actions, Context, Machine, Outcome, Replacement, Request, Scope, TimeoutLimits,
};
use crate::resource::Name;
use crate::route::{Chain, Choice, Refusal, RouteRequest, Sources, Stage};
use crate::time::Instant;

/// Size of the headers of a step, for the estimate of link time.
const STEP_OVERHEAD_BYTES: u64 = 512;

/// Cancellation of a request's work at an engine.
pub struct Cancel {
    /// The engine.
    pub endpoint: std::net::SocketAddr,
    /// The request.
    pub request: RequestId,
    /// The latest attempt to cancel.
    pub attempt: u32,
}

/// A validated request with the model that is to serve it.
pub struct Job<'a> {
    /// The model.
    pub pipeline: &'a Name,
    /// Its version.
    pub version: u32,
    /// The request.
    pub request: Request,
}

/// Result of a request.
pub struct RunResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Number of recoveries.
    pub recovered: u32,
    /// Whether an engine refused a step because of overload.
    pub overloaded: bool,
}

/// Estimates the service time of a request.
pub fn estimate(node: &Node, installed: &Installed, job: &Job<'_>) -> Result<Duration, Refusal> {
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    let adapter = job.request.adapter.as_ref();
    choose(node, installed, &new_route_request(job, adapter), &mut rng)
        .map(|choice| choice.estimate)
}

/// Runs a job. `on_token` is called for each token and returns false if the
/// caller has disconnected.
pub fn run(
    node: &Node,
    installed: &Installed,
    job: Job<'_>,
    on_token: &mut dyn FnMut(u32) -> bool,
) -> Result<RunResult, Refusal> {
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    let adapter = job.request.adapter.clone();
    let route_request = new_route_request(&job, adapter.as_ref());
    let chain = choose(node, installed, &route_request, &mut rng)?.chain;
    let cost = installed.recovery_cost(&chain);
    let mut relay = Relay {
        node,
        installed,
        route_request,
        rng,
        chain: chain.clone(),
        active: Vec::new(),
        overloaded: false,
    };
    relay.update_active(&chain);
    let (machine, actions) = {
        let mut budget = node.lock_budget();
        let now = node.clock.now();
        let mut context = Context { now, rng: &mut relay.rng, budget: &mut budget };
        Machine::start(&mut context, job.request, chain, cost, TimeoutLimits::default())
    };
    Ok(relay.drive(machine, actions, on_token))
}

struct Relay<'a> {
    node: &'a Node,
    installed: &'a Installed,
    route_request: RouteRequest<'a>,
    rng: Pcg64Mcg,
    chain: Chain,
    /// Endpoints that have work of this request, and since when.
    active: Vec<(Name, Instant)>,
    overloaded: bool,
}

impl Relay<'_> {
    fn drive(
        mut self,
        mut machine: Machine,
        actions: Actions,
        on_token: &mut dyn FnMut(u32) -> bool,
    ) -> RunResult {
        let mut queue: VecDeque<Action> = actions.into_iter().collect();
        let mut outcome = None;
        loop {
            while let Some(action) = queue.pop_front() {
                match action {
                    Action::Finish(finished) => outcome = Some(finished),
                    Action::Emit(token) if !on_token(token) => queue.extend(machine.cancel()),
                    Action::Emit(_) => {}
                    Action::CancelEngine { endpoint, request, attempt } => {
                        self.cancel(&endpoint, request, attempt);
                    }
                    action => queue.extend(self.perform(&mut machine, action)),
                }
            }
            if let Some(outcome) = outcome {
                return self.finish(&machine, outcome);
            }
            let next = machine.next_deadline().expect("an unfinished machine has a deadline");
            thread::sleep(next.since(self.node.clock.now()));
            queue.extend(self.step_machine(|context| machine.on_timer(context)));
        }
    }

    /// Performs an action and passes its result to the state machine.
    fn perform(&mut self, machine: &mut Machine, action: Action) -> Actions {
        match action {
            Action::Send { endpoint, step, timeout } => {
                let result = self.exchange(&endpoint, &step, timeout);
                self.step_machine(|context| match result {
                    Ok(reply) => machine.on_reply(context, &endpoint, reply),
                    Err(failure) => {
                        machine.on_failure(context, &endpoint, &step.label, &failure, None)
                    }
                })
            }
            Action::Import { from, to, label, timeout } => {
                let result = self.import(&from, &to, &label, timeout);
                self.step_machine(|context| {
                    machine.on_import(context, &to, &label, result.as_ref().copied())
                })
            }
            Action::NeedChain { avoid, scope } => {
                let replacement = self.choose_replacement(&avoid, scope);
                self.step_machine(|context| machine.on_chain(context, replacement))
            }
            // Hedging is not supported here: exchanges are made one at a time.
            Action::NeedHedge { .. } => Actions::new(),
            Action::Emit(_) | Action::CancelEngine { .. } | Action::Finish(_) => Actions::new(),
        }
    }

    /// Passes an input to the state machine. The lock is held only for the decision.
    fn step_machine(&mut self, input: impl FnOnce(&mut Context<'_>) -> Actions) -> Actions {
        let mut budget = self.node.lock_budget();
        let now = self.node.clock.now();
        input(&mut Context { now, rng: &mut self.rng, budget: &mut budget })
    }

    fn exchange(
        &mut self,
        endpoint: &Name,
        step: &Step,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        let sent = self.node.clock.now();
        let Some(address) = self.installed.address(endpoint) else {
            return Err(Failure::Unreachable("the endpoint is not declared".to_owned()));
        };
        let result = self.node.engines.step(address, step, timeout);
        self.overloaded |= result == Err(Failure::Overloaded);
        let now = self.node.clock.now();
        let mut health = self.node.lock_health();
        match &result {
            Ok(reply) => {
                let exchange = Exchange {
                    layers: step.label.layers.count(),
                    tokens: step.label.count,
                    bytes: STEP_OVERHEAD_BYTES + output_bytes(&reply.output),
                    total: now.since(sent),
                    service: None,
                };
                health.record_success(endpoint, &exchange, now);
            }
            Err(failure) => health.record_failure(endpoint, failure, sent, now, &mut self.rng),
        }
        result
    }

    fn import(
        &self,
        from: &Name,
        to: &Name,
        label: &Label,
        timeout: Duration,
    ) -> Result<(), Failure> {
        let undeclared = || Failure::Unreachable("the endpoint is not declared".to_owned());
        let from = self.installed.address(from).ok_or_else(undeclared)?;
        let to = self.installed.address(to).ok_or_else(undeclared)?;
        let import = Import { from, source: label.clone(), attempt: label.attempt };
        self.node.engines.import(to, &import, timeout)
    }

    /// Chooses a chain without the avoided endpoints. Within a range, the other
    /// stages are kept if possible.
    fn choose_replacement(&mut self, avoid: &[Name], scope: Scope) -> Option<Replacement> {
        let old = self.chain.clone();
        let kept: SmallVec<[Stage; 8]> = match scope {
            Scope::Whole => SmallVec::new(),
            Scope::Range(lost) => {
                let is_kept = |s: &&Stage| s.layers != lost && !avoid.contains(&s.endpoint);
                old.stages().iter().filter(is_kept).cloned().collect()
            }
        };
        let route_request = RouteRequest { avoid, kept: &kept, ..self.route_request };
        let whole_chain_request = RouteRequest { avoid, ..self.route_request };
        let chain = choose(self.node, self.installed, &route_request, &mut self.rng)
            .or_else(|_| choose(self.node, self.installed, &whole_chain_request, &mut self.rng))
            .ok()?
            .chain;
        let now = self.node.clock.now();
        let health = self.node.lock_health();
        let is_reachable =
            |name: &Name| health.condition(name, now).availability != Availability::Unreachable;
        let stages = old.stages().iter();
        let holders = stages.map(|s| s.endpoint.clone()).filter(is_reachable).collect();
        drop(health);
        emit!(self.node.log, Event::StageMoved, "scope" => format!("{scope:?}"));
        self.update_active(&chain);
        self.chain = chain.clone();
        let cost = self.installed.recovery_cost(&chain);
        Some(Replacement { chain, holders, cost })
    }

    /// Counts this request at the endpoints of a chain, and no longer at those
    /// that are not part of it.
    fn update_active(&mut self, chain: &Chain) {
        let now = self.node.clock.now();
        let mut health = self.node.lock_health();
        let mut kept = Vec::new();
        for (name, since) in self.active.drain(..) {
            if chain.stages().iter().any(|stage| stage.endpoint == name) {
                kept.push((name, since));
            } else {
                health.end(&name, since);
            }
        }
        for stage in chain.stages() {
            if !kept.iter().any(|(name, _)| *name == stage.endpoint) {
                health.begin(&stage.endpoint, now);
                kept.push((stage.endpoint.clone(), now));
            }
        }
        self.active = kept;
    }

    fn cancel(&self, endpoint: &Name, request: RequestId, attempt: u32) {
        if let Some(endpoint) = self.installed.address(endpoint) {
            // If the queue is full, the engine keeps the memory until it expires.
            let _ = self.node.cancels.try_send(Cancel { endpoint, request, attempt });
        }
    }

    fn finish(self, machine: &Machine, outcome: Outcome) -> RunResult {
        let mut health = self.node.lock_health();
        for (name, since) in &self.active {
            health.end(name, *since);
        }
        drop(health);
        let dropped = machine.drops().total();
        if dropped > 0 {
            emit!(self.node.log, Event::ReplyDropped, "count" => dropped);
        }
        RunResult { outcome, recovered: machine.recoveries(), overloaded: self.overloaded }
    }
}

fn new_route_request<'a>(job: &Job<'a>, adapter: Option<&'a Name>) -> RouteRequest<'a> {
    RouteRequest {
        pipeline: job.pipeline,
        version: job.version,
        prompt_tokens: job.request.prompt.len() as u32,
        output_tokens: job.request.max_tokens,
        adapter,
        prefixes: &[],
        avoid: &[],
        avoid_domains: &[],
        kept: &[],
    }
}

fn choose(
    node: &Node,
    installed: &Installed,
    route_request: &RouteRequest<'_>,
    rng: &mut Pcg64Mcg,
) -> Result<Choice, Refusal> {
    let now = node.clock.now();
    let health = node.lock_health();
    let affinity = node.lock_affinity();
    let sources = Sources { health: &*health, affinity: &affinity };
    installed.routes().choose(route_request, &sources, now, rng)
}

fn output_bytes(output: &Output) -> u64 {
    match output {
        Output::Hidden(hidden) => hidden.len() as u64 * 2,
        Output::Token(_) => size_of::<u32>() as u64,
    }
}
