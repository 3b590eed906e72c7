//! Tests of endpoints that close or reset a connection within an answer, at each of its bytes.

mod cluster;

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use test_case::test_case;

use cluster::client::{TestRequest, TestResponse};
use cluster::proxy::{Breaker, BrokenAnswer, Ending, LinkState};
use cluster::raw::{RawClient, Version};
use cluster::router::Router;
use cluster::{ClusterOptions, TestCluster};

/// Clients that send requests at the same time.
const CLIENTS: usize = 8;

/// Events of a stream.
const EVENTS: u64 = 3;

/// Number of times that a request is sent for an answer that is to be cut off there, as the
/// router may refuse it before.
const MAX_TRIES: usize = 4;

/// Time after its start in which a router looks for others and sends few requests again.
const DISCOVERY_TIME: Duration = Duration::from_secs(6);

/// Framing of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Trailers,
    UntilClose,
    /// By a length, after an informational response.
    Informational,
    /// By a length, in HTTP/1.0.
    Http10,
    /// The answer has a head only, with this status.
    HeadOnly(u16),
}

/// Where an answer ends and how.
#[derive(Clone, Copy, Debug)]
struct Cut {
    framing: Framing,
    at: usize,
    ending: Ending,
}

/// Cuts of the answers to each request by id, in order; further answers are whole.
type Cuts = Arc<Mutex<HashMap<String, VecDeque<Cut>>>>;

fn field<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Parts of the body of an endpoint's answer.
fn parts(request: &str, id: &str) -> Vec<String> {
    if request.starts_with("GET /read/") || request.starts_with("POST /post/") {
        return vec!["answer ".to_owned(), format!("to {id}")];
    }
    let after = field(request, "last-event-id").map_or(0, |event| event.parse().unwrap());
    (after + 1..=EVENTS).map(|n| format!("id: {n}\ndata: {id} {n}/{EVENTS}\n\n")).collect()
}

/// The head and the body of an endpoint's answer.
fn encode(framing: Framing, request: &str) -> (String, String) {
    let id = field(request, "request-id").unwrap();
    let parts = if request.starts_with("HEAD") { Vec::new() } else { parts(request, id) };
    let fields = format!("request-id: {id}\r\nresponse-signature: sig-{id}\r\n");
    let length: usize = parts.iter().map(String::len).sum();
    let head = match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\n{fields}content-length: {length}\r\n\r\n"),
        Framing::Chunked | Framing::Trailers => {
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{fields}\r\n")
        }
        Framing::UntilClose => format!("HTTP/1.1 200 OK\r\n{fields}\r\n"),
        Framing::Informational => format!(
            "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n\
             HTTP/1.1 200 OK\r\n{fields}content-length: {length}\r\n\r\n"
        ),
        Framing::Http10 => format!("HTTP/1.0 200 OK\r\ncontent-length: {length}\r\n{fields}\r\n"),
        Framing::HeadOnly(200) => {
            format!("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n{fields}\r\n")
        }
        Framing::HeadOnly(status) => format!("HTTP/1.1 {status} None\r\n{fields}\r\n"),
    };
    let chunks = || parts.iter().map(|part| format!("{:x}\r\n{part}\r\n", part.len()));
    let body = match framing {
        Framing::Chunked => chunks().chain(["0\r\n\r\n".to_owned()]).collect(),
        Framing::Trailers => chunks().chain(["0\r\nsum: 1\r\n\r\n".to_owned()]).collect(),
        Framing::HeadOnly(_) => String::new(),
        _ => parts.concat(),
    };
    (head, body)
}

impl Cut {
    /// All cuts of answers of this framing, except where the close of the connection is the
    /// regular end of the answer.
    fn all(framing: Framing, request: &str) -> Vec<Self> {
        let (head, body) = encode(framing, request);
        let bytes = head.clone() + &body;
        let is_stream = body.starts_with("id: ");
        let all = (0..bytes.len()).flat_map(|at| [(at, Ending::Close), (at, Ending::Reset)]);
        let is_broken = |&(at, ending): &(usize, Ending)| {
            let is_in_event = is_stream && !bytes[..at].ends_with("\n\n");
            framing != Framing::UntilClose
                || ending == Ending::Reset
                || at < head.len()
                || is_in_event
        };
        all.filter(is_broken).map(|(at, ending)| Self { framing, at, ending }).collect()
    }

