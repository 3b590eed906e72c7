//! Commits the writes of many postings together.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use crate::node::clock::Clock;
use crate::node::platform::Guard;
use crate::platform::{Outcome, Refusal};
use crate::posting::batch::{Batch, BatchMember, Queue};

/// Time between two looks at the budget while there is none.
const BUDGET_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two looks while nothing waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of one posting's write.
pub struct Committed {
    /// Which posting.
    pub id: u64,
    /// What became of the write.
    pub outcome: Outcome<u64>,
}

/// Groups the writes that arrive and commits one batch at a time.
pub struct Committer {
    guard: Guard,
    clock: Clock,
    queue: Queue<u64>,
    /// Parts of earlier batches that are to be committed again.
    rest: Vec<Batch<u64>>,
    writes: Receiver<BatchMember<u64>>,
    outcomes: Sender<Committed>,
}

impl Committer {
    /// A committer between two channels.
    pub fn new(
        guard: Guard,
        clock: Clock,
        writes: Receiver<BatchMember<u64>>,
        outcomes: Sender<Committed>,
    ) -> Self {
        Self { guard, clock, queue: Queue::default(), rest: Vec::new(), writes, outcomes }
    }

    /// Runs until no more writes can come.
    pub fn run(mut self) {
        loop {
            match self.writes.recv_timeout(self.pause()) {
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

    /// Time until there is something to do.
    fn pause(&self) -> Duration {
        let now = self.clock.now();
        match self.queue.due_at() {
            _ if !self.rest.is_empty() => BUDGET_INTERVAL,
            Some(due) if due <= now => BUDGET_INTERVAL,
            Some(due) => due.since(now),
            None => IDLE_INTERVAL,
        }
    }

    /// Commits what is due, as far as the budget goes.
    fn commit_due(&mut self) {
        while self.is_due() {
            let open = self.guard.is_open();
            if !open && !self.guard.take_write() {
                return;
            }
            let next = self.rest.pop().or_else(|| self.queue.take(self.clock.now()));
            let Some(batch) = next else { return };
            let outcome = if open {
                Outcome::NotDone(Refusal::Unavailable)
            } else {
                self.guard.commit_taken(&batch.transaction())
            };
            self.settle(batch, outcome);
        }
    }

    fn is_due(&self) -> bool {
        let now = self.clock.now();
        !self.rest.is_empty() || self.queue.due_at().is_some_and(|due| due <= now)
    }

    fn settle(&mut self, batch: Batch<u64>, outcome: Outcome<u64>) {
        let settled = batch.settle(outcome);
        self.rest.extend(settled.remaining);
        for (id, outcome) in settled.outcomes {
            // The receiver is gone only when the router is.
            let _ = self.outcomes.send(Committed { id, outcome });
        }
    }
}
