//! Runs the token pipeline of one request on the thread of its caller.
//!
//! The machine decides; this module makes its exchanges one after the other
//! and feeds their results back.

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

/// Bytes of headers around a step's body, for the estimate of link time.
const STEP_OVERHEAD_BYTES: u64 = 512;

/// An engine's work for a request, to be dropped there.
pub struct Cancel {
    /// The engine.
    pub endpoint: std::net::SocketAddr,
    /// The request.
    pub request: RequestId,
    /// The latest attempt to drop.
    pub attempt: u32,
}

/// What a caller wants of a model, checked.
pub struct Job<'a> {
    /// The model.
    pub pipeline: &'a Name,
    /// Its version.
    pub version: u32,
    /// The request.
    pub request: Request,
}

/// How a request went.
pub struct Done {
    /// How it ended.
    pub outcome: Outcome,
    /// Recoveries on the way.
    pub recovered: u32,
    /// Whether an engine refused a step for load.
    pub overloaded: bool,
}

/// Estimates how long a request takes once it runs.
pub fn estimate(node: &Node, installed: &Installed, job: &Job<'_>) -> Result<Duration, Refusal> {
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    let adapter = job.request.adapter.as_ref();
    choose(node, installed, &ask(job, adapter), &mut rng).map(|choice| choice.estimate)
}

/// Runs a job; `emit` takes each token and says whether the caller is there.
pub fn run(
    node: &Node,
    installed: &Installed,
    job: Job<'_>,
    emit: &mut dyn FnMut(u32) -> bool,
) -> Result<Done, Refusal> {
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    let adapter = job.request.adapter.clone();
    let ask = ask(&job, adapter.as_ref());
    let chain = choose(node, installed, &ask, &mut rng)?.chain;
    let cost = installed.recovery_cost(&chain);
    let mut relay = Relay {
        node,
        installed,
        ask,
        rng,
        chain: chain.clone(),
        begun: Vec::new(),
        overloaded: false,
    };
    relay.begin(&chain);
    let (machine, actions) = {
        let mut budget = node.lock_budget();
        let now = node.clock.now();
        let mut context = Context { now, rng: &mut relay.rng, budget: &mut budget };
        Machine::start(&mut context, job.request, chain, cost, TimeoutLimits::default())
    };
    Ok(relay.drive(machine, actions, emit))
}

struct Relay<'a> {
    node: &'a Node,
    installed: &'a Installed,
    ask: RouteRequest<'a>,
    rng: Pcg64Mcg,
    chain: Chain,
    /// Endpoints with work of this request, and since when.
    begun: Vec<(Name, Instant)>,
    overloaded: bool,
}

