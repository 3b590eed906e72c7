//! Gossip with other routers: their liveness, endpoint usage and view of the
//! store.
//!
//! All of it is soft state. Each router sends a digest to every other one
//! within a fixed byte rate; see `docs/design/peers.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::{IteratorRandom, SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Incarnation, LimitRecord, LinkRecord, Observation, Usage};
use crate::freshness::PeerConfirmation;
use crate::quarantine;
use crate::time::Instant;

mod reader;
pub mod wire;

pub use reader::MAX_DIRECTORY_AGE;
pub use wire::Format;

/// Minimum time between two digests to a peer in the same zone.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time between two digests to a peer in the same zone; with a longer
/// one the usage of peers would be too old for admission decisions.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Every this many rounds a digest goes to all zones instead of only the own
/// one; most requests are served within their zone.
const ROUNDS_PER_REMOTE: u64 = 3;

/// Target rate for digests, below the 16 KB/s allowed for all control
/// traffic.
const DIGEST_BYTES_PER_S: u64 = 12_000;

/// Time without a digest after which a peer counts as dead; several digest
/// intervals.
const DEAD_AFTER: Duration = Duration::from_millis(1_500);

/// Age of the last store contact above which a router no longer reads the store
/// for others; longer than the interval between two reads.
const READER_MAX_STORE_AGE: Duration = Duration::from_millis(1_500);

/// Time without contact to the store after which a router no longer places
/// layers if another one reaches the store, because its view of the endpoints
/// is out of date.
pub const STORE_LOST_AFTER: Duration = Duration::from_millis(2_000);

/// Time without a digest after which a router is no longer relied on to read
/// the store: a few digest intervals, and well below the time within which a
/// configuration must take effect.
const READER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a peer or its address is kept without a digest.
const PEER_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of router addresses in one digest.
const ADDRESSES_PER_DIGEST: usize = 8;

/// Maximum number of endpoints with usage in one digest; the most used are kept. Usage
/// that peers do not know of lets them overload an endpoint.
const MAX_USAGE_ENTRIES: usize = 256;

/// Maximum number of observations in one digest.
const MAX_OBSERVATIONS: usize = 128;

/// Maximum number of dead endpoints in one digest; more at once indicate a
/// network partition, which each router detects by itself.
const MAX_DEAD_ENDPOINTS: usize = 8;

/// Maximum number of leaving endpoints in one digest; more leave at once only when a whole
/// zone does, which the directory shows.
const MAX_LEAVING_ENDPOINTS: usize = 32;

/// Maximum number of contents in one digest that are there for their crashes;
/// those of the others that are there change from digest to digest.
const MAX_CRASHING_CONTENTS: usize = 8;

/// Maximum number of other contents in one digest.
const MAX_OTHER_CONTENTS: usize = 8;

/// Maximum number of limits of endpoints in one digest.
const MAX_LIMITS: usize = 64;

/// Largest encoded digest.
pub const MAX_DIGEST_BYTES: usize = 16 * 1024;

/// State that a router sends to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Name of the sender.
    pub node: Arc<str>,
    /// Failure domain of the sender.
    pub zone: Arc<str>,
    /// Incarnation number of the process; increases with each start.
    pub incarnation: u64,
    /// Sequence number; increases with each digest.
    pub sequence: u64,
    /// Send time by the clock of the sender, which the receiver echoes.
    pub sent_at: Instant,
    /// Last timestamp received from the receiver of this digest.
    pub echo: Option<Instant>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender holds the placement lease.
    pub holds_placement_lease: bool,
    /// Configuration known to the sender.
    pub config: Option<Config>,
    /// Time since the sender last reached the store.
    pub store_age: Option<Duration>,
    /// Whether the last call of the sender to the store failed.
    pub store_lost: bool,
    /// Endpoint directory known to the sender.
    pub directory: Option<Directory>,
    /// Resources of endpoints that the sender uses, by endpoint.
    pub usage: Vec<(u64, Usage)>,
    /// Recent changes of endpoints that the sender has observed.
    pub observed: Vec<Observation>,
    /// Endpoints that did not answer the sender, with their incarnations.
    pub dead: Vec<Incarnation>,
    /// Keys of the services whose endpoints the sender does not reach, see
    /// [`name_key`](crate::fleet::name_key).
    pub unreachable: Vec<u64>,
    /// Endpoints that have said that they are leaving, with their incarnations.
    pub leaving_endpoints: Vec<Incarnation>,
    /// Contents of requests that may crash endpoints.
    pub suspects: Vec<quarantine::Record>,
    /// Limits that endpoints name, and the demand of the sender.
    pub limits: Vec<LimitRecord>,
    /// The sender's use of the link between zones; `None` if its build tells none.
    pub link: Option<LinkRecord>,
    /// Addresses of other routers.
    pub peers: Vec<SocketAddr>,
    /// Commit from which the sender was built; `None` if it is older than this field.
    pub build: Option<Arc<str>>,
    /// Which digests the sender writes and reads.
    pub format: Format,
}

