//! Moving average of how much slower an endpoint is than declared.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the newest observation.
const NEWEST_WEIGHT: f32 = 0.3;

/// Time after which half of an unconfirmed deviation is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Range of accepted observations, so that one absurd value cannot stay.
const RANGE: (f32, f32) = (0.05, 10_000.0);

/// Observed time over declared time; returns to 1 without observations, so
/// that an endpoint avoided for slowness is tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Factor {
    average: f32,
    at: Instant,
}

impl Factor {
    pub(super) fn observe(&mut self, ratio: f32, now: Instant) {
        let ratio = ratio.clamp(RANGE.0, RANGE.1);
        let current = self.at(now);
        self.average = current + (ratio - current) * NEWEST_WEIGHT;
        self.at = now;
    }

    pub(super) fn at(&self, now: Instant) -> f32 {
        let deviation = self.average - 1.0;
        if deviation == 0.0 {
            return 1.0;
        }
        let age = now.since(self.at).as_secs_f32() / HALF_LIFE.as_secs_f32();
        1.0 + deviation * (-age).exp2()
    }
}

impl Default for Factor {
    fn default() -> Self {
        Self { average: 1.0, at: Instant::ZERO }
    }
}
