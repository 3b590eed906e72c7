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
const HEDGE_ATTEMPT: u32 = 1 << 16;

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
    /// A second chain is requested at this time.
    Waiting(Instant),
    /// A second chain was requested.
    Requested,
    /// No further chain will be requested.
    Closed,
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
        let state = delay.map_or(State::Closed, |delay| State::Waiting(ctx.now + delay));
        let mut machines = SmallVec::new();
        machines.push(machine);
        (Self { machines, state }, actions)
    }

    /// See [`Machine::on_reply`].
    pub fn on_reply(&mut self, ctx: &mut Context<'_>, endpoint: &Name, reply: Reply) -> Actions {
        let index = self.index_of(&reply.label);
        let actions = self.machines[index].on_reply(ctx, endpoint, reply);
        self.merge(index, actions)
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
        self.merge(index, actions)
    }

    /// See [`Machine::on_chain`].
    pub fn on_chain(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        let index = self.current();
        let actions = self.machines[index].on_chain(ctx, replacement);
        self.merge(index, actions)
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
        self.merge(index, actions)
    }

    /// Handles the result of [`Action::NeedHedge`]; `None` if no chain was found.
    ///
    /// A chain that shares an endpoint with the first one is not used, because
    /// an engine only keeps the state of the latest attempt.
    pub fn on_hedge(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        if self.state != State::Requested {
            return Actions::new();
        }
        self.state = State::Closed;
        let first = &self.machines[0];
        let second =
            replacement.and_then(|replacement| first.hedge(ctx, replacement, HEDGE_ATTEMPT));
        let Some((machine, actions)) = second else { return Actions::new() };
        self.machines.push(machine);
        self.merge(1, actions)
    }

    /// See [`Machine::on_timer`]; a second chain is charged to the budget `hedges`,
    /// which is separate from the retry budget.
    pub fn on_timer(&mut self, ctx: &mut Context<'_>, hedges: &mut Budget) -> Actions {
        let mut actions = Actions::new();
        for index in 0..self.machines.len() {
            let more = self.machines[index].on_timer(ctx);
            actions.extend(self.merge(index, more));
        }
        if matches!(self.state, State::Waiting(at) if ctx.now >= at) {
            self.request_chain(ctx.now, hedges, &mut actions);
        }
        actions
    }

    /// See [`Machine::cancel`].
    pub fn cancel(&mut self) -> Actions {
        let mut actions = Actions::new();
        for index in 0..self.machines.len() {
            let more = self.machines[index].cancel();
            actions.extend(self.merge(index, more));
        }
        actions
    }

    /// See [`Machine::next_deadline`].
    pub fn next_deadline(&self) -> Option<Instant> {
        let next = self.machines.iter().filter_map(Machine::next_deadline).min()?;
        match self.state {
            State::Waiting(at) => Some(next.min(at)),
            State::Requested | State::Closed => Some(next),
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

    /// Index of the machine that a reply belongs to.
    fn index_of(&self, label: &Label) -> usize {
        let is_race = self.machines.iter().all(|machine| !machine.is_done());
        if !is_race {
            return self.current();
        }
        usize::from(self.hedged() && label.attempt >= HEDGE_ATTEMPT)
    }

    fn request_chain(&mut self, now: Instant, hedges: &mut Budget, actions: &mut Actions) {
        self.state = State::Closed;
        let avoid = self.machines[0].hedge_exclusions(now);
        let Some(avoid) = avoid else { return };
        if hedges.take(now).is_ok() {
            self.state = State::Requested;
            actions.push(Action::NeedHedge { avoid });
        }
    }

    /// Forwards the actions of one machine, adjusted to the state of the other.
    fn merge(&mut self, index: usize, actions: Actions) -> Actions {
        if actions.iter().any(|action| matches!(action, Action::Emit(_))) {
            self.state = State::Closed;
        }
        let other = 1 - index;
        let is_race = self.machines.get(other).is_some_and(|machine| !machine.is_done());
        let actions = if is_race { self.race(index, actions) } else { actions };
        let effect = self.machines.iter().map(Machine::effect).max();
        actions.into_iter().map(|action| with_effect(action, effect)).collect()
    }

    /// Decides between two running machines after one of them has acted.
    fn race(&mut self, index: usize, mut actions: Actions) -> Actions {
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

/// Sets the effect of a failure to the one that covers both chains.
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
