//! Hostile input: every decoder and the listening side.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use mimosashift::engine::http as steps;
use mimosashift::engine::{Input, Label, RequestId, Step};
use mimosashift::http::completion::{Completion, Form};
use mimosashift::http::{Handler, Request, Responder, Server, Settings};
use mimosashift::resource::{Kind, Layers, Name, Spec};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const SEED: u64 = 11;
const CASES: u32 = 2_000;

/// Runs a property on fixed random inputs.
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

fn json_like() -> impl Strategy<Value = String> {
    let word = prop_oneof![
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
    let pair = (word, value).prop_map(|(word, value)| format!("\"{word}\":{value}"));
    prop::collection::vec(pair, 0..6).prop_map(|pairs| format!("{{{}}}", pairs.join(",")))
}

#[test]
fn completion_decoder_takes_any_bytes() {
    check(prop::collection::vec(any::<u8>(), 0..200), |body| {
        let _ = Completion::decode(Form::Text, &body);
    });
    check(json_like(), |body| {
        for form in [Form::Text, Form::Chat] {
            if let Ok(completion) = Completion::decode(form, body.as_bytes()) {
                assert!(!completion.prompt.is_empty() && completion.max_tokens > 0);
            }
        }
    });
}

#[test]
fn resource_decoder_takes_any_bytes() {
    check(json_like(), |body| {
        for kind in Kind::ALL {
            if let Ok(spec) = Spec::decode(kind, body.as_bytes()) {
                let again = Spec::decode(kind, spec.to_json().to_string().as_bytes());
                assert_eq!(again, Ok(spec));
            }
        }
    });
}

#[test]
fn step_decoder_takes_any_bytes_and_reads_what_it_wrote() {
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

/// Sends raw bytes and returns all that comes back until the end.
fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(request).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Names each request that must be refused, one per line, with the start of
/// its answer; the server must serve the next request all the same.
macro_rules! refused {
    ($($case:ident: $request:expr => $start:literal;)*) => {$(
        #[test]
        fn $case() {
            let address = listen();
            let answer = exchange(address, $request.as_bytes());
            assert!(answer.starts_with($start), "{answer}");
            let next = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
            assert!(exchange(address, next.as_bytes()).ends_with("ok"));
        }
    )*};
}

refused! {
    no_request_line: "nonsense\r\n\r\n" => "HTTP/1.1 400";
    head_too_large: format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(20_000)) => "HTTP/1.1 431";
    bad_length: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n" => "HTTP/1.1 400";
    two_lengths: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab" => "HTTP/1.1 400";
}

#[test]
fn body_too_large_is_refused_as_not_run() {
    let body = "a".repeat(2_000);
    let request = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2000\r\n\r\n{body}"
    );
    let answer = exchange(listen(), request.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("\"effect\":\"not-run\""), "{answer}");
}

#[test]
fn body_that_never_comes_is_refused() {
    let request =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\nabc";
    let answer = exchange(listen(), request.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[test]
fn answer_cut_short_does_not_look_whole() {
    let answer = exchange(listen(), b"GET /cut HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(answer.contains("half"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}
