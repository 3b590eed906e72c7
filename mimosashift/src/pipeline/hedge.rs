//! Request hedging: starts a second chain when the first token is late.

use std::time::Duration;

use smallvec::SmallVec;

use super::action::{Action, Actions, Context, Effect, Outcome, Request};
use super::machine::{Machine, Replacement};
use super::recovery::Cost;
use super::reply_filter::{DropCounts, DropReason};
use super::retry::Budget;
use super::step_times::TimeoutLimits;
use crate::engine::{Failure, Label, Reply};
use crate::resource::Name;
use crate::route::Chain;
use crate::time::Instant;

/// First attempt number of the second chain, above every attempt of the first.
const FIRST_HEDGE_ATTEMPT: u32 = 1 << 16;

/// A request that may run its prompt on two chains at once.
///
/// The chains share no endpoint and no attempt. The first one to return a token
/// continues alone; a chain that would need recovery before that is cancelled in
/// favour of the other. Inputs are those of [`Machine`].
#[derive(Debug)]
pub struct HedgedRequest {
    /// Machine of the first chain, then that of the second.
    machines: SmallVec<[Machine; 1]>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A second chain will be requested at this time.
    Scheduled(Instant),
    /// A second chain was requested.
    Requested,
    /// No second chain will be requested any more.
    Disabled,
}

impl HedgedRequest {
    /// Starts a request like [`Machine::start`]; `delay` is the time to wait
    /// for the first token before a second chain is requested, or `None` to never
    /// hedge.
    pub fn start(
        ctx: &mut Context<'_>,
        request: Request,
        chain: Chain,
        cost: Cost,
        limits: TimeoutLimits,
        delay: Option<Duration>,
    ) -> (Self, Actions) {
        let (machine, actions) = Machine::start(ctx, request, chain, cost, limits);
        let state = delay.map_or(State::Disabled, |delay| State::Scheduled(ctx.now + delay));
        let mut machines = SmallVec::new();
        machines.push(machine);
        (Self { machines, state }, actions)
    }

    /// See [`Machine::on_reply`].
    pub fn on_reply(&mut self, ctx: &mut Context<'_>, endpoint: &Name, reply: Reply) -> Actions {
        let index = self.index_of(&reply.label);
        let actions = self.machines[index].on_reply(ctx, endpoint, reply);
        self.process_actions(index, actions)
    }

    /// See [`Machine::on_failure`].
    pub fn on_failure(
        &mut self,
        ctx: &mut Context<'_>,
        endpoint: &Name,
        label: &Label,
        failure: &Failure,
        retry_after: Option<Duration>,
    ) -> Actions {
        let index = self.index_of(label);
        let actions = self.machines[index].on_failure(ctx, endpoint, label, failure, retry_after);
        self.process_actions(index, actions)
    }

    /// See [`Machine::on_chain`].
    pub fn on_chain(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        let index = self.current();
        let actions = self.machines[index].on_chain(ctx, replacement);
        self.process_actions(index, actions)
    }

    /// See [`Machine::on_import`].
    pub fn on_import(
        &mut self,
        ctx: &mut Context<'_>,
        to: &Name,
        label: &Label,
        result: Result<(), &Failure>,
    ) -> Actions {
        let index = self.index_of(label);
        let actions = self.machines[index].on_import(ctx, to, label, result);
        self.process_actions(index, actions)
    }

    /// Handles the result of [`Action::NeedHedge`]; `replacement` is `None` if no
    /// chain was found.
    ///
    /// A chain that shares an endpoint with the first one is not used, because
    /// an engine only keeps the state of the latest attempt.
    pub fn on_hedge(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        if self.state != State::Requested {
            return Actions::new();
        }
        self.state = State::Disabled;
        let first = &self.machines[0];
        let second =
            replacement.and_then(|replacement| first.hedge(ctx, replacement, FIRST_HEDGE_ATTEMPT));
        let Some((machine, actions)) = second else { return Actions::new() };
        self.machines.push(machine);
        self.process_actions(1, actions)
    }

    /// See [`Machine::on_timer`]; each second chain takes one unit of
    /// `hedge_budget`, which is separate from the retry budget.
    pub fn on_timer(&mut self, ctx: &mut Context<'_>, hedge_budget: &mut Budget) -> Actions {
        let mut actions = Actions::new();
        for index in 0..self.machines.len() {
            let more = self.machines[index].on_timer(ctx);
            actions.extend(self.process_actions(index, more));
        }
        if matches!(self.state, State::Scheduled(at) if ctx.now >= at) {
            self.request_chain(ctx.now, hedge_budget, &mut actions);
        }
        actions
    }

    /// See [`Machine::cancel`].
    pub fn cancel(&mut self) -> Actions {
        let mut actions = Actions::new();
        for index in 0..self.machines.len() {
            let more = self.machines[index].cancel();
            actions.extend(self.process_actions(index, more));
        }
        actions
    }

