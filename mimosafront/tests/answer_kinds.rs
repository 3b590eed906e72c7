//! Tests that the kind of a route decides how an answer is read, whichever service gives it.

mod cluster;

use std::collections::HashSet;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::json;
use test_case::test_case;
use tokio::net::TcpStream;

use cluster::client::{Connection, TestRequest, TestResponse};
use cluster::endpoints::{Health, Member};
use cluster::proxy::{BrokenAnswer, Ending, LinkState};
use cluster::{ClusterOptions, KEY, TEAM, TestCluster};

/// Requests of a case.
const REQUESTS: usize = 12;

/// Sound answers without a length, and how many are asked for at once.
const SOUND_ANSWERS: usize = 400;
const SENT_AT_ONCE: usize = 8;

/// Time for which an endpoint is down that restarts.
const DOWN_TIME: Duration = Duration::from_millis(40);

/// Size of an answer that exceeds the limit on an event.
const LARGE_ANSWER_BYTES: usize = 3_200_000;

/// Size of a stream that exceeds the limit on a whole answer.
const LARGE_STREAM_BYTES: usize = 9_000_000;

/// Names of the services.
const ENGINES: &str = "model";
const PLAIN: &str = "register";

fn draft() -> TestRequest {
    TestRequest::draft(4)
}

fn note() -> TestRequest {
    TestRequest::note(4)
}

/// A cluster in which a service serves the routes of these requests.
fn start(service: &str) -> TestCluster {
    start_with(service, ClusterOptions::default())
}

/// The same with streams that take longer than all else.
fn start_slow(service: &str) -> TestCluster {
    let event_interval = Duration::from_millis(300);
    start_with(service, ClusterOptions { event_interval, ..ClusterOptions::default() })
}

fn start_with(service: &str, options: ClusterOptions) -> TestCluster {
    let mut cluster = TestCluster::start(ClusterOptions { registers_per_zone: 2, ..options });
    cluster.configure_with(&[(TEAM, &[KEY])], |config| {
        for route in config["routes"].as_array_mut().unwrap() {
            route["service"] = service.into();
        }
    });
    cluster.wait_for_configuration();
    cluster
}

/// Sends requests one after another.
fn send(cluster: &TestCluster, request: impl Fn() -> TestRequest) -> Vec<TestResponse> {
    let send = |_| cluster.runtime.block_on(request().send(cluster.routers[0].clients)).unwrap();
    (0..REQUESTS).map(send).collect()
}

/// A signed answer to a request of a client, after which the connection is closed.
fn signed(request: &str, fields: &str, body: &str) -> Option<BrokenAnswer> {
    let id = request.lines().find_map(|line| line.strip_prefix("request-id: "))?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: sig-{id}\r\n\
         connection: close\r\n{fields}\r\n"
    );
    Some(BrokenAnswer { bytes: (head + body).into_bytes(), ending: Ending::Close })
}

/// Answers all requests of clients with this body.
fn answer_all(cluster: &TestCluster, body: &'static str) {
    let fields = length_field(body);
    cluster.break_answers(&(Arc::new(move |request: &str| signed(request, &fields, body)) as _));
}

/// Answers requests with half of this body at the endpoint that is asked first, and whole at all
/// others. Returns the ids of those whose answer was cut.
fn cut_answers(
    cluster: &TestCluster,
    body: &'static str,
    framing: Framing,
) -> Arc<Mutex<HashSet<String>>> {
    let cut = Arc::new(Mutex::new(HashSet::new()));
    let faulty = Arc::new(OnceLock::new());
    for member in &cluster.endpoints.members {
        let (cut, faulty, endpoint) = (cut.clone(), faulty.clone(), member.clone());
        member.proxy.break_answers(Arc::new(move |request: &str| {
            let id = request.lines().find_map(|line| line.strip_prefix("request-id: "))?;
            if *faulty.get_or_init(|| endpoint.address()) != endpoint.address() {
                return signed(request, &length_field(body), body);
            }
            cut.lock().unwrap().insert(id.to_owned());
            if matches!(framing, Framing::Crash) {
                // Its open connections are closed as well, and no new ones are accepted.
                endpoint.proxy.set(LinkState::Reset);
            }
            if matches!(framing, Framing::Restart) {
                // It is there again when the router sees the close.
                tokio::task::block_in_place(|| {
                    endpoint.proxy.set(LinkState::Reset);
                    std::thread::sleep(DOWN_TIME);
                    endpoint.state().incarnation += 1;
                    endpoint.proxy.set(LinkState::Up);
                });
            }
            framing.answer(request, body)
        }));
    }
    cut
}

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    /// By the close of the connection, which its crash closes early.
    Crash,
    /// By the close of the connection, by an endpoint that has restarted under its id since.
    Restart,
    /// By the close of the connection, after all of the body.
    Close,
}

