//! Graceful shutdown.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Minimum time between reporting not ready and closing the listener, so that
/// the load balancer's readiness check notices in between.
const MIN_NOT_READY_TIME: Duration = Duration::from_secs(2);

/// Time without a new request after which the load balancer is taken to have
/// stopped sending.
const QUIET_PERIOD: Duration = Duration::from_millis(500);

/// Time between two checks of the number of arrivals.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Requests a graceful shutdown of a router.
#[derive(Clone, Default)]
pub struct DrainHandle {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    requested: Mutex<bool>,
    changed: Condvar,
}

/// State of the shutdown, with a count of the requests that arrive.
#[derive(Default)]
pub struct Drain {
    handle: DrainHandle,
    arrivals: AtomicU64,
}

impl DrainHandle {
    /// Requests the shutdown; further calls have no effect.
    pub fn request(&self) {
        *self.lock() = true;
        self.shared.changed.notify_all();
    }

    /// Whether the shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        *self.lock()
    }

    /// Waits until the shutdown is requested.
    pub fn wait(&self) {
        let requested = self.shared.changed.wait_while(self.lock(), |requested| !*requested);
        drop(requested.expect("no holder of this lock panics"));
    }

    fn lock(&self) -> MutexGuard<'_, bool> {
        self.shared.requested.lock().expect("no holder of this lock panics")
    }
}

impl Drain {
    /// A handle that requests the shutdown.
    pub fn handle(&self) -> DrainHandle {
        self.handle.clone()
    }

    /// Whether the shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        self.handle.is_requested()
    }

    /// Counts a request that arrived.
    pub fn record_arrival(&self) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until the load balancer has stopped sending, at most for `limit`.
    pub fn wait_until_quiet(&self, limit: Duration) {
        let start = Instant::now();
        let mut quiet_since = start;
        let mut last_arrivals = self.arrivals.load(Ordering::Relaxed);
        while start.elapsed() < limit {
            thread::sleep(POLL_INTERVAL);
            let arrivals = self.arrivals.load(Ordering::Relaxed);
            if arrivals != last_arrivals {
                last_arrivals = arrivals;
                quiet_since = Instant::now();
            }
            if start.elapsed() >= MIN_NOT_READY_TIME && quiet_since.elapsed() >= QUIET_PERIOD {
                return;
            }
        }
    }
}
