//! Health and load of each endpoint, as known to this router.
//!
//! `docs/design/health.md` gives the rules and the reasons for them. All
//! instants in this module count from the Unix epoch, because load reports are
//! compared between routers.

use std::time::Duration;

use crate::resource::Name;
use crate::time::Instant;

mod ejection;
mod leaving;
pub mod probe;
mod registry;
mod report;
mod slowness;
mod state;
pub mod time_model;

pub use leaving::LeavingState;
pub use registry::{Exchange, Registry};
pub use report::{Error, Report, ReportBatch};

/// Settings of health tracking.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures after which an endpoint is ejected as unreachable.
    pub consecutive_failures: u8,
    /// Duration of the first ejection; it doubles with each further one.
    pub base_ejection: Duration,
    /// Longest duration of an ejection, before jitter.
    pub max_ejection: Duration,
    /// Largest fraction of an endpoint group that may be ejected for slowness, 0
    /// to 1. Every endpoint of the group that is not live counts towards
    /// it.
    pub max_ejected_share: f64,
    /// An endpoint at least this many times slower than its group's median is an
    /// outlier; a median below the declared time counts as the declared time.
    pub outlier_ratio: f32,
    /// Minimum number of exchanges observed before an endpoint can be an outlier.
    pub min_outlier_samples: u32,
    /// Time over which a returning endpoint regains its full weight.
    pub ramp_time: Duration,
    /// Time since the end of the last ejection after which the ejection time is
    /// reset to `base_ejection`.
    pub backoff_reset: Duration,
    /// Mean time for which an endpoint gets no new work after it answered that it is
    /// overloaded; the actual time varies at random by up to half.
    pub overload_pause: Duration,
    /// Largest lead of another router's clock for which its reports are accepted.
    pub max_clock_skew: Duration,
}

/// Whether an endpoint may be used; later variants are worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Availability {
    /// It accepts work.
    Live,
    /// It is ejected as a slow outlier: used only if no live alternative exists.
    Slow,
    /// It is ejected after failures: used only if there is no alternative.
    Unreachable,
    /// It is shutting down and never gets new work.
    Leaving,
}

/// One endpoint's state at a point in time, for the selection of a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Whether it may be used.
    pub availability: Availability,
    /// Number of running and queued sequences, including work started since the
    /// last report.
    pub sequences: u32,
    /// Observed service time divided by declared service time.
    pub service_factor: f32,
    /// Observed link time divided by declared link time.
    pub link_factor: f32,
    /// Fraction of its normal work that it gets, above 0 and up to 1; below 1
    /// while it returns from ejection.
    pub weight: f32,
    /// Whether it is in the overload pause that follows an answer that it is
    /// overloaded.
    pub overloaded: bool,
}

/// Read access to endpoint state.
pub trait HealthView {
    /// The state of `endpoint` at `now`; an unknown endpoint is live and idle.
    fn condition(&self, endpoint: &Name, now: Instant) -> Condition;
}

impl Condition {
    /// A live endpoint without work, as fast as declared.
    pub const IDLE: Self = Self {
        availability: Availability::Live,
        sequences: 0,
        service_factor: 1.0,
        link_factor: 1.0,
        weight: 1.0,
        overloaded: false,
    };
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(120),
            max_ejected_share: 0.3,
            outlier_ratio: 8.0,
            min_outlier_samples: 5,
            ramp_time: Duration::from_secs(30),
            backoff_reset: Duration::from_secs(300),
            overload_pause: Duration::from_millis(500),
            max_clock_skew: Duration::from_secs(5),
        }
    }
}
