//! Requests that a router that is stopping cannot finish.

use std::time::Duration;

use hyper::StatusCode;
use mimosashift::meter::RefusalReason;

use super::{RequestContext, RequestError};
use crate::clock;
use crate::state::RouterState;

/// Reason for refusing a request that a router that is stopping cannot finish.
pub(super) const REASON: &str = "router is stopping";

/// Retry-After, up to twice as long, if this router is stopping: its client reaches
/// another one.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-After, up to twice as long, if this router is stopping and no other one is known:
/// one that starts serves within a second.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Waits until the grace period of a router that is stopping has ended.
pub(super) async fn deadline(state: &RouterState) {
    let mut passed = std::pin::pin!(state.stop_deadline_passed.notified());
    passed.as_mut().enable();
    if state.stop_deadline.get().is_none_or(|deadline| clock::now() < deadline) {
        passed.await;
    }
}

/// The outcome of a request that a router that is stopping cannot finish.
pub(super) fn error(state: &RouterState, may_have_run: bool) -> RequestError {
    if may_have_run {
        return RequestError::Failed(StatusCode::BAD_GATEWAY, REASON);
    }
    refusal(state)
}

/// Refuses a request that has not run, since a router that is stopping cannot finish it.
pub(super) fn refusal(state: &RouterState) -> RequestError {
    let retry_after = retry_after(state, state.random_fraction());
    RequestError::Refused(RefusalReason::NotReady, REASON, retry_after)
}

/// When the client of such a request may return, given a random number from `0.0..1.0`.
pub(super) fn retry_after(state: &RouterState, random: f64) -> Duration {
    let least = if has_other_router(state) { RETRY_AFTER } else { RESTART_RETRY_AFTER };
    least.mul_f64(1.0 + random)
}

/// Whether this router is stopping and might cut off the answer to a request that is sent now,
/// first or once more. Where another router serves it, that follows from the time that the
/// request and this process have left. Until the load balancer has turned away it may lead the
/// client back to this router, and without another router nobody serves the request: only then
/// `outlasts` decides, from what recent requests took and the time left.
pub(super) fn outlasts_router(
    ctx: &RequestContext,
    outlasts: impl FnOnce(Duration) -> bool,
) -> bool {
    let state = &ctx.state;
    let Some(deadline) = state.stop_deadline.get() else { return false };
    let left = deadline.since(clock::now());
    if ctx.remaining() <= left {
        return false;
    }
    state.is_balanced_away.get() && has_other_router(state) || outlasts(left)
}

/// Whether an answer probably takes longer than `left`, by the times of others of its route. A
/// request that may be repeated is refused only if another router can serve it; any other one,
/// which nobody may send again once it has been cut off, is refused in any case.
pub(super) fn probably_outlasts(ctx: &RequestContext, left: Duration) -> bool {
    let state = &ctx.state;
    let latencies = state.route_latency.borrow();
    match latencies.get(&ctx.route.name) {
        Some(latency) if ctx.route.is_idempotent() => {
            !latency.fits(left) && has_other_router(state)
        }
        Some(latency) => !latency.surely_fits(left),
        None => false,
    }
}

/// Whether another router is alive.
pub(super) fn has_other_router(state: &RouterState) -> bool {
    state.peers.borrow().alive(clock::now()).next().is_some()
}
