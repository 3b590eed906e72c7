//! Chooses the endpoint for a request to a plain service.

use std::sync::Arc;

use super::{Fleet, Hop, Member, Usage};
use crate::time::Instant;

/// Cost of a failure rate of 1, in units of load (1 if all slots are in use).
const FAILURE_COST: f64 = 4.0;

/// Cost of an ejected, slow or dead endpoint, in units of load.
const UNUSABLE_COST: f64 = 100.0;

/// Cost of another zone, in units of load; breaks ties in favour of the
/// router's own zone.
const REMOTE_ZONE_COST: f64 = 0.05;

/// Limit on the requests at an endpoint, in multiples of its slots; it queues those
/// that have no slot.
const MAX_LOAD: f64 = 2.0;

/// Why a request to a plain service may not be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// It takes no new work.
    Leaving,
    /// The request has been sent there before.
    Avoided,
    /// It queues as many requests as it may.
    Full,
    /// It has reached the limit that it names.
    Limited,
    /// It wants no requests from this router now.
    Resting,
}

impl Fleet {
    /// The endpoint for a request to a plain service, other than those in `avoid`;
    /// `None` if there is none or all are full, rest or have reached their limits.
    pub fn choose_endpoint(
        &self,
        service: &str,
        zone: &str,
        avoid: &[Arc<str>],
        now: Instant,
    ) -> Option<Hop> {
        let eligible = self
            .members
            .values()
            .filter(|m| &*m.endpoint.service == service && self.obstacle(m, avoid, now).is_none());
        let cost = |m: &Member| self.endpoint_cost(m, zone, now);
        eligible.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(Member::address_hop)
    }

    /// Why a request to a plain service may not be sent to one of its endpoints.
    pub(super) fn obstacle(
        &self,
        member: &Member,
        avoid: &[Arc<str>],
        now: Instant,
    ) -> Option<Obstacle> {
        let requests = || f64::from(self.known_usage(member, now).requests);
        if !member.takes_work() {
            Some(Obstacle::Leaving)
        } else if avoid.contains(&member.endpoint.id) {
            Some(Obstacle::Avoided)
        } else if requests() >= MAX_LOAD * f64::from(member.endpoint.slots) {
            Some(Obstacle::Full)
        } else if !self.has_credit(member, now) {
            Some(Obstacle::Limited)
        } else if member.is_resting(now) {
            Some(Obstacle::Resting)
        } else {
            None
        }
    }

    /// Cost of a request to a plain service at one of its endpoints, in units of load.
    pub(super) fn endpoint_cost(&self, member: &Member, zone: &str, now: Instant) -> f64 {
        let remote = if &*member.endpoint.zone == zone { 0.0 } else { REMOTE_ZONE_COST };
        // An endpoint that failed recently is better than none.
        let unusable = if member.is_usable(now) { 0.0 } else { UNUSABLE_COST };
        self.load(member, now) + remote + FAILURE_COST * member.failure_rate + unusable
    }

    /// Requests at an endpoint of a plain service, in multiples of its slots.
    pub(super) fn load(&self, member: &Member, now: Instant) -> f64 {
        f64::from(self.known_usage(member, now).requests) / f64::from(member.endpoint.slots.max(1))
    }

    /// Counts a request at the endpoint of a plain service.
    pub fn add_request(&mut self, hop: &Hop) {
        if let Some(member) = self.members.get_mut(&hop.id) {
            member.own_usage.add(&Usage { requests: 1, ..Usage::default() });
        }
    }

    /// Reverses [`add_request`](Self::add_request).
    pub fn remove_request(&mut self, hop: &Hop) {
        let member = self.members.get_mut(&hop.id);
        if let Some(member) = member.filter(|m| m.endpoint.incarnation == hop.incarnation) {
            member.own_usage.subtract(&Usage { requests: 1, ..Usage::default() });
        }
    }

    /// Number of a service's usable endpoints.
    pub fn usable_count(&self, service: &str, now: Instant) -> usize {
        let is_match = |m: &&Member| &*m.endpoint.service == service && m.is_usable(now);
        self.members.values().filter(is_match).count()
    }
}
