//! Number of requests dispatched at once, adapted to what the endpoints take.
//!
//! While all slots are in use, the limit doubles in the time that its requests
//! take until endpoints first refuse one for load. From then on each request
//! without a refusal raises it by [`RISE`] and each one with a refusal lowers
//! it by [`FALL`], so that it settles where a small share of requests meets a
//! full endpoint, whatever the rate.

/// Slots gained by a request that met no refusal while all were in use.
pub const RISE: f64 = 0.1;

/// Slots lost by a request that endpoints refused for load.
pub const FALL: f64 = 1.0;

/// The adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Slots {
    limit: f64,
    max: f64,
    used: usize,
    /// Whether endpoints have refused for load.
    refused: bool,
}

impl Slots {
    /// Starts at `start` slots and never exceeds `max`.
    pub fn new(start: usize, max: usize) -> Self {
        let max = max.max(1) as f64;
        Self { limit: (start as f64).clamp(1.0, max), max, used: 0, refused: false }
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
    pub fn release(&mut self, overloaded: bool) {
        let full = self.used >= self.limit();
        self.used = self.used.checked_sub(1).expect("every release follows its own take");
        if overloaded {
            self.refused = true;
            self.limit = (self.limit - FALL).max(1.0);
        } else if full {
            let step = if self.refused { RISE } else { 1.0 };
            self.limit = (self.limit + step).min(self.max);
        }
    }
}
