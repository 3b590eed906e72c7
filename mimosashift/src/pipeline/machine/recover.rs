//! How a request goes on after a failure.

use std::time::Duration;

use smallvec::SmallVec;

use super::{AVOID, Certainty, Machine, Next, Phase, Replacement, Use, Work};
use crate::engine::Failure;
use crate::pipeline::action::{Action, Actions, Code, Context, Scope};
use crate::pipeline::recovery::{self, Endpoints, Plan, Point, Transfer};
use crate::pipeline::retry;
use crate::resource::{Layers, Name};
use crate::route::Chain;
use crate::time::Instant;

/// Times that an overloaded endpoint is asked again before it is replaced.
const OVERLOAD_RETRIES: u32 = 2;
/// Slack of a transfer's timeout.
const IMPORT_SLACK: Duration = Duration::from_millis(50);

impl Machine {
    pub(super) fn recover(
        &mut self,
        ctx: &mut Context<'_>,
        failure: &Failure,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        if !failure.not_run() && self.certainty == Certainty::NothingRan {
            self.certainty = Certainty::MayHaveRun;
        }
        let next = self.classify(failure, ctx.now);
        let first = self.recoveries == 0;
        self.recoveries += 1;
        self.recovered += 1;
        let at_once = first && retry_after.is_none() && !matches!(next, Next::Resend);
        let pause = if at_once {
            Duration::ZERO
        } else {
            retry::backoff(self.recoveries - 1, retry_after, ctx.rng)
        };
        let earliest = ctx.now + pause;
        if earliest + self.least_time() >= self.request.deadline {
            return self.fail(Code::OutOfTime, None, actions);
        }
        if let Err(wait) = ctx.budget.take(ctx.now) {
            return self.fail(Code::RetryBudget, Some(wait), actions);
        }
        if at_once {
            return self.proceed(ctx, next, actions);
        }
        self.phase = Phase::Backoff { until: earliest, next };
    }

    /// Decides what follows a failure and notes what it says of the endpoint.
    fn classify(&mut self, failure: &Failure, now: Instant) -> Next {
        let endpoint = self.chain.stages()[self.work.stage].endpoint.clone();
        match failure {
            Failure::Overloaded if self.overloads < OVERLOAD_RETRIES => {
                self.overloads += 1;
                return self.resend();
            }
            Failure::NoCache | Failure::Refused(_) if self.rebuildable() => return Next::Rebuild,
            Failure::Overloaded | Failure::Silent(_) => {}
            Failure::Leaving => {
                self.avoid_until(endpoint, self.request.deadline);
                return Next::Replace;
            }
            Failure::Unreachable(_)
            | Failure::NoCache
            | Failure::Refused(_)
            | Failure::Malformed(_) => self.gone.push(endpoint.clone()),
        }
        self.avoid_until(endpoint, now + AVOID);
        Next::Replace
    }

    /// Repeats a refused step. A first step gets a new attempt, so that a
    /// doubled refusal of one send never counts for the next.
    const fn resend(&self) -> Next {
        if self.work.position == 0 && self.work.stage == 0 { Next::Rebuild } else { Next::Resend }
    }

    /// Whether the stage refused because of its state only: a step that needs
    /// none, or a second refusal in a row, speaks against the endpoint.
    const fn rebuildable(&self) -> bool {
        self.work.position > 0 && self.recoveries == 0
    }

    fn avoid_until(&mut self, endpoint: Name, until: Instant) {
        match self.avoid.iter_mut().find(|(name, _)| *name == endpoint) {
            Some((_, old)) => *old = until.max(*old),
            None => self.avoid.push((endpoint, until)),
        }
    }

