//! Malformed and hostile input to the decoders and the HTTP server.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use mimosashift::engine::http as steps;
use mimosashift::engine::{Failure, Input, Label, Output, Reply, RequestId, Step};
use mimosashift::http::client::{self, Client};
use mimosashift::http::completion::{Completion, CompletionKind};
use mimosashift::http::{Handler, Request, Responder, Server, Settings};
use mimosashift::resource::{Kind, Layers, Name, Spec};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use socket2::SockRef;
use test_case::test_case;

const SEED: u64 = 11;
const CASES: u32 = 2_000;

/// Checks a property on random inputs from a fixed seed.
fn check<S: Strategy>(strategy: S, property: impl Fn(S::Value)) {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    };
    let run = |value| {
        property(value);
        Ok(())
    };
    TestRunner::new(config).run(&strategy, run).unwrap();
}

/// Runs a step at an engine that answers with these header lines and two bytes of
/// activations, and closes the connection.
fn step_answered_with(framing: &str) -> Result<Reply, Failure> {
    let layers = Layers::try_from((0, 1)).unwrap();
    let pipeline = Name::try_from("p".to_owned()).unwrap();
    let request = RequestId(1);
    let label = Label { request, attempt: 0, position: 0, count: 1, layers, pipeline, version: 1 };
    let step = Step { label, priority: 0, adapter: None, input: Input::Hidden(vec![1, 2]) };
    let header = steps::encode(&step).0;
    let answer =
        format!("HTTP/1.1 200 OK\r\n{}: {header}\r\n{framing}\r\n\r\nab", steps::STEP_HEADER);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let client = Arc::new(Client::new(client::Settings::default()));
    steps::Adapter::new(client).step(address, &step, Duration::from_secs(2))
}

#[test]
fn activations_that_end_with_the_connection_are_not_accepted() {
    let whole = step_answered_with("content-length: 2").unwrap();
    assert_eq!(whole.output, Output::Hidden(b"ab".to_vec()));
    assert!(step_answered_with("connection: close").is_err());
}

fn step(request: u128) -> Step {
    let layers = Layers::try_from((0, 1)).unwrap();
    let pipeline = Name::try_from("p".to_owned()).unwrap();
    let request = RequestId(request);
    let label = Label { request, attempt: 0, position: 0, count: 1, layers, pipeline, version: 1 };
    Step { label, priority: 0, adapter: None, input: Input::Hidden(vec![1, 2]) }
}

/// Reads the head of a step; false at the end of the connection.
fn read_step(stream: &mut TcpStream) -> bool {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while !received.windows(6).any(|bytes| bytes == b"\r\n\r\n\x01\x02") {
        match stream.read(&mut buffer) {
            Ok(length @ 1..) => received.extend_from_slice(&buffer[..length]),
            _ => return false,
        }
    }
    true
}

#[test]
fn copy_of_a_refusal_of_an_engine_does_not_refuse_the_next_step() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let body = "{\"code\":\"overloaded\",\"detail\":\"\"}";
        let length = body.len();
        let refusal =
            format!("HTTP/1.1 429 Too Many Requests\r\ncontent-length: {length}\r\n\r\n{body}");
        // The first is the refusal of the first step, and the second a copy of it: the second
        // step runs.
        while read_step(&mut stream) {
            stream.write_all(refusal.as_bytes()).unwrap();
        }
    });
    let engines = steps::Adapter::new(Arc::new(Client::new(client::Settings::default())));
    let first = engines.step(address, &step(1), Duration::from_secs(2));
    assert_eq!(first, Err(Failure::Overloaded));
    let second = engines.step(address, &step(2), Duration::from_secs(2));
    assert!(!second.as_ref().is_err_and(Failure::not_run), "{second:?}");
}

fn json_object() -> impl Strategy<Value = String> {
    let key = prop_oneof![
        Just("model"),
        Just("prompt"),
        Just("messages"),
        Just("max_tokens"),
        Just("stream"),
        Just("n"),
        Just("layers"),
        Just("role"),
        Just("engine"),
        Just("holds"),
    ];
    let value = prop_oneof![
        Just("null".to_owned()),
        Just("[[]]".to_owned()),
        Just("{\"role\":1}".to_owned()),
        Just("\"\\ud800\"".to_owned()),
        Just("-1".to_owned()),
        Just("1e400".to_owned()),
        any::<u64>().prop_map(|n| n.to_string()),
        "\"[a-z]{0,8}\"",
    ];
    let pair = (key, value).prop_map(|(key, value)| format!("\"{key}\":{value}"));
    prop::collection::vec(pair, 0..6).prop_map(|pairs| format!("{{{}}}", pairs.join(",")))
}

#[test]
fn completion_decoder_accepts_arbitrary_input() {
    check(prop::collection::vec(any::<u8>(), 0..200), |body| {
        let _ = Completion::decode(CompletionKind::Text, &body);
    });
    check(json_object(), |body| {
        for kind in [CompletionKind::Text, CompletionKind::Chat] {
            if let Ok(completion) = Completion::decode(kind, body.as_bytes()) {
                assert!(!completion.prompt.is_empty() && completion.max_tokens > 0);
            }
        }
    });
}

