//! Tests of the calls to the store: how many routers make, and what they know without one.

mod cluster;

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use cluster::client::TestRequest;
use cluster::proxy::LinkState;
use cluster::store::StoreMode;
use cluster::{ClusterOptions, TestCluster};

/// Routers of one zone.
const ROUTERS: usize = 6;

/// Time until routers that have started know each other, and who reads the store.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time in which calls are counted, and the interval of changes in it.
const MEASURED: Duration = Duration::from_secs(8);
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Calls of the routers of a zone while the store is away, per second: the configuration,
/// the directory and the lease are each read by one of them eight times a second.
const MAX_CALLS_WHILE_AWAY: f64 = 24.0;

/// Reason of a refusal if no endpoint holds some layers.
const NO_ENDPOINT: &str = "layers without an endpoint";

/// Time within which routers must know that the store is back.
const RETURN_TIME: Duration = Duration::from_secs(2);

fn cluster(routers: usize) -> TestCluster {
    let cluster =
        TestCluster::start(ClusterOptions { routers, zones: 1, ..ClusterOptions::default() });
    std::thread::sleep(SETTLE_TIME);
    cluster
}

/// Calls to the store while engines restart one after the other and the configuration
/// changes.
fn calls_during_changes(cluster: &mut TestCluster) -> usize {
    let (before, start) = (cluster.store.calls(), Instant::now());
    let engines: Vec<_> = cluster.endpoints.engines().cloned().collect();
    let mut changes = 0;
    while start.elapsed() < MEASURED {
        engines[changes % engines.len()].restart();
        cluster.configure(&[(cluster::TEAM, &[cluster::KEY])]);
        changes += 1;
        std::thread::sleep(CHANGE_INTERVAL);
    }
    cluster.store.calls() - before
}

#[test]
fn calls_of_a_zone_do_not_grow_with_its_routers() {
    let one = calls_during_changes(&mut cluster(1));
    let mut cluster = cluster(ROUTERS);
    let all = calls_during_changes(&mut cluster);
    println!("{one} calls of one router, {all} of {ROUTERS}");
    assert!(all <= 2 * one, "{one} calls of one router, {all} of {ROUTERS}");
    let revision = cluster.revision;
    let installed = format!("mimosashift_config_revision {revision}");
    cluster.wait_until("the last configuration is in force", |cluster| {
        cluster
            .routers
            .iter()
            .all(|router| cluster.runtime.block_on(router.metrics()).contains(&installed))
    });
}

#[test]
fn calls_stay_few_while_the_store_is_away() {
    let cluster = cluster(ROUTERS);
    cluster.store.set(StoreMode::Busy);
    std::thread::sleep(SETTLE_TIME);
    let before = cluster.store.calls();
    std::thread::sleep(MEASURED);
    let rate = (cluster.store.calls() - before) as f64 / MEASURED.as_secs_f64();
    cluster.store.set(StoreMode::Up);
    let back = Instant::now();
    let is_ready = |cluster: &TestCluster| {
        cluster.routers.iter().all(|router| cluster.runtime.block_on(router.is_ready()))
    };
    cluster.wait_until("routers are ready again", is_ready);
    let took = back.elapsed();
    println!("{rate:.1} calls a second while the store is away, ready again after {took:?}");
    assert!(rate <= MAX_CALLS_WHILE_AWAY, "{rate:.1} calls a second");
    assert!(took <= RETURN_TIME, "ready again after {took:?}");
}

/// A router that has just started knows no endpoint, which is not the same as that there
/// is none.
#[test]
fn restarted_router_refuses_nothing_before_it_knows_the_endpoints() {
    let mut cluster = cluster(2);
    cluster.store.set(StoreMode::Slow(Duration::from_millis(250)));
    cluster.routers[0].stop(Signal::SIGKILL);
    cluster.routers[0].spawn();
    let to = cluster.routers[0].clients;
    let mut statuses = Vec::new();
    let start = Instant::now();
    while start.elapsed() < SETTLE_TIME {
        let draft = TestRequest::draft(2);
        if let Some(response) = cluster.runtime.block_on(draft.send(to)) {
            statuses.push(response.status);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let log = cluster.routers[0].log();
    let refused: Vec<_> = log.lines().filter(|line| line.contains(NO_ENDPOINT)).collect();
    assert_eq!(refused, Vec::<&str>::new());
    assert!(statuses.contains(&200), "{statuses:?}");
}

#[test]
fn store_is_read_at_the_address_in_reloaded_settings() {
    let mut cluster =
        TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let IpAddr::V4(host) = cluster.store.address().ip() else { unreachable!("IPv4 only") };
    let address = cluster.runtime.block_on(cluster.store.listen(host, HashMap::new()));
    let earlier = cluster.store_proxies[0].address();
    cluster.routers[0].edit_settings(|text| {
        text.replace(&format!("platform.address={earlier}"), &format!("platform.address={address}"))
    });
    cluster.routers[0].signal(Signal::SIGHUP);
    cluster.wait_until("the settings are reloaded", |cluster| {
        cluster.routers[0].log().contains("settings reloaded")
    });
    cluster.store_proxies[0].set(LinkState::Unreachable);
    cluster.configure_limits(cluster.limits);
}

#[test]
fn router_meets_the_peers_in_reloaded_settings() {
    let mut cluster = TestCluster::start(ClusterOptions { zones: 1, ..ClusterOptions::default() });
    let seeds = |text: &str| {
        let line = text.lines().find(|line| line.starts_with("seeds=")).unwrap();
        line.to_owned()
    };
    let original = std::fs::read_to_string(cluster.routers[0].folder().join("settings.conf"));
    let original = seeds(&original.unwrap());
    for router in &mut cluster.routers {
        router.stop(Signal::SIGKILL);
    }
    for router in &mut cluster.routers {
        router.edit_settings(|text| text.replace(&original, "seeds=127.0.0.1:9"));
        router.spawn();
    }
    std::thread::sleep(SETTLE_TIME);
    assert!(!cluster.routers[0].log().contains("MS0401"), "no seed names the other router");
    cluster.routers[0].edit_settings(|text| text.replace("seeds=127.0.0.1:9", &original));
    cluster.routers[0].signal(Signal::SIGHUP);
    cluster.wait_until("the routers know each other", |cluster| {
        cluster.routers.iter().all(|router| router.log().contains("MS0401"))
    });
}
