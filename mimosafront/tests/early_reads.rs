//! Tests of refusals for missing endpoints that the store lists.

mod cluster;

use std::time::{Duration, Instant};

use serde_json::Value;

use cluster::client::{TestRequest, TestResponse};
use cluster::load::send_requests;
use cluster::store::StoreMode;
use cluster::{ClusterOptions, TestCluster};

/// Times that the engines leave the store and return.
const ROUNDS: usize = 8;

/// Time for which entries are in the store before they are asked for: above the age up to
/// which the directory of a single router counts as fresh.
const LISTED_TIME: Duration = Duration::from_millis(300);

/// Routers of one zone.
const ROUTERS: usize = 6;

/// Time in which calls are counted, and the interval of requests in it.
const MEASURED: Duration = Duration::from_secs(6);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Calls of the routers of a zone, per second, whether the store answers or not.
const MAX_CALLS: f64 = 24.0;

/// Longest time for which most refusals may be held.
const AT_ONCE_MS: u64 = 50;

/// Reason of a refusal if no endpoint holds some layers.
const NO_ENDPOINT: &str = "layers without an endpoint";

fn cluster(routers: usize) -> TestCluster {
    TestCluster::start(ClusterOptions { routers, zones: 1, ..ClusterOptions::default() })
}

fn send(cluster: &TestCluster) -> Option<TestResponse> {
    cluster.runtime.block_on(TestRequest::draft(2).send(cluster.routers[0].clients))
}

fn set_listed(cluster: &TestCluster, listed: bool) {
    cluster.endpoints.engines().for_each(|engine| engine.state().removed = !listed);
    cluster.wait_until("the store shows whether engines are listed", |cluster| {
        (0..3).all(|n| cluster.store.get("servers", &format!("engine-0-{n}")).is_some() == listed)
    });
}

#[test]
fn no_request_is_refused_for_endpoints_that_the_store_lists() {
    let cluster = cluster(1);
    let mut refused = 0;
    for _ in 0..ROUNDS {
        set_listed(&cluster, false);
        cluster.wait_until("requests are refused", |cluster| {
            send(cluster).is_some_and(|response| response.status == 503)
        });
        set_listed(&cluster, true);
        std::thread::sleep(LISTED_TIME);
        refused += usize::from(send(&cluster).is_some_and(|response| response.status != 200));
        cluster.wait_until("requests are served", |cluster| {
            send(cluster).is_some_and(|response| response.status == 200)
        });
    }
    assert_eq!(refused, 0, "refused, of {ROUNDS}");
}

/// Calls a second while requests for missing endpoints reach all routers.
fn call_rate(cluster: &TestCluster) -> f64 {
    let results = send_requests(cluster, REQUEST_INTERVAL, MEASURED, |_| TestRequest::draft(2));
    let before = cluster.store.calls();
    std::thread::sleep(MEASURED);
    let rate = (cluster.store.calls() - before) as f64 / MEASURED.as_secs_f64();
    drop(results);
    rate
}

#[test]
fn refused_requests_neither_flood_the_store_nor_wait() {
    let cluster = cluster(ROUTERS);
    set_listed(&cluster, false);
    std::thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let up = call_rate(&cluster);
    cluster.store.set(StoreMode::Busy);
    std::thread::sleep(Duration::from_secs(2));
    let away = call_rate(&cluster);
    let refusals = cluster.routers.iter().flat_map(|router| router.log_lines(NO_ENDPOINT));
    let ms = |line: String| serde_json::from_str::<Value>(&line).unwrap()["ms"].as_u64();
    let mut held: Vec<_> = refusals.filter_map(ms).collect();
    held.sort_unstable();
    let median = held[held.len() / 2];
    println!(
        "{up:.1} and {away:.1} calls a second, {} refusals in {:?}, median {median} ms, longest {:?}",
        held.len(),
        start.elapsed(),
        held.last()
    );
    assert!(up <= MAX_CALLS && away <= MAX_CALLS, "{up:.1} and {away:.1} calls a second");
    assert!(median <= AT_ONCE_MS, "refused after {median} ms");
}
