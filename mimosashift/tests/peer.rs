//! Tests of digests: the peers that they show, their size, and the discovery of
//! routers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use mimosashift::exchange::PromptPart;
use mimosashift::fleet::{LimitRecord, Observation, Usage};
use mimosashift::freshness::PeerConfirmation;
use mimosashift::peer::wire::encode;
use mimosashift::peer::{Config, Digest, Directory, Due, Event, Format, MAX_DIGEST_BYTES, Peers};
use mimosashift::quarantine::{Content, Record};
use mimosashift::time::Instant;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Interval at which each router checks which digests are due.
const STEP_MS: u64 = 50;

/// Number of zones, over which the routers are divided.
const ZONES: u16 = 4;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
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

fn digest(node: &str, incarnation: u64, sequence: u64) -> Digest {
    Digest {
        node: node.into(),
        zone: "a".into(),
        incarnation,
        sequence,
        sent_at: at(0),
        echo: None,
        leaving: false,
        holds_placement_lease: false,
        config: None,
        store_age: Some(Duration::ZERO),
        store_lost: false,
        unreachable: Vec::new(),
        leaving_endpoints: Vec::new(),
        directory: None,
        usage: Vec::new(),
        observed: Vec::new(),
        dead: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        link: None,
        peers: Vec::new(),
        build: None,
        format: Format::Parts,
    }
}

/// Receivers of the digests that are due, with the timestamps to echo to them.
fn due(peers: &mut Peers, now: Instant) -> Vec<(SocketAddr, Option<Instant>)> {
    peers.due(now).into_iter().map(|due| (due.to, due.echo)).collect()
}

fn peers() -> Peers {
    Peers::new(address(1), "a".into(), &[address(2), address(1)], at(0))
}

#[test]
fn seeds_are_contacted_and_become_peers_when_they_respond() {
    let mut peers = peers();
    assert_eq!(due(&mut peers, at(0)), [(address(2), None)]);
    assert_eq!(due(&mut peers, at(50)), [], "not before the interval is over");
    let mut received = digest("r2", 1, 1);
    received.sent_at = at(40);
    received.peers = vec![address(3)];
    assert_eq!(peers.on_digest(address(2), received, at(60)), Event::Joined);
    assert!(peers.is_alive("r2", at(60)));
    // The peer's stamp is echoed to it, and the peers that it lists are contacted.
    let due: Vec<_> = (0..4).flat_map(|n| due(&mut peers, at(500 + n * 400))).collect();
    assert!(due.contains(&(address(2), Some(at(40)))), "{due:?}");
    assert!(due.contains(&(address(3), None)), "{due:?}");
}

#[test]
fn outdated_digests_are_ignored() {
    let mut peers = peers();
    assert_eq!(peers.on_digest(address(2), digest("r2", 2, 5), at(0)), Event::Joined);
    assert_eq!(peers.on_digest(address(2), digest("r2", 2, 4), at(1)), Event::Outdated);
    assert_eq!(peers.on_digest(address(2), digest("r2", 1, 9), at(2)), Event::Outdated);
    assert_eq!(peers.on_digest(address(2), digest("r2", 2, 6), at(3)), Event::Renewed);
    assert_eq!(peers.on_digest(address(2), digest("r2", 3, 1), at(4)), Event::Joined);
}

#[test]
fn silent_and_leaving_peers_are_not_alive() {
    let mut peers = peers();
    peers.on_digest(address(2), digest("r2", 1, 1), at(0));
    assert!(peers.is_alive("r2", at(1_400)));
    assert!(peers.is_dead("r2", at(1_600)));
    let leaving = Digest { leaving: true, ..digest("r2", 1, 2) };
    peers.on_digest(address(2), leaving, at(1_700));
    assert!(!peers.is_alive("r2", at(1_700)));
}

#[test_case("r1", 0 => None; "first router by name reads the store itself")]
#[test_case("r3", 0 => Some("r2".to_owned()); "others rely on the first router")]
#[test_case("r3", 800 => None; "not on a router that stopped responding")]
fn one_router_of_a_zone_reads_the_store(node: &str, ms: u64) -> Option<String> {
    let mut peers = peers();
    peers.on_digest(address(2), digest("r2", 1, 1), at(0));
    let far = Digest { zone: "b".into(), ..digest("r0", 1, 1) };
    peers.on_digest(address(4), far, at(0));
    peers.store_reader(node, at(ms)).map(|peer| peer.digest.node.to_string())
}

