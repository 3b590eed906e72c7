//! What the router believes of the endpoints, and which of them a request
//! gets: a chain of layers for a model, one endpoint for a plain service.
//!
//! Beliefs come from the directory, from this router's own work, from peers'
//! digests and from reports. See `docs/design/fleet.md`.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::deployment::{Endpoint, Standing};
use crate::exchange::Report;
use crate::resource::Layers;
use crate::time::Instant;

mod chain;
mod claim;
mod holder;
mod plain;
mod vitals;

pub use chain::{Demand, Query, Shortage};
pub use claim::Claim;

/// Pace from which an endpoint gets no new work while others hold its layers:
/// every token of every stream through it waits for it.
const SLOW_PACE: f64 = 6.0;

/// Difference in pace that peers are told.
const PACE_STEP: f64 = 0.25;

/// Time after which a digest of a peer no longer counts: several intervals.
const PEER_LIFE: Duration = Duration::from_secs(3);

/// A part of a chain: an endpoint and the layers it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The endpoint.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The start of the endpoint that is meant.
    pub incarnation: u64,
    /// Layers that it runs.
    pub layers: Layers,
}

/// The endpoints of one request, in order of layers.
pub type Chain = SmallVec<[Hop; 12]>;

/// What requests use of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// KV cache, tokens x layers.
    pub cache: f32,
    /// Prompts that have not been read yet, tokens x layers.
    pub prefill: f32,
    /// Requests that it received from a router.
    pub requests: u32,
}

/// An endpoint and what is believed of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its entry in the directory.
    pub endpoint: Endpoint,
    /// Use by this router.
    own: Usage,
    /// Use by all peers.
    peers: Usage,
    /// How many times slower than its card it reports to be.
    pace: f64,
    /// Heartbeat of the entry that a report overrides: an entry that is as old
    /// still shows the layers from before it.
    reported_at: Option<u64>,
    /// When it was last observed, by this router or a peer.
    observed: Instant,
    /// Last time that work that passes through it made progress.
    progress: Instant,
    /// Streams of this router that pass through it.
    passing: u32,
    /// When it was first found not to answer, if it has shown no life since.
    dead_since: Option<Instant>,
    /// It is left out until then.
    doubted_until: Instant,
    /// It had no memory and gets no new work until then.
    crowded_until: Instant,
    /// How long that last was.
    crowded_for: Duration,
    /// Failures in a row.
    strikes: u32,
    /// Share of recent answers that failed.
    failures: f64,
    /// When it came into sight, if it held layers then.
    returned: Option<Instant>,
    /// When its entry was first missing.
    missing_since: Option<Instant>,
}

/// What changed when the directory was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Endpoints that appeared or started anew.
    pub joined: Vec<Arc<str>>,
    /// Endpoints that began to leave.
    pub leaving: Vec<Arc<str>>,
    /// Endpoints that are gone.
    pub gone: Vec<Arc<str>>,
    /// Endpoints that hold other layers.
    pub layers_changed: Vec<Arc<str>>,
}

/// What a report said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Short name of the endpoint.
    pub endpoint: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it holds.
    pub layers: Option<Layers>,
    /// How many times slower than its card it is.
    pub pace: f32,
    /// How long ago that was.
    pub age: Duration,
}

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<Arc<str>, Member>,
    digests: HashMap<Arc<str>, (Instant, HashMap<u64, Usage>)>,
    /// Usual time between two events of a stream.
    usual_pause: vitals::Pause,
}