    fn answer(self, request: &str) -> BrokenAnswer {
        let (head, body) = encode(self.framing, request);
        let mut bytes = (head + &body).into_bytes();
        bytes.truncate(self.at);
        BrokenAnswer { bytes, ending: self.ending }
    }
}

/// What is wrong with the response to a request of which an endpoint's answer was cut off.
fn error(cluster: &TestCluster, request: &TestRequest, response: &TestResponse) -> Option<String> {
    let may_repeat = !["/post/", "/note/"].iter().any(|path| request.path.starts_with(path));
    if !may_repeat && cluster.endpoints.trace(&request.id).runs > 0 {
        return Some("the request ran twice".to_owned());
    }
    let expected = format!("sig-{}", request.id);
    let is_signed = response.header("response-signature") == Some(&expected);
    match response.status {
        200 if request.method == Method::HEAD => {
            (!is_signed || !response.body.is_empty()).then(|| "not the answer".to_owned())
        }
        200 => response.protocol_error(request),
        204 | 304 => (!is_signed).then(|| "not the answer".to_owned()),
        502 | 504 => response.protocol_error(request),
        503 if may_repeat => response.protocol_error(request),
        status => Some(format!("status {status}")),
    }
}

/// Numbers of responses.
#[derive(Debug, Default)]
struct Counts {
    whole: usize,
    failed: usize,
    truncated: usize,
    /// Without a whole head.
    none: usize,
    /// Cuts whose request never reached an endpoint.
    missed: usize,
}

/// Sends a request for each list of cuts; returns what is wrong with the responses.
fn send(
    cluster: &TestCluster,
    version: Version,
    request: fn() -> TestRequest,
    lists: &[Vec<Cut>],
) -> Vec<String> {
    let cuts = Cuts::default();
    let pending = cuts.clone();
    let breaker: Breaker = Arc::new(move |request: &str| {
        let cut = pending.lock().unwrap().get_mut(field(request, "request-id")?)?.pop_front()?;
        Some(cut.answer(request))
    });
    cluster.break_answers(&breaker);
    let to = cluster.routers[0].clients;
    let (counts, errors) = (Mutex::new(Counts::default()), Mutex::new(Vec::new()));
    let send_one = |client: &mut RawClient, list: &Vec<Cut>| {
        for _ in 0..MAX_TRIES {
            let request = request();
            cuts.lock().unwrap().insert(request.id.clone(), list.clone().into());
            let response = client.send(&request);
            let left = cuts.lock().unwrap().remove(&request.id).unwrap();
            if left.len() == list.len() {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            }
            let mut counts = counts.lock().unwrap();
            counts.missed += usize::from(!left.is_empty());
            let Some(response) = response else {
                counts.none += 1;
                return;
            };
            match (response.status, response.complete) {
                (200 | 204 | 304, true) => counts.whole += 1,
                (200, false) => counts.truncated += 1,
                _ => counts.failed += 1,
            }
            if let Some(error) = error(cluster, &request, &response) {
                errors.lock().unwrap().push(format!("{list:?}: {error}: {response:?}"));
            }
            return;
        }
        counts.lock().unwrap().missed += 1;
    };
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let send_one = &send_one;
            scope.spawn(move || {
                let mut connection = RawClient::new(to, version);
                let own = lists.iter().skip(client).step_by(CLIENTS);
                own.for_each(|list| send_one(&mut connection, list));
            });
        }
    });
    let counts = counts.into_inner().unwrap();
    println!("{} requests: {counts:?}", lists.len());
    assert!(counts.missed * 10 <= lists.len(), "{counts:?}");
    errors.into_inner().unwrap()
}

/// Sends a request for each cut of its answer in each of these framings.
fn send_all(
    cluster: &TestCluster,
    version: Version,
    request: fn() -> TestRequest,
    framings: &[Framing],
) -> Vec<String> {
    let mut errors = Vec::new();
    for framing in framings {
        let TestRequest { method, path, id, .. } = request();
        let cuts = Cut::all(*framing, &format!("{method} {path}\r\nrequest-id: {id}\r\n"));
        println!("{method} {path}, {framing:?}");
        let lists: Vec<_> = cuts.into_iter().map(|cut| vec![cut]).collect();
        errors.extend(send(cluster, version, request, &lists));
    }
    errors
}

fn head() -> TestRequest {
    TestRequest::new(Method::HEAD, "/read/x")
}

fn feed() -> TestRequest {
    TestRequest::feed()
}

fn draft() -> TestRequest {
    TestRequest::draft(EVENTS)
}

