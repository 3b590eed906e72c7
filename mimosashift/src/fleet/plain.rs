//! Chooses the endpoint of a plain service.

use std::sync::Arc;

use super::{Fleet, Hop, Member, Usage};
use crate::resource::Layers;
use crate::time::Instant;

/// Cost of an endpoint whose every recent answer failed, in full endpoints.
const FAILURE_COST: f64 = 4.0;

/// Cost of an endpoint that is left out after a failure, in full endpoints.
const DOUBT_COST: f64 = 100.0;

/// Cost of another zone, in full endpoints: a tie goes to the own zone.
const ZONE_COST: f64 = 0.05;

/// Requests that an endpoint may be given beyond its slots: it queues a few.
const QUEUE_SHARE: f64 = 2.0;

impl Fleet {
    /// The endpoint for a request to a plain service, without those in
    /// `avoid`; `None` when all are full or none is left.
    pub fn choose_endpoint(
        &self,
        service: &str,
        zone: &str,
        avoid: &[Arc<str>],
        now: Instant,
    ) -> Option<Hop> {
        let usable = |m: &&Member| {
            &*m.endpoint.service == service
                && m.takes_work()
                && !avoid.contains(&m.endpoint.id)
                && f64::from(m.usage().requests) < QUEUE_SHARE * f64::from(m.endpoint.slots)
        };
        let cost = |m: &Member| {
            let load = f64::from(m.usage().requests) / f64::from(m.endpoint.slots.max(1));
            let far = if &*m.endpoint.zone == zone { 0.0 } else { ZONE_COST };
            // One that failed lately is better than none.
            let doubted = if m.is_usable(now) { 0.0 } else { DOUBT_COST };
            load + far + FAILURE_COST * m.failures + doubted
        };
        let usable = self.members.values().filter(usable);
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(Hop {
            id: best.endpoint.id.clone(),
            address: best.endpoint.address,
            incarnation: best.endpoint.incarnation,
            layers: Layers::try_from((0, 1)).expect("the range is not empty"),
        })
    }

    /// Counts a request at the endpoint of a plain service.
    pub fn add_request(&mut self, hop: &Hop) {
        if let Some(member) = self.members.get_mut(&hop.id) {
            member.own.add(&Usage { requests: 1, ..Usage::default() });
        }
    }

    /// Gives back what [`add_request`](Self::add_request) counted.
    pub fn remove_request(&mut self, hop: &Hop) {
        let member = self.members.get_mut(&hop.id);
        if let Some(member) = member.filter(|m| m.endpoint.incarnation == hop.incarnation) {
            member.own.subtract(&Usage { requests: 1, ..Usage::default() });
        }
    }

    /// Endpoints of a service that get new work.
    pub fn usable_count(&self, service: &str, now: Instant) -> usize {
        let of = |m: &&Member| &*m.endpoint.service == service && m.is_usable(now);
        self.members.values().filter(of).count()
    }
}