/// A leader that the store rejects is skipped, but only if another router can
/// reach the store.
#[test_case(true, 3_000, true => true; "rejected by the store")]
#[test_case(false, 3_000, true => false; "has only not called the store")]
#[test_case(true, 1_000, true => false; "lost the store only recently")]
#[test_case(true, 3_000, false => false; "no router reaches the store")]
fn router_that_lost_the_store_is_detected(lost: bool, age_ms: u64, other: bool) -> bool {
    let mut peers = peers();
    let store_age = Some(Duration::from_millis(age_ms));
    let leader = Digest { store_lost: lost, store_age, ..digest("r2", 1, 1) };
    peers.on_digest(address(2), leader, at(0));
    let store_age = other.then_some(Duration::ZERO);
    peers.on_digest(address(4), Digest { store_age, ..digest("r4", 1, 1) }, at(0));
    peers.has_lost_store("r2", at(10))
}

#[test]
fn confirmation_needs_an_echo() {
    let config = Some(Config { revision: 7, age: Some(Duration::from_secs(1)) });
    let mut digest = Digest { config, ..digest("r2", 1, 1) };
    assert_eq!(digest.confirmation(), None);
    digest.echo = Some(at(500));
    assert_eq!(
        digest.confirmation(),
        Some(PeerConfirmation { request_sent: at(500), revision: 7, age: Duration::from_secs(1) })
    );
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
            for Due { to, echo, .. } in peers.due(now) {
                let sequence = peers.next_sequence();
                let digest = Digest {
                    zone: zone(*n).into(),
                    sent_at: now,
                    echo,
                    peers: shared.clone(),
                    ..digest(&node(*n), 1, sequence)
                };
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
        ..digest("r1", 1, 1)
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
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut digest = truncated(1_000, 1_000, 1_000, &mut rng);
    digest.suspects = vec![prompt_parts(1).remove(0); 64];
    digest.limits = vec![largest_limit(); 1_000];
    digest.truncate(&mut rng);
    let bytes = encode(&digest, Format::Parts).len();
    assert!(bytes <= MAX_DIGEST_BYTES, "{bytes} bytes");
}

fn largest_limit() -> LimitRecord {
    LimitRecord {
        endpoint: (u64::MAX, u64::MAX),
        rate: Some(0.1.try_into().unwrap()),
        age: Duration::from_secs(60),
        demand: 0.1,
        sent: 0.1,
    }
}

/// `count` prompt parts, under the first of which eight engines crashed and under
/// the others one.
fn prompt_parts(count: u64) -> Vec<Record> {
    let record = |id| Record {
        content: Content::Part(PromptPart { model: u64::MAX, id }),
        crashes: (0..if id == 0 { 8 } else { 1 })
            .map(|n| ((u64::MAX - n, u64::MAX), Duration::from_secs(1)))
            .collect(),
        success_age: Some(Duration::from_secs(1)),
    };
    (0..count).map(record).collect()
}

#[test]
fn prompt_parts_with_most_crashes_are_in_every_digest_and_the_others_in_some() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut named = BTreeSet::new();
    for _ in 0..100 {
        let mut digest = truncated(0, 0, 0, &mut rng);
        digest.suspects = prompt_parts(64);
        digest.suspects.reverse();
        digest.truncate(&mut rng);
        assert_eq!(digest.suspects[0].crashes.len(), 8);
        named.extend(digest.suspects.iter().map(|record| record.content));
    }
    assert_eq!(named.len(), 64);
}

#[test]
fn digest_with_prompt_parts_of_many_crashes_stays_small() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut digest = truncated(0, 0, 0, &mut rng);
    let empty = encode(&digest, Format::Parts).len();
    let crashing = prompt_parts(1).remove(0);
    digest.suspects = vec![crashing; 64];
    digest.truncate(&mut rng);
    let bytes = encode(&digest, Format::Parts).len() - empty;
    assert!(bytes <= MAX_DIGEST_BYTES / 4, "{bytes} bytes");
}

