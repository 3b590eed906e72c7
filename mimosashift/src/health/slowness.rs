//! Moving average of an endpoint's observed time relative to its declared time.

use std::time::Duration;

use crate::time::Instant;

/// Weight of the most recent observation.
const NEWEST_WEIGHT: f32 = 0.3;

/// Time in which a deviation decays by half without new observations.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Range to which observations are clamped, so that one extreme value does not
/// dominate the average.
const OBSERVATION_RANGE: (f32, f32) = (0.05, 10_000.0);

/// Observed time divided by declared time. It returns to 1 without
/// observations, so that an endpoint avoided for slowness is tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlownessFactor {
    average: f32,
    updated_at: Instant,
}

impl SlownessFactor {
    pub(super) fn observe(&mut self, ratio: f32, now: Instant) {
        let ratio = ratio.clamp(OBSERVATION_RANGE.0, OBSERVATION_RANGE.1);
        let current = self.value(now);
        self.average = current + (ratio - current) * NEWEST_WEIGHT;
        self.updated_at = now;
    }

    pub(super) fn value(&self, now: Instant) -> f32 {
        let deviation = self.average - 1.0;
        if deviation == 0.0 {
            return 1.0;
        }
        let age = now.since(self.updated_at).as_secs_f32() / HALF_LIFE.as_secs_f32();
        1.0 + deviation * (-age).exp2()
    }
}

impl Default for SlownessFactor {
    fn default() -> Self {
        Self { average: 1.0, updated_at: Instant::ZERO }
    }
}
