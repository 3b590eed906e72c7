//! Tests of which endpoints are kept after a router has not read the store for a time: entries
//! lapse while the store is away, and are removed while only the router is cut off.

mod cluster;

use std::time::{Duration, Instant};

use test_case::test_case;

use cluster::proxy::LinkState;
use cluster::store::StoreMode;
use cluster::{ClusterOptions, TestCluster};

/// Length of a cut and of an outage, in which no entry is read.
const CUT: Duration = Duration::from_millis(2_600);

/// Time within which an endpoint whose entry is removed must get no new work.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time after a cut from which a router counts as in touch.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Time after the return of the store within which entries that lapsed are back.
const REREGISTRATION: Duration = Duration::from_millis(1_850);

const LEAVING: &str = "engine-0-1";

fn cluster(router_zones: usize) -> TestCluster {
    TestCluster::start(ClusterOptions {
        routers: 3,
        zones: 1,
        router_zones: Some(router_zones),
        ..ClusterOptions::default()
    })
}

fn set_listed(cluster: &TestCluster, is_listed: bool) {
    cluster.endpoints.get(LEAVING).state().removed = !is_listed;
    cluster.wait_until("the store shows whether the endpoint is listed", |cluster| {
        cluster.store.get("servers", LEAVING).is_some() == is_listed
    });
}

/// Which of the routers have taken the endpoint for gone.
fn know_it_gone(cluster: &TestCluster) -> Vec<bool> {
    let is_gone = |line: &String| line.contains(LEAVING);
    let routers = cluster.routers.iter();
    routers.map(|router| router.log_lines("MS0512").iter().any(is_gone)).collect()
}

/// Cuts some of the routers off from the store for a time.
fn cut_off(cluster: &TestCluster, routers: &[usize], state: LinkState) {
    routers.iter().for_each(|router| cluster.store_proxies[*router].set(state));
    std::thread::sleep(CUT);
    routers.iter().for_each(|router| cluster.store_proxies[*router].set(LinkState::Up));
}

#[test_case(LinkState::Unreachable, 0; "at once, dropped")]
#[test_case(LinkState::Unreachable, 700; "soon, dropped")]
#[test_case(LinkState::Silent, 700; "soon, silent")]
#[test_case(LinkState::Silent, 1_500; "after the first read, silent")]
#[test_case(LinkState::Reset, 1_500; "after the first read, reset")]
fn endpoint_that_leaves_after_a_cut_of_its_zone_is_not_kept(state: LinkState, after_ms: u64) {
    let cluster = cluster(1);
    cut_off(&cluster, &[0, 1, 2], state);
    let healed = Instant::now();
    std::thread::sleep(Duration::from_millis(after_ms));
    set_listed(&cluster, false);
    let end = (Instant::now() + DRAIN_TIME).max(healed + STABILITY_WINDOW);
    std::thread::sleep(end - Instant::now());
    assert_eq!(know_it_gone(&cluster), [true; 3], "routers that know that it is gone");
}

#[test_case(LinkState::Unreachable; "dropped")]
#[test_case(LinkState::Silent; "silent")]
#[test_case(LinkState::Reset; "reset")]
fn endpoint_that_leaves_while_other_zones_read_on_is_not_kept(state: LinkState) {
    let cluster = cluster(2);
    let zone = [0, 2];
    zone.iter().for_each(|router| cluster.store_proxies[*router].set(state));
    std::thread::sleep(CUT);
    set_listed(&cluster, false);
    let removed = Instant::now();
    zone.iter().for_each(|router| cluster.store_proxies[*router].set(LinkState::Up));
    std::thread::sleep(DRAIN_TIME - removed.elapsed());
    assert_eq!(know_it_gone(&cluster), [true; 3], "routers that know that it is gone");
}

#[test_case(1; "one zone")]
#[test_case(2; "two zones")]
#[test_case(3; "three zones")]
fn endpoint_whose_entry_lapsed_while_the_store_was_away_is_kept(router_zones: usize) {
    let cluster = cluster(router_zones);
    cluster.store.set(StoreMode::Busy);
    std::thread::sleep(CUT / 2);
    set_listed(&cluster, false);
    std::thread::sleep(CUT / 2);
    cluster.store.set(StoreMode::Up);
    let back = Instant::now();
    std::thread::sleep(REREGISTRATION - Duration::from_millis(250));
    set_listed(&cluster, true);
    assert!(back.elapsed() < REREGISTRATION + Duration::from_millis(150), "{:?}", back.elapsed());
    std::thread::sleep(DRAIN_TIME);
    assert_eq!(know_it_gone(&cluster), [false; 3], "routers that take it for gone");
}

#[test]
fn endpoint_is_not_kept_for_good_after_an_outage() {
    let cluster = cluster(1);
    cluster.store.set(StoreMode::Busy);
    set_listed(&cluster, false);
    std::thread::sleep(CUT);
    cluster.store.set(StoreMode::Up);
    std::thread::sleep(STABILITY_WINDOW);
    assert_eq!(know_it_gone(&cluster), [true; 3], "routers that know that it is gone");
}
