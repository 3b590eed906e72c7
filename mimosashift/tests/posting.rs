//! Tests of claims, group commit and claim resolution, and of the platform's
//! budget and circuit breaker.

#[path = "common/posting_sim.rs"]
mod posting_sim;
#[path = "common/rows.rs"]
mod rows;

use std::collections::HashMap;
use std::time::Duration;

use mimosashift::platform::breaker::{self, Breaker};
use mimosashift::platform::budget::{Budget, Class};
use mimosashift::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use mimosashift::posting::batch::{Batch, BatchMember, Queue};
use mimosashift::posting::resolve::{self, Resolution};
use mimosashift::posting::{
    Action, Body, CallResult, Delivery, Digest, Entry, MAX_RECORDED_BODY_BYTES, Machine, Nonce,
    Reply, Request, Settings, State, TABLE, claim_key,
};
use mimosashift::resource::Name;
use mimosashift::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rows::Rows;

const NOW: Instant = Instant::ZERO;

fn key(text: &str) -> Key {
    Key { table: TABLE.to_owned(), key: text.to_owned() }
}

fn reply(body: &[u8]) -> Reply {
    Reply { status: 200, headers: Vec::new(), body: Body::Whole(body.to_vec()) }
}

fn row(text: &str, state: State) -> Row {
    let digest = Digest::new("POST", "/", b"");
    let entry = Entry { nonce: Nonce(1), digest, unix_ms: 0, state };
    Row { key: key(text), revision: 7, value: entry.encode() }
}

/// Runs one attempt to its end, with the given result of each send.
fn call(rows: &mut Rows, request: Request, delivery: &Delivery) -> CallResult {
    let (mut machine, actions) = Machine::new(Settings::default(), request, NOW);
    let mut pending: Vec<Action> = actions.into_iter().rev().collect();
    let mut answers = Vec::new();
    while let Some(action) = pending.pop() {
        match action {
            Action::Commit { transaction, .. } => {
                let outcome = rows.commit(&transaction);
                pending.extend(machine.committed(&outcome, NOW).into_iter().rev());
            }
            Action::Send { .. } => pending.extend(machine.delivered(delivery.clone(), NOW)),
            Action::Answer(answer) => answers.push(answer),
        }
    }
    assert_eq!(answers.len(), 1);
    answers.remove(0)
}

/// Reference implementation: one process that never fails.
#[derive(Default)]
struct Reference(HashMap<Key, (Digest, Option<Reply>)>);

