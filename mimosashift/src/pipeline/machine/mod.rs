//! The state machine of one request.

use std::time::Duration;

use smallvec::SmallVec;

use super::action::{Action, Actions, Code, Context, Effect, Outcome, Request};
use super::ledger::{Drops, Ledger};
use super::progress::{Limits, Progress};
use super::recovery::{Cost, Transfer};
use super::retry;
use crate::engine::{Failure, Input, Label, Output, Reply, RequestId};
use crate::resource::{Layers, Name};
use crate::route::Chain;
use crate::time::Instant;

mod recover;
mod step;

/// How long a failed endpoint is not asked again.
const AVOID: Duration = Duration::from_secs(1);
/// How long a chain is looked for before the request is given up.
const CHAIN_WAIT: Duration = Duration::from_secs(4);
/// Shortest pause between two searches for a chain.
const CHAIN_RETRY_MIN: Duration = Duration::from_millis(50);

/// A chain that replaces an interrupted one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The chain.
    pub chain: Chain,
    /// Endpoints of the old chain whose KV cache can probably still be read.
    pub holders: SmallVec<[Name; 4]>,
    /// Cost of recovery on the new chain.
    pub cost: Cost,
}

/// Drives one request through the stages of a chain.
///
/// Inputs may come in any order and any number of times: whatever does not
/// answer the step in flight is dropped. The request finishes exactly once,
/// with [`Action::Finish`]; later inputs yield nothing.
#[derive(Debug)]
pub struct Machine {
    request: Request,
    chain: Chain,
    cost: Cost,
    attempt: u32,
    /// Prompt and accepted tokens.
    tokens: Vec<u32>,
    work: Work,
    phase: Phase,
    ledger: Ledger,
    progress: Progress,
    avoid: SmallVec<[(Name, Instant); 4]>,
    /// Endpoints whose state is lost or cannot be trusted.
    gone: SmallVec<[Name; 4]>,
    used: SmallVec<[Use; 8]>,
    token_began: Instant,
    /// Recoveries since the last accepted token.
    recoveries: u32,
    overloads: u32,
    recovered: u32,
    certainty: Certainty,
}

/// The step to be run next, or in flight.
#[derive(Debug)]
struct Work {
    stage: usize,
    position: u32,
    count: u32,
    input: Input,
}

/// An endpoint that was given work.
#[derive(Debug)]
struct Use {
    endpoint: Name,
    /// The latest attempt that it was given.
    attempt: u32,
    released: bool,
}

/// Where the life cycle of a request stands.
#[derive(Debug)]
enum Phase {
    /// A step is in flight.
    Running { sent: Instant, until: Instant },
    /// A pause before the next try.
    Backoff { until: Instant, next: Next },
    /// A chain was asked for; `again` is set while none is to be had.
    Choosing { lost: Layers, since: Instant, again: Option<Instant>, asked: u32 },
    /// The first of these copies is in flight.
    Importing { transfers: SmallVec<[Transfer; 2]>, until: Instant },
    /// The request is over.
    Done,
}

/// What follows a failure.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// Send the refused step again.
    Resend,
    /// Run the whole prefix on the same chain as a new attempt.
    Rebuild,
    /// Move the layers of the stage.
    Replace,
}

/// What is known about work done at engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    NothingRan,
    MayHaveRun,
    Ran,
}

impl Machine {
    /// Starts a request over `chain` with the first step of its prompt.
    pub fn start(
        ctx: &mut Context<'_>,
        request: Request,
        chain: Chain,
        cost: Cost,
        limits: Limits,
    ) -> (Self, Actions) {
        let tokens = request.prompt.clone();
        let work = Work::prefill(&tokens);
        let progress = Progress::new(limits, &chain);
        let mut machine = Self {
            request,
            chain,
            cost,
            attempt: 1,
            tokens,
            work,
            phase: Phase::Done,
            ledger: Ledger::default(),
            progress,
            avoid: SmallVec::new(),
            gone: SmallVec::new(),
            used: SmallVec::new(),
            token_began: ctx.now,
            recoveries: 0,
            overloads: 0,
            recovered: 0,
            certainty: Certainty::NothingRan,
        };
        let mut actions = Actions::new();
        ctx.budget.on_request(ctx.now);
        machine.begin(ctx, &mut actions);
        (machine, actions)
    }

