//! Retry budget and backoff.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::time::Instant;

/// Bound of the first backoff.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Bound of every backoff.
const BACKOFF_CAP: Duration = Duration::from_secs(1);

/// Time slots by which a [`Window`] counts: small against a window of seconds.
const SLOT_MICROS: u64 = 250_000;

/// Time by which a [`Window`] counts retries for longer and requests for
/// shorter than its length: two slots.
const MARGIN: Duration = Duration::from_millis(500);

/// Share of the extra retries that a new start may use in its first window, so
/// that an earlier start of the same router and it keep the bound together.
const FIRST_SHARE: f64 = 1.0 / 3.0;

/// Share of the extra retries in later windows.
const LATER_SHARE: f64 = 1.0 - FIRST_SHARE;

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Retries allowed for each request, for example 0.2.
    pub per_request: f64,
    /// Retries allowed each second whatever the traffic.
    pub per_second: f64,
    /// Most retries that can be saved up.
    pub burst: f64,
}

/// A token bucket that keeps retries a fixed share of live traffic.
///
/// Without it, the loss of a large part of the endpoints would multiply the
/// load on the rest. See `docs/design/pipeline.md`.
#[derive(Clone, Debug)]
pub struct Budget {
    share: Share,
    tokens: f64,
    refilled: Instant,
}

impl Budget {
    /// A full budget.
    pub const fn new(share: Share, now: Instant) -> Self {
        Self { share, tokens: share.burst, refilled: now }
    }

    /// Adds the share of one new request.
    pub fn on_request(&mut self, now: Instant) {
        self.refill(now);
        self.add(self.share.per_request);
    }

    /// Takes one retry, or says when the next one will be there at the latest.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let wait = Duration::try_from_secs_f64(missing / self.share.per_second);
        Err(wait.unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.refilled);
        self.refilled = self.refilled.max(now);
        self.add(elapsed.as_secs_f64() * self.share.per_second);
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.share.burst);
    }
}

/// What a [`Window`] allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of the window.
    pub length: Duration,
    /// Retries for each request within it.
    pub per_request: f64,
    /// Further retries within it.
    pub extra: f64,
}

/// Keeps retries under a share of the requests in any window of time.
///
/// Unlike a [`Budget`] it lets all that a window allows go at once, which is
/// when the loss of an endpoint needs it.
#[derive(Clone, Debug)]
pub struct Window {
    started: Instant,
    requests: Tally,
    retries: Tally,
}

/// Events by the time slot in which they fell, the oldest first.
#[derive(Clone, Debug, Default)]
struct Tally(VecDeque<(u64, u32)>);

impl Tally {
    fn add(&mut self, now: Instant) {
        let slot = now.as_micros() / SLOT_MICROS;
        match self.0.back_mut() {
            Some((last, count)) if *last >= slot => *count += 1,
            _ => self.0.push_back((slot, 1)),
        }
    }

    /// Events in slots that began no longer than `span` ago.
    fn within(&self, span: Duration, now: Instant) -> f64 {
        let from = (now - span).as_micros() / SLOT_MICROS;
        self.0.iter().filter(|(slot, _)| *slot > from).map(|(_, count)| f64::from(*count)).sum()
    }

    fn forget(&mut self, span: Duration, now: Instant) {
        let from = (now - span).as_micros() / SLOT_MICROS;
        while self.0.front().is_some_and(|(slot, _)| *slot < from) {
            self.0.pop_front();
        }
    }
}

impl Window {
    /// An empty window of a process that starts now. Until it has passed once,
    /// only a part of the extra retries is given: an earlier start may have
    /// spent the rest.
    pub fn new(now: Instant) -> Self {
        Self { started: now, requests: Tally::default(), retries: Tally::default() }
    }

    /// Notes a new request.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.add(now);
    }

    /// Takes one retry, if the window allows one.
    pub fn take(&mut self, bound: &Bound, now: Instant) -> bool {
        let Bound { length, per_request, extra } = *bound;
        self.requests.forget(length, now);
        self.retries.forget(length + 2 * MARGIN, now);
        let is_new = now.since(self.started) < length + MARGIN;
        let extra = extra * if is_new { FIRST_SHARE } else { LATER_SHARE };
        // A retry arrives later than it is counted here.
        let requests = self.requests.within(length.saturating_sub(MARGIN), now);
        let allowed = per_request * requests + extra;
        let taken = self.retries.within(length + MARGIN, now) + 1.0 <= allowed;
        if taken {
            self.retries.add(now);
        }
        taken
    }
}

impl Default for Share {
    fn default() -> Self {
        Self { per_request: 0.2, per_second: 1.0, burst: 500.0 }
    }
}

/// Time to wait before retry number `retry`, from 0: full jitter under an
/// exponential bound, after the time that the endpoint asked for.
pub fn backoff(retry: u32, retry_after: Option<Duration>, rng: &mut Pcg64Mcg) -> Duration {
    let bound = BACKOFF_BASE.saturating_mul(1 << retry.min(16)).min(BACKOFF_CAP);
    let jitter = bound.mul_f64(rng.random_range(0.0..1.0));
    retry_after.unwrap_or_default().saturating_add(jitter)
}
