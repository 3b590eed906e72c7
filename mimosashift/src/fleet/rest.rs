//! Rests: times for which endpoints that rejected requests want none from this router.
//!
//! A rest holds for requests of clients that are sent to the endpoint, not for what other
//! engines pass on to it, and for the incarnation that asked for it. See
//! `docs/design/limits.md`, "Rests".

use std::time::Duration;

use super::{Fleet, Hop, Member, name_key};
use crate::exchange::Rest;
use crate::time::Instant;

impl Member {
    /// Whether it wants no requests now.
    pub(super) fn is_resting(&self, now: Instant) -> bool {
        now < self.resting_until
    }
}

impl Fleet {
    /// Records that an endpoint rejected a request and asked for a rest. An earlier one
    /// that ends later stays.
    pub fn record_rest(&mut self, hop: &Hop, rest: Rest, now: Instant) {
        let until = now + rest.length();
        let member = self.members.get_mut(&hop.id);
        if let Some(member) = member.filter(|m| m.endpoint.incarnation == hop.incarnation) {
            member.resting_until = member.resting_until.max(until);
        } else if let Some(process) = self.said.entry((name_key(&hop.id), hop.incarnation), now) {
            process.resting_until = process.resting_until.max(until);
        }
    }

    /// Whether an endpoint wants no requests now.
    pub fn is_resting(&self, id: &str, now: Instant) -> bool {
        self.members.get(id).is_some_and(|member| member.is_resting(now))
    }

    /// Time until the first endpoint of a service that rests takes requests again; `None`
    /// if none rests.
    pub fn time_to_end_of_rest(&self, service: &str, now: Instant) -> Option<Duration> {
        let members = self.members.values().filter(|m| &*m.endpoint.service == service);
        let resting = members.filter(|member| member.takes_work() && member.is_resting(now));
        resting.map(|member| member.resting_until.since(now)).min()
    }
}