impl Reference {
    fn call(&mut self, request: &Request, delivery: &Delivery) -> CallResult {
        let used = request.key.as_ref().and_then(|key| self.0.get(key));
        match used {
            Some((digest, _)) if *digest != request.digest => return CallResult::Mismatch,
            Some((_, Some(reply))) => return CallResult::Recorded(reply.clone()),
            Some((_, None)) => return CallResult::Unknown,
            None => {}
        }
        let (answer, reply) = match delivery {
            Delivery::NotConnected => return CallResult::NotRun,
            Delivery::Replied(reply) => (CallResult::Replied(reply.clone()), Some(reply.clone())),
            Delivery::Lost => (CallResult::Unknown, None),
        };
        if let Some(key) = &request.key {
            self.0.insert(key.clone(), (request.digest, reply));
        }
        answer
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn matches_reference(history in prop::collection::vec((0..4u8, 0..2u8, 0..3u8), 1..40)) {
        let (mut rows, mut reference) = (Rows::default(), Reference::default());
        for (nonce, (id, body, result)) in history.into_iter().enumerate() {
            let request = Request {
                key: (id > 0).then(|| key(&id.to_string())),
                nonce: Nonce(nonce as u64),
                digest: Digest::new("POST", "/", &[body]),
                unix_ms: 0,
            };
            let delivery = match result {
                0 => Delivery::NotConnected,
                1 => Delivery::Replied(reply(&nonce.to_be_bytes())),
                _ => Delivery::Lost,
            };
            let expected = reference.call(&request, &delivery);
            prop_assert_eq!(call(&mut rows, request, &delivery), expected);
        }
    }
}

#[test]
fn fault_schedules_never_execute_twice() {
    let mut total = posting_sim::Counts::default();
    for seed in 0..5_000 {
        let counts = posting_sim::run(seed, true);
        let violations = (counts.executed_twice, counts.false_not_run, counts.unknown_reply);
        assert_eq!(violations, (0, 0, 0), "seed {seed}: {counts:?}");
        total += counts;
    }
    eprintln!("{total:?}");
    assert!(total.run * 10 > total.posted * 9, "too few calls run: {total:?}");
    assert!(total.unknown > 0 && total.refused > 0, "the faults had no effect: {total:?}");
}

#[test]
fn simulation_detects_double_execution_with_a_shared_nonce() {
    let executed_twice: u64 =
        (0..50).map(|seed| posting_sim::run(seed, false).executed_twice).sum();
    assert!(executed_twice > 0);
}

fn members(count: usize) -> Vec<BatchMember<usize>> {
    let member = |tag: usize| {
        let digest = Digest::new("POST", "/", b"");
        let request = Request {
            key: Some(key(&tag.to_string())),
            nonce: Nonce(tag as u64),
            digest,
            unix_ms: 0,
        };
        let (_, mut actions) = Machine::new(Settings::default(), request, NOW);
        let Some(Action::Commit { transaction, repeat }) = actions.pop() else {
            panic!("no claim")
        };
        BatchMember { tag, transaction, repeat }
    };
    (0..count).map(member).collect()
}

fn batch(members: Vec<BatchMember<usize>>) -> Batch<usize> {
    let mut queue = Queue::new(members.len(), Duration::from_millis(3));
    for member in members {
        queue.push(member, NOW);
    }
    queue.take(NOW).unwrap()
}

#[test]
fn batch_of_64_claims_is_one_write() {
    let batch = batch(members(64));
    assert_eq!(batch.transaction().writes.len(), 64);
    let settled = batch.settle(Outcome::Done(9));
    assert!(settled.remaining.is_empty());
    assert_eq!(settled.outcomes.len(), 64);
    assert!(settled.outcomes.iter().all(|(_, outcome)| *outcome == Outcome::Done(9)));
}

#[test]
fn batch_conflict_refuses_one_member() {
    let conflict = Outcome::NotDone(Refusal::Conflict(Some(row("5", State::Claimed))));
    let mut settled = batch(members(64)).settle(conflict.clone());
    assert_eq!(settled.outcomes, [(5, conflict)]);
    let rest = settled.remaining.pop().unwrap().settle(Outcome::Done(9));
    assert_eq!(rest.outcomes.len(), 63);
    assert!(rest.remaining.is_empty());
}

#[test]
fn batch_with_unknown_outcome_is_confirmed_by_one_retry() {
    let members = members(64);
    let Write::Put(key, value) = members[3].transaction.writes[0].clone() else {
        panic!("a claim must be a put")
    };
    let mut settled = batch(members).settle(Outcome::Unknown);
    assert!(settled.outcomes.is_empty());
    let own = Row { key, revision: 9, value };
    let conflict = Outcome::NotDone(Refusal::Conflict(Some(own)));
    let rest = settled.remaining.pop().unwrap().settle(conflict);
    assert!(rest.remaining.is_empty());
    assert!(rest.outcomes.iter().all(|(_, outcome)| *outcome == Outcome::Done(9)));
}

/// Lists refusals of a retried batch; none proves that the first commit failed.
macro_rules! stays_unknown {
    ($($case:ident: $refusal:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut settled = batch(members(1)).settle(Outcome::Unknown);
            for _ in 0..3 {
                let Some(batch) = settled.remaining.pop() else { break };
                settled = batch.settle(Outcome::NotDone($refusal));
            }
            assert_eq!(settled.outcomes, [(0, Outcome::Unknown)]);
        }
    )*};
}

stays_unknown! {
    batch_unknown_then_unavailable: Refusal::Unavailable;
    batch_unknown_then_invalid: Refusal::Invalid(String::new());
    batch_unknown_then_conflict: Refusal::Conflict(None);
}

#[test]
fn batch_never_holds_a_row_twice() {
    let mut queue = Queue::new(8, Duration::from_millis(3));
    for member in [members(1), members(1)].concat() {
        queue.push(member, NOW);
    }
    let later = NOW + Duration::from_millis(3);
    assert_eq!(queue.take(NOW), None);
    assert_eq!(queue.take(later).unwrap().len(), 1);
    assert_eq!(queue.take(later).unwrap().len(), 1);
    assert_eq!(queue.take(later), None);
}

