//! Limits that endpoints name on the requests that they take from all routers
//! together.

use std::collections::HashMap;

use super::Fleet;
use crate::exchange::RequestRate;
use crate::time::Instant;

/// An incarnation of an endpoint: the key of its id, and its start.
pub type Incarnation = (u64, u64);

/// A change of the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit before, if there was one.
    pub before: Option<RequestRate>,
    /// The limit now, if there is one.
    pub now: Option<RequestRate>,
}

/// Limits by endpoint.
#[derive(Debug, Default)]
pub(super) struct Limits {
    known: HashMap<Incarnation, Limit>,
}

#[derive(Debug)]
struct Limit {
    /// The rate; `None` once it is lifted.
    rate: Option<RequestRate>,
    /// When an answer last named it, or when the request was sent whose answer did
    /// not.
    observed_at: Instant,
}

impl Limits {
    /// Applies an observation that is newer than the last one.
    fn observe(
        &mut self,
        endpoint: Incarnation,
        rate: Option<RequestRate>,
        at: Instant,
    ) -> Option<Change> {
        let before = match self.known.get(&endpoint) {
            Some(known) if at <= known.observed_at => return None,
            Some(known) => known.rate,
            None if rate.is_none() => return None,
            None => None,
        };
        self.known.insert(endpoint, Limit { rate, observed_at: at });
        (before != rate).then_some(Change { before, now: rate })
    }
}

impl Fleet {
    /// Records the limit that an answer of an endpoint names, or that it names none.
    ///
    /// `at` is when an answer with a limit arrived. For one without, it is when its
    /// request was sent, since answers may overtake each other.
    pub fn observe_limit(
        &mut self,
        endpoint: Incarnation,
        rate: Option<RequestRate>,
        at: Instant,
    ) -> Option<Change> {
        self.limits.observe(endpoint, rate, at)
    }
}
