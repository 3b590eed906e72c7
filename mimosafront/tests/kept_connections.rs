//! Tests of client connections that are kept open while the configuration changes.

mod cluster;

use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use socket2::{Domain, Socket, Type};

use cluster::client::TestRequest;
use cluster::kept::{KeptConnection, Received, encode};
use cluster::store::StoreMode;
use cluster::{ClusterOptions, KEY, TEAM, TestCluster, TestLimits};

const CONNECTIONS: usize = 20;

const SHORT: Duration = Duration::from_millis(1_500);

const LONG: Duration = Duration::from_secs(10);

/// Time for which the connections stay idle: longer than the short limit, and within half
/// of the long one.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Time for which a replaced limit may still be followed.
const CLIENT_LAG: Duration = Duration::from_secs(2);

/// Time for which routers reuse idle connections to each other.
const POOL_IDLE_TIME: Duration = Duration::from_secs(4);

/// Time within which an idle connection is closed after its limit.
const CLOSE_BOUND: Duration = Duration::from_secs(3);

fn cluster(limits: TestLimits) -> TestCluster {
    let mut cluster = TestCluster::start(ClusterOptions {
        routers: 1,
        zones: 1,
        engines_per_zone: 1,
        engine_memory_mb: 4_000,
        ..ClusterOptions::default()
    });
    cluster.configure_limits(limits);
    sleep(CLIENT_LAG + Duration::from_millis(500));
    cluster
}

fn idle_limit(idle_timeout: Duration) -> TestLimits {
    TestLimits { idle_timeout, ..TestLimits::default() }
}

fn open(cluster: &TestCluster) -> Vec<KeptConnection> {
    (0..CONNECTIONS).map(|_| KeptConnection::open(cluster.routers[0].clients)).collect()
}

/// Sends a request on each connection; returns how many get no response with status 200.
fn count_unanswered(connections: &mut [KeptConnection]) -> usize {
    let received = connections.iter_mut().map(|connection| connection.send(&TestRequest::post()));
    received.filter(|received| received.status() != Some(200)).count()
}

/// Guards against new connections that are dropped while the event loop is busy: their clients
/// leave before the system tries again.
#[test]
fn connections_that_arrive_at_once_are_established() {
    let cluster = cluster(TestLimits::default());
    let router = &cluster.routers[0];
    router.signal(Signal::SIGSTOP);
    let connect = |_| TcpStream::connect_timeout(&router.clients, Duration::from_secs(1));
    let connections: Vec<_> = (0..400).map(connect).take_while(Result::is_ok).collect();
    router.signal(Signal::SIGCONT);
    assert_eq!(connections.len(), 400);
}

#[test]
fn connection_that_is_kept_under_a_longer_idle_limit_is_not_closed_by_the_earlier_one() {
    let mut cluster = cluster(idle_limit(SHORT));
    let mut connections = open(&cluster);
    assert_eq!(count_unanswered(&mut connections), 0);
    cluster.configure_limits(idle_limit(LONG));
    sleep(IDLE_TIME);
    assert_eq!(count_unanswered(&mut connections), 0, "of {CONNECTIONS} after {IDLE_TIME:?}");
}

#[test]
fn connection_used_under_a_longer_idle_limit_is_not_closed_by_the_earlier_one() {
    let mut cluster = cluster(idle_limit(SHORT));
    let mut connections = open(&cluster);
    cluster.configure_limits(idle_limit(LONG));
    assert_eq!(count_unanswered(&mut connections), 0);
    sleep(IDLE_TIME);
    assert_eq!(count_unanswered(&mut connections), 0, "of {CONNECTIONS} after {IDLE_TIME:?}");
}

