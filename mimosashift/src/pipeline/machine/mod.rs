//! State machine of one request.

use std::time::Duration;

use smallvec::SmallVec;

use super::action::{Actions, Context, FailureCode, Outcome, Request};
use super::recovery::{Cost, Transfer};
use super::reply_filter::{DropCounts, ReplyFilter};
use super::retry;
use super::step_times::{StepTimes, TimeoutLimits};
use crate::engine::{Failure, Input, Label, Output, Reply};
use crate::resource::{Layers, Name};
use crate::route::Chain;
use crate::time::Instant;

mod finish;
mod hedge;
mod recover;
mod step;

/// Minimum time for which a failed endpoint is excluded; also the `retry_after` of
/// a request for which no chain was found.
const MIN_EXCLUSION_TIME: Duration = Duration::from_secs(1);
/// How long a chain is searched for before the request fails.
const CHAIN_SEARCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum pause between two searches for a chain.
const MIN_CHAIN_SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// A chain that replaces an interrupted one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The chain.
    pub chain: Chain,
    /// Endpoints of the old chain that are not known to be unreachable, so that
    /// their KV cache may be copied.
    pub holders: SmallVec<[Name; 4]>,
    /// Cost of recovery on the new chain.
    pub cost: Cost,
}

/// Drives one request through the stages of a chain.
///
/// Inputs may arrive in any order and any number of times: a reply that does
/// not match the step in flight is dropped. The request finishes exactly once,
/// with [`Action::Finish`](super::Action::Finish); later inputs yield nothing.
#[derive(Debug)]
pub struct Machine {
    request: Request,
    chain: Chain,
    cost: Cost,
    attempt: u32,
    /// Lowest number that the next attempt may use.
    next_attempt: u32,
    /// Prompt followed by the accepted tokens.
    tokens: Vec<u32>,
    step: PendingStep,
    phase: Phase,
    reply_filter: ReplyFilter,
    step_times: StepTimes,
    /// Excluded endpoints, and when each exclusion ends.
    excluded: SmallVec<[(Name, Instant); 4]>,
    /// Endpoints whose KV cache is lost or unreliable.
    cache_lost: SmallVec<[Name; 4]>,
    used: SmallVec<[UsedEndpoint; 8]>,
    /// When the first step of the current token was sent; at first the start of
    /// the request.
    token_sent_at: Instant,
    /// Recoveries since the last accepted token.
    recoveries_since_token: u32,
    /// Number of steps without an answer since the last token.
    lost_steps: u32,
    /// Retries at an overloaded endpoint since the last accepted reply or change
    /// of chain.
    overload_retries: u32,
    total_recoveries: u32,
    execution: Execution,
}

/// The step that is in flight or will be sent next.
#[derive(Debug)]
struct PendingStep {
    stage: usize,
    position: u32,
    count: u32,
    input: Input,
}

/// An endpoint that received a step or a cache copy.
#[derive(Debug)]
struct UsedEndpoint {
    endpoint: Name,
    /// The latest attempt sent to it. For an endpoint of a cancelled chain of the
    /// same request, the attempt of this machine.
    attempt: u32,
    released: bool,
}

/// What a request is waiting for.
#[derive(Debug)]
enum Phase {
    /// A step is in flight and times out at `until`.
    Running { sent: Instant, until: Instant },
    /// The recovery starts at `until`.
    Backoff { until: Instant, recovery: Recovery },
    /// Searching for a replacement of the stage of layers `lost` since `since`.
    /// `retry_at` is when the next search starts, if the last one found none.
    SearchingChain { lost: Layers, since: Instant, retry_at: Option<Instant>, searches: u32 },
    /// The first of these transfers is in flight and times out at `until`.
    Importing { transfers: SmallVec<[Transfer; 2]>, until: Instant },
    /// The request is finished, or its first step has not been sent yet.
    Done,
}

/// How a failed step is recovered.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    /// Resend the refused step.
    Resend,
    /// Recompute the KV cache: run the whole prefix on the same chain again, as a
    /// new attempt.
    Rebuild,
    /// Move the layers of the failed stage to another endpoint.
    Replace,
}

