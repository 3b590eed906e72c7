//! Tests of changes of the configuration beside endpoints in trouble: each whole request gets an
//! answer or a refusal.

mod cluster;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use cluster::blind::{BlindConnection, Ending};
use cluster::client::TestRequest;
use cluster::endpoints::{Health, Member};
use cluster::proxy::{self, BrokenAnswer, LinkState};
use cluster::{ClusterOptions, KEY, OTHER_KEY, TEAM, TestCluster};

/// Clients, half of which keep their connections.
const CLIENTS: usize = 24;

/// Time for which they send.
const DURATION: Duration = Duration::from_secs(7);

/// Time that a client waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(170);

/// Time for which an endpoint is in trouble, before the next one is.
const TROUBLE: Duration = Duration::from_millis(1_100);

/// A request that ended without an answer, and how.
type Loss = (String, Ending, Duration);

/// Sends requests until `end`; returns their number and those without an answer.
async fn keep_sending(to: SocketAddr, client: usize, end: Arc<AtomicBool>) -> (usize, Vec<Loss>) {
    let (mut requests, mut losses) = (0, Vec::new());
    let mut kept = None;
    while !end.load(Ordering::Relaxed) {
        let connection = match kept.take() {
            Some(connection) => Some(connection),
            None => BlindConnection::connect(to).await,
        };
        let Some(mut connection) = connection else { continue };
        let request = match client + requests {
            number if number.is_multiple_of(4) => TestRequest::note(4),
            number => TestRequest::mixed(number),
        };
        let request = TestRequest { timeout: TIMEOUT, ..request };
        let sent = Instant::now();
        let ending = connection.send(&request).await;
        requests += 1;
        match ending {
            Ending::Kept if client.is_multiple_of(2) => kept = Some(connection),
            Ending::Kept | Ending::Closed => {}
            other => losses.push((request.path, other, sent.elapsed())),
        }
        sleep(Duration::from_millis(20 + client as u64 * 7)).await;
    }
    (requests, losses)
}

/// Changes limits, times, attempts and routes that no client uses.
fn change(cluster: &mut TestCluster, number: u64) {
    cluster.limits.idle_timeout = Duration::from_secs(10 + number % 3 * 5);
    cluster.configure_with(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])], |config| {
        let routes = config["routes"].as_array_mut().unwrap();
        for route in routes.iter_mut() {
            route["timeout_ms"] = json!(6_000 + number % 4 * 1_000);
            route["attempts"] = json!(2 + number % 2);
        }
        if number.is_multiple_of(2) {
            let mut added = routes[0].clone();
            added["name"] = json!("added");
            added["prefix"] = json!(format!("/added-{number}/"));
            routes.push(added);
        }
    });
}

/// Brings trouble to one endpoint of each service after the other.
fn assert_answered(begin: impl Fn(&Member), end: impl Fn(&Member)) {
    let mut cluster =
        TestCluster::start(ClusterOptions { registers_per_zone: 2, ..ClusterOptions::default() });
    let ended = Arc::new(AtomicBool::new(false));
    let sending: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let to = cluster.routers[client / 2 % cluster.routers.len()].clients;
            cluster.runtime.spawn(keep_sending(to, client, ended.clone()))
        })
        .collect();
    let members = cluster.endpoints.members.clone();
    let of = |service: &str, number: usize| {
        let members: Vec<_> = members.iter().filter(|m| m.service == service).collect();
        members[number % members.len()].clone()
    };
    let started = Instant::now();
    let (mut changes, mut troubles, mut until) = (0, 0, Instant::now());
    let mut troubled: Vec<Arc<Member>> = Vec::new();
    while started.elapsed() < DURATION {
        change(&mut cluster, changes);
        changes += 1;
        if Instant::now() >= until {
            troubled.drain(..).for_each(|member| end(&member));
            troubled = vec![of("model", troubles), of("register", troubles)];
            troubled.iter().for_each(|member| begin(member));
            (troubles, until) = (troubles + 1, Instant::now() + TROUBLE);
        }
        std::thread::sleep(CHANGE_INTERVAL);
    }
    troubled.drain(..).for_each(|member| end(&member));
    ended.store(true, Ordering::Relaxed);
    let (mut requests, mut losses) = (0, Vec::new());
    for sent in sending {
        let (sent, lost) = cluster.runtime.block_on(sent).unwrap();
        requests += sent;
        losses.extend(lost);
    }
    println!("{} of {requests} requests lost beside {changes} changes", losses.len());
    assert!(losses.is_empty(), "{} of {requests}: {losses:?}", losses.len());
}

/// Every third request of a client gets the begin of an error and no more.
fn begin_hanging_errors(member: &Member) {
    let requests = AtomicUsize::new(0);
    member.proxy.break_answers(Arc::new(move |request: &str| {
        let id = request.lines().find_map(|line| line.strip_prefix("request-id: "))?;
        let number = requests.fetch_add(1, Ordering::Relaxed);
        let head =
            format!("HTTP/1.1 500 Error\r\nrequest-id: {id}\r\ncontent-length: 4000\r\n\r\nfailed");
        let ending = proxy::Ending::Silence;
        number.is_multiple_of(3).then(|| BrokenAnswer { bytes: head.into_bytes(), ending })
    }));
}

/// Defines tests with the begin and the end of an endpoint's trouble.
macro_rules! trouble_tests {
    ($($name:ident: $begin:expr, $end:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_answered($begin, $end);
        }
    )*};
}

trouble_tests! {
    changes_beside_silent_endpoints_lose_nothing:
        |member| member.proxy.set(LinkState::Stopped), |member| member.proxy.set(LinkState::Up);
    changes_beside_leaving_endpoints_lose_nothing:
        |member| member.state().leaving = true, |member| member.state().leaving = false;
    changes_beside_limited_endpoints_lose_nothing:
        |member| member.limit_requests(Some("5")), |member| member.limit_requests(None);
    changes_beside_resting_endpoints_lose_nothing:
        |member| member.state().rest = Some("0.2"), |member| member.state().rest = None;
    changes_beside_unframed_answers_lose_nothing:
        |member| member.state().health = Health::Unframed, |member| member.state().health = Health::Healthy;
    changes_beside_failing_endpoints_lose_nothing:
        |member| member.state().failure = Some((503, true)), |member| member.state().failure = None;
    changes_beside_errors_that_hang_lose_nothing:
        begin_hanging_errors, |member| member.proxy.break_answers(Arc::new(|_: &str| None));
}
