//! Tests of a request that crashes each endpoint that begins to run it, and comes
//! again with the same caller, path and body.

mod cluster;

use std::time::{Duration, Instant};

use hyper::Method;
use nix::sys::signal::Signal;

use cluster::client::TestRequest;
use cluster::endpoints::CRASHING_BODY;
use cluster::load::{Results, send_requests, served_share};
use cluster::{ClusterOptions, TestCluster};

/// Time after the third crash in which the request may still reach endpoints.
const WINDOW: Duration = Duration::from_secs(3);

/// Repeats that may reach endpoints after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// Interval of sound requests and of the crashing one.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(15);

/// Events of a sound stream.
const EVENTS: u64 = 12;

/// Reason in the body of a refusal because of the content.
const REFUSAL: &str = "crashes endpoints";

/// Two routers before eight endpoints of the plain service and ten engines.
fn cluster() -> TestCluster {
    TestCluster::start(ClusterOptions {
        engines_per_zone: 5,
        registers_per_zone: 4,
        ..ClusterOptions::default()
    })
}

/// A call that may be repeated.
fn call(body: &[u8]) -> TestRequest {
    TestRequest { body: body.to_vec(), ..TestRequest::new(Method::POST, "/read/x") }
}

/// A stream whose prompt parts all others share.
fn draft(body: &[u8]) -> TestRequest {
    TestRequest { body: body.to_vec(), ..TestRequest::draft(EVENTS).with_parts(&["5a", "d1"]) }
}

/// A posting, which may not be repeated.
fn post(body: &[u8]) -> TestRequest {
    TestRequest { body: body.to_vec(), ..TestRequest::post() }
}

type Make = fn(&[u8]) -> TestRequest;

/// Sends sound requests; every second one has the same content as the others, which
/// differ from the crashing one in the body only.
fn send_sound(cluster: &TestCluster, duration: Duration, make: Make) -> Results {
    send_requests(cluster, SOUND_INTERVAL, duration, move |number| match number / 2 % 2 {
        0 => make(b"sound"),
        _ => make(format!("sound {number}").as_bytes()),
    })
}

fn send_crashing(cluster: &TestCluster, duration: Duration, make: Make) -> Results {
    send_requests(cluster, CRASHING_INTERVAL, duration, move |_| make(CRASHING_BODY))
}

fn refused_for_content(results: &Results) -> usize {
    let results = results.lock().unwrap();
    let bodies = results.iter().filter_map(|(_, _, response)| Some(&response.as_ref()?.body));
    bodies.filter(|body| body.contains(REFUSAL)).count()
}

/// Checks that few endpoints end, and that sound requests are served.
fn assert_contained(cluster: &TestCluster, sound: &Results, from: Instant) {
    let crashes = cluster.endpoints.crashes.lock().unwrap().len();
    let late = cluster.endpoints.late_arrivals(3, WINDOW);
    let (served, refused) = (served_share(sound, from), refused_for_content(sound));
    println!(
        "{crashes} crashes, {late} late arrivals, {served:.2} of the sound requests served, {refused} refused"
    );
    assert!(crashes >= 3 && late <= MAX_LATE_ARRIVALS, "{crashes} crashes, {late} late arrivals");
    assert!(served >= 0.9, "{served:.2} of the sound requests served");
    assert_eq!(refused, 0, "sound requests refused for their content");
}

fn assert_repeats_are_contained(make: Make) {
    let cluster = cluster();
    let sound = send_sound(&cluster, DURATION + Duration::from_secs(2), make);
    std::thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    send_crashing(&cluster, DURATION, make);
    std::thread::sleep(DURATION + Duration::from_secs(1));
    assert_contained(&cluster, &sound, start + Duration::from_secs(6));
}

#[test]
fn repeated_call_ends_few_endpoints_of_a_plain_service() {
    assert_repeats_are_contained(call);
}

#[test]
fn repeated_posting_ends_few_endpoints_of_a_plain_service() {
    assert_repeats_are_contained(post);
}

#[test]
fn repeated_stream_ends_few_engines() {
    assert_repeats_are_contained(draft);
}

#[test]
fn repeated_call_stays_blocked_after_a_router_restart() {
    let mut cluster = cluster();
    let sound = send_sound(&cluster, DURATION, call);
    std::thread::sleep(Duration::from_secs(2));
    send_crashing(&cluster, DURATION, call);
    std::thread::sleep(Duration::from_secs(5));
    cluster.routers[0].stop(Signal::SIGKILL);
    cluster.routers[0].spawn();
    std::thread::sleep(DURATION - Duration::from_secs(5));
    let crashes = cluster.endpoints.crashes.lock().unwrap().len();
    let late = cluster.endpoints.late_arrivals(3, WINDOW);
    println!("{crashes} crashes, {late} late arrivals");
    assert!(crashes >= 3 && late <= MAX_LATE_ARRIVALS, "{crashes} crashes, {late} late arrivals");
    assert_eq!(refused_for_content(&sound), 0);
}

#[test]
fn blocked_content_is_refused_as_not_run_and_with_a_retry_delay() {
    let cluster = cluster();
    send_sound(&cluster, Duration::from_secs(10), call);
    std::thread::sleep(Duration::from_secs(2));
    let crashing = send_crashing(&cluster, Duration::from_secs(6), call);
    std::thread::sleep(Duration::from_secs(8));
    let crashing = crashing.lock().unwrap();
    let refused: Vec<_> = crashing
        .iter()
        .filter(|(.., response)| response.as_ref().is_some_and(|r| r.body.contains(REFUSAL)))
        .collect();
    assert!(refused.len() >= 10, "{} refused", refused.len());
    for (_, request, response) in refused {
        let response = response.as_ref().unwrap();
        let runs = cluster.endpoints.trace(&request.id).runs;
        assert!(response.status == 503 && runs == 0 || response.status == 502 && runs > 0);
        assert!(response.status == 502 || response.header("retry-after").is_some());
    }
}
