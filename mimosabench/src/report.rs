//! Request outcomes and latencies of a load run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Upper bound of the latency histograms, in microseconds; higher values are
/// clamped to it.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// One response, complete and correct.
    Whole,
    /// A complete response with wrong content, which must never happen.
    Wrong,
    /// A response truncated in a way that the client can detect.
    CutShort,
    /// An error response with effect `not-run`.
    NotRun,
    /// An error response with effect `unknown`.
    Unknown,
    /// An error response with effect `failed`, or without a known effect.
    Failed,
    /// No response.
    Lost,
}

/// Outcome counts and latency histograms of a run.
pub struct Report {
    /// Length of the period over which requests were scheduled, in seconds.
    pub seconds: f64,
    counts: [u64; 7],
    latency: Histogram<u64>,
    first_token: Histogram<u64>,
    inter_token: Histogram<u64>,
}

impl Report {
    /// Records the outcome of a request and the time since it was due.
    ///
    /// Only the latencies of [`Outcome::Whole`] requests enter the histogram.
    pub fn record(&mut self, outcome: Outcome, latency: Duration) {
        self.counts[outcome as usize] += 1;
        if outcome == Outcome::Whole {
            record_micros(&mut self.latency, latency);
        }
    }

    /// Records the token latencies of one response: that of the first token
    /// since the request was due, that of each later one since the previous.
    pub fn record_token_gaps(&mut self, gaps: &[Duration]) {
        let Some((first, rest)) = gaps.split_first() else { return };
        record_micros(&mut self.first_token, *first);
        rest.iter().for_each(|gap| record_micros(&mut self.inter_token, *gap));
    }

    /// Number of requests with this outcome.
    pub const fn count(&self, outcome: Outcome) -> u64 {
        self.counts[outcome as usize]
    }

    /// Number of requests sent.
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
            "first_token_ms": quantiles(&self.first_token),
            "between_tokens_ms": quantiles(&self.inter_token),
        })
    }

    /// The report as text, one line per value.
    pub fn to_text(&self) -> String {
        let json = self.to_json();
        let entries = json.as_object().expect("the report is an object");
        entries.iter().map(|(name, value)| format!("{name:18} {value}\n")).collect()
    }
}

impl Default for Report {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
        Self {
            seconds: 0.0,
            counts: [0; 7],
            latency: histogram(),
            first_token: histogram(),
            inter_token: histogram(),
        }
    }
}

fn record_micros(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(MAX_LATENCY_MICROS));
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let millis_at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({"p50": millis_at(0.50), "p95": millis_at(0.95), "p99": millis_at(0.99), "max": histogram.max() as f64 / 1_000.0})
}