/// Whether any step of the request ran on an engine, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Execution {
    NothingRan,
    MayHaveRun,
    Ran,
}

impl Machine {
    /// Starts a request on `chain` with the first step of its prompt.
    pub fn start(
        ctx: &mut Context<'_>,
        request: Request,
        chain: Chain,
        cost: Cost,
        limits: TimeoutLimits,
    ) -> (Self, Actions) {
        let mut machine = Self::new(request, chain, cost, StepTimes::new(limits), 1, ctx.now);
        let mut actions = Actions::new();
        ctx.budget.on_request(ctx.now);
        machine.send_first_step(ctx, &mut actions);
        (machine, actions)
    }

    fn new(
        request: Request,
        chain: Chain,
        cost: Cost,
        mut step_times: StepTimes,
        attempt: u32,
        now: Instant,
    ) -> Self {
        let tokens = request.prompt.clone();
        let step = PendingStep::prefill(&tokens);
        step_times.set_chain(&chain);
        Self {
            request,
            chain,
            cost,
            attempt,
            next_attempt: attempt + 1,
            tokens,
            step,
            phase: Phase::Done,
            reply_filter: ReplyFilter::default(),
            step_times,
            excluded: SmallVec::new(),
            cache_lost: SmallVec::new(),
            used: SmallVec::new(),
            token_sent_at: now,
            recoveries_since_token: 0,
            lost_steps: 0,
            overload_retries: 0,
            total_recoveries: 0,
            execution: Execution::NothingRan,
        }
    }

    /// Handles the reply of a stage.
    pub fn on_reply(&mut self, ctx: &mut Context<'_>, endpoint: &Name, reply: Reply) -> Actions {
        let mut actions = Actions::new();
        if self.finish_if_expired(ctx, &mut actions) {
            return actions;
        }
        let Phase::Running { sent, .. } = self.phase else {
            self.reply_filter.count_unexpected();
            return actions;
        };
        if self.reply_filter.accept(endpoint, &reply.label).is_err() {
            return actions;
        }
        if self.step.count == 1 {
            self.step_times.observe(self.step.stage, ctx.now.since(sent));
        }
        let last = self.step.stage + 1 == self.chain.stages().len();
        match reply.output {
            Output::Token(token) if last => self.on_token(ctx, token, &mut actions),
            Output::Hidden(hidden) if !last && !hidden.is_empty() => {
                self.execution = Execution::Ran;
                self.overload_retries = 0;
                self.step.stage += 1;
                self.step.input = Input::Hidden(hidden);
                self.send(ctx, &mut actions);
            }
            _ => {
                let failure = Failure::Malformed(
                    "wrong output type for this stage, or empty hidden state".to_owned(),
                );
                self.recover(ctx, &failure, None, &mut actions);
            }
        }
        actions
    }

