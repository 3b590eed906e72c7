//! Tests of the reads of a table that may not answer.

use std::time::Duration;

use mimosashift::poll::Schedule;
use mimosashift::time::Instant;
use test_case::test_case;

/// Times of a reader of a small zone, in milliseconds: its reads, and those without an answer.
const INTERVAL: u64 = 900;
const RETRY_INTERVAL: u64 = 250;
const TIME_LIMIT: u64 = 900;

/// Time in which the store answers.
const ANSWER: u64 = 10;

/// Interval of the checks whether a read is due.
const CHECK_INTERVAL: u64 = 10;

/// Time without reads after which entries may have lapsed.
const MIN_OUTAGE: u64 = 1_500;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn interval(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How a store fails while it is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// It answers no read that is under way during that time.
    Silent,
    /// It refuses each read.
    Refusing,
}

/// What a simulated reader has seen.
#[derive(Debug, Default)]
struct Trace {
    /// Begin and end of the reads that were answered.
    answered: Vec<(u64, u64)>,
    /// Begins of all reads.
    begun: Vec<u64>,
    most_pending: usize,
}

/// Plays a reader whose store is away from `start` to `end`, until `until`.
fn play(failure: Failure, start: u64, end: u64, until: u64) -> Trace {
    let (mut schedule, mut trace) = (Schedule::default(), Trace::default());
    // Begin, end and success of the reads under way.
    let mut pending: Vec<(u64, u64, bool)> = Vec::new();
    for now in (0..until).step_by(CHECK_INTERVAL as usize) {
        let (ended, left): (Vec<_>, Vec<_>) = pending.into_iter().partition(|read| read.1 <= now);
        pending = left;
        for (began, _, is_answered) in ended {
            if !is_answered {
                schedule.fail(at(began), at(now), interval(RETRY_INTERVAL));
            } else if schedule.succeed(at(began), at(now), interval(INTERVAL)) {
                trace.answered.push((began, now));
            }
        }
        if schedule.is_due(at(now)) {
            schedule.begin(at(now), interval(RETRY_INTERVAL));
            trace.begun.push(now);
            let is_away = now + ANSWER > start && now < end;
            let takes = if is_away && failure == Failure::Silent { TIME_LIMIT } else { ANSWER };
            pending.push((now, now + takes, !is_away));
            trace.most_pending = trace.most_pending.max(pending.len());
        }
    }
    trace
}

// A removed endpoint may be used until 3 s after the return; 2.2 s of these are to register.
#[test_case(Failure::Silent)]
#[test_case(Failure::Refusing)]
fn return_of_the_store_is_noticed_within_the_retry_interval(failure: Failure) {
    for start in (5_000..6_000).step_by(50) {
        for length in (100..5_600).step_by(50) {
            let end = start + length;
            let trace = play(failure, start, end, end + 2_000);
            let (_, noticed) = trace.answered.iter().find(|(began, _)| *began >= end).unwrap();
            let (_, known) = trace.answered.iter().rfind(|(began, _)| *began < end).unwrap();
            let took = noticed - end;
            // Nothing is kept for a store that was away for less.
            let is_outage = noticed - known >= MIN_OUTAGE;
            let most = RETRY_INTERVAL + ANSWER + CHECK_INTERVAL;
            assert!(took <= most || !is_outage, "{took} ms after {length} ms from {start}");
        }
    }
}

#[test]
fn reads_without_an_answer_are_bounded() {
    let trace = play(Failure::Silent, 5_000, 60_000, 60_000);
    assert_eq!(trace.most_pending, 4);
    let away = trace.begun.iter().filter(|began| **began >= 10_000).count();
    assert!(away <= 200, "{away} reads in 50 s");
}

#[test]
fn store_that_answers_is_read_at_the_interval() {
    let trace = play(Failure::Silent, 0, 0, 90_000);
    assert_eq!((trace.begun.len(), trace.most_pending), (99, 1));
}

#[test]
fn result_of_an_earlier_read_than_the_newest_is_not_used() {
    let mut schedule = Schedule::default();
    schedule.begin(at(0), interval(RETRY_INTERVAL));
    schedule.begin(at(250), interval(RETRY_INTERVAL));
    schedule.begin(at(500), interval(RETRY_INTERVAL));
    assert!(schedule.succeed(at(250), at(510), interval(INTERVAL)));
    assert!(!schedule.succeed(at(0), at(520), interval(INTERVAL)));
    assert!(schedule.succeed(at(500), at(530), interval(INTERVAL)));
    assert_eq!(schedule.next(), at(530 + INTERVAL));
    schedule.begin(at(540), interval(RETRY_INTERVAL));
    assert!(schedule.fail(at(540), at(550), interval(RETRY_INTERVAL)));
}

#[test]
fn failure_of_an_earlier_read_than_the_newest_does_not_bring_the_next_one_forward() {
    let mut schedule = Schedule::default();
    schedule.begin(at(0), interval(RETRY_INTERVAL));
    schedule.begin(at(250), interval(RETRY_INTERVAL));
    assert!(schedule.succeed(at(250), at(260), interval(INTERVAL)));
    assert!(!schedule.fail(at(0), at(900), interval(RETRY_INTERVAL)));
    assert!(!schedule.is_due(at(1_159)) && schedule.is_due(at(1_160)));
}
