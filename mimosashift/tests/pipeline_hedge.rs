//! Tests of request hedging: a second chain when the first token is late.

use std::time::Duration;

use mimosashift::engine::{Failure, Label, Output, Reply, RequestId};
use mimosashift::pipeline::recovery::Cost;
use mimosashift::pipeline::retry::{Budget, BudgetSettings};
use mimosashift::pipeline::{
    Action, Actions, Context, DropReason, Effect, HedgedRequest, Outcome, Replacement, Request,
    TimeoutLimits,
};
use mimosashift::resource::{Layers, Name};
use mimosashift::route::{Chain, Stage};
use mimosashift::time::Instant;
use rand_pcg::Pcg64Mcg;

const DELAY: Duration = Duration::from_millis(30);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn chain(first: &str, second: &str) -> Chain {
    let stage = |(endpoint, layers): (&str, (u16, u16))| Stage {
        endpoint: name(endpoint),
        layers: Layers::try_from(layers).unwrap(),
    };
    Chain::new(name("p"), 1, 2, [(first, (0, 1)), (second, (1, 2))].map(stage)).unwrap()
}

fn cost() -> Cost {
    Cost {
        kv_bytes: 1,
        link_bytes_per_second: 1_000_000,
        link_latency: Duration::from_millis(1),
        prefill_base: Duration::from_millis(10),
        prefill_token: Duration::from_millis(1),
    }
}

struct Harness {
    now: Instant,
    rng: Pcg64Mcg,
    retries: Budget,
    hedges: Budget,
    hedge: HedgedRequest,
    /// Steps sent, in order.
    sent: Vec<(Name, Label)>,
    /// Actions of the latest input.
    actions: Actions,
}

impl Harness {
    fn new(retries: f64, hedges: f64) -> Self {
        let budget = |burst| {
            let share = BudgetSettings { per_request: 0.0, per_second: 0.1, burst };
            Budget::new(share, Instant::ZERO)
        };
        let (mut rng, mut retries) = (Pcg64Mcg::new(1), budget(retries));
        let request = Request {
            id: RequestId(1),
            prompt: vec![1, 2],
            max_tokens: 2,
            stop: None,
            deadline: Instant::from_millis(9_000),
            priority: 0,
            adapter: None,
        };
        let mut ctx = Context { now: Instant::ZERO, rng: &mut rng, budget: &mut retries };
        let (hedge, actions) = HedgedRequest::start(
            &mut ctx,
            request,
            chain("a", "b"),
            cost(),
            TimeoutLimits::default(),
            Some(DELAY),
        );
        let (now, hedges) = (Instant::ZERO, budget(hedges));
        let mut harness =
            Self { now, rng, retries, hedges, hedge, sent: Vec::new(), actions: Actions::new() };
        harness.take(actions);
        harness
    }

    fn take(&mut self, actions: Actions) {
        for action in &actions {
            if let Action::Send { endpoint, step, .. } = action {
                self.sent.push((endpoint.clone(), step.label.clone()));
            }
        }
        self.actions = actions;
    }