impl Framing {
    /// An answer that ends in this way.
    fn answer(self, request: &str, body: &str) -> Option<BrokenAnswer> {
        let half = &body[..body.len() / 2];
        match self {
            Self::Length => signed(request, &length_field(body), half),
            Self::Crash | Self::Restart => signed(request, "", half),
            Self::Close => signed(request, "", body),
            Self::Chunks => {
                let chunk = format!("{:x}\r\n{half}\r\n", half.len());
                signed(request, "transfer-encoding: chunked\r\n", &chunk)
            }
        }
    }
}

fn length_field(body: &str) -> String {
    format!("content-length: {}\r\n", body.len())
}

/// A stream that is cut between its two events.
const EVENTS_CUT_BETWEEN_TWO: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Items with lines that look like ids of events, some of them repeated or out of order.
const ITEMS: &str = "id: 7\nname: a\n\nid: 3\nname: b\n\nid: 9\n{}\n\nid: 9\n\nid: 1\n\nid: 12";

/// A stream whose ids repeat and fall.
const EVENTS_WITH_REPEATED_IDS: &str =
    "id: 7\ndata: a\n\nid: 3\ndata: b\n\nid: 9\ndata: c\n\nid: 9\ndata: d\n\n";

/// The same request with the id of an event, which means nothing on a route without streams.
fn read_after_event() -> TestRequest {
    let headers = vec![("last-event-id", "100".to_owned())];
    TestRequest { headers, ..TestRequest::read() }
}

/// Guards against whole answers that lose what looks like repeated events.
#[test_case(ENGINES, TestRequest::read; "read from engines")]
#[test_case(ENGINES, TestRequest::post; "posting to engines")]
#[test_case(ENGINES, read_after_event; "read from engines after an event")]
#[test_case(PLAIN, read_after_event; "read from a plain service after an event")]
fn whole_answer_is_passed_on_as_it_is(service: &str, request: fn() -> TestRequest) {
    let cluster = start(service);
    answer_all(&cluster, ITEMS);
    for response in send(&cluster, request) {
        assert_eq!((response.status, response.complete, &*response.body), (200, true, ITEMS));
    }
}

/// Guards against whole answers that are measured by the limit on the size of an event.
#[test_case(ENGINES; "from engines")]
#[test_case(PLAIN; "from a plain service")]
fn large_whole_answer_is_passed_on(service: &str) {
    let cluster = start(service);
    let body: &str = "x".repeat(LARGE_ANSWER_BYTES).leak();
    answer_all(&cluster, body);
    for response in send(&cluster, TestRequest::read) {
        assert_eq!((response.status, response.complete), (200, true));
        assert!(response.body == body, "{} bytes", response.body.len());
    }
}

/// Guards against clients that get a part of an answer that another endpoint could have given
/// whole, or that nobody may send again.
#[test_case(ENGINES, TestRequest::read, Framing::Length; "read from engines by a length")]
#[test_case(ENGINES, TestRequest::read, Framing::Chunks; "read from engines in chunks")]
#[test_case(ENGINES, TestRequest::post, Framing::Length; "posting to engines by a length")]
#[test_case(PLAIN, TestRequest::read, Framing::Length; "read from a plain service by a length")]
#[test_case(PLAIN, TestRequest::post, Framing::Chunks; "posting to a plain service in chunks")]
fn whole_answer_that_breaks_off_is_not_begun(
    service: &str,
    request: fn() -> TestRequest,
    framing: Framing,
) {
    let cluster = start(service);
    let cut = cut_answers(&cluster, ITEMS, framing);
    check_cut_answers(&cluster, request, &cut);
}