    pub(super) fn proceed(&mut self, ctx: &mut Context<'_>, next: Next, actions: &mut Actions) {
        match next {
            Next::Resend => self.send(ctx, actions),
            Next::Rebuild => self.rebuild(ctx, actions),
            Next::Replace => {
                let lost = self.chain.stages()[self.work.stage].layers;
                self.choose(ctx.now, lost, ctx.now, 0, actions);
            }
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Instant,
        lost: Layers,
        since: Instant,
        asked: u32,
        actions: &mut Actions,
    ) {
        self.avoid.retain(|(_, until)| *until > now);
        let avoid = self.avoid.iter().map(|(name, _)| name.clone()).collect();
        let fresh = self.work.position == 0 && self.work.stage == 0;
        let scope = if fresh { Scope::Whole } else { Scope::Range(lost) };
        self.phase = Phase::Choosing { lost, since, again: None, asked };
        actions.push(Action::NeedChain { avoid, scope });
    }

    /// Whether a replacement runs the same version over all layers without an
    /// endpoint to be avoided.
    pub(super) fn usable(&self, now: Instant, found: &Replacement) -> bool {
        let end = |chain: &Chain| chain.stages().last().map(|stage| stage.layers.end());
        let avoided =
            |name: &Name| self.avoid.iter().any(|(avoid, until)| avoid == name && *until > now);
        found.chain.pipeline() == self.chain.pipeline()
            && found.chain.version() == self.chain.version()
            && end(&found.chain) == end(&self.chain)
            && !found.chain.stages().iter().any(|stage| avoided(&stage.endpoint))
    }

    pub(super) fn replace(
        &mut self,
        ctx: &mut Context<'_>,
        found: Replacement,
        actions: &mut Actions,
    ) {
        let plan = self.plan(&found);
        let prefix = self.prefix();
        self.cost = found.cost;
        let expected = match &plan {
            Plan::Resume(transfers) => self.cost.import_time(transfers),
            Plan::Rebuild => self.cost.prefill_time(prefix),
        };
        if ctx.now + expected + self.least_time() > self.request.deadline {
            return self.fail(Code::OutOfTime, None, actions);
        }
        let layer = self.chain.stages()[self.work.stage].layers.start();
        self.progress.rebase(&found.chain);
        self.chain = found.chain;
        match plan {
            Plan::Rebuild => self.rebuild(ctx, actions),
            Plan::Resume(transfers) => {
                let stages = self.chain.stages();
                let stage = stages.iter().position(|stage| stage.layers.start() == layer);
                self.work.stage = stage.expect("a plan to resume starts a stage at the layer");
                self.resume(ctx, transfers, actions);
            }
        }
    }

    fn plan(&self, found: &Replacement) -> Plan {
        let at = Point {
            layer: self.chain.stages()[self.work.stage].layers.start(),
            position: self.work.position,
            count: self.work.count,
        };
        let readable = |name: &&Name| !self.gone.contains(*name);
        let holders: SmallVec<[Name; 4]> = found.holders.iter().filter(readable).cloned().collect();
        let current = self.used.iter().filter(|used| used.attempt == self.attempt);
        let used: SmallVec<[Name; 8]> = current.map(|used| used.endpoint.clone()).collect();
        let endpoints = Endpoints { holders: &holders, used: &used };
        recovery::plan(&self.chain, &found.chain, at, endpoints, &found.cost)
    }

    /// Starts the next copy, or repeats the interrupted step after the last.
    pub(super) fn resume(
        &mut self,
        ctx: &mut Context<'_>,
        transfers: SmallVec<[Transfer; 2]>,
        actions: &mut Actions,
    ) {
        let Some(Transfer { from, to, layers, tokens }) = transfers.first().cloned() else {
            self.release_left(actions);
            return self.send(ctx, actions);
        };
        let expected = self.cost.transfer_time(&transfers[0]);
        let rebuild = self.cost.prefill_time(self.prefix());
        let timeout = (expected * 2).max(rebuild) + IMPORT_SLACK;
        let timeout = timeout.min(self.request.deadline.since(ctx.now));
        let label = self.label(layers, 0, tokens);
        self.mark_used(&to);
        self.ledger.expect(to.clone(), label.clone());
        self.phase = Phase::Importing { transfers, until: ctx.now + timeout };
        actions.push(Action::Import { from, to, label, timeout });
    }

    /// Runs the whole prefix through the chain as a new attempt.
    pub(super) fn rebuild(&mut self, ctx: &mut Context<'_>, actions: &mut Actions) {
        self.release_left(actions);
        self.attempt += 1;
        self.gone.clear();
        self.work = Work::prefill(&self.tokens);
        self.send(ctx, actions);
    }

    /// Releases endpoints that are no longer part of the chain.
    fn release_left(&mut self, actions: &mut Actions) {
        let stages = self.chain.stages();
        let left = |used: &&mut Use| !stages.iter().any(|stage| stage.endpoint == used.endpoint);
        for used in self.used.iter_mut().filter(left) {
            actions.extend(used.release(self.request.id));
        }
    }
}
