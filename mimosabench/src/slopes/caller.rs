//! The caller surface: a real node over loopback before stand-in engines.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mimosashift::http::client::{Call, Client};
use mimosashift::node::{RunningNode, Settings};
use mimosashift::{http, settings};
use mimosastandin::engine;
use mimosastandin::platform::Instance;
use mimosastandin::testbed::LOOPBACK;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};
use ureq::http::Method;

use super::config::unlimited_table;
use super::{Error, Series, cpu, fleet, memory};

const ROLE: &str = "caller surface";
const TOKENS: [u32; 4] = [8, 32, 64, 128];
const IN_FLIGHT: [usize; 4] = [8, 16, 32, 56];

/// Callers at once where processor time is measured.
const CALLERS: usize = 8;

/// Requests of each of them.
const REQUESTS: usize = 12;

/// Microseconds of one layer for requests that are to stay in flight.
const SLOW_LAYER_US: u32 = 8_000;

/// Time after which requests in flight have all begun.
const BEGUN: Duration = Duration::from_millis(1_500);

const OPERATOR: &str = "operator-token";
const CALLER: &str = "caller-token";
const TIMEOUT: Duration = Duration::from_secs(60);

/// Threads of the stand-ins; the router's own threads are all the others that
/// do not belong to the bench.
const STAND_INS: [&str; 2] = ["engine-", "platform-"];

/// Name of the threads that call.
const CALLER_THREAD: &str = "bench-caller";

/// Processor time by tokens, threads and memory by requests in flight.
pub fn measure() -> Result<Vec<Series>, Error> {
    let mut micros = Vec::new();
    for tokens in TOKENS {
        micros.push((f64::from(tokens), Path::start(1)?.micros_per_request(tokens)?));
    }
    let (mut threads, mut bytes, mut resident) = (Vec::new(), Vec::new(), Vec::new());
    for requests in IN_FLIGHT {
        let held = Path::start(SLOW_LAYER_US)?.hold(requests)?;
        threads.push((requests as f64, held.threads));
        bytes.push((requests as f64, held.bytes));
        resident.push((requests as f64, held.resident));
    }
    let of = |quantity, unit, size, points| Series { role: ROLE, quantity, unit, size, points };
    Ok(vec![
        of("request over 4 stages", "µs", "tokens", micros),
        of("threads", "1", "requests in flight", threads),
        of("heap, stand-ins and callers too", "bytes", "requests in flight", bytes),
        of("resident, stand-ins and callers too", "bytes", "requests in flight", resident),
    ])
}

/// What requests in flight hold.
struct Held {
    threads: f64,
    bytes: f64,
    resident: f64,
}

/// A router before one engine for each stage.
struct Path {
    client: Client,
    router: RunningNode,
    _engines: Vec<engine::Instance>,
}

impl Path {
    fn start(layer_us: u32) -> Result<Self, Error> {
        let router = RunningNode::start(settings(unlimited_table()?), logger())?;
        let client = Client::new(http::client::Settings::default());
        let mut path = Self { client, router, _engines: Vec::new() };
        let digest = hex::encode(Sha256::digest(CALLER));
        path.apply("priority", "standard", &json!({"level": 0}))?;
        let team = json!({"priority": "standard", "token_digests": [digest]});
        path.apply("team", "callers", &team)?;
        let pipeline = json!({"layers": fleet::LAYERS, "version": 1});
        path.apply("pipeline", "model", &pipeline)?;
        for stage in 0..fleet::STAGES {
            let engine = path.engine(stage, layer_us)?;
            path._engines.push(engine);
        }
        path.apply("route", "model", &json!({"model": "model", "pipeline": "model"}))?;
        Ok(path)
    }

    fn engine(&self, stage: u16, layer_us: u32) -> Result<engine::Instance, Error> {
        let layers = fleet::LAYERS / fleet::STAGES;
        let spec = json!({
            "accelerator": "small", "layer_us": layer_us, "slots": 256,
            "holds": [{"pipeline": "model", "version": 1,
                "layers": [stage * layers, (stage + 1) * layers]}],
        });
        let checked =
            serde_json::from_value(spec.clone()).map_err(|error| Error::Call(error.to_string()))?;
        let models = HashMap::from([(fleet::name("model"), fleet::LAYERS)]);
        let instance = engine::Instance::start(LOOPBACK, checked, models)?;
        let endpoint =
            json!({"address": instance.address(), "domain": "domain-0", "role": {"engine": spec}});
        self.apply("endpoint", &format!("engine-{stage}"), &endpoint)?;
        Ok(instance)
    }

