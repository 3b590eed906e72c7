//! Limits that endpoints name on the requests that they take from all routers
//! together.
//!
//! What routers know of the limits is here; what one of them may send is in
//! `fleet::share`. See `docs/design/limits.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::share::{Limit, MIN_ROUTERS};
use super::{Fleet, Incarnation, Member};
use crate::exchange::RequestRate;
use crate::time::Instant;

/// Maximum number of endpoints whose limits are known, the latest.
const MAX_LIMITS: usize = 1024;

/// A change of the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit before, if there was one.
    pub before: Option<RequestRate>,
    /// The limit now, if there is one.
    pub now: Option<RequestRate>,
}

/// What a router tells its peers of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Record {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// The limit; `None` if it was lifted.
    pub rate: Option<RequestRate>,
    /// Time since the limit was named, or found to be lifted.
    pub age: Duration,
    /// Requests per second that this router has recently sent to the endpoint or refused
    /// for its limit.
    pub demand: f32,
    /// Requests per second that it has recently sent.
    pub sent: f32,
}

/// Limits by endpoint.
#[derive(Debug)]
pub(super) struct Limits {
    known: HashMap<Incarnation, Limit>,
    /// Number of live routers, this one included.
    routers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { known: HashMap::new(), routers: MIN_ROUTERS }
    }
}

impl Limits {
    /// Applies an observation that is newer than the last one; returns the change if it
    /// has to be announced.
    fn observe(
        &mut self,
        endpoint: Incarnation,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
        random: f64,
    ) -> Option<Change> {
        let Some(limit) = self.known.get_mut(&endpoint) else {
            let rate = rate?;
            self.make_room();
            self.known.insert(endpoint, Limit::new(rate, at, self.routers, now, random));
            return Some(Change { before: None, now: Some(rate) });
        };
        if at <= limit.observed_at() {
            return None;
        }
        limit.renew(rate, at, now)
    }

    fn make_room(&mut self) {
        if self.known.len() >= MAX_LIMITS {
            let oldest = self.known.iter().min_by_key(|(_, limit)| limit.observed_at());
            let oldest = *oldest.expect("the map is not empty").0;
            self.known.remove(&oldest);
        }
    }

    fn permits(&self, endpoint: Incarnation, now: Instant) -> bool {
        self.known.get(&endpoint).is_none_or(|limit| limit.time_to_credit(now).is_zero())
    }
}

impl Fleet {
    /// Records the limit that an answer of an endpoint names, or that it names none.
    ///
    /// `at` is when an answer with a limit arrived. For one without, it is when its
    /// request was sent, since answers may overtake each other. `random` is from
    /// `0.0..1.0`.
    pub fn observe_limit(
        &mut self,
        endpoint: Incarnation,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
        random: f64,
    ) -> Option<Change> {
        self.limits.observe(endpoint, rate, at, now, random)
    }

    /// Counts a request that is sent to an endpoint against its limit.
    pub fn record_sent(&mut self, endpoint: Incarnation, now: Instant, random: f64) {
        if let Some(limit) = self.limits.known.get_mut(&endpoint) {
            limit.take(now, random);
        }
    }

    /// Records that a request was refused because of the limits of a service's
    /// endpoints, which adds to this router's demand.
    pub fn record_limited(&mut self, service: &str, now: Instant) {
        let members = self.members.values().filter(|m| &*m.endpoint.service == service);
        for member in members {
            if let Some(limit) = self.limits.known.get_mut(&member.key()) {
                limit.add_demand(now);
            }
        }
    }

    /// Whether a request may be sent to an endpoint.
    pub(super) fn has_credit(&self, member: &Member, now: Instant) -> bool {
        self.limits.known.is_empty() || self.limits.permits(member.key(), now)
    }

    /// The limit that an endpoint names, in requests per second, and the time until this
    /// router may send it a request; `None` without a limit in force.
    pub(super) fn limit_of(&self, member: &Member, now: Instant) -> Option<(f64, Duration)> {
        let limit = self.limits.known.get(&member.key())?;
        Some((limit.per_second(now)?, limit.time_to_credit(now)))
    }

    /// Time until a request may be sent to one of the endpoints of a service that have
    /// reached their limits; `None` if there are none.
    pub fn time_to_credit(&self, service: &str, now: Instant) -> Option<Duration> {
        let members = self.members.values().filter(|m| &*m.endpoint.service == service);
        let limits = members.filter_map(|member| self.limits.known.get(&member.key()));
        limits.map(|limit| limit.time_to_credit(now)).filter(|wait| !wait.is_zero()).min()
    }

    /// Makes this router's demand that which [`limit_records`](Self::limit_records)
    /// reports from now on; `routers` is the number of live ones, this one included.
    pub fn update_limits(&mut self, routers: usize, now: Instant) {
        self.limits.routers = routers.max(MIN_ROUTERS);
        self.divide_link(routers);
        self.limits.known.retain(|_, limit| !limit.is_expired(now));
        for limit in self.limits.known.values_mut() {
            limit.report(self.limits.routers, now);
        }
    }

    /// What peers have to know.
    pub fn limit_records(&self, now: Instant) -> Vec<Record> {
        let record = |(endpoint, limit): (&Incarnation, &Limit)| limit.record(*endpoint, now);
        self.limits.known.iter().map(record).collect()
    }

    /// Adds what a peer knows; returns the limits that changed, by endpoint id.
    pub fn merge_limits(
        &mut self,
        peer: &Arc<str>,
        records: &[Record],
        now: Instant,
        random: f64,
    ) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        for record in records {
            let at = now - record.age;
            let change = self.limits.observe(record.endpoint, record.rate, at, now, random);
            if let Some(change) = change {
                let member = self.members.values().find(|m| m.key() == record.endpoint);
                let id = member.map(|member| member.endpoint.id.clone());
                changes.push((id.unwrap_or_else(|| "unknown".into()), change));
            }
            if let Some(limit) = self.limits.known.get_mut(&record.endpoint) {
                limit.merge(peer, record, self.limits.routers, now);
            }
        }
        changes
    }
}
