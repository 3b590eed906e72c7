//! Averages of what a router does, which its digests report.

use std::time::Duration;

use crate::time::Instant;

/// Exponentially decaying average of an amount per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Average {
    per_second: f64,
    updated_at: Instant,
    /// Time constant.
    time: Duration,
}

impl Average {
    pub(super) const fn new(time: Duration, now: Instant) -> Self {
        Self { per_second: 0.0, updated_at: now, time }
    }

    pub(super) fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = (self.at(now) + amount / self.time.as_secs_f64()).max(0.0);
        self.updated_at = now;
    }

    pub(super) fn at(&self, now: Instant) -> f64 {
        decay(self.per_second, self.time, self.updated_at, now)
    }

    /// When it was last added to.
    pub(super) const fn updated_at(&self) -> Instant {
        self.updated_at
    }
}

/// An average at `now` to which nothing was added since `since`.
pub(super) fn decay(per_second: f64, time: Duration, since: Instant, now: Instant) -> f64 {
    per_second * (-now.since(since).as_secs_f64() / time.as_secs_f64()).exp()
}
