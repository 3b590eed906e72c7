//! Tests of which endpoints are used after a router has not read the store for a time: entries
//! lapse while the store is away, and are removed while only the router is cut off.

mod cluster;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use test_case::test_case;

use cluster::proxy::LinkState;
use cluster::router::Router;
use cluster::store::StoreMode;
use cluster::{ClusterOptions, TestCluster};

/// Length of a cut and of an outage, longer than an entry lasts without a heartbeat.
const CUT: Duration = Duration::from_millis(4_500);

/// Time from the cut of one router to that of the next, so that the end of the cuts finds them at
/// different points of their attempts to read.
const CUT_OFFSET: Duration = Duration::from_millis(400);

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

/// Changes the links between these routers and the store.
fn set_links(cluster: &TestCluster, routers: &[usize], state: LinkState) {
    routers.iter().for_each(|router| cluster.store_proxies[*router].set(state));
}

/// Keeps the store away for a time, in which the entry of the endpoint lapses.
fn lose_entry_in_an_outage(cluster: &TestCluster) {
    cluster.store.set(StoreMode::Busy);
    std::thread::sleep(CUT / 2);
    set_listed(cluster, false);
    std::thread::sleep(CUT / 2);
    cluster.store.set(StoreMode::Up);
}

/// Waits until the endpoint must be out of use everywhere, and checks that it is.
fn expect_gone(cluster: &TestCluster, removed: Instant, healed: Instant) {
    let end = (removed + DRAIN_TIME).max(healed + STABILITY_WINDOW);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    assert_eq!(know_it_gone(cluster), [true; 3], "routers that know that it is gone");
}

// Routers of one zone share what they read; those of three zones each read by themselves.
#[test_case(3, LinkState::Unreachable, 0; "at once, dropped")]
#[test_case(3, LinkState::Unreachable, 300; "soon, dropped")]
#[test_case(3, LinkState::Unreachable, 900; "after the first read, dropped")]
#[test_case(3, LinkState::Silent, 300; "soon, silent")]
#[test_case(3, LinkState::Silent, 900; "after the first read, silent")]
#[test_case(3, LinkState::Reset, 900; "after the first read, reset")]
#[test_case(1, LinkState::Unreachable, 300; "of one zone, dropped")]
#[test_case(1, LinkState::Silent, 300; "of one zone, silent")]
fn endpoint_that_leaves_after_a_cut_gets_no_late_work(
    router_zones: usize,
    state: LinkState,
    after_ms: u64,
) {
    let cluster = cluster(router_zones);
    for router in 0..3 {
        set_links(&cluster, &[router], state);
        std::thread::sleep(CUT_OFFSET);
    }
    std::thread::sleep(CUT - 3 * CUT_OFFSET);
    set_links(&cluster, &[0, 1, 2], LinkState::Up);
    let healed = Instant::now();
    std::thread::sleep(Duration::from_millis(after_ms));
    set_listed(&cluster, false);
    expect_gone(&cluster, Instant::now(), healed);
}

#[test_case(LinkState::Unreachable; "dropped")]
#[test_case(LinkState::Silent; "silent")]
#[test_case(LinkState::Reset; "reset")]
fn endpoint_that_leaves_during_a_cut_of_its_zone_gets_no_late_work(state: LinkState) {
    let cluster = cluster(2);
    set_links(&cluster, &[0, 2], state);
    std::thread::sleep(CUT);
    set_listed(&cluster, false);
    let removed = Instant::now();
    set_links(&cluster, &[0, 2], LinkState::Up);
    expect_gone(&cluster, removed, Instant::now());
}

// A paused router does not read either, and has reads without an answer when it goes on.
#[test]
fn endpoint_that_leaves_during_a_pause_of_the_routers_gets_no_late_work() {
    let cluster = cluster(1);
    cluster.routers.iter().for_each(|router| router.signal(Signal::SIGSTOP));
    std::thread::sleep(CUT);
    set_listed(&cluster, false);
    let removed = Instant::now();
    cluster.routers.iter().for_each(|router| router.signal(Signal::SIGCONT));
    expect_gone(&cluster, removed, Instant::now());
}

