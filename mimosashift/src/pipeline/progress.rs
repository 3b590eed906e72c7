//! How long a step may take before its stage counts as lost.

use std::time::Duration;

use smallvec::SmallVec;

use crate::route::{Chain, Stage};

/// Weight of the newest step time in the moving average.
const EWMA_WEIGHT: f64 = 0.2;
/// Most doublings of a timeout.
const MAX_DOUBLINGS: u32 = 6;

/// Bounds of a step's timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Shortest timeout.
    pub floor: Duration,
    /// Longest timeout of a step of one token.
    pub ceiling: Duration,
    /// Timeout of a step of one token at a stage with no observed step.
    pub initial: Duration,
    /// Timeout as a multiple of the expected time.
    pub factor: u32,
}

/// Observed step times of the stages of one request.
#[derive(Clone, Debug)]
pub struct Progress {
    limits: Limits,
    stages: SmallVec<[(Stage, Option<Duration>); 8]>,
    best_token: Option<Duration>,
}

impl Progress {
    /// Nothing observed yet.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, stages: SmallVec::new_const(), best_token: None }
    }

    /// Changes the chain and keeps what is known of the stages that stay.
    pub fn rebase(&mut self, chain: &Chain) {
        let known = |stage: &Stage| self.stages.iter().find(|(s, _)| s == stage)?.1;
        let stages = chain.stages().iter().map(|stage| (stage.clone(), known(stage))).collect();
        self.stages = stages;
    }

    /// Records how long a step of one token took at a stage.
    pub fn observe(&mut self, stage: usize, took: Duration) {
        let average = &mut self.stages[stage].1;
        *average = Some(match *average {
            Some(old) => old.mul_f64(1.0 - EWMA_WEIGHT) + took.mul_f64(EWMA_WEIGHT),
            None => took,
        });
    }

    /// Records how long one token took through all stages.
    pub fn observe_token(&mut self, took: Duration) {
        self.best_token = Some(self.best_token.map_or(took, |best| best.min(took)));
    }

    /// Least time that `tokens` more tokens can take.
    pub fn least(&self, tokens: u32) -> Duration {
        self.best_token.unwrap_or_default().saturating_mul(tokens)
    }

    /// Timeout of a step of one token, doubled for each fruitless recovery so
    /// that a slow system is not taken for a lost stage for ever.
    pub fn decode_timeout(&self, stage: usize, recoveries: u32) -> Duration {
        let Limits { floor, ceiling, initial, factor } = self.limits;
        let average = self.stages[stage].1;
        let timeout = average.map_or(initial, |average| average * factor).clamp(floor, ceiling);
        Self::doubled(timeout, recoveries)
    }

    /// Timeout of a step of many tokens that is expected to take `expected`.
    pub fn prefill_timeout(&self, expected: Duration, recoveries: u32) -> Duration {
        let timeout = expected.saturating_mul(self.limits.factor).max(self.limits.initial);
        Self::doubled(timeout, recoveries)
    }

    fn doubled(timeout: Duration, recoveries: u32) -> Duration {
        timeout.saturating_mul(1 << recoveries.min(MAX_DOUBLINGS))
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            floor: Duration::from_millis(400),
            ceiling: Duration::from_millis(800),
            initial: Duration::from_millis(400),
            factor: 6,
        }
    }
}