    /// Takes the answer of a stage.
    pub fn on_reply(&mut self, ctx: &mut Context<'_>, endpoint: &Name, reply: Reply) -> Actions {
        let mut actions = Actions::new();
        if self.expired(ctx, &mut actions) {
            return actions;
        }
        let Phase::Running { sent, .. } = self.phase else {
            self.ledger.reject_idle();
            return actions;
        };
        if self.ledger.accept(endpoint, &reply.label).is_err() {
            return actions;
        }
        if self.work.count == 1 {
            self.progress.observe(self.work.stage, ctx.now.since(sent));
        }
        let last = self.work.stage + 1 == self.chain.stages().len();
        match reply.output {
            Output::Token(token) if last => self.on_token(ctx, token, &mut actions),
            Output::Hidden(hidden) if !last && !hidden.is_empty() => {
                self.certainty = Certainty::Ran;
                self.overloads = 0;
                self.work.stage += 1;
                self.work.input = Input::Hidden(hidden);
                self.send(ctx, &mut actions);
            }
            _ => {
                let failure = Failure::Malformed("output of another stage".to_owned());
                self.recover(ctx, &failure, None, &mut actions);
            }
        }
        actions
    }

    /// Takes the news that the step with this label gave no answer.
    ///
    /// `retry_after` is the pause that the endpoint asked for, if any.
    pub fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        endpoint: &Name,
        label: &Label,
        failure: &Failure,
        retry_after: Option<Duration>,
    ) -> Actions {
        let mut actions = Actions::new();
        if self.expired(ctx, &mut actions) {
            return actions;
        }
        if !matches!(self.phase, Phase::Running { .. }) {
            self.ledger.reject_idle();
            return actions;
        }
        if self.ledger.accept(endpoint, label).is_ok() {
            self.recover(ctx, failure, retry_after, &mut actions);
        }
        actions
    }

    /// Takes the answer to [`Action::NeedChain`]; `None` when there is none.
    pub fn on_chain(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        let mut actions = Actions::new();
        if self.expired(ctx, &mut actions) {
            return actions;
        }
        let Phase::Choosing { lost, since, again: None, asked } = self.phase else {
            return actions;
        };
        if let Some(replacement) = replacement.filter(|found| self.usable(ctx.now, found)) {
            self.replace(ctx, replacement, &mut actions);
            return actions;
        }
        if ctx.now.since(since) >= CHAIN_WAIT {
            self.fail(Code::NoChain, Some(AVOID), &mut actions);
            return actions;
        }
        let pause = CHAIN_RETRY_MIN + retry::backoff(asked, None, ctx.rng);
        self.phase = Phase::Choosing { lost, since, again: Some(ctx.now + pause), asked };
        actions
    }

    /// Takes the answer to [`Action::Import`]: the label of the cache that the
    /// endpoint now holds, or the label asked for when there was a failure.
    pub fn on_import(
        &mut self,
        ctx: &mut Context<'_>,
        to: &Name,
        label: &Label,
        result: Result<(), &Failure>,
    ) -> Actions {
        let mut actions = Actions::new();
        if self.expired(ctx, &mut actions) {
            return actions;
        }
        let Phase::Importing { transfers, .. } = &mut self.phase else {
            self.ledger.reject_idle();
            return actions;
        };
        if self.ledger.accept(to, label).is_err() {
            return actions;
        }
        if result.is_err() {
            self.rebuild(ctx, &mut actions);
            return actions;
        }
        let mut left = std::mem::take(transfers);
        left.remove(0);
        self.resume(ctx, left, &mut actions);
        actions
    }

    /// Takes the time; to be called at [`Machine::next_deadline`] or later.
    pub fn on_time(&mut self, ctx: &mut Context<'_>) -> Actions {
        let mut actions = Actions::new();
        if self.expired(ctx, &mut actions) {
            return actions;
        }
        match self.phase {
            Phase::Running { sent, until } if ctx.now >= until => {
                self.ledger.clear();
                let failure = Failure::Silent(ctx.now.since(sent));
                self.recover(ctx, &failure, None, &mut actions);
            }
            Phase::Backoff { until, next } if ctx.now >= until => {
                self.proceed(ctx, next, &mut actions);
            }
            Phase::Choosing { lost, since, again: Some(again), asked } if ctx.now >= again => {
                self.choose(ctx.now, lost, since, asked + 1, &mut actions);
            }
            Phase::Importing { until, .. } if ctx.now >= until => {
                self.ledger.clear();
                self.rebuild(ctx, &mut actions);
            }
            _ => {}
        }
        actions
    }

    /// Ends the request because its caller went away.
    pub fn cancel(&mut self) -> Actions {
        let mut actions = Actions::new();
        self.finish(Outcome::Cancelled, &mut actions);
        actions
    }

    /// When [`Machine::on_time`] must be called next, or `None` when done.
    pub fn next_deadline(&self) -> Option<Instant> {
        let next = match self.phase {
            Phase::Running { until, .. }
            | Phase::Backoff { until, .. }
            | Phase::Importing { until, .. } => until,
            Phase::Choosing { again, .. } => again.unwrap_or(self.request.deadline),
            Phase::Done => return None,
        };
        Some(next.min(self.request.deadline))
    }

    /// Whether the request is over.
    pub const fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// Tokens emitted so far.
    pub fn emitted(&self) -> &[u32] {
        &self.tokens[self.request.prompt.len()..]
    }

    /// Recoveries so far.
    pub const fn recovered(&self) -> u32 {
        self.recovered
    }

    /// Answers that were dropped.
    pub const fn drops(&self) -> &Drops {
        self.ledger.drops()
    }
}

