//! Tests of endpoints that write an earlier refusal once more on a kept connection.

mod cluster;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use test_case::test_case;
use tokio::task::JoinHandle;

use cluster::client::{TestRequest, TestResponse};
use cluster::endpoints::Health;
use cluster::proxy::LinkState;
use cluster::router::Router;
use cluster::{ClusterOptions, TestCluster};

/// Requests of each test, and how many of them are in progress at a time.
const REQUESTS: usize = 480;
const CLIENTS: usize = 16;

/// Share of its requests that an endpoint refuses: one of this many.
const REFUSAL_INTERVAL: u64 = 4;

/// Streams that are sent one after the other.
const STREAMS: usize = 60;

/// Number of times that endpoints are replaced, time until the directory lists their new
/// processes beside the former ones, and time for the requests that are sent then.
const REPLACEMENTS: usize = 12;
const BURST: usize = 6;

/// Requests before each replacement, which allow retries.
const SOUND_REQUESTS: usize = 72;
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
const LISTING_TIME: Duration = Duration::from_millis(400);
const BURST_TIME: Duration = Duration::from_millis(300);

/// Time until an endpoint refuses a request for its former process.
const REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// Time until engines send the head of a stream.
const HEAD_DELAY: Duration = Duration::from_millis(15);

/// Events of a stream.
const EVENTS: u64 = 8;

/// How the copies of refusals arrive.
#[derive(Clone, Copy)]
struct Copies {
    /// One of this many requests gets a copy of an earlier refusal.
    interval: usize,
    delay_ms: u64,
    with_id: bool,
}

impl Copies {
    const fn link(self) -> LinkState {
        let delay = Duration::from_millis(self.delay_ms);
        LinkState::RepeatsRefusals { interval: self.interval, delay, with_id: self.with_id }
    }
}

/// Before the answer to the next request.
const EARLY: Copies = Copies { interval: 4, delay_ms: 1, with_id: false };
const EARLY_WITH_ID: Copies = Copies { with_id: true, ..EARLY };

/// Within the events of a stream.
const LATE: Copies = Copies { delay_ms: 70, ..EARLY };

/// Before the answer to each request.
const ALWAYS: Copies = Copies { interval: 1, ..EARLY_WITH_ID };

/// What became of the requests.
#[derive(Debug, Default, PartialEq)]
struct Counts {
    served: usize,
    refused: usize,
    failed: usize,
    /// Refused as not run, and ran.
    refused_but_ran: usize,
    /// Ran more than once.
    ran_again: usize,
    /// Answered with what no endpoint answered to them.
    wrong: usize,
    /// Refusals that endpoints sent once more.
    copies: usize,
}

impl Counts {
    fn add(&mut self, cluster: &TestCluster, request: &TestRequest, response: &TestResponse) {
        let runs = cluster.endpoints.trace(&request.id).runs;
        let refused = matches!(response.status, 408 | 421 | 429 | 503);
        let wrong = response.protocol_error(request).or_else(|| {
            let is_text = response.body.contains("HTTP/1.1") || response.body.contains("{}");
            is_text.then(|| format!("{response:?}"))
        });
        if let Some(error) = &wrong {
            println!("{error}");
        }
        let served = response.status == 200 && response.complete;
        self.served += usize::from(served);
        self.refused += usize::from(refused);
        self.failed += usize::from(!served && !refused);
        self.refused_but_ran += usize::from(refused && runs > 0);
        self.ran_again += usize::from(runs > 1);
        self.wrong += usize::from(wrong.is_some());
    }
}

