//! The router's view of the endpoints, and the choice of endpoints for requests:
//! a chain of endpoints for a model, one endpoint for a plain service.
//!
//! The view is built from the directory, this router's own requests, the peers'
//! digests and endpoint reports. See `docs/design/fleet.md`.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::deployment::{Endpoint, EndpointStatus};
use crate::exchange::Report;
use crate::resource::Layers;
use crate::time::Instant;

mod chain;
mod claim;
mod describe;
mod limit;
mod link;
mod liveness;
mod outage;
mod plain;
mod prefill;
mod rest;
mod said;
mod share;
mod usage;

use limit::Limits;
use link::Link;
use usage::{PeerUsage, UntrackedCache};

pub use chain::{Allowance, Demand, Query, Shortage, USABLE_CACHE_SHARE};
pub use claim::Claim;
pub use limit::{Change as LimitChange, Record as LimitRecord};
pub use outage::{Outage, Read};
pub use usage::Usage;

/// Slowdown from which an endpoint gets no new work while others hold its layers,
/// because it delays every token of every stream that passes through it.
const SLOW_THRESHOLD: f64 = 6.0;

/// Smallest change in slowdown that is announced to peers.
const MIN_ANNOUNCED_SLOWDOWN_CHANGE: f64 = 0.25;

/// One hop of a chain: an endpoint and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The endpoint.
    pub id: Arc<str>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Incarnation of the endpoint, which changes with each restart.
    pub incarnation: u64,
    /// Layers that it runs.
    pub layers: Layers,
}

/// An incarnation of an endpoint: the key of its id, see [`name_key`], and its start.
pub type Incarnation = (u64, u64);

/// The hops of one request, in layer order.
pub type Chain = SmallVec<[Hop; 12]>;

/// An endpoint and its state as seen by this router.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its directory entry.
    pub endpoint: Endpoint,
    /// Usage by this router.
    own_usage: Usage,
    /// KV cache that it reported in use beyond the known usage.
    untracked_cache: UntrackedCache,
    /// Reported slowdown relative to the nominal speed of its card; 1 is nominal.
    slowdown: f64,
    /// Heartbeat number of the directory entry at the time of the latest report. An
    /// entry with this number is older than the report, so its layers are ignored.
    heartbeat_at_report: Option<u64>,
    /// Time of the latest observation by this router or a peer.
    observed_at: Instant,
    /// Last time that a request passing through it made progress.
    last_progress: Instant,
    /// Streams of this router that pass through it.
    active_streams: u32,
    /// Whether it has said in an answer that it is leaving; its directory entry may say so
    /// later or never.
    said_leaving: bool,
    /// When it was first found unresponsive, if it has not responded since.
    dead_since: Option<Instant>,
    /// End of its latest ejection after a failure.
    ejected_until: Instant,
    /// End of its latest pause: it gets no new work for a time after it refused a request
    /// for lack of memory.
    cache_full_until: Instant,
    /// End of the rest that it asked this router for: it gets no requests until then.
    resting_until: Instant,
    /// Length of its latest pause for lack of memory.
    cache_full_pause: Duration,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// Share of recent answers that failed.
    failure_rate: f64,
    /// When it joined the directory, if it already held layers then.
    joined_with_layers_at: Option<Instant>,
    /// Whether it is kept though the directory does not list it.
    is_missing: bool,
    /// Begin of the latest read of its entry.
    listed_at: Instant,
    /// A time after which its entry was written: an earlier read showed an older heartbeat.
    written_after: Instant,
}

/// Changes found in a read of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryChange {
    /// Endpoints that appeared or restarted.
    pub joined: Vec<Arc<str>>,
    /// Endpoints that started draining.
    pub leaving: Vec<Arc<str>>,
    /// Endpoints that were removed.
    pub gone: Vec<Arc<str>>,
    /// Endpoints without an entry that are kept, each once.
    pub kept: Vec<Arc<str>>,
    /// Endpoints whose layers changed.
    pub layers_changed: Vec<Arc<str>>,
    /// Endpoints of which anything else changed but the status and the heartbeat.
    pub changed: Vec<Arc<str>>,
}

/// The state of an endpoint as given by one of its reports, for peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Key of the endpoint, see [`name_key`].
    pub endpoint: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Layers that it holds.
    pub layers: Option<Layers>,
    /// Slowdown relative to the nominal speed of its card; 1 is nominal.
    pub pace: f32,
    /// Age of the report.
    pub age: Duration,
}

/// The endpoints of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    members: BTreeMap<Arc<str>, Member>,
    /// Usage by all peers.
    peer_usage: PeerUsage,
    /// Average time between two events of a stream.
    mean_interval: liveness::EventInterval,
    /// Limits that endpoints name.
    limits: Limits,
    /// This router's share of the link between zones.
    link: Link,
    /// What endpoints without an entry have said of themselves.
    said: said::Memory,
}

