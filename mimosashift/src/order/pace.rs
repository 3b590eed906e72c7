//! Keeps weight loads within the weight store's rate.

use std::time::Duration;

use crate::time::Instant;

/// Limits on the loads that are ordered at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pacer {
    max_loads: u32,
    bytes_per_second: u64,
    loads: u32,
    /// When the store has read all that was ordered.
    busy_until: Instant,
}

impl Pacer {
    /// Orders are given this long before the store is free for them.
    const AHEAD: Duration = Duration::from_secs(1);

    /// A pacer without loads.
    pub const fn new(max_loads: u32, bytes_per_second: u64) -> Self {
        Self { max_loads, bytes_per_second, loads: 0, busy_until: Instant::ZERO }
    }

    /// Admits a load of `bytes`, or returns `false` without a change.
    pub fn try_start(&mut self, bytes: u64, now: Instant) -> bool {
        if self.loads >= self.max_loads || self.busy_until > now + Self::AHEAD {
            return false;
        }
        let micros = bytes.saturating_mul(1_000_000) / self.bytes_per_second.max(1);
        self.busy_until = self.busy_until.max(now) + Duration::from_micros(micros);
        self.loads += 1;
        true
    }

    /// Reports that a load ended or was given up.
    pub const fn finish(&mut self) {
        self.loads = self.loads.saturating_sub(1);
    }
}
