//! Retry budget and backoff.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::time::Instant;

/// Bound of the first backoff.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Bound of every backoff.
const BACKOFF_CAP: Duration = Duration::from_secs(1);

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

    /// A half full budget, for a process that may have spent a full one just
    /// before it started anew.
    pub const fn half_full(share: Share, now: Instant) -> Self {
        Self { share, tokens: share.burst / 2.0, refilled: now }
    }

    /// Changes the share, for example because there are more routers.
    pub fn set_share(&mut self, share: Share, now: Instant) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
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
