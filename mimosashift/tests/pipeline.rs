//! Tests of the pipeline machine: reply filter, recovery and retry budget.

use std::time::Duration;

use mimosashift::engine::{Failure, Label, Output, Reply, RequestId, Step};
use mimosashift::pipeline::recovery::{Cost, Endpoints, InterruptedStep, Plan, plan};
use mimosashift::pipeline::retry::{Budget, BudgetSettings, backoff};
use mimosashift::pipeline::{
    Action, Actions, Context, DropReason, Effect, FailureCode, Machine, Outcome, Replacement,
    ReplyFilter, Request, Scope, TimeoutLimits,
};
use mimosashift::resource::{Layers, Name};
use mimosashift::route::{Chain, Stage};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const PROMPT_TOKENS: u32 = 32;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn layers(start: u16, end: u16) -> Layers {
    Layers::try_from((start, end)).unwrap()
}

fn chain(stages: &[(&str, u16, u16)]) -> Chain {
    let stage = |(endpoint, start, end): &(&str, u16, u16)| Stage {
        endpoint: name(endpoint),
        layers: layers(*start, *end),
    };
    Chain::new(name("p"), 1, 12, stages.iter().map(stage)).unwrap()
}

fn three_stage_chain() -> Chain {
    chain(&[("a", 0, 4), ("b", 4, 8), ("c", 8, 12)])
}

fn cost(kv_bytes: u32) -> Cost {
    Cost {
        kv_bytes,
        link_bytes_per_second: 1_000_000,
        link_latency: ms(1),
        prefill_base: ms(10),
        prefill_token: ms(1),
    }
}

/// Test harness: a machine with its clock, random numbers and budget.
struct Harness {
    now: Instant,
    rng: Pcg64Mcg,
    budget: Budget,
    machine: Machine,
    /// Actions of the latest input.
    actions: Actions,
}

impl Harness {
    fn new(max_tokens: u32, deadline_ms: u64, budget_settings: BudgetSettings) -> Self {
        let mut rng = Pcg64Mcg::new(7);
        let mut budget = Budget::new(budget_settings, Instant::ZERO);
        let mut ctx = Context { now: Instant::ZERO, rng: &mut rng, budget: &mut budget };
        let request = Request {
            id: RequestId(1),
            prompt: (0..PROMPT_TOKENS).collect(),
            max_tokens,
            stop: Some(0),
            deadline: Instant::from_millis(deadline_ms),
            priority: 0,
            adapter: None,
        };
        let (machine, actions) = Machine::start(
            &mut ctx,
            request,
            three_stage_chain(),
            cost(100),
            TimeoutLimits::default(),
        );
        Self { now: Instant::ZERO, rng, budget, machine, actions }
    }

    fn input(&mut self, input: impl FnOnce(&mut Machine, &mut Context<'_>) -> Actions) {
        let mut ctx = Context { now: self.now, rng: &mut self.rng, budget: &mut self.budget };
        self.actions = input(&mut self.machine, &mut ctx);
    }

    fn sent(&self) -> (Name, Step) {
        let sent = self.actions.iter().find_map(|action| match action {
            Action::Send { endpoint, step, .. } => Some((endpoint.clone(), step.clone())),
            _ => None,
        });
        sent.unwrap_or_else(|| panic!("no step sent: {:?}", self.actions))
    }

    fn outcome(&self) -> Option<&Outcome> {
        self.actions.iter().find_map(|action| match action {
            Action::Finish(outcome) => Some(outcome),
            _ => None,
        })
    }

    fn scope(&self) -> Option<Scope> {
        self.actions.iter().find_map(|action| match action {
            Action::NeedChain { scope, .. } => Some(*scope),
            _ => None,
        })
    }

    /// Answers the step just sent after 10 ms.
    fn answer(&mut self) {
        let (endpoint, Step { label, .. }) = self.sent();
        self.now = self.now + ms(10);
        let output = match label.layers.end() {
            12 => Output::Token(1),
            _ => Output::Hidden(vec![1]),
        };
        self.input(|machine, ctx| machine.on_reply(ctx, &endpoint, Reply { label, output }));
    }

    fn answer_steps(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.answer());
    }

