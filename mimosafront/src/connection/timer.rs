//! The timer of a connection.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use mimosashift::time::Instant;
use tokio::time::Sleep;

use crate::clock;

/// A timer that is set anew only if it fires, or would fire too late: most connections have
/// a request long before they expire.
pub struct Timer {
    sleep: Pin<Box<Sleep>>,
    due: Instant,
}

impl Timer {
    /// A timer that is due at once.
    pub fn new() -> Self {
        Self { sleep: Box::pin(tokio::time::sleep(Duration::ZERO)), due: clock::now() }
    }

    /// Waits until `at`, which may differ from call to call.
    pub fn poll_until(&mut self, at: Instant, cx: &mut Context<'_>) -> Poll<()> {
        if at < self.due {
            self.set(at);
        }
        while self.sleep.as_mut().poll(cx).is_ready() {
            if clock::now() >= at {
                return Poll::Ready(());
            }
            self.set(at);
        }
        Poll::Pending
    }

    fn set(&mut self, due: Instant) {
        self.due = due;
        self.sleep.as_mut().reset(tokio::time::Instant::now() + due.since(clock::now()));
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}