/// Guards against the part of an answer that a crash cut short, where the end of the
/// connection is that of the answer.
#[test_case(ENGINES, TestRequest::read; "read from engines")]
#[test_case(ENGINES, TestRequest::post; "posting to engines")]
#[test_case(PLAIN, TestRequest::read; "read from a plain service")]
#[test_case(PLAIN, TestRequest::post; "posting to a plain service")]
fn whole_answer_that_a_crash_cuts_short_is_not_passed_on(
    service: &str,
    request: fn() -> TestRequest,
) {
    let cluster = start(service);
    let cut = cut_answers(&cluster, ITEMS, Framing::Crash);
    check_cut_answers(&cluster, request, &cut);
}

/// Guards against a process that restarted under its id and passes for the one that answered.
#[test_case(TestRequest::read; "read")]
#[test_case(TestRequest::post; "posting")]
fn whole_answer_that_a_restart_under_the_same_id_cuts_short_is_not_passed_on(
    request: fn() -> TestRequest,
) {
    let cluster = start(PLAIN);
    let cut = cut_answers(&cluster, ITEMS, Framing::Restart);
    check_cut_answers(&cluster, request, &cut);
}

/// Guards against the same at streams.
#[test]
fn stream_that_a_restart_under_the_same_id_cuts_short_is_not_complete() {
    let cluster = start(PLAIN);
    let cut = cut_answers(&cluster, EVENTS_CUT_BETWEEN_TWO, Framing::Restart);
    let request = note();
    let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
    assert!(cut.lock().unwrap().contains(&request.id));
    assert!(response.status != 200 || !response.complete, "{response:?}");
}

/// Sends many requests for answers without a length, all of them whole, and prints how many are
/// lost: those of which the router cannot know that they are whole.
#[test_case(TestRequest::read; "read")]
#[test_case(TestRequest::post; "posting")]
fn few_sound_answers_without_a_length_are_lost(request: fn() -> TestRequest) {
    let cluster = start(PLAIN);
    cluster.break_answers(&(Arc::new(|request: &str| Framing::Close.answer(request, ITEMS)) as _));
    let to = cluster.routers[0].clients;
    let (mut sent, mut lost) = (0, 0);
    for _ in 0..SOUND_ANSWERS / SENT_AT_ONCE {
        let sending: Vec<_> = (0..SENT_AT_ONCE)
            .map(|_| cluster.runtime.spawn(async move { request().send(to).await }))
            .collect();
        for response in sending {
            let response = cluster.runtime.block_on(response).unwrap();
            let is_whole = response.is_some_and(|r| (r.status, &*r.body) == (200, ITEMS));
            (sent, lost) = (sent + 1, lost + usize::from(!is_whole));
        }
    }
    println!("{lost} of {sent} sound answers are lost");
    assert!(lost * 100 <= sent, "{lost} of {sent}");
}

/// Guards against taking the end of each connection for a crash.
#[test_case(ENGINES; "from engines")]
#[test_case(PLAIN; "from a plain service")]
fn whole_answer_may_end_with_its_connection(service: &str) {
    let cluster = start(service);
    cluster.break_answers(&(Arc::new(|request: &str| Framing::Close.answer(request, ITEMS)) as _));
    for response in send(&cluster, TestRequest::post) {
        assert_eq!((response.status, response.complete, &*response.body), (200, true, ITEMS));
    }
}

/// The endpoint that a router asks first.
fn first_endpoint(cluster: &TestCluster, request: &TestRequest) -> Arc<Member> {
    let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
    assert_eq!((response.status, response.complete), (200, true), "{response:?}");
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    let (_, endpoint, _) = arrivals.iter().find(|(_, _, id)| *id == request.id).unwrap();
    cluster.endpoints.get(endpoint).clone()
}

/// Guards against streams of plain services that are held back until they end.
#[test_case(draft; "resumable stream")]
#[test_case(note; "stream")]
fn events_of_a_plain_service_are_forwarded_as_they_arrive(request: fn() -> TestRequest) {
    let cluster = start_slow(PLAIN);
    let request = request();
    let (events_at_first, delay) = cluster.runtime.block_on(async {
        let stream = TcpStream::connect(cluster.routers[0].clients).await.unwrap();
        let mut connection = Connection::new(stream).await.unwrap();
        let mut response = connection.open(&request).await.unwrap();
        response.body_mut().frame().await.unwrap().unwrap();
        let trace = cluster.endpoints.trace(&request.id);
        let delay = trace.first_event.unwrap().elapsed();
        response.into_body().collect().await.unwrap();
        (trace.events, delay)
    });
    println!("the first event arrives {delay:?} after the endpoint has sent it");
    assert_eq!((events_at_first, cluster.endpoints.trace(&request.id).events), (1, 4));
}

