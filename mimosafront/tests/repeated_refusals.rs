//! Tests of endpoints that write an earlier refusal once more on a kept connection.

mod cluster;

use std::time::Duration;

use test_case::test_case;

use cluster::client::{TestRequest, TestResponse};
use cluster::endpoints::Health;
use cluster::proxy::LinkState;
use cluster::{ClusterOptions, TestCluster};

/// Requests of each test, and how many of them are in progress at a time.
const REQUESTS: usize = 480;
const CLIENTS: usize = 16;

/// Share of its requests that an endpoint refuses: one of this many.
const REFUSAL_INTERVAL: u64 = 4;

/// Streams that are sent one after the other.
const STREAMS: usize = 60;

/// Time until engines send the head of a stream.
const HEAD_DELAY: Duration = Duration::from_millis(15);

/// Events of a stream.
const EVENTS: u64 = 8;

/// How the copies of refusals arrive.
#[derive(Clone, Copy)]
struct Copies {
    delay_ms: u64,
    with_id: bool,
}

/// Before the answer to the next request.
const EARLY: Copies = Copies { delay_ms: 1, with_id: false };
const EARLY_WITH_ID: Copies = Copies { with_id: true, ..EARLY };

/// Within the events of a stream.
const LATE: Copies = Copies { delay_ms: 70, with_id: false };

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
    let delay = Duration::from_millis(copies.delay_ms);
    for member in &cluster.endpoints.members {
        member.state().refusal_interval = Some(REFUSAL_INTERVAL);
        member.state().health = health;
        member.state().head_delay = HEAD_DELAY;
        member.proxy.set(LinkState::RepeatsRefusals { delay, with_id: copies.with_id });
    }
    let routers: Vec<_> = cluster.routers.iter().map(|router| router.clients).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
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
        })
        .collect();
    let mut counts = Counts::default();
    for client in clients {
        for (request, response) in cluster.runtime.block_on(client).unwrap() {
            counts.add(&cluster, &request, &response);
        }
    }
    let copies = cluster.endpoints.members.iter().map(|member| member.proxy.repeated_refusals());
    counts.copies = copies.sum();
    println!("{counts:?}");
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
    counts
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
