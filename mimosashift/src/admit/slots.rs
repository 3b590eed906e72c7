//! Number of requests dispatched at once, adapted to what the endpoints take.
//!
//! While all slots are in use, the limit doubles in the time that its requests
//! take until endpoints first refuse for load, and rises by one in that time
//! from then on. A refusal for load lowers it by a part, at most once per
//! [`DECREASE_INTERVAL`].

use std::time::Duration;

use crate::time::Instant;

/// Time in which all signs of overload count as one.
pub const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the limit that a decrease leaves.
const DECREASE_FACTOR: f64 = 0.85;

/// The adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Slots {
    limit: f64,
    max: f64,
    used: usize,
    decreased: Option<Instant>,
}

impl Slots {
    /// Starts at `start` slots and never exceeds `max`.
    pub fn new(start: usize, max: usize) -> Self {
        let max = max.max(1) as f64;
        Self { limit: (start as f64).clamp(1.0, max), max, used: 0, decreased: None }
    }

    /// Requests that may be dispatched at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Requests dispatched and not yet released.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Takes a slot and returns whether one was free.
    pub fn take(&mut self) -> bool {
        let free = self.used < self.limit();
        self.used += usize::from(free);
        free
    }

    /// Gives a slot back; `overloaded` tells that endpoints refused for load.
    pub fn release(&mut self, now: Instant, overloaded: bool) {
        let full = self.used >= self.limit();
        self.used = self.used.checked_sub(1).expect("every release follows its own take");
        if overloaded {
            self.decrease(now);
        } else if full {
            let step = if self.decreased.is_none() { 1.0 } else { 1.0 / self.limit };
            self.limit = (self.limit + step).min(self.max);
        }
    }

    fn decrease(&mut self, now: Instant) {
        let recent = self.decreased.is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if !recent {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            self.decreased = Some(now);
        }
    }
}