impl Machine {
    /// Finishes when the deadline has passed; true when there is nothing more
    /// to do.
    fn expired(&mut self, ctx: &Context<'_>, actions: &mut Actions) -> bool {
        if self.is_done() {
            return true;
        }
        if ctx.now < self.request.deadline {
            return false;
        }
        let effect = self.effect();
        self.finish(Outcome::DeadlineExceeded { effect }, actions);
        true
    }

    fn fail(&mut self, code: Code, retry_after: Option<Duration>, actions: &mut Actions) {
        let effect = self.effect();
        self.finish(Outcome::Failed { code, effect, retry_after }, actions);
    }

    /// Fails a request of which nothing was sent.
    fn fail_first(&self, code: Code, actions: &mut Actions) {
        let effect = Effect::NotRun;
        actions.push(Action::Finish(Outcome::Failed { code, effect, retry_after: None }));
    }

    fn finish(&mut self, outcome: Outcome, actions: &mut Actions) {
        if self.is_done() {
            return;
        }
        self.phase = Phase::Done;
        self.ledger.clear();
        actions.push(Action::Finish(outcome));
        for used in &mut self.used {
            actions.extend(used.release(self.request.id));
        }
    }

    const fn effect(&self) -> Effect {
        match self.certainty {
            Certainty::Ran => Effect::Failed,
            Certainty::MayHaveRun => Effect::Unknown,
            Certainty::NothingRan if self.ledger.is_waiting() => Effect::Unknown,
            Certainty::NothingRan => Effect::NotRun,
        }
    }
}

impl Work {
    fn prefill(tokens: &[u32]) -> Self {
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        Self { stage: 0, position: 0, count, input: Input::Tokens(tokens.to_vec()) }
    }

    fn decode(position: u32, token: u32) -> Self {
        Self { stage: 0, position, count: 1, input: Input::Tokens(vec![token]) }
    }
}

impl Use {
    /// Has the endpoint release the attempt, once.
    fn release(&mut self, request: RequestId) -> Option<Action> {
        let (endpoint, attempt) = (self.endpoint.clone(), self.attempt);
        let released = std::mem::replace(&mut self.released, true);
        (!released).then_some(Action::CancelEngine { endpoint, request, attempt })
    }
}
