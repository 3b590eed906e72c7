//! Decides when a request checks its chain for a stall.

use std::time::Duration;

use mimosashift::time::Instant;
use tokio::time::sleep;

use crate::state::RouterState;

/// Interval of the checks whether a stream makes progress.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Time without an event after which a plain endpoint counts as silent. A sound one may fall
/// silent for about a second, and clients leave after two.
const PLAIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Times without an event after which the chain of a request is checked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// Before the head of the answer or its first event.
    first: Duration,
    /// After an event.
    stall: Duration,
    /// After a check.
    recheck: Duration,
}

/// Schedules the checks of the chain of one request.
pub(super) struct StallTimer {
    timeouts: Timeouts,
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

impl Timeouts {
    /// For engines: before the first event several times the prefill time of a healthy chain,
    /// then several times the usual interval of events, and short enough that a rerouted stream
    /// continues within the time that clients allow between events.
    pub(super) const ENGINES: Self = Self {
        first: Duration::from_millis(500),
        stall: Duration::from_millis(220),
        recheck: Duration::from_millis(350),
    };

    /// For a plain endpoint, from which a request may be sent elsewhere after `retryable`.
    pub(super) const fn plain(retryable: Duration) -> Self {
        Self { first: retryable, stall: PLAIN_STALL_TIMEOUT, recheck: PLAIN_STALL_TIMEOUT }
    }
}

impl StallTimer {
    pub(super) fn new(timeouts: Timeouts, now: Instant) -> Self {
        Self { timeouts, next_check: now + timeouts.first, not_before: Instant::ZERO }
    }

    /// Whether a check is due; with a known fault, it does not wait for the
    /// stall time-out.
    pub(super) fn is_due(&self, has_known_fault: bool, now: Instant) -> bool {
        now >= self.next_check || has_known_fault && now >= self.not_before
    }

    /// Records that an event was received.
    pub(super) fn on_event(&mut self, now: Instant) {
        self.next_check = now + self.timeouts.stall;
    }

    /// Records a check that sent no probes, so that the next one may follow
    /// soon.
    pub(super) fn schedule_recheck(&mut self, now: Instant) {
        self.next_check = now + POLL_INTERVAL;
    }

    /// Records a check that found no fault or rerouted the request.
    pub(super) fn on_check(&mut self, now: Instant) {
        self.next_check = now + self.timeouts.recheck;
        self.not_before = self.next_check;
    }
}
