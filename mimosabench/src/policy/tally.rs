//! Statistics of a simulation run.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosashift::admit::Refusal;
use mimosashift::engine::{Failure, Label};
use mimosashift::pipeline::Outcome;
use mimosashift::time::Instant;

use super::call::{Call, End};

/// Bin width of the token throughput histogram.
pub const BIN: Duration = Duration::from_millis(100);

/// Record of one request.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// Arrival time.
    pub arrived: Instant,
    /// End time.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
    /// Prompt tokens and requested answer tokens.
    pub size: (u32, u32),
    /// Pause around the fault, if the answer had begun before it.
    pub pause: Option<Duration>,
}

/// Statistics of a run.
#[derive(Debug)]
pub struct Tally {
    /// Every request, in order of arrival.
    pub done: Vec<Done>,
    /// Correct tokens delivered, in bins of [`BIN`].
    pub flow: Vec<u32>,
    /// Steps completed by engines.
    pub steps: u64,
    /// Requests for which no chain was found on arrival or dispatch.
    pub no_chain: u64,
    /// Admitted requests that failed, by outcome.
    pub lost: BTreeMap<String, u64>,
    /// Failed steps, by cause and kind of step.
    pub failed: BTreeMap<String, u64>,
    /// Refusals, by cause.
    pub refused: BTreeMap<&'static str, u64>,
    /// Violated invariants.
    pub violations: Vec<String>,
    fault: Option<Instant>,
}

impl Tally {
    pub(super) const fn new(fault: Option<Instant>) -> Self {
        Self {
            done: Vec::new(),
            flow: Vec::new(),
            steps: 0,
            no_chain: 0,
            lost: BTreeMap::new(),
            failed: BTreeMap::new(),
            refused: BTreeMap::new(),
            violations: Vec::new(),
            fault,
        }
    }

    /// Number of requests that ended with `end`.
    pub fn ended(&self, end: End) -> usize {
        self.done.iter().filter(|done| done.end == end).count()
    }

    /// Share of the requests that arrived in a time span and were answered in time.
    pub fn served_share(&self, from: Instant, to: Instant) -> f64 {
        let arrived = self.done.iter().filter(|done| (from..to).contains(&done.arrived));
        let (mut all, mut whole) = (0, 0);
        for done in arrived {
            all += 1;
            whole += usize::from(done.end == End::Complete);
        }
        whole as f64 / f64::from(all.max(1))
    }

    /// Total work of the requests answered in a time span, with `measure` giving the
    /// work for a prompt and answer length.
    pub fn work(&self, from: Instant, to: Instant, measure: impl Fn(f64, f64) -> f64) -> f64 {
        let whole = self.done.iter().filter(|done| done.end == End::Complete);
        let ended = whole.filter(|done| (from..to).contains(&done.ended));
        ended.map(|done| measure(f64::from(done.size.0), f64::from(done.size.1))).sum()
    }

    /// Mean token throughput per second over a time span.
    pub fn flow_over(&self, from: Instant, to: Instant) -> f64 {
        let bin = |at: Instant| at.since(Instant::ZERO).div_duration_f64(BIN) as usize;
        let bins = self.flow.iter().skip(bin(from)).take(bin(to) - bin(from));
        f64::from(bins.sum::<u32>()) / to.since(from).as_secs_f64()
    }

    /// Quantile `share` of the pauses in interrupted answers, 0.95 for the 95th
    /// percentile.
    pub fn pause(&self, share: f64) -> Duration {
        let mut pauses: Vec<Duration> = self.done.iter().filter_map(|done| done.pause).collect();
        pauses.sort();
        let index = (pauses.len() as f64 * share) as usize;
        pauses.get(index.min(pauses.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    pub(super) fn record_token(&mut self, now: Instant) {
        let bin = now.since(Instant::ZERO).div_duration_f64(BIN) as usize;
        if self.flow.len() <= bin {
            self.flow.resize(bin + 1, 0);
        }
        self.flow[bin] += 1;
    }

    pub(super) fn record_refusal(&mut self, refusal: Refusal) {
        let cause = match refusal {
            Refusal::Late => "late",
            Refusal::OverLimit => "over limit",
            Refusal::Shed => "shed",
        };
        *self.refused.entry(cause).or_default() += 1;
    }

    pub(super) fn record_failure(&mut self, failure: &Failure, label: &Label) {
        let kind = match failure {
            Failure::Silent(_) => "silent",
            Failure::Unreachable(_) => "unreachable",
            Failure::NoCache => "no cache",
            Failure::Leaving => "leaving",
            Failure::Overloaded => "overloaded",
            Failure::Refused(reason) => reason,
            Failure::Malformed(_) => "malformed",
        };
        let step = if label.count > 1 { "prompt" } else { "token" };
        *self.failed.entry(format!("{step} {kind}")).or_default() += 1;
    }

    pub(super) fn record_loss(&mut self, outcome: &Outcome, arrived: Instant) {
        let before = self.fault.is_some_and(|fault| arrived < fault);
        let cause = match outcome {
            Outcome::Failed { code, .. } => format!("{code:?}"),
            other => format!("{other:?}"),
        };
        let when = if before { " (before the fault)" } else { "" };
        *self.lost.entry(format!("{cause}{when}")).or_default() += 1;
    }

    pub(super) fn record_violation(&mut self, what: &str, now: Instant) {
        self.violations.push(format!("{what} at {} us", now.as_micros()));
    }

    pub(super) fn record_requests(&mut self, calls: &[Call]) {
        self.done = calls
            .iter()
            .map(|call| Done {
                arrived: call.arrived,
                ended: call.ended,
                end: call.end,
                size: (call.request.prompt.len() as u32, call.request.max_tokens),
                pause: call.pause,
            })
            .collect();
    }
}
