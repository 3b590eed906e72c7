//! Postings: calls to services that must not be repeated.
//!
//! The handler thread of a request sends the call itself and waits; one thread
//! runs the state machines of all postings, and one commits their writes in
//! batches. Work after the response, such as recording it, does not occupy a
//! handler thread. See `docs/design/postings.md`.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant as Monotonic};

use crossbeam::channel::{self, Receiver, Sender};

use super::clock::Clock;
use super::platform::Guard;
use crate::event::Logger;
use crate::posting::{Delivery, Request};

mod cleanup;
mod committer;
mod driver;
pub mod operate;
mod send;

pub use send::post;

use committer::Committer;
use driver::{Driver, Input, Step};

/// Time between two checks for unsettled claims during shutdown.
const SETTLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two checks whether a probe of the platform is due.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The postings of a router.
pub struct Postings {
    inputs: Sender<Input>,
    next_id: AtomicU64,
    unsettled: Arc<AtomicUsize>,
}

impl Postings {
    /// Starts the threads; they end when the router is dropped.
    pub fn start(guard: &Guard, clock: Clock, log: &Logger) -> io::Result<Self> {
        let (inputs, received) = channel::unbounded();
        let (writes, received_writes) = channel::unbounded();
        let (outcomes, committed) = channel::unbounded();
        let unsettled = Arc::new(AtomicUsize::new(0));
        let driver = Driver::new(clock, log.clone(), writes, Arc::clone(&unsettled));
        let committer = Committer::new(guard.clone(), clock, received_writes, outcomes);
        spawn("postings", move || driver.run(&received, &committed))?;
        spawn("commits", move || committer.run())?;
        Ok(Self { inputs, next_id: AtomicU64::new(0), unsettled })
    }

    /// Waits up to `limit` until every claim is settled; returns how many are
    /// not.
    pub fn settle(&self, limit: Duration) -> usize {
        let start = Monotonic::now();
        loop {
            let unsettled = self.unsettled.load(Ordering::Acquire);
            if unsettled == 0 || start.elapsed() >= limit {
                return unsettled;
            }
            thread::sleep(SETTLE_INTERVAL);
        }
    }

    fn begin(&self, request: Request) -> (u64, Receiver<Step>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (steps, received) = channel::unbounded();
        self.unsettled.fetch_add(1, Ordering::AcqRel);
        let _ = self.inputs.send(Input::Start { id, request, steps });
        (id, received)
    }

    fn delivered(&self, id: u64, delivery: Delivery) {
        let _ = self.inputs.send(Input::Delivered { id, delivery });
    }
}

/// Starts the threads that probe a failing platform and delete old claims.
pub fn start_background_tasks(node: &Arc<super::Node>) -> io::Result<()> {
    let weak = Arc::downgrade(node);
    spawn("probe", move || {
        while let Some(node) = weak.upgrade() {
            node.platform.probe();
            drop(node);
            thread::sleep(PROBE_INTERVAL);
        }
    })?;
    let weak = Arc::downgrade(node);
    spawn("cleanup", move || cleanup::run(&weak))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).spawn(run).map(drop)
}
