//! Limits weight loads to the read rate of the weight store.

use std::time::Duration;

use crate::time::Instant;

/// Limits the number of concurrent loads and their total read rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pacer {
    max_concurrent_loads: u32,
    bytes_per_second: u64,
    loads: u32,
    /// When the weight store will have read everything ordered so far.
    busy_until: Instant,
}

impl Pacer {
    /// A load may start if the weight store finishes the earlier reads within
    /// this time.
    const MAX_QUEUED_READ_TIME: Duration = Duration::from_secs(1);

    /// A pacer without running loads.
    pub const fn new(max_concurrent_loads: u32, bytes_per_second: u64) -> Self {
        Self { max_concurrent_loads, bytes_per_second, loads: 0, busy_until: Instant::ZERO }
    }

    /// Admits a load of `bytes`, or returns `false` if it must wait.
    pub fn try_start(&mut self, bytes: u64, now: Instant) -> bool {
        if self.loads >= self.max_concurrent_loads
            || self.busy_until > now + Self::MAX_QUEUED_READ_TIME
        {
            return false;
        }
        let micros = bytes.saturating_mul(1_000_000) / self.bytes_per_second.max(1);
        self.busy_until = self.busy_until.max(now) + Duration::from_micros(micros);
        self.loads += 1;
        true
    }

    /// Reports that a load has finished or was abandoned.
    pub const fn finish(&mut self) {
        self.loads = self.loads.saturating_sub(1);
    }
}