#[test]
fn expedited_digests_are_due_at_once_at_all_peers() {
    let mut peers = Peers::new(address(1), "a".into(), &[address(2), address(3)], at(0));
    let mut received = digest("r2", 1, 1);
    received.zone = "b".into();
    peers.on_digest(address(2), received, at(0));
    assert_eq!(peers.due(at(0)).len(), 2);
    assert_eq!(peers.due(at(10)).len(), 0);
    peers.expedite(at(10));
    assert_eq!(peers.due(at(10)).len(), 2);
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

/// A router of zone `a` named `r5` that knows others of its zone.
fn among(others: &[&str]) -> Peers {
    let mut peers = peers();
    for (number, node) in others.iter().enumerate() {
        peers.on_digest(address(number as u16 + 2), digest(node, 1, 1), at(0));
    }
    peers
}

/// The store is called as often by 24 routers of a zone as by a few.
#[test_case(0 => (5_000, 250, 250); "no other router")]
#[test_case(1 => (5_000, 250, 500); "another router")]
#[test_case(3 => (8_000, 500, 1_000); "three others")]
#[test_case(23 => (48_000, 3_000, 1_000); "23 others")]
fn intervals_of_store_calls_grow_with_the_zone(others: usize) -> (u128, u128, u128) {
    let names: Vec<_> = (0..others).map(|n| format!("r{n:02}")).collect();
    let peers = among(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let retry = peers.store_retry_interval(0.5, at(10));
    let (read, fresh) = (peers.direct_read_interval(at(10)), peers.fresh_config_age(at(10)));
    (read.as_millis(), retry.as_millis(), fresh.as_millis())
}

/// Routers that lost the store together must not call it together.
#[test]
fn retries_of_many_routers_are_spread() {
    let names: Vec<_> = (0..23).map(|n| format!("r{n:02}")).collect();
    let peers = among(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let retry = |random| peers.store_retry_interval(random, at(10)).as_millis();
    assert_eq!((retry(0.0), retry(1.0)), (1_500, 4_500));
}

/// Only the first few routers by name that reach the store try to acquire a lease at once.
#[test_case("r0" => 0; "first")]
#[test_case("r2" => 0; "third")]
#[test_case("r3" => 700; "fourth")]
#[test_case("r9" => 2_100; "tenth")]
fn leases_without_a_holder_are_left_to_the_first_routers(node: &str) -> u128 {
    let names: Vec<_> = (0..10).map(|n| format!("r{n}")).collect();
    let others: Vec<_> = names.iter().map(String::as_str).filter(|name| *name != node).collect();
    among(&others).lease_delay(node, at(10)).as_millis()
}

#[test]
fn routers_that_lost_the_store_do_not_delay_a_lease() {
    let mut peers = among(&[]);
    for n in 0..6 {
        let lost = Digest { store_lost: true, ..digest(&format!("r{n}"), 1, 1) };
        peers.on_digest(address(n + 2), lost, at(0));
    }
    assert_eq!(peers.lease_delay("r9", at(10)), Duration::ZERO);
}

/// A directory is taken from a router of the zone that has read it lately and can hand it
/// over.
#[test_case("a", Some(1_000), Format::Parts => true; "of the zone")]
#[test_case("b", Some(1_000), Format::Parts => false; "of another zone")]
#[test_case("a", Some(1_600), Format::Parts => false; "read too long ago")]
#[test_case("a", None, Format::Parts => false; "not read yet")]
#[test_case("a", Some(1_000), Format::Lists => false; "of an older build")]
fn directory_comes_from(zone: &str, age_ms: Option<u64>, format: Format) -> bool {
    let mut peers = peers();
    let directory = age_ms.map(|ms| Directory { fingerprint: 1, age: Duration::from_millis(ms) });
    let known = Digest { zone: zone.into(), directory, format, ..digest("r2", 1, 1) };
    peers.on_digest(address(2), known, at(0));
    peers.directory_source("r1", true, at(10)).is_some()
}

#[test]
fn directory_comes_from_the_reader_and_not_from_a_router_that_follows_it() {
    let mut peers = peers();
    let directory = Some(Directory { fingerprint: 1, age: Duration::from_millis(100) });
    let follower = Digest { directory, store_age: None, store_lost: true, ..digest("r2", 1, 1) };
    let reader = Digest { directory, store_age: Some(Duration::ZERO), ..digest("r3", 1, 1) };
    peers.on_digest(address(2), follower, at(0));
    peers.on_digest(address(3), reader, at(0));
    let source = |node, store_lost| {
        let source = peers.directory_source(node, store_lost, at(10));
        source.map(|peer| peer.digest.node.to_string())
    };
    assert_eq!(source("r9", false), Some("r3".into()));
    assert_eq!(source("r1", false), None, "it reads the store itself");
    assert_eq!(source("r1", true), Some("r2".into()));
}
