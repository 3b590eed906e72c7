//! What came of the requests of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosashift::admit::Refusal;
use mimosashift::engine::{Failure, Label};
use mimosashift::pipeline::Outcome;
use mimosashift::time::Instant;

use super::call::{Call, End};

/// Width of a bin of the token flow.
pub const BIN: Duration = Duration::from_millis(100);

/// One ended request.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// When it came.
    pub arrived: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
    /// Tokens of its prompt and of its whole answer.
    pub size: (u32, u32),
    /// Pause around the fault, if it had begun to answer before.
    pub pause: Option<Duration>,
}

/// Counts of a run.
#[derive(Debug)]
pub struct Tally {
    /// Every request, in order of arrival.
    pub done: Vec<Done>,
    /// Correct tokens that callers got, by time.
    pub flow: Vec<u32>,
    /// Steps that engines ran.
    pub steps: u64,
    /// Requests for which no chain was found on arrival.
    pub no_chain: u64,
    /// Admitted requests that were not answered, by outcome.
    pub lost: BTreeMap<String, u64>,
    /// Steps without an answer, by cause and kind of step.
    pub failed: BTreeMap<String, u64>,
    /// Refusals, by cause.
    pub refused: BTreeMap<&'static str, u64>,
    /// Breaches of what must always hold.
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

    /// Requests that ended in this way.
    pub fn ended(&self, end: End) -> usize {
        self.done.iter().filter(|done| done.end == end).count()
    }

    /// Share of the requests that came in a span and were answered in time.
    pub fn served_share(&self, from: Instant, to: Instant) -> f64 {
        let came = self.done.iter().filter(|done| (from..to).contains(&done.arrived));
        let (mut all, mut whole) = (0, 0);
        for done in came {
            all += 1;
            whole += usize::from(done.end == End::Whole);
        }
        whole as f64 / f64::from(all.max(1))
    }

    /// Work of the requests answered in a span, by a measure of their size.
    pub fn work(&self, from: Instant, to: Instant, measure: impl Fn(f64, f64) -> f64) -> f64 {
        let whole = self.done.iter().filter(|done| done.end == End::Whole);
        let ended = whole.filter(|done| (from..to).contains(&done.ended));
        ended.map(|done| measure(f64::from(done.size.0), f64::from(done.size.1))).sum()
    }

    /// Mean flow of tokens a second over a span.
    pub fn flow_over(&self, from: Instant, to: Instant) -> f64 {
        let bin = |at: Instant| at.since(Instant::ZERO).div_duration_f64(BIN) as usize;
        let bins = self.flow.iter().skip(bin(from)).take(bin(to) - bin(from));
        f64::from(bins.sum::<u32>()) / to.since(from).as_secs_f64()
    }

    /// The pause that 95 in 100 of the interrupted answers stayed under.
    pub fn pause(&self, share: f64) -> Duration {
        let mut pauses: Vec<Duration> = self.done.iter().filter_map(|done| done.pause).collect();
        pauses.sort();
        let place = (pauses.len() as f64 * share) as usize;
        pauses.get(place.min(pauses.len().saturating_sub(1))).copied().unwrap_or_default()
    }

    pub(super) fn token(&mut self, now: Instant) {
        let bin = now.since(Instant::ZERO).div_duration_f64(BIN) as usize;
        if self.flow.len() <= bin {
            self.flow.resize(bin + 1, 0);
        }
        self.flow[bin] += 1;
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) {
        let cause = match refusal {
            Refusal::Late => "late",
            Refusal::OverLimit => "over limit",
            Refusal::Shed => "shed",
        };
        *self.refused.entry(cause).or_default() += 1;
    }

    pub(super) fn fail(&mut self, failure: &Failure, label: &Label) {
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

    pub(super) fn lose(&mut self, outcome: &Outcome, arrived: Instant) {
        let before = self.fault.is_some_and(|fault| arrived < fault);
        let cause = match outcome {
            Outcome::Failed { code, .. } => format!("{code:?}"),
            other => format!("{other:?}"),
        };
        let when = if before { " (before the fault)" } else { "" };
        *self.lost.entry(format!("{cause}{when}")).or_default() += 1;
    }

    pub(super) fn violation(&mut self, what: &str, now: Instant) {
        self.violations.push(format!("{what} at {} us", now.as_micros()));
    }

    pub(super) fn finish(&mut self, calls: &[Call]) {
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
