//! Recovery of a request after a failed step.

use std::time::Duration;

use smallvec::SmallVec;

use super::{
    Execution, MIN_EXCLUSION_TIME, Machine, PendingStep, Phase, Recovery, Replacement, UsedEndpoint,
};
use crate::engine::Failure;
use crate::pipeline::action::{Action, Actions, Context, FailureCode, Scope};
use crate::pipeline::recovery::{self, Endpoints, InterruptedStep, Plan, Transfer};
use crate::pipeline::retry;
use crate::resource::{Layers, Name};
use crate::route::Chain;
use crate::time::Instant;

/// Maximum number of retries at an overloaded endpoint before it is replaced.
const MAX_OVERLOAD_RETRIES: u32 = 2;
/// Maximum `retry_after` of an overloaded endpoint; with a longer one, the endpoint
/// is replaced.
const MAX_OVERLOAD_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of steps in a row that may have run and got no answer. A request
/// that ends each engine it reaches must not go on to the next one.
const MAX_LOST_STEPS: u32 = 7;
/// Extra time in the timeout of a transfer.
const IMPORT_TIMEOUT_MARGIN: Duration = Duration::from_millis(50);

impl Machine {
    /// Starts or schedules the recovery of the failed step; fails the request if the
    /// time or the retry budget does not suffice.
    pub(super) fn recover(
        &mut self,
        ctx: &mut Context<'_>,
        failure: &Failure,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        if !failure.not_run() {
            self.execution = self.execution.max(Execution::MayHaveRun);
        }
        if matches!(failure, Failure::Silent(_) | Failure::Malformed(_)) {
            if self.lost_steps == MAX_LOST_STEPS {
                return self.fail(FailureCode::EnginesLost, None, actions);
            }
            self.lost_steps += 1;
        }
        let recovery = self.choose_recovery(failure, retry_after, ctx.now);
        let immediate = self.recoveries_since_token == 0 && *failure != Failure::Overloaded;
        let pause = if immediate {
            Duration::ZERO
        } else {
            let min_pause = if matches!(recovery, Recovery::Replace) { None } else { retry_after };
            retry::backoff(self.recoveries_since_token, min_pause, ctx.rng)
        };
        self.recoveries_since_token += 1;
        self.total_recoveries += 1;
        let earliest = ctx.now + pause;
        if earliest + self.min_recovery_time(recovery) >= self.request.deadline {
            return self.fail(FailureCode::OutOfTime, None, actions);
        }
        if let Err(wait) = ctx.budget.take(ctx.now) {
            return self.fail(FailureCode::RetryBudget, Some(wait), actions);
        }
        if immediate {
            return self.start_recovery(ctx, recovery, actions);
        }
        self.phase = Phase::Backoff { until: earliest, recovery };
    }

    /// Lower bound of the time to finish the completion after a recovery.
    fn min_recovery_time(&self, recovery: Recovery) -> Duration {
        let prefill = match recovery {
            Recovery::Rebuild => self.cost.prefill_time(self.prefix_len()),
            Recovery::Resend | Recovery::Replace => Duration::ZERO,
        };
        prefill.saturating_add(self.min_completion_time())
    }

    /// Decides how to recover from a failure, and records whether to exclude the
    /// endpoint and whether its KV cache is lost.
    fn choose_recovery(
        &mut self,
        failure: &Failure,
        retry_after: Option<Duration>,
        now: Instant,
    ) -> Recovery {
        let endpoint = self.chain.stages()[self.step.stage].endpoint.clone();
        let retry_after = retry_after.unwrap_or_default();
        let may_wait =
            self.overload_retries < MAX_OVERLOAD_RETRIES && retry_after <= MAX_OVERLOAD_PAUSE;
        match failure {
            Failure::Overloaded if may_wait => {
                self.overload_retries += 1;
                return self.resend_recovery();
            }
            Failure::NoCache | Failure::Refused(_) if self.can_rebuild() => {
                return Recovery::Rebuild;
            }
            Failure::Overloaded | Failure::Silent(_) => {}
            Failure::Leaving => {
                self.exclude_until(endpoint, self.request.deadline);
                return Recovery::Replace;
            }
            Failure::Unreachable(_)
            | Failure::NoCache
            | Failure::Refused(_)
            | Failure::Malformed(_) => self.cache_lost.push(endpoint.clone()),
        }
        self.exclude_until(endpoint, now + MIN_EXCLUSION_TIME.max(retry_after));
        Recovery::Replace
    }

    /// How to resend a refused step. A first step gets a new attempt, so that a
    /// duplicated refusal of one send is not taken for a refusal of the next.
    const fn resend_recovery(&self) -> Recovery {
        if self.step.position == 0 && self.step.stage == 0 {
            Recovery::Rebuild
        } else {
            Recovery::Resend
        }
    }

    /// Whether to assume that only the KV cache of the stage is missing or stale, so
    /// that recomputing it may help. If the step needs no KV cache, or is refused
    /// a second time in a row, the endpoint itself is taken to be at fault.
    const fn can_rebuild(&self) -> bool {
        self.step.position > 0 && self.recoveries_since_token == 0
    }

    fn exclude_until(&mut self, endpoint: Name, until: Instant) {
        match self.excluded.iter_mut().find(|(name, _)| *name == endpoint) {
            Some((_, old)) => *old = until.max(*old),
            None => self.excluded.push((endpoint, until)),
        }
    }

