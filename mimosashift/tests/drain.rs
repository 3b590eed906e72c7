//! Tests of the requests that a router begins while it is stopping.

use std::time::Duration;

use mimosashift::drain::{Latency, Pace, Stream};
use test_case::test_case;

/// Records a stream that took `seconds` to write 100 tokens after a prompt of 100 tokens that
/// took 0.1 s.
fn record(pace: &mut Pace, seconds: u64) {
    let to_first = Duration::from_millis(100);
    pace.record(100.0, 100.0, to_first, to_first + Duration::from_secs(seconds));
}

/// Ten such streams of 2 s.
fn pace() -> Pace {
    let mut pace = Pace::default();
    (0..10).for_each(|_| record(&mut pace, 2));
    pace
}

/// A stream without a prompt.
fn stream(output: f64, max_output: f64) -> Stream {
    Stream { prompt: 0.0, output, max_output }
}

#[test_case(100.0, 400.0, 3_100 => true; "with half as much again")]
#[test_case(100.0, 400.0, 2_900 => false; "only if the estimate is exact")]
#[test_case(300.0, 100.0, 2_100 => true; "as it writes no more than its maximum")]
#[test_case(300.0, 400.0, 5_000 => false; "too long")]
fn stream_fits_into_the_time_left(output: f64, max_output: f64, left_ms: u64) -> bool {
    pace().fits(&stream(output, max_output), Duration::from_millis(left_ms))
}

#[test_case(100.0, 3_100 => true; "with a margin")]
#[test_case(100.0, 2_900 => false; "only at the average pace")]
#[test_case(400.0, 5_000 => false; "unless it writes less than its maximum")]
#[test_case(f64::INFINITY, 60_000 => false; "without a maximum")]
fn stream_surely_fits_into_the_time_left(max_output: f64, left_ms: u64) -> bool {
    pace().surely_fits(&stream(0.0, max_output), Duration::from_millis(left_ms))
}

#[test]
fn no_stream_surely_fits_before_one_has_ended() {
    assert!(!Pace::default().surely_fits(&stream(1.0, 1.0), Duration::from_secs(60)));
}

#[test]
fn every_stream_fits_before_one_has_ended() {
    let mut pace = Pace::default();
    pace.record(0.0, 0.0, Duration::ZERO, Duration::from_secs(9));
    assert!(pace.fits(&stream(1e6, 1e6), Duration::from_secs(1)));
}

/// The prompt takes 4 s at the pace of the short ones.
#[test_case(5_900 => false; "too short a time")]
#[test_case(6_100 => true; "with its prompt")]
fn prompt_counts_besides_the_output(left_ms: u64) -> bool {
    let stream = Stream { prompt: 4_000.0, output: 100.0, max_output: 100.0 };
    let left = Duration::from_millis(left_ms);
    assert!(!pace().surely_fits(&stream, left));
    pace().fits(&stream, left)
}

#[test]
fn pace_follows_slower_streams() {
    let mut pace = pace();
    (0..64).for_each(|_| record(&mut pace, 4));
    assert!(!pace.fits(&stream(100.0, 100.0), Duration::from_millis(3_900)));
    assert!(pace.fits(&stream(100.0, 100.0), Duration::from_millis(4_000)));
}

/// Requests that took 80 ms to 120 ms.
fn latency() -> Latency {
    let mut latency = Latency::default();
    (0..200).for_each(|n| latency.record(Duration::from_millis(if n % 2 == 0 { 80 } else { 120 })));
    latency
}

#[test_case(200 => true; "with a margin")]
#[test_case(110 => false; "only if it is quick")]
#[test_case(0 => false; "at the end")]
fn request_fits_into_the_time_left(left_ms: u64) -> bool {
    latency().fits(Duration::from_millis(left_ms))
}

#[test]
fn every_request_fits_before_one_has_been_answered() {
    assert!(Latency::default().fits(Duration::ZERO));
}

#[test_case(150 => true; "with a margin")]
#[test_case(130 => false; "without a margin")]
fn request_surely_fits_into_the_time_left(left_ms: u64) -> bool {
    latency().surely_fits(Duration::from_millis(left_ms))
}

#[test]
fn slow_request_among_quick_ones_is_remembered() {
    let mut latency = latency();
    latency.record(Duration::from_secs(3));
    (0..100).for_each(|_| latency.record(Duration::from_millis(100)));
    assert!(latency.fits(Duration::from_secs(1)));
    assert!(!latency.surely_fits(Duration::from_secs(2)));
    (0..500).for_each(|_| latency.record(Duration::from_millis(100)));
    assert!(latency.surely_fits(Duration::from_secs(1)));
}

#[test]
fn no_request_surely_fits_before_one_has_been_answered() {
    assert!(!Latency::default().surely_fits(Duration::from_secs(60)));
}
