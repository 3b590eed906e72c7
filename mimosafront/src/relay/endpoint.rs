//! Chooses endpoints of plain services, which queue requests themselves.

use std::sync::Arc;
use std::time::Duration;

use mimosashift::fleet::Hop;
use mimosashift::meter::RefusalReason;

use super::{LIMITED_REASON, RESTING_REASON, RequestContext};
use crate::clock;

/// Multiple of the route's target latency after which a request that may be
/// sent elsewhere times out.
const TIMEOUT_OBJECTIVE_FACTOR: u32 = 2;

/// Minimum time after which such a request times out: service times vary by a
/// few hundred milliseconds.
const MIN_RETRYABLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry-After if no endpoint executed the request: if they were full, some
/// requests have been served by then.
pub(super) const NOT_EXECUTED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Reason why an endpoint is suspect that has not answered within the time limit.
pub(super) const NO_ANSWER_REASON: &str = "no answer in time";

/// Why no endpoint takes a request, and when its client may return.
pub(super) type Lack = (RefusalReason, &'static str, Duration);

impl RequestContext {
    /// The endpoint of a plain service for the request, other than those in `tried`.
    pub(super) fn choose_endpoint(&self, tried: &[Arc<str>]) -> Option<Hop> {
        let (zone, now) = (self.state.node().zone.clone(), clock::now());
        self.state.fleet.borrow().choose_endpoint(&self.service.name, &zone, tried, now)
    }

    /// Why there is none, if their limits or rests are the cause.
    pub(super) fn find_limit(&self) -> Option<Lack> {
        let lack = self.known_limit(self.state.random_fraction())?;
        if lack.1 == LIMITED_REASON {
            self.state.record_limited(&self.service.name);
        }
        Some(lack)
    }

    /// Why there is none, as [`find_limit`](Self::find_limit) with this random number, without
    /// a record of it.
    pub(super) fn known_limit(&self, random: f64) -> Option<Lack> {
        let (state, service) = (&self.state, &self.service.name);
        let limited = || state.time_to_credit(service, random).map(|wait| (LIMITED_REASON, wait));
        let resting =
            || state.time_to_end_of_rest(service, random).map(|wait| (RESTING_REASON, wait));
        let (reason, wait) = limited().or_else(resting)?;
        Some((RefusalReason::OverLimit, reason, wait))
    }

    /// Time without an answer after which a request that may be sent elsewhere is.
    pub(super) fn retryable_timeout(&self) -> Duration {
        (self.route.objective * TIMEOUT_OBJECTIVE_FACTOR).max(MIN_RETRYABLE_TIMEOUT)
    }
}