/// Sends requests to two routers before endpoints that repeat refusals.
fn counts(copies: Copies, health: Health, request: fn() -> TestRequest) -> Counts {
    let options =
        ClusterOptions { engines_per_zone: 8, registers_per_zone: 2, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    repeat_refusals(&cluster, copies, health);
    let routers: Vec<_> = cluster.routers.iter().map(|router| router.clients).collect();
    let clients = (0..CLIENTS).map(|client| {
        let to = routers[client % routers.len()];
        cluster.runtime.spawn(async move {
            let mut sent = Vec::new();
            for _ in 0..REQUESTS / CLIENTS {
                let request = request();
                let response = request.send(to).await.expect("the router answers");
                sent.push((request, response));
            }
            sent
        })
    });
    count(&cluster, clients.collect())
}

/// Lets all endpoints refuse some requests, and their links repeat these refusals.
fn repeat_refusals(cluster: &TestCluster, copies: Copies, health: Health) {
    for member in &cluster.endpoints.members {
        member.state().refusal_interval = Some(REFUSAL_INTERVAL);
        member.state().health = health;
        member.state().head_delay = HEAD_DELAY;
        member.proxy.set(copies.link());
    }
}

/// Counts what became of the requests of all clients, once they have ended.
fn count(
    cluster: &TestCluster,
    clients: Vec<JoinHandle<Vec<(TestRequest, TestResponse)>>>,
) -> Counts {
    let mut counts = Counts::default();
    for client in clients {
        for (request, response) in cluster.runtime.block_on(client).unwrap() {
            counts.add(cluster, &request, &response);
        }
    }
    let copies = cluster.endpoints.members.iter().map(|member| member.proxy.repeated_refusals());
    counts.copies = copies.sum();
    println!("{counts:?}");
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
    counts
}

/// Sends requests to the first router, while the endpoints of the plain service are replaced
/// at their addresses again and again. With `relayed` that router reaches no endpoint.
fn counts_while_replaced(relayed: bool, request: fn() -> TestRequest) -> Counts {
    counts_while_replaced_with(ALWAYS.link(), relayed, request)
}

fn counts_while_replaced_with(
    link: LinkState,
    relayed: bool,
    request: fn() -> TestRequest,
) -> Counts {
    let cluster =
        TestCluster::start(ClusterOptions { separate_links: relayed, ..ClusterOptions::default() });
    repeat_refusals(&cluster, ALWAYS, Health::Healthy);
    cluster.endpoints.members.iter().for_each(|member| member.proxy.set(link));
    if relayed {
        cluster.set_links(&[0], LinkState::RefuseNew);
        cluster.set_links(&[0], LinkState::Reset);
    }
    let members = cluster.endpoints.members.iter().filter(|member| member.service == "register");
    let members: Vec<_> = members.collect();
    // Other refusals would make the former processes of endpoints the last choice.
    members.iter().for_each(|member| member.state().refusal_interval = None);
    members.iter().for_each(|member| member.state().refusal_delay = REFUSAL_DELAY);
    let to = cluster.routers[0].clients;
    let mut clients = Vec::new();
    for _ in 0..REPLACEMENTS {
        for _ in 0..SOUND_REQUESTS / BURST {
            let sound: Vec<_> =
                (0..BURST).map(|_| cluster.runtime.spawn(send_one(request, to))).collect();
            clients.extend(sound);
            std::thread::sleep(SOUND_INTERVAL);
        }
        for member in &members {
            cluster.runtime.block_on(member.replace(link));
        }
        std::thread::sleep(LISTING_TIME);
        clients.extend((0..BURST).map(|_| cluster.runtime.spawn(send_one(request, to))));
        std::thread::sleep(BURST_TIME);
    }
    let counts = count(&cluster, clients);
    let repeated = cluster.routers.iter().flat_map(sends_over_one_connection);
    assert_eq!(repeated.collect::<Vec<_>>(), Vec::<String>::new());
    counts
}

/// The requests that a router has sent more than once over one connection, by its log.
fn sends_over_one_connection(router: &Router) -> Vec<String> {
    let lines = router.log_lines("MS06");
    let lines = lines.iter().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let ends =
        lines.filter(|line| ["MS0612", "MS0627"].iter().any(|event| line["event"] == *event));
    let text = |line: &Value, field: &str| line[field].as_str().unwrap_or_default().to_owned();
    // A send of which nothing was written has no connection.
    let ends = ends.filter(|line| line["reason"] != "not sent");
    let mut sends: Vec<_> = ends.map(|e| (text(&e, "request"), text(&e, "connection"))).collect();
    sends.sort();
    let repeated = sends.windows(2).filter(|pair| pair[0] == pair[1]);
    repeated.map(|pair| format!("{} over connection {}", pair[0].0, pair[0].1)).collect()
}

async fn send_one(
    request: fn() -> TestRequest,
    to: SocketAddr,
) -> Vec<(TestRequest, TestResponse)> {
    let request = request();
    let response = request.send(to).await.expect("the router answers");
    vec![(request, response)]
}

fn read() -> TestRequest {
    TestRequest::read()
}

fn draft() -> TestRequest {
    TestRequest::draft(EVENTS)
}

fn note() -> TestRequest {
    TestRequest::note(EVENTS)
}

/// Share of the requests that must be served: an endpoint refuses one of four and sends a
/// copy for one of four.
const MIN_SERVED: usize = REQUESTS / 2;

#[test_case(EARLY, TestRequest::post; "posting without an id")]
#[test_case(EARLY_WITH_ID, TestRequest::post; "posting with an id")]
#[test_case(EARLY, note; "stream without an id")]
fn repeated_refusal_is_not_taken_for_an_answer(copies: Copies, request: fn() -> TestRequest) {
    let counts = counts(copies, Health::Healthy, request);
    assert!(counts.copies > 0 && counts.served >= MIN_SERVED, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.ran_again, counts.wrong), (0, 0, 0), "{counts:?}");
}

#[test_case(false, TestRequest::post; "posting")]
#[test_case(true, TestRequest::post; "relayed posting")]
fn request_refused_by_a_replaced_endpoint_does_not_run_twice(
    relayed: bool,
    request: fn() -> TestRequest,
) {
    let counts = counts_while_replaced(relayed, request);
    assert!(counts.copies > 0 && counts.served >= MIN_SERVED, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.ran_again, counts.wrong), (0, 0, 0), "{counts:?}");
}

