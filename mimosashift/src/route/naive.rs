//! Reference implementation of the choice: an exhaustive search over all chains.
//!
//! It reads the snapshot directly, splits at every layer and evaluates every
//! endpoint, so it shares only the cost model of a stage with [`super::Table`].

use super::cost::{Speed, Work};
use super::{Chain, Distances, RouteRequest, Settings, Stage};
use crate::health::HealthView;
use crate::resource::{Layers, Name, Role, Snapshot};
use crate::time::Instant;

/// A usable endpoint that holds layers, with its estimated cost.
struct Holder<'a> {
    name: &'a Name,
    layers: Layers,
    estimate: super::Estimate,
}

/// State of the exhaustive search: the current partial chain and the best complete
/// one.
struct ExhaustiveSearch<'a> {
    layers: u16,
    holders: Vec<Holder<'a>>,
    stages: Vec<Stage>,
    best: Option<(Vec<Stage>, f64)>,
}

/// The cheapest of all chains and its cost in microseconds, including penalties, or
/// `None` if no chain exists. Prefix caches and kept stages are ignored.
pub fn choose<V: HealthView>(
    snapshot: &Snapshot,
    distances: &Distances,
    settings: &Settings,
    request: &RouteRequest<'_>,
    health: &V,
    now: Instant,
) -> Option<(Chain, f64)> {
    let spec = snapshot.pipeline(request.pipeline)?;
    let work = Work::new(request, spec.layers, spec.hidden_bytes, 0.0);
    let mut holders = Vec::new();
    for (name, endpoint) in snapshot.endpoints() {
        let Role::Engine(engine) = &endpoint.role else { continue };
        if request.avoid.contains(name) || request.avoid_domains.contains(&endpoint.domain) {
            continue;
        }
        let speed = Speed::new(engine, snapshot, distances.to(&endpoint.domain));
        let condition = health.condition(name, now);
        let Some(estimate) = speed.estimate(&work, &condition, settings) else { continue };
        for held in &engine.holds {
            if held.pipeline == *request.pipeline && held.version == request.version {
                holders.push(Holder { name, layers: held.layers, estimate });
            }
        }
    }
    let mut search =
        ExhaustiveSearch { layers: spec.layers, holders, stages: Vec::new(), best: None };
    search.extend(0, 0.0);
    let (stages, cost) = search.best?;
    let chain = Chain::new(request.pipeline.clone(), request.version, spec.layers, stages);
    Some((chain.expect("a complete search result covers every layer in order"), cost))
}

impl ExhaustiveSearch<'_> {
    /// Tries every combination of stages for the layers from `start` on.
    fn extend(&mut self, start: u16, cost: f64) {
        if start == self.layers {
            if self.best.as_ref().is_none_or(|(_, best)| cost < *best) {
                self.best = Some((self.stages.clone(), cost));
            }
            return;
        }
        for index in 0..self.holders.len() {
            let Holder { name, layers: held, estimate } = &self.holders[index];
            let (name, held, estimate) = ((*name).clone(), *held, *estimate);
            for end in start + 1..=held.end().min(self.layers) {
                let layers = Layers::try_from((start, end)).expect("start is less than end");
                if !held.contains(layers) {
                    break;
                }
                let added = estimate.penalty_us + estimate.total_us(layers.count());
                self.stages.push(Stage { endpoint: name.clone(), layers });
                self.extend(end, cost + added);
                self.stages.pop();
            }
        }
    }
}
