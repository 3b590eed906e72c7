//! Sends the steps of a request and handles its tokens.

use std::time::Duration;

use super::{Execution, Machine, PendingStep, Phase, UsedEndpoint};
use crate::engine::{Label, Step};
use crate::pipeline::action::{Action, Actions, Context, FailureCode, Outcome};
use crate::resource::{Layers, Name};

impl Machine {
    pub(super) fn send_first_step(&mut self, ctx: &mut Context<'_>, actions: &mut Actions) {
        if self.request.prompt.is_empty() {
            return self.fail_before_send(FailureCode::EmptyPrompt, actions);
        }
        if ctx.now + self.cost.prefill_time(self.prefix_len()) > self.request.deadline {
            return self.fail_before_send(FailureCode::OutOfTime, actions);
        }
        if self.request.max_tokens == 0 {
            actions.push(Action::Finish(Outcome::Complete));
            return;
        }
        self.send(ctx, actions);
    }

    pub(super) fn send(&mut self, ctx: &mut Context<'_>, actions: &mut Actions) {
        let stage = self.chain.stages()[self.step.stage].clone();
        let label = self.label(stage.layers, self.step.position, self.step.count);
        let timeout = self.step_timeout().min(self.request.deadline.since(ctx.now));
        self.mark_used(&stage.endpoint);
        self.reply_filter.expect(stage.endpoint.clone(), label.clone());
        self.phase = Phase::Running { sent: ctx.now, until: ctx.now + timeout };
        let step = Step {
            label,
            priority: self.request.priority,
            adapter: self.request.adapter.clone(),
            input: self.step.input.clone(),
        };
        actions.push(Action::Send { endpoint: stage.endpoint, step, timeout });
    }

    pub(super) fn on_token(&mut self, ctx: &mut Context<'_>, token: u32, actions: &mut Actions) {
        self.execution = Execution::Ran;
        if self.recoveries_since_token == 0 && self.step.position > 0 {
            self.step_times.observe_token(ctx.now.since(self.token_sent_at));
        }
        self.recoveries_since_token = 0;
        self.lost_steps = 0;
        self.overload_retries = 0;
        if self.request.stop == Some(token) {
            return self.finish(Outcome::Complete, actions);
        }
        self.tokens.push(token);
        actions.push(Action::Emit(token));
        if self.remaining_tokens() == 0 {
            return self.finish(Outcome::Complete, actions);
        }
        if ctx.now + self.min_completion_time() > self.request.deadline {
            return self.fail(FailureCode::OutOfTime, None, actions);
        }
        self.token_sent_at = ctx.now;
        self.step = PendingStep::decode(self.prefix_len() - 1, token);
        self.send(ctx, actions);
    }

    fn step_timeout(&self) -> Duration {
        if self.step.count == 1 {
            return self.step_times.decode_timeout(self.step.stage, self.recoveries_since_token);
        }
        let expected = self.stage_prefill_time();
        self.step_times.prefill_timeout(expected, self.recoveries_since_token)
    }

    /// Expected prefill time of the current stage, by its share of the layers.
    fn stage_prefill_time(&self) -> Duration {
        let stages = self.chain.stages();
        let stage_layers = u32::from(stages[self.step.stage].layers.count());
        let total_layers: u32 = stages.iter().map(|stage| u32::from(stage.layers.count())).sum();
        self.cost.prefill_time(self.step.count).saturating_mul(stage_layers) / total_layers
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

    /// Number of tokens in the prompt and the completion so far.
    pub(super) fn prefix_len(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Maximum number of tokens still to generate.
    fn remaining_tokens(&self) -> u32 {
        let emitted = u32::try_from(self.emitted().len()).unwrap_or(u32::MAX);
        self.request.max_tokens.saturating_sub(emitted)
    }

    /// Lower bound of the time to finish the completion, from the shortest
    /// observed token time.
    pub(super) fn min_completion_time(&self) -> Duration {
        let tokens = if self.request.stop.is_some() { 1 } else { self.remaining_tokens() };
        self.step_times.min_time(tokens)
    }

    pub(super) fn mark_used(&mut self, endpoint: &Name) {
        self.used.retain(|used| used.endpoint != *endpoint);
        let (endpoint, attempt) = (endpoint.clone(), self.attempt);
        self.used.push(UsedEndpoint { endpoint, attempt, released: false });
    }
}
