//! Tests of answers that endpoints break off, end without a mark, or never end.

mod cluster;

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use test_case::test_case;

use cluster::client::TestRequest;
use cluster::endpoints::{Health, State};
use cluster::engine::Hop;
use cluster::{ClusterOptions, TestCluster};

/// Requests for streams of each route.
const REQUESTS: u64 = 40;

/// Two routers before ten engines and two services, all of this health.
fn cluster_of(health: Health) -> TestCluster {
    let options = ClusterOptions { engines_per_zone: 5, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    for member in &cluster.endpoints.members {
        member.state().health = health;
    }
    cluster
}

/// Number of requests whose answers were framed as complete; each such answer
/// has all events.
fn count_complete(cluster: &TestCluster, request: impl Fn() -> TestRequest) -> usize {
    let mut complete = 0;
    for number in 0..REQUESTS {
        let request = request();
        let to = cluster.routers[number as usize % cluster.routers.len()].clients;
        let Some(response) = cluster.runtime.block_on(request.send(to)) else { continue };
        assert_eq!(response.protocol_error(&request), None, "{response:?}");
        assert!(response.status != 200 || response.body.ends_with("\n\n"), "{response:?}");
        complete += usize::from(response.status == 200 && response.complete);
    }
    complete
}

macro_rules! stream_end_tests {
    ($($name:ident: $health:ident, $request:expr => $complete:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = cluster_of(Health::$health);
            assert_eq!(count_complete(&cluster, || $request), $complete);
        }
    )*};
}

stream_end_tests! {
    resumable_stream_closed_inside_an_event_is_not_complete: ClosesInsideEvent, TestRequest::draft(12) => 0;
    stream_closed_inside_an_event_is_not_complete: ClosesInsideEvent, TestRequest::note(12) => 0;
    plain_stream_closed_inside_an_event_is_not_complete: ClosesInsideEvent, TestRequest::feed() => 0;
    plain_stream_ended_by_close_is_complete: Unframed, TestRequest::feed() => 40;
    resumable_stream_ended_by_close_is_complete: Unframed, TestRequest::draft(12) => 40;
    stream_ended_by_close_is_complete: Unframed, TestRequest::note(12) => 40;
}

#[test]
fn stream_of_an_engine_that_crashes_between_events_is_not_complete() {
    let cluster = cluster_of(Health::CrashesAfterEvent);
    let request = TestRequest::note(12);
    let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
    assert_eq!((response.status, response.events()), (200, vec![1, 2]));
    assert!(!response.complete);
}

