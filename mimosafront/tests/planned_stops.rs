//! Tests of planned stops beside clients that keep connections and write without looking.

mod cluster;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;
use tokio::time::sleep;

use cluster::blind::{BlindConnection, Ending};
use cluster::client::TestRequest;
use cluster::proxy::LinkState;
use cluster::router::{GRACE_PERIOD, Router};
use cluster::{ClusterOptions, HOST, KEY, OTHER_KEY, TEAM, TestCluster};

/// Clients on kept connections.
const CLIENTS: u64 = 32;

/// Stops by default; `PLANNED_STOPS` chooses another number.
const DEFAULT_STOPS: usize = 2;

/// Longest pause of a client that uses its connection seldom, by default; `PLANNED_PAUSE_MS`
/// chooses another one. Beyond the grace period, writes may cross the close of the connection.
const DEFAULT_LONG_PAUSE_MS: u64 = 1_500;

/// Time between the start of a router and the next stop.
const PAUSE_BETWEEN_STOPS: Duration = Duration::from_millis(2_500);

/// Length of a pause of a router.
const SUSPENSION: Duration = Duration::from_millis(1_200);

/// Interval at which an exit is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A whole request that got neither an answer nor a refusal.
#[derive(Clone, Debug)]
struct Loss {
    id: String,
    router: usize,
    /// Requests sent on the connection before.
    number: usize,
    connected: Instant,
    sent: Instant,
    ended: Instant,
    ending: Ending,
    /// Whether the client's system had received the end of the connection when the request was
    /// written.
    closed_before: bool,
}

/// When a router was stopped, and when its process had exited.
type Stops = Arc<Mutex<Vec<(usize, Instant, Instant)>>>;

#[derive(Default)]
struct Record {
    requests: usize,
    losses: Vec<Loss>,
}

