//! The installed configuration and the tables derived from it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::State;
use crate::pipeline::recovery::Cost;
use crate::resource::{Endpoint, Engine, Kind, Name, Role, Snapshot, Spec};
use crate::route::{self, Chain, Distances};

/// One revision and its routing table. It is immutable; each request keeps the
/// one that it started with.
#[derive(Debug)]
pub struct Installed {
    state: State,
    routes: route::Table,
    distances: Distances,
}

impl Installed {
    /// Builds the routing table of a revision.
    pub fn new(state: State, domain: &Name, cross_domain_latency: Duration) -> Self {
        let distances = Distances::new(domain.clone(), cross_domain_latency, BTreeMap::new());
        let routes = route::Table::new(state.snapshot(), &distances, route::Settings::default());
        Self { state, routes, distances }
    }

    /// The revision with its history.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// The resources.
    pub const fn snapshot(&self) -> &Snapshot {
        self.state.snapshot()
    }

    /// The routing table.
    pub const fn routes(&self) -> &route::Table {
        &self.routes
    }

    /// Latencies to the failure domains.
    pub const fn distances(&self) -> &Distances {
        &self.distances
    }

    /// The address of an endpoint.
    pub fn address(&self, endpoint: &Name) -> Option<SocketAddr> {
        self.endpoint(endpoint).map(|endpoint| endpoint.address)
    }

    /// The cost of recovery on a chain.
    pub fn recovery_cost(&self, chain: &Chain) -> Cost {
        let snapshot = self.snapshot();
        let pipeline = snapshot.pipeline(chain.pipeline()).expect("a chain's pipeline is declared");
        let stages = chain.stages().iter();
        let engines = stages.filter_map(|s| Some((self.engine(&s.endpoint)?, s.layers)));
        Cost::new(pipeline, engines)
    }

    fn endpoint(&self, name: &Name) -> Option<&Endpoint> {
        match &self.snapshot().get(Kind::Endpoint, name)?.spec {
            Spec::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        }
    }

    fn engine(&self, name: &Name) -> Option<&Engine> {
        match &self.endpoint(name)?.role {
            Role::Engine(engine) => Some(engine),
            Role::Service(_) => None,
        }
    }
}