#[test]
fn copy_of_a_refusal_on_another_connection_does_not_make_a_posting_run_twice() {
    let counts =
        counts_while_replaced_with(LinkState::RepeatsRefusalsById, false, TestRequest::post);
    assert!(counts.copies > 0, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.ran_again, counts.wrong), (0, 0, 0), "{counts:?}");
}

#[test]
fn copy_of_a_refusal_is_not_the_answer_to_a_client_that_sends_the_same_id_again() {
    let cluster =
        TestCluster::start(ClusterOptions { routers: 1, zones: 1, ..ClusterOptions::default() });
    let members = cluster.endpoints.members.iter().filter(|member| member.service == "register");
    let members: Vec<_> = members.collect();
    members.iter().for_each(|member| member.proxy.set(ALWAYS.link()));
    members.iter().for_each(|member| member.state().refusal_interval = Some(1));
    let request = TestRequest::post();
    let send = || cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
    let first = send();
    let runs_of_first = cluster.endpoints.trace(&request.id).runs;
    members.iter().for_each(|member| member.state().refusal_interval = None);
    let second = send();
    std::thread::sleep(BURST_TIME);
    let runs = cluster.endpoints.trace(&request.id).runs;
    let copies: usize = members.iter().map(|member| member.proxy.repeated_refusals()).sum();
    println!(
        "{copies} copies, {} with {runs_of_first} runs, {} with {runs} runs",
        first.status, second.status
    );
    assert_eq!((first.status, runs_of_first), (503, 0));
    assert_eq!((second.status, runs), (200, 1));
}

// Their connections are closed by a refusal, so that no copy arrives.
#[test_case(false; "stream")]
#[test_case(true; "relayed stream")]
fn stream_refused_by_a_replaced_endpoint_does_not_run_twice(relayed: bool) {
    let counts = counts_while_replaced(relayed, TestRequest::feed);
    assert!(counts.served >= MIN_SERVED, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.ran_again, counts.wrong), (0, 0, 0), "{counts:?}");
}

#[test_case(false; "read")]
#[test_case(true; "relayed read")]
fn refusal_by_a_replaced_endpoint_is_not_passed_on_for_what_ran(relayed: bool) {
    let counts = counts_while_replaced(relayed, read);
    assert!(counts.copies > 0 && counts.served > 0, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.wrong), (0, 0), "{counts:?}");
}

#[test_case(EARLY, read; "read without an id")]
#[test_case(EARLY_WITH_ID, read; "read with an id")]
#[test_case(EARLY, draft; "stream without an id")]
fn repeated_refusal_is_not_passed_on_for_what_ran(copies: Copies, request: fn() -> TestRequest) {
    let counts = counts(copies, Health::Healthy, request);
    assert!(counts.copies > 0 && counts.served >= MIN_SERVED, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.wrong), (0, 0), "{counts:?}");
}

#[test_case(LATE, Health::Healthy, draft; "resumable stream")]
#[test_case(LATE, Health::Unframed, draft; "resumable stream without a length")]
#[test_case(LATE, Health::Unframed, note; "stream without a length")]
fn repeated_refusal_is_not_found_in_a_stream(
    copies: Copies,
    health: Health,
    request: fn() -> TestRequest,
) {
    let counts = counts(copies, health, request);
    assert!(counts.copies > 0 && counts.served >= REQUESTS / 3, "{counts:?}");
    assert_eq!((counts.refused_but_ran, counts.wrong), (0, 0), "{counts:?}");
}

#[test_case(draft; "resumable stream")]
#[test_case(note; "stream")]
fn stream_is_not_sent_again_on_the_connection_of_its_refusal(request: fn() -> TestRequest) {
    let counts = counts(EARLY_WITH_ID, Health::Healthy, request);
    assert!(counts.copies == 0 && counts.served >= MIN_SERVED, "{counts:?}");
}

#[test]
fn refusal_instead_of_a_report_is_no_restart() {
    let options = ClusterOptions { routers: 1, engines_per_zone: 4, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    for member in &cluster.endpoints.members {
        member.state().health = Health::Unframed;
        member.proxy.set(LinkState::RefusesReports);
    }
    let (mut complete, mut cut_off) = (0, 0);
    for _ in 0..STREAMS {
        let request = note();
        let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients));
        let response = response.expect("the router answers");
        assert_eq!(response.protocol_error(&request), None);
        // A copy that comes after the report fails the next request on its connection.
        let begun = response.status == 200;
        complete += usize::from(begun && response.complete);
        cut_off += usize::from(begun && !response.complete);
    }
    let copies = cluster.endpoints.members.iter().map(|member| member.proxy.repeated_refusals());
    let copies: usize = copies.sum();
    println!("{complete} of {STREAMS} streams complete, {cut_off} cut off, {copies} copies");
    assert!(copies > 0 && complete >= STREAMS / 2);
    assert_eq!(cut_off, 0);
}
