//! Cost of metrics.

use std::hint::black_box;

use mimosashift::meter::{DropReason, EndpointState, MemberState, Meter, Outcome, PostingOutcome};
use mimosashift::meter::{Recovery, RefusalReason, Transport};

use super::series::series;
use super::{Series, cpu, memory};

const ROLE: &str = "metrics";
const SERIES_COUNTS: [usize; 4] = [10, 20, 30, 38];

/// Records one value of each of the first `count` series.
fn recorded(count: usize) -> Meter {
    let meter = Meter::new().expect("the metrics can be registered");
    let mut remaining = count;
    let mut next = || {
        let is_due = remaining > 0;
        remaining = remaining.saturating_sub(1);
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

/// Measures the cost of a scrape and of recording a value by number of series.
pub fn measure() -> Vec<Series> {
    vec![
        series([ROLE, "scrape", "bytes", "series"], &SERIES_COUNTS, |count| {
            scrape_bytes(count) as f64
        }),
        series([ROLE, "scrape", "µs", "series"], &SERIES_COUNTS, |count| {
            let meter = recorded(count);
            cpu::micros_per_call(|| meter.render())
        }),
        series([ROLE, "state", "bytes", "series"], &SERIES_COUNTS, |count| {
            memory::retained(|| recorded(count)).1
        }),
        series([ROLE, "value recorded", "µs", "series"], &SERIES_COUNTS, |count| {
            let meter = recorded(count);
            cpu::micros_per_call(|| meter.inter_token(black_box(0.01)))
        }),
    ]
}

/// Memory retained by the metrics before any value is recorded.
pub fn state_bytes() -> f64 {
    memory::retained(|| recorded(0)).1
}

/// Size in bytes of a scrape with `count` recorded series.
pub fn scrape_bytes(count: usize) -> usize {
    recorded(count).render().expect("the metrics can be rendered").len()
}