    fn input(&mut self, input: impl FnOnce(&mut HedgedRequest, &mut Context<'_>) -> Actions) {
        let mut ctx = Context { now: self.now, rng: &mut self.rng, budget: &mut self.retries };
        let actions = input(&mut self.hedge, &mut ctx);
        self.take(actions);
    }

    fn wait(&mut self) {
        self.now = self.hedge.next_deadline().expect("the request is not over");
        let mut ctx = Context { now: self.now, rng: &mut self.rng, budget: &mut self.retries };
        let actions = self.hedge.on_timer(&mut ctx, &mut self.hedges);
        self.take(actions);
    }

    /// Waits for the hedging delay and supplies a second chain.
    fn supply_second_chain(&mut self, first: &str, second: &str) {
        self.wait();
        assert!(matches!(self.actions[..], [Action::NeedHedge { .. }]), "{:?}", self.actions);
        let chain = chain(first, second);
        let replacement = Replacement { chain, holders: Default::default(), cost: cost() };
        self.input(|hedge, ctx| hedge.on_hedge(ctx, Some(replacement)));
    }

    fn answer(&mut self, sent: usize, output: Output) {
        let (endpoint, label) = self.sent[sent].clone();
        self.input(|hedge, ctx| hedge.on_reply(ctx, &endpoint, Reply { label, output }));
    }

    fn fail(&mut self, sent: usize, failure: &Failure) {
        let (endpoint, label) = self.sent[sent].clone();
        self.input(|hedge, ctx| hedge.on_failure(ctx, &endpoint, &label, failure, None));
    }

    fn released(&self) -> Vec<&str> {
        let released = self.actions.iter().filter_map(|action| match action {
            Action::CancelEngine { endpoint, .. } => Some(endpoint.as_str()),
            _ => None,
        });
        released.collect()
    }
}

#[test]
fn first_token_wins_and_the_loser_is_released() {
    let mut harness = Harness::new(5.0, 1.0);
    harness.supply_second_chain("c", "d");
    assert_ne!(harness.sent[0].1.attempt, harness.sent[1].1.attempt);
    harness.answer(1, Output::Hidden(vec![0]));
    harness.answer(2, Output::Token(7));
    assert!(harness.actions.contains(&Action::Emit(7)));
    assert_eq!(harness.released(), ["a"]);
    harness.answer(0, Output::Hidden(vec![9]));
    assert!(harness.actions.is_empty());
    assert_eq!(harness.hedge.dropped(DropReason::Attempt), 1);
    harness.answer(3, Output::Hidden(vec![0]));
    harness.answer(4, Output::Token(8));
    assert!(harness.actions.contains(&Action::Finish(Outcome::Complete)));
    assert_eq!(harness.hedge.emitted(), [7, 8]);
}

#[test]
fn first_chain_wins_when_it_is_faster_after_all() {
    let mut harness = Harness::new(5.0, 1.0);
    harness.supply_second_chain("c", "d");
    harness.answer(0, Output::Hidden(vec![0]));
    harness.answer(2, Output::Token(7));
    assert_eq!(harness.released(), ["c"]);
    // A rebuild must be a later attempt than the one released at "c".
    let hedged = harness.sent[1].1.attempt;
    harness.fail(3, &Failure::NoCache);
    assert!(harness.sent[4].1.attempt > hedged);
}

#[test]
fn empty_budget_starts_no_second_chain() {
    let mut harness = Harness::new(5.0, 0.5);
    harness.wait();
    assert!(harness.actions.is_empty());
    assert!(harness.hedge.next_deadline() > Some(Instant::ZERO + DELAY));
}

#[test]
fn chain_that_shares_an_endpoint_is_not_used() {
    let mut harness = Harness::new(5.0, 1.0);
    harness.supply_second_chain("c", "b");
    assert!(harness.actions.is_empty());
    assert!(!harness.hedge.hedged());
}

#[test]
fn lost_chain_leaves_the_other_one() {
    let mut harness = Harness::new(5.0, 1.0);
    harness.supply_second_chain("c", "d");
    harness.fail(0, &Failure::Unreachable(String::new()));
    assert_eq!(harness.released(), ["a"]);
    harness.answer(1, Output::Hidden(vec![0]));
    harness.answer(2, Output::Token(7));
    assert!(harness.actions.contains(&Action::Emit(7)));
}

#[test]
fn released_endpoint_gets_a_later_attempt() {
    let mut harness = Harness::new(5.0, 1.0);
    harness.supply_second_chain("c", "d");
    let released = harness.sent[1].1.attempt;
    harness.answer(1, Output::Hidden(vec![0]));
    harness.fail(2, &Failure::Unreachable(String::new()));
    harness.answer(0, Output::Hidden(vec![0]));
    harness.fail(3, &Failure::Unreachable(String::new()));
    let replacement =
        Replacement { chain: chain("a", "c"), holders: Default::default(), cost: cost() };
    harness.input(|hedge, ctx| hedge.on_chain(ctx, Some(replacement)));
    assert!(harness.sent[4].1.attempt > released, "{:?}", harness.sent[4]);
}

#[test]
fn failure_covers_both_chains() {
    let mut harness = Harness::new(1.0, 1.0);
    harness.supply_second_chain("c", "d");
    harness.fail(0, &Failure::Silent(DELAY));
    harness.fail(1, &Failure::Unreachable(String::new()));
    let effects: Vec<Effect> = harness.actions.iter().filter_map(effect).collect();
    assert_eq!(effects, [Effect::Unknown]);
}

fn effect(action: &Action) -> Option<Effect> {
    match action {
        Action::Finish(Outcome::Failed { effect, .. }) => Some(*effect),
        _ => None,
    }
}

#[test]
fn cancellation_ends_both_chains_once() {
    let mut harness = Harness::new(5.0, 1.0);
    harness.supply_second_chain("c", "d");
    harness.input(|hedge, _| hedge.cancel());
    assert_eq!(harness.released(), ["a", "c"]);
    let ends = harness.actions.iter().filter(|action| matches!(action, Action::Finish(_)));
    assert_eq!(ends.count(), 1);
    assert!(harness.hedge.is_done());
}