    /// See [`Machine::next_deadline`].
    pub fn next_deadline(&self) -> Option<Instant> {
        let next = self.machines.iter().filter_map(Machine::next_deadline).min()?;
        match self.state {
            State::Scheduled(at) => Some(next.min(at)),
            State::Requested | State::Disabled => Some(next),
        }
    }

    /// Whether the request is finished.
    pub fn is_done(&self) -> bool {
        self.machines.iter().all(Machine::is_done)
    }

    /// The chain in use; the first one while there are two.
    pub fn chain(&self) -> &Chain {
        self.machines[self.current()].chain()
    }

    /// Tokens emitted so far.
    pub fn emitted(&self) -> &[u32] {
        let emitted = self.machines.iter().map(Machine::emitted);
        emitted.max_by_key(|tokens| tokens.len()).unwrap_or_default()
    }

    /// Number of recoveries so far, on both chains.
    pub fn recoveries(&self) -> u32 {
        self.machines.iter().map(Machine::recoveries).sum()
    }

    /// Whether a second chain was started.
    pub fn hedged(&self) -> bool {
        self.machines.len() > 1
    }

    /// Number of replies dropped for `reason`.
    pub fn dropped(&self, reason: DropReason) -> u32 {
        self.drops().map(|drops| drops.count(reason)).sum()
    }

    /// Number of replies dropped for any reason.
    pub fn total_dropped(&self) -> u32 {
        self.drops().map(DropCounts::total).sum()
    }

    fn drops(&self) -> impl Iterator<Item = &DropCounts> {
        self.machines.iter().map(Machine::drops)
    }

    /// Index of the first machine that is not finished.
    fn current(&self) -> usize {
        self.machines.iter().position(|machine| !machine.is_done()).unwrap_or_default()
    }

    /// Index of the machine that checks a reply: the one whose attempt it carries if
    /// both are running, else the one that is still running.
    fn index_of(&self, label: &Label) -> usize {
        let both_running = self.machines.iter().all(|machine| !machine.is_done());
        if !both_running {
            return self.current();
        }
        usize::from(self.hedged() && label.attempt >= FIRST_HEDGE_ATTEMPT)
    }

    fn request_chain(&mut self, now: Instant, hedge_budget: &mut Budget, actions: &mut Actions) {
        self.state = State::Disabled;
        let avoid = self.machines[0].hedge_exclusions(now);
        let Some(avoid) = avoid else { return };
        if hedge_budget.take(now).is_ok() {
            self.state = State::Requested;
            actions.push(Action::NeedHedge { avoid });
        }
    }

    /// Filters the actions of one machine: resolves the hedge if both are running,
    /// and sets the combined effect of a failure. The first token ends hedging.
    fn process_actions(&mut self, index: usize, actions: Actions) -> Actions {
        if actions.iter().any(|action| matches!(action, Action::Emit(_))) {
            self.state = State::Disabled;
        }
        let other = 1 - index;
        let both_running = self.machines.get(other).is_some_and(|machine| !machine.is_done());
        let actions = if both_running { self.resolve_hedge(index, actions) } else { actions };
        let effect = self.machines.iter().map(Machine::effect).max();
        actions.into_iter().map(|action| with_effect(action, effect)).collect()
    }

    /// Cancels the slower or failed one of two running machines, if the actions of
    /// machine `index` decide between them.
    fn resolve_hedge(&mut self, index: usize, mut actions: Actions) -> Actions {
        let wins =
            |action: &Action| matches!(action, Action::Emit(_) | Action::Finish(Outcome::Complete));
        if actions.iter().any(wins) {
            actions.extend(self.cancel_loser(1 - index));
            return actions;
        }
        let loses =
            |action: &Action| matches!(action, Action::NeedChain { .. } | Action::Finish(_));
        if actions.iter().any(loses) {
            actions.retain(|action| !loses(action));
            actions.extend(self.cancel_loser(index));
        }
        actions
    }

    /// Cancels one machine; the other one continues alone.
    fn cancel_loser(&mut self, loser: usize) -> Actions {
        let mut actions = self.machines[loser].cancel();
        actions.retain(|action| !matches!(action, Action::Finish(_)));
        let (first, second) = self.machines.split_at_mut(1);
        let (winner, loser) = match loser {
            0 => (&mut second[0], &first[0]),
            _ => (&mut first[0], &second[0]),
        };
        winner.continue_alone(loser);
        actions
    }
}

/// Replaces the effect of a failure by `combined`, the greatest effect of both
/// chains.
fn with_effect(action: Action, combined: Option<Effect>) -> Action {
    let outcome = match (action, combined) {
        (Action::Finish(Outcome::Failed { code, retry_after, .. }), Some(effect)) => {
            Outcome::Failed { code, effect, retry_after }
        }
        (Action::Finish(Outcome::DeadlineExceeded { .. }), Some(effect)) => {
            Outcome::DeadlineExceeded { effect }
        }
        (action, _) => return action,
    };
    Action::Finish(outcome)
}
