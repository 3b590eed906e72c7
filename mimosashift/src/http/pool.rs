//! A bounded pool of worker threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// A unit of work for one worker thread.
type Job = Box<dyn FnOnce() + Send>;

/// Worker threads that are started on demand, up to a maximum.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

/// All threads of the pool are busy and its queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

struct Shared {
    name: &'static str,
    max_threads: usize,
    threads: AtomicUsize,
    pending: AtomicUsize,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl Pool {
    /// A pool of up to `max_threads` threads, with a queue of as many jobs.
    pub fn new(name: &'static str, max_threads: usize) -> Self {
        let (sender, receiver) = bounded(max_threads);
        let threads = AtomicUsize::new(0);
        let pending = AtomicUsize::new(0);
        Self { shared: Arc::new(Shared { name, max_threads, threads, pending, sender, receiver }) }
    }

    /// Queues `job` for a worker; fails when every worker is busy and the
    /// queue is full.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> Result<(), Full> {
        let shared = &self.shared;
        let pending = shared.pending.fetch_add(1, Ordering::AcqRel) + 1;
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            shared.sender.try_send(Box::new(job))
        {
            shared.pending.fetch_sub(1, Ordering::AcqRel);
            return Err(Full);
        }
        if pending > shared.threads.load(Ordering::Acquire) {
            self.spawn_worker();
        }
        Ok(())
    }

    /// Jobs queued or running.
    pub fn pending(&self) -> usize {
        self.shared.pending.load(Ordering::Acquire)
    }

    fn spawn_worker(&self) {
        let shared = Arc::clone(&self.shared);
        let increment = |n: usize| (n < shared.max_threads).then_some(n + 1);
        if shared.threads.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).is_err() {
            return;
        }
        let worker = Arc::clone(&shared);
        let spawned = thread::Builder::new()
            .name(format!("{}-worker", shared.name))
            .spawn(move || worker.run_jobs());
        if spawned.is_err() {
            shared.threads.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Shared {
    fn run_jobs(&self) {
        while let Ok(job) = self.receiver.recv() {
            job();
            self.pending.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