/// Hash of a directory, the same on every router that relies on equal entries. Heartbeats,
/// which change all the time, are left out.
pub fn fingerprint(entries: &[Endpoint]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for entry in entries {
        Endpoint { heartbeat: 0, ..entry.clone() }.hash(&mut hasher);
    }
    hasher.finish()
}

/// Hash of a name, such as an endpoint's id, which stands for it in digests.
pub fn name_key(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
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
            joined_with_layers_at: endpoint.layers.map(|_| now),
            endpoint,
            own_usage: Usage::default(),
            untracked_cache: UntrackedCache::default(),
            slowdown: 1.0,
            heartbeat_at_report: None,
            observed_at: Instant::ZERO,
            last_progress: now,
            active_streams: 0,
            said_leaving: false,
            dead_since: None,
            ejected_until: Instant::ZERO,
            cache_full_until: Instant::ZERO,
            resting_until: Instant::ZERO,
            cache_full_pause: Duration::ZERO,
            consecutive_failures: 0,
            failure_rate: 0.0,
            is_missing: false,
            listed_at: Instant::ZERO,
            written_after: Instant::ZERO,
        }
    }

    /// Applies an observation, which takes precedence over the directory entry;
    /// returns whether anything changed.
    fn apply(&mut self, observation: &Observation, now: Instant) -> bool {
        let at = now - observation.age;
        if self.endpoint.incarnation != observation.incarnation || at <= self.observed_at {
            return false;
        }
        self.observed_at = at;
        if self.dead_since.is_some_and(|since| since < at) {
            self.dead_since = None;
        }
        let slowdown = f64::from(observation.pace);
        let changed = self.endpoint.layers != observation.layers
            || (self.slowdown - slowdown).abs() > MIN_ANNOUNCED_SLOWDOWN_CHANGE;
        self.endpoint.layers = observation.layers;
        self.slowdown = slowdown;
        self.heartbeat_at_report = Some(self.endpoint.heartbeat);
        changed
    }

    /// Whether the directory lists it as ready for new work and it has not said otherwise.
    pub fn takes_work(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready && !self.said_leaving
    }

    /// Whether it takes new work and is not marked dead.
    pub fn is_alive(&self) -> bool {
        self.takes_work() && self.dead_since.is_none()
    }

    /// Whether it is preferred for new work: alive, not ejected and not slow.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_alive() && now >= self.ejected_until && !self.is_slow()
    }

    /// Whether its slowdown has reached `SLOW_THRESHOLD`. It is then used only if some
    /// layer has no usable holder.
    pub fn is_slow(&self) -> bool {
        self.slowdown >= SLOW_THRESHOLD
    }

    /// A hop with all layers of the endpoint; `None` while it holds none.
    pub fn hop(&self) -> Option<Hop> {
        let Endpoint { id, address, incarnation, layers, .. } = &self.endpoint;
        let (address, incarnation) = (*address, *incarnation);
        layers.map(|layers| Hop { id: id.clone(), address, incarnation, layers })
    }

    /// A hop with placeholder layers if the endpoint holds none, as one of a plain service.
    pub fn address_hop(&self) -> Hop {
        let Endpoint { id, address, incarnation, layers, .. } = &self.endpoint;
        let placeholder = || Layers::try_from((0, 1)).expect("the range is not empty");
        let layers = layers.unwrap_or_else(placeholder);
        Hop { id: id.clone(), address: *address, incarnation: *incarnation, layers }
    }

    /// Its key and its incarnation.
    pub fn key(&self) -> Incarnation {
        (name_key(&self.endpoint.id), self.endpoint.incarnation)
    }

    /// Reported slowdown relative to the nominal speed of its card; 1 is nominal.
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// When it joined the directory, if it already held layers then.
    pub const fn joined_with_layers_at(&self) -> Option<Instant> {
        self.joined_with_layers_at
    }
}

