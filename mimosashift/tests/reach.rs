//! Tests of whether a router reaches the endpoints of a service.

use std::sync::Arc;
use std::time::Duration;

use mimosashift::exchange::{ResponseInfo, is_promise};
use mimosashift::reach::{Change, Reach, Sample};
use mimosashift::time::Instant;

const NONE_REACHED: Sample = Sample { reached: 0, tried: 6 };
const ALL_REACHED: Sample = Sample { reached: 6, tried: 6 };

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn service() -> Arc<str> {
    "model".into()
}

/// Paths in which these endpoints, of `known`, failed at these times in ms.
fn after_failures(failures: &[(&str, u64)], known: usize) -> Reach {
    let mut reach = Reach::default();
    for (endpoint, ms) in failures {
        reach.record_failure(&service(), &Arc::from(*endpoint), known, at(*ms));
    }
    reach
}

/// Paths that are lost from 1 s on.
fn lost() -> Reach {
    let mut reach = after_failures(&[("e0", 900), ("e1", 950)], 6);
    assert_eq!(reach.apply(&service(), NONE_REACHED, at(1_000)), Some(Change::Lost));
    reach
}

/// Names a test for each series of failures, and whether the paths are checked after it.
macro_rules! check_is_due {
    ($($name:ident: $failures:expr, known $known:literal, at $ms:literal => $due:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut reach = after_failures(&$failures, $known);
            assert_eq!(!reach.due(|_| $known, at($ms)).is_empty(), $due);
        }
    )*};
}

check_is_due! {
    no_check_without_a_failure: [], known 6, at 1_000 => false;
    no_check_after_failures_of_one_endpoint: [("e0", 900), ("e0", 950)], known 6, at 1_000 => false;
    check_after_failures_of_two_endpoints: [("e0", 900), ("e1", 950)], known 6, at 1_000 => true;
    no_check_after_failures_long_apart: [("e0", 900), ("e1", 2_000)], known 6, at 2_000 => false;
    check_after_the_failure_of_the_only_endpoint: [("e0", 900)], known 1, at 1_000 => true;
}

#[test]
fn service_is_lost_only_if_no_endpoint_of_a_sample_is_reached() {
    for (sample, is_lost) in [
        (NONE_REACHED, true),
        (Sample { reached: 1, tried: 6 }, false),
        (ALL_REACHED, false),
        (Sample::default(), false),
    ] {
        let mut reach = after_failures(&[("e0", 900), ("e1", 950)], 6);
        reach.apply(&service(), sample, at(1_000));
        assert_eq!(reach.is_lost("model"), is_lost, "{sample:?}");
    }
}

#[test]
fn lost_service_is_checked_until_half_of_a_sample_is_reached() {
    let mut reach = lost();
    assert!(reach.due(|_| 6, at(1_100)).is_empty());
    assert_eq!(reach.due(|_| 6, at(1_300)), [service()]);
    assert_eq!(reach.apply(&service(), Sample { reached: 2, tried: 6 }, at(1_300)), None);
    assert!(reach.is_lost("model"));
    let regained = Change::Regained(Duration::from_millis(500));
    assert_eq!(reach.apply(&service(), Sample { reached: 3, tried: 6 }, at(1_500)), Some(regained));
    assert!(!reach.is_lost("model"));
}

#[test]
fn other_services_are_not_lost() {
    let reach = lost();
    assert_eq!(reach.lost().collect::<Vec<_>>(), [&service()]);
    assert!(!reach.is_lost("register") && reach.answers("register", at(9_000)));
}

#[test]
fn open_connections_count_as_lost_a_second_after_the_last_answer() {
    let mut reach = lost();
    assert!(reach.answers("model", at(1_500)));
    assert!(!reach.answers("model", at(2_100)));
    reach.record_answer("model", at(2_200));
    assert!(reach.answers("model", at(3_100)));
    assert!(!reach.answers("model", at(3_300)));
}

#[test]
fn failures_from_before_a_loss_do_not_count_after_it() {
    let mut reach = lost();
    reach.apply(&service(), ALL_REACHED, at(1_250));
    assert!(reach.due(|_| 6, at(1_800)).is_empty());
}

#[test]
fn answer_of_an_endpoint_is_no_refusal_of_the_router_that_passes_it_on() {
    let by_router = ResponseInfo::default();
    let by_endpoint = ResponseInfo { signed: true, ..ResponseInfo::default() };
    assert!(by_router.is_refusal(true) && !by_endpoint.is_refusal(true));
    // A status alone may be that of an endpoint, which older builds pass on.
    assert!(!by_router.is_refusal(false) && !by_endpoint.is_refusal(false));
}

#[test]
fn only_some_statuses_promise_that_a_request_has_not_run() {
    assert!([408, 421, 429, 503].into_iter().all(is_promise));
    assert!(![200, 401, 404, 500, 502, 504].into_iter().any(is_promise));
}
