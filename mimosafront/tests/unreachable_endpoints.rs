//! Tests of routers that are cut off from all endpoints, while clients, the store and
//! other routers still reach them.

mod cluster;

use std::time::{Duration, Instant};

use cluster::client::TestRequest;
use cluster::kept::{KeptConnection, encode};
use cluster::load::{Results, Sent, send_requests_to, served_share_between};
use cluster::proxy::LinkState;
use cluster::{ClusterOptions, TestCluster};

/// Time after which requests at a router that is cut off must be served.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time before the cut, its length, and the time after it.
const BEFORE_CUT: Duration = Duration::from_secs(2);
const CUT: Duration = Duration::from_secs(8);
const AFTER_CUT: Duration = Duration::from_secs(4);

/// Share of the requests that may fail while routers are cut off.
const MAX_FAILED: f64 = 0.02;

/// Time within which a request is refused that no router can serve.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Interval of the requests to one router.
const INTERVAL: Duration = Duration::from_millis(50);

/// Interval of further streams at each router that is cut off, from when the cut begins,
/// and their events. They need more connections than are open by then.
const FURTHER_INTERVAL: Duration = Duration::from_millis(50);
const FURTHER_EVENTS: u64 = 30;

/// Time that clients wait.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Routers with links of their own to the endpoints.
fn options(routers: usize) -> ClusterOptions {
    ClusterOptions { routers, separate_links: true, ..ClusterOptions::default() }
}

fn mixed_request(number: usize) -> TestRequest {
    TestRequest { timeout: TIMEOUT, ..TestRequest::mixed(number) }
}

fn was_served((_, _, response): &Sent) -> bool {
    response.as_ref().is_some_and(|response| response.status == 200 && response.complete)
}

/// Checks that postings ran at most once, and not at all if they were refused.
fn assert_runs(cluster: &TestCluster, results: &Results) {
    for (_, request, response) in results.lock().unwrap().iter() {
        let runs = cluster.endpoints.trace(&request.id).runs;
        let is_refused = response.as_ref().is_some_and(|response| response.status == 503);
        if request.path.starts_with("/post/") {
            assert!(runs <= 1, "{} ran {runs} times", request.id);
        }
        assert!(!is_refused || runs == 0, "{} was refused and ran", request.id);
    }
}

/// Results at routers that are cut off and at the others.
struct Run {
    at_cut_off: Results,
    at_others: Results,
    began: Instant,
}

/// Cuts off some routers for `CUT` under load.
fn run_cut(cluster: &TestCluster, cut_off: &[usize], cut: LinkState) -> Run {
    let others: Vec<_> = (0..cluster.routers.len()).filter(|n| !cut_off.contains(n)).collect();
    let duration = BEFORE_CUT + CUT + AFTER_CUT;
    let send = |routers: &[usize]| {
        let interval = INTERVAL / routers.len().max(1) as u32;
        let duration = if routers.is_empty() { Duration::ZERO } else { duration };
        send_requests_to(cluster, routers, interval, duration, mixed_request)
    };
    let (at_cut_off, at_others) = (send(cut_off), send(&others));
    std::thread::sleep(BEFORE_CUT);
    cluster.set_links(cut_off, cut);
    let began = Instant::now();
    let interval = FURTHER_INTERVAL / cut_off.len() as u32;
    let further = send_requests_to(cluster, cut_off, interval, CUT, |_| TestRequest {
        timeout: TIMEOUT,
        ..TestRequest::draft(FURTHER_EVENTS)
    });
    std::thread::sleep(CUT);
    cluster.set_links(cut_off, LinkState::Up);
    std::thread::sleep(AFTER_CUT + Duration::from_secs(3));
    at_cut_off.lock().unwrap().append(&mut further.lock().unwrap());
    Run { at_cut_off, at_others, began }
}

