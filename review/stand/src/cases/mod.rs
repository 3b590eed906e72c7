//! The cases.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::record::Record;
use crate::router::{self, Router};
use crate::server::{Conduct, LAYERS, READ_PER_S, Server};
use crate::store::Store;
use crate::{Verdict, client, http, ip};

mod crash;
mod dose;
mod encoding;
mod grey;
mod hang;
mod list;
mod revoke;
mod stop;
mod writer;

pub async fn play(case: &str, record: Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "revoke" => revoke::play(record, trouble).await,
        "encoding" => encoding::play(record, trouble).await,
        "hang" => hang::play(record, trouble).await,
        "grey" => grey::play(record, trouble).await,
        "list" => list::play(record, trouble).await,
        "crash" => crash::play(record, trouble).await,
        "stop" => stop::play(record, trouble).await,
        "writer" => writer::play(record, trouble).await,
        _ => Verdict::NotRun(format!("no case {case}")),
    }
}

pub const ZONE: &str = "zone-a";

/// A store, servers and routers.
pub struct Deployment {
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Server>>,
    pub registers: Vec<Arc<Server>>,
    pub routers: Vec<Router>,
    pub record: Arc<Record>,
    version: u64,
}

impl Deployment {
    /// Starts servers, whose conduct is by their number, and routers with a first
    /// configuration; `None` if they do not get ready.
    pub async fn start(
        record: &Arc<Record>,
        sizes: (usize, usize, usize),
        tenants: &Value,
        engine_conduct: impl Fn(usize, &http::Message) -> Conduct + Clone + Send + Sync + 'static,
        register_conduct: impl Fn(usize, &http::Message) -> Conduct + Clone + Send + Sync + 'static,
    ) -> Option<Self> {
        let (engine_count, register_count, router_count) = sizes;
        let store = Store::start(ip(250)).await;
        let (mut engines, mut registers) = (Vec::new(), Vec::new());
        for number in 0..engine_count {
            let (conduct, at) = (engine_conduct.clone(), ip(100 + number as u8));
            let (id, conduct) = (format!("i-engine{number}"), move |r: &_| conduct(number, r));
            engines
                .push(Server::start(at, &id, "model", ZONE, true, &store, record, conduct).await);
        }
        for number in 0..register_count {
            let (conduct, at) = (register_conduct.clone(), ip(150 + number as u8));
            let (id, conduct) = (format!("i-register{number}"), move |r: &_| conduct(number, r));
            let server = Server::start(at, &id, "register", ZONE, false, &store, record, conduct);
            registers.push(server.await);
        }
        let mut deployment = Self {
            store,
            engines,
            registers,
            routers: Vec::new(),
            record: record.clone(),
            version: 4,
        };
        deployment.configure(tenants);
        let seeds: Vec<Ipv4Addr> = (0..router_count.min(3)).map(|n| ip(10 + n as u8)).collect();
        for number in 0..router_count {
            let (at, store) = (ip(10 + number as u8), deployment.store.address);
            deployment.routers.push(Router::start(number, ZONE, at, &seeds, store));
        }
        let end = Instant::now() + Duration::from_secs(25);
        while !deployment.engines.iter().all(|engine| engine.holds_layers()) {
            if Instant::now() > end {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        if !router::all_ready(&deployment.routers).await {
            return None;
        }
        // Heartbeats and reads of the directory tell the routers of the layers.
        tokio::time::sleep(Duration::from_secs(3)).await;
        record.line("routers are ready and layers are placed");
        Some(deployment)
    }

    /// Writes the next configuration; returns its version.
    pub fn configure(&mut self, tenants: &Value) -> u64 {
        self.configure_list(tenants, "register")
    }

    /// Writes the next configuration, in which a service serves the route `list`.
    pub fn configure_list(&mut self, tenants: &Value, list: &str) -> u64 {
        self.version += 3;
        let mut config = configuration(self.version, list);
        config["tenants"] = tenants.clone();
        self.store.put("op", "config", &config);
        let text = tenants.to_string();
        self.record.line(&format!(
            "configuration {} acknowledged, tenants {text}, route list at {list}",
            self.version
        ));
        self.version
    }
}

fn configuration(version: u64, list: &str) -> Value {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u64, resumable: bool| {
        json!({
            "name": name, "host": client::HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "attempts": 2,
            "service": service, "public": false, "sticky": kind == "streaming",
            "resumable": resumable, "gap_target_ms": 250,
        })
    };
    // Long documents are read for seconds before the answer begins.
    let mut long = route("long", "streaming", "model", 20_000, false);
    long["target_latency_ms"] = 4_000.into();
    json!({
        "version": version,
        "routes": [
            route("draft", "streaming", "model", 3_000, true),
            route("note", "streaming", "model", 3_000, false),
            long,
            route("order", "unsafe", "register", 2_500, false),
            route("read", "safe", "register", 2_500, false),
            route("list", "safe", list, 2_500, false),
        ],
        "services": [
            {"name": "model", "health_path": "/health", "connection_limit": 400, "engine": {
                "slots": 64, "cache_token_bytes": 8_571, "stride": 4,
                "models": [{"name": "m", "load_s": 1.0}], "step_ms": 0.1, "per_seq_ms": 0.001,
                "context_per_k": 0.001, "read_per_s": READ_PER_S, "loads_at_once": 4,
                "delays": [], "usual": {"prompt": 100, "answer": 24}, "layers": LAYERS,
                "layer_mb": 100.0, "activation_bytes": 1_000, "pipe_mbps": 16_000.0,
                "kinds": [{"name": "card", "size_mb": 8_000, "pace": 1.0, "read_factor": 1.0}],
            }},
            {"name": "register", "health_path": "/health", "connection_limit": 100},
        ],
        "limits": {"header_bytes": 16_384, "body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
    })
}