/// The short name of an endpoint in digests.
pub fn endpoint_key(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl Usage {
    fn add(&mut self, other: &Self) {
        self.cache += other.cache;
        self.prefill += other.prefill;
        self.requests += other.requests;
    }

    fn subtract(&mut self, other: &Self) {
        self.cache = (self.cache - other.cache).max(0.0);
        self.prefill = (self.prefill - other.prefill).max(0.0);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

impl DirectoryChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Member {
    fn new(endpoint: Endpoint, now: Instant) -> Self {
        Self {
            returned: endpoint.layers.map(|_| now),
            endpoint,
            own: Usage::default(),
            peers: Usage::default(),
            pace: 1.0,
            reported_at: None,
            observed: Instant::ZERO,
            progress: now,
            passing: 0,
            dead_since: None,
            doubted_until: Instant::ZERO,
            crowded_until: Instant::ZERO,
            crowded_for: Duration::ZERO,
            strikes: 0,
            failures: 0.0,
            missing_since: None,
        }
    }

    /// Takes in what a report said, newer than its entry; returns whether that
    /// changed anything.
    fn see(&mut self, seen: &Observation, now: Instant) -> bool {
        let at = now - seen.age;
        if self.endpoint.incarnation != seen.incarnation || at <= self.observed {
            return false;
        }
        self.observed = at;
        if self.dead_since.is_some_and(|since| since < at) {
            self.dead_since = None;
        }
        let pace = f64::from(seen.pace);
        let changed = self.endpoint.layers != seen.layers || (self.pace - pace).abs() > PACE_STEP;
        self.endpoint.layers = seen.layers;
        self.pace = pace;
        self.reported_at = Some(self.endpoint.heartbeat);
        changed
    }

    /// Whether it takes new work, by what it says of itself.
    pub fn takes_work(&self) -> bool {
        self.endpoint.standing == Standing::Ready && self.missing_since.is_none()
    }

    /// Whether it takes new work and answered when it was last asked.
    pub fn is_alive(&self) -> bool {
        self.takes_work() && self.dead_since.is_none()
    }

    /// Whether it gets new work.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_alive() && now >= self.doubted_until && !self.is_slow()
    }

    /// Whether it is so slow that work is better refused than given to it.
    pub fn is_slow(&self) -> bool {
        self.pace >= SLOW_PACE
    }

    /// Use by this router and its peers.
    fn usage(&self) -> Usage {
        let mut usage = self.own;
        usage.add(&self.peers);
        usage
    }

    /// The whole endpoint as a part of a chain; `None` while it holds nothing.
    pub fn hop(&self) -> Option<Hop> {
        let Endpoint { id, address, incarnation, layers, .. } = &self.endpoint;
        let (address, incarnation) = (*address, *incarnation);
        layers.map(|layers| Hop { id: id.clone(), address, incarnation, layers })
    }

    /// Its short name and its incarnation.
    pub fn key(&self) -> (u64, u64) {
        (endpoint_key(&self.endpoint.id), self.endpoint.incarnation)
    }

    /// How many times slower than its card it reports to be.
    pub const fn pace(&self) -> f64 {
        self.pace
    }

    /// When it came into sight, if it held layers then.
    pub const fn reappeared_at(&self) -> Option<Instant> {
        self.returned
    }

    /// KV cache in use, tokens x layers.
    pub fn cache(&self) -> f64 {
        f64::from(self.usage().cache)
    }
}

impl Fleet {
    /// Takes in the directory as read at `now`.
    ///
    /// Entries that are missing stay for as long as `lapsed_until` says: after
    /// an outage of the store, endpoints need time to register again.
    pub fn apply_directory(
        &mut self,
        entries: Vec<Endpoint>,
        lapsed_until: Instant,
        now: Instant,
    ) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        let mut listed = std::collections::HashSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            self.enter(entry, now, &mut change);
        }
        let missing = self.members.iter_mut().filter(|(id, _)| !listed.contains(*id));
        for (id, member) in missing {
            member.missing_since.get_or_insert(now);
            if now >= lapsed_until {
                change.gone.push(id.clone());
            } else {
                // Known from before the outage: as usable as it was.
                member.missing_since = None;
            }
        }
        for id in &change.gone {
            self.members.remove(id);
        }
        change
    }

    fn enter(&mut self, entry: Endpoint, now: Instant, change: &mut DirectoryChange) {
        let id = entry.id.clone();
        let Some(member) = self.members.get_mut(&id) else {
            change.joined.push(id.clone());
            self.members.insert(id, Member::new(entry, now));
            return;
        };
        if member.endpoint.incarnation != entry.incarnation {
            if member.endpoint.incarnation < entry.incarnation {
                change.joined.push(id);
                *member = Member::new(entry, now);
            }
            return;
        }
        if entry.standing == Standing::Draining && member.endpoint.standing == Standing::Ready {
            change.leaving.push(id.clone());
        }
        member.missing_since = None;
        if entry.heartbeat < member.endpoint.heartbeat {
            return;
        }
        let mut entry = entry;
        if member.reported_at == Some(entry.heartbeat) {
            entry.layers = member.endpoint.layers;
        }
        if entry.layers != member.endpoint.layers {
            change.layers_changed.push(id);
        }
        member.endpoint = entry;
    }

    /// Stands for the endpoints, their starts and whether they leave.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for member in self.members.values() {
            let Endpoint { id, incarnation, standing, .. } = &member.endpoint;
            (id, incarnation, *standing == Standing::Ready).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// An endpoint by id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Every endpoint.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The endpoint that listens at an address.
    pub fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        self.members.values().find(|member| member.endpoint.address == address)
    }

    /// Takes in an endpoint's report; returns what changed for peers to know.
    pub fn apply_report(&mut self, id: &str, report: &Report, now: Instant) -> Option<Observation> {
        let seen = Observation {
            age: Duration::ZERO,
            endpoint: endpoint_key(id),
            incarnation: report.incarnation,
            layers: report.layers,
            pace: report.pace.max(1.0) as f32,
        };
        self.members.get_mut(id)?.see(&seen, now).then_some(seen)
    }

    /// Takes in what a peer saw of an endpoint; returns its id if that changed
    /// anything.
    pub fn apply_observation(&mut self, seen: &Observation, now: Instant) -> Option<Arc<str>> {
        let member =
            self.members.values_mut().find(|m| endpoint_key(&m.endpoint.id) == seen.endpoint)?;
        member.see(seen, now).then(|| member.endpoint.id.clone())
    }

    /// What this router uses, for digests; only what is in use.
    pub fn digest(&self) -> Vec<(u64, Usage)> {
        let used = self.members.values().filter(|member| member.own != Usage::default());
        used.map(|member| (endpoint_key(&member.endpoint.id), member.own)).collect()
    }

    /// Takes in a peer's use.
    pub fn merge_digest(&mut self, peer: &Arc<str>, usage: &[(u64, Usage)], now: Instant) {
        self.digests.insert(peer.clone(), (now, usage.iter().copied().collect()));
        self.digests.retain(|_, (at, _)| now.since(*at) < PEER_LIFE);
        for member in self.members.values_mut() {
            let key = endpoint_key(&member.endpoint.id);
            member.peers = Usage::default();
            for (_, digest) in self.digests.values() {
                if let Some(usage) = digest.get(&key) {
                    member.peers.add(usage);
                }
            }
        }
    }
}