/// Checks that requests at routers that are cut off are served like those at others.
fn assert_served_despite_cut(routers: usize, cut_off: &[usize], cut: LinkState) {
    let cluster = TestCluster::start(options(routers));
    let Run { at_cut_off, at_others, began } = run_cut(&cluster, cut_off, cut);
    let share = |results| served_share_between(results, began + SETTLE_TIME, began + CUT - TIMEOUT);
    let (there, elsewhere) = (share(&at_cut_off), share(&at_others));
    println!("{there:.3} served at routers that are cut off, {elsewhere:.3} at others");
    assert_runs(&cluster, &at_cut_off);
    assert!(there >= 1.0 - MAX_FAILED, "{there:.3} served at routers that are cut off");
    assert!(elsewhere >= 1.0 - MAX_FAILED, "{elsewhere:.3} served at others");
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
    let crashes = cluster.routers.iter().flat_map(|router| router.log_lines("MS0519"));
    assert_eq!(crashes.count(), 0, "endpoints that were cut off count as crashed");
}

/// Names a test for each way in which a router is cut off.
macro_rules! requests_are_served_by_other_routers {
    ($($name:ident: $routers:literal, $cut_off:expr, $cut:ident;)*) => {$(
        #[test]
        fn $name() {
            assert_served_despite_cut($routers, &$cut_off, LinkState::$cut);
        }
    )*};
}

requests_are_served_by_other_routers! {
    router_whose_connections_hang_serves_through_another: 2, [0], Unreachable;
    router_whose_connections_are_reset_serves_through_another: 2, [0], Reset;
    router_whose_new_connections_are_refused_serves_through_another: 2, [0], RefuseNew;
    router_whose_connections_are_accepted_and_silent_serves_through_another: 2, [0], Silent;
    router_that_gets_no_answers_serves_through_another: 2, [0], BlockedToClient;
    // Guards also against a fetch of a peer's older directory after each own read, which puts
    // off the fetch of its next one.
    most_routers_of_a_domain_serve_through_the_others: 5, [0, 2], Unreachable;
    all_routers_of_a_domain_serve_through_another: 5, [0, 2, 4], Unreachable;
}

/// Sets the links between router 0 and some endpoints, with failures of endpoints that cast
/// doubt on the paths, and checks that it goes on over its own connections.
fn assert_paths_stay_in_use(links: impl Fn(usize) -> LinkState) {
    let cluster = TestCluster::start(options(2));
    send_requests_to(&cluster, &[0], INTERVAL, BEFORE_CUT + CUT, mixed_request);
    std::thread::sleep(BEFORE_CUT);
    for endpoint in 0..cluster.endpoints.members.len() {
        cluster.set_link(0, endpoint, links(endpoint));
    }
    std::thread::sleep(CUT);
    let lost = cluster.routers[0].log_lines("MS0523");
    assert!(lost.is_empty(), "paths that work count as lost: {lost:?}");
}

#[test]
fn paths_stay_in_use_while_half_of_the_endpoints_accept_and_do_not_answer() {
    assert_paths_stay_in_use(|endpoint| match endpoint % 2 {
        0 => LinkState::Silent,
        _ => LinkState::Up,
    });
}

#[test]
fn paths_stay_in_use_if_only_slow_endpoints_answer() {
    assert_paths_stay_in_use(|endpoint| match endpoint % 3 {
        0 => LinkState::Delayed(Duration::from_millis(120)),
        _ => LinkState::Silent,
    });
}

#[test]
fn requests_that_no_router_can_serve_are_refused_at_once() {
    let cluster = TestCluster::start(options(2));
    let Run { at_cut_off: results, began, .. } = run_cut(&cluster, &[0, 1], LinkState::Unreachable);
    assert_runs(&cluster, &results);
    let (settled, end) = (began + SETTLE_TIME, began + CUT - TIMEOUT);
    let results = results.lock().unwrap();
    let during = results.iter().filter(|(sent, ..)| (settled..end).contains(sent));
    let refused = |(_, _, response): &Sent| {
        response.as_ref().is_some_and(|r| r.status == 503 && r.header("retry-after").is_some())
    };
    let (sent, refused) = (during.clone().count(), during.filter(|sent| refused(sent)).count());
    assert_eq!((sent > 0, refused), (true, sent), "refused, of all sent during the cut");
}

