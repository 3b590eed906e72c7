//! Tests of endpoints that say in their answers that they are leaving, and whose
//! directory entries still list them as ready.

mod cluster;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::Value;

use cluster::client::TestRequest;
use cluster::endpoints::Member;
use cluster::load::{send_requests, served_share};
use cluster::proxy::LinkState;
use cluster::router::Router;
use cluster::store::Copy;
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
        router_zones: separate_links.then_some(routers),
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

/// Ids of the requests that reached leaving endpoints after `from`.
fn late_arrivals(cluster: &TestCluster, leaving: &[&Member], from: Instant) -> Vec<String> {
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    let is_leaving = |id: &String| leaving.iter().any(|member| member.id == *id);
    let late = arrivals.iter().filter(|(at, id, _)| *at > from && is_leaving(id));
    late.map(|(.., request)| request.clone()).collect()
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
    assert_eq!(late, Vec::<String>::new(), "reached leaving endpoints too late");
    let served = served_share(&results, Instant::now() - DURATION * 2);
    assert!(served >= 1.0 - MAX_FAILED, "{served:.3} served");
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
}

/// Ids of the requests that a router has logged as sent to leaving endpoints, in lines after
/// the first `skipped` ones.
fn sent_requests(router: &Router, leaving: &[&Member], skipped: usize) -> HashSet<String> {
    let lines = router.log_lines("MS0611").into_iter().skip(skipped);
    let sent = lines.map(|line| serde_json::from_str::<Value>(&line).unwrap());
    let is_leaving = |to: &Value| {
        let first = to.as_str().unwrap().split(':').next().unwrap();
        leaving.iter().any(|member| member.id == first)
    };
    let sent = sent.filter(|sent| is_leaving(&sent["to"]));
    sent.map(|sent| sent["request"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn router_that_was_cut_off_sends_nothing_to_endpoints_that_said_so_meanwhile() {
    let cluster = cluster(2, 1, true);
    send_requests(&cluster, Duration::from_millis(15), DURATION + DURATION, TestRequest::mixed);
    cluster.set_links(&[0], LinkState::Unreachable);
    std::thread::sleep(Duration::from_secs(2));
    let leaving = leave(&cluster);
    // A link that is cut delivers later what was sent on it before.
    let held = sent_requests(&cluster.routers[0], &leaving, 0);
    std::thread::sleep(DRAIN_TIME);
    let logged = cluster.routers[0].log_lines("MS0611").len();
    let from = Instant::now();
    cluster.set_links(&[0], LinkState::Up);
    std::thread::sleep(Duration::from_secs(3));
    let late = late_arrivals(&cluster, &leaving, from);
    let late: Vec<_> = late.into_iter().filter(|request| !held.contains(request)).collect();
    assert_eq!(late, Vec::<String>::new(), "reached leaving endpoints too late");
    let sent = sent_requests(&cluster.routers[0], &leaving, logged);
    assert_eq!(sent, HashSet::new(), "sent to leaving endpoints too late");
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
        !late_arrivals(cluster, &[register], from).is_empty()
    });
}

/// Waits until every router has logged an event of an endpoint.
fn wait_until_logged(cluster: &TestCluster, code: &str, member: &Member) {
    let is_own = |line: &String| line.contains(&member.id);
    cluster.wait_until(code, |cluster| {
        cluster.routers.iter().all(|router| router.log_lines(code).iter().any(is_own))
    });
}

/// Lets an endpoint say that it is leaving and removes its entry; returns a copy of the store
/// from before.
fn remove(cluster: &TestCluster, member: &Member) -> Copy {
    let copy = cluster.store.copy();
    member.state().leaving = true;
    wait_until_logged(cluster, "MS0503", member);
    member.state().removed = true;
    wait_until_logged(cluster, "MS0512", member);
    copy
}

#[test]
fn entry_from_an_old_copy_brings_no_requests_to_a_leaving_endpoint() {
    let cluster = cluster(2, 1, false);
    send_requests(&cluster, Duration::from_millis(15), DURATION * 3, TestRequest::mixed);
    std::thread::sleep(Duration::from_secs(1));
    let register = cluster.endpoints.get("register-0");
    let copy = remove(&cluster, register);
    let from = Instant::now();
    register.state().removed = false;
    cluster.store.restore(copy);
    std::thread::sleep(DURATION);
    let late = late_arrivals(&cluster, &[register], from);
    assert_eq!(late, Vec::<String>::new(), "reached the leaving endpoint");
    let listed = cluster.routers[0].log_lines("MS0511");
    let listed = listed.iter().filter(|line| line.contains("\"register-0\"")).count();
    assert_eq!(listed, 2, "the router has read the entry from the copy");
}

#[test]
fn router_that_starts_learns_of_an_endpoint_that_left_before_the_store_came_back() {
    let mut cluster = cluster(2, 1, false);
    send_requests(&cluster, Duration::from_millis(15), DURATION * 4, TestRequest::mixed);
    std::thread::sleep(Duration::from_secs(1));
    let endpoints = cluster.endpoints.clone();
    let register = endpoints.get("register-0");
    let copy = remove(&cluster, register);
    cluster.routers[1].stop(Signal::SIGKILL);
    // From here on only the first router knows it.
    register.state().leaving = false;
    cluster.routers[1].spawn();
    register.state().removed = false;
    cluster.store.restore(copy);
    std::thread::sleep(DRAIN_TIME);
    let from = Instant::now();
    std::thread::sleep(DURATION);
    let late = late_arrivals(&cluster, &[register], from);
    assert_eq!(late, Vec::<String>::new(), "reached the leaving endpoint");
}