#[test]
fn connection_idle_since_before_a_shorter_limit_is_not_closed_by_it() {
    let mut cluster = cluster(idle_limit(LONG));
    cluster.configure_limits(idle_limit(LONG));
    let mut connections = open(&cluster);
    assert_eq!(count_unanswered(&mut connections), 0);
    cluster.configure_limits(idle_limit(SHORT));
    sleep(IDLE_TIME);
    assert_eq!(count_unanswered(&mut connections), 0, "of {CONNECTIONS} after {IDLE_TIME:?}");
}

#[test]
fn connection_used_under_a_shorter_idle_limit_is_closed_by_it() {
    let mut cluster = cluster(idle_limit(LONG));
    let mut connection = KeptConnection::open(cluster.routers[0].clients);
    cluster.configure_limits(idle_limit(SHORT));
    sleep(CLOSE_BOUND);
    assert_eq!(connection.send(&TestRequest::post()).status(), Some(200));
    let idle = connection.wait_until_closed();
    assert!(idle >= SHORT && idle < SHORT + CLOSE_BOUND, "closed after {idle:?}");
    cluster.wait_until("the close is logged", |cluster| {
        let lines = cluster.routers[0].log_lines("MS0206");
        lines.iter().any(|line| line.contains("\"reason\":\"idle\""))
    });
}

#[test]
fn idle_connection_is_not_closed_while_a_longer_limit_cannot_be_read() {
    let mut cluster = cluster(idle_limit(SHORT));
    let mut connections = open(&cluster);
    assert_eq!(count_unanswered(&mut connections), 0);
    cluster.store.set(StoreMode::Busy);
    cluster.limits = idle_limit(LONG);
    cluster.configure(&[(TEAM, &[KEY])]);
    sleep(IDLE_TIME);
    cluster.store.set(StoreMode::Up);
    cluster.wait_for_configuration();
    assert_eq!(count_unanswered(&mut connections), 0, "of {CONNECTIONS} after {IDLE_TIME:?}");
}

#[test]
fn request_sent_while_the_router_is_paused_is_answered_after_the_idle_limit() {
    let cluster = cluster(idle_limit(SHORT));
    let mut connections = open(&cluster);
    assert_eq!(count_unanswered(&mut connections), 0);
    cluster.routers[0].signal(Signal::SIGSTOP);
    for connection in &mut connections {
        connection.write(&encode(&TestRequest::post(), ""));
    }
    sleep(SHORT * 2);
    cluster.routers[0].signal(Signal::SIGCONT);
    let received = connections.iter_mut().map(KeptConnection::receive);
    let unanswered = received.filter(|received| received.status() != Some(200)).count();
    assert_eq!(unanswered, 0, "of {CONNECTIONS}");
}

#[test]
fn connection_of_a_router_is_not_closed_by_an_idle_limit_for_clients() {
    let cluster = cluster(idle_limit(SHORT));
    let relays = cluster.routers[0].relays;
    let mut connections: Vec<_> = (0..CONNECTIONS).map(|_| KeptConnection::open(relays)).collect();
    assert_eq!(count_unanswered(&mut connections), 0);
    sleep(POOL_IDLE_TIME);
    assert_eq!(count_unanswered(&mut connections), 0, "of {CONNECTIONS} after {POOL_IDLE_TIME:?}");
}

#[test]
fn head_within_a_grown_limit_is_not_denied_on_a_kept_connection() {
    let small = TestLimits { head_bytes: 8_192, ..TestLimits::default() };
    let mut cluster = cluster(small);
    let mut connection = KeptConnection::open(cluster.routers[0].clients);
    assert_eq!(connection.send(&TestRequest::post()).status(), Some(200));
    cluster.configure_limits(TestLimits { head_bytes: 65_536, ..small });
    let line = format!("x-large: {}\r\n", "a".repeat(40_000));
    let received = connection.send_bytes(&encode(&TestRequest::post(), &line));
    assert_eq!(received.status(), Some(200), "{received:?}");
}

