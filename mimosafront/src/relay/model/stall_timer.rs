//! Decides when a request checks its chain for a stall.

use std::time::Duration;

use mimosashift::time::Instant;
use tokio::time::sleep;

use crate::state::RouterState;

/// Interval of the checks whether a stream makes progress.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Time without an event after which the chain is checked: several times the
/// usual interval of events, and short enough that a rerouted stream continues
/// within the time that clients allow between events.
const STALL_TIMEOUT: Duration = Duration::from_millis(220);

/// Time after a check of a chain before the next one.
const RECHECK_INTERVAL: Duration = Duration::from_millis(350);

/// Schedules the checks of the chain of one request.
pub(super) struct StallTimer {
    next_check: Instant,
    /// No check before this time, even with a known fault.
    not_before: Instant,
}

/// Waits until a fault is found or one poll interval has passed.
pub(super) async fn wait_for_fault_or_tick(state: &RouterState) {
    tokio::select! {
        () = state.faults.notified() => {}
        () = sleep(POLL_INTERVAL) => {}
    }
}

impl StallTimer {
    pub(super) const fn new(next_check: Instant) -> Self {
        Self { next_check, not_before: Instant::ZERO }
    }

    /// Whether a check is due; with a known fault, it does not wait for the
    /// stall time-out.
    pub(super) fn is_due(&self, has_known_fault: bool, now: Instant) -> bool {
        now >= self.next_check || has_known_fault && now >= self.not_before
    }

    /// Records that an event was received.
    pub(super) fn on_event(&mut self, now: Instant) {
        self.next_check = now + STALL_TIMEOUT;
    }

    /// Records a check that sent no probes, so that the next one may follow
    /// soon.
    pub(super) fn schedule_recheck(&mut self, now: Instant) {
        self.next_check = now + POLL_INTERVAL;
    }

    /// Records a check that found no fault or rerouted the request.
    pub(super) fn on_check(&mut self, now: Instant) {
        self.next_check = now + RECHECK_INTERVAL;
        self.not_before = self.next_check;
    }
}
