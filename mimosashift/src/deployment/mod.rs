//! What a deployment declares: routes, services, teams, endpoints and nodes.
//!
//! An adapter decodes a platform's own formats into these types; see
//! `docs/design/deployment.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

mod engine;
mod node;

pub use engine::{Card, Delay, Engine, TypicalRequest};
pub use node::{Bounds, Node, Store};

use crate::resource::Layers;

/// A configuration, in force as a whole.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Rises with every configuration.
    pub revision: u64,
    /// Routes by host, then by path prefix.
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Services by name.
    services: HashMap<Arc<str>, Arc<Service>>,
    /// Teams by key.
    keys: HashMap<String, Arc<Team>>,
    /// Limits of what a client may send.
    pub limits: Limits,
}

/// Where a request goes and what may be done with it.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Path prefix that it serves; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Latency objective: to the answer, or to a stream's first event.
    pub objective: Duration,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Services and their weights; at least one.
    pub targets: SmallVec<[(Arc<str>, u32); 2]>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether it may go on elsewhere after its last event.
        resumable: bool,
    },
}

/// A service and how its endpoints are reached.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one endpoint accepts from all routers.
    pub connection_limit: u32,
    /// Figures of its model engine; plain services have none.
    pub engine: Option<Arc<Engine>>,
}

/// Whose requests a key stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name, which endpoints are told.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Limits of what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time to send a request's head and again its body.
    pub read_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// An endpoint as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id, unique among live endpoints.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Whether it takes new work.
    pub status: EndpointStatus,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Distinguishes its starts: the time of the start, Unix milliseconds.
    pub incarnation: u64,
    /// Rises with every heartbeat.
    pub heartbeat: u64,
    /// Layers that it holds.
    pub layers: Option<Layers>,
    /// RouteKind of its accelerator.
    pub card: Option<Arc<str>>,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route serves the host and path.
    NoRoute,
    /// The key is missing or not known.
    InvalidKey,
}

impl Default for Limits {
    /// The bounds used before any configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            read_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Deployment {
    /// A configuration of these parts.
    pub fn new(
        revision: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Vec<(Team, Vec<String>)>,
        limits: Limits,
    ) -> Self {
        let mut deployment = Self { revision, limits, ..Self::default() };
        for route in routes {
            let host = deployment.routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        for service in services {
            deployment.services.insert(service.name.clone(), Arc::new(service));
        }
        for (team, keys) in teams {
            let team = Arc::new(team);
            for key in keys {
                deployment.keys.insert(key, team.clone());
            }
        }
        deployment
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.routes.get(&host.to_ascii_lowercase())?;
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// The team whose key this is; a public route needs none.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Arc<Team>>, Denied> {
        if route.public {
            return Ok(None);
        }
        let team = key.and_then(|key| self.keys.get(key)).ok_or(Denied::InvalidKey)?;
        Ok(Some(team))
    }

    /// Whether the configuration holds any keys; without teams none is needed.
    pub fn has_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

impl Route {
    /// The service for a request, by the weights and a draw from `0.0..1.0`.
    pub fn target(&self, draw: f64) -> &Arc<str> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.targets {
            left -= f64::from(*weight);
            if left < 0.0 {
                return service;
            }
        }
        &self.targets[0].0
    }

    /// Whether a request may run more than once.
    pub const fn is_idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Safe | RouteKind::Stream { resumable: true })
    }
}
