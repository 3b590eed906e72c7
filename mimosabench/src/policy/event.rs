//! What happens in a run, in order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mimosashift::engine::{Failure, Label, Output};
use mimosashift::time::Instant;

use super::engine::Job;

/// One thing that happens.
#[derive(Debug)]
pub enum Event {
    /// The next request is due.
    Request,
    /// A step reaches an engine.
    Arrive { to: usize, job: Job },
    /// An engine's iteration ends.
    Iterated { at: usize, epoch: u32 },
    /// An answer reaches a router.
    Answer { call: usize, from: usize, label: Label, result: Result<Output, Failure> },
    /// A copy of a cache is read at its source.
    Export { call: usize, from: usize, to: usize, label: Label },
    /// A copy of a cache reaches its new engine.
    Import { call: usize, to: usize, label: Label, cache: Option<Vec<u64>> },
    /// A router hears how a copy went.
    Copied { call: usize, to: usize, label: Label, result: Result<(), Failure> },
    /// An engine hears that work is to be dropped.
    Release { at: usize, call: usize, attempt: u32 },
    /// A request's machine may have a deadline.
    Timer { call: usize },
    /// Engines take the figures that they report next.
    Sample,
    /// A router polls, shares and sweeps.
    Upkeep { router: usize },
    /// A router looks at its queue.
    Queue { router: usize },
    /// The fault of the run happens.
    Fault,
    /// The VM list shows the fault.
    Listed,
}

/// Events by time, then in order of insertion.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    inserted: u64,
}

#[derive(Debug)]
struct Entry {
    at: Instant,
    number: u64,
    event: Event,
}

impl Queue {
    /// Adds an event.
    pub fn push(&mut self, at: Instant, event: Event) {
        self.inserted += 1;
        self.heap.push(Reverse(Entry { at, number: self.inserted, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Instant, Event)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Entry {}
