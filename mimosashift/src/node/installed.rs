//! The configuration in force, with what is derived from it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::config::State;
use crate::pipeline::recovery::Cost;
use crate::resource::{Endpoint, Engine, Kind, Name, Role, Snapshot, Spec};
use crate::route::{self, Chain, Distances};

/// One revision and its routing table; immutable, pinned by each request.
#[derive(Debug)]
pub struct Installed {
    state: State,
    routes: route::Table,
    distances: Distances,
}

impl Installed {
    /// Derives the routing table of a revision.
    pub fn new(state: State, domain: &Name, crossing: Duration) -> Self {
        let distances = Distances::new(domain.clone(), crossing, BTreeMap::new());
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

    /// Where an endpoint listens.
    pub fn address(&self, endpoint: &Name) -> Option<SocketAddr> {
        self.endpoint(endpoint).map(|endpoint| endpoint.address)
    }

    /// What recovery costs on a chain.
    pub fn recovery_cost(&self, chain: &Chain) -> Cost {
        let pipeline = self.snapshot().pipeline(chain.pipeline());
        let mut cost = Cost {
            kv_bytes: pipeline.map_or(0, |p| p.kv_bytes),
            link_bytes_per_second: u64::MAX,
            link_latency: Duration::ZERO,
            prefill_base: Duration::ZERO,
            prefill_token: Duration::ZERO,
        };
        for stage in chain.stages() {
            let Some(engine) = self.engine(&stage.endpoint) else { continue };
            let compute = engine.layer_us * u32::from(stage.layers.count());
            let trip = Duration::from_micros(u64::from(engine.link_us) * 2);
            cost.prefill_base += trip + Duration::from_micros(u64::from(compute));
            let weight = crate::health::model::step_weight(2.0) - 1.0;
            cost.prefill_token += Duration::from_micros(u64::from(compute)).mul_f32(weight);
            cost.link_latency = cost.link_latency.max(trip);
            cost.link_bytes_per_second =
                cost.link_bytes_per_second.min(engine.link_bytes_per_second);
        }
        cost
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
