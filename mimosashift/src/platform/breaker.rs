//! Circuit breaker that stops calls to a platform service while it fails.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::time::Instant;

/// When a breaker opens and how often it probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Shortest time between two probes.
    pub min_pause: Duration,
    /// Longest time between two probes.
    pub max_pause: Duration,
}

/// A circuit breaker with jittered probes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Breaker {
    settings: Settings,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Closed { failures: u32 },
    Open { probe_at: Instant, pause: Duration },
    HalfOpen { pause: Duration, retry_at: Instant },
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 5,
            min_pause: Duration::from_millis(250),
            max_pause: Duration::from_secs(1),
        }
    }
}

impl Breaker {
    /// A closed breaker.
    pub const fn new(settings: Settings) -> Self {
        Self { settings, state: State::Closed { failures: 0 } }
    }

    /// Whether calls are allowed without restriction.
    pub const fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Whether a call may be made now; while the breaker is open, one call at a
    /// time is allowed as a probe.
    ///
    /// A probe whose result is not reported is replaced after `max_pause`.
    pub fn admit(&mut self, now: Instant) -> bool {
        let pause = match self.state {
            State::Closed { .. } => return true,
            State::Open { probe_at, pause } if probe_at <= now => pause,
            State::HalfOpen { pause, retry_at } if retry_at <= now => pause,
            State::Open { .. } | State::HalfOpen { .. } => return false,
        };
        self.state = State::HalfOpen { pause, retry_at: now + self.settings.max_pause };
        true
    }

    /// Reports that an admitted call received a response.
    pub const fn succeeded(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Reports that an admitted call failed or received no response.
    ///
    /// The pause before the next probe doubles with each failed probe and is
    /// jittered between half and all of its length, so that the probes of many
    /// routers spread out.
    pub fn failed(&mut self, now: Instant, rng: &mut Pcg64Mcg) {
        let pause = match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failures => {
                self.state = State::Closed { failures: failures + 1 };
                return;
            }
            State::Closed { .. } => self.settings.min_pause,
            State::HalfOpen { pause, .. } => (pause * 2).min(self.settings.max_pause),
            State::Open { .. } => return,
        };
        let jittered = pause.mul_f64(rng.random_range(0.5..=1.0));
        self.state = State::Open { probe_at: now + jittered, pause };
    }
}
