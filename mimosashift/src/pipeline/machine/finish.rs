//! Completion, failure and cancellation of a request.

use std::time::Duration;

use super::{Execution, Machine, Phase, UsedEndpoint};
use crate::engine::RequestId;
use crate::pipeline::action::{Action, Actions, Context, Effect, FailureCode, Outcome};

impl Machine {
    /// Finishes the request if its deadline has passed. Returns whether the
    /// request is finished.
    pub(super) fn finish_if_expired(&mut self, ctx: &Context<'_>, actions: &mut Actions) -> bool {
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

    pub(super) fn fail(
        &mut self,
        code: FailureCode,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let effect = self.effect();
        self.finish(Outcome::Failed { code, effect, retry_after }, actions);
    }

    /// Fails a request before anything was sent.
    pub(super) fn fail_before_send(&self, code: FailureCode, actions: &mut Actions) {
        let effect = Effect::NotRun;
        actions.push(Action::Finish(Outcome::Failed { code, effect, retry_after: None }));
    }

    pub(super) fn finish(&mut self, outcome: Outcome, actions: &mut Actions) {
        if self.is_done() {
            return;
        }
        self.phase = Phase::Done;
        if self.reply_filter.is_waiting() {
            self.execution = self.execution.max(Execution::MayHaveRun);
        }
        self.reply_filter.clear();
        actions.push(Action::Finish(outcome));
        for used in &mut self.used {
            actions.extend(used.release(self.request.id));
        }
    }

    /// Whether any of the steps sent so far ran.
    pub(in crate::pipeline) const fn effect(&self) -> Effect {
        match self.execution {
            Execution::Ran => Effect::Failed,
            Execution::MayHaveRun => Effect::Unknown,
            Execution::NothingRan if self.reply_filter.is_waiting() => Effect::Unknown,
            Execution::NothingRan => Effect::NotRun,
        }
    }
}

impl UsedEndpoint {
    /// Tells the endpoint to release the attempt; does nothing the second time.
    pub(super) fn release(&mut self, request: RequestId) -> Option<Action> {
        let (endpoint, attempt) = (self.endpoint.clone(), self.attempt);
        let released = std::mem::replace(&mut self.released, true);
        (!released).then_some(Action::CancelEngine { endpoint, request, attempt })
    }
}
