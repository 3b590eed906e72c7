//! Other routers: who they are, what they use, what they know.
//!
//! Soft state only. Each router sends every other one a digest at a fixed
//! budget of bytes; see `docs/design/peers.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{Observation, Usage};
use crate::freshness::PeerConfirmation;
use crate::time::Instant;

/// Shortest time between two digests to a peer of the own zone.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest such time: what peers use would be too old to admit requests by.
const MAX_INTERVAL: Duration = Duration::from_millis(300);

/// Rounds of digests to the own zone for one to all zones: requests run in
/// their own zone for the most part.
const ROUNDS_PER_FAR: u64 = 3;

/// Bytes a second that a router means to spend on digests: under the 16 KB/s
/// that all control traffic may take.
const BYTES_PER_S: u64 = 12_000;

/// Silence after which a peer counts as dead: several digests.
const DEAD_AFTER: Duration = Duration::from_millis(1_500);

/// Time without the store after which a router no longer reads it for others:
/// more than the time between two readings.
const READER_STALE: Duration = Duration::from_millis(1_500);

/// Time without the store after which a router orders no more layers, if
/// another one reaches the store: its view of the endpoints is old.
pub const STORE_LOST: Duration = Duration::from_millis(2_000);

/// Silence after which a router is no longer relied on to read the store: some
/// digests, and well within the time in which a configuration takes hold.
const READER_SILENT: Duration = Duration::from_millis(700);

/// Silence after which a peer's address is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Addresses of other routers in one digest.
const SHARED_ADDRESSES: usize = 8;

/// Endpoints in one digest; those that are used most go first.
const MAX_USAGE: usize = 64;

/// Dead endpoints in one digest; more at once are a cut, which each router
/// finds by itself.
const MAX_DEAD: usize = 8;

/// What a router tells a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Its name.
    pub node: Arc<str>,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Drawn at each start, rising.
    pub incarnation: u64,
    /// Rises with every digest.
    pub sequence: u64,
    /// The sender's clock, to be returned.
    pub stamp: Instant,
    /// The receiver's stamp that arrived last.
    pub echo: Option<Instant>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it holds the lease on placement.
    pub leads: bool,
    /// What it knows of the configuration.
    pub config: Option<Config>,
    /// Time since it last reached the store.
    pub store_age: Option<Duration>,
    /// Whether its last call to the store failed.
    pub store_lost: bool,
    /// What it knows of the directory.
    pub directory: Option<Directory>,
    /// What it uses of endpoints.
    pub usage: Vec<(u64, Usage)>,
    /// What it has seen change of endpoints lately.
    pub observed: Vec<Observation>,
    /// Endpoints that gave it no answer, with their incarnations.
    pub dead: Vec<(u64, u64)>,
    /// Addresses of other routers.
    pub peers: Vec<SocketAddr>,
}

/// What a router knows of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Revision in force.
    pub revision: u64,
    /// Time since it was last known to be the newest.
    pub age: Option<Duration>,
}

/// What a router knows of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Stands for the endpoints, their starts and whether they leave.
    pub fingerprint: u64,
    /// Time since the store showed it.
    pub age: Duration,
}

/// A peer as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its last digest.
    pub digest: Digest,
    /// When that arrived.
    pub heard: Instant,
}

/// What a digest led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The peer is new or started anew.
    Joined,
    /// The peer goes on.
    Renewed,
    /// The digest is older than one that arrived.
    Outdated,
}

/// The routers that this one knows.
#[derive(Debug)]
pub struct Peers {
    own: SocketAddr,
    zone: Arc<str>,
    known: BTreeMap<Arc<str>, Peer>,
    /// Addresses to greet, with the time until which they are worth it.
    addresses: BTreeMap<SocketAddr, Instant>,
    sequence: u64,
    rounds: u64,
    next: Instant,
    last_bytes: usize,
}

