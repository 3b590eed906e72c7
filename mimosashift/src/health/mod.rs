//! What this router knows about the state of each endpoint.
//!
//! `docs/design/health.md` gives the rules and the reasons for them. All
//! instants of this module count from the Unix epoch, because load reports are
//! compared between routers.

use std::time::Duration;

use crate::resource::Name;
use crate::time::Instant;

mod ejection;
mod factor;
mod leaving;
pub mod model;
pub mod probe;
mod registry;
mod report;
mod state;

pub use leaving::LeavingState;
pub use registry::{Exchange, Registry};
pub use report::{Error, Report, ReportBatch};

/// Rules for ejection and return.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Failures in a row that eject an endpoint as unreachable.
    pub consecutive_failures: u8,
    /// First ejection time; it doubles with each further ejection.
    pub base_ejection: Duration,
    /// Longest ejection time, before jitter.
    pub max_ejection: Duration,
    /// Largest share of an endpoint group that may be ejected for slowness,
    /// 0 to 1. Unreachable endpoints count towards it.
    pub max_ejected_share: f64,
    /// An endpoint this many times slower than its group's median is an outlier.
    pub outlier_ratio: f32,
    /// Exchanges observed before an endpoint can be an outlier.
    pub outlier_samples: u32,
    /// Time over which a returning endpoint regains its full weight.
    pub ramp: Duration,
    /// Time after which an endpoint without a new ejection starts over at the
    /// first ejection time.
    pub forgive: Duration,
    /// Time without new work after an endpoint answers that it is overloaded.
    pub overload_pause: Duration,
    /// Largest lead of another router's clock at which its reports are used.
    pub max_clock_skew: Duration,
}

/// How far an endpoint may be used; a later value is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Availability {
    /// It takes work.
    Live,
    /// It is ejected as a slow outlier: used only without a live alternative.
    Slow,
    /// It is ejected after failures: used only without any alternative.
    Unreachable,
    /// It is shutting down: never given new work.
    Leaving,
}

/// State of one endpoint at one moment, for the choice of a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// How far it may be used.
    pub availability: Availability,
    /// Sequences running or waiting, with this router's work since the report.
    pub sequences: u32,
    /// Observed service time over declared service time.
    pub service_factor: f32,
    /// Observed link time over declared link time.
    pub link_factor: f32,
    /// Share of its usual work that it takes, above 0 and up to 1; below 1
    /// while it returns from ejection.
    pub weight: f32,
    /// Whether it answered moments ago that it is overloaded.
    pub overloaded: bool,
}

/// Read access to endpoint state.
pub trait HealthView {
    /// The state of `endpoint` at `now`; an unknown endpoint is live and idle.
    fn condition(&self, endpoint: &Name, now: Instant) -> Condition;
}

impl Condition {
    /// A live endpoint without work, as declared.
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
            outlier_samples: 5,
            ramp: Duration::from_secs(30),
            forgive: Duration::from_secs(300),
            overload_pause: Duration::from_millis(500),
            max_clock_skew: Duration::from_secs(5),
        }
    }
}
