//! Tests of the end of answers without a length that pass through a chain.

use std::time::Duration;

use mimosashift::ending::Evidence;
use mimosashift::time::Instant;
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

/// Data at these times, a fault after those before `fault`, and an end at `end`; engines give up
/// after 2,500 ms.
#[test_case(&[100, 200, 300], None, 301 => true; "end with the last event")]
#[test_case(&[3_000, 3_020], None, 3_021 => true; "late begin")]
#[test_case(&[100, 1_300, 1_400], None, 1_401 => true; "short pause")]
#[test_case(&[100, 2_000, 2_100, 2_600], None, 2_601 => true; "long before a pause ends")]
#[test_case(&[100, 200], None, 2_700 => false; "end after the time of a stall")]
#[test_case(&[100, 2_700, 2_701], None, 2_702 => false; "held up on the way")]
#[test_case(&[100, 1_400, 1_401], None, 2_701 => false; "held up for half of the time")]
#[test_case(&[100, 200, 300], Some(300), 301 => false; "fault before the end")]
#[test_case(&[100, 200, 600, 700], Some(300), 701 => false; "fault just before the last events")]
#[test_case(&[100, 200, 600, 1_200], Some(300), 1_201 => true; "long after a fault")]
#[test_case(&[], None, 10 => false; "no data")]
fn end_is_the_answers_own(data: &[u64], fault: Option<u64>, end: u64) -> bool {
    let mut evidence = Evidence::new(Duration::from_millis(2_500));
    let mut is_reported = false;
    for &time in data {
        if fault.is_some_and(|fault| fault < time) && !is_reported {
            evidence.on_fault();
            is_reported = true;
        }
        evidence.on_data(at(time));
    }
    if fault.is_some() && !is_reported {
        evidence.on_fault();
    }
    evidence.is_settled(at(end))
}