#[test]
fn stream_that_its_engine_cuts_off_for_a_dead_one_is_not_complete() {
    // Two engines hold all layers, so that the stream cannot be moved.
    let options = ClusterOptions { zones: 1, engines_per_zone: 2, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    cluster.endpoints.engines().for_each(|engine| engine.state().health = Health::Unframed);
    let request = TestRequest::note(60);
    let (sent, to) = (request.clone(), cluster.routers[0].clients);
    let sending = cluster.runtime.spawn(async move { sent.send(to).await });
    cluster
        .wait_until("the stream runs", |cluster| cluster.endpoints.trace(&request.id).events > 3);
    let (last, ..) = *cluster.endpoints.chains.lock().unwrap()[&request.id].last().unwrap();
    cluster.endpoints.at(last).unwrap().state().health = Health::Unresponsive;
    let response = cluster.runtime.block_on(sending).unwrap().unwrap();
    assert!(response.events().len() < 60 && !response.complete, "{response:?}");
}

/// Guards against a stream that ends as complete since all engines of its chain live.
#[test]
fn stream_that_its_engine_cuts_off_for_one_that_only_routers_reach_is_not_complete() {
    // Two engines hold all layers, so that the stream cannot be moved.
    let options = ClusterOptions { zones: 1, engines_per_zone: 2, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    cluster.endpoints.engines().for_each(|engine| engine.state().health = Health::Unframed);
    let request = TestRequest::note(60);
    let (sent, to) = (request.clone(), cluster.routers[0].clients);
    let sending = cluster.runtime.spawn(async move { sent.send(to).await });
    cluster
        .wait_until("the stream runs", |cluster| cluster.endpoints.trace(&request.id).events > 3);
    let (last, ..) = *cluster.endpoints.chains.lock().unwrap()[&request.id].last().unwrap();
    cluster.endpoints.at(last).unwrap().state().cut_off = true;
    let response = cluster.runtime.block_on(sending).unwrap().unwrap();
    assert!(response.events().len() < 60 && !response.complete, "{response:?}");
}

/// How an endpoint goes on forever.
#[derive(Clone, Copy)]
enum Endless {
    Head,
    Informational,
    Body,
    Chunk,
    Line,
}

impl Endless {
    /// First bytes of the answer, and those that follow again and again.
    fn bytes(self, id: &str) -> (String, &'static str) {
        let head =
            format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: sig-{id}\r\n");
        match self {
            Self::Head => (format!("{head}x: "), "xxxxxxxx"),
            Self::Informational => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Body => (format!("{head}\r\n"), "xxxxxxxx"),
            Self::Chunk => (format!("{head}transfer-encoding: chunked\r\n\r\n"), "00000000"),
            Self::Line => (format!("{head}transfer-encoding: chunked\r\n\r\n"), "4\r\ndata\r\n"),
        }
    }
}

/// Peak resident memory that a router may use while it reads endless answers;
/// an entry VM of a deployment has 260 MB.
const MAX_ROUTER_MEMORY_KB: u64 = 130_000;

/// Time after its request within which an endless answer must be given up.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(6);

#[test_case(Endless::Head; "head")]
#[test_case(Endless::Informational; "informational responses")]
#[test_case(Endless::Body; "body")]
#[test_case(Endless::Chunk; "size of a chunk")]
#[test_case(Endless::Line; "line of an event")]
fn endless_answer_is_given_up(endless: Endless) {
    let cluster = cluster_of(Health::Healthy);
    for member in cluster.endpoints.members.iter().filter(|member| member.id.ends_with('0')) {
        member.proxy.replace_answers(move |id| endless.bytes(id));
    }
    let to = cluster.routers[0].clients;
    let requests: Vec<_> = (0..16)
        .flat_map(|_| [TestRequest::draft(4), TestRequest::note(4), TestRequest::read()])
        .map(|request| TestRequest { timeout: GIVE_UP_TIMEOUT, ..request })
        .collect();
    let sending: Vec<_> = requests
        .into_iter()
        .map(|request| cluster.runtime.spawn(async move { (request.send(to).await, request) }))
        .collect();
    let started = Instant::now();
    for sent in sending {
        let (response, request) = cluster.runtime.block_on(sent).unwrap();
        if let Some(response) = response {
            assert_eq!(response.protocol_error(&request), None, "{response:?}");
        }
    }
    assert!(started.elapsed() < GIVE_UP_TIMEOUT + Duration::from_secs(1));
    cluster.wait_until("endless answers are given up", |cluster| {
        cluster.endpoints.members.iter().all(|member| member.proxy.replaced_answers() == 0)
    });
    assert!(cluster.routers[0].peak_memory_kb() < MAX_ROUTER_MEMORY_KB);
    for member in &cluster.endpoints.members {
        member.proxy.forward_answers();
    }
    cluster.wait_until("requests are served", |cluster| {
        [TestRequest::draft(4), TestRequest::read()].iter().all(|request| {
            let response = cluster.runtime.block_on(request.send(to));
            response.is_some_and(|response| response.status == 200 && response.complete)
        })
    });
}

#[test]
fn stream_in_tiny_pieces_is_given_up_at_its_deadline() {
    let cluster = cluster_of(Health::Trickles);
    let timeout = Duration::from_secs(2);
    for request in [TestRequest::draft(4), TestRequest::note(4)] {
        let request = TestRequest { timeout, ..request };
        let started = Instant::now();
        let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients));
        let took = started.elapsed();
        assert!(took < timeout + Duration::from_millis(500), "{took:?} {response:?}");
    }
}