impl Peers {
    /// Starts with the addresses of the settings.
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
        peers.learn(seeds, now);
        peers
    }

    /// Takes in addresses of routers.
    pub fn learn(&mut self, addresses: &[SocketAddr], now: Instant) {
        for address in addresses.iter().filter(|address| **address != self.own) {
            self.addresses.entry(*address).or_insert(now + FORGET_AFTER);
        }
    }

    /// Peers that count as alive, by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(move |peer| peer.is_alive(now))
    }

    /// Whether a router is known and alive.
    pub fn is_alive(&self, node: &str, now: Instant) -> bool {
        self.known.get(node).is_some_and(|peer| peer.is_alive(now))
    }

    /// Whether a live router has lost the store while another one reaches it.
    pub fn is_without_store(&self, node: &str, now: Instant) -> bool {
        let lost = self.known.get(node).is_some_and(|peer| {
            let old = peer.store_age(now).is_none_or(|age| age > STORE_LOST);
            peer.is_alive(now) && peer.digest.store_lost && old
        });
        lost && self.reaches_store(now)
    }

    /// Whether a live peer reaches the store.
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.alive(now).any(|peer| peer.store_age(now).is_some_and(|age| age < READER_STALE))
    }

    /// Whether a router was known and has gone silent.
    pub fn is_dead(&self, node: &str, now: Instant) -> bool {
        self.known.get(node).is_some_and(|peer| !peer.is_alive(now))
    }

    /// The addresses to send a digest to now, with the stamp to return to
    /// each; empty while none is due.
    pub fn due(&mut self, now: Instant) -> Vec<(SocketAddr, Option<Instant>)> {
        if now < self.next {
            return Vec::new();
        }
        self.known.retain(|_, peer| now.since(peer.heard) < FORGET_AFTER);
        self.addresses.retain(|_, until| now < *until);
        let all = self.rounds.is_multiple_of(ROUNDS_PER_FAR);
        self.rounds += 1;
        let mut due = Vec::new();
        for address in self.addresses.keys() {
            let peer = self.known.values().find(|peer| peer.address == *address);
            if all || peer.is_some_and(|peer| peer.digest.zone == self.zone) {
                due.push((*address, peer.map(|peer| peer.digest.stamp)));
            }
        }
        self.next = now + interval(due.len(), self.last_bytes);
        due
    }

    /// The router of the own zone that reads the store for `node`, if another
    /// one does: the first by name that is alive and reaches the store.
    pub fn reader(&self, node: &str, now: Instant) -> Option<&Peer> {
        let reads = |peer: &&Peer| {
            let age = peer.store_age(now);
            peer.digest.zone == self.zone
                && now.since(peer.heard) < READER_SILENT
                && age.is_some_and(|age| age < READER_STALE)
        };
        self.alive(now).find(reads).filter(|peer| &*peer.digest.node < node)
    }

    /// The number of the next digest.
    pub fn number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Notes how large a digest was, which sets their rate.
    pub fn sent(&mut self, bytes: usize) {
        self.last_bytes = bytes;
    }

    /// Addresses of routers that are alive, for digests.
    pub fn share(&self, now: Instant) -> Vec<SocketAddr> {
        self.alive(now).map(|peer| peer.address).take(SHARED_ADDRESSES).collect()
    }

    /// Takes in a digest.
    pub fn hear(&mut self, from: SocketAddr, digest: Digest, now: Instant) -> Event {
        self.learn(&digest.peers, now);
        self.addresses.insert(from, now + FORGET_AFTER);
        let order = |digest: &Digest| (digest.incarnation, digest.sequence);
        let event = match self.known.get(&digest.node) {
            Some(known) if order(&known.digest) >= order(&digest) => return Event::Outdated,
            Some(known) if known.digest.incarnation == digest.incarnation => Event::Renewed,
            _ => Event::Joined,
        };
        let peer = Peer { address: from, digest, heard: now };
        self.known.insert(peer.digest.node.clone(), peer);
        event
    }
}

/// Time between two rounds of digests that keeps within the budget of bytes.
fn interval(peers: usize, bytes: usize) -> Duration {
    let bytes = (peers * bytes) as u64;
    Duration::from_micros(bytes * 1_000_000 / BYTES_PER_S).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

impl Peer {
    /// Time since it last reached the store.
    fn store_age(&self, now: Instant) -> Option<Duration> {
        self.digest.store_age.map(|age| age + now.since(self.heard))
    }

    /// Whether it counts as alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        !self.digest.leaving && now.since(self.heard) < DEAD_AFTER
    }
}

impl Digest {
    /// The confirmation of the configuration that it passes on, if it returns
    /// a stamp from which its age can be counted.
    pub fn relayed(&self) -> Option<PeerConfirmation> {
        let Config { revision, age } = self.config?;
        Some(PeerConfirmation { request_sent: self.echo?, revision, age: age? })
    }

    /// Keeps the use of the endpoints that are used most, and a few dead ones.
    pub fn limit(&mut self) {
        self.dead.truncate(MAX_DEAD);
        if self.usage.len() > MAX_USAGE {
            self.usage.sort_by(|a, b| b.1.cache.total_cmp(&a.1.cache));
            self.usage.truncate(MAX_USAGE);
        }
    }
}