    fn fail(&mut self, failure: &Failure, retry_after: Option<Duration>) {
        let (endpoint, Step { label, .. }) = self.sent();
        self.input(|m, ctx| m.on_failure(ctx, &endpoint, &label, failure, retry_after));
    }

    fn wait(&mut self) {
        self.now = self.machine.next_deadline().expect("the request must not be finished");
        self.input(Machine::on_timer);
    }

    fn replace(&mut self, chain: Chain, holders: &[&str], kv_bytes: u32) {
        let holders = holders.iter().map(|holder| name(holder)).collect();
        let replacement = Replacement { chain, holders, cost: cost(kv_bytes) };
        self.input(|machine, ctx| machine.on_chain(ctx, Some(replacement)));
    }
}

fn label() -> Label {
    Label {
        request: RequestId(1),
        attempt: 2,
        position: 3,
        count: 1,
        layers: layers(0, 4),
        pipeline: name("p"),
        version: 1,
    }
}

/// Lists labels that the filter must drop, with the reason.
macro_rules! dropped {
    ($($case:ident: $reason:ident $endpoint:literal $label:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut filter = ReplyFilter::default();
            filter.expect(name("a"), label());
            assert_eq!(filter.accept(&name($endpoint), &$label), Err(DropReason::$reason));
            assert_eq!(filter.drops().count(DropReason::$reason), 1);
            assert_eq!(filter.accept(&name("a"), &label()), Ok(()));
            assert_eq!(filter.accept(&name("a"), &label()), Err(DropReason::Idle));
            assert_eq!(filter.drops().total(), 2);
        }
    )*};
}

dropped! {
    other_request: Request "a" Label { request: RequestId(2), ..label() };
    other_pipeline: Version "a" Label { pipeline: name("q"), ..label() };
    other_version: Version "a" Label { version: 2, ..label() };
    older_attempt: Attempt "a" Label { attempt: 1, ..label() };
    newer_attempt: Attempt "a" Label { attempt: 3, ..label() };
    other_position: Position "a" Label { position: 2, ..label() };
    other_count: Position "a" Label { count: 2, ..label() };
    other_layers: Layers "a" Label { layers: layers(0, 5), ..label() };
    other_endpoint: Endpoint "b" label();
}

/// Recovery after a failure of stage b while decoding.
#[test_case(&Failure::NoCache, None; "missing cache rebuilds on the same chain")]
#[test_case(&Failure::Refused(String::new()), None; "refusal rebuilds on the same chain")]
#[test_case(&Failure::Unreachable(String::new()), Some(layers(4, 8)); "unreachable moves layers")]
#[test_case(&Failure::Silent(ms(1)), Some(layers(4, 8)); "silence moves layers")]
#[test_case(&Failure::Leaving, Some(layers(4, 8)); "leaving moves layers")]
#[test_case(&Failure::Malformed(String::new()), Some(layers(4, 8)); "malformed moves layers")]
fn failure_while_decoding(failure: &Failure, moved: Option<Layers>) {
    let mut harness = Harness::new(9, 60_000, BudgetSettings::default());
    harness.answer_steps(4);
    harness.fail(failure, None);
    assert_eq!(harness.scope(), moved.map(Scope::Range));
    if moved.is_none() {
        let (endpoint, Step { label, .. }) = harness.sent();
        assert_eq!((endpoint, label.attempt, label.position), (name("a"), 2, 0));
        assert_eq!(label.count, PROMPT_TOKENS + 1);
    }
}

#[test]
fn overloaded_endpoint_is_retried_then_replaced() {
    let mut harness = Harness::new(9, 60_000, BudgetSettings::default());
    harness.answer_steps(4);
    for _ in 0..2 {
        harness.fail(&Failure::Overloaded, None);
        assert!(harness.actions.is_empty());
        harness.wait();
        assert_eq!(harness.sent().0, name("b"));
    }
    harness.fail(&Failure::Overloaded, None);
    harness.wait();
    assert_eq!(harness.scope(), Some(Scope::Range(layers(4, 8))));
}

