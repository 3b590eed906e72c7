//! The configuration of a deployment: routes, services, teams, endpoints and nodes.
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

/// A configuration; it takes effect as a whole.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Increases with every configuration.
    pub revision: u64,
    /// Routes by host, then by path prefix.
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Services by name.
    services: HashMap<Arc<str>, Arc<Service>>,
    /// Who may send requests.
    access: Access,
    /// Limits on client requests and connections.
    pub limits: Limits,
}

/// Who may send requests to routes that are not public.
#[derive(Clone, Debug, Default)]
pub enum Access {
    /// Everyone: the configuration has no teams.
    #[default]
    Open,
    /// Who presents a key of a team, by key; nobody if there is none. A key that has been taken
    /// away is not accepted again because it was the last one.
    Keys(HashMap<String, Arc<Team>>),
}

/// Where requests are routed and how they may be handled.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Host that it serves, in lower case.
    pub host: String,
    /// Path prefix that it serves; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Latest deadline of a request, counted from its arrival.
    pub timeout: Duration,
    /// Latency objective: time to the response, or to a stream's first event.
    pub objective: Duration,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Priority level, 0 first.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// Services and their weights; without any, no request on it can be served.
    pub targets: SmallVec<[(Arc<str>, u32); 2]>,
}

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether another endpoint may continue it after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether answers are streams of events, and not read as a whole.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
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
    /// Parameters of its model engine; plain services have none.
    pub engine: Option<Arc<Engine>>,
}

/// The team whose requests an API key authorizes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name, which is sent to endpoints.
    pub name: String,
    /// Priority level that overrides the route's.
    pub priority: Option<u8>,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for reading a request's head, and again for reading its body.
    pub read_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointStatus {
    /// Accepts new work.
    Ready,
    /// Is shutting down and accepts no new work.
    Draining,
}

/// An endpoint as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    /// Its id, unique among live endpoints.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Whether it accepts new work.
    pub status: EndpointStatus,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Start time in Unix milliseconds, which identifies this start of the endpoint.
    pub incarnation: u64,
    /// Increases with every heartbeat.
    pub heartbeat: u64,
    /// Layers that it holds.
    pub layers: Option<Layers>,
    /// Kind of its accelerator.
    pub card: Option<Arc<str>>,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route serves the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    InvalidKey,
}

impl Default for Limits {
    /// The limits in force before a configuration has been loaded.
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
    /// Builds a configuration from its parts.
    pub fn new(
        revision: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        access: Access,
        limits: Limits,
    ) -> Self {
        let mut deployment = Self { revision, access, limits, ..Self::default() };
        for route in routes {
            let host = deployment.routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route));
        }
        for service in services {
            deployment.services.insert(service.name.clone(), Arc::new(service));
        }
        deployment
    }

    /// The route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.routes.get(&host.to_ascii_lowercase())?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// The team to which `key` belongs; `None` if a request on the route needs no key.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Arc<Team>>, Denied> {
        match &self.access {
            Access::Keys(teams) if !route.public => {
                let team = key.and_then(|key| teams.get(key));
                team.map(Some).ok_or(Denied::InvalidKey)
            }
            Access::Keys(_) | Access::Open => Ok(None),
        }
    }

    /// A team by name.
    pub fn team_named(&self, name: &str) -> Option<&Arc<Team>> {
        match &self.access {
            Access::Keys(teams) => teams.values().find(|team| *team.name == *name),
            Access::Open => None,
        }
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

impl FromIterator<(Team, Vec<String>)> for Access {
    /// The access of these teams by their keys.
    fn from_iter<T: IntoIterator<Item = (Team, Vec<String>)>>(teams: T) -> Self {
        let mut by_key = HashMap::new();
        for (team, keys) in teams {
            let team = Arc::new(team);
            by_key.extend(keys.into_iter().map(|key| (key, team.clone())));
        }
        Self::Keys(by_key)
    }
}

impl Route {
    /// Picks a service by weight, given a random number from `0.0..1.0`; `None` if none has a
    /// weight.
    pub fn target(&self, random: f64) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = random * f64::from(total);
        let mut chosen = None;
        for (service, weight) in self.targets.iter().filter(|(_, weight)| *weight > 0) {
            chosen = Some(service);
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                break;
            }
        }
        // Rounding may leave a remainder after the last one.
        chosen
    }

    /// Whether a request may run more than once.
    pub const fn is_idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Safe | RouteKind::Stream { resumable: true })
    }
}
