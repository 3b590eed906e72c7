//! A second chain for a first token that is late.

use std::time::Duration;

use smallvec::SmallVec;

use super::action::{Action, Actions, Context, Effect, Outcome, Request};
use super::ledger::{Drops, Reason};
use super::machine::{Machine, Replacement};
use super::progress::Limits;
use super::recovery::Cost;
use super::retry::Budget;
use crate::engine::{Failure, Label, Reply};
use crate::resource::Name;
use crate::route::Chain;
use crate::time::Instant;

/// First attempt of the second chain, above every attempt of the first.
const HEDGE_ATTEMPT: u32 = 1 << 16;

/// A request that may run its prompt on two chains at once.
///
/// The chains share no endpoint and no attempt. The first one to give a token
/// goes on alone; a chain that would need recovery before that is given up in
/// favour of the other. Inputs are those of [`Machine`].
#[derive(Debug)]
pub struct Hedge {
    /// The first chain's machine, then the second's.
    runners: SmallVec<[Machine; 1]>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The second chain starts at this time.
    Waiting(Instant),
    /// A second chain was asked for.
    Asked,
    /// No further chain will be asked for.
    Settled,
}

impl Hedge {
    /// Starts a request like [`Machine::start`]; `delay` is the time to wait
    /// for the first token before a second chain is tried, or `None` for never.
    pub fn start(
        ctx: &mut Context<'_>,
        request: Request,
        chain: Chain,
        cost: Cost,
        limits: Limits,
        delay: Option<Duration>,
    ) -> (Self, Actions) {
        let (machine, actions) = Machine::start(ctx, request, chain, cost, limits);
        let state = delay.map_or(State::Settled, |delay| State::Waiting(ctx.now + delay));
        let mut runners = SmallVec::new();
        runners.push(machine);
        (Self { runners, state }, actions)
    }

    /// See [`Machine::on_reply`].
    pub fn on_reply(&mut self, ctx: &mut Context<'_>, endpoint: &Name, reply: Reply) -> Actions {
        let runner = self.runner_of(&reply.label);
        let actions = self.runners[runner].on_reply(ctx, endpoint, reply);
        self.settle(runner, actions)
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
        let runner = self.runner_of(label);
        let actions = self.runners[runner].on_failure(ctx, endpoint, label, failure, retry_after);
        self.settle(runner, actions)
    }

    /// See [`Machine::on_chain`].
    pub fn on_chain(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        let runner = self.current();
        let actions = self.runners[runner].on_chain(ctx, replacement);
        self.settle(runner, actions)
    }

    /// See [`Machine::on_import`].
    pub fn on_import(
        &mut self,
        ctx: &mut Context<'_>,
        to: &Name,
        label: &Label,
        result: Result<(), &Failure>,
    ) -> Actions {
        let runner = self.runner_of(label);
        let actions = self.runners[runner].on_import(ctx, to, label, result);
        self.settle(runner, actions)
    }

    /// Takes the answer to [`Action::NeedHedge`]; `None` when there is none.
    ///
    /// A chain that shares an endpoint with the first one is not used, because
    /// an engine keeps only the latest attempt.
    pub fn on_hedge(&mut self, ctx: &mut Context<'_>, replacement: Option<Replacement>) -> Actions {
        if self.state != State::Asked {
            return Actions::new();
        }
        self.state = State::Settled;
        let first = &self.runners[0];
        let second = replacement.and_then(|found| first.hedge(ctx, found, HEDGE_ATTEMPT));
        let Some((machine, actions)) = second else { return Actions::new() };
        self.runners.push(machine);
        self.settle(1, actions)
    }

    /// See [`Machine::on_time`]; a second chain is taken from the budget
    /// `hedges`, apart from the one for retries.
    pub fn on_time(&mut self, ctx: &mut Context<'_>, hedges: &mut Budget) -> Actions {
        let mut actions = Actions::new();
        for runner in 0..self.runners.len() {
            let more = self.runners[runner].on_time(ctx);
            actions.extend(self.settle(runner, more));
        }
        if matches!(self.state, State::Waiting(at) if ctx.now >= at) {
            self.ask(ctx.now, hedges, &mut actions);
        }
        actions
    }

    /// See [`Machine::cancel`].
    pub fn cancel(&mut self) -> Actions {
        let mut actions = Actions::new();
        for runner in 0..self.runners.len() {
            let more = self.runners[runner].cancel();
            actions.extend(self.settle(runner, more));
        }
        actions
    }

