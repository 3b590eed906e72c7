//! How hard the engines are pressed, and who may wait for memory.
//!
//! A request may wait for as long as it can still be on time, and only as many
//! wait as are served in that time. Whoever is refused is told to come back
//! the later, the larger the share that is refused.

use std::time::Duration;

use crate::time::Instant;

/// Longest wait for memory: with the usual time to a first event it leaves a
/// request within the shortest latency objective in use, 500 ms.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// Time over which what was admitted and refused is forgotten.
const MEMORY: Duration = Duration::from_secs(2);

/// Shortest time that a refused client is told to wait; one that is then
/// admitted at once is still on time.
const MIN_RETRY: Duration = Duration::from_millis(250);

/// Share of refusals up to which a shortage counts as momentary: single
/// requests that met a full endpoint.
const MOMENTARY: f64 = 0.02;

/// Longest such time, told when everything is refused: a third of the usual
/// deadline of 20 s, beyond which clients do not wait.
const MAX_RETRY: Duration = Duration::from_millis(6_500);

/// Fewest requests that may wait, whatever has been admitted lately.
const MIN_WAITING: f64 = 2.0;

/// What was admitted and refused lately, and who waits.
#[derive(Clone, Debug, Default)]
pub struct MemoryPressure {
    admitted: f64,
    refused: f64,
    at: Instant,
    waiting: usize,
}

impl MemoryPressure {
    /// Lets one more request wait, if it is likely to be served in time.
    pub fn begin_wait(&mut self, now: Instant) -> bool {
        self.decay(now);
        let per_s = self.admitted / MEMORY.as_secs_f64();
        let room = (per_s * MAX_WAIT.as_secs_f64()).max(MIN_WAITING);
        let enters = (self.waiting as f64) < room;
        self.waiting += usize::from(enters);
        enters
    }

    /// Notes that a request no longer waits.
    pub const fn end_wait(&mut self) {
        self.waiting -= 1;
    }

    /// Requests that wait.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Notes that a request was admitted.
    pub fn record_admitted(&mut self, now: Instant) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Notes that a request was refused.
    pub fn record_refused(&mut self, now: Instant) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// When a refused client shall come back, by a draw from `0.0..1.0` that
    /// spreads those that come back.
    pub fn retry_after(&self, draw: f64) -> Duration {
        let all = self.admitted + self.refused;
        let share = if all > 0.0 { self.refused / all } else { 0.0 };
        let spread =
            MAX_RETRY.saturating_sub(MIN_RETRY).mul_f64((share - MOMENTARY).max(0.0).sqrt() * draw);
        MIN_RETRY + spread
    }

    fn decay(&mut self, now: Instant) {
        let factor = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.admitted *= factor;
        self.refused *= factor;
        self.at = self.at.max(now);
    }
}