/// Guards against streams of plain services that are lost with their endpoint.
#[test_case(Health::DropsResponses; "that breaks off")]
#[test_case(Health::ClosesInsideEvent; "that ends inside an event")]
#[test_case(Health::CrashesAfterEvent; "that crashes")]
#[test_case(Health::Stuck; "that falls silent")]
fn resumable_stream_goes_on_after_a_plain_endpoint(health: Health) {
    let cluster = start(PLAIN);
    first_endpoint(&cluster, &draft()).state().health = health;
    check_resumed(&cluster);
}

/// Checks that resumable streams are whole, of which some go on at another endpoint.
fn check_resumed(cluster: &TestCluster) {
    let mut runs = 0;
    for _ in 0..REQUESTS {
        let request = draft();
        let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        assert_eq!(response.protocol_error(&request), None);
        runs += cluster.endpoints.trace(&request.id).runs;
    }
    assert!(runs > REQUESTS, "no stream was resumed");
}

/// Guards against the part of a plain service's stream that is passed on as whole, and against
/// a second run of one that may not be resumed.
#[test_case(Health::DropsResponses; "that breaks off")]
#[test_case(Health::ClosesInsideEvent; "that ends inside an event")]
#[test_case(Health::CrashesAfterEvent; "that crashes")]
fn stream_that_breaks_off_at_a_plain_endpoint_is_not_whole(health: Health) {
    let cluster = start(PLAIN);
    first_endpoint(&cluster, &note()).state().health = health;
    let mut cut = 0;
    for _ in 0..REQUESTS {
        let request = note();
        let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
        // The router does not know at once that an endpoint has crashed.
        assert!([200, 502].contains(&response.status), "{response:?}");
        assert_eq!(response.protocol_error(&request), None);
        assert!(cluster.endpoints.trace(&request.id).runs <= 1);
        cut += usize::from(!response.complete);
    }
    assert!(cut > 0, "no stream broke off");
}

/// A cluster in which a service serves the routes, and router 0 sends requests through another.
fn start_relayed(service: &str) -> TestCluster {
    let options = ClusterOptions { separate_links: true, ..ClusterOptions::default() };
    let cluster = start_with(service, options);
    cluster.set_links(&[0], LinkState::Unreachable);
    cluster.wait_until("requests are relayed", |cluster| {
        let response = cluster.runtime.block_on(draft().send(cluster.routers[0].clients));
        response.is_some_and(|response| response.status == 200)
            && !cluster.routers[0].log_lines("MS0622").is_empty()
    });
    cluster
}

/// Guards against the same answers read by their service at either of two routers.
#[test_case(ENGINES, TestRequest::read; "read from engines")]
#[test_case(ENGINES, TestRequest::post; "posting to engines")]
#[test_case(ENGINES, read_after_event; "read from engines after an event")]
#[test_case(PLAIN, TestRequest::read; "read from a plain service")]
fn whole_answer_is_passed_on_by_another_router(service: &str, request: fn() -> TestRequest) {
    let cluster = start_relayed(service);
    answer_all(&cluster, ITEMS);
    for response in send(&cluster, request) {
        assert_eq!((response.status, response.complete, &*response.body), (200, true, ITEMS));
    }
}

#[test_case(Health::DropsResponses; "that breaks off")]
#[test_case(Health::Stuck; "that falls silent")]
fn resumable_stream_goes_on_after_a_plain_endpoint_behind_another_router(health: Health) {
    let cluster = start_relayed(PLAIN);
    first_endpoint(&cluster, &draft()).state().health = health;
    check_resumed(&cluster);
}