#[test]
fn resource_decoder_accepts_arbitrary_input() {
    check(json_object(), |body| {
        for kind in Kind::ALL {
            if let Ok(spec) = Spec::decode(kind, body.as_bytes()) {
                let again = Spec::decode(kind, spec.to_json().to_string().as_bytes());
                assert_eq!(again, Ok(spec));
            }
        }
    });
}

#[test]
fn step_decoder_accepts_arbitrary_input_and_round_trips() {
    let bytes = || prop::collection::vec(any::<u8>(), 0..64);
    check(("\\PC{0,80}", bytes()), |(header, body)| {
        let _ = steps::decode(&header, &body);
    });
    check((any::<u128>(), 0..9_u32, bytes()), |(request, position, hidden)| {
        let label = Label {
            request: RequestId(request),
            attempt: 1,
            position,
            count: 1,
            layers: Layers::try_from((0, 4)).unwrap(),
            pipeline: Name::try_from("m").unwrap(),
            version: 2,
        };
        let step = Step { label, priority: 3, adapter: None, input: Input::Hidden(hidden) };
        let (header, body) = steps::encode(&step);
        assert_eq!(steps::decode(&header, &body).unwrap(), step);
    });
}

struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request, responder: Responder) {
        match request.uri.path() {
            "/cut" => {
                let mut stream = responder.stream(&[]);
                stream.write("half").unwrap();
            }
            _ => responder.send(StatusCode::OK, &[], request.body.to_vec()),
        }
    }
}

fn listen() -> SocketAddr {
    let settings = Settings {
        max_body_bytes: 1_000,
        max_head_bytes: 8_192,
        read_timeout: Duration::from_millis(300),
        ..Settings::default()
    };
    let any = (Ipv4Addr::LOCALHOST, 0).into();
    Server::start("echo", any, settings, Arc::new(Echo)).unwrap().address()
}

/// Sends raw bytes and returns everything received until the connection closes.
fn send_raw(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(request).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Generates a test per malformed request, each given with the expected start
/// of the response; the server must still serve the next request.
macro_rules! malformed_requests {
    ($($test:ident: $request:expr => $status_line:literal;)*) => {$(
        #[test]
        fn $test() {
            let address = listen();
            let response = send_raw(address, $request.as_bytes());
            assert!(response.starts_with($status_line), "{response}");
            let next = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
            assert!(send_raw(address, next.as_bytes()).ends_with("ok"));
        }
    )*};
}

malformed_requests! {
    missing_request_line: "nonsense\r\n\r\n" => "HTTP/1.1 400";
    head_too_large: format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(20_000)) => "HTTP/1.1 431";
    invalid_content_length: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n" => "HTTP/1.1 400";
    duplicate_content_length: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab" => "HTTP/1.1 400";
}

#[test]
fn oversized_body_is_refused_as_not_run() {
    let body = "a".repeat(2_000);
    let request = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2000\r\n\r\n{body}"
    );
    let response = send_raw(listen(), request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.contains("\"effect\":\"not-run\""), "{response}");
}

#[test]
fn incomplete_body_times_out() {
    let request =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\nabc";
    let response = send_raw(listen(), request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[test]
fn truncated_response_has_no_final_chunk() {
    let response = send_raw(listen(), b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(response.contains("half"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

/// Makes two calls on a connection; the server answers the first one in full and ends the
/// connection within the second answer.
fn call_cut_off(answer: &'static str, cut: usize, reset: bool) -> Result<Vec<u8>, client::Failure> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst").unwrap();
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(&answer.as_bytes()[..cut]).unwrap();
        if reset {
            // The end would otherwise overtake the bytes before it.
            std::thread::sleep(Duration::from_millis(2));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let client = Client::new(client::Settings::default());
    let timeout = Duration::from_secs(2);
    let (method, path) = (Method::GET, "/");
    let call =
        client::Call { address, method, path, headers: &[], body: &[], timeout, fresh: false };
    assert_eq!(client.call(&call).unwrap().body, b"first");
    let response = client.call(&call);
    serving.join().unwrap();
    response.map(|response| response.body)
}

#[test_case("HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 6\r\n\r\nanswer"; "by a length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"; "chunked")]
#[test_case("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nanswer"; "after an informational response")]
#[test_case("HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 6\r\n\r\nanswer"; "redirect")]
#[test_case("HTTP/1.0 200 OK\r\ncontent-length: 6\r\n\r\nanswer"; "in HTTP 1.0")]
fn truncated_response_is_not_taken_for_a_whole_one(answer: &'static str) {
    let cuts = (0..answer.len()).flat_map(|cut| [(cut, false), (cut, true)]);
    let accepted: Vec<_> = cuts
        .filter_map(|(cut, reset)| Some((cut, reset, call_cut_off(answer, cut, reset).ok()?)))
        .filter(|(.., body)| body != b"answer")
        .collect();
    assert_eq!(accepted, []);
}

#[test]
fn reset_within_a_response_without_a_length_is_not_its_end() {
    let answer = "HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nanswer";
    let accepted: Vec<_> =
        (0..answer.len()).filter_map(|cut| call_cut_off(answer, cut, true).ok()).collect();
    assert_eq!(accepted, Vec::<Vec<u8>>::new());
    assert_eq!(call_cut_off(answer, answer.len(), false).unwrap(), b"answer");
}