#[test]
fn duplicate_refusal_of_first_step_is_dropped() {
    let mut harness =
        Harness::new(9, 60_000, BudgetSettings { burst: 1.0, ..BudgetSettings::default() });
    let (endpoint, first) = harness.sent();
    harness.fail(&Failure::Overloaded, None);
    harness.wait();
    let refused = |m: &mut Machine, ctx: &mut Context<'_>| {
        m.on_failure(ctx, &endpoint, &first.label, &Failure::Overloaded, None)
    };
    harness.input(refused);
    assert!(harness.actions.is_empty());
    assert_eq!(harness.machine.drops().count(DropReason::Attempt), 1);
}

/// Number of KV cache transfers planned after stage b failed at `position`; `None`
/// if the cache is recomputed.
#[test_case(&[("a", 0, 4), ("x", 4, 8), ("c", 8, 12)], &["b"], 40, 100 => Some(1); "small cache is copied")]
#[test_case(&[("a", 0, 4), ("x", 4, 8), ("c", 8, 12)], &["b"], 40, 10_000 => None; "large cache is rebuilt")]
#[test_case(&[("a", 0, 4), ("x", 4, 8), ("c", 8, 12)], &[], 40, 100 => None; "lost cache is rebuilt")]
#[test_case(&[("a", 0, 4), ("x", 4, 8), ("c", 8, 12)], &[], 0, 100 => Some(0); "nothing cached yet")]
#[test_case(&[("a", 0, 4), ("x", 4, 6), ("y", 6, 8), ("c", 8, 12)], &["b"], 40, 100 => Some(2); "split range")]
#[test_case(&[("a", 0, 4), ("x", 4, 8), ("y", 8, 12)], &["b"], 40, 100 => None; "second cache lost")]
#[test_case(&[("x", 0, 6), ("y", 6, 12)], &["a", "b", "c"], 40, 100 => None; "other boundaries")]
#[test_case(&[("a", 0, 4), ("a", 4, 8), ("c", 8, 12)], &["b"], 40, 100 => None; "endpoint in use")]
#[test_case(&[("a", 0, 4), ("b", 4, 8), ("c", 8, 12)], &["b"], 40, 100 => None; "failed stage again")]
fn planned_transfers(
    stages: &[(&str, u16, u16)],
    holders: &[&str],
    position: u32,
    kv_bytes: u32,
) -> Option<usize> {
    let holders: Vec<Name> = holders.iter().map(|holder| name(holder)).collect();
    let used = ["a", "b", "c"].map(name);
    let endpoints = Endpoints { holders: &holders, used: &used };
    let at = InterruptedStep { layer: 4, position, count: 1 };
    match plan(&three_stage_chain(), &chain(stages), at, endpoints, &cost(kv_bytes)) {
        Plan::Resume(transfers) => Some(transfers.len()),
        Plan::Rebuild => None,
    }
}

/// A stage that has already run the interrupted step also holds its tokens.
#[test]
fn copy_of_an_earlier_stage_includes_the_step() {
    let new = chain(&[("x", 0, 4), ("y", 4, 8), ("c", 8, 12)]);
    let holders = ["a", "b"].map(name);
    let endpoints = Endpoints { holders: &holders, used: &[] };
    let at = InterruptedStep { layer: 4, position: 40, count: 1 };
    let Plan::Resume(transfers) = plan(&three_stage_chain(), &new, at, endpoints, &cost(10)) else {
        panic!("copying must be cheaper");
    };
    let tokens: Vec<u32> = transfers.iter().map(|transfer| transfer.tokens).collect();
    assert_eq!(tokens, [41, 40]);
}