/// Guards against one service's way of reading at the answers of the other in a split.
#[test]
fn answers_of_both_services_of_a_split_are_read_by_their_route() {
    let mut cluster = start(PLAIN);
    cluster.configure_with(&[(TEAM, &[KEY])], |config| {
        for route in config["routes"].as_array_mut().unwrap() {
            route.as_object_mut().unwrap().remove("service");
            route["traffic_split"] = [ENGINES, PLAIN]
                .map(|service| json!({"service": service, "weight": 1}))
                .to_vec()
                .into();
        }
    });
    cluster.wait_for_configuration();
    for _ in 0..REQUESTS {
        let request = draft();
        let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
        assert!(response.complete && response.protocol_error(&request).is_none(), "{response:?}");
    }
    answer_all(&cluster, ITEMS);
    for response in send(&cluster, TestRequest::read) {
        assert_eq!((response.status, response.complete, &*response.body), (200, true, ITEMS));
    }
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    let engines = arrivals.iter().filter(|(_, at, _)| at.starts_with("engine")).count();
    assert!(engines > 0 && engines < arrivals.len(), "{engines} of {}", arrivals.len());
}

/// Guards against streams that lose events of their own whose ids repeat or fall.
#[test_case(ENGINES, draft; "resumable stream from engines")]
#[test_case(ENGINES, note; "stream from engines")]
#[test_case(PLAIN, draft; "resumable stream from a plain service")]
#[test_case(PLAIN, note; "stream from a plain service")]
fn ids_of_a_stream_may_repeat(service: &str, request: fn() -> TestRequest) {
    let cluster = start(service);
    answer_all(&cluster, EVENTS_WITH_REPEATED_IDS);
    for response in send(&cluster, request) {
        assert_eq!((response.status, response.complete), (200, true));
        assert_eq!(response.body, EVENTS_WITH_REPEATED_IDS);
    }
}

/// Guards against streams that are measured by the limit on whole answers.
#[test_case(ENGINES; "from engines")]
#[test_case(PLAIN; "from a plain service")]
fn long_stream_is_passed_on(service: &str) {
    let cluster = start(service);
    let data = "x".repeat(LARGE_STREAM_BYTES / 100);
    let body: String = (1..=100).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
    answer_all(&cluster, body.leak());
    let response = cluster.runtime.block_on(note().send(cluster.routers[0].clients)).unwrap();
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.events(), Vec::from_iter(1..=100));
}

/// Checks that requests whose answers were cut are answered whole if they may be repeated, and
/// with an honest error if not.
fn check_cut_answers(
    cluster: &TestCluster,
    request: fn() -> TestRequest,
    cut: &Mutex<HashSet<String>>,
) {
    let may_repeat = request().path.starts_with("/read/");
    let mut met = 0;
    for _ in 0..REQUESTS {
        let request = request();
        let sent = request.send(cluster.routers[0].clients);
        let response = cluster.runtime.block_on(sent).unwrap();
        let is_cut = cut.lock().unwrap().contains(&request.id);
        met += usize::from(is_cut);
        match response.status {
            200 if may_repeat || !is_cut => {
                assert_eq!((response.complete, &*response.body), (true, ITEMS));
            }
            502 if is_cut && !may_repeat => assert!(response.complete),
            status => panic!("cut: {is_cut}, status {status}: {response:?}"),
        }
    }
    assert!(met > 0, "no answer was cut");
}

/// Guards against answers with a content encoding, which are not those of the endpoint.
#[test_case(ENGINES, TestRequest::read; "read from engines")]
#[test_case(ENGINES, TestRequest::post; "posting to engines")]
#[test_case(ENGINES, draft; "resumable stream from engines")]
#[test_case(ENGINES, note; "stream from engines")]
#[test_case(PLAIN, TestRequest::read; "read from a plain service")]
#[test_case(PLAIN, TestRequest::post; "posting to a plain service")]
#[test_case(PLAIN, draft; "resumable stream from a plain service")]
#[test_case(PLAIN, note; "stream from a plain service")]
fn encoded_answer_is_not_passed_on(service: &str, request: fn() -> TestRequest) {
    let cluster = start(service);
    let body = "id: 1\ndata: a\n\n";
    let fields = length_field(body) + "content-encoding: gzip\r\n";
    cluster.break_answers(&(Arc::new(move |request: &str| signed(request, &fields, body)) as _));
    let statuses: Vec<_> = send(&cluster, request).iter().map(|response| response.status).collect();
    assert_eq!(statuses, [502; REQUESTS]);
}
