//! Tests of prompt parts that crash each engine that begins to write an answer
//! on them.

mod cluster;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use cluster::client::TestRequest;
use cluster::endpoints::{CRASHING_LAST_PART, CRASHING_PART};
use cluster::{ClusterOptions, TestCluster};

/// Time after the fifth crash in which requests with the part may still reach
/// engines.
const WINDOW: Duration = Duration::from_secs(3);

/// Requests with the part that may reach engines after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// Engines that a request may end of which nothing is known: its route allows two
/// attempts, each of which may be moved to other engines twice.
const MAX_CRASHES_OF_A_REQUEST: usize = 6;

/// Interval of sound requests and of those with the part.
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);

/// Events of a sound stream.
const EVENTS: u64 = 30;

/// Reason in the body of a refusal because of a part.
const REFUSAL: &str = "crashes engines";

/// Two routers before ten engines.
fn cluster() -> TestCluster {
    TestCluster::start(ClusterOptions { engines_per_zone: 5, ..ClusterOptions::default() })
}

/// Sound and served requests in a span of time.
#[derive(Default)]
struct Served {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused_for_a_part: AtomicUsize,
}

impl Served {
    fn share(&self) -> f64 {
        self.served.load(Ordering::Relaxed) as f64 / self.sent.load(Ordering::Relaxed) as f64
    }
}

/// Sends sound requests at both routers for `duration`; their prompts share
/// every part but one with the others.
fn send_sound(cluster: &TestCluster, duration: Duration) -> Arc<Served> {
    let served = Arc::new(Served::default());
    let routers: Vec<_> = cluster.routers.iter().map(|router| router.clients).collect();
    let counts = served.clone();
    cluster.runtime.spawn(async move {
        let end = Instant::now() + duration;
        for number in 0.. {
            if Instant::now() >= end {
                return;
            }
            let document = format!("d{}", number % 3);
            let request = TestRequest::draft(EVENTS).with_parts(&["5a", &document]);
            let (to, counts) = (routers[number % routers.len()], counts.clone());
            tokio::spawn(async move {
                counts.sent.fetch_add(1, Ordering::Relaxed);
                let Some(response) = request.send(to).await else { return };
                assert_eq!(response.protocol_error(&request), None);
                let is_served = response.status == 200 && response.complete;
                counts.served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                let for_a_part = response.body.contains(REFUSAL);
                counts.refused_for_a_part.fetch_add(usize::from(for_a_part), Ordering::Relaxed);
            });
            tokio::time::sleep(SOUND_INTERVAL).await;
        }
    });
    served
}

/// Sends requests with the crashing part at both routers until the test ends.
fn send_crashing(cluster: &TestCluster) {
    let routers: Vec<_> = cluster.routers.iter().map(|router| router.clients).collect();
    cluster.runtime.spawn(async move {
        for number in 0_usize.. {
            let request = TestRequest::draft(EVENTS).with_parts(&["5a", CRASHING_PART]);
            let to = routers[number % routers.len()];
            tokio::spawn(async move { drop(request.send(to).await) });
            tokio::time::sleep(CRASHING_INTERVAL).await;
        }
    });
}

fn late_arrivals(cluster: &TestCluster) -> usize {
    cluster.endpoints.late_arrivals(5, WINDOW)
}

#[test]
fn crashing_part_ends_few_engines_and_sound_requests_are_served() {
    let cluster = cluster();
    let before = send_sound(&cluster, Duration::from_secs(3));
    std::thread::sleep(Duration::from_secs(3));
    send_crashing(&cluster);
    std::thread::sleep(2 * WINDOW);
    let after = send_sound(&cluster, Duration::from_secs(6));
    std::thread::sleep(Duration::from_secs(9));
    let crashes = cluster.endpoints.crashes.lock().unwrap().len();
    let (late, share) = (late_arrivals(&cluster), after.share() / before.share());
    println!(
        "{crashes} crashes, {late} late arrivals, sound requests served: {share:.2} of before"
    );
    assert!(crashes > 0 && late <= MAX_LATE_ARRIVALS && share >= 0.5);
    assert_eq!(after.refused_for_a_part.load(Ordering::Relaxed), 0);
}

#[test]
fn request_that_crashes_the_last_engine_of_a_chain_ends_one_engine() {
    let cluster = cluster();
    send_sound(&cluster, Duration::from_secs(6));
    std::thread::sleep(Duration::from_secs(2));
    let request = TestRequest::draft(EVENTS).with_parts(&["5a", CRASHING_LAST_PART]);
    cluster.runtime.block_on(request.send(cluster.routers[0].clients));
    let crashes = cluster.endpoints.crashes.lock().unwrap().len();
    println!("{crashes} crashes");
    assert_eq!(crashes, 1);
}

#[test]
fn request_without_shared_parts_ends_few_engines() {
    let cluster = cluster();
    send_sound(&cluster, Duration::from_secs(6));
    std::thread::sleep(Duration::from_secs(2));
    // Its own part, which comes last, is not shared: the endpoints are told which
    // request it is.
    let request = TestRequest::draft(EVENTS);
    cluster.endpoints.crashing_last.lock().unwrap().insert(request.id.clone());
    cluster.runtime.block_on(request.send(cluster.routers[0].clients));
    let crashes = cluster.endpoints.crashes.lock().unwrap().len();
    println!("{crashes} crashes");
    assert!((1..=MAX_CRASHES_OF_A_REQUEST).contains(&crashes));
}

#[test]
fn crashing_part_stays_blocked_after_a_router_restart() {
    let mut cluster = cluster();
    let sound = send_sound(&cluster, Duration::from_secs(14));
    std::thread::sleep(Duration::from_secs(2));
    send_crashing(&cluster);
    std::thread::sleep(2 * WINDOW);
    cluster.routers[0].stop(Signal::SIGKILL);
    cluster.routers[0].spawn();
    std::thread::sleep(2 * WINDOW);
    let crashes = cluster.endpoints.crashes.lock().unwrap().len();
    let late = late_arrivals(&cluster);
    println!("{crashes} crashes, {late} late arrivals");
    assert!(crashes > 0 && late <= MAX_LATE_ARRIVALS);
    assert_eq!(sound.refused_for_a_part.load(Ordering::Relaxed), 0);
}
