//! Load reports that routers exchange.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::leaving::LeavingState;
use crate::engine::Load;
use crate::resource::Name;
use crate::time::Instant;

quick_error! {
    /// Why a report from another router was rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// Its `polled_at` is ahead of this router's clock by more than
        /// `max_clock_skew`, so it would supersede all valid reports.
        TooFarInFuture { endpoint: Name, lead: Duration } {
            display("report on endpoint {:?} is {} ms in the future", endpoint.as_str(), lead.as_millis())
        }
        /// It is about an endpoint that is not configured.
        UnknownEndpoint { endpoint: Name } {
            display("report names endpoint {:?}, which is not configured", endpoint.as_str())
        }
    }
}

/// One endpoint's load as polled by one router.
///
/// Of two reports on an endpoint, the one with the later `polled_at`, then the
/// higher `sequence`, replaces the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint that was polled.
    pub endpoint: Name,
    /// When the poll was answered, on the polling router's clock.
    pub polled_at: Instant,
    /// Number of the poll, increasing within one router.
    pub sequence: u64,
    /// The load that the engine returned.
    pub load: Load,
    /// Whether the endpoint is leaving, as far as the router knows.
    pub leaving_state: LeavingState,
}

/// Reports for other routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// At most one report per endpoint.
    pub reports: Vec<Report>,
}