#[test]
fn stream_of_an_engine_that_begins_to_crash_is_not_complete() {
    let options = ClusterOptions { zones: 1, engines_per_zone: 2, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    let request = TestRequest::draft(31);
    let (sent, to) = (request.clone(), cluster.routers[0].clients);
    let sending = cluster.runtime.spawn(async move { sent.send(to).await });
    cluster
        .wait_until("the stream runs", |cluster| cluster.endpoints.trace(&request.id).events > 23);
    let crash = Health::CrashesAfterEvent;
    cluster.endpoints.engines().for_each(|engine| engine.state().health = crash);
    let response = cluster.runtime.block_on(sending).unwrap().unwrap();
    assert!(response.events().len() < 31 && !response.complete, "{response:?}");
}

/// Checks that a stream is not complete of which an engine crashes and restarts while its
/// router is suspended; `crash` makes it end.
fn assert_restart_is_noticed(crash: impl FnOnce(&TestCluster, &[Hop])) {
    let options = ClusterOptions { zones: 1, engines_per_zone: 2, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    cluster.endpoints.engines().for_each(|engine| engine.state().health = Health::Unframed);
    let request = TestRequest::note(60);
    let (sent, to) = (request.clone(), cluster.routers[0].clients);
    let sending = cluster.runtime.spawn(async move { sent.send(to).await });
    cluster
        .wait_until("the stream runs", |cluster| cluster.endpoints.trace(&request.id).events > 3);
    cluster.routers[0].signal(Signal::SIGSTOP);
    let chain = cluster.endpoints.chains.lock().unwrap()[&request.id].clone();
    crash(&cluster, &chain);
    cluster.routers[0].signal(Signal::SIGCONT);
    let response = cluster.runtime.block_on(sending).unwrap().unwrap();
    assert!(response.events().len() < 60 && !response.complete, "{response:?}");
}

#[test]
fn stream_of_an_engine_that_restarts_unnoticed_is_not_complete() {
    assert_restart_is_noticed(|cluster, chain| {
        let first = cluster.endpoints.at(chain[0].0).unwrap();
        first.state().health = Health::CrashesAfterEvent;
        cluster
            .wait_until("the engine has crashed", |_| first.state().health == Health::Unresponsive);
        first.restart();
    });
}

#[test]
fn stream_cut_off_for_an_engine_that_restarts_unnoticed_is_not_complete() {
    assert_restart_is_noticed(|cluster, chain| {
        let last = cluster.endpoints.at(chain.last().unwrap().0).unwrap();
        last.state().health = Health::Unresponsive;
        // Longer than the first engine waits for it.
        std::thread::sleep(Duration::from_secs(3));
        last.restart();
    });
}

/// Checks that a stream breaks off when other engines answer its continuation like this.
fn assert_answer_to_resume_is_not_in_the_stream(change: fn(&mut State)) {
    let cluster = cluster_of(Health::Healthy);
    let request = TestRequest::draft(31);
    let (sent, to) = (request.clone(), cluster.routers[0].clients);
    let sending = cluster.runtime.spawn(async move { sent.send(to).await });
    cluster
        .wait_until("the stream runs", |cluster| cluster.endpoints.trace(&request.id).events > 3);
    let (first, ..) = cluster.endpoints.chains.lock().unwrap()[&request.id][0];
    for engine in cluster.endpoints.engines() {
        match engine.address() == first {
            true => engine.state().health = Health::DropsResponses,
            false => change(&mut engine.state()),
        }
    }
    let response = cluster.runtime.block_on(sending).unwrap().unwrap();
    let events = response.events();
    assert!(response.status == 200 && !response.complete && events.len() < 31, "{response:?}");
    assert_eq!(events, (1..=events.len() as u64).collect::<Vec<_>>());
    let is_own =
        |line: &str| line.is_empty() || ["id: ", "data: "].iter().any(|f| line.starts_with(f));
    assert!(response.body.lines().all(is_own), "{response:?}");
}

#[test]
fn error_instead_of_the_rest_of_a_stream_is_not_in_it() {
    assert_answer_to_resume_is_not_in_the_stream(|engine| engine.health = Health::Failing);
}

#[test]
fn refusal_instead_of_the_rest_of_a_stream_is_not_in_it() {
    assert_answer_to_resume_is_not_in_the_stream(|engine| engine.rest = Some("0.1"));
}
