//! Tests of the discovery of routers through digests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use mimosashift::fleet::{Observation, Usage};
use mimosashift::peer::{Digest, MAX_DIGEST_BYTES, Peers};
use mimosashift::time::Instant;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Interval at which each router checks which digests are due.
const STEP_MS: u64 = 50;

/// Number of zones, over which the routers are divided.
const ZONES: u16 = 4;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_000))
}

/// Names sort by zone, as those of real routers do.
fn node(n: u16) -> String {
    format!("router-{}-{n:03}", zone(n))
}

fn zone(n: u16) -> String {
    format!("zone-{}", n % ZONES)
}

fn digest(n: u16, sequence: u64, now: Instant) -> Digest {
    Digest {
        node: node(n).into(),
        zone: zone(n).into(),
        incarnation: 1,
        sequence,
        sent_at: now,
        echo: None,
        leaving: false,
        holds_placement_lease: false,
        config: None,
        store_age: Some(Duration::ZERO),
        store_lost: false,
        directory: None,
        usage: Vec::new(),
        observed: Vec::new(),
        dead: Vec::new(),
        peers: Vec::new(),
    }
}

/// Routers that exchange digests without loss.
struct Network {
    routers: BTreeMap<SocketAddr, (u16, Peers)>,
    rng: Pcg64Mcg,
    now_ms: u64,
}

impl Network {
    fn new(routers: u16, seeds: &[u16]) -> Self {
        let seeds: Vec<_> = seeds.iter().map(|n| address(*n)).collect();
        let router = |n| (address(n), (n, Peers::new(address(n), zone(n).into(), &seeds, at(0))));
        Self {
            routers: (0..routers).map(router).collect(),
            rng: Pcg64Mcg::seed_from_u64(1),
            now_ms: 0,
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    fn step(&mut self) {
        let now = at(self.now_ms);
        let mut sent = Vec::new();
        for (from, (n, peers)) in &mut self.routers {
            let shared = peers.shared_addresses(now, &mut self.rng);
            for (to, echo) in peers.due(now) {
                let sequence = peers.next_sequence();
                let digest = Digest { echo, peers: shared.clone(), ..digest(*n, sequence, now) };
                sent.push((*from, to, digest));
            }
        }
        for (from, to, digest) in sent {
            if let Some((_, peers)) = self.routers.get_mut(&to) {
                peers.on_digest(from, digest, now);
            }
        }
    }

    /// Routers that some other router does not count as alive.
    fn unknown(&self) -> BTreeSet<String> {
        let now = at(self.now_ms);
        let all: BTreeSet<_> = self.routers.values().map(|(n, _)| node(*n)).collect();
        let mut unknown = BTreeSet::new();
        for (n, peers) in self.routers.values() {
            let known: BTreeSet<_> = peers
                .alive(now)
                .map(|peer| peer.digest.node.to_string())
                .chain([node(*n)])
                .collect();
            unknown.extend(all.difference(&known).cloned());
        }
        unknown
    }
}

/// Usage that a router does not know of lets it admit requests for which engines have no
/// memory.
#[test_case(4, &[0, 1, 2]; "4 routers")]
#[test_case(25, &[0, 1, 2]; "25 routers")]
#[test_case(25, &[24, 23, 22]; "25 routers with the last ones as seeds")]
#[test_case(27, &[5]; "27 routers with one seed")]
#[test_case(27, &[5, 300, 301]; "27 routers with two seeds that are down")]
#[test_case(90, &[0, 1, 2]; "90 routers")]
fn every_router_discovers_all_others_within_5_s(routers: u16, seeds: &[u16]) {
    let mut network = Network::new(routers, seeds);
    network.run(5_000);
    assert_eq!(network.unknown(), BTreeSet::new());
}

#[test]
fn routers_stay_known_after_the_addresses_of_seeds_expire() {
    let mut network = Network::new(27, &[5, 300, 301]);
    network.run(75_000);
    assert_eq!(network.unknown(), BTreeSet::new());
}

/// Truncated digest of a router that uses, has observed and found dead this many endpoints.
fn truncated(usage: u64, observed: u64, dead: u64, rng: &mut Pcg64Mcg) -> Digest {
    // Keys are hashes, so most take as many bytes as the largest number.
    let key = |n: u64| u64::MAX - n;
    let used = Usage { cache: 1.0, prefill: 1.0, requests: 1 };
    let observation = |n| Observation {
        endpoint: key(n),
        incarnation: u64::MAX,
        layers: None,
        pace: 1.0,
        age: Duration::from_millis(500),
    };
    let mut digest = Digest {
        usage: (0..usage).map(|n| (key(n), used)).collect(),
        observed: (0..observed).map(observation).collect(),
        dead: (0..dead).map(|n| (key(n), u64::MAX)).collect(),
        ..digest(1, 1, at(0))
    };
    digest.truncate(rng);
    digest
}

#[test]
fn usage_of_all_endpoints_of_a_grown_site_fits_into_a_digest() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(truncated(100, 0, 0, &mut rng).usage.len(), 100);
}

#[test]
fn digest_of_a_router_that_sees_1000_endpoints_fits_into_a_datagram() {
    let digest = truncated(1_000, 1_000, 1_000, &mut Pcg64Mcg::seed_from_u64(1));
    let bytes = postcard::to_stdvec(&digest).unwrap().len();
    assert!(bytes <= MAX_DIGEST_BYTES, "{bytes} bytes");
}

/// A router sends at least ten digests in the 3 s for which an observation is shared.
#[test]
fn every_dead_or_observed_endpoint_is_named_in_some_of_10_digests() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (mut dead, mut observed) = (BTreeSet::new(), BTreeSet::new());
    for _ in 0..10 {
        let digest = truncated(0, 200, 16, &mut rng);
        dead.extend(digest.dead);
        observed.extend(digest.observed.iter().map(|seen| seen.endpoint));
    }
    assert_eq!((dead.len(), observed.len()), (16, 200));
}
