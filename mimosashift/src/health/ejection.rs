//! Ejection with exponential backoff and jitter, followed by a gradual return.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Availability, Settings};
use crate::time::Instant;

/// Weight of an endpoint when its ejection ends.
const INITIAL_WEIGHT: f32 = 0.1;

/// Range of the random factor applied to an ejection time.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// The most recent ejection of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    /// Cause and end of the most recent ejection.
    latest: Option<(Availability, Instant)>,
    /// Number of ejections since the backoff was last reset.
    count: u8,
}

impl Ejection {
    /// Ejects the endpoint for twice the previous time, up to `max_ejection`, with
    /// jitter; after `backoff_reset` without an ejection, for `base_ejection`.
    pub(super) fn eject(
        &mut self,
        cause: Availability,
        settings: &Settings,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) {
        if self.latest.is_some_and(|(_, until)| now.since(until) > settings.backoff_reset) {
            self.count = 0;
        }
        let backoff = settings.base_ejection.saturating_mul(1 << self.count.min(16));
        let duration = backoff.min(settings.max_ejection).mul_f64(rng.random_range(JITTER));
        self.count = self.count.saturating_add(1);
        self.latest = Some((cause, now + duration));
    }

    pub(super) fn availability(&self, now: Instant) -> Availability {
        match self.latest {
            Some((cause, until)) if now < until => cause,
            _ => Availability::Live,
        }
    }

    pub(super) fn weight(&self, settings: &Settings, now: Instant) -> f32 {
        let Some((_, until)) = self.latest else { return 1.0 };
        let progress = now.since(until).as_secs_f32() / settings.ramp_time.as_secs_f32().max(1e-6);
        (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * progress).min(1.0)
    }

    /// Ends an ejection early, so that the return to full weight starts at `now`.
    pub(super) fn end_early(&mut self, now: Instant) {
        if let Some((_, until)) = &mut self.latest {
            *until = (*until).min(now);
        }
    }
}
