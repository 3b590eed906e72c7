//! How the steps of a request follow each other.

use std::time::Duration;

use super::{Certainty, Machine, Phase, Use, Work};
use crate::engine::{Label, Step};
use crate::pipeline::action::{Action, Actions, Code, Context, Outcome};
use crate::resource::{Layers, Name};

impl Machine {
    pub(super) fn begin(&mut self, ctx: &mut Context<'_>, actions: &mut Actions) {
        if self.request.prompt.is_empty() {
            return self.fail_first(Code::EmptyPrompt, actions);
        }
        if ctx.now + self.cost.prefill_time(self.prefix()) > self.request.deadline {
            return self.fail_first(Code::OutOfTime, actions);
        }
        if self.request.max_tokens == 0 {
            actions.push(Action::Finish(Outcome::Complete));
            return;
        }
        self.send(ctx, actions);
    }

    pub(super) fn send(&mut self, ctx: &mut Context<'_>, actions: &mut Actions) {
        let stage = self.chain.stages()[self.work.stage].clone();
        let label = self.label(stage.layers, self.work.position, self.work.count);
        let timeout = self.step_timeout().min(self.request.deadline.since(ctx.now));
        self.mark_used(&stage.endpoint);
        self.ledger.expect(stage.endpoint.clone(), label.clone());
        self.phase = Phase::Running { sent: ctx.now, until: ctx.now + timeout };
        let step = Step {
            label,
            priority: self.request.priority,
            adapter: self.request.adapter.clone(),
            input: self.work.input.clone(),
        };
        actions.push(Action::Send { endpoint: stage.endpoint, step, timeout });
    }

    pub(super) fn on_token(&mut self, ctx: &mut Context<'_>, token: u32, actions: &mut Actions) {
        self.certainty = Certainty::Ran;
        if self.recoveries == 0 && self.work.position > 0 {
            self.progress.observe_token(ctx.now.since(self.token_began));
        }
        self.recoveries = 0;
        self.overloads = 0;
        if self.request.stop == Some(token) {
            return self.finish(Outcome::Complete, actions);
        }
        self.tokens.push(token);
        actions.push(Action::Emit(token));
        if self.remaining() == 0 {
            return self.finish(Outcome::Complete, actions);
        }
        if ctx.now + self.least_time() > self.request.deadline {
            return self.fail(Code::OutOfTime, None, actions);
        }
        self.token_began = ctx.now;
        self.work = Work::decode(self.prefix() - 1, token);
        self.send(ctx, actions);
    }

    fn step_timeout(&self) -> Duration {
        if self.work.count == 1 {
            return self.progress.decode_timeout(self.work.stage, self.recoveries);
        }
        let expected = self.cost.prefill_time(self.work.count);
        self.progress.prefill_timeout(expected, self.recoveries)
    }

    pub(super) fn label(&self, layers: Layers, position: u32, count: u32) -> Label {
        Label {
            request: self.request.id,
            attempt: self.attempt,
            position,
            count,
            layers,
            pipeline: self.chain.pipeline().clone(),
            version: self.chain.version(),
        }
    }

    /// Number of tokens in prompt and answer so far.
    pub(super) fn prefix(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Most tokens still to come.
    fn remaining(&self) -> u32 {
        let emitted = u32::try_from(self.emitted().len()).unwrap_or(u32::MAX);
        self.request.max_tokens.saturating_sub(emitted)
    }

    /// Least time to the end of the answer at the best pace seen.
    pub(super) fn least_time(&self) -> Duration {
        let tokens = if self.request.stop.is_some() { 1 } else { self.remaining() };
        self.progress.least(tokens)
    }

    pub(super) fn mark_used(&mut self, endpoint: &Name) {
        self.used.retain(|used| used.endpoint != *endpoint);
        let (endpoint, attempt) = (endpoint.clone(), self.attempt);
        self.used.push(Use { endpoint, attempt, released: false });
    }
}