impl Fleet {
    /// Applies the directory as given by a read whose answer is known at `now`.
    ///
    /// Endpoints whose entries may have lapsed in an outage of the store are kept without one,
    /// since they need time to register again.
    pub fn apply_directory(
        &mut self,
        entries: Vec<Endpoint>,
        read: Read,
        now: Instant,
    ) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        let mut listed = std::collections::HashSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            self.apply_entry(entry, read.began, now, &mut change);
        }
        let missing = self.members.iter_mut().filter(|(id, _)| !listed.contains(*id));
        for (id, member) in missing {
            if !read.may_miss(member, now) {
                change.gone.push(id.clone());
            } else if !std::mem::replace(&mut member.is_missing, true) {
                change.kept.push(id.clone());
            }
        }
        self.remove_gone(&change, now);
        change
    }

    /// Applies that a later read shows the same entries as the one before.
    pub fn confirm_directory(&mut self, read: Read, now: Instant) -> DirectoryChange {
        let mut change = DirectoryChange::default();
        let missing = self.members.iter().filter(|(_, member)| member.is_missing);
        let gone = missing.filter(|(_, member)| !read.may_miss(member, now));
        change.gone.extend(gone.map(|(id, _)| id.clone()));
        self.remove_gone(&change, now);
        change
    }

    /// Whether any endpoint is kept without an entry.
    pub fn keeps_missing(&self) -> bool {
        self.members.values().any(|member| member.is_missing)
    }

    fn remove_gone(&mut self, change: &DirectoryChange, now: Instant) {
        for id in &change.gone {
            if let Some(member) = self.members.remove(id) {
                self.said.keep(&member, now);
            }
        }
    }

    fn apply_entry(
        &mut self,
        entry: Endpoint,
        read_at: Instant,
        now: Instant,
        change: &mut DirectoryChange,
    ) {
        let id = entry.id.clone();
        let known = self.members.get(&id).map(|member| member.endpoint.incarnation);
        if known.is_none_or(|known| known < entry.incarnation) {
            let mut member = Member::new(entry, now);
            member.listed_at = read_at;
            // An old copy of the store may list a process that has been replaced.
            if !self.said.is_replaced(member.key(), now) {
                self.said.recall(&mut member, now);
                change.joined.push(id.clone());
                self.members.insert(id, member);
            }
            return;
        }
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.endpoint.incarnation != entry.incarnation {
            return;
        }
        if entry.status == EndpointStatus::Draining
            && member.endpoint.status == EndpointStatus::Ready
        {
            change.leaving.push(id.clone());
        }
        member.is_missing = false;
        if entry.heartbeat < member.endpoint.heartbeat {
            return;
        }
        if entry.heartbeat > member.endpoint.heartbeat {
            member.written_after = member.listed_at;
        }
        member.listed_at = read_at;
        let mut entry = entry;
        if member.heartbeat_at_report == Some(entry.heartbeat) {
            entry.layers = member.endpoint.layers;
        }
        let Endpoint { heartbeat, status, layers, .. } = entry;
        let known = std::mem::replace(&mut member.endpoint, entry);
        if layers != known.layers {
            change.layers_changed.push(id.clone());
        }
        if member.endpoint != (Endpoint { heartbeat, status, layers, ..known }) {
            change.changed.push(id);
        }
    }

    /// Whether reports have said something else than these entries. Which of the two is older
    /// shows from the heartbeat of a newer entry.
    pub fn contradicts(&self, entries: &[Endpoint]) -> bool {
        entries.iter().any(|entry| {
            let member = self.members.get(&entry.id).map(|member| &member.endpoint);
            member.is_some_and(|known| {
                known.incarnation == entry.incarnation && known.layers != entry.layers
            })
        })
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

    /// Records that endpoints have said that they are leaving; returns those of which that
    /// is new. One without an entry has no id here.
    pub fn record_leaving(&mut self, endpoints: &[Incarnation], now: Instant) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for endpoint in endpoints {
            let member = self.members.values_mut().find(|member| member.key() == *endpoint);
            if let Some(member) = member {
                if !std::mem::replace(&mut member.said_leaving, true) {
                    changed.push(member.endpoint.id.clone());
                }
            } else if let Some(process) = self.said.entry(*endpoint, now)
                && !std::mem::replace(&mut process.leaving, true)
            {
                changed.push("unknown".into());
            }
        }
        changed
    }

    /// The endpoints that have said that they are leaving, for peers.
    pub fn leaving(&self, now: Instant) -> Vec<Incarnation> {
        let listed = self.members.values().filter(|member| member.said_leaving);
        let mut leaving: Vec<_> = listed.map(Member::key).collect();
        leaving.extend(self.said.leaving(now));
        leaving.sort_unstable();
        leaving.dedup();
        leaving
    }

    /// Applies an endpoint's report; returns an observation to send to peers if
    /// anything changed.
    pub fn apply_report(&mut self, id: &str, report: &Report, now: Instant) -> Option<Observation> {
        let observation = Observation {
            age: Duration::ZERO,
            endpoint: name_key(id),
            incarnation: report.incarnation,
            layers: report.layers,
            pace: report.slowdown.max(1.0) as f32,
        };
        let member = self.members.get_mut(id)?;
        if member.endpoint.incarnation < report.incarnation {
            self.said.entry((observation.endpoint, report.incarnation), now);
        }
        member.apply(&observation, now).then_some(observation)
    }

    /// Applies a peer's observation; returns the endpoint's id if anything changed.
    pub fn apply_observation(
        &mut self,
        observation: &Observation,
        now: Instant,
    ) -> Option<Arc<str>> {
        let member =
            self.members.values_mut().find(|m| name_key(&m.endpoint.id) == observation.endpoint)?;
        member.apply(observation, now).then(|| member.endpoint.id.clone())
    }
}