    /// See [`Machine::next_deadline`].
    pub fn next_deadline(&self) -> Option<Instant> {
        let next = self.runners.iter().filter_map(Machine::next_deadline).min()?;
        match self.state {
            State::Waiting(at) => Some(next.min(at)),
            State::Asked | State::Settled => Some(next),
        }
    }

    /// Whether the request is over.
    pub fn is_done(&self) -> bool {
        self.runners.iter().all(Machine::is_done)
    }

    /// The chain in use; the first one while there are two.
    pub fn chain(&self) -> &Chain {
        self.runners[self.current()].chain()
    }

    /// Tokens emitted so far.
    pub fn emitted(&self) -> &[u32] {
        let emitted = self.runners.iter().map(Machine::emitted);
        emitted.max_by_key(|tokens| tokens.len()).unwrap_or_default()
    }

    /// Recoveries so far, on both chains.
    pub fn recovered(&self) -> u32 {
        self.runners.iter().map(Machine::recovered).sum()
    }

    /// Whether a second chain was tried.
    pub fn hedged(&self) -> bool {
        self.runners.len() > 1
    }

    /// Answers that were dropped for `reason`.
    pub fn dropped(&self, reason: Reason) -> u32 {
        self.drops().map(|drops| drops.count(reason)).sum()
    }

    /// Answers that were dropped for any reason.
    pub fn total_dropped(&self) -> u32 {
        self.drops().map(Drops::total).sum()
    }

    fn drops(&self) -> impl Iterator<Item = &Drops> {
        self.runners.iter().map(Machine::drops)
    }

    /// The first machine that is not over.
    fn current(&self) -> usize {
        self.runners.iter().position(|machine| !machine.is_done()).unwrap_or_default()
    }

    /// The machine that an answer belongs to.
    fn runner_of(&self, label: &Label) -> usize {
        let racing = self.runners.iter().all(|machine| !machine.is_done());
        if !racing {
            return self.current();
        }
        usize::from(self.hedged() && label.attempt >= HEDGE_ATTEMPT)
    }

    fn ask(&mut self, now: Instant, hedges: &mut Budget, actions: &mut Actions) {
        self.state = State::Settled;
        let avoid = self.runners[0].hedge_avoid(now);
        let Some(avoid) = avoid else { return };
        if hedges.take(now).is_ok() {
            self.state = State::Asked;
            actions.push(Action::NeedHedge { avoid });
        }
    }

    /// Passes on what one machine asks for, unless it concerns the other too.
    fn settle(&mut self, runner: usize, actions: Actions) -> Actions {
        if actions.iter().any(|action| matches!(action, Action::Emit(_))) {
            self.state = State::Settled;
        }
        let other = 1 - runner;
        let raced = self.runners.get(other).is_some_and(|machine| !machine.is_done());
        let actions = if raced { self.race(runner, actions) } else { actions };
        let effect = self.runners.iter().map(Machine::effect).max();
        actions.into_iter().map(|action| with_effect(action, effect)).collect()
    }

    /// Decides between two live machines after one of them has acted.
    fn race(&mut self, runner: usize, mut actions: Actions) -> Actions {
        let wins =
            |action: &Action| matches!(action, Action::Emit(_) | Action::Finish(Outcome::Complete));
        if actions.iter().any(wins) {
            actions.extend(self.give_up(1 - runner));
            return actions;
        }
        let loses =
            |action: &Action| matches!(action, Action::NeedChain { .. } | Action::Finish(_));
        if actions.iter().any(loses) {
            actions.retain(|action| !loses(action));
            actions.extend(self.give_up(runner));
        }
        actions
    }

    /// Ends one machine; the other one goes on alone.
    fn give_up(&mut self, loser: usize) -> Actions {
        let mut actions = self.runners[loser].cancel();
        actions.retain(|action| !matches!(action, Action::Finish(_)));
        let (first, second) = self.runners.split_at_mut(1);
        let (winner, loser) = match loser {
            0 => (&mut second[0], &first[0]),
            _ => (&mut first[0], &second[0]),
        };
        winner.outlive(loser);
        actions
    }
}

/// A failure says what became of both chains.
fn with_effect(action: Action, both: Option<Effect>) -> Action {
    let outcome = match (action, both) {
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
