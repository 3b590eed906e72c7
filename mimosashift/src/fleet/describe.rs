//! Describes the load of endpoints as this router knows it, for logs.

use std::fmt::Write;

use super::{Fleet, Hop, Member, Query};
use crate::deployment::Engine;
use crate::time::Instant;

impl Fleet {
    /// The load that a choice of `chain` is based on: the highest share of a KV cache in
    /// use, the number of peers whose usage is included, and the age of the oldest, as in
    /// `fill=0.62 peers=24 peers_age_ms=840`.
    pub fn describe_load(&self, engine: &Engine, chain: &[Hop], now: Instant) -> String {
        let fill =
            chain.iter().filter_map(|hop| self.fill(engine, &hop.id, now)).fold(0.0, f64::max);
        let (peers, oldest) = self.peer_usage.sources(now);
        format!("fill={fill:.2} peers={peers} peers_age_ms={}", oldest.as_millis())
    }

    /// Share of an endpoint's KV cache in use; `None` if the endpoint or its card is
    /// unknown.
    pub fn fill(&self, engine: &Engine, id: &str, now: Instant) -> Option<f64> {
        let member = self.members.get(id)?;
        let count = member.endpoint.layers.map_or(0, |layers| layers.count());
        let capacity = engine.kv_capacity(engine.card(&member.endpoint)?, count);
        Some(self.cache(member, now) / capacity.max(1.0))
    }

    /// Every endpoint that holds a layer, with the share of its KV cache in use and
    /// its state if it is not preferred for new work, as in `i-1 0.97, i-2 0.40 doubted`.
    pub fn describe_holders(&self, query: &Query<'_>, layer: u16, now: Instant) -> String {
        let mut text = String::new();
        for member in self.holders(query.service, layer) {
            let endpoint = &member.endpoint;
            let fill = self.fill(query.engine, &endpoint.id, now);
            let fill = fill.map_or_else(|| "card unknown".to_owned(), |fill| format!("{fill:.2}"));
            let separator = if text.is_empty() { "" } else { ", " };
            let (space, state) = self.state(member, now).map_or(("", ""), |state| (" ", state));
            write!(text, "{separator}{} {fill}{space}{state}", endpoint.id)
                .expect("writing to a string does not fail");
        }
        text
    }

    /// The endpoints of a service that hold a layer.
    pub(super) fn holders(&self, service: &str, layer: u16) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| {
            let layers = member.endpoint.layers;
            &*member.endpoint.service == service
                && layers.is_some_and(|l| l.start() <= layer && layer < l.end())
        })
    }

    /// The state of an endpoint that is not preferred for new work. `doubted` (ejected) and
    /// `crowded` (cache full) are the words in the titles of the events, `limited` is an
    /// endpoint that has reached its limit, `resting` one that wants no requests now. An
    /// endpoint that is marked dead has no state of its own here.
    pub(super) fn state(&self, member: &Member, now: Instant) -> Option<&'static str> {
        if !member.takes_work() {
            Some("leaving")
        } else if now < member.ejected_until {
            Some("doubted")
        } else if now < member.cache_full_until {
            Some("crowded")
        } else if !self.has_credit(member, now) {
            Some("limited")
        } else if member.is_resting(now) {
            Some("resting")
        } else if member.is_slow() {
            Some("slow")
        } else {
            None
        }
    }
}
