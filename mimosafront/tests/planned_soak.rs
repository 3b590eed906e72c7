//! Randomized soak test of planned work only: stops, reloads and changes of the configuration
//! in overlapping series, beside clients that write on their connections without looking.
//!
//! Since no fault is injected, every whole request must get an answer or a refusal. Set
//! `SOAK_SEEDS=1..50` and `SOAK_SECONDS=20` to choose the seeds and the duration.

mod cluster;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

use cluster::blind::{BlindConnection, Ending};
use cluster::client::TestRequest;
use cluster::router::GRACE_PERIOD;
use cluster::{ClusterOptions, KEY, OTHER_KEY, TEAM, TestCluster};

/// Seeds that run by default.
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;

/// Default duration of the planned work.
const DEFAULT_SECONDS: u64 = 15;

/// Number of concurrent clients.
const CLIENTS: u64 = 24;

/// Idle limits between which the configuration changes.
const IDLE_LIMITS: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_secs(12)];

/// Time limit of request heads, below the idle limits.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// One in this many steps of the planned work changes the idle limit.
const IDLE_LIMIT_ONE_IN: u32 = 12;

/// One in this many steps stops a router.
const STOP_ONE_IN: u32 = 8;

/// Part of the idle limit in force for which clients may leave a connection idle.
const MAX_IDLE_SHARE: f64 = 0.8;

/// Longest pause of clients that use their connections often.
const SHORT_PAUSE: Duration = Duration::from_millis(300);

/// Part of the grace period, at its end, in which a router closes idle connections.
const CLOSE_PERIOD: Duration = Duration::from_millis(450);

/// A whole request that got neither an answer nor a refusal.
struct Loss {
    router: usize,
    /// When the connection was last used, or opened.
    used: Instant,
    sent: Instant,
    /// Whether the end of the connection had not arrived when the request was written.
    crossed: bool,
    text: String,
}

struct Shared {
    routers: Vec<SocketAddr>,
    idle_limit: Mutex<Duration>,
    ended: Mutex<bool>,
    requests: Mutex<usize>,
    losses: Mutex<Vec<Loss>>,
}

#[test]
fn every_whole_request_is_answered_beside_planned_work() {
    let named = std::env::var("SOAK_SEEDS").ok();
    let seeds = named.as_deref().map_or(DEFAULT_SEEDS, |text| {
        let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
        from.parse().unwrap()..to.parse().unwrap()
    });
    let seconds =
        std::env::var("SOAK_SECONDS").map_or(DEFAULT_SECONDS, |text| text.parse().unwrap());
    for seed in seeds {
        let violations = soak(seed, Duration::from_secs(seconds));
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

fn soak(seed: u64, duration: Duration) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = TestCluster::start(ClusterOptions { routers: 3, ..Default::default() });
    cluster.limits.head_timeout = HEAD_TIMEOUT;
    cluster.limits.idle_timeout = IDLE_LIMITS[0];
    configure(&mut cluster);
    cluster.wait_for_configuration();
    let shared = Arc::new(Shared {
        routers: cluster.routers.iter().map(|router| router.clients).collect(),
        idle_limit: Mutex::new(cluster.limits.idle_timeout),
        ended: Mutex::default(),
        requests: Mutex::default(),
        losses: Mutex::default(),
    });
    let clients = (0..CLIENTS).map(|client| {
        let rng = StdRng::seed_from_u64(seed * 1_000 + client);
        cluster.runtime.spawn(send_requests(shared.clone(), client % 2 == 0, rng))
    });
    let clients: Vec<_> = clients.collect();
    let end = Instant::now() + duration;
    // Planned stops that have not ended, and when each router was stopped.
    let (mut stopping, mut stops) = (Vec::new(), Vec::new());
    while Instant::now() < end || !stopping.is_empty() {
        if Instant::now() < end {
            do_planned_work(&mut cluster, &shared, &mut stopping, &mut rng);
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(20..400)));
        stopping.retain(|(router, at): &(usize, Instant)| {
            if cluster.routers[*router].is_running() {
                return true;
            }
            stops.push((*router, *at));
            cluster.routers[*router].wait();
            cluster.routers[*router].spawn();
            false
        });
    }
    std::thread::sleep(Duration::from_secs(1));
    *shared.ended.lock().unwrap() = true;
    for client in clients {
        cluster.runtime.block_on(client).unwrap();
    }
    let losses = shared.losses.lock().unwrap();
    let (allowed, violations): (Vec<_>, Vec<_>) =
        losses.iter().partition(|loss| is_closed_at_end_of_grace(loss, &stops));
    println!(
        "seed {seed}: {} stops, {} requests, {} violations, {} sent after the end of a grace period, \
         {} of these crossed the close",
        stops.len(),
        shared.requests.lock().unwrap(),
        violations.len(),
        allowed.len(),
        allowed.iter().filter(|loss| loss.crossed).count()
    );
    let describe = |loss: &Loss| {
        let earlier = stops.iter().filter(|(router, at)| *router == loss.router && *at < loss.sent);
        let since = earlier.map(|(_, at)| loss.sent - *at).min();
        format!("{}, last stop before: {since:?}", loss.text)
    };
    violations.into_iter().map(describe).collect()
}

