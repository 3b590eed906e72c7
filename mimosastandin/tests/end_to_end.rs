//! End-to-end requests over real sockets: caller, router and pipeline of engines.

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

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const OPERATOR_TOKEN: &str = "operator-token";
const CALLER_TOKEN: &str = "caller-token";
const LAYERS: u16 = 8;

struct Fixture {
    client: Client,
    callers: SocketAddr,
    operators: SocketAddr,
    /// Keeps the router running.
    _router: RunningNode,
    engines: Vec<engine::Instance>,
}

impl Fixture {
    /// A router with two engines, each with a part of the model.
    fn start() -> Self {
        let mut fixture = Self::start_empty();
        fixture.add_engine("head", "[0,3]");
        fixture.add_engine("tail", "[3,8]");
        fixture
    }

    /// A router with two replicas of each part of the model.
    fn start_replicated() -> Self {
        let mut fixture = Self::start();
        fixture.add_engine("head-2", "[0,3]");
        fixture.add_engine("tail-2", "[3,8]");
        fixture
    }

    fn start_empty() -> Self {
        let platform = platform::Instance::start(LOOPBACK, platform::Rates::default()).unwrap();
        let node = settings::Node {
            name: name("r1"),
            domain: name("a"),
            region: name("lk-west"),
            drain: Duration::from_secs(5),
        };
        let peer = settings::Peer {
            address: LOOPBACK,
            peers: Vec::new(),
            keys: Vec::new(),
            cross_domain_latency: Duration::ZERO,
        };
        let settings = Settings {
            node,
            callers: LOOPBACK,
            limits: Default::default(),
            queue_bytes: 1 << 20,
            operators: LOOPBACK,
            bootstrap_digest: Some(settings::Digest(Sha256::digest(OPERATOR_TOKEN).into())),
            peer,
            table: Arc::new(platform),
            machines: None,
        };
        let router = RunningNode::start(settings, Logger::root(Discard, o!())).unwrap();
        let fixture = Self {
            client: Client::new(Default::default()),
            callers: router.callers(),
            operators: router.operators(),
            _router: router,
            engines: Vec::new(),
        };
        let digest = hex::encode(Sha256::digest(CALLER_TOKEN));
        fixture.apply("priority", "urgent", r#"{"level":0}"#);
        let team = format!(r#"{{"priority":"urgent","token_digests":["{digest}"]}}"#);
        fixture.apply("team", "counter", &team);
        fixture.apply("pipeline", "advisor", r#"{"layers":8,"version":1}"#);
        fixture.apply("route", "advisor", r#"{"model":"advisor","pipeline":"advisor"}"#);
        fixture
    }

    fn add_engine(&mut self, endpoint: &str, layers: &str) {
        let spec = format!(
            r#"{{"accelerator":"small","layer_us":10,
                "holds":[{{"pipeline":"advisor","version":1,"layers":{layers}}}]}}"#
        );
        let engine: Engine = serde_json::from_str(&spec).unwrap();
        let models = HashMap::from([(name("advisor"), LAYERS)]);
        let instance = engine::Instance::start(LOOPBACK, engine, models).unwrap();
        let address = instance.address();
        let body = format!(r#"{{"address":"{address}","domain":"a","role":{{"engine":{spec}}}}}"#);
        self.apply("endpoint", endpoint, &body);
        self.engines.push(instance);
    }

    /// The replica of a stage that has run more steps.
    fn busier_replica(&self, stage: usize) -> &engine::Instance {
        let replicas = [&self.engines[stage], &self.engines[stage + 2]];
        replicas.into_iter().max_by_key(|replica| replica.steps()).unwrap()
    }

    fn apply(&self, kind: &str, name: &str, spec: &str) {
        let path = format!("/api/v1/{kind}/{name}");
        let response = self.call(self.operators, Method::PUT, &path, OPERATOR_TOKEN, spec);
        assert!(response.status.is_success(), "{}", String::from_utf8_lossy(&response.body));
    }

    fn complete(&self, path: &str, body: &str) -> Response {
        self.call(self.callers, Method::POST, path, CALLER_TOKEN, body)
    }

    fn call(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        token: &str,
        body: &str,
    ) -> Response {
        let authorization = format!("Bearer {token}");
        let call = Call {
            address: router,
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
fn completion_runs_every_layer_once() {
    let fixture = Fixture::start();
    let body = r#"{"model":"advisor","prompt":"which shade","max_tokens":12}"#;
    let response = fixture.complete("/v1/completions", body);
    let json: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(json["choices"][0]["text"], expected_text("which shade", 12));
    assert_eq!(fixture.engines.iter().map(|e| e.steps()).sum::<u64>(), 2 * 12);
}

#[test]
fn streamed_response_matches_reference_model() {
    let fixture = Fixture::start();
    let body = r#"{"model":"advisor","prompt":"restock","max_tokens":9,"stream":true}"#;
    let response = fixture.complete("/v1/completions", body);
    let body = String::from_utf8(response.body).unwrap();
    let events: Vec<&str> = body.split("\n\n").filter_map(|e| e.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let token_text = |event: &&str| {
        let json: serde_json::Value = serde_json::from_str(event).unwrap();
        json["choices"][0]["text"].as_str().unwrap().to_owned()
    };
    let text: String = events[..events.len() - 1].iter().map(token_text).collect();
    assert_eq!(text, expected_text("restock", 9));
}

#[test]
fn wrong_bearer_token_is_refused_as_not_run() {
    let fixture = Fixture::start();
    let body = r#"{"model":"advisor","prompt":"x"}"#;
    let router = fixture.callers;
    let response = fixture.call(router, Method::POST, "/v1/completions", "wrong", body);
    let json: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!((response.status.as_u16(), &json["effect"]), (401, &"not-run".into()));
}

/// Defines a test for each fault of one replica of a stage while requests run;
/// every response must still be complete and correct.
macro_rules! engine_fault_tests {
    ($($case:ident: $engine:literal $fault:expr;)*) => {$(
        #[test]
        fn $case() {
            let fixture = Fixture::start_replicated();
            let check_completion = &|prompt: &str| {
                let body = format!(
                    r#"{{"model":"advisor","prompt":"{prompt}","max_tokens":40}}"#
                );
                let response = fixture.complete("/v1/completions", &body);
                let json: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
                assert_eq!(json["choices"][0]["text"], expected_text(prompt, 40), "{json}");
            };
            std::thread::scope(|scope| {
                for caller in 0..8 {
                    scope.spawn(move || {
                        for request in 0..4 {
                            check_completion(&format!("{caller}/{request}"));
                        }
                    });
                }
                while fixture.engines.iter().map(|engine| engine.steps()).sum::<u64>() < 200 {
                    std::thread::yield_now();
                }
                fixture.busier_replica($engine).set_fault($fault);
            });
        }
    )*};
}

engine_fault_tests! {
    dead_head: 0 Fault::Dead;
    dead_tail: 1 Fault::Dead;
    silent_head: 0 Fault::Silent;
    silent_tail: 1 Fault::Silent;
    slow_tail: 1 Fault::Slow(2_000);
    leaving_head: 0 Fault::Leaving;
    lying_tail: 1 Fault::Lying;
}

fn expected_text(prompt: &str, tokens: u32) -> String {
    oracle::generate(LAYERS, 1, &encode_text(prompt), tokens)
        .into_iter()
        .map(decode_token)
        .collect()
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}
