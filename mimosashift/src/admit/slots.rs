//! Concurrency limit that adapts to the capacity of the endpoints.
//!
//! Until an endpoint first refuses a request as overloaded, the limit doubles
//! each time that a full set of requests has completed, as long as all slots
//! are in use. From then on each request released without a refusal while
//! all slots are in use raises it by [`LIMIT_INCREASE`], and each one with a
//! refusal lowers it by [`LIMIT_DECREASE`]. While all slots are in use, it thus
//! settles where about one in eleven requests is refused as overloaded, at any
//! request rate.

/// Slots added by a request that met no refusal while all slots were in use.
pub const LIMIT_INCREASE: f64 = 0.1;

/// Slots removed by a request that an endpoint refused as overloaded.
pub const LIMIT_DECREASE: f64 = 1.0;

/// The adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Slots {
    limit: f64,
    max: f64,
    used: usize,
    /// Whether an endpoint has ever refused a request as overloaded.
    overload_seen: bool,
}

impl Slots {
    /// Creates a limit of initially `start` and at most `max` slots.
    pub fn new(start: usize, max: usize) -> Self {
        let max = max.max(1) as f64;
        Self { limit: (start as f64).clamp(1.0, max), max, used: 0, overload_seen: false }
    }

    /// Number of requests that may run concurrently.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Number of requests dispatched and not yet released.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Acquires a slot if one is free; returns whether it did.
    pub fn acquire(&mut self) -> bool {
        let free = self.used < self.limit();
        self.used += usize::from(free);
        free
    }

    /// Releases a slot; `overloaded` says whether an endpoint refused the request
    /// as overloaded.
    pub fn release(&mut self, overloaded: bool) {
        let full = self.used >= self.limit();
        self.used = self.used.checked_sub(1).expect("every release follows an acquire");
        if overloaded {
            self.overload_seen = true;
            self.limit = (self.limit - LIMIT_DECREASE).max(1.0);
        } else if full {
            let step = if self.overload_seen { LIMIT_INCREASE } else { 1.0 };
            self.limit = (self.limit + step).min(self.max);
        }
    }
}
