//! Waiting and retry delays when the engines are short of memory.
//!
//! A request may wait for at most [`MAX_WAIT`], and only as many requests may
//! wait as are admitted in that time at the recent rate. The larger the
//! fraction of requests being refused, the longer the retry delay returned to
//! a refused client.

use std::time::Duration;

use crate::time::Instant;

/// Maximum time for which a request may wait for engine memory. It leaves enough
/// of the shortest latency objective, 500 ms, for the usual time to the first
/// event.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// Time constant of the decaying counts of admitted and refused requests.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Minimum retry delay, short enough that a client admitted on its first retry
/// is still answered in time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Fraction of requests that may be refused without lengthening the retry delay,
/// since single endpoints can be full without a general shortage.
const IGNORED_REFUSED_FRACTION: f64 = 0.02;

/// Upper bound of the retry delay: a third of 20 s, the usual deadline after which
/// clients stop waiting.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(6_500);

/// Number of requests that may always wait, whatever the recent admission rate.
const MIN_WAITING_REQUESTS: f64 = 2.0;

/// Recent admissions and refusals, and the number of waiting requests.
#[derive(Clone, Debug, Default)]
pub struct MemoryPressure {
    admitted: f64,
    refused: f64,
    updated_at: Instant,
    waiting: usize,
}

impl MemoryPressure {
    /// Lets one more request wait if it is likely to be served in time; returns
    /// whether it may.
    pub fn begin_wait(&mut self, now: Instant) -> bool {
        self.decay(now);
        let admitted_per_second = self.admitted / AVERAGING_TIME.as_secs_f64();
        let capacity = (admitted_per_second * MAX_WAIT.as_secs_f64()).max(MIN_WAITING_REQUESTS);
        let may_wait = (self.waiting as f64) < capacity;
        self.waiting += usize::from(may_wait);
        may_wait
    }

    /// Records that a request no longer waits.
    pub const fn end_wait(&mut self) {
        self.waiting -= 1;
    }

    /// Number of waiting requests.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Records an admitted request.
    pub fn record_admitted(&mut self, now: Instant) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Records a refused request.
    pub fn record_refused(&mut self, now: Instant) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// Retry delay for a refused client; `random` from `0.0..1.0` spreads the
    /// retries over time.
    pub fn retry_after(&self, random: f64) -> Duration {
        let total = self.admitted + self.refused;
        let share = if total > 0.0 { self.refused / total } else { 0.0 };
        let spread = MAX_RETRY_AFTER
            .saturating_sub(MIN_RETRY_AFTER)
            .mul_f64((share - IGNORED_REFUSED_FRACTION).max(0.0).sqrt() * random);
        MIN_RETRY_AFTER + spread
    }

    fn decay(&mut self, now: Instant) {
        let factor =
            (-now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.admitted *= factor;
        self.refused *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}