fn note() -> TestRequest {
    TestRequest::note(EVENTS)
}

/// A cluster whose routers may send each request once more.
fn start(options: ClusterOptions) -> TestCluster {
    let mut cluster = TestCluster::start(ClusterOptions {
        engines_per_zone: 4,
        registers_per_zone: 3,
        ..options
    });
    for router in &mut cluster.routers {
        router.stop(Signal::SIGKILL);
        router.edit_settings(|text| {
            let text = text.replace("budget_window_s=10", "budget_window_s=1");
            text.replace("extra_retries=200", "extra_retries=100000")
        });
        router.spawn();
    }
    std::thread::sleep(DISCOVERY_TIME);
    cluster.wait_until("requests are served", |cluster| {
        cluster.routers.iter().all(|router| is_served(cluster, router, TestRequest::draft(2)))
    });
    cluster
}

fn start_one() -> TestCluster {
    start(ClusterOptions { routers: 1, ..ClusterOptions::default() })
}

fn is_served(cluster: &TestCluster, router: &Router, request: TestRequest) -> bool {
    let request = TestRequest { timeout: Duration::from_secs(1), ..request };
    let response = cluster.runtime.block_on(request.send(router.clients));
    response.is_some_and(|response| response.status == 200 && response.complete)
}

const FRAMINGS: &[Framing] = &[
    Framing::Length,
    Framing::Chunked,
    Framing::Trailers,
    Framing::UntilClose,
    Framing::Informational,
    Framing::Http10,
];

#[test_case(Version::Http11, TestRequest::read, FRAMINGS; "read")]
#[test_case(Version::Http11, TestRequest::post, FRAMINGS; "posting")]
#[test_case(Version::Http11, feed, FRAMINGS; "plain stream")]
#[test_case(Version::Http11, draft, FRAMINGS; "resumable stream")]
#[test_case(Version::Http11, note, FRAMINGS; "stream")]
#[test_case(Version::Http10, TestRequest::read, FRAMINGS; "read by HTTP 1.0")]
#[test_case(Version::Http10, draft, FRAMINGS; "resumable stream by HTTP 1.0")]
#[test_case(Version::Http10, note, FRAMINGS; "stream by HTTP 1.0")]
#[test_case(Version::Http11, head, &[Framing::HeadOnly(200), Framing::UntilClose]; "head")]
#[test_case(Version::Http11, TestRequest::read, &[Framing::HeadOnly(204), Framing::HeadOnly(304)]; "without content")]
fn truncated_answer_is_not_passed_on_as_whole(
    version: Version,
    request: fn() -> TestRequest,
    framings: &[Framing],
) {
    let cluster = start_one();
    assert_eq!(send_all(&cluster, version, request, framings), Vec::<String>::new());
}

#[test_case(Framing::Length; "by a length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::UntilClose; "until the close")]
#[test_case(Framing::Informational; "after an informational response")]
fn truncated_answer_to_a_resumed_stream_is_not_passed_on_as_whole(framing: Framing) {
    let cluster = start_one();
    let request = "POST /draft/x\r\nrequest-id: 0123456789abcdef\r\n";
    let (head, body) = encode(Framing::Chunked, request);
    let at = head.len() + body.find("id: 2").unwrap();
    let first = Cut { framing: Framing::Chunked, at, ending: Ending::Reset };
    let resumed = format!("{request}last-event-id: 1\r\n");
    let lists: Vec<_> =
        Cut::all(framing, &resumed).into_iter().map(|cut| vec![first, cut]).collect();
    assert_eq!(send(&cluster, Version::Http11, draft, &lists), Vec::<String>::new());
}

#[test_case(TestRequest::read; "read")]
#[test_case(TestRequest::post; "posting")]
#[test_case(draft; "resumable stream")]
#[test_case(note; "stream")]
fn truncated_answer_is_not_passed_on_as_whole_by_another_router(request: fn() -> TestRequest) {
    let options = ClusterOptions { separate_links: true, ..ClusterOptions::default() };
    let cluster = start(options);
    cluster.set_links(&[0], LinkState::Unreachable);
    cluster.wait_until("requests are relayed", |cluster| {
        let router = &cluster.routers[0];
        is_served(cluster, router, request()) && !router.log_lines("MS0622").is_empty()
    });
    let framings = [Framing::Length, Framing::Chunked, Framing::UntilClose];
    let errors = send_all(&cluster, Version::Http11, request, &framings);
    assert_eq!(errors, Vec::<String>::new());
}
