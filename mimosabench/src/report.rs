//! What became of the requests of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered once, whole and right.
    Whole,
    /// Answered whole, but wrong. Must never happen.
    Wrong,
    /// Cut short, visibly.
    CutShort,
    /// Refused with effect `not-run`.
    NotRun,
    /// Answered with effect `unknown`.
    Unknown,
    /// Answered with effect `failed`.
    Failed,
    /// No answer.
    Lost,
}

/// Counts and latencies of a run.
pub struct Report {
    /// Seconds in which requests became due.
    pub seconds: f64,
    counts: [u64; 7],
    latency: Histogram<u64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Report {
    /// Notes one request and the time since it was due.
    pub fn record(&mut self, outcome: Outcome, latency: Duration) {
        self.counts[outcome as usize] += 1;
        if outcome == Outcome::Whole {
            record_micros(&mut self.latency, latency);
        }
    }

    /// Notes the times of one answer's tokens: the first since it was due,
    /// each other since the one before.
    pub fn record_token_gaps(&mut self, gaps: &[Duration]) {
        let Some((first, rest)) = gaps.split_first() else { return };
        record_micros(&mut self.first, *first);
        rest.iter().for_each(|gap| record_micros(&mut self.between, *gap));
    }

    /// How many requests ended so.
    pub const fn count(&self, outcome: Outcome) -> u64 {
        self.counts[outcome as usize]
    }

    /// How many requests were sent.
    pub fn sent(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// The report as JSON, times in milliseconds.
    pub fn to_json(&self) -> Value {
        json!({
            "seconds": self.seconds,
            "sent": self.sent(),
            "whole": self.count(Outcome::Whole),
            "wrong": self.count(Outcome::Wrong),
            "cut_short": self.count(Outcome::CutShort),
            "not_run": self.count(Outcome::NotRun),
            "unknown": self.count(Outcome::Unknown),
            "failed": self.count(Outcome::Failed),
            "lost": self.count(Outcome::Lost),
            "latency_ms": quantiles(&self.latency),
            "first_token_ms": quantiles(&self.first),
            "between_tokens_ms": quantiles(&self.between),
        })
    }

    /// The report as lines of text.
    pub fn to_text(&self) -> String {
        let json = self.to_json();
        let members = json.as_object().expect("the report is an object");
        members.iter().map(|(name, value)| format!("{name:18} {value}\n")).collect()
    }
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
        Self {
            seconds: 0.0,
            counts: [0; 7],
            latency: histogram(),
            first: histogram(),
            between: histogram(),
        }
    }
}

fn record_micros(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS));
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({"p50": at(0.50), "p95": at(0.95), "p99": at(0.99), "max": histogram.max() as f64 / 1_000.0})
}