impl Relay<'_> {
    fn drive(
        mut self,
        mut machine: Machine,
        actions: Actions,
        emit: &mut dyn FnMut(u32) -> bool,
    ) -> Done {
        let mut queue: VecDeque<Action> = actions.into_iter().collect();
        let mut outcome = None;
        loop {
            while let Some(action) = queue.pop_front() {
                match action {
                    Action::Finish(how) => outcome = Some(how),
                    Action::Emit(token) if !emit(token) => queue.extend(machine.cancel()),
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
            let next = machine.next_deadline().expect("a machine that has not finished waits");
            thread::sleep(next.since(self.node.clock.now()));
            queue.extend(self.input(|context| machine.on_timer(context)));
        }
    }

    /// Performs an action that has an answer, and hands the answer in.
    fn perform(&mut self, machine: &mut Machine, action: Action) -> Actions {
        match action {
            Action::Send { endpoint, step, timeout } => {
                let answer = self.exchange(&endpoint, &step, timeout);
                self.input(|context| match answer {
                    Ok(reply) => machine.on_reply(context, &endpoint, reply),
                    Err(failure) => {
                        machine.on_failure(context, &endpoint, &step.label, &failure, None)
                    }
                })
            }
            Action::Import { from, to, label, timeout } => {
                let result = self.import(&from, &to, &label, timeout);
                self.input(|context| {
                    machine.on_import(context, &to, &label, result.as_ref().copied())
                })
            }
            Action::NeedChain { avoid, scope } => {
                let replacement = self.replace(&avoid, scope);
                self.input(|context| machine.on_chain(context, replacement))
            }
            // Hedges are off: one exchange is made at a time.
            Action::NeedHedge { .. } => Actions::new(),
            Action::Emit(_) | Action::CancelEngine { .. } | Action::Finish(_) => Actions::new(),
        }
    }

    /// Hands an input to the machine. The lock is held for a decision only.
    fn input(&mut self, input: impl FnOnce(&mut Context<'_>) -> Actions) -> Actions {
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
        let answer = self.node.engines.step(address, step, timeout);
        self.overloaded |= answer == Err(Failure::Overloaded);
        let now = self.node.clock.now();
        let mut health = self.node.lock_health();
        match &answer {
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
        answer
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

    /// Chooses a chain without the avoided endpoints, keeping what it can.
    fn replace(&mut self, avoid: &[Name], scope: Scope) -> Option<Replacement> {
        let old = self.chain.clone();
        let kept: SmallVec<[Stage; 8]> = match scope {
            Scope::Whole => SmallVec::new(),
            Scope::Range(lost) => {
                let stays = |s: &&Stage| s.layers != lost && !avoid.contains(&s.endpoint);
                old.stages().iter().filter(stays).cloned().collect()
            }
        };
        let ask = RouteRequest { avoid, kept: &kept, ..self.ask };
        let ask_whole = RouteRequest { avoid, ..self.ask };
        let chain = choose(self.node, self.installed, &ask, &mut self.rng)
            .or_else(|_| choose(self.node, self.installed, &ask_whole, &mut self.rng))
            .ok()?
            .chain;
        let now = self.node.clock.now();
        let health = self.node.lock_health();
        let readable =
            |name: &Name| health.condition(name, now).availability != Availability::Unreachable;
        let stages = old.stages().iter();
        let holders = stages.map(|s| s.endpoint.clone()).filter(readable).collect();
        drop(health);
        emit!(self.node.log, Event::StageMoved, "scope" => format!("{scope:?}"));
        self.begin(&chain);
        self.chain = chain.clone();
        let cost = self.installed.recovery_cost(&chain);
        Some(Replacement { chain, holders, cost })
    }

    /// Counts this request's work at the endpoints of a chain, and no longer
    /// at those that it has left.
    fn begin(&mut self, chain: &Chain) {
        let now = self.node.clock.now();
        let mut health = self.node.lock_health();
        let mut kept = Vec::new();
        for (name, since) in self.begun.drain(..) {
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
        self.begun = kept;
    }

    fn cancel(&self, endpoint: &Name, request: RequestId, attempt: u32) {
        if let Some(endpoint) = self.installed.address(endpoint) {
            // A full queue costs the engine memory until its own expiry.
            let _ = self.node.cancels.try_send(Cancel { endpoint, request, attempt });
        }
    }

    fn finish(self, machine: &Machine, outcome: Outcome) -> Done {
        let mut health = self.node.lock_health();
        for (name, since) in &self.begun {
            health.end(name, *since);
        }
        drop(health);
        let dropped = machine.drops().total();
        if dropped > 0 {
            emit!(self.node.log, Event::ReplyDropped, "count" => dropped);
        }
        Done { outcome, recovered: machine.recoveries(), overloaded: self.overloaded }
    }
}

fn ask<'a>(job: &Job<'a>, adapter: Option<&'a Name>) -> RouteRequest<'a> {
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
    ask: &RouteRequest<'_>,
    rng: &mut Pcg64Mcg,
) -> Result<Choice, Refusal> {
    let now = node.clock.now();
    let health = node.lock_health();
    let affinity = node.lock_affinity();
    let sources = Sources { health: &*health, affinity: &affinity };
    installed.routes().choose(ask, &sources, now, rng)
}

fn output_bytes(output: &Output) -> u64 {
    match output {
        Output::Hidden(hidden) => hidden.len() as u64 * 2,
        Output::Token(_) => size_of::<u32>() as u64,
    }
}