    pub(super) fn start_recovery(
        &mut self,
        ctx: &mut Context<'_>,
        recovery: Recovery,
        actions: &mut Actions,
    ) {
        match recovery {
            Recovery::Resend => self.send(ctx, actions),
            Recovery::Rebuild => self.rebuild(ctx, actions),
            Recovery::Replace => {
                let lost = self.chain.stages()[self.step.stage].layers;
                self.request_chain(ctx.now, lost, ctx.now, 0, actions);
            }
        }
    }

    pub(super) fn request_chain(
        &mut self,
        now: Instant,
        lost: Layers,
        since: Instant,
        searches: u32,
        actions: &mut Actions,
    ) {
        self.excluded.retain(|(_, until)| *until > now);
        let avoid = self.excluded.iter().map(|(name, _)| name.clone()).collect();
        let no_state = self.step.position == 0 && self.step.stage == 0;
        let scope = if no_state { Scope::Whole } else { Scope::Range(lost) };
        self.phase = Phase::SearchingChain { lost, since, retry_at: None, searches };
        actions.push(Action::NeedChain { avoid, scope });
    }

    /// Whether a replacement runs the same version over all layers and uses no
    /// excluded endpoint.
    pub(super) fn is_usable(&self, now: Instant, replacement: &Replacement) -> bool {
        let end = |chain: &Chain| chain.stages().last().map(|stage| stage.layers.end());
        let avoided =
            |name: &Name| self.excluded.iter().any(|(avoid, until)| avoid == name && *until > now);
        replacement.chain.pipeline() == self.chain.pipeline()
            && replacement.chain.version() == self.chain.version()
            && end(&replacement.chain) == end(&self.chain)
            && !replacement.chain.stages().iter().any(|stage| avoided(&stage.endpoint))
    }

    pub(super) fn replace(
        &mut self,
        ctx: &mut Context<'_>,
        replacement: Replacement,
        actions: &mut Actions,
    ) {
        let plan = self.plan(&replacement);
        let prefix_len = self.prefix_len();
        self.cost = replacement.cost;
        let expected = match &plan {
            Plan::Resume(transfers) => self.cost.import_time(transfers),
            Plan::Rebuild => self.cost.prefill_time(prefix_len),
        };
        if ctx.now + expected + self.min_completion_time() > self.request.deadline {
            return self.fail(FailureCode::OutOfTime, None, actions);
        }
        self.overload_retries = 0;
        let layer = self.chain.stages()[self.step.stage].layers.start();
        self.step_times.set_chain(&replacement.chain);
        self.chain = replacement.chain;
        match plan {
            Plan::Rebuild => self.rebuild(ctx, actions),
            Plan::Resume(transfers) => {
                let stages = self.chain.stages();
                let stage = stages.iter().position(|stage| stage.layers.start() == layer);
                self.step.stage =
                    stage.expect("a resume plan has a stage that starts at the interrupted layer");
                self.resume(ctx, transfers, actions);
            }
        }
    }

    fn plan(&self, replacement: &Replacement) -> Plan {
        let at = InterruptedStep {
            layer: self.chain.stages()[self.step.stage].layers.start(),
            position: self.step.position,
            count: self.step.count,
        };
        let readable = |name: &&Name| !self.cache_lost.contains(*name);
        let holders: SmallVec<[Name; 4]> =
            replacement.holders.iter().filter(readable).cloned().collect();
        let current = self.used.iter().filter(|used| used.attempt == self.attempt);
        let used: SmallVec<[Name; 8]> = current.map(|used| used.endpoint.clone()).collect();
        let endpoints = Endpoints { holders: &holders, used: &used };
        recovery::plan(&self.chain, &replacement.chain, at, endpoints, &replacement.cost)
    }

    /// Starts the next transfer, or resends the interrupted step after the last.
    pub(super) fn resume(
        &mut self,
        ctx: &mut Context<'_>,
        transfers: SmallVec<[Transfer; 2]>,
        actions: &mut Actions,
    ) {
        let Some(Transfer { from, to, layers, tokens }) = transfers.first().cloned() else {
            self.release_unused(actions);
            return self.send(ctx, actions);
        };
        let expected = self.cost.transfer_time(&transfers[0]);
        let rebuild_time = self.cost.prefill_time(self.prefix_len());
        // Allows for a transfer that takes twice the expected time.
        let timeout =
            expected.saturating_mul(2).max(rebuild_time).saturating_add(IMPORT_TIMEOUT_MARGIN);
        let timeout = timeout.min(self.request.deadline.since(ctx.now));
        let label = self.label(layers, 0, tokens);
        self.mark_used(&to);
        self.reply_filter.expect(to.clone(), label.clone());
        self.phase = Phase::Importing { transfers, until: ctx.now + timeout };
        actions.push(Action::Import { from, to, label, timeout });
    }

    /// Runs the whole prefix through the chain as a new attempt.
    pub(super) fn rebuild(&mut self, ctx: &mut Context<'_>, actions: &mut Actions) {
        self.release_unused(actions);
        self.attempt = self.next_attempt;
        self.next_attempt += 1;
        self.cache_lost.clear();
        self.step = PendingStep::prefill(&self.tokens);
        self.send(ctx, actions);
    }

    /// Releases endpoints that are no longer part of the chain.
    fn release_unused(&mut self, actions: &mut Actions) {
        let stages = self.chain.stages();
        let unused =
            |used: &&mut UsedEndpoint| !stages.iter().any(|stage| stage.endpoint == used.endpoint);
        for used in self.used.iter_mut().filter(unused) {
            actions.extend(used.release(self.request.id));
        }
    }
}
