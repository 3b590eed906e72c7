//! Ejection with backoff and jitter, and the slow return after it.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{Availability, Settings};
use crate::time::Instant;

/// Weight of an endpoint at the moment that its ejection ends.
const FIRST_WEIGHT: f32 = 0.1;

/// Range of the random factor on an ejection time.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// The newest ejection of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    current: Option<(Availability, Instant)>,
    count: u8,
}

impl Ejection {
    /// Ejects until a time that doubles with each ejection.
    pub(super) fn eject(
        &mut self,
        cause: Availability,
        settings: &Settings,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) {
        if self.current.is_some_and(|(_, until)| now.since(until) > settings.forgive) {
            self.count = 0;
        }
        let doubled = settings.base_ejection.saturating_mul(1 << self.count.min(16));
        let time = doubled.min(settings.max_ejection).mul_f64(rng.random_range(JITTER));
        self.count = self.count.saturating_add(1);
        self.current = Some((cause, now + time));
    }

    pub(super) fn availability(&self, now: Instant) -> Availability {
        match self.current {
            Some((cause, until)) if now < until => cause,
            _ => Availability::Live,
        }
    }

    pub(super) fn weight(&self, settings: &Settings, now: Instant) -> f32 {
        let Some((_, until)) = self.current else { return 1.0 };
        let part = now.since(until).as_secs_f32() / settings.ramp.as_secs_f32().max(1e-6);
        (FIRST_WEIGHT + (1.0 - FIRST_WEIGHT) * part).min(1.0)
    }

    /// Lifts an ejection, so that the endpoint starts to return at `now`.
    pub(super) fn lift(&mut self, now: Instant) {
        if let Some((_, until)) = &mut self.current {
            *until = (*until).min(now);
        }
    }
}