/// Sends requests until `end`, each after a pause of up to `max_pause`.
async fn keep_sending(
    routers: Vec<SocketAddr>,
    seed: u64,
    max_pause: Duration,
    end: Arc<Mutex<bool>>,
    record: Arc<Mutex<Record>>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut kept: Option<(usize, BlindConnection)> = None;
    let mut router = seed as usize % routers.len();
    for number in 0.. {
        if *end.lock().unwrap() {
            return;
        }
        let (to, mut connection) = match kept.take() {
            Some(kept) => kept,
            None => match BlindConnection::connect(routers[router]).await {
                Some(connection) => (router, connection),
                None => {
                    router = (router + 1) % routers.len();
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let request = TestRequest::mixed(number);
        let (closed_before, sent) = (connection.is_closed_by_peer(), Instant::now());
        let ending = connection.send(&request).await;
        record.lock().unwrap().requests += 1;
        match ending {
            Ending::Kept => kept = Some((to, connection)),
            Ending::Closed => router = (to + 1) % routers.len(),
            Ending::NotWritten | Ending::Reset | Ending::EndOfStream | Ending::Truncated => {
                record.lock().unwrap().losses.push(Loss {
                    id: request.id,
                    router: to,
                    number: connection.requests - 1,
                    connected: connection.opened,
                    sent,
                    ended: Instant::now(),
                    ending,
                    closed_before,
                });
            }
        }
        sleep(max_pause.mul_f64(rng.random_range(0.0..1.0))).await;
    }
}

/// Describes a loss relative to the stop nearest to it.
fn describe(cluster: &TestCluster, loss: &Loss, stops: &[(usize, Instant, Instant)]) -> String {
    let ms = |at: Instant, from: Instant| {
        at.saturating_duration_since(from).as_millis() as i64
            - from.saturating_duration_since(at).as_millis() as i64
    };
    let stop = stops.iter().filter(|(router, ..)| *router == loss.router);
    let stop = stop.min_by_key(|(_, term, _)| ms(loss.sent, *term).abs());
    let times = stop.map(|(_, term, exit)| {
        format!(
            "sent {} ms after SIGTERM and {} ms after the exit",
            ms(loss.sent, *term),
            ms(loss.sent, *exit)
        )
    });
    format!(
        "{} at router {}: request {} of a connection {} ms old, {}, ended {:?} after {} ms, \
         closed before the write: {}, runs: {}, log lines: {}",
        loss.id,
        loss.router,
        loss.number + 1,
        ms(loss.sent, loss.connected),
        times.unwrap_or_else(|| "no stop".to_owned()),
        loss.ending,
        ms(loss.ended, loss.sent),
        loss.closed_before,
        cluster.endpoints.trace(&loss.id).runs,
        cluster.routers[loss.router].log_lines(&loss.id).len(),
    )
}

/// Clients stay on their connections through stops of every router beside changes of the
/// configuration, series of SIGHUP and pauses.
#[test]
fn clients_on_kept_connections_lose_nothing_to_planned_stops() {
    let number = |name| std::env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let stops = number("PLANNED_STOPS").map_or(DEFAULT_STOPS, |stops| stops as usize);
    let long_pause = number("PLANNED_PAUSE_MS").unwrap_or(DEFAULT_LONG_PAUSE_MS);
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let routers: Vec<_> = cluster.routers.iter().map(|router| router.clients).collect();
    let (record, end) = (Arc::<Mutex<Record>>::default(), Arc::<Mutex<bool>>::default());
    let mut clients = Vec::new();
    for seed in 0..CLIENTS {
        let max_pause = Duration::from_millis(if seed % 4 == 0 { long_pause } else { 300 });
        let (routers, end, record) = (routers.clone(), end.clone(), record.clone());
        let sending = keep_sending(routers, seed, max_pause, end, record);
        clients.push(cluster.runtime.spawn(sending));
    }
    let mut changes = Changes { rng: StdRng::seed_from_u64(1), next: Instant::now() };
    let done = Stops::default();
    for stop in 0..stops {
        let router = stop % cluster.routers.len();
        changes.go_on_for(&mut cluster, PAUSE_BETWEEN_STOPS);
        let other = 1 - router;
        cluster.routers[other].signal(Signal::SIGSTOP);
        changes.go_on_for(&mut cluster, SUSPENSION);
        cluster.routers[other].signal(Signal::SIGCONT);
        cluster.routers[router].signal(Signal::SIGTERM);
        let term = Instant::now();
        // Every second stop meets a pause of the router at about the time at which the balancer
        // has turned away.
        if stop % 2 == 1 {
            changes.go_on_for(&mut cluster, Duration::from_millis(2_000));
            cluster.routers[router].signal(Signal::SIGSTOP);
            changes.go_on_for(&mut cluster, SUSPENSION);
            cluster.routers[router].signal(Signal::SIGCONT);
        }
        changes.go_on_while(&mut cluster, |cluster| cluster.routers[router].is_running());
        let exit = Instant::now();
        assert_eq!(cluster.routers[router].wait(), Some(0));
        done.lock().unwrap().push((router, term, exit));
        cluster.routers[router].spawn();
    }
    changes.go_on_for(&mut cluster, PAUSE_BETWEEN_STOPS);
    *end.lock().unwrap() = true;
    for client in clients {
        cluster.runtime.block_on(client).unwrap();
    }
    let record = record.lock().unwrap();
    let stops = done.lock().unwrap();
    for (router, term, exit) in stops.iter() {
        println!("router {router} ran for {:?} after SIGTERM", *exit - *term);
    }
    cluster.routers.iter().for_each(|router| {
        ["MS0114", "MS0115", "MS0121"].iter().for_each(|event| {
            router.log_lines(event).iter().for_each(|line| println!("{line}"));
        });
    });
    let losses: Vec<_> = record.losses.iter().map(|l| describe(&cluster, l, &stops)).collect();
    println!("{} of {} requests lost", losses.len(), record.requests);
    assert!(losses.is_empty(), "{losses:#?}");
}

/// Changes the configuration and sends SIGHUP in series, now and then.
struct Changes {
    rng: StdRng,
    next: Instant,
}

impl Changes {
    fn go_on_for(&mut self, cluster: &mut TestCluster, duration: Duration) {
        let end = Instant::now() + duration;
        self.go_on_while(cluster, |_| Instant::now() < end);
    }

    fn go_on_while(
        &mut self,
        cluster: &mut TestCluster,
        mut condition: impl FnMut(&mut TestCluster) -> bool,
    ) {
        while condition(cluster) {
            if Instant::now() >= self.next {
                cluster.configure(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])]);
                for _ in 0..self.rng.random_range(0..4) {
                    let router = self.rng.random_range(0..cluster.routers.len());
                    cluster.routers[router].signal(Signal::SIGHUP);
                }
                let pause = Duration::from_millis(self.rng.random_range(150..700));
                self.next = Instant::now() + pause;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Requests on new and on kept connections, while the router is suspended until after the end of
/// its grace period.
#[test_case(|router| router.clients; "of clients")]
#[test_case(|router| router.relays; "of routers")]
fn requests_that_wait_at_the_end_of_a_planned_stop_are_answered(
    listener: fn(&Router) -> SocketAddr,
) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let to = listener(&cluster.routers[0]);
    let open = || cluster.runtime.block_on(BlindConnection::connect(to)).unwrap();
    let mut kept: Vec<_> = (0..20).map(|_| open()).collect();
    for (number, connection) in kept.iter_mut().enumerate().skip(10) {
        let sending = connection.send(&TestRequest::mixed(number)).await_on(&cluster);
        assert_eq!(sending, Ending::Kept);
    }
    cluster.routers[0].signal(Signal::SIGTERM);
    let term = Instant::now();
    // A second one changes nothing.
    std::thread::sleep(Duration::from_millis(1_000));
    cluster.routers[0].signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(1_200));
    cluster.routers[0].signal(Signal::SIGSTOP);
    kept.extend((0..20).map(|_| open()));
    let sending: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, mut connection)| {
            cluster.runtime.spawn(async move {
                let request = TestRequest::mixed(number);
                (connection.send(&request).await, request.id)
            })
        })
        .collect();
    std::thread::sleep((GRACE_PERIOD + Duration::from_millis(200)).saturating_sub(term.elapsed()));
    cluster.routers[0].signal(Signal::SIGCONT);
    let endings: Vec<_> = sending.into_iter().map(|s| s.await_on(&cluster).unwrap()).collect();
    let unanswered = endings.iter().filter(|(ending, _)| *ending != Ending::Closed);
    let unanswered: Vec<_> = unanswered.collect();
    println!("{} of {} unanswered", unanswered.len(), endings.len());
    assert!(unanswered.is_empty(), "{unanswered:?}");
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// The requests arrive in the first milliseconds after the signal.
#[test]
fn response_given_just_after_sigterm_tells_its_client_to_leave() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let to = cluster.routers[0].clients;
    let open = || BlindConnection::connect(to).await_on(&cluster).unwrap();
    let mut connections: Vec<_> = (0..30).map(|_| open()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        assert_eq!(connection.send(&TestRequest::mixed(number)).await_on(&cluster), Ending::Kept);
    }
    cluster.routers[0].signal(Signal::SIGTERM);
    let sending = connections.into_iter().enumerate().map(|(number, mut connection)| {
        cluster.runtime.spawn(async move {
            sleep(Duration::from_millis(number as u64)).await;
            connection.send(&TestRequest::mixed(number)).await
        })
    });
    let sending: Vec<_> = sending.collect();
    let ended: Vec<_> = sending.into_iter().map(|s| s.await_on(&cluster).unwrap()).collect();
    let kept = ended.iter().filter(|ending| **ending != Ending::Closed).count();
    assert_eq!(kept, 0, "of {ended:?}");
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// An endpoint does not answer a posting before the router must exit.
#[test]
fn request_that_outlasts_a_planned_stop_is_answered_before_the_exit() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let mut connection =
        BlindConnection::connect(cluster.routers[0].clients).await_on(&cluster).unwrap();
    assert_eq!(connection.send(&TestRequest::post()).await_on(&cluster), Ending::Kept);
    let members = &cluster.endpoints.members;
    members.iter().for_each(|member| member.proxy.set(LinkState::BlockedToClient));
    cluster.routers[0].signal(Signal::SIGTERM);
    let request = TestRequest { timeout: 2 * GRACE_PERIOD, ..TestRequest::post() };
    let ending = connection.send(&request).await_on(&cluster);
    assert_eq!(ending, Ending::Closed);
    assert_eq!(cluster.endpoints.trace(&request.id).runs, 1);
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// The estimates are far too low; the streams arrive after the load balancer has turned away.
#[test_case(2; "another router serves them")]
#[test_case(1; "no other router is alive")]
fn stopping_router_cuts_off_no_stream_that_writes_more_than_estimated(routers: usize) {
    let mut cluster = TestCluster::start(ClusterOptions {
        routers,
        event_interval: Duration::from_millis(100),
        ..ClusterOptions::default()
    });
    let open = || BlindConnection::connect(cluster.routers[0].clients).await_on(&cluster).unwrap();
    let mut connections: Vec<_> = (0..10).map(|_| open()).collect();
    for connection in &mut connections {
        assert_eq!(connection.send(&TestRequest::note(6)).await_on(&cluster), Ending::Kept);
    }
    cluster.routers[0].signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(3_200));
    let sending = connections.into_iter().map(|mut connection| {
        let mut request = TestRequest::note(60);
        request.timeout = 2 * GRACE_PERIOD;
        // Tokens, four an event.
        request.headers.push(("length-hint", "24".to_owned()));
        cluster.runtime.spawn(async move { (connection.send(&request).await, request.id) })
    });
    let sending: Vec<_> = sending.collect();
    let ended: Vec<_> = sending.into_iter().map(|s| s.await_on(&cluster).unwrap()).collect();
    let cut_off = ended.iter().filter(|(ending, _)| *ending != Ending::Closed).count();
    assert_eq!(cut_off, 0, "of {ended:?}");
    let runs: usize = ended.iter().map(|(_, id)| cluster.endpoints.trace(id).runs).sum();
    assert_eq!(runs, 0);
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// Most postings are quick and a few are slow; the slow ones arrive with less time left than they
/// take.
#[test_case(2; "another router serves them")]
#[test_case(1; "no other router is alive")]
fn posting_that_cannot_end_before_the_exit_is_refused_and_not_run(routers: usize) {
    let mut cluster = TestCluster::start(ClusterOptions { routers, ..ClusterOptions::default() });
    let to = cluster.routers[0].clients;
    let send_slow = || {
        let sending = (0..5).map(|_| {
            let mut request = TestRequest::post();
            request.path += "?ms=3000";
            request.timeout = 2 * GRACE_PERIOD;
            cluster.runtime.spawn(async move { (request.send(to).await, request.id) })
        });
        let sending: Vec<_> = sending.collect();
        let ended = sending.into_iter().map(|sending| sending.await_on(&cluster).unwrap());
        ended.map(|(response, id)| (response.map(|r| r.status), id)).collect::<Vec<_>>()
    };
    assert!(send_slow().iter().all(|(status, _)| *status == Some(200)));
    // A router without connections would exit before.
    let _idle = BlindConnection::connect(to).await_on(&cluster).unwrap();
    for _ in 0..100 {
        let response = TestRequest::post().send(to).await_on(&cluster);
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    cluster.routers[0].signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(3_200));
    let ended = send_slow();
    let runs: usize = ended.iter().map(|(_, id)| cluster.endpoints.trace(id).runs).sum();
    assert!(ended.iter().all(|(status, _)| *status == Some(503)), "{runs} run of {ended:?}");
    assert_eq!(runs, 0);
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// Sends ten requests on connections that have been idle since before SIGTERM, later than the
/// load balancer has turned away; each takes longer than the router has left, while a router
/// that goes on could serve it whole.
fn assert_long_requests_are_refused(
    quick: &[fn() -> TestRequest],
    request: TestRequest,
    head_delay: Duration,
) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let open = || BlindConnection::connect(cluster.routers[0].clients).await_on(&cluster).unwrap();
    let mut connections: Vec<_> = (0..10).map(|_| open()).collect();
    for connection in &mut connections {
        for quick in quick {
            assert_eq!(connection.send(&quick()).await_on(&cluster), Ending::Kept);
        }
    }
    cluster.endpoints.engines().for_each(|engine| engine.state().head_delay = head_delay);
    cluster.routers[0].signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(3_200));
    let sending = connections.into_iter().map(|mut connection| {
        let request =
            TestRequest { timeout: 2 * GRACE_PERIOD, ..request.clone() }.with_another_id();
        cluster.runtime.spawn(async move { (connection.send(&request).await, request.id) })
    });
    let sending: Vec<_> = sending.collect();
    let ended: Vec<_> = sending.into_iter().map(|s| s.await_on(&cluster).unwrap()).collect();
    let runs: usize = ended.iter().map(|(_, id)| cluster.endpoints.trace(id).runs).sum();
    let unanswered = ended.iter().filter(|(ending, _)| *ending != Ending::Closed).count();
    assert_eq!((runs, unanswered), (0, 0), "of {ended:?}");
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// Defines tests that a stopping router does not begin what it would cut off, after quick
/// requests.
macro_rules! long_request_tests {
    ($($name:ident: [$($quick:expr),*], $request:expr, $head_delay_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let head_delay = Duration::from_millis($head_delay_ms);
            assert_long_requests_are_refused(&[$($quick),*], $request, head_delay);
        }
    )*};
}

