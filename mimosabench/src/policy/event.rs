//! Discrete-event queue of a simulation run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mimosashift::engine::{Failure, Label, Output};
use mimosashift::time::Instant;

use super::engine::Job;

/// A simulation event.
#[derive(Debug)]
pub enum Event {
    /// The next request arrives.
    Request,
    /// A step reaches an engine.
    Arrive { to: usize, job: Job },
    /// An engine's iteration ends.
    IterationEnd { at: usize, epoch: u32 },
    /// An answer reaches a router.
    Answer { call: usize, from: usize, label: Label, result: Result<Output, Failure> },
    /// A copy of a cache is read at its source.
    Export { call: usize, from: usize, to: usize, label: Label },
    /// A copy of a cache reaches its new engine.
    Import { call: usize, to: usize, label: Label, cache: Option<Vec<u64>> },
    /// The result of a cache copy reaches a router.
    CopyResult { call: usize, to: usize, label: Label, result: Result<(), Failure> },
    /// A cancellation reaches an engine.
    Release { at: usize, call: usize, attempt: u32 },
    /// A timer of a request fires.
    Timer { call: usize },
    /// Engines sample the load figures of their next report.
    Sample,
    /// A router polls endpoints, shares health reports and ejects outliers.
    Upkeep { router: usize },
    /// A router polls its admission queue.
    Queue { router: usize },
    /// The fault is injected.
    Fault,
    /// The VM list reflects the fault.
    VmListUpdate,
}

/// Priority queue of events, ordered by time and then by insertion.
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

    /// Removes and returns the next event.
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
