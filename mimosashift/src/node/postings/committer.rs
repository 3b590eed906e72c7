//! Commits the writes of postings in batches.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use crate::node::clock::Clock;
use crate::node::platform::Guard;
use crate::platform::{Outcome, Refusal};
use crate::posting::batch::{Batch, BatchMember, Queue};

/// Time between two checks of the budget while it is exhausted.
const BUDGET_INTERVAL: Duration = Duration::from_millis(5);

/// Time to wait for a write while the queue is empty.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Outcome of the write of one posting.
pub struct Committed {
    /// The posting.
    pub id: u64,
    /// The outcome.
    pub outcome: Outcome<u64>,
}

/// Groups writes into batches and commits one batch at a time.
pub struct Committer {
    guard: Guard,
    clock: Clock,
    queue: Queue<u64>,
    /// Remaining parts of earlier batches, to be committed again.
    retries: Vec<Batch<u64>>,
    writes: Receiver<BatchMember<u64>>,
    outcomes: Sender<Committed>,
}

impl Committer {
    /// A committer that takes writes from one channel and sends outcomes to another.
    pub fn new(
        guard: Guard,
        clock: Clock,
        writes: Receiver<BatchMember<u64>>,
        outcomes: Sender<Committed>,
    ) -> Self {
        Self { guard, clock, queue: Queue::default(), retries: Vec::new(), writes, outcomes }
    }

    /// Runs until the senders of writes are dropped.
    pub fn run(mut self) {
        loop {
            match self.writes.recv_timeout(self.wait_time()) {
                Ok(member) => self.queue.push(member, self.clock.now()),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Ok(member) = self.writes.try_recv() {
                self.queue.push(member, self.clock.now());
            }
            self.commit_due();
        }
    }

    /// Time until the next batch may be due.
    fn wait_time(&self) -> Duration {
        let now = self.clock.now();
        match self.queue.due_at() {
            _ if !self.retries.is_empty() => BUDGET_INTERVAL,
            Some(due) if due <= now => BUDGET_INTERVAL,
            Some(due) => due.since(now),
            None => IDLE_INTERVAL,
        }
    }

    /// Commits the batches that are due while the budget lasts.
    fn commit_due(&mut self) {
        while self.is_due() {
            let breaker_open = self.guard.is_open();
            if !breaker_open && !self.guard.take_write() {
                return;
            }
            let next = self.retries.pop().or_else(|| self.queue.take(self.clock.now()));
            let Some(batch) = next else { return };
            let outcome = if breaker_open {
                Outcome::NotDone(Refusal::Unavailable)
            } else {
                self.guard.commit_taken(&batch.transaction())
            };
            self.settle(batch, outcome);
        }
    }

    fn is_due(&self) -> bool {
        let now = self.clock.now();
        !self.retries.is_empty() || self.queue.due_at().is_some_and(|due| due <= now)
    }

    fn settle(&mut self, batch: Batch<u64>, outcome: Outcome<u64>) {
        let settled = batch.settle(outcome);
        self.retries.extend(settled.remaining);
        for (id, outcome) in settled.outcomes {
            // The receiver is dropped only with the router.
            let _ = self.outcomes.send(Committed { id, outcome });
        }
    }
}
