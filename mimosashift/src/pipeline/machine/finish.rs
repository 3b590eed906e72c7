//! How a request ends.

use std::time::Duration;

use super::{Certainty, Machine, Phase, Use};
use crate::engine::RequestId;
use crate::pipeline::action::{Action, Actions, Code, Context, Effect, Outcome};

impl Machine {
    /// Finishes when the deadline has passed; true when there is nothing more
    /// to do.
    pub(super) fn expired(&mut self, ctx: &Context<'_>, actions: &mut Actions) -> bool {
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
        code: Code,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let effect = self.effect();
        self.finish(Outcome::Failed { code, effect, retry_after }, actions);
    }

    /// Fails a request of which nothing was sent.
    pub(super) fn fail_first(&self, code: Code, actions: &mut Actions) {
        let effect = Effect::NotRun;
        actions.push(Action::Finish(Outcome::Failed { code, effect, retry_after: None }));
    }

    pub(super) fn finish(&mut self, outcome: Outcome, actions: &mut Actions) {
        if self.is_done() {
            return;
        }
        self.phase = Phase::Done;
        if self.ledger.is_waiting() {
            self.certainty = self.certainty.max(Certainty::MayHaveRun);
        }
        self.ledger.clear();
        actions.push(Action::Finish(outcome));
        for used in &mut self.used {
            actions.extend(used.release(self.request.id));
        }
    }

    /// What became of the steps sent so far.
    pub(in crate::pipeline) const fn effect(&self) -> Effect {
        match self.certainty {
            Certainty::Ran => Effect::Failed,
            Certainty::MayHaveRun => Effect::Unknown,
            Certainty::NothingRan if self.ledger.is_waiting() => Effect::Unknown,
            Certainty::NothingRan => Effect::NotRun,
        }
    }
}

impl Use {
    /// Has the endpoint release the attempt, once.
    pub(super) fn release(&mut self, request: RequestId) -> Option<Action> {
        let (endpoint, attempt) = (self.endpoint.clone(), self.attempt);
        let released = std::mem::replace(&mut self.released, true);
        (!released).then_some(Action::CancelEngine { endpoint, request, attempt })
    }
}