/// A failed copy leads to a rebuild from the tokens.
#[test_case(Some(Ok(())), 0 => (name("x"), 1); "done")]
#[test_case(Some(Err(Failure::NoCache)), 0 => (name("a"), 2); "refused")]
#[test_case(Some(Ok(())), 1 => (name("a"), 2); "wrong count")]
#[test_case(None, 0 => (name("a"), 2); "lost")]
fn step_after_import(result: Option<Result<(), Failure>>, extra_tokens: u32) -> (Name, u32) {
    let mut harness = Harness::new(9, 60_000, BudgetSettings::default());
    harness.answer_steps(4);
    harness.fail(&Failure::Leaving, None);
    harness.replace(chain(&[("a", 0, 4), ("x", 4, 8), ("c", 8, 12)]), &["b"], 100);
    let Some(Action::Import { from, to, label, .. }) = harness.actions.first().cloned() else {
        panic!("no import: {:?}", harness.actions);
    };
    assert_eq!((from, to.clone(), label.count), (name("b"), name("x"), PROMPT_TOKENS));
    let label = Label { count: label.count + extra_tokens, ..label };
    if let Some(result) = result {
        harness.input(|m, ctx| m.on_import(ctx, &to, &label, result.as_ref().copied()));
    }
    if harness.actions.is_empty() || !matches!(harness.actions.last(), Some(Action::Send { .. })) {
        harness.wait();
    }
    let (endpoint, step) = harness.sent();
    (endpoint, step.label.attempt)
}

#[test_case(4; "first decode step")]
#[test_case(22; "observed decode step")]
fn silent_stage_is_replaced_within_a_second(steps: usize) {
    let mut harness = Harness::new(90, 60_000, BudgetSettings::default());
    harness.answer_steps(steps);
    let silent_since = harness.now;
    harness.wait();
    assert!(harness.scope().is_some(), "{:?}", harness.actions);
    harness.replace(chain(&[("a", 0, 4), ("x", 4, 8), ("c", 8, 12)]), &[], 100);
    assert_eq!(harness.sent().1.label.attempt, 2);
    harness.answer_steps(3);
    assert!(matches!(harness.actions.first(), Some(Action::Emit(_))));
    assert!(harness.now.since(silent_since) <= ms(1_000), "{:?}", harness.now.since(silent_since));
}

#[test]
fn empty_budget_fails_immediately() {
    let budget_settings = BudgetSettings { per_request: 0.1, per_second: 2.0, burst: 0.5 };
    let mut harness = Harness::new(9, 60_000, budget_settings);
    harness.fail(&Failure::Overloaded, None);
    let retry_after = Some(ms(250));
    let (code, effect) = (FailureCode::RetryBudget, Effect::NotRun);
    assert_eq!(harness.outcome(), Some(&Outcome::Failed { code, effect, retry_after }));
    harness.input(Machine::on_timer);
    assert!(harness.actions.is_empty());
}

#[test]
fn short_retry_after_is_waited_for() {
    let mut harness = Harness::new(9, 60_000, BudgetSettings::default());
    harness.fail(&Failure::Overloaded, Some(ms(60)));
    assert!(harness.machine.next_deadline() >= Some(Instant::from_millis(60)));
}

#[test]
fn endpoint_with_long_retry_after_is_replaced_and_stays_excluded() {
    let mut harness = Harness::new(9, 60_000, BudgetSettings::default());
    harness.fail(&Failure::Overloaded, Some(ms(5_000)));
    harness.wait();
    assert_eq!(harness.scope(), Some(Scope::Whole));
    harness.now = Instant::from_millis(4_900);
    harness.replace(three_stage_chain(), &[], 100);
    assert!(!harness.actions.iter().any(|action| matches!(action, Action::Send { .. })));
}

#[test]
fn request_out_of_time_fails_immediately() {
    let (code, effect) = (FailureCode::OutOfTime, Effect::NotRun);
    let failed = Outcome::Failed { code, effect, retry_after: None };
    assert_eq!(Harness::new(9, 30, BudgetSettings::default()).outcome(), Some(&failed));
    let mut harness = Harness::new(9, 120, BudgetSettings::default());
    harness.fail(&Failure::Overloaded, Some(ms(90)));
    assert_eq!(harness.outcome(), Some(&failed));
}

