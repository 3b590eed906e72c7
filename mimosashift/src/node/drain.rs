//! Graceful shutdown.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Least time between not being ready and no longer accepting, so that the
/// balancer has looked in between.
const BALANCER_TIME: Duration = Duration::from_secs(2);

/// Time without a new request after which the balancer has turned away.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Time between two looks at the arrivals.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Asks a router to shut down gracefully.
#[derive(Clone, Default)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    requested: Mutex<bool>,
    changed: Condvar,
}

/// Whether a shutdown was asked for, and what still arrives.
#[derive(Default)]
pub struct Drain {
    handle: Handle,
    arrivals: AtomicU64,
}

impl Handle {
    /// Starts the shutdown; further calls do nothing.
    pub fn request(&self) {
        *self.lock() = true;
        self.shared.changed.notify_all();
    }

    /// Whether the shutdown has started.
    pub fn is_requested(&self) -> bool {
        *self.lock()
    }

    /// Waits until the shutdown is asked for.
    pub fn wait(&self) {
        let requested = self.shared.changed.wait_while(self.lock(), |requested| !*requested);
        drop(requested.expect("no holder of this lock panics"));
    }

    fn lock(&self) -> MutexGuard<'_, bool> {
        self.shared.requested.lock().expect("no holder of this lock panics")
    }
}

impl Drain {
    /// Lets others ask for the shutdown.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Whether the shutdown has started.
    pub fn is_requested(&self) -> bool {
        self.handle.is_requested()
    }

    /// Notes that a request arrived.
    pub fn note_arrival(&self) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until the balancer has turned away, or for `limit`.
    pub fn wait_quiet(&self, limit: Duration) {
        let start = Instant::now();
        let mut quiet_since = start;
        let mut seen = self.arrivals.load(Ordering::Relaxed);
        while start.elapsed() < limit {
            thread::sleep(LOOK_INTERVAL);
            let arrivals = self.arrivals.load(Ordering::Relaxed);
            if arrivals != seen {
                seen = arrivals;
                quiet_since = Instant::now();
            }
            if start.elapsed() >= BALANCER_TIME && quiet_since.elapsed() >= QUIET_TIME {
                return;
            }
        }
    }
}
