//! Calls to services that may not be repeated.
//!
//! A caller's thread sends its own call and waits; one thread runs the
//! machines of all postings, and one commits their writes in groups. Work that
//! follows an answer, such as recording it, needs no caller's thread. See
//! `docs/design/postings.md`.

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

/// Time between two looks at what is unsettled during a shutdown.
const SETTLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two looks whether the platform is to be probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The postings of a router.
pub struct Postings {
    inputs: Sender<Input>,
    next_id: AtomicU64,
    unsettled: Arc<AtomicUsize>,
}

impl Postings {
    /// Starts the threads; they end with the router.
    pub fn start(guard: &Guard, clock: Clock, log: &Logger) -> io::Result<Self> {
        let (inputs, received) = channel::unbounded();
        let (writes, waiting) = channel::unbounded();
        let (outcomes, committed) = channel::unbounded();
        let unsettled = Arc::new(AtomicUsize::new(0));
        let driver = Driver::new(clock, log.clone(), writes, Arc::clone(&unsettled));
        let committer = Committer::new(guard.clone(), clock, waiting, outcomes);
        spawn("postings", move || driver.run(&received, &committed))?;
        spawn("commits", move || committer.run())?;
        Ok(Self { inputs, next_id: AtomicU64::new(0), unsettled })
    }

    /// Waits until every claim is settled, or for `limit`; returns how many
    /// are not.
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
pub fn start_upkeep(node: &Arc<super::Node>) -> io::Result<()> {
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
