//! Tests of endpoints that reject requests and ask for a rest.

mod cluster;

use std::time::{Duration, Instant};

use cluster::client::TestRequest;
use cluster::endpoints::Member;
use cluster::load::{Results, send_requests, served_share};
use cluster::{ClusterOptions, TestCluster};

/// Rest that endpoints ask for, in seconds.
const REST: &str = "3";
const REST_TIME: Duration = Duration::from_secs(3);

/// Time after a rejection within which requests may still arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Requests that may arrive in the remaining time of a rest.
const MAX_ARRIVALS: usize = 2;

/// Share of the requests that may fail.
const MAX_FAILED: f64 = 0.02;

/// Time within which a request is refused that no endpoint takes.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(8);

const EVENTS: u64 = 4;

/// One router, so that all rejections are its own.
fn cluster() -> TestCluster {
    TestCluster::start(ClusterOptions {
        routers: 1,
        zones: 1,
        engines_per_zone: 10,
        registers_per_zone: 3,
        ..ClusterOptions::default()
    })
}

fn send_drafts(cluster: &TestCluster) -> Results {
    send_requests(cluster, Duration::from_millis(30), DURATION, |_| TestRequest::draft(EVENTS))
}

/// Sends calls of the plain service, half of which may not be repeated.
fn send_calls(cluster: &TestCluster) -> Results {
    send_requests(cluster, Duration::from_millis(30), DURATION, |number| match number % 2 {
        0 => TestRequest::read(),
        _ => TestRequest::post(),
    })
}

fn is_register(member: &Member) -> bool {
    member.service == "register"
}

/// The most requests that reached an endpoint in one of its rests.
fn most_arrivals(cluster: &TestCluster, member: &Member) -> usize {
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    let own: Vec<_> = arrivals.iter().filter(|(_, id, _)| *id == member.id).collect();
    let in_rest = |rejected: &Instant| {
        let rest = *rejected + SETTLE_TIME..*rejected + REST_TIME;
        own.iter().filter(|(at, ..)| rest.contains(at)).count()
    };
    member.rejections.lock().unwrap().iter().map(in_rest).max().unwrap_or(0)
}

/// Checks that endpoints that asked for a rest got one, and that the others served.
fn assert_rests_are_kept(cluster: &TestCluster, resting: &[&Member], results: &Results) {
    let start = Instant::now() - DURATION;
    std::thread::sleep(Duration::from_secs(1));
    for member in resting {
        let most = most_arrivals(cluster, member);
        println!("{}: {most} requests in a rest", member.id);
        assert!(most <= MAX_ARRIVALS, "{} got {most} requests in a rest", member.id);
        assert!(!member.rejections.lock().unwrap().is_empty(), "{} is in use", member.id);
    }
    let served = served_share(results, start);
    println!("{served:.3} served");
    assert!(served >= 1.0 - MAX_FAILED, "{served:.3} served");
}

#[test]
fn engines_that_ask_for_a_rest_get_one_and_others_serve() {
    let cluster = cluster();
    let first = || cluster.endpoints.engines().filter(|engine| engine.holds(0, 1));
    assert!(first().count() > 3, "{} engines begin chains", first().count());
    let resting: Vec<_> = first().take(3).map(|engine| &**engine).collect();
    resting.iter().for_each(|engine| engine.state().rest = Some(REST));
    let results = send_drafts(&cluster);
    std::thread::sleep(DURATION);
    assert_rests_are_kept(&cluster, &resting, &results);
}

#[test]
fn plain_endpoint_that_asks_for_a_rest_gets_one_and_others_serve() {
    let cluster = cluster();
    let resting = cluster.endpoints.get("register-0");
    resting.state().rest = Some(REST);
    let results = send_calls(&cluster);
    std::thread::sleep(DURATION);
    assert_rests_are_kept(&cluster, &[resting], &results);
}

#[test]
fn requests_are_refused_at_once_while_all_endpoints_rest() {
    let cluster = cluster();
    cluster.endpoints.members.iter().for_each(|member| member.state().rest = Some("30"));
    let to = cluster.routers[0].clients;
    let send = |request: TestRequest| {
        let sent = Instant::now();
        let response = cluster.runtime.block_on(request.send(to)).unwrap();
        (response, sent.elapsed())
    };
    // The first requests find out which endpoints rest.
    for _ in 0..10 {
        send(TestRequest::draft(EVENTS));
        send(TestRequest::read());
    }
    let arrivals = cluster.endpoints.arrivals.lock().unwrap().len();
    for request in [TestRequest::draft(EVENTS), TestRequest::read(), TestRequest::post()] {
        let (response, elapsed) = send(request);
        let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert_eq!(response.status, 503);
        assert!(elapsed < REFUSAL_TIME, "refused after {elapsed:?}");
        assert!((1.0..=60.0).contains(&retry_after), "Retry-After is {retry_after}");
    }
    assert_eq!(cluster.endpoints.arrivals.lock().unwrap().len(), arrivals);
}

#[test]
fn restarted_endpoint_gets_requests_at_once() {
    let cluster = cluster();
    let registers: Vec<_> =
        cluster.endpoints.members.iter().filter(|member| is_register(member)).collect();
    registers.iter().for_each(|member| member.state().rest = Some("600"));
    let results = send_calls(&cluster);
    std::thread::sleep(Duration::from_secs(2));
    registers.iter().for_each(|member| member.restart());
    let restarted = Instant::now() + Duration::from_secs(2);
    std::thread::sleep(DURATION - Duration::from_secs(1));
    let served = served_share(&results, restarted);
    assert!(served >= 1.0 - MAX_FAILED, "{served:.3} served");
}

/// Names a test for each value that is no rest.
macro_rules! malformed_rest_is_ignored_and_logged {
    ($($name:ident: $value:literal;)*) => {$(
        #[test]
        fn $name() {
            let cluster = cluster();
            cluster.endpoints.get("register-0").state().rest = Some($value);
            let results = send_calls(&cluster);
            std::thread::sleep(DURATION + Duration::from_secs(1));
            let served = served_share(&results, Instant::now() - DURATION * 2);
            assert!(served >= 1.0 - MAX_FAILED, "{served:.3} served");
            let lines = cluster.routers[0].log_lines("MS0526");
            assert!(lines.iter().any(|line| line.contains("register-0")), "{lines:?}");
            assert!(cluster.routers[0].log_lines("MS0525").is_empty());
        }
    )*};
}

malformed_rest_is_ignored_and_logged! {
    date_is_ignored_and_logged: "Fri, 04 Dec 2026 15:00:00 GMT";
    negative_rest_is_ignored_and_logged: "-3";
    infinite_rest_is_ignored_and_logged: "inf";
}
