//! When a request looks at its chain.

use std::time::Duration;

use mimosashift::time::Instant;
use tokio::time::sleep;

use crate::front::Front;

/// Time between two looks at whether a stream makes progress.
const TICK: Duration = Duration::from_millis(60);

/// Time without an event after which the chain is examined: several times the
/// usual time between two, and within what a client takes for on time.
const STALL: Duration = Duration::from_millis(220);

/// Time to wait after a look at a chain before the next one.
const NEXT_LOOK: Duration = Duration::from_millis(350);

/// When a request looks at its chain next.
pub(super) struct Watch {
    look_at: Instant,
    /// No look before this, whatever is found.
    earliest: Instant,
}

/// Waits for a fault to be found, or for a while.
pub(super) async fn idle(front: &Front) {
    tokio::select! {
        () = front.faults.notified() => {}
        () = sleep(TICK) => {}
    }
}

impl Watch {
    pub(super) const fn new(look_at: Instant) -> Self {
        Self { look_at, earliest: Instant::ZERO }
    }

    /// Whether to look now: a known fault need not be waited for.
    pub(super) fn is_due(&self, is_faulty: bool, now: Instant) -> bool {
        now >= self.look_at || is_faulty && now >= self.earliest
    }

    /// Notes that an event came.
    pub(super) fn progressed(&mut self, now: Instant) {
        self.look_at = now + STALL;
    }

    /// Notes a look that asked nothing, so that the next one may follow soon.
    pub(super) fn passed(&mut self, now: Instant) {
        self.look_at = now + TICK;
    }

    /// Notes a look that found nothing or moved the request.
    pub(super) fn looked(&mut self, now: Instant) {
        self.look_at = now + NEXT_LOOK;
        self.earliest = self.look_at;
    }
}