#[test]
fn refusal_of_requests_that_no_router_can_serve_takes_no_time() {
    let cluster = TestCluster::start(options(2));
    send_requests_to(&cluster, &[0, 1], INTERVAL / 2, BEFORE_CUT + CUT, mixed_request);
    std::thread::sleep(BEFORE_CUT);
    cluster.set_links(&[0, 1], LinkState::Unreachable);
    std::thread::sleep(SETTLE_TIME);
    for number in 0..12 {
        let (request, to) = (mixed_request(number), cluster.routers[number % 2].clients);
        let sent = Instant::now();
        let response = cluster.runtime.block_on(request.send(to));
        let elapsed = sent.elapsed();
        assert_eq!(response.map(|response| response.status), Some(503));
        assert!(elapsed < REFUSAL_TIME, "refused after {elapsed:?}");
    }
}

#[test]
fn service_returns_when_the_cut_ends() {
    let cluster = TestCluster::start(options(2));
    let Run { at_cut_off: results, began, .. } = run_cut(&cluster, &[0, 1], LinkState::Unreachable);
    let back = began + CUT + Duration::from_secs(1);
    let results = results.lock().unwrap();
    let after: Vec<_> = results.iter().filter(|(sent, ..)| *sent >= back).collect();
    let served = after.iter().filter(|sent| was_served(sent)).count();
    let share = served as f64 / after.len().max(1) as f64;
    println!("{share:.3} served from 1 s after the cut");
    assert!(share >= 1.0 - MAX_FAILED, "{share:.3} served from 1 s after the cut");
}

#[test]
fn layers_are_placed_while_the_router_that_placed_them_is_cut_off() {
    let cluster = TestCluster::start(options(2));
    let acquired = |router: usize| !cluster.routers[router].log_lines("MS0801").is_empty();
    let holder = (0..2).find(|router| acquired(*router)).unwrap();
    cluster.set_links(&[holder], LinkState::Unreachable);
    send_requests_to(&cluster, &[holder], INTERVAL, CUT, mixed_request);
    std::thread::sleep(SETTLE_TIME);
    cluster.endpoints.engines().for_each(|engine| engine.restart());
    cluster.wait_until("layers are placed", |cluster| cluster.endpoints.is_placed(2));
    assert!(acquired(1 - holder), "the other router places layers");
}

#[test]
fn request_at_the_limits_is_not_denied_by_the_router_that_it_is_relayed_to() {
    let cluster = TestCluster::start(options(2));
    cluster.set_links(&[0], LinkState::Unreachable);
    cluster.wait_until("requests are relayed", |cluster| {
        cluster.runtime.block_on(TestRequest::read().send(cluster.routers[0].clients));
        !cluster.routers[0].log_lines("MS0622").is_empty()
    });
    let (mut denied, limits) = (Vec::new(), cluster.limits);
    for _ in 0..10 {
        let request = TestRequest { body: vec![b'a'; limits.body_bytes], ..TestRequest::post() };
        // Without a deadline, which routers add.
        let encode = |lines: &str| {
            let text = String::from_utf8(encode(&request, lines)).unwrap();
            text.replace("request-deadline: 6000\r\n", "")
        };
        let rest = encode("x-large: \r\n").len() - limits.body_bytes;
        let line = format!("x-large: {}\r\n", "a".repeat(limits.head_bytes - rest));
        let mut connection = KeptConnection::open(cluster.routers[0].clients);
        let received = connection.send_bytes(encode(&line).as_bytes());
        denied.extend((received.status() != Some(200)).then_some(received));
    }
    assert_eq!(denied, [], "of 10");
}
