//! Test cluster: routers as processes, with a store, endpoints and clients.

#![allow(dead_code)] // Each test binary uses only some of the items.

pub mod blind;
pub mod client;
pub mod endpoints;
pub mod engine;
pub mod kept;
pub mod load;
pub mod plain;
pub mod proxy;
pub mod raw;
pub mod router;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime::Runtime;

use client::TestRequest;
use endpoints::Endpoints;
use proxy::{Breaker, LinkState, Proxy};
use router::Router;
use store::Store;

pub const HOST: &str = "front.example";
pub const KEY: &str = "key-of-officers";
pub const OTHER_KEY: &str = "key-of-liaison";
pub const TEAM: &str = "officers";

/// Time limit for an expected state; far above what it takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of the heartbeats of an endpoint.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Layers of the model.
pub const LAYERS: u16 = 8;

/// Numbers clusters, so that each has its own loopback addresses.
static CLUSTERS: AtomicU16 = AtomicU16::new(0);

/// Size and timing of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOptions {
    pub routers: usize,
    pub zones: usize,
    pub engines_per_zone: usize,
    /// Endpoints of the plain service in each zone.
    pub registers_per_zone: usize,
    /// Time between two events of a stream.
    pub event_interval: Duration,
    /// Memory of an engine, in MB; a layer with its cache takes 250.
    pub engine_memory_mb: u32,
    /// Whether each router has links of its own to the endpoints, which can be cut. Routers of
    /// one zone hand each other the directory, and with it the addresses of their links.
    pub separate_links: bool,
    /// Number of zones of the routers, if it is not that of the endpoints.
    pub router_zones: Option<usize>,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            routers: 2,
            zones: 2,
            engines_per_zone: 3,
            registers_per_zone: 1,
            event_interval: Duration::from_millis(20),
            engine_memory_mb: 1_000,
            separate_links: false,
            router_zones: None,
        }
    }
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct TestLimits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for TestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 65_536,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Routers, and the store and endpoints that they use.
pub struct TestCluster {
    pub runtime: Runtime,
    pub store: Arc<Store>,
    pub endpoints: Arc<Endpoints>,
    pub routers: Vec<Router>,
    /// Proxies between each router and the store.
    pub store_proxies: Vec<Arc<Proxy>>,
    /// Links between each router and the endpoints, if they are separate.
    links: Vec<Vec<Arc<Proxy>>>,
    pub revision: u64,
    /// Limits of the next configuration.
    pub limits: TestLimits,
    network: Ipv4Addr,
}

pub fn zone(number: usize) -> String {
    format!("zone-{}", (b'a' + number as u8) as char)
}

impl TestCluster {
    /// Starts a cluster; its routers are ready and its layers are placed.
    pub fn start(options: ClusterOptions) -> Self {
        let mut cluster = Self::prepare(options);
        for number in 0..options.routers {
            cluster.start_router(number, number % options.router_zones.unwrap_or(options.zones));
        }
        cluster
            .wait_until("layers are placed", |cluster| cluster.endpoints.is_placed(options.zones));
        cluster.wait_until("routers are ready and know the layers", |cluster| {
            cluster.routers.iter().all(|router| {
                let draft = TestRequest::draft(2);
                let response = cluster.runtime.block_on(draft.send(router.clients));
                response.is_some_and(|response| response.status == 200)
                    && cluster.runtime.block_on(router.is_ready())
            })
        });
        cluster
    }

