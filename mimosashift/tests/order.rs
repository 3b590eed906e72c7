//! Leases, order queues, load pacing and placement.

use std::time::Duration;

use mimosashift::order::dispatch::{MIN_RESEND_DELAY, OrderQueue};
use mimosashift::order::lease::{Lease, Settings};
use mimosashift::order::pace::Pacer;
use mimosashift::order::placement::{Candidate, Policy, RangeCopies, choose_endpoint, plan};
use mimosashift::order::{FencingNumber, Target};
use mimosashift::platform::{Check, Outcome, Refusal, Row, Transaction, Write};
use mimosashift::resource::Name;
use mimosashift::time::Instant;

const SETTINGS: Settings = Settings {
    duration: Duration::from_secs(10),
    margin: Duration::from_secs(2),
    // 10 % drift, so that a lease expires for other routers after 11 s.
    drift_ppm: 100_000,
};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn at_seconds(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn lease(holder: &str) -> Lease {
    Lease::new(SETTINGS, &name("group"), name(holder), 1)
}

fn written_row(transaction: &Transaction, revision: u64) -> Row {
    let Write::Put(key, value) = transaction.writes[0].clone() else { panic!("expected a put") };
    Row { key, revision, value }
}

/// A lease held by `a` since time 0, and its row.
fn held_lease() -> (Lease, Row) {
    let mut a = lease("a");
    let write = a.next_transaction(false, at_seconds(0)).unwrap();
    a.on_write_result(&Outcome::Done(1), at_seconds(3));
    (a, written_row(&write, 1))
}

/// Routers of the build 1d5f05c write and read this row.
#[test]
fn lease_row_is_that_of_earlier_builds() {
    let recorded = r#"{"holder":"a","incarnation":1,"number":1}"#;
    let (_, row) = held_lease();
    assert_eq!(row.value, recorded);
    // A later build may add fields.
    let value = recorded.replace('}', r#","more":[1]}"#);
    let mut b = lease("b");
    b.observe(Some(&Row { value, ..row }), at_seconds(0));
    assert_eq!(b.holder(), Some(&name("a")));
}

#[test]
fn lease_time_starts_before_the_write() {
    let (a, _) = held_lease();
    assert_eq!(a.authorize(true, at_seconds(6)), Some(FencingNumber(1)));
    assert_eq!(a.authorize(true, at_seconds(7)), None);
}

/// Guards against routers taking over a lease that another one has just
/// acquired, before the holder had time to renew it.
#[test]
fn holder_is_overdue_only_after_its_renewal() {
    let (mut a, row) = held_lease();
    let mut b = lease("b");
    assert!(!b.is_overdue(at_seconds(100)), "no holder has been observed");
    b.observe(Some(&row), at_seconds(4));
    assert!(!b.is_overdue(at_seconds(8)));
    let renewal = a.next_transaction(false, at_seconds(3)).unwrap();
    b.observe(Some(&written_row(&renewal, 2)), at_seconds(8));
    assert!(!b.is_overdue(at_seconds(12)));
    assert!(b.is_overdue(at_seconds(13)));
}

#[test]
fn orders_to_endpoints_without_fencing_wait_for_lease_expiry() {
    let (_, row) = held_lease();
    let mut b = lease("b");
    b.observe(Some(&row), at_seconds(4));
    assert_eq!(b.next_transaction(false, at_seconds(14)), None, "the old lease may still be valid");
    let write = b.next_transaction(true, at_seconds(5)).unwrap();
    assert_eq!(write.checks, [Check::Revision(b.key().clone(), 1)]);
    b.on_write_result(&Outcome::Done(2), at_seconds(5));
    assert_eq!(b.authorize(true, at_seconds(6)), Some(FencingNumber(2)));
    assert_eq!(b.authorize(false, at_seconds(6)), None);
    let renewal = b.next_transaction(false, at_seconds(10)).unwrap();
    assert_eq!(renewal.checks, [Check::Revision(b.key().clone(), 2)]);
    b.on_write_result(&Outcome::Done(3), at_seconds(10));
    assert_eq!(b.authorize(false, at_seconds(14)), None);
    assert_eq!(b.authorize(false, at_seconds(15)), Some(FencingNumber(2)));
}

#[test]
fn renewal_with_unknown_outcome_is_retried_and_recognized() {
    let (mut a, _) = held_lease();
    let write = a.next_transaction(false, at_seconds(4)).unwrap();
    a.on_write_result(&Outcome::Unknown, at_seconds(5));
    assert_eq!(a.next_transaction(false, at_seconds(6)).as_ref(), Some(&write));
    let committed = written_row(&write, 2);
    a.on_write_result(&Outcome::NotDone(Refusal::Conflict(Some(committed))), at_seconds(6));
    assert_eq!(a.authorize(true, at_seconds(10)), Some(FencingNumber(1)));
    assert_eq!(a.authorize(true, at_seconds(11)), None, "the lease starts with the first write");
}

#[test]
fn conflict_ends_the_lease() {
    let (mut a, row) = held_lease();
    let mut b = lease("b");
    b.observe(Some(&row), at_seconds(1));
    let takeover = written_row(&b.next_transaction(true, at_seconds(1)).unwrap(), 2);
    a.next_transaction(false, at_seconds(4)).unwrap();
    a.on_write_result(&Outcome::NotDone(Refusal::Conflict(Some(takeover))), at_seconds(4));
    assert_eq!(a.authorize(true, at_seconds(4)), None);
}

fn unreadable_row(revision: u64) -> Row {
    Row { key: lease("a").key().clone(), revision, value: "[".repeat(30_000) }
}

/// The holder of such a row is unknown, so that no peer can report its loss.
#[test]
fn unreadable_row_is_replaced_after_one_lease_duration() {
    let mut b = lease("b");
    b.observe(Some(&unreadable_row(7)), at_seconds(4));
    assert_eq!(b.holder(), None);
    b.observe(Some(&unreadable_row(7)), at_seconds(14));
    assert!(!b.is_overdue(at_seconds(14)));
    for suspected in [false, true] {
        assert_eq!(b.next_transaction(suspected, at_seconds(14)), None);
    }
    let write = b.next_transaction(false, at_seconds(15)).unwrap();
    assert_eq!(write.checks, [Check::Revision(b.key().clone(), 7)]);
    b.on_write_result(&Outcome::Done(8), at_seconds(15));
    assert_eq!(b.authorize(false, at_seconds(15)), Some(FencingNumber(8)));
    // Routers of the build 1d5f05c read and continue this row.
    assert_eq!(written_row(&write, 8).value, r#"{"holder":"b","incarnation":1,"number":8}"#);
}

/// A build that writes the lease in another format may renew it.
#[test]
fn each_write_of_an_unreadable_row_is_waited_out() {
    let mut b = lease("b");
    b.observe(Some(&unreadable_row(7)), at_seconds(0));
    b.observe(Some(&unreadable_row(9)), at_seconds(10));
    b.observe(Some(&unreadable_row(7)), at_seconds(11));
    assert_eq!(b.next_transaction(false, at_seconds(20)), None);
    let write = b.next_transaction(false, at_seconds(21)).unwrap();
    assert_eq!(write.checks, [Check::Revision(b.key().clone(), 9)]);
}

#[test]
fn holder_whose_row_becomes_unreadable_stops_and_acquires_the_lease_again() {
    let (mut a, _) = held_lease();
    a.next_transaction(false, at_seconds(4)).unwrap();
    let conflict = Outcome::NotDone(Refusal::Conflict(Some(unreadable_row(5))));
    a.on_write_result(&conflict, at_seconds(4));
    assert_eq!(a.unreadable_revision(), Some(5));
    assert_eq!(a.authorize(true, at_seconds(4)), None);
    assert_eq!(a.next_transaction(true, at_seconds(14)), None);
    a.next_transaction(false, at_seconds(15)).unwrap();
    a.on_write_result(&Outcome::Done(6), at_seconds(15));
    assert_eq!(a.unreadable_revision(), None);
    assert_eq!(a.authorize(false, at_seconds(15)), Some(FencingNumber(6)));
}

/// A store that came back from a copy may give out lower revisions.
#[test]
fn number_after_an_unreadable_row_exceeds_the_last_one_known() {
    let value = r#"{"holder":"a","incarnation":1,"number":90}"#.to_owned();
    let mut b = lease("b");
    b.observe(Some(&Row { value, ..unreadable_row(5) }), at_seconds(0));
    b.observe(Some(&unreadable_row(7)), at_seconds(1));
    b.next_transaction(false, at_seconds(12)).unwrap();
    b.on_write_result(&Outcome::Done(8), at_seconds(12));
    assert_eq!(b.authorize(true, at_seconds(12)), Some(FencingNumber(91)));
}

#[test]
fn order_is_resent_only_after_min_resend_delay() {
    let (a, _) = held_lease();
    let mut queue = OrderQueue::new(true);
    queue.enqueue(Target::Role(name("decode")));
    queue.enqueue(Target::Role(name("decode")));
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.next(&a, at_seconds(1)), None, "no report yet");
    queue.observe(at_seconds(0), |_| false);
    let order = queue.next(&a, at_seconds(1)).unwrap();
    assert_eq!(order.number, FencingNumber(1));
    assert_eq!(queue.next(&a, at_seconds(2)), None);
    // The times of `next` check the lease and are independent of those of the
    // reports.
    queue.observe(at_seconds(60), |_| false);
    assert_eq!(
        queue.next(&a, at_seconds(2)),
        None,
        "the report was requested too soon after the send"
    );
    queue.observe(at_seconds(1) + MIN_RESEND_DELAY, |_| false);
    assert_eq!(queue.next(&a, at_seconds(8)), None, "the lease has expired");
    assert!(queue.next(&a, at_seconds(2)).is_some());
    queue.observe(at_seconds(3), |_| true);
    assert!(queue.is_empty());
}

#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let mut pacer = Pacer::new(4, 100);
    let started = (0..100).filter(|second| {
        let starts = pacer.try_start(1_000, at_seconds(*second));
        if starts {
            pacer.finish();
        }
        starts
    });
    assert_eq!(started.count(), 11, "each load reads for 10 s and may start 1 s early");
    let mut pacer = Pacer::new(2, 1_000_000);
    assert_eq!((0..5).filter(|_| pacer.try_start(1, at_seconds(0))).count(), 2);
}

const fn range(wanted: u16, live: u16, loading: u16) -> RangeCopies {
    RangeCopies { wanted, live, loading }
}

/// Defines one test per policy with the ranges that it copies, in order.
macro_rules! plans {
    ($($case:ident: $policy:expr => $chosen:expr;)*) => {$(
        #[test]
        fn $case() {
            let ranges = [range(10, 9, 0), range(10, 7, 0), range(4, 1, 1), range(2, 2, 0)];
            assert_eq!(plan($policy, &ranges, 8)[..], $chosen);
        }
    )*};
}

plans! {
    plan_wait: Policy::Wait => [0; 0];
    plan_every_loss: Policy::EveryLoss => [2, 2, 1, 1, 1, 0];
    plan_below_80: Policy::Below(80) => [2, 2, 1];
    plan_below_50: Policy::Below(50) => [0; 0];
}

#[test]
fn copies_are_distributed_over_domains() {
    let candidate = |endpoint, domain, domain_copies, free_bytes| Candidate {
        endpoint: name(endpoint),
        domain: name(domain),
        domain_copies,
        free_bytes,
    };
    let candidates =
        [candidate("a", "x", 2, 90), candidate("b", "y", 1, 20), candidate("c", "y", 1, 30)];
    assert_eq!(choose_endpoint(&candidates, 10).map(|c| c.endpoint.as_str()), Some("c"));
    assert_eq!(choose_endpoint(&candidates, 50).map(|c| c.endpoint.as_str()), Some("a"));
    assert_eq!(choose_endpoint(&candidates, 100), None);
}