#[test]
fn head_above_a_shrunk_limit_is_denied_on_a_kept_connection() {
    let large = TestLimits { head_bytes: 65_536, ..TestLimits::default() };
    let mut cluster = cluster(large);
    let mut connections = open(&cluster);
    assert_eq!(count_unanswered(&mut connections), 0);
    cluster.configure_limits(TestLimits { head_bytes: 8_192, ..large });
    for (connection, size) in connections.iter_mut().zip([10_000, 40_000, 400_000]) {
        let line = format!("x-large: {}\r\n", "a".repeat(size));
        let received = connection.send_bytes(&encode(&TestRequest::post(), &line));
        assert_eq!(received.status(), Some(431), "{size}: {received:?}");
    }
}

#[test]
fn head_begun_on_an_idle_connection_has_its_own_limit() {
    let head_timeout = Duration::from_secs(1);
    let limits = TestLimits { head_timeout, ..idle_limit(LONG) };
    let cluster = cluster(limits);
    let mut connection = KeptConnection::open(cluster.routers[0].clients);
    assert_eq!(connection.send(&TestRequest::post()).status(), Some(200));
    sleep(Duration::from_secs(2));
    let started = std::time::Instant::now();
    connection.write(b"POST /post/x HTTP/1.1\r\nho");
    let received = connection.receive();
    assert_eq!(received.status(), Some(408), "{received:?}");
    assert!(started.elapsed() < LONG / 2, "{:?}", started.elapsed());
}

#[test]
fn body_begun_under_a_shorter_time_limit_is_read_under_the_limit_in_force() {
    let limits = |seconds| TestLimits {
        head_timeout: Duration::from_secs(seconds),
        ..TestLimits::default()
    };
    let mut cluster = cluster(limits(2));
    let mut connections = open(&cluster);
    let request = encode(&TestRequest::post(), "");
    let (begin, end) = request.split_at(request.len() - 1);
    connections.iter_mut().for_each(|connection| connection.write(begin));
    cluster.configure_limits(limits(10));
    sleep(Duration::from_secs(3));
    let received = connections.iter_mut().map(|connection| connection.send_bytes(end));
    let unanswered = received.filter(|received| received.status() != Some(200)).count();
    assert_eq!(unanswered, 0, "of {CONNECTIONS}");
}

#[test]
fn connection_whose_client_reads_no_response_is_closed() {
    let mut cluster = cluster(idle_limit(SHORT));
    let limits = TestLimits { head_bytes: 250_000, ..idle_limit(SHORT) };
    cluster.configure_limits(limits);
    let request = TestRequest { id: "x".repeat(200_000), ..TestRequest::new(Method::GET, "/no/x") };
    let requests = encode(&request, "").repeat(50);
    for _ in 0..CONNECTIONS {
        let (to, requests) = (cluster.routers[0].clients, requests.clone());
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket.connect(&to.into()).unwrap();
        let mut stream = TcpStream::from(socket);
        // Ends when the router closes the connection.
        std::thread::spawn(move || while stream.write_all(&requests).is_ok() {});
    }
    cluster.wait_until("the connections are closed", |cluster| {
        let lines = cluster.routers[0].log_lines("MS0206");
        let unread = lines.iter().filter(|line| line.contains("response not read"));
        let closed = unread.map(|line| {
            let count = line.split("\"connections\":").nth(1).unwrap().split(',').next().unwrap();
            count.parse::<usize>().unwrap()
        });
        closed.sum::<usize>() == CONNECTIONS
    });
}

#[test]
fn client_that_sends_a_too_large_body_gets_the_answer_and_no_reset() {
    let cluster = cluster(TestLimits::default());
    let request = TestRequest { body: vec![b'a'; 4_000_000], ..TestRequest::post() };
    let unanswered = open(&cluster)
        .iter_mut()
        .map(|connection| connection.send(&request))
        .filter(|received| !matches!(received, Received::Response(413, _)))
        .collect::<Vec<_>>();
    assert_eq!(unanswered, [], "of {CONNECTIONS}");
}
