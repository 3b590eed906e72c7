//! How much of the engines' memory requests of each rank may fill.
//!
//! Room is kept for more urgent requests, so that the less urgent ones are refused first,
//! on every router alike and without messages. See `docs/design/rank.md`.

use std::collections::HashMap;
use std::sync::Arc;

use crate::deployment::{Rank, Ranks};
use crate::fleet::USABLE_CACHE_SHARE;

/// Part of the usable memory that the least urgent rank leaves to the others: about as much
/// as becomes free, or is taken by routers that do not yet know of each other, within the
/// age of digests. What is kept is idle while only the least urgent rank is short of room.
const RESERVED_PART: f64 = 0.1;

/// One in this many requests of a less urgent rank is judged as one of the most urgent rank.
/// A client that comes back as it is told, after three seconds on average, so waits about
/// half a minute while room is short, which is how long people try.
pub const KEPT_INTERVAL: u32 = 10;

/// How far a request may fill endpoints, given its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Share of an endpoint's KV cache that may be in use once the request is there.
    pub cache_share: f64,
    /// The rank that counts while it waits for memory.
    pub waits_as: Rank,
    /// Whether it is judged as one of the most urgent rank, so that its own is served at all.
    pub is_kept: bool,
}

/// Requests seen of each rank of one service.
type Counts = [u32; Rank::COUNT];

/// Gives each request its terms.
#[derive(Clone, Debug, Default)]
pub struct Ladder {
    /// Requests of each rank, for services with more than one.
    seen: HashMap<Arc<str>, Counts>,
}

impl Default for Terms {
    /// Those of the most urgent rank.
    fn default() -> Self {
        Self { cache_share: USABLE_CACHE_SHARE, waits_as: Rank::FIRST, is_kept: false }
    }
}

impl Terms {
    /// Whether they leave room to more urgent requests.
    pub fn reserves(&self) -> bool {
        self.cache_share < USABLE_CACHE_SHARE
    }
}

/// Share of an endpoint's KV cache that requests of a rank may fill.
pub fn cache_share(ranks: &Ranks, rank: Rank) -> f64 {
    let less_urgent = ranks.len().saturating_sub(1).max(1) as f64;
    let reserved = RESERVED_PART * ranks.count_above(rank) as f64 / less_urgent;
    USABLE_CACHE_SHARE * (1.0 - reserved)
}

impl Ladder {
    /// The terms of a new request to a service.
    pub fn terms(&mut self, service: &Arc<str>, ranks: &Ranks, rank: Rank) -> Terms {
        if ranks.count_above(rank) == 0 {
            return Terms { waits_as: rank, ..Terms::default() };
        }
        if !self.seen.contains_key(service) {
            self.seen.insert(service.clone(), Counts::default());
        }
        let seen = self.seen.get_mut(service).expect("it was inserted");
        let seen = &mut seen[usize::from(rank.level())];
        *seen = (*seen + 1) % KEPT_INTERVAL;
        if *seen == 0 {
            let waits_as = ranks.first().unwrap_or(rank);
            return Terms { waits_as, is_kept: true, ..Terms::default() };
        }
        Terms { cache_share: cache_share(ranks, rank), waits_as: rank, is_kept: false }
    }

    /// Drops what is known of services that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.seen.retain(|service, _| is_configured(service));
    }
}
