//! When a table is read that may not answer.
//!
//! A read without an answer does not hold up the next one, so that the return of a silent
//! store is noticed within the retry interval and not only after the time limit of a read.

use std::time::Duration;

use crate::time::Instant;

/// Maximum number of reads without an answer at the same time.
const MAX_PENDING: u32 = 4;

/// Times of the reads of a table.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next: Instant,
    pending: u32,
    /// Begin of the latest read that succeeded.
    newest: Instant,
}

impl Schedule {
    /// Whether a read may begin.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next && self.pending < MAX_PENDING
    }

    /// Earliest time of the next read.
    pub const fn next(&self) -> Instant {
        self.next
    }

    /// Makes a read due at `at` at the latest.
    pub fn bring_forward(&mut self, at: Instant) {
        self.next = self.next.min(at);
    }

    /// Records that a read begins; the next one is due after `retry_interval` if it has no
    /// answer by then.
    pub fn begin(&mut self, now: Instant, retry_interval: Duration) {
        self.pending += 1;
        self.next = now + retry_interval;
    }

    /// Records the answer to the read that began at `began`; the next one is due after
    /// `interval`. Returns false if the answer to a later one is known already.
    pub fn succeed(&mut self, began: Instant, now: Instant, interval: Duration) -> bool {
        self.pending = self.pending.saturating_sub(1);
        if began < self.newest {
            return false;
        }
        self.newest = began;
        self.next = now + interval;
        true
    }

    /// Records that the read that began at `began` failed. Returns false if a later one has
    /// succeeded, so that the failure tells nothing of the present.
    pub fn fail(&mut self, began: Instant, now: Instant, retry_interval: Duration) -> bool {
        self.pending = self.pending.saturating_sub(1);
        if began < self.newest {
            return false;
        }
        if self.pending == 0 {
            self.next = now + retry_interval;
        }
        true
    }
}