#[test]
fn sent_step_without_answer_is_unknown() {
    let mut harness = Harness::new(9, 100, BudgetSettings::default());
    harness.now = Instant::from_millis(100);
    harness.input(Machine::on_timer);
    let effect = Effect::Unknown;
    assert_eq!(harness.outcome(), Some(&Outcome::DeadlineExceeded { effect }));
}

#[test]
fn backoff_is_random_below_an_exponential_bound() {
    let mut rng = Pcg64Mcg::new(3);
    for (retry, bound) in [(0, 20), (3, 160), (40, 1_000)] {
        let pauses: Vec<_> = (0..500).map(|_| backoff(retry, None, &mut rng)).collect();
        assert!(pauses.iter().all(|pause| *pause < ms(bound)));
        assert!(pauses.iter().any(|pause| *pause > ms(bound * 9 / 10)));
        assert!(pauses.iter().any(|pause| *pause < ms(bound / 10)));
    }
}

/// Ratio of the tokens that engines run for 2,000 requests to those of a system
/// without faults, when each step of the second decode position fails with
/// probability 1/3. Each replacement has new endpoint names, so that none is
/// excluded.
fn load_after_loss(budget_settings: BudgetSettings) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut budget = Budget::new(budget_settings, Instant::ZERO);
    let (mut ran, mut baseline) = (0, 0);
    for request in 0..2_000 {
        let mut harness = Harness::new(4, 60_000, budget_settings);
        budget.on_request(Instant::from_millis(request));
        harness.budget = budget.clone();
        baseline += 3 * (PROMPT_TOKENS + 3);
        harness.now = Instant::from_millis(request);
        while harness.outcome().is_none() {
            if harness.scope().is_some() {
                let new_endpoint = |at| format!("{at}{}", rng.random_range(0..9_999));
                let [a, b, c] = ["a", "b", "c"].map(new_endpoint);
                harness.replace(chain(&[(&a, 0, 4), (&b, 4, 8), (&c, 8, 12)]), &[], 1);
            } else if !matches!(harness.actions.last(), Some(Action::Send { .. })) {
                harness.wait();
            } else {
                let label = harness.sent().1.label;
                ran += label.count;
                let lost = label.position == PROMPT_TOKENS + 1 && rng.random_bool(1.0 / 3.0);
                if lost { harness.fail(&Failure::Silent(ms(1)), None) } else { harness.answer() }
            }
        }
        budget = harness.budget;
    }
    f64::from(ran) / f64::from(baseline)
}

#[test]
fn request_that_every_engine_loses_is_sent_to_few_of_them() {
    let unbounded = BudgetSettings { per_request: 1.0, per_second: 1e9, burst: 1e9 };
    let mut harness = Harness::new(4, 600_000, unbounded);
    let mut sent = 0;
    while harness.outcome().is_none() {
        if harness.scope().is_some() {
            let name = format!("e{sent}");
            harness.replace(chain(&[(&name, 0, 12)]), &[], 1);
        } else if matches!(harness.actions.last(), Some(Action::Send { .. })) {
            sent += 1;
            harness.fail(&Failure::Silent(ms(1)), None);
        } else {
            harness.wait();
        }
    }
    assert_eq!(sent, 8);
}

#[test]
fn retry_budget_bounds_load_when_many_stages_fail() {
    let budget_settings = BudgetSettings { per_request: 0.2, per_second: 1.0, burst: 10.0 };
    // The burst and two seconds of the constant rate, the duration of the test,
    // are added.
    let bound = 1.0
        + budget_settings.per_request
        + (budget_settings.burst + 2.0 * budget_settings.per_second) / 2_000.0;
    let load = load_after_loss(budget_settings);
    let unbounded = load_after_loss(BudgetSettings { burst: 1e9, ..budget_settings });
    eprintln!("load with budget {load:.3}, bound {bound:.3}, without budget {unbounded:.3}");
    assert!(load <= bound);
    assert!(unbounded > bound, "the test must be able to fail");
}
