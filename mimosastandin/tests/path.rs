//! The whole path: caller, router, staged engines, over real sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosashift::http::client::{Call, Client, Response};
use mimosashift::http::completion::{decode_token, encode_text};
use mimosashift::node::{RunningNode, Settings};
use mimosashift::resource::{Engine, Name};
use mimosashift::settings;
use mimosastandin::engine::Fault;
use mimosastandin::{engine, oracle, platform};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};
use ureq::http::Method;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const OPERATOR: &str = "operator-token";
const CALLER: &str = "caller-token";
const LAYERS: u16 = 8;

struct Path {
    client: Client,
    callers: SocketAddr,
    operators: SocketAddr,
    /// Keeps the router running.
    _router: RunningNode,
    engines: Vec<engine::Instance>,
}

impl Path {
    /// A router before two engines, each with a part of the model.
    fn start() -> Self {
        let mut path = Self::start_empty();
        path.engine("head", "[0,3]");
        path.engine("tail", "[3,8]");
        path
    }

    /// A router before two copies of each part of the model.
    fn start_doubled() -> Self {
        let mut path = Self::start();
        path.engine("head-2", "[0,3]");
        path.engine("tail-2", "[3,8]");
        path
    }

    fn start_empty() -> Self {
        let platform = platform::Instance::start(ANY, platform::Rates::default()).unwrap();
        let node = settings::Node {
            name: name("r1"),
            domain: name("a"),
            region: name("lk-west"),
            drain: Duration::from_secs(5),
        };
        let peer = settings::Peer {
            address: ANY,
            peers: Vec::new(),
            keys: Vec::new(),
            cross_domain_latency: Duration::ZERO,
        };
        let settings = Settings {
            node,
            callers: ANY,
            limits: Default::default(),
            queue_bytes: 1 << 20,
            operators: ANY,
            bootstrap_digest: Some(settings::Digest(Sha256::digest(OPERATOR).into())),
            peer,
            table: Arc::new(platform),
            machines: None,
        };
        let router = RunningNode::start(settings, Logger::root(Discard, o!())).unwrap();
        let path = Self {
            client: Client::new(Default::default()),
            callers: router.callers(),
            operators: router.operators(),
            _router: router,
            engines: Vec::new(),
        };
        let digest = hex::encode(Sha256::digest(CALLER));
        path.apply("priority", "urgent", r#"{"level":0}"#);
        let team = format!(r#"{{"priority":"urgent","token_digests":["{digest}"]}}"#);
        path.apply("team", "counter", &team);
        path.apply("pipeline", "advisor", r#"{"layers":8,"version":1}"#);
        path.apply("route", "advisor", r#"{"model":"advisor","pipeline":"advisor"}"#);
        path
    }

    fn engine(&mut self, endpoint: &str, layers: &str) {
        let spec = format!(
            r#"{{"accelerator":"small","layer_us":10,
                "holds":[{{"pipeline":"advisor","version":1,"layers":{layers}}}]}}"#
        );
        let engine: Engine = serde_json::from_str(&spec).unwrap();
        let models = HashMap::from([(name("advisor"), LAYERS)]);
        let instance = engine::Instance::start(ANY, engine, models).unwrap();
        let address = instance.address();
        let body = format!(r#"{{"address":"{address}","domain":"a","role":{{"engine":{spec}}}}}"#);
        self.apply("endpoint", endpoint, &body);
        self.engines.push(instance);
    }

    /// Of the two copies of a stage, the one that has run more steps.
    fn busier_copy(&self, stage: usize) -> &engine::Instance {
        let copies = [&self.engines[stage], &self.engines[stage + 2]];
        copies.into_iter().max_by_key(|copy| copy.steps()).unwrap()
    }

    fn apply(&self, kind: &str, name: &str, spec: &str) {
        let path = format!("/api/v1/{kind}/{name}");
        let answer = self.call(self.operators, Method::PUT, &path, OPERATOR, spec);
        assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
    }

    fn complete(&self, path: &str, body: &str) -> Response {
        self.call(self.callers, Method::POST, path, CALLER, body)
    }

    fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        token: &str,
        body: &str,
    ) -> Response {
        let authorization = format!("Bearer {token}");
        let call = Call {
            address: to,
            method,
            path,
            headers: &[("authorization", &authorization), ("content-type", "application/json")],
            body: body.as_bytes(),
            timeout: Duration::from_secs(20),
            fresh: false,
        };
        self.client.call(&call).unwrap()
    }
}

#[test]
fn whole_answer_runs_every_layer_once() {
    let path = Path::start();
    let body = r#"{"model":"advisor","prompt":"which shade","max_tokens":12}"#;
    let answer = path.complete("/v1/completions", body);
    let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(json["choices"][0]["text"], expected("which shade", 12));
    assert_eq!(path.engines.iter().map(|e| e.steps()).sum::<u64>(), 2 * 12);
}

#[test]
fn streamed_answer_equals_the_whole_one() {
    let path = Path::start();
    let body = r#"{"model":"advisor","prompt":"restock","max_tokens":9,"stream":true}"#;
    let answer = path.complete("/v1/completions", body);
    let text = String::from_utf8(answer.body).unwrap();
    let events: Vec<&str> = text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let piece = |event: &&str| {
        let json: serde_json::Value = serde_json::from_str(event).unwrap();
        json["choices"][0]["text"].as_str().unwrap().to_owned()
    };
    let joined: String = events[..events.len() - 1].iter().map(piece).collect();
    assert_eq!(joined, expected("restock", 9));
}

#[test]
fn wrong_token_is_refused_as_not_run() {
    let path = Path::start();
    let body = r#"{"model":"advisor","prompt":"x"}"#;
    let to = path.callers;
    let answer = path.call(to, Method::POST, "/v1/completions", "wrong", body);
    let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((answer.status.as_u16(), &json["effect"]), (401, &"not-run".into()));
}

/// Names each fault that one copy of a stage has while requests run; every
/// answer must still be whole and right.
macro_rules! survived {
    ($($case:ident: $engine:literal $fault:expr;)*) => {$(
        #[test]
        fn $case() {
            let path = Path::start_doubled();
            let ask = &|prompt: &str| {
                let body = format!(
                    r#"{{"model":"advisor","prompt":"{prompt}","max_tokens":40}}"#
                );
                let answer = path.complete("/v1/completions", &body);
                let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
                assert_eq!(json["choices"][0]["text"], expected(prompt, 40), "{json}");
            };
            std::thread::scope(|scope| {
                for caller in 0..8 {
                    scope.spawn(move || {
                        for request in 0..4 {
                            ask(&format!("{caller}/{request}"));
                        }
                    });
                }
                while path.engines.iter().map(|engine| engine.steps()).sum::<u64>() < 200 {
                    std::thread::yield_now();
                }
                path.busier_copy($engine).set_fault($fault);
            });
        }
    )*};
}

survived! {
    dead_head: 0 Fault::Dead;
    dead_tail: 1 Fault::Dead;
    silent_head: 0 Fault::Silent;
    silent_tail: 1 Fault::Silent;
    slow_tail: 1 Fault::Slow(2_000);
    leaving_head: 0 Fault::Leaving;
    lying_tail: 1 Fault::Lying;
}

fn expected(prompt: &str, tokens: u32) -> String {
    oracle::answer(LAYERS, 1, &encode_text(prompt), tokens).into_iter().map(decode_token).collect()
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}
