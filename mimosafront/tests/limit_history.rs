//! Tests of the limits on which open connections rely.

use std::time::Duration;

use mimosafront::connection::history::LimitHistory;
use mimosashift::deployment::Limits;
use mimosashift::time::Instant;
use test_case::test_case;

fn idle(seconds: u64) -> Limits {
    Limits { idle_timeout: Duration::from_secs(seconds), ..Limits::default() }
}

/// A history in which each limit replaces the earlier one at the given second.
fn history(changes: &[(u64, u64)]) -> LimitHistory {
    let mut history = LimitHistory::default();
    for (at, seconds) in changes {
        history.replace(idle(*seconds), Instant::from_millis(at * 1_000));
    }
    history
}

#[test_case(&[(0, 30)], 0 => 30; "only limit")]
#[test_case(&[(0, 5), (10, 30)], 1 => 30; "raised while idle")]
#[test_case(&[(0, 30), (10, 5)], 1 => 30; "lowered while idle")]
#[test_case(&[(0, 30), (10, 5)], 11 => 5; "lowered before")]
#[test_case(&[(0, 5), (10, 30), (12, 5)], 11 => 30; "raised and lowered while idle")]
#[test_case(&[(0, 60), (10, 5), (20, 30), (40, 10)], 15 => 30; "lowered, raised and lowered")]
#[test_case(&[(0, 60), (10, 5), (20, 30), (40, 10)], 5 => 60; "longest of all")]
#[test_case(&[(0, 30), (10, 5), (11, 30), (12, 5)], 10 => 30; "replaced several times")]
#[test_case(&[(0, 5), (100, 6), (200, 7)], 0 => 7; "raised slowly")]
fn largest_limit_since(changes: &[(u64, u64)], since: u64) -> u64 {
    let limits = history(changes).largest_since(Instant::from_millis(since * 1_000));
    limits.idle_timeout.as_secs()
}

#[test]
fn largest_of_each_limit_counts() {
    let mut history = LimitHistory::default();
    let (small, large) =
        (Limits { head_bytes: 10, ..idle(50) }, Limits { head_bytes: 90, ..idle(5) });
    history.replace(small, Instant::from_millis(0));
    history.replace(large, Instant::from_millis(1_000));
    let largest = history.largest_since(Instant::from_millis(500));
    assert_eq!((largest.head_bytes, largest.idle_timeout), (90, idle(50).idle_timeout));
}