#[test]
fn endpoint_that_leaves_after_a_cut_gets_no_late_work_though_the_reader_restarts() {
    let mut cluster = cluster(1);
    set_links(&cluster, &[0, 1, 2], LinkState::Unreachable);
    std::thread::sleep(CUT);
    set_links(&cluster, &[0, 1, 2], LinkState::Up);
    let healed = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    set_listed(&cluster, false);
    let removed = Instant::now();
    cluster.routers[0].stop(Signal::SIGKILL);
    cluster.routers[0].spawn();
    let end = (removed + DRAIN_TIME).max(healed + STABILITY_WINDOW);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    // The first router reads for the others; after its restart it does not know the endpoint.
    assert_eq!(know_it_gone(&cluster)[1..], [true; 2], "routers that know that it is gone");
}

/// The order in which a cut of the routers and an outage of the store begin and end.
#[derive(Clone, Copy)]
enum Order {
    OutageOnly,
    CutFirst,
    OutageFirst,
}

#[test_case(1, Order::OutageOnly; "one zone")]
#[test_case(2, Order::OutageOnly; "two zones")]
#[test_case(3, Order::OutageOnly; "three zones")]
#[test_case(1, Order::CutFirst; "outage that begins during a cut")]
#[test_case(1, Order::OutageFirst; "outage that ends during a cut")]
fn living_endpoint_whose_entry_lapsed_is_kept(router_zones: usize, order: Order) {
    let cluster = cluster(router_zones);
    let third = CUT / 3;
    match order {
        Order::OutageOnly => cluster.store.set(StoreMode::Busy),
        Order::CutFirst => {
            set_links(&cluster, &[0, 1, 2], LinkState::Unreachable);
            std::thread::sleep(third);
            cluster.store.set(StoreMode::Busy);
        }
        Order::OutageFirst => {
            cluster.store.set(StoreMode::Busy);
            std::thread::sleep(third);
            set_links(&cluster, &[0, 1, 2], LinkState::Unreachable);
        }
    }
    std::thread::sleep(third);
    set_listed(&cluster, false);
    std::thread::sleep(third);
    match order {
        Order::OutageOnly => cluster.store.set(StoreMode::Up),
        Order::CutFirst => {
            set_links(&cluster, &[0, 1, 2], LinkState::Up);
            std::thread::sleep(third);
            cluster.store.set(StoreMode::Up);
        }
        Order::OutageFirst => {
            cluster.store.set(StoreMode::Up);
            std::thread::sleep(third);
            set_links(&cluster, &[0, 1, 2], LinkState::Up);
        }
    }
    let back = Instant::now();
    std::thread::sleep(REREGISTRATION - Duration::from_millis(250));
    set_listed(&cluster, true);
    assert!(back.elapsed() < REREGISTRATION + Duration::from_millis(150), "{:?}", back.elapsed());
    std::thread::sleep(DRAIN_TIME);
    assert_eq!(know_it_gone(&cluster), [false; 3], "routers that take it for gone");
}

// The router cannot read the store itself when the time to register again ends.
#[test]
fn router_that_is_cut_off_after_an_outage_takes_the_directory_of_its_zone() {
    let cluster = cluster(1);
    lose_entry_in_an_outage(&cluster);
    std::thread::sleep(REREGISTRATION / 2);
    set_links(&cluster, &[1], LinkState::Unreachable);
    cluster.wait_until("all routers know that the endpoint is gone", |cluster| {
        know_it_gone(cluster) == [true; 3]
    });
}

// The store loses the entry without an outage that routers notice.
#[test]
fn living_endpoint_that_a_restored_copy_does_not_list_is_kept() {
    let cluster = cluster(1);
    set_listed(&cluster, false);
    cluster.wait_until("the endpoint is gone", |cluster| know_it_gone(cluster) == [true; 3]);
    let copy = cluster.store.copy();
    set_listed(&cluster, true);
    std::thread::sleep(DRAIN_TIME);
    let times_gone = |cluster: &TestCluster| -> usize {
        let gone = |router: &Router| router.log_lines("MS0512").len();
        cluster.routers.iter().map(gone).sum()
    };
    let before = times_gone(&cluster);
    cluster.store.set(StoreMode::Busy);
    set_listed(&cluster, false);
    cluster.store.restore(copy);
    cluster.store.set(StoreMode::Up);
    std::thread::sleep(REREGISTRATION - Duration::from_millis(250));
    set_listed(&cluster, true);
    std::thread::sleep(DRAIN_TIME);
    assert_eq!(times_gone(&cluster), before, "times that a router has taken it for gone");
}

#[test]
fn endpoint_is_not_kept_for_good_after_an_outage() {
    let cluster = cluster(1);
    lose_entry_in_an_outage(&cluster);
    let back = Instant::now();
    expect_gone(&cluster, back, back);
}
