//! Tracks which endpoints cache which prompt prefixes, from the engines' events.
//!
//! Cache events can be delayed or lost, so the confidence in an entry decreases
//! with its age and entries expire. The number of stored prefixes is limited.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::resource::Name;
use crate::time::Instant;

/// Maximum number of endpoints stored for one prefix.
pub const MAX_HOLDERS: usize = 8;

/// Factor on the confidence in entries from before a gap in the events.
const GAP_CONFIDENCE: f32 = 0.5;

/// Limits of an [`Affinity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum number of prefixes stored.
    pub max_prefixes: usize,
    /// Time after which an entry without a new event expires.
    pub expiry: Duration,
}

/// A change of one endpoint's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// These prefixes are cached now.
    Stored(&'a [u64]),
    /// These prefixes were evicted.
    Removed(&'a [u64]),
    /// The whole cache was dropped.
    Cleared,
}

/// An endpoint that caches a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Match {
    /// The endpoint.
    pub endpoint: Name,
    /// Confidence in the entry, above 0 and up to 1.
    pub confidence: f32,
}

/// Index of the endpoints that cache each prefix, by its hash.
///
/// Two generations bound the memory: when the young one is full, it replaces the
/// old one, which is dropped.
#[derive(Debug)]
pub struct Affinity {
    settings: Settings,
    young: Prefixes,
    old: Prefixes,
    endpoints: HashMap<Name, EventStream>,
}

type Prefixes = HashMap<u64, SmallVec<[Holder; 4]>>;

#[derive(Clone, Debug)]
struct Holder {
    endpoint: Name,
    at: Instant,
}

/// The event stream of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EventStream {
    sequence: u64,
    /// When a gap in the sequence was last detected.
    gap_at: Option<Instant>,
    /// When the cache was last cleared; entries up to then are invalid.
    cleared_at: Option<Instant>,
}

impl Affinity {
    /// Creates an empty index.
    pub fn new(settings: Settings) -> Self {
        Self { settings, young: HashMap::new(), old: HashMap::new(), endpoints: HashMap::new() }
    }

    /// Applies event number `sequence` of an endpoint's stream. An out-of-order
    /// event is ignored; a gap lowers the confidence in all earlier entries.
    pub fn event(&mut self, endpoint: &Name, sequence: u64, event: Event<'_>, now: Instant) {
        let stream = self.endpoints.entry(endpoint.clone()).or_default();
        if sequence <= stream.sequence {
            return;
        }
        if stream.sequence > 0 && sequence > stream.sequence + 1 {
            stream.gap_at = Some(now);
        }
        stream.sequence = sequence;
        match event {
            Event::Stored(hashes) => self.store(endpoint, hashes, now),
            Event::Removed(hashes) => self.remove(endpoint, hashes),
            Event::Cleared => stream.cleared_at = Some(now),
        }
    }

    /// Records that `endpoint` caches these prefixes.
    pub fn store(&mut self, endpoint: &Name, hashes: &[u64], now: Instant) {
        let entry = self.endpoints.entry(endpoint.clone());
        let name = entry.key().clone();
        entry.or_default();
        for &hash in hashes {
            self.store_one(&name, hash, now);
        }
    }

    /// Removes an endpoint that restarted or left the configuration.
    pub fn forget(&mut self, endpoint: &Name) {
        self.endpoints.remove(endpoint);
        for prefixes in [&mut self.young, &mut self.old] {
            prefixes.retain(|_, holders| {
                holders.retain(|holder| holder.endpoint != *endpoint);
                !holders.is_empty()
            });
        }
    }

    fn store_one(&mut self, endpoint: &Name, hash: u64, now: Instant) {
        if !self.young.contains_key(&hash) {
            if self.young.len() >= (self.settings.max_prefixes / 2).max(1) {
                self.old = std::mem::take(&mut self.young);
            }
            let known = self.old.remove(&hash).unwrap_or_default();
            self.young.insert(hash, known);
        }
        let holders = self.young.entry(hash).or_default();
        holders.retain(|holder| holder.endpoint != *endpoint);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder { endpoint: endpoint.clone(), at: now });
    }

    fn remove(&mut self, endpoint: &Name, hashes: &[u64]) {
        for hash in hashes {
            for prefixes in [&mut self.young, &mut self.old] {
                if let Some(holders) = prefixes.get_mut(hash) {
                    holders.retain(|holder| holder.endpoint != *endpoint);
                }
            }
        }
    }
}

impl Affinity {
    /// The endpoints that probably cache the prefix with this hash.
    pub fn holders(&self, hash: u64, now: Instant) -> SmallVec<[Match; 4]> {
        let holders = self.young.get(&hash).or_else(|| self.old.get(&hash));
        let matches = holders.into_iter().flatten().map(|holder| Match {
            endpoint: holder.endpoint.clone(),
            confidence: self.confidence(holder, now),
        });
        matches.filter(|found| found.confidence > 0.0).collect()
    }

    /// Number of prefixes stored.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no prefix is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn confidence(&self, holder: &Holder, now: Instant) -> f32 {
        let stream = self.endpoints.get(&holder.endpoint).copied().unwrap_or_default();
        if stream.cleared_at.is_some_and(|cleared_at| holder.at <= cleared_at) {
            return 0.0;
        }
        let age = now.since(holder.at).as_secs_f32() / self.settings.expiry.as_secs_f32();
        let freshness = (1.0 - age).max(0.0);
        match stream.gap_at {
            Some(gap_at) if holder.at < gap_at => freshness * GAP_CONFIDENCE,
            _ => freshness,
        }
    }
}

impl Default for Affinity {
    fn default() -> Self {
        Self::new(Settings { max_prefixes: 8_192, expiry: Duration::from_secs(600) })
    }
}