/// One of 370 routers that share 300 writes a second, with its share of 1,000
/// postings a second. Each posting takes two writes, so one router has 540 of the
/// 2,000 writes a second over 100 s.
#[test]
fn batches_grow_when_the_budget_is_short() {
    const ROUTERS: u32 = 370;
    const WRITES_PER_SECOND: u32 = 300;
    const TOTAL_WRITES: u64 = 540;
    const SECONDS: u64 = 100;
    let mut budget = Budget::new(WRITES_PER_SECOND, ROUTERS, 4, NOW);
    let mut queue = Queue::default();
    let mut waiting = members(TOTAL_WRITES as usize).into_iter();
    let (mut commits, mut taken, mut longest) = (0, 0, Duration::ZERO);
    for ms in 0..(SECONDS + 2) * 1_000 {
        let now = Instant::from_millis(ms);
        if ms < SECONDS * 1_000
            && ms * TOTAL_WRITES / (SECONDS * 1_000) != (ms + 1) * TOTAL_WRITES / (SECONDS * 1_000)
        {
            queue.push(waiting.next().unwrap(), now);
        }
        if queue.due_at().is_some_and(|due| due <= now) && budget.take(Class::Posting, now) {
            longest = longest.max(now.since(queue.due_at().unwrap()));
            taken += queue.take(now).unwrap().len();
            commits += 1;
        }
    }
    eprintln!("{commits} commits of {taken} writes, longest wait {longest:?}");
    assert_eq!(taken as u64, TOTAL_WRITES);
    assert!(
        commits <= (SECONDS + 2) * u64::from(WRITES_PER_SECOND) / u64::from(ROUTERS) + 4,
        "{commits}"
    );
    let token_interval =
        Duration::from_millis(1_000 * u64::from(ROUTERS) / u64::from(WRITES_PER_SECOND));
    assert!(longest <= token_interval + Duration::from_millis(2), "{longest:?}");
}

#[test]
fn table_outage_refuses_keyed_calls_only() {
    let request =
        |key| Request { key, nonce: Nonce(1), digest: Digest::new("", "", b""), unix_ms: 0 };
    let (mut keyed, _) = Machine::new(Settings::default(), request(Some(key("k"))), NOW);
    let actions = keyed.committed(&Outcome::NotDone(Refusal::Unavailable), NOW);
    assert_eq!(actions[..], [Action::Answer(CallResult::NotRun)]);
    assert!(keyed.is_finished());
    let (mut unkeyed, actions) = Machine::new(Settings::default(), request(None), NOW);
    assert!(matches!(actions[..], [Action::Send { .. }]));
    let actions = unkeyed.delivered(Delivery::Lost, NOW);
    assert_eq!(actions[..], [Action::Answer(CallResult::Unknown)]);
}

#[test]
fn record_is_repeated_with_growing_pauses_through_an_outage() {
    let settings = Settings::default();
    let digest = Digest::new("", "", b"");
    let request = Request { key: Some(key("k")), nonce: Nonce(1), digest, unix_ms: 0 };
    let (mut machine, _) = Machine::new(settings, request, NOW);
    machine.committed(&Outcome::Done(1), NOW);
    machine.delivered(Delivery::Replied(reply(b"")), NOW);
    let (mut now, mut pauses) = (NOW, Vec::new());
    loop {
        machine.committed(&Outcome::NotDone(Refusal::Unavailable), now);
        let Some(at) = machine.wake_at() else { break };
        pauses.push(at.since(now).as_millis());
        now = at;
        assert!(matches!(machine.tick(now)[..], [Action::Commit { repeat: true, .. }]));
    }
    assert!(machine.is_finished());
    assert_eq!(pauses[..8], [200, 400, 800, 1_600, 3_200, 6_400, 12_800, 12_800]);
    assert!(now >= NOW + settings.settle_window);
}

#[test]
fn large_body_is_recorded_as_digest() {
    let reply = reply(&vec![1; MAX_RECORDED_BODY_BYTES + 1]);
    let record = reply.to_record();
    assert!(matches!(record.body, Body::Digest(_)));
    let row = row("k", State::Replied(record.clone()));
    assert_eq!(Entry::try_from(&row).unwrap().state, State::Replied(record));
    assert!(row.value.len() < 1_024);
}

#[test]
fn claim_keys_are_scoped_and_checked() {
    let name = |text: &str| Name::try_from(text).unwrap();
    let scoped = claim_key(&name("a"), &name("b"), "c/d").unwrap();
    assert_eq!(scoped.key, "a/b/c/d");
    for bad in ["", "a b", "\u{e9}", &"x".repeat(256)] {
        assert!(claim_key(&name("a"), &name("b"), bad).is_err(), "{bad:?}");
    }
}

