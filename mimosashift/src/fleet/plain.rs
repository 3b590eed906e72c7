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
        let eligible = |m: &&Member| {
            &*m.endpoint.service == service
                && m.takes_work()
                && !avoid.contains(&m.endpoint.id)
                && f64::from(self.known_usage(m, now).requests)
                    < MAX_LOAD * f64::from(m.endpoint.slots)
                && self.has_credit(m, now)
                && !m.is_resting(now)
        };
        let cost = |m: &Member| {
            let load =
                f64::from(self.known_usage(m, now).requests) / f64::from(m.endpoint.slots.max(1));
            let remote = if &*m.endpoint.zone == zone { 0.0 } else { REMOTE_ZONE_COST };
            // An endpoint that failed recently is better than none.
            let unusable = if m.is_usable(now) { 0.0 } else { UNUSABLE_COST };
            load + remote + FAILURE_COST * m.failure_rate + unusable
        };
        let eligible = self.members.values().filter(eligible);
        eligible.min_by(|a, b| cost(a).total_cmp(&cost(b))).map(Member::address_hop)
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
