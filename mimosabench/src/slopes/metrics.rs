//! Metrics.

use std::hint::black_box;

use mimosashift::meter::{DropReason, EndpointState, MemberState, Meter, Outcome, PostingOutcome};
use mimosashift::meter::{Recovery, RefusalReason, Transport};

use super::series::series;
use super::{Series, cpu, memory};

const ROLE: &str = "metrics";
const ROUNDS: [usize; 4] = [10, 20, 30, 38];

/// Records one value of each of the first `count` series.
fn recorded(count: usize) -> Meter {
    let meter = Meter::new().expect("the metrics can be registered");
    let mut left = count;
    let mut next = || {
        let is_due = left > 0;
        left = left.saturating_sub(1);
        is_due
    };
    let durations = [Meter::first_token, Meter::inter_token, Meter::added_latency];
    durations.iter().filter(|_| next()).for_each(|record| record(&meter, 0.01));
    Outcome::ALL.iter().filter(|_| next()).for_each(|value| meter.requests(1, *value));
    RefusalReason::ALL.iter().filter(|_| next()).for_each(|value| meter.refusals(1, *value));
    Recovery::ALL.iter().filter(|_| next()).for_each(|value| meter.recoveries(1, *value));
    DropReason::ALL.iter().filter(|_| next()).for_each(|value| meter.dropped_replies(1, *value));
    EndpointState::ALL.iter().filter(|_| next()).for_each(|value| meter.endpoints(1, *value));
    MemberState::ALL.iter().filter(|_| next()).for_each(|value| meter.members(1, *value));
    PostingOutcome::ALL.iter().filter(|_| next()).for_each(|value| meter.postings(1, *value));
    Transport::ALL.iter().filter(|_| next()).for_each(|value| meter.peer_bytes(1, *value));
    meter
}

/// Cost of a scrape and of a recorded value by series.
pub fn measure() -> Vec<Series> {
    vec![
        series([ROLE, "scrape", "bytes", "series"], &ROUNDS, |count| scrape_bytes(count) as f64),
        series([ROLE, "scrape", "µs", "series"], &ROUNDS, |count| {
            let meter = recorded(count);
            cpu::micros_per_call(|| meter.render())
        }),
        series([ROLE, "state", "bytes", "series"], &ROUNDS, |count| {
            memory::retained(|| recorded(count)).1
        }),
        series([ROLE, "value recorded", "µs", "series"], &ROUNDS, |count| {
            let meter = recorded(count);
            cpu::micros_per_call(|| meter.inter_token(black_box(0.01)))
        }),
    ]
}

/// Bytes that the metrics hold before anything is recorded.
pub fn state_bytes() -> f64 {
    memory::retained(|| recorded(0)).1
}

/// Bytes of a scrape with so many series recorded.
pub fn scrape_bytes(count: usize) -> usize {
    recorded(count).render().expect("the metrics can be rendered").len()
}
