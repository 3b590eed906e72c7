//! Step timeouts, derived from observed step times.

use std::time::Duration;

use smallvec::SmallVec;

use crate::route::{Chain, Stage};

/// Weight of the newest step time in the moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Maximum number of times that a timeout is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;

/// Bounds of a step's timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutLimits {
    /// Minimum timeout of a step of one token, before doubling.
    pub floor: Duration,
    /// Maximum timeout of a step of one token, before doubling.
    pub ceiling: Duration,
    /// Timeout of a step of one token at a stage without an observed step, and the
    /// minimum timeout of a step of several tokens; both before doubling.
    pub initial: Duration,
    /// Ratio of the timeout to the expected time.
    pub factor: u32,
}

/// Observed step times of the stages of one request.
#[derive(Clone, Debug)]
pub struct StepTimes {
    limits: TimeoutLimits,
    stages: SmallVec<[(Stage, Option<Duration>); 8]>,
    min_token_time: Option<Duration>,
}

impl StepTimes {
    /// Creates an instance without observations.
    pub const fn new(limits: TimeoutLimits) -> Self {
        Self { limits, stages: SmallVec::new_const(), min_token_time: None }
    }

    /// Changes the chain and keeps the observations of unchanged stages.
    pub fn set_chain(&mut self, chain: &Chain) {
        let observed = |stage: &Stage| self.stages.iter().find(|(s, _)| s == stage)?.1;
        let stages = chain.stages().iter().map(|stage| (stage.clone(), observed(stage))).collect();
        self.stages = stages;
    }

    /// Records how long a step of one token took at a stage.
    pub fn observe(&mut self, stage: usize, elapsed: Duration) {
        let average = &mut self.stages[stage].1;
        *average = Some(match *average {
            Some(previous) => previous.mul_f64(1.0 - EWMA_WEIGHT) + elapsed.mul_f64(EWMA_WEIGHT),
            None => elapsed,
        });
    }

    /// Records how long one token took to pass through all stages.
    pub fn observe_token(&mut self, elapsed: Duration) {
        self.min_token_time =
            Some(self.min_token_time.map_or(elapsed, |shortest| shortest.min(elapsed)));
    }

    /// Lower bound of the time for `tokens` more tokens.
    pub fn min_time(&self, tokens: u32) -> Duration {
        self.min_token_time.unwrap_or_default().saturating_mul(tokens)
    }

    /// Timeout of a step of one token. It doubles with each recovery that yields
    /// no token, so that the steps of a slow system eventually finish in time.
    pub fn decode_timeout(&self, stage: usize, recoveries: u32) -> Duration {
        let TimeoutLimits { floor, ceiling, initial, factor } = self.limits;
        let average = self.stages[stage].1;
        let timeout = average.map_or(initial, |average| average * factor).clamp(floor, ceiling);
        Self::doubled(timeout, recoveries)
    }

    /// Timeout of a step of several tokens whose expected time is `expected`.
    pub fn prefill_timeout(&self, expected: Duration, recoveries: u32) -> Duration {
        let timeout = expected.saturating_mul(self.limits.factor).max(self.limits.initial);
        Self::doubled(timeout, recoveries)
    }

    fn doubled(timeout: Duration, recoveries: u32) -> Duration {
        timeout.saturating_mul(1 << recoveries.min(MAX_TIMEOUT_DOUBLINGS))
    }
}

impl Default for TimeoutLimits {
    fn default() -> Self {
        Self {
            floor: Duration::from_millis(400),
            ceiling: Duration::from_millis(800),
            initial: Duration::from_millis(400),
            factor: 6,
        }
    }
}
