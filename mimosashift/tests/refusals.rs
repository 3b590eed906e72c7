//! Tests of the memory of requests that were taken for not run.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use mimosashift::refusals::{Basis, Recent};
use mimosashift::time::Instant;
use test_case::test_case;

const REQUEST: u64 = 7;

/// Addresses of two endpoints.
const BY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1));
const OTHER: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2));

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

#[test_case(Basis::Refusal(BY), BY, true; "answer of who refused it")]
#[test_case(Basis::Refusal(BY), OTHER, false; "answer of another endpoint")]
#[test_case(Basis::Promise, OTHER, true; "answer after a promise")]
fn answer_contradicts(basis: Basis, by: SocketAddr, expected: bool) {
    let mut recent = Recent::default();
    recent.record(REQUEST, basis, at(0));
    recent.record(8, Basis::Promise, at(1));
    let found = recent.contradicted(REQUEST, by, at(20));
    assert_eq!(found, expected.then_some((basis, Duration::from_millis(20))));
}

#[test]
fn what_the_client_was_told_goes_first() {
    let mut recent = Recent::default();
    recent.record(REQUEST, Basis::Refusal(BY), at(0));
    recent.record(REQUEST, Basis::Promise, at(5));
    recent.record(REQUEST, Basis::Refusal(OTHER), at(6));
    let found = recent.contradicted(REQUEST, BY, at(20));
    assert_eq!(found, Some((Basis::Promise, Duration::from_millis(15))));
}

#[test]
fn answer_after_another_send_contradicts_nothing() {
    let mut recent = Recent::default();
    recent.record(REQUEST, Basis::Refusal(BY), at(0));
    recent.withdraw(REQUEST, BY);
    assert_eq!(recent.contradicted(REQUEST, BY, at(1)), None);
}

#[test]
fn entries_expire_and_their_number_is_limited() {
    let mut recent = Recent::default();
    recent.record(REQUEST, Basis::Promise, at(0));
    assert_eq!(recent.contradicted(REQUEST, BY, at(60_000)), None);
    for other in 0..1_024 {
        recent.record(100 + other, Basis::Promise, at(0));
    }
    assert_eq!(recent.contradicted(REQUEST, BY, at(1)), None);
    assert!(recent.contradicted(100, BY, at(1)).is_some());
}