    /// Handles the failure of the step with this label.
    ///
    /// `retry_after` is the pause that the endpoint requested, if any.
    pub fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        endpoint: &Name,
        label: &Label,
        failure: &Failure,
        retry_after: Option<Duration>,
    ) -> Actions {
        let mut actions = Actions::new();
        if self.finish_if_expired(ctx, &mut actions) {
            return actions;
        }
        if !matches!(self.phase, Phase::Running { .. }) {
            self.reply_filter.count_unexpected();
            return actions;
        }
        if self.reply_filter.accept(endpoint, label).is_ok() {
            self.recover(ctx, failure, retry_after, &mut actions);
        }
        actions
    }

    /// Handles the result of [`Action::NeedChain`](super::Action::NeedChain); `replacement`
    /// is `None` if no chain was found.
    pub fn on_chain(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        let mut actions = Actions::new();
        if self.finish_if_expired(ctx, &mut actions) {
            return actions;
        }
        let Phase::SearchingChain { lost, since, retry_at: None, searches } = self.phase else {
            return actions;
        };
        if let Some(replacement) =
            replacement.filter(|replacement| self.is_usable(ctx.now, replacement))
        {
            self.replace(ctx, replacement, &mut actions);
            return actions;
        }
        if ctx.now.since(since) >= CHAIN_SEARCH_TIMEOUT {
            self.fail(FailureCode::NoChain, Some(MIN_EXCLUSION_TIME), &mut actions);
            return actions;
        }
        let pause = MIN_CHAIN_SEARCH_PAUSE + retry::backoff(searches, None, ctx.rng);
        self.phase =
            Phase::SearchingChain { lost, since, retry_at: Some(ctx.now + pause), searches };
        actions
    }

    /// Handles the result of [`Action::Import`](super::Action::Import): `label` is
    /// that of the cache that the endpoint now holds, or the requested one after a
    /// failure.
    pub fn on_import(
        &mut self,
        ctx: &mut Context<'_>,
        to: &Name,
        label: &Label,
        result: Result<(), &Failure>,
    ) -> Actions {
        let mut actions = Actions::new();
        if self.finish_if_expired(ctx, &mut actions) {
            return actions;
        }
        let Phase::Importing { transfers, .. } = &mut self.phase else {
            self.reply_filter.count_unexpected();
            return actions;
        };
        if self.reply_filter.accept(to, label).is_err() {
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

    /// Handles expired timeouts and pauses; must be called at
    /// [`Machine::next_deadline`] or later.
    pub fn on_timer(&mut self, ctx: &mut Context<'_>) -> Actions {
        let mut actions = Actions::new();
        if self.finish_if_expired(ctx, &mut actions) {
            return actions;
        }
        match self.phase {
            Phase::Running { sent, until } if ctx.now >= until => {
                self.reply_filter.clear();
                let failure = Failure::Silent(ctx.now.since(sent));
                self.recover(ctx, &failure, None, &mut actions);
            }
            Phase::Backoff { until, recovery } if ctx.now >= until => {
                self.start_recovery(ctx, recovery, &mut actions);
            }
            Phase::SearchingChain { lost, since, retry_at: Some(retry_at), searches }
                if ctx.now >= retry_at =>
            {
                self.request_chain(ctx.now, lost, since, searches + 1, &mut actions);
            }
            Phase::Importing { until, .. } if ctx.now >= until => {
                self.reply_filter.clear();
                self.rebuild(ctx, &mut actions);
            }
            _ => {}
        }
        actions
    }

    /// Ends the request because its caller disconnected.
    pub fn cancel(&mut self) -> Actions {
        let mut actions = Actions::new();
        self.finish(Outcome::Cancelled, &mut actions);
        actions
    }

    /// When [`Machine::on_timer`] must be called next, or `None` if the request is
    /// finished.
    pub fn next_deadline(&self) -> Option<Instant> {
        let next = match self.phase {
            Phase::Running { until, .. }
            | Phase::Backoff { until, .. }
            | Phase::Importing { until, .. } => until,
            Phase::SearchingChain { retry_at, .. } => retry_at.unwrap_or(self.request.deadline),
            Phase::Done => return None,
        };
        Some(next.min(self.request.deadline))
    }

    /// Whether the request is finished.
    pub const fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    /// The chain in use.
    pub const fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Tokens emitted so far.
    pub fn emitted(&self) -> &[u32] {
        &self.tokens[self.request.prompt.len()..]
    }

    /// Number of recoveries so far.
    pub const fn recoveries(&self) -> u32 {
        self.total_recoveries
    }

    /// Counts of the replies dropped.
    pub const fn drops(&self) -> &DropCounts {
        self.reply_filter.drops()
    }
}

impl PendingStep {
    fn prefill(tokens: &[u32]) -> Self {
        let count = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
        Self { stage: 0, position: 0, count, input: Input::Tokens(tokens.to_vec()) }
    }

    fn decode(position: u32, token: u32) -> Self {
        Self { stage: 0, position, count: 1, input: Input::Tokens(vec![token]) }
    }
}
