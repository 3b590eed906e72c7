//! What stands around routers: store, endpoints, clients, and the routers as
//! processes.

#![allow(dead_code)] // Each test program uses a part of it.

pub mod client;
pub mod endpoints;
pub mod engine;
pub mod plain;
pub mod proxy;
pub mod router;
pub mod store;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::Runtime;

use client::Ask;
use endpoints::Endpoints;
use proxy::Proxy;
use router::Router;
use store::Store;

pub const HOST: &str = "front.example";
pub const KEY: &str = "key-of-officers";
pub const OTHER_KEY: &str = "key-of-liaison";
pub const TEAM: &str = "officers";

/// Time for something that happens by itself; far above what it takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two heartbeats of an endpoint.
pub const HEARTBEAT: Duration = Duration::from_millis(250);

/// Layers of the model.
pub const LAYERS: u16 = 8;

/// Numbers worlds, so that each has loopback addresses of its own.
static WORLDS: AtomicU16 = AtomicU16::new(0);

/// How a world is made.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub routers: usize,
    pub zones: usize,
    pub engines_per_zone: usize,
    /// Time between two events of a stream.
    pub event: Duration,
    /// Memory of an engine, in MB; a layer with its cache takes 250.
    pub card_mb: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 2,
            zones: 2,
            engines_per_zone: 3,
            event: Duration::from_millis(20),
            card_mb: 1_000,
        }
    }
}

/// Routers and what stands around them.
pub struct World {
    pub runtime: Runtime,
    pub store: Arc<Store>,
    pub endpoints: Arc<Endpoints>,
    pub routers: Vec<Router>,
    /// Between each router and the store.
    pub links: Vec<Arc<Proxy>>,
    pub revision: u64,
    network: Ipv4Addr,
}

pub fn zone(number: usize) -> String {
    format!("zone-{}", (b'a' + number as u8) as char)
}

impl World {
    /// A world whose routers are ready and whose layers are placed.
    pub fn start(plan: Plan) -> Self {
        let mut world = Self::prepare(plan);
        for number in 0..plan.routers {
            world.start_router(number, number % plan.zones);
        }
        world.wait_until("layers are placed", |world| world.endpoints.is_placed(plan.zones));
        world.wait_until("routers are ready and know the layers", |world| {
            world.routers.iter().all(|router| {
                let draft = Ask::draft(2);
                let told = world.runtime.block_on(draft.send(router.clients));
                told.is_some_and(|told| told.status == 200)
                    && world.runtime.block_on(router.is_ready())
            })
        });
        world
    }

    /// Store and endpoints without routers.
    pub fn prepare(plan: Plan) -> Self {
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let network = Ipv4Addr::new(127, 64 + (number % 64) as u8, (process % 250) as u8, 0);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let store = runtime.block_on(Store::start(host(network, 250)));
        let endpoints = runtime.block_on(Endpoints::start(store.clone(), host(network, 200), plan));
        let mut world = Self {
            runtime,
            store,
            endpoints,
            routers: Vec::new(),
            links: Vec::new(),
            revision: 0,
            network,
        };
        world.configure(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])]);
        world
    }

    pub fn start_router(&mut self, number: usize, zone_number: usize) {
        let seeds: Vec<_> = (0..3).map(|n| host(self.network, 10 + n)).collect();
        let address = host(self.network, 10 + number as u8);
        let link = self.runtime.block_on(Proxy::start(address, self.store.address()));
        let router = Router::start(number, &zone(zone_number), address, &seeds, link.address());
        self.links.push(link);
        self.routers.push(router);
    }

    /// Writes the next configuration, with these teams and their keys.
    pub fn configure(&mut self, teams: &[(&str, &[&str])]) -> u64 {
        self.revision += 3;
        let config = configuration(self.revision, teams, self.endpoints.plan.card_mb);
        self.store.put("op", "config", &config);
        self.revision
    }

    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(Instant::now() < end, "not in time: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn host(network: Ipv4Addr, last: u8) -> Ipv4Addr {
    let [a, b, c, _] = network.octets();
    Ipv4Addr::new(a, b, c, last)
}

fn configuration(revision: u64, teams: &[(&str, &[&str])], card_mb: u32) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 8_000, "target_latency_ms": 300, "priority": 1, "attempts": 2,
            "service": service, "resumable": kind == "streaming",
        })
    };
    let teams: Vec<_> =
        teams.iter().map(|(name, keys)| json!({"name": name, "keys": keys})).collect();
    json!({
        "version": revision,
        "routes": [
            route("draft", "streaming", "model"),
            route("post", "unsafe", "register"),
            route("read", "safe", "register"),
        ],
        "services": [
            {"name": "model", "health_path": "/health", "connection_limit": 400, "engine": {
                "slots": 64, "cache_token_bytes": 8_571, "stride": 4,
                "models": [{"name": "m", "load_s": 1.0}],
                "step_ms": 0.1, "per_seq_ms": 0.001, "context_per_k": 0.001,
                "read_per_s": 100_000.0, "loads_at_once": 4, "delays": [],
                "usual": {"prompt": 100, "answer": 80},
                "layers": LAYERS, "layer_mb": 100.0, "activation_bytes": 1_000,
                "pipe_mbps": 16_000.0,
                "kinds": [{"name": "card", "size_mb": card_mb, "pace": 1.0, "read_factor": 1.0}],
            }},
            {"name": "register", "health_path": "/health", "connection_limit": 100},
        ],
        "limits": {
            "header_bytes": 16_384, "body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": teams,
    })
}