/// A digest that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Last timestamp received from it.
    pub echo: Option<Instant>,
    /// Which digests it reads; the one that all builds read if it is not known yet.
    pub format: Format,
}

/// Configuration known to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Revision in force.
    pub revision: u64,
    /// Time since it was last confirmed as the newest.
    pub age: Option<Duration>,
}

/// Endpoint directory known to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Hash of its entries, see [`fingerprint`](crate::fleet::fingerprint).
    pub fingerprint: u64,
    /// Time since the directory was read from the store.
    pub age: Duration,
}

/// A peer according to its last digest.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address on which the peer listens.
    pub address: SocketAddr,
    /// Last digest received.
    pub digest: Digest,
    /// Arrival time of the last digest.
    pub last_digest_at: Instant,
}

/// Effect of a received digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The peer is new or has restarted.
    Joined,
    /// The peer was known and is still alive.
    Renewed,
    /// The digest is older than one already received; ignored.
    Outdated,
}

/// Peers known to a router.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    zone: Arc<str>,
    known: BTreeMap<Arc<str>, Peer>,
    /// Addresses that receive digests, with the time at which they expire.
    addresses: BTreeMap<SocketAddr, Instant>,
    sequence: u64,
    rounds: u64,
    next: Instant,
    last_bytes: usize,
}

impl Peers {
    /// Creates a peer table that knows only the seed addresses.
    pub fn new(own: SocketAddr, zone: Arc<str>, seeds: &[SocketAddr], now: Instant) -> Self {
        let mut peers = Self {
            own,
            zone,
            known: BTreeMap::new(),
            addresses: BTreeMap::new(),
            sequence: 0,
            rounds: 0,
            next: now,
            last_bytes: 0,
        };
        peers.add_addresses(seeds, now);
        peers
    }

    /// Adds addresses of routers.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr], now: Instant) {
        for address in addresses.iter().filter(|address| **address != self.own) {
            self.addresses.entry(*address).or_insert(now + PEER_RETENTION);
        }
    }

    /// Peers that count as alive, ordered by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(move |peer| peer.is_alive(now))
    }

    /// Whether a router is known and alive.
    pub fn is_alive(&self, node: &str, now: Instant) -> bool {
        self.known.get(node).is_some_and(|peer| peer.is_alive(now))
    }

    /// Whether a live router has lost the store while another peer reaches it.
    pub fn has_lost_store(&self, node: &str, now: Instant) -> bool {
        let lost = self.known.get(node).is_some_and(|peer| {
            let stale = peer.store_age(now).is_none_or(|age| age > STORE_LOST_AFTER);
            peer.is_alive(now) && peer.digest.store_lost && stale
        });
        lost && self.reaches_store(now)
    }

    /// Whether a live peer reaches the store.
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.alive(now)
            .any(|peer| peer.store_age(now).is_some_and(|age| age < READER_MAX_STORE_AGE))
    }

    /// Keys of the services whose endpoints a live router does not reach.
    pub fn unreachable_at(&self, node: &str, now: Instant) -> &[u64] {
        let peer = self.known.get(node).filter(|peer| peer.is_alive(now));
        peer.map_or(&[], |peer| &peer.digest.unreachable)
    }

    /// Live peers that reach endpoints of a service and take relayed requests.
    pub fn reaching(&self, service: u64, now: Instant) -> impl Iterator<Item = &Peer> {
        let reaching = move |peer: &&Peer| {
            peer.takes_relayed_requests() && !peer.digest.unreachable.contains(&service)
        };
        self.alive(now).filter(reaching)
    }

    /// Whether a router is known but no longer alive.
    pub fn is_dead(&self, node: &str, now: Instant) -> bool {
        self.known.get(node).is_some_and(|peer| !peer.is_alive(now))
    }

    /// Digests that are due; empty if no round is.
    pub fn due(&mut self, now: Instant) -> Vec<Due> {
        if now < self.next {
            return Vec::new();
        }
        self.known.retain(|_, peer| now.since(peer.last_digest_at) < PEER_RETENTION);
        self.addresses.retain(|_, expires| now < *expires);
        let all = self.rounds.is_multiple_of(ROUNDS_PER_REMOTE);
        self.rounds += 1;
        let mut due = Vec::new();
        for address in self.addresses.keys() {
            let peer = self.known.values().find(|peer| peer.address == *address);
            if all || peer.is_some_and(|peer| peer.digest.zone == self.zone) {
                due.push(Due {
                    to: *address,
                    echo: peer.map(|peer| peer.digest.sent_at),
                    format: peer.map(|peer| peer.digest.format).unwrap_or_default(),
                });
            }
        }
        self.next = now + round_interval(due.len(), self.last_bytes);
        due
    }

    /// Makes the next round of digests due at once, and at all peers.
    pub fn expedite(&mut self, now: Instant) {
        self.next = now;
        self.rounds = self.rounds.next_multiple_of(ROUNDS_PER_REMOTE);
    }

    /// The router in the own zone that reads the store on behalf of `node`: the
    /// first by name that is alive and reaches the store. `None` if `node` has
    /// to read the store itself.
    pub fn store_reader(&self, node: &str, now: Instant) -> Option<&Peer> {
        let reads = |peer: &&Peer| {
            let age = peer.store_age(now);
            peer.digest.zone == self.zone
                && now.since(peer.last_digest_at) < READER_TIMEOUT
                && age.is_some_and(|age| age < READER_MAX_STORE_AGE)
        };
        self.alive(now).find(reads).filter(|peer| &*peer.digest.node < node)
    }

    /// Returns the sequence number for the next digest.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Records the size of a digest, which determines the interval between
    /// rounds.
    pub fn record_size(&mut self, bytes: usize) {
        self.last_bytes = bytes;
    }

    /// Addresses of live routers to include in a digest: a random sample, so that peers
    /// learn of every router after a few digests.
    pub fn shared_addresses(&self, now: Instant, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        self.alive(now).map(|peer| peer.address).sample(rng, ADDRESSES_PER_DIGEST)
    }

    /// Applies a received digest.
    pub fn on_digest(&mut self, from: SocketAddr, digest: Digest, now: Instant) -> Event {
        self.add_addresses(&digest.peers, now);
        self.addresses.insert(from, now + PEER_RETENTION);
        let version = |digest: &Digest| (digest.incarnation, digest.sequence);
        let event = match self.known.get(&digest.node) {
            Some(known) if version(&known.digest) >= version(&digest) => return Event::Outdated,
            Some(known) if known.digest.incarnation == digest.incarnation => Event::Renewed,
            _ => Event::Joined,
        };
        let peer = Peer { address: from, digest, last_digest_at: now };
        self.known.insert(peer.digest.node.clone(), peer);
        event
    }
}

