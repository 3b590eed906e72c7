//! Tests of how long a changed entry of the directory stays unknown to the routers of a zone.

mod cluster;

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use cluster::client::TestRequest;
use cluster::proxy::LinkState;
use cluster::router::Router;
use cluster::{ClusterOptions, HEARTBEAT_INTERVAL, TestCluster};

/// Routers of one zone, one of which reads the store for the others.
const ROUTERS: usize = 24;

/// Time until routers that have started know each other, and who reads the store.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time within which every router must know a changed entry: that for an endpoint that leaves.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Time in which each of three routers of a zone reads the store itself at least once.
const DIRECT_READ_INTERVAL: Duration = Duration::from_millis(6_500);

/// Time between two looks at the logs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A zone of routers, as soon as its layers are placed.
fn zone() -> TestCluster {
    let mut cluster = TestCluster::prepare(ClusterOptions {
        routers: ROUTERS,
        zones: 1,
        engines_per_zone: 8,
        ..ClusterOptions::default()
    });
    for number in 0..ROUTERS {
        cluster.start_router(number, 0);
    }
    cluster.wait_until("layers are placed", |cluster| cluster.endpoints.is_placed(1));
    cluster
}

/// Changes one field of an endpoint's entry; returns how many routers have logged the new value
/// in time, and how long the last of these took.
fn routers_that_learn(
    cluster: &TestCluster,
    endpoint: &str,
    field: &'static str,
    value: Value,
    logged: &str,
) -> (usize, Duration) {
    cluster.endpoints.get(endpoint).state().listed = Some((field, value.clone()));
    cluster.wait_until("the entry is written", |cluster| {
        let entry = cluster.store.get("servers", endpoint).unwrap();
        serde_json::from_str::<Value>(&entry).unwrap()[field] == value
    });
    let learned = || {
        let is_learned = |line: &String| line.contains(endpoint) && line.contains(logged);
        let knows = |router: &&Router| {
            router.log_lines("MS0514").iter().any(is_learned)
                || router.log_lines("MS0527").iter().any(is_learned)
        };
        cluster.routers.iter().filter(knows).count()
    };
    let (start, mut last, mut count) = (Instant::now(), Duration::ZERO, 0);
    while start.elapsed() < MAX_DELAY && count < ROUTERS {
        let now = learned();
        if now > count {
            (count, last) = (now, start.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    (count, last)
}

/// Each case changes a field of an endpoint of its own and names what the logs show then.
macro_rules! cases {
    ($cluster:expr, $($endpoint:literal $field:literal: $value:tt => $logged:literal,)*) => {
        vec![$(($field, routers_that_learn($cluster, $endpoint, $field, json!($value), $logged)),)*]
    };
}

#[test]
fn no_router_of_a_zone_refuses_requests_for_layers_that_have_been_placed() {
    let cluster = zone();
    std::thread::sleep(HEARTBEAT_INTERVAL + MAX_DELAY);
    let sending = cluster.routers.iter().map(|router| {
        let to = router.clients;
        cluster.runtime.spawn(async move { TestRequest::draft(2).send(to).await })
    });
    let sending: Vec<_> = sending.collect();
    let responses = sending.into_iter().map(|s| cluster.runtime.block_on(s).unwrap());
    let serving = responses.flatten().filter(|response| response.status == 200).count();
    assert_eq!(serving, ROUTERS, "routers that serve a request");
}

#[test]
fn no_router_of_a_zone_misses_a_changed_field_of_an_entry() {
    let cluster = zone();
    std::thread::sleep(SETTLE_TIME);
    let learned = cases!(
        &cluster,
        "engine-0-0" "layers": {"from": 0, "to": 1, "version": 1} => "\"layers\":\"0..1\"",
        "engine-0-1" "slots": 7 => "\"slots\":7",
        "engine-0-2" "kind": "spare" => "\"card\":\"spare\"",
        "engine-0-3" "zone": "zone-z" => "\"zone\":\"zone-z\"",
        "engine-0-4" "address": "127.0.0.1:9" => "\"address\":\"127.0.0.1:9\"",
    );
    let missed: Vec<_> = learned.iter().filter(|(_, (count, _))| *count < ROUTERS).collect();
    assert!(missed.is_empty(), "routers that know each field in time, of {ROUTERS}: {missed:?}");
}

/// One read of a router fails, after which it follows a peer again.
#[test]
fn removed_endpoint_is_not_kept_by_a_router_whose_read_failed_earlier() {
    let cluster =
        TestCluster::start(ClusterOptions { routers: 3, zones: 1, ..ClusterOptions::default() });
    cluster.store_proxies[1].set(LinkState::Reset);
    std::thread::sleep(DIRECT_READ_INTERVAL);
    cluster.store_proxies[1].set(LinkState::Up);
    std::thread::sleep(Duration::from_secs(1));
    let id = "engine-0-1";
    cluster.endpoints.get(id).state().removed = true;
    cluster.wait_until("the entry is removed", |c| c.store.get("servers", id).is_none());
    std::thread::sleep(MAX_DELAY);
    let knows = |router: &Router| router.log_lines("MS0512").iter().any(|line| line.contains(id));
    let known: Vec<_> = cluster.routers.iter().map(knows).collect();
    assert_eq!(known, [true; 3], "routers that know that the endpoint is gone");
}