/// Whether the client left its connection idle from SIGTERM until the router had to exit, and so
/// was never told to leave it.
fn is_closed_at_end_of_grace(loss: &Loss, stops: &[(usize, Instant)]) -> bool {
    stops.iter().any(|(router, at)| {
        let idle = loss.used <= *at && loss.sent >= *at + GRACE_PERIOD - CLOSE_PERIOD;
        *router == loss.router && idle
    })
}

fn do_planned_work(
    cluster: &mut TestCluster,
    shared: &Shared,
    stopping: &mut Vec<(usize, Instant)>,
    rng: &mut StdRng,
) {
    let router = rng.random_range(0..cluster.routers.len());
    let is_stopping = stopping.iter().any(|(stopped, _)| *stopped == router);
    if rng.random_ratio(1, IDLE_LIMIT_ONE_IN) {
        cluster.limits.idle_timeout = *IDLE_LIMITS.choose(rng).unwrap();
        configure(cluster);
        *shared.idle_limit.lock().unwrap() = cluster.limits.idle_timeout;
    }
    // One router always remains.
    let may_stop = is_stopping || stopping.len() + 1 < cluster.routers.len();
    // An earlier signal may have ended the process.
    if rng.random_ratio(1, STOP_ONE_IN) && may_stop && cluster.routers[router].is_running() {
        if !is_stopping {
            stopping.push((router, Instant::now()));
        }
        cluster.routers[router].signal(Signal::SIGTERM);
    }
    for _ in 0..rng.random_range(0..5) {
        configure(cluster);
        if cluster.routers[router].is_running() {
            cluster.routers[router].signal(Signal::SIGHUP);
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(0..60)));
    }
}

fn configure(cluster: &mut TestCluster) {
    cluster.configure(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])]);
}

/// Sends requests on kept connections; every second client leaves them idle for as long as it
/// may.
async fn send_requests(shared: Arc<Shared>, often: bool, mut rng: StdRng) {
    let mut kept: Option<(usize, BlindConnection, Instant)> = None;
    for number in 0.. {
        let router = rng.random_range(0..shared.routers.len());
        let opened = match kept.take() {
            Some(kept) => Some(kept),
            None => BlindConnection::connect(shared.routers[router])
                .await
                .map(|connection| (router, connection, Instant::now())),
        };
        let Some((router, mut connection, used)) = opened else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (request, sent) = (TestRequest::mixed(number), Instant::now());
        let crossed = !connection.is_closed_by_peer();
        let ending = connection.send(&request).await;
        *shared.requests.lock().unwrap() += 1;
        match ending {
            Ending::Kept => kept = Some((router, connection, Instant::now())),
            Ending::Closed => {}
            Ending::NotWritten | Ending::Reset | Ending::EndOfStream | Ending::Truncated => {
                let idle = sent - used;
                let text = format!("{} at router {router}: {ending:?}, idle {idle:?}", request.id);
                shared.losses.lock().unwrap().push(Loss { router, used, sent, crossed, text });
            }
        }
        let limit = || shared.idle_limit.lock().unwrap().mul_f64(MAX_IDLE_SHARE);
        let longest = if often { SHORT_PAUSE } else { limit() };
        let until = Instant::now() + longest.mul_f64(rng.random_range(0.0..1.0));
        while Instant::now() < until && !*shared.ended.lock().unwrap() {
            sleep(Duration::from_millis(10)).await;
        }
        if *shared.ended.lock().unwrap() {
            return;
        }
        // The limit may have become shorter.
        kept = kept.filter(|(.., used)| used.elapsed() <= limit());
    }
}