/// Interval between two rounds of digests that keeps to [`DIGEST_BYTES_PER_S`].
fn round_interval(peers: usize, bytes: usize) -> Duration {
    let bytes = (peers * bytes) as u64;
    Duration::from_micros(bytes * 1_000_000 / DIGEST_BYTES_PER_S)
        .clamp(MIN_DIGEST_INTERVAL, MAX_DIGEST_INTERVAL)
}

impl Peer {
    /// Time since the peer last reached the store.
    fn store_age(&self, now: Instant) -> Option<Duration> {
        self.digest.store_age.map(|age| age + now.since(self.last_digest_at))
    }

    /// Time since the peer last confirmed its configuration; `None` if it has none.
    pub fn config_age(&self, now: Instant) -> Option<Duration> {
        let age = self.digest.config?.age?;
        Some(age + now.since(self.last_digest_at))
    }

    /// Whether the peer takes requests of routers that reach no endpoint. Older builds have
    /// no port for them, and do not tell which services they reach.
    pub fn takes_relayed_requests(&self) -> bool {
        self.digest.format != Format::ShortLists
    }

    /// Whether the peer counts as alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.digest.leaving && now.since(self.last_digest_at) < DEAD_AFTER
    }
}

impl Digest {
    /// Confirmation of the configuration by the sender, if the digest echoes a
    /// timestamp from which its age can be determined.
    pub fn confirmation(&self) -> Option<PeerConfirmation> {
        let Config { revision, age } = self.config?;
        Some(PeerConfirmation { request_sent: self.echo?, revision, age: age? })
    }

    /// Limits the size of the digest. Of the usage the largest entries are kept; of the
    /// dead and leaving endpoints, the observations and the limits a random part, so that later digests
    /// contain the others.
    pub fn truncate(&mut self, rng: &mut Pcg64Mcg) {
        keep_random(&mut self.dead, MAX_DEAD_ENDPOINTS, rng);
        keep_random(&mut self.leaving_endpoints, MAX_LEAVING_ENDPOINTS, rng);
        keep_random(&mut self.observed, MAX_OBSERVATIONS, rng);
        keep_random(&mut self.limits, MAX_LIMITS, rng);
        self.suspects.sort_by_key(|record| Reverse(record.crashes.len()));
        let mut others = self.suspects.split_off(MAX_CRASHING_CONTENTS.min(self.suspects.len()));
        keep_random(&mut others, MAX_OTHER_CONTENTS, rng);
        self.suspects.append(&mut others);
        if self.usage.len() > MAX_USAGE_ENTRIES {
            self.usage.sort_by(|a, b| b.1.cache.total_cmp(&a.1.cache));
            self.usage.truncate(MAX_USAGE_ENTRIES);
        }
    }
}

fn keep_random<T>(items: &mut Vec<T>, count: usize, rng: &mut Pcg64Mcg) {
    if items.len() > count {
        items.shuffle(rng);
        items.truncate(count);
    }
}