    /// Starts a store and endpoints without routers.
    pub fn prepare(options: ClusterOptions) -> Self {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let process_id = std::process::id();
        // Loopback network of this cluster, by cluster and process.
        let network = Ipv4Addr::new(127, 64 + (number % 64) as u8, (process_id % 250) as u8, 0);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let store = runtime.block_on(Store::start(host_address(network, 250)));
        let endpoints =
            runtime.block_on(Endpoints::start(store.clone(), host_address(network, 200), options));
        let mut cluster = Self {
            runtime,
            store,
            endpoints,
            routers: Vec::new(),
            store_proxies: Vec::new(),
            links: Vec::new(),
            revision: 0,
            limits: TestLimits::default(),
            network,
        };
        cluster.configure(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])]);
        cluster
    }

    pub fn start_router(&mut self, number: usize, zone_number: usize) {
        let seeds: Vec<_> = (0..3).map(|n| host_address(self.network, 10 + n)).collect();
        let address = host_address(self.network, 10 + number as u8);
        let store = self.open_links(address);
        let proxy = self.runtime.block_on(Proxy::start(address, store));
        let router = Router::start(number, &zone(zone_number), address, &seeds, proxy.address());
        self.store_proxies.push(proxy);
        self.routers.push(router);
    }

    /// Opens a router's own links to the endpoints, if it has any; returns the address at
    /// which the store names these to it.
    fn open_links(&mut self, router: Ipv4Addr) -> SocketAddr {
        if !self.endpoints.options.separate_links {
            return self.store.address();
        }
        let links = self.runtime.block_on(self.endpoints.open_links(router));
        let addresses = self.endpoints.members.iter().map(|member| member.address().to_string());
        let names = addresses.zip(links.iter().map(|link| link.address().to_string())).collect();
        self.links.push(links);
        self.runtime.block_on(self.store.listen(router, names))
    }

    /// Changes the links between some routers and all endpoints.
    pub fn set_links(&self, routers: &[usize], state: LinkState) {
        let links = routers.iter().flat_map(|router| &self.links[*router]);
        links.for_each(|link| link.set(state));
    }

    /// Changes the link between a router and an endpoint, both by number.
    pub fn set_link(&self, router: usize, endpoint: usize, state: LinkState) {
        self.links[router][endpoint].set(state);
    }

    /// Gives broken answers in place of all endpoints, on all links.
    pub fn break_answers(&self, breaker: &Breaker) {
        let members = self.endpoints.members.iter().map(|member| &member.proxy);
        let links = self.links.iter().flatten();
        members.chain(links).for_each(|proxy| proxy.break_answers(breaker.clone()));
    }

    /// Writes the next configuration, with these teams and their keys.
    pub fn configure(&mut self, teams: &[(&str, &[&str])]) -> u64 {
        self.configure_with(teams, |_| {})
    }

    /// Writes the next configuration, with these teams and their keys and a change of its text.
    pub fn configure_with(
        &mut self,
        teams: &[(&str, &[&str])],
        change: impl FnOnce(&mut Value),
    ) -> u64 {
        // Revisions may skip numbers.
        self.revision += 3;
        let mut config =
            configuration_json(self.revision, teams, self.endpoints.options.engine_memory_mb);
        config["limits"] = limits_json(&self.limits);
        change(&mut config);
        self.store.put("op", "config", &config);
        self.revision
    }

    /// Writes a configuration with these limits and waits until it is in force.
    pub fn configure_limits(&mut self, limits: TestLimits) {
        self.limits = limits;
        self.configure(&[(TEAM, &[KEY])]);
        self.wait_for_configuration();
    }

    /// Waits until all routers have installed the newest configuration.
    pub fn wait_for_configuration(&self) {
        self.wait_until("the configuration is in force", |cluster| {
            cluster.routers.iter().all(|router| router.has_installed(cluster.revision))
        });
    }

    pub fn wait_until(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "timed out waiting until {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn host_address(network: Ipv4Addr, last: u8) -> Ipv4Addr {
    let [a, b, c, _] = network.octets();
    Ipv4Addr::new(a, b, c, last)
}

fn limits_json(limits: &TestLimits) -> Value {
    json!({
        "header_bytes": limits.head_bytes, "body_bytes": limits.body_bytes,
        "header_timeout_ms": limits.head_timeout.as_millis() as u64,
        "idle_timeout_ms": limits.idle_timeout.as_millis() as u64,
    })
}

fn configuration_json(revision: u64, teams: &[(&str, &[&str])], engine_memory_mb: u32) -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 8_000, "target_latency_ms": 300, "priority": 1, "attempts": 2,
            "service": service, "resumable": name == "draft",
        })
    };
    let teams: Vec<_> =
        teams.iter().map(|(name, keys)| json!({"name": name, "keys": keys})).collect();
    json!({
        "version": revision,
        "routes": [
            route("draft", "streaming", "model"),
            route("note", "streaming", "model"),
            route("feed", "streaming", "register"),
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
                "kinds": [{"name": "card", "size_mb": engine_memory_mb, "pace": 1.0, "read_factor": 1.0}],
            }},
            {"name": "register", "health_path": "/health", "connection_limit": 100},
        ],
        "tenants": teams,
    })
}
