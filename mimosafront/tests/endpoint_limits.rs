//! Tests of limits that endpoints name on the requests that they take from all
//! routers together.

mod cluster;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use cluster::client::TestRequest;
use cluster::load::{Results, send_requests, served_share};
use cluster::proxy::LinkState;
use cluster::{ClusterOptions, TestCluster};

/// Time after which a limit that is named must hold.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(13);

/// Events of a stream.
const EVENTS: u64 = 4;

fn cluster() -> TestCluster {
    TestCluster::start(ClusterOptions { routers: 4, ..ClusterOptions::default() })
}

/// Requests that an endpoint may get in any `WINDOW`: half more than its limit, and 5.
fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64()) as usize + 5
}

/// The most requests that reached an endpoint in any `WINDOW` after `from`.
fn most_arrivals(cluster: &TestCluster, id: &str, from: Instant) -> usize {
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    let own = arrivals.iter().filter(|(at, endpoint, _)| *at >= from && endpoint == id);
    let times: Vec<_> = own.map(|(at, ..)| *at).collect();
    let in_window =
        |start: &Instant| times.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Checks that no endpoint got more requests than its limit allows.
fn assert_limits_hold(cluster: &TestCluster, limits: &[(&str, f64)], from: Instant) {
    for (id, per_second) in limits {
        let (most, allowed) = (most_arrivals(cluster, id, from), allowed(*per_second));
        println!("{id}: {most} requests in 4 s, {allowed} allowed");
        assert!(most <= allowed, "{id} got {most} requests in 4 s, {allowed} allowed");
    }
}

/// Sends calls of plain services, half of which may not be repeated.
fn send_calls(cluster: &TestCluster, duration: Duration) -> Results {
    send_requests(cluster, Duration::from_millis(25), duration, |number| match number % 2 {
        0 => TestRequest::read(),
        _ => TestRequest::post(),
    })
}

fn send_drafts(cluster: &TestCluster, duration: Duration) -> Results {
    send_requests(cluster, Duration::from_millis(30), duration, |_| TestRequest::draft(EVENTS))
}

#[test]
fn limits_of_a_plain_service_hold_over_all_routers() {
    let cluster = cluster();
    cluster.endpoints.get("register-0").limit_requests(Some("1"));
    cluster.endpoints.get("register-1").limit_requests(Some("2.5"));
    let start = Instant::now();
    let results = send_calls(&cluster, DURATION);
    std::thread::sleep(DURATION + Duration::from_secs(1));
    let settled = start + SETTLE_TIME;
    assert_limits_hold(&cluster, &[("register-0", 1.0), ("register-1", 2.5)], settled);
    let served = served_share(&results, settled) * 40.0;
    println!("{served:.2} requests a second served");
    assert!(served >= 0.8 * 3.5, "{served:.2} of 3.5 requests a second served");
}

#[test]
fn other_endpoints_serve_what_a_limited_one_does_not_take() {
    let cluster = cluster();
    cluster.endpoints.get("register-0").limit_requests(Some("1"));
    let start = Instant::now();
    let results = send_calls(&cluster, DURATION);
    std::thread::sleep(DURATION + Duration::from_secs(1));
    assert_limits_hold(&cluster, &[("register-0", 1.0)], start + SETTLE_TIME);
    let served = served_share(&results, start);
    assert!(served >= 0.99, "{served:.3} served");
}

#[test]
fn limits_of_first_engines_hold_over_all_routers() {
    let cluster = cluster();
    cluster.endpoints.engines().for_each(|engine| engine.limit_requests(Some("2")));
    let start = Instant::now();
    send_drafts(&cluster, DURATION);
    std::thread::sleep(DURATION + Duration::from_secs(1));
    let limits: Vec<_> = cluster.endpoints.engines().map(|engine| (&*engine.id, 2.0)).collect();
    assert_limits_hold(&cluster, &limits, start + SETTLE_TIME);
}

#[test]
fn limit_does_not_apply_to_later_engines_of_a_chain() {
    let cluster = cluster();
    let later = cluster.endpoints.engines().filter(|engine| !engine.holds(0, 1));
    later.for_each(|engine| engine.limit_requests(Some("1")));
    let start = Instant::now();
    let results = send_drafts(&cluster, DURATION);
    std::thread::sleep(DURATION + Duration::from_secs(1));
    let served = served_share(&results, start);
    assert!(served >= 0.99, "{served:.3} served");
}

#[test]
fn limit_holds_across_router_restarts_and_connection_resets() {
    let mut cluster = cluster();
    for id in ["register-0", "register-1"] {
        cluster.endpoints.get(id).limit_requests(Some("1"));
    }
    let start = Instant::now();
    send_calls(&cluster, DURATION);
    std::thread::sleep(Duration::from_secs(4));
    for number in 0..3 {
        cluster.routers[number].stop(Signal::SIGKILL);
        cluster.routers[number].spawn();
        for id in ["register-0", "register-1"] {
            let proxy = &cluster.endpoints.get(id).proxy;
            proxy.set(LinkState::Reset);
            std::thread::sleep(Duration::from_millis(100));
            proxy.set(LinkState::Up);
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    std::thread::sleep(Duration::from_secs(4));
    let limits = [("register-0", 1.0), ("register-1", 1.0)];
    assert_limits_hold(&cluster, &limits, start + SETTLE_TIME);
}

#[test]
fn changed_limit_is_in_force_and_lifted_one_is_not() {
    let cluster = cluster();
    let register = cluster.endpoints.get("register-0");
    cluster.endpoints.get("register-1").limit_requests(Some("1"));
    register.limit_requests(Some("2"));
    send_calls(&cluster, Duration::from_secs(26));
    std::thread::sleep(Duration::from_secs(5));
    register.limit_requests(Some("20"));
    std::thread::sleep(Duration::from_secs(3));
    let raised = Instant::now();
    std::thread::sleep(Duration::from_secs(5));
    let most = most_arrivals(&cluster, "register-0", raised);
    assert!((40..=allowed(20.0)).contains(&most), "{most} requests in 4 s at 20 a second");
    register.limit_requests(Some("3"));
    std::thread::sleep(SETTLE_TIME);
    let lowered = Instant::now();
    std::thread::sleep(Duration::from_secs(5));
    assert_limits_hold(&cluster, &[("register-0", 3.0)], lowered);
    register.limit_requests(None);
    std::thread::sleep(Duration::from_secs(2));
    let lifted = Instant::now();
    std::thread::sleep(Duration::from_secs(4));
    let most = most_arrivals(&cluster, "register-0", lifted);
    assert!(most >= 70, "{most} requests in 4 s without a limit");
}

#[test]
fn malformed_limit_is_ignored_and_logged() {
    let cluster = cluster();
    let [first, second] = ["register-0", "register-1"].map(|id| cluster.endpoints.get(id));
    first.limit_requests(Some("1"));
    second.limit_requests(Some("-3"));
    let start = Instant::now();
    let results = send_calls(&cluster, DURATION);
    std::thread::sleep(Duration::from_secs(4));
    first.limit_requests(Some("plenty"));
    std::thread::sleep(DURATION - Duration::from_secs(3));
    assert_limits_hold(&cluster, &[("register-0", 1.0)], start + SETTLE_TIME);
    let served = served_share(&results, start);
    assert!(served >= 0.99, "{served:.3} served");
    let logged = |id: &str| {
        let lines = cluster.routers.iter().flat_map(|router| router.log_lines("MS0522"));
        lines.filter(|line| line.contains(id)).count()
    };
    assert!(logged("register-0") > 0 && logged("register-1") > 0);
}
