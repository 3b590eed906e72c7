//! Describes the holders of a layer, for logs.

use std::fmt::Write;

use super::{Fleet, Member, Query};
use crate::time::Instant;

impl Fleet {
    /// Every endpoint that holds a layer, with the share of its KV cache in use and
    /// its state if it is not preferred for new work, as in `i-1 0.97, i-2 0.40 doubted`.
    /// `doubted` (ejected) and `crowded` (cache full) are the words in the titles of the
    /// events. An endpoint that is marked dead has no state of its own here.
    pub fn describe_holders(&self, query: &Query<'_>, layer: u16, now: Instant) -> String {
        let holds = |member: &&Member| {
            let layers = member.endpoint.layers;
            &*member.endpoint.service == query.service
                && layers.is_some_and(|l| l.start() <= layer && layer < l.end())
        };
        let mut text = String::new();
        for member in self.members.values().filter(holds) {
            let endpoint = &member.endpoint;
            let count = endpoint.layers.map_or(0, |layers| layers.count());
            let capacity = query.engine.card(endpoint).map(|c| query.engine.kv_capacity(c, count));
            let fill = capacity.map(|capacity| member.cache() / capacity.max(1.0));
            let fill = fill.map_or_else(|| "card unknown".to_owned(), |fill| format!("{fill:.2}"));
            let separator = if text.is_empty() { "" } else { ", " };
            let state = if !member.takes_work() {
                " leaving"
            } else if now < member.ejected_until {
                " doubted"
            } else if now < member.cache_full_until {
                " crowded"
            } else if member.is_slow() {
                " slow"
            } else {
                ""
            };
            write!(text, "{separator}{} {fill}{state}", endpoint.id)
                .expect("writing to a string does not fail");
        }
        text
    }
}
