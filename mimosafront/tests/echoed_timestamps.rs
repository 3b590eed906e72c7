//! Tests of confirmations from peers that echo another process's timestamp.

mod cluster;

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use mimosashift::peer::{Config, Digest, Format, wire};

use cluster::client::TestRequest;
use cluster::proxy::LinkState;
use cluster::router::REVOCATION_BOUND;
use cluster::{ClusterOptions, TestCluster};

/// Interval of digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// A peer that echoes a timestamp of an earlier boot of the router and has just confirmed the
/// configuration.
fn digest(sequence: u64, revision: u64) -> Digest {
    Digest {
        node: "front-zone-z-0".into(),
        zone: "zone-z".into(),
        incarnation: 1,
        sequence,
        sent_at: mimosashift::time::Instant::ZERO,
        echo: Some(mimosashift::time::Instant::from_millis(1_000_000_000_000)),
        leaving: false,
        holds_placement_lease: false,
        config: Some(Config { revision, age: Some(Duration::ZERO) }),
        store_age: None,
        store_lost: true,
        directory: None,
        usage: Vec::new(),
        observed: Vec::new(),
        dead: Vec::new(),
        unreachable: Vec::new(),
        leaving_endpoints: Vec::new(),
        suspects: Vec::new(),
        limits: Vec::new(),
        link: None,
        peers: Vec::new(),
        build: None,
        format: Format::Lists,
    }
}

#[test]
fn key_is_not_accepted_by_a_confirmation_that_echoes_an_earlier_boot() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let router = &cluster.routers[0];
    let address = router.relays.ip();
    let to = SocketAddr::new(address, router.relays.port() - 1);
    let socket = UdpSocket::bind((address, 0)).unwrap();
    cluster.store_proxies[0].set(LinkState::Silent);
    let start = Instant::now();
    let mut sequence = 0;
    while start.elapsed() < REVOCATION_BOUND + Duration::from_secs(1) {
        sequence += 1;
        let bytes = wire::encode(&digest(sequence, cluster.revision), Format::Lists);
        socket.send_to(&bytes, to).unwrap();
        std::thread::sleep(DIGEST_INTERVAL);
    }
    let response = cluster.runtime.block_on(TestRequest::post().send(router.clients)).unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(!router.log_lines("MS0401").is_empty());
}