long_request_tests! {
    // Its prompt takes long, and streams before it had short ones.
    stopping_router_begins_no_stream_of_a_long_prompt: [|| TestRequest::note(4)], TestRequest::note(6), 2_900;
    stopping_router_begins_no_read_that_takes_longer_than_any_before: [TestRequest::read], TestRequest::slow("/read/x"), 0;
    stopping_router_begins_no_posting_that_takes_longer_than_any_before: [TestRequest::post], TestRequest::slow("/post/x"), 0;
    stopping_router_begins_no_read_of_a_route_without_answers: [TestRequest::post], TestRequest::slow("/read/x"), 0;
    stopping_router_begins_no_plain_stream_that_takes_longer_than_any_before: [TestRequest::feed], TestRequest::slow("/feed/x"), 0;
    stopping_router_begins_no_posting_of_a_route_without_answers: [TestRequest::read], TestRequest::slow("/post/x"), 0;
}

/// An endpoint is slow and fails after the load balancer has turned away; the router could not
/// end a second send, and does not give up the first one for it.
#[test]
fn stopping_router_repeats_no_request_that_it_would_cut_off() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let to = cluster.routers[0].clients;
    let mut connection = BlindConnection::connect(to).await_on(&cluster).unwrap();
    assert_eq!(connection.send(&TestRequest::read()).await_on(&cluster), Ending::Kept);
    cluster.routers[0].signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(2_300));
    cluster.endpoints.members.iter().for_each(|member| member.state().failure = Some((500, true)));
    // It ends 4.8 s after SIGTERM; one that begins when it is late would not end in time.
    let mut request = TestRequest::new(hyper::Method::GET, "/read/x?ms=2500");
    request.timeout = 2 * GRACE_PERIOD;
    let sent = Instant::now();
    assert_eq!(connection.send(&request).await_on(&cluster), Ending::Closed);
    assert!(sent.elapsed() < Duration::from_millis(2_900), "{:?}", sent.elapsed());
    assert_eq!(cluster.endpoints.trace(&request.id).runs, 1);
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// The stream would be sent as a whole after its end, and takes longer than the grace period.
#[test]
fn http_1_0_client_of_a_stream_that_outlasts_a_planned_stop_is_answered() {
    let cluster = TestCluster::start(ClusterOptions {
        event_interval: Duration::from_millis(200),
        ..ClusterOptions::default()
    });
    let mut stream = std::net::TcpStream::connect(cluster.routers[0].clients).unwrap();
    let request = format!(
        "POST /draft/x HTTP/1.0\r\nHost: {HOST}\r\nRequest-Id: 0a1b2c3d\r\nToken-Counts: 100,400\r\n\
         Request-Deadline: 20000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(600));
    cluster.routers[0].signal(Signal::SIGTERM);
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.0 502"), "{response:?}");
}

/// Nothing is open when the load balancer has turned away.
#[test]
fn router_without_open_connections_exits_before_its_grace_period_ends() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    let stopped = Instant::now();
    assert_eq!(cluster.routers[0].stop(Signal::SIGTERM), Some(0));
    assert!(stopped.elapsed() < GRACE_PERIOD - Duration::from_secs(1), "{:?}", stopped.elapsed());
}

/// Blocks on a future of a test.
trait AwaitOn: Future + Sized {
    fn await_on(self, cluster: &TestCluster) -> Self::Output {
        cluster.runtime.block_on(self)
    }
}

impl<F: Future> AwaitOn for F {}