    fn apply(&self, kind: &str, name: &str, spec: &Value) -> Result<(), Error> {
        let path = format!("/api/v1/{kind}/{name}");
        let (to, body) = (self.router.operators(), spec.to_string());
        call(&self.client, to, Method::PUT, &path, OPERATOR, &body)
    }

    /// Processor time of the router's threads for one request.
    fn micros_per_request(&self, tokens: u32) -> Result<f64, Error> {
        self.complete_many(CALLERS, 2, tokens)?;
        let before = cpu::nanos_by_thread(is_router)?;
        self.complete_many(CALLERS, REQUESTS, tokens)?;
        let after = cpu::nanos_by_thread(is_router)?;
        let used = |(id, nanos): (&u64, &u64)| nanos - before.get(id).unwrap_or(&0);
        let nanos: u64 = after.iter().map(used).sum();
        Ok(nanos as f64 / 1e3 / (CALLERS * REQUESTS) as f64)
    }

    fn complete_many(&self, callers: usize, requests: usize, tokens: u32) -> Result<(), Error> {
        thread::scope(|scope| {
            let work = || (0..requests).try_for_each(|_| self.complete(tokens));
            let spawn =
                |_| thread::Builder::new().name(CALLER_THREAD.to_owned()).spawn_scoped(scope, work);
            let callers = (0..callers).map(spawn).collect::<Result<Vec<_>, _>>()?;
            callers.into_iter().try_for_each(|c| c.join().expect("callers do not panic"))
        })
    }

    fn complete(&self, tokens: u32) -> Result<(), Error> {
        let body = json!({
            "model": "model", "prompt": "x".repeat(64), "max_tokens": tokens, "stream": true,
        });
        let (to, body) = (self.router.callers(), body.to_string());
        call(&self.client, to, Method::POST, "/v1/completions", CALLER, &body)
    }

    /// Holds requests in flight and looks at what they take.
    fn hold(&self, requests: usize) -> Result<Held, Error> {
        const HELD_TOKENS: u32 = 4;
        self.complete(1)?;
        let threads = || cpu::nanos_by_thread(is_router).map(|threads| threads.len());
        let (threads_before, resident_before) = (threads()?, resident()?);
        thread::scope(|scope| {
            let ((callers, held), counted) = memory::counted(|| {
                let spawn = |_| {
                    let builder = thread::Builder::new().name(CALLER_THREAD.to_owned());
                    builder.spawn_scoped(scope, || self.complete(HELD_TOKENS))
                };
                let callers = (0..requests).map(spawn).collect::<Result<Vec<_>, _>>();
                thread::sleep(BEGUN);
                (callers, threads().and_then(|threads| Ok((threads, resident()?))))
            });
            let (threads, resident) = held?;
            for caller in callers? {
                caller.join().expect("callers do not panic")?;
            }
            Ok(Held {
                threads: (threads - threads_before) as f64,
                bytes: counted.retained as f64,
                resident: resident - resident_before,
            })
        })
    }
}

fn is_router(thread: &str) -> bool {
    let is_stand_in = STAND_INS.iter().any(|prefix| thread.starts_with(prefix));
    !is_stand_in && thread != CALLER_THREAD && thread != "mimosabench"
}

/// Resident bytes of this process.
fn resident() -> std::io::Result<f64> {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    Ok(pages.unwrap_or_default() * PAGE_BYTES)
}

fn call(
    client: &Client,
    address: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: &str,
) -> Result<(), Error> {
    let bearer = format!("Bearer {token}");
    let headers = [("authorization", bearer.as_str())];
    let body = body.as_bytes();
    let call =
        Call { address, method, path, headers: &headers, body, timeout: TIMEOUT, fresh: false };
    let answer = client.call(&call).map_err(|error| Error::Call(error.to_string()))?;
    let text = String::from_utf8_lossy(&answer.body);
    let cut_short = path.starts_with("/v1/") && !text.contains("[DONE]");
    if answer.status.is_success() && !cut_short {
        return Ok(());
    }
    Err(Error::Call(format!("{path} was answered {}: {text}", answer.status)))
}

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn settings(table: Instance) -> Settings {
    Settings {
        machines: None,
        node: settings::Node {
            name: fleet::name("router-1"),
            domain: fleet::name("domain-0"),
            region: fleet::name("region-0"),
            drain: Duration::from_secs(1),
        },
        callers: LOOPBACK,
        limits: http::Settings::default(),
        queue_bytes: 8 << 20,
        operators: LOOPBACK,
        bootstrap_digest: Some(settings::Digest(Sha256::digest(OPERATOR).into())),
        peer: settings::Peer {
            address: LOOPBACK,
            peers: Vec::new(),
            keys: Vec::new(),
            cross_domain_latency: Duration::ZERO,
        },
        table: Arc::new(table),
    }
}
