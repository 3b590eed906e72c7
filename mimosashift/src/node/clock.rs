//! The clock that provides the time to the decision logic.

use std::time::{Instant as Monotonic, SystemTime, UNIX_EPOCH};

use crate::time::Instant;

/// A monotonic clock that starts at the Unix time of its creation.
///
/// It does not follow later changes of the system time, so it never goes back.
/// Routers compare instants only with a tolerance.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Monotonic,
    unix_micros: u64,
}

impl Clock {
    /// A clock that starts at the current system time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_micros = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
        Self { started: Monotonic::now(), unix_micros }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.unix_micros) + self.started.elapsed()
    }

    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.now().as_micros() / 1_000
    }
}
