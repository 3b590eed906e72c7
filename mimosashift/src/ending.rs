//! Decides whether an answer without a length that passes through a chain has ended by itself.
//!
//! An endpoint that waits for another one of its chain for too long closes the connection like one
//! that is done; see `docs/design/http.md`, "The end of a body".

use std::time::Duration;

use crate::time::Instant;

/// Time for which data must have arrived after a silence or a fault before the end of the answer
/// is known to be its own: what was held up on the way arrives at once.
const SETTLED_TIME: Duration = Duration::from_millis(500);

/// What the arrival of an answer shows of its end.
#[derive(Debug)]
pub struct Evidence {
    /// Silence that may be that of an endpoint which gave up.
    silence_limit: Duration,
    /// When the last data arrived.
    last: Option<Instant>,
    /// When the answer went on after the last long silence or fault.
    resumed: Option<Instant>,
    has_fault: bool,
}

impl Evidence {
    /// No data has arrived. An endpoint gives up after `stall_timeout`, of which a part may lie
    /// before data that was held up on the way, and the rest after it.
    pub fn new(stall_timeout: Duration) -> Self {
        Self { silence_limit: stall_timeout / 2, last: None, resumed: None, has_fault: false }
    }

    /// Records that data arrived.
    pub fn on_data(&mut self, now: Instant) {
        let was_silent = self.last.is_some_and(|last| now.since(last) >= self.silence_limit);
        if was_silent || self.has_fault {
            self.resumed = Some(now);
        }
        self.has_fault = false;
        self.last = Some(now);
    }

    /// Records that an endpoint of the chain is not reached, or that another one waits for it.
    pub fn on_fault(&mut self) {
        self.has_fault = true;
    }

    /// Whether an answer that ends now does not do so because an endpoint gave up.
    pub fn is_settled(&self, now: Instant) -> bool {
        let Some(last) = self.last else { return false };
        let has_settled = |resumed| last.since(resumed) >= SETTLED_TIME;
        !self.has_fault
            && now.since(last) < self.silence_limit
            && self.resumed.is_none_or(has_settled)
    }
}
