//! Tests of endpoints that say in their answers that they are leaving, and whose
//! directory entries still list them as ready.

mod cluster;

use std::time::{Duration, Instant};

use cluster::client::TestRequest;
use cluster::endpoints::Member;
use cluster::load::{send_requests, served_share};
use cluster::proxy::LinkState;
use cluster::{ClusterOptions, TestCluster};

/// Time after which a leaving endpoint must get no requests.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(6);

/// Share of the requests that may fail.
const MAX_FAILED: f64 = 0.02;

fn cluster(routers: usize, zones: usize, separate_links: bool) -> TestCluster {
    TestCluster::start(ClusterOptions {
        routers,
        zones,
        engines_per_zone: 6,
        registers_per_zone: 2,
        separate_links,
        ..ClusterOptions::default()
    })
}

/// The first engine of a zone's chains, another one, and an endpoint of the plain service.
fn leave(cluster: &TestCluster) -> Vec<&Member> {
    let mut first = cluster.endpoints.engines().filter(|engine| engine.holds(0, 1));
    let later = cluster.endpoints.engines().find(|engine| !engine.holds(0, 1));
    let register = cluster.endpoints.get("register-0");
    let leaving: Vec<_> = [first.next(), later, Some(register)].into_iter().flatten().collect();
    leaving.iter().for_each(|member| member.state().leaving = true);
    leaving.into_iter().map(|member| &**member).collect()
}

/// Requests that reached leaving endpoints after `from`.
fn late_arrivals(cluster: &TestCluster, leaving: &[&Member], from: Instant) -> usize {
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    let is_leaving = |id: &String| leaving.iter().any(|member| member.id == *id);
    arrivals.iter().filter(|(at, id)| *at > from && is_leaving(id)).count()
}

#[test]
fn endpoint_that_says_it_is_leaving_gets_no_new_requests() {
    let cluster = cluster(2, 2, false);
    let results = send_requests(&cluster, Duration::from_millis(15), DURATION, TestRequest::mixed);
    std::thread::sleep(Duration::from_secs(1));
    let leaving = leave(&cluster);
    let from = Instant::now() + DRAIN_TIME;
    std::thread::sleep(DURATION);
    let late = late_arrivals(&cluster, &leaving, from);
    assert_eq!(late, 0, "requests reached leaving endpoints too late");
    let served = served_share(&results, Instant::now() - DURATION * 2);
    assert!(served >= 1.0 - MAX_FAILED, "{served:.3} served");
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
}

#[test]
fn router_that_was_cut_off_sends_nothing_to_endpoints_that_said_so_meanwhile() {
    let cluster = cluster(2, 1, true);
    send_requests(&cluster, Duration::from_millis(15), DURATION + DURATION, TestRequest::mixed);
    cluster.set_links(&[0], LinkState::Unreachable);
    std::thread::sleep(Duration::from_secs(2));
    let leaving = leave(&cluster);
    std::thread::sleep(DRAIN_TIME);
    let from = Instant::now();
    cluster.set_links(&[0], LinkState::Up);
    std::thread::sleep(Duration::from_secs(3));
    let late = late_arrivals(&cluster, &leaving, from);
    assert_eq!(late, 0, "requests reached leaving endpoints too late");
}

#[test]
fn restarted_endpoint_is_no_longer_leaving() {
    let cluster = cluster(1, 2, false);
    let leaving = leave(&cluster);
    send_requests(&cluster, Duration::from_millis(15), DURATION, TestRequest::mixed);
    std::thread::sleep(Duration::from_secs(2));
    leaving.iter().for_each(|member| member.restart());
    cluster.endpoints.get("register-0-1").state().draining = true;
    cluster.endpoints.get("register-1").state().draining = true;
    cluster.endpoints.get("register-1-1").state().draining = true;
    let register = cluster.endpoints.get("register-0");
    let from = Instant::now();
    cluster.wait_until("the restarted endpoint gets requests", |cluster| {
        late_arrivals(cluster, &[register], from) > 0
    });
}
