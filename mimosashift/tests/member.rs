//! Membership: liveness, incarnations, discovery and the cost of heartbeats.

mod fake;

use std::net::SocketAddr;
use std::time::Duration;

use fake::cluster::Cluster;
use mimosashift::member::{
    DEAD_AFTER, Event, Identity, Liveness, Membership, Report, SUSPECT_AFTER, incarnation,
};
use mimosashift::resource::Name;
use mimosashift::time::Instant;
use mimosashift::wire::message::{Heartbeat, Payload};
use mimosashift::wire::{Frame, Key, KeyRing, MAX_DATAGRAM_BYTES, Message};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Maximum bytes per second of control traffic that a router may send and
/// receive.
const BUDGET: usize = 16_000;

/// Time within which all routers discover each other.
const SETTLE: Duration = Duration::from_secs(30);

#[test_case(4, 3; "4 routers in 3 domains")]
#[test_case(100, 11; "100 routers in 11 domains")]
#[test_case(370, 11; "370 routers in 11 domains")]
fn heartbeats_stay_within_budget(routers: usize, domains: usize) {
    const MEASURED: Duration = Duration::from_secs(10);
    let mut cluster = Cluster::new(routers, domains, 1);
    cluster.run(SETTLE).unwrap();
    cluster.nodes.iter_mut().for_each(|node| node.bytes = 0);
    cluster.run(MEASURED).unwrap();
    let seconds = usize::try_from(MEASURED.as_secs()).unwrap();
    let rates: Vec<_> = cluster.nodes.iter().map(|node| node.bytes / seconds).collect();
    let max = rates.iter().max().unwrap();
    let mean = rates.iter().sum::<usize>() / rates.len();
    eprintln!(
        "{routers} routers: {mean} B/s sent and received per router on average, {max} B/s at most"
    );
    assert!(*max <= BUDGET, "{max} B/s");
    for node in &cluster.nodes {
        let local =
            node.membership.peers(cluster.now).iter().filter(|peer| peer.same_domain).count();
        let same = cluster.nodes.iter().filter(|other| other.domain == node.domain).count();
        assert_eq!(
            local + 1,
            same,
            "{:?} does not know all routers of its domain",
            node.membership.identity()
        );
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn identity(node: &str, port: u16, incarnation: u64) -> Identity {
    let node = Name::try_from(node).unwrap();
    let domain = Name::try_from("domain-a").unwrap();
    Identity { node, domain, address: address(port), incarnation }
}

fn membership() -> Membership {
    Membership::new(identity("own", 1, 1), &[address(2)])
}

/// Returns the next heartbeat of a router, as sent to its peer at port 1.
fn heartbeat(membership: &mut Membership, now: Instant) -> Heartbeat {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let sends = membership.tick(now, &Report::default(), &mut rng);
    sends.into_iter().next().expect("a heartbeat is due").heartbeat
}

fn other(incarnation: u64) -> Membership {
    Membership::new(identity("other", 2, incarnation), &[address(1)])
}

const fn at(ms: u64) -> Instant {
    Instant::from_millis(100_000 + ms)
}

fn liveness(membership: &Membership, now: Instant) -> Liveness {
    membership.members().next().expect("one router is known").liveness(now)
}

#[test]
fn silent_router_becomes_suspect_then_dead() {
    let mut own = membership();
    assert_eq!(own.on_heartbeat(at(0), heartbeat(&mut other(5), at(0))), Event::Joined);
    assert_eq!(liveness(&own, at(0) + SUSPECT_AFTER - Duration::from_micros(1)), Liveness::Alive);
    assert_eq!(liveness(&own, at(0) + SUSPECT_AFTER), Liveness::Suspect);
    assert_eq!(liveness(&own, at(0) + DEAD_AFTER), Liveness::Dead);
    assert!(own.peers(at(0) + DEAD_AFTER).is_empty());
}

#[test]
fn restarted_router_replaces_its_previous_incarnation() {
    let mut own = membership();
    let (mut old, mut new) = (other(5), other(6));
    own.on_heartbeat(at(0), heartbeat(&mut old, at(0)));
    assert_eq!(own.on_heartbeat(at(1), heartbeat(&mut new, at(1))), Event::Replaced);
    assert_eq!(own.on_heartbeat(at(2), heartbeat(&mut old, at(2_000))), Event::Outdated);
    assert_eq!(own.members().next().unwrap().heartbeat.incarnation, 6);
}

#[test]
fn restart_under_another_name_replaces_by_address() {
    let mut own = membership();
    own.on_heartbeat(at(0), heartbeat(&mut other(5), at(0)));
    let mut renamed = Membership::new(identity("renamed", 2, 6), &[address(1)]);
    own.on_heartbeat(at(1), heartbeat(&mut renamed, at(1)));
    let names: Vec<_> = own.members().map(|m| m.heartbeat.node.as_str().to_owned()).collect();
    assert_eq!(names, ["renamed"]);
}

#[test]
fn repeated_heartbeat_does_not_renew() {
    let mut own = membership();
    let first = heartbeat(&mut other(5), at(0));
    own.on_heartbeat(at(0), first.clone());
    assert_eq!(own.on_heartbeat(at(9_000), first), Event::Outdated);
    assert_eq!(liveness(&own, at(9_000)), Liveness::Dead);
}

#[test]
fn paused_router_takes_new_incarnation_and_presumes_peers_dead() {
    let mut own = membership();
    let mut peer = other(5);
    own.on_heartbeat(at(0), heartbeat(&mut peer, at(0)));
    heartbeat(&mut own, at(0));
    let before = own.identity().incarnation;
    let announced = heartbeat(&mut own, at(4_000));
    assert!(announced.incarnation > before);
    assert!(
        own.peers(at(4_000)).is_empty(),
        "a router counts as alive without a heartbeat since the pause"
    );
    own.on_heartbeat(at(4_001), heartbeat(&mut peer, at(4_001)));
    assert_eq!(own.peers(at(4_001)).len(), 1);
}

#[test]
fn leaving_router_is_recognized_immediately() {
    let mut own = membership();
    let mut peer = other(5);
    own.on_heartbeat(at(0), heartbeat(&mut peer, at(0)));
    peer.leave();
    assert_eq!(own.on_heartbeat(at(1), heartbeat(&mut peer, at(1))), Event::Left);
    assert_eq!(liveness(&own, at(1)), Liveness::Leaving);
    assert!(own.peers(at(1)).is_empty());
}

#[test]
fn domains_rejoin_after_partition_heals() {
    let mut cluster = Cluster::new(12, 3, 1);
    cluster.run(SETTLE).unwrap();
    cluster.net.partition = vec![0, 1, 1];
    cluster.run(Duration::from_secs(15)).unwrap();
    let known_domains =
        |c: &Cluster| c.nodes[0].membership.in_force(c.now, &Report::default(), 0).len();
    cluster.run(Duration::from_secs(10)).unwrap();
    assert_eq!(known_domains(&cluster), 1, "summaries of partitioned domains have not expired");
    cluster.net.partition = vec![0; 3];
    cluster.run(Duration::from_secs(5)).unwrap();
    assert_eq!(known_domains(&cluster), 3);
}

/// Four routers in two domains, with the first as the only seed: the third can
/// learn of the other domain only from the first.
#[test]
fn every_router_discovers_every_domain_from_one_seed() {
    let mut cluster = Cluster::with_seeds(4, 2, 1, 1);
    cluster.run(SETTLE).unwrap();
    for node in &cluster.nodes {
        let domains = node.membership.in_force(cluster.now, &node.report(), 0);
        assert_eq!(domains.len(), 2, "{:?} knows {domains:?}", node.membership.identity().node);
    }
}

#[test]
fn largest_heartbeat_fits_a_datagram() {
    let long = |prefix: &str, n: usize| Name::try_from(format!("{prefix}{n:060}")).unwrap();
    let peer = |n: usize| {
        let port = u16::try_from(n + 10).unwrap();
        let address = SocketAddr::from((std::net::Ipv6Addr::LOCALHOST, port));
        Identity { node: long("n", n), domain: long("d", n), address, incarnation: u64::MAX - 1 }
    };
    let mut own = Membership::new(peer(0), &[]);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for n in 1..40 {
        let mut other = Membership::new(peer(n), &[peer(0).address]);
        own.on_heartbeat(at(0), heartbeat(&mut other, at(0)));
    }
    let payloads = (0..600).map(|_| Payload { tag: 1, bytes: vec![0; 1] }).collect();
    let report = Report { payloads, polled: Some(Instant::ZERO), ..Report::default() };
    let key_ring = KeyRing::new(Key::new(1, [0; 32]).unwrap(), None);
    let sends = own.tick(at(1), &report, &mut rng);
    assert!(!sends.is_empty());
    for send in sends {
        let message = Message::Heartbeat(send.heartbeat);
        let sender = own.identity().node.clone();
        let frame = Frame { sender, incarnation: u64::MAX, sequence: u64::MAX, message };
        key_ring.seal(&frame, MAX_DATAGRAM_BYTES).unwrap();
    }
}

#[test]
fn incarnation_increases_with_time() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let numbers: Vec<_> =
        (0..100).map(|t| incarnation(1_800_000_000_000_000 + t, &mut rng)).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
}