#[test]
fn only_old_unknown_claims_are_resolved() {
    let audit = Write::Put(Key { table: "audit".to_owned(), key: "1".to_owned() }, "{}".to_owned());
    let old = u64::try_from(resolve::MIN_RESOLVE_AGE.as_millis()).unwrap();
    let claimed = row("k", State::Claimed);
    let resolve = |row, at| resolve::resolve(row, Resolution::NotRun, audit.clone(), at);
    assert!(matches!(resolve(&claimed, old - 1), Err(resolve::Error::TooRecent(..))));
    let transaction = resolve(&claimed, old).unwrap();
    assert_eq!(transaction.checks, [Check::Revision(key("k"), 7)]);
    assert_eq!(
        transaction.writes,
        [Write::Put(key("k"), row("k", State::Released).value), audit.clone()]
    );
    let settled = resolve(&row("k", State::Ran), old);
    assert!(matches!(settled, Err(resolve::Error::AlreadySettled(_))));
    assert_eq!(resolve::unresolved(&[claimed, row("r", State::Ran)], old).count(), 1);
}

#[test]
fn rows_expire_after_retention_only() {
    let rows = [row("a", State::Claimed), row("b", State::Ran), row("c", State::Released)];
    let day = Duration::from_secs(86_400);
    let expire = |at, limit| resolve::expire(&rows, at, day, limit);
    assert_eq!(expire(86_399_999, 9), None);
    let deletes = |t: Transaction| t.writes;
    assert_eq!(
        deletes(expire(86_400_000, 9).unwrap()),
        [Write::Delete(key("b")), Write::Delete(key("c"))]
    );
    assert_eq!(deletes(expire(86_400_000, 1).unwrap()), [Write::Delete(key("b"))]);
}

#[test]
fn write_budgets_of_370_routers_stay_within_the_platform_limit() {
    const WRITES_PER_SECOND: u32 = 300;
    const ROUTERS: u32 = 370;
    const SECONDS: u64 = 100;
    let mut budgets = vec![Budget::new(WRITES_PER_SECOND, ROUTERS, 4, NOW); ROUTERS as usize];
    let mut taken = 0;
    for ms in 0..SECONDS * 1_000 {
        let now = Instant::from_millis(ms);
        taken +=
            budgets.iter_mut().filter_map(|b| b.take(Class::Config, now).then_some(())).count();
    }
    let bound = u64::from(WRITES_PER_SECOND) * SECONDS + u64::from(4 * ROUTERS);
    assert!(taken as u64 <= bound, "{taken} of {bound}");
    assert!(taken as u64 * 10 > bound * 9, "{taken} of {bound}");
}

#[test]
fn cleanup_and_postings_leave_writes_for_config() {
    let mut budget = Budget::new(1, 1, 8, NOW);
    let mut count =
        |class| std::iter::repeat_with(|| budget.take(class, NOW)).take_while(|b| *b).count();
    assert_eq!(count(Class::Cleanup), 2);
    assert_eq!(count(Class::Posting), 4);
    assert_eq!(count(Class::Config), 2);
}

#[test]
fn budget_follows_the_number_of_routers() {
    let mut budget = Budget::new(10, 1, 4, NOW);
    budget.set_routers(10, NOW);
    while budget.take(Class::Config, NOW) {}
    assert!(!budget.take(Class::Config, Instant::from_millis(999)));
    assert!(budget.take(Class::Config, Instant::from_millis(1_000)));
    assert!(!budget.take(Class::Config, Instant::from_millis(1_000)));
}

#[test]
fn breaker_opens_probes_and_closes() {
    let settings = breaker::Settings::default();
    let mut breaker = Breaker::new(settings);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..settings.failures {
        assert!(breaker.admit(NOW));
        breaker.failed(NOW, &mut rng);
    }
    assert!(!breaker.admit(NOW + settings.min_pause.mul_f64(0.49)));
    let probe_at = NOW + settings.min_pause;
    assert!(breaker.admit(probe_at));
    assert!(!breaker.admit(probe_at), "only one probe at a time");
    breaker.failed(probe_at, &mut rng);
    assert!(!breaker.admit(probe_at + settings.min_pause.mul_f64(0.99)), "the pause must double");
    assert!(breaker.admit(probe_at + settings.min_pause * 2));
    breaker.succeeded();
    assert!(breaker.is_closed());
}
