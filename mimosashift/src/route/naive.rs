//! The reference for the choice: tries every chain.
//!
//! It reads the snapshot itself, splits at every layer and looks at every
//! endpoint, so it shares only the cost of one stage with [`super::Table`].

use super::cost::{Speed, Work};
use super::{Chain, Distances, RouteRequest, Settings, Stage};
use crate::health::HealthView;
use crate::resource::{Layers, Name, Role, Snapshot};
use crate::time::Instant;

/// A holding that may be used, with what it adds.
struct Holder<'a> {
    name: &'a Name,
    layers: Layers,
    estimate: super::Estimate,
}

/// The stages so far and the best complete ones.
struct Trial<'a> {
    layers: u16,
    holders: Vec<Holder<'a>>,
    stages: Vec<Stage>,
    best: Option<(Vec<Stage>, f64)>,
}

/// The cheapest of all chains and its estimated time in microseconds, or
/// `None` when no chain exists. Prefix caches and kept stages are left out.
pub fn choose<V: HealthView>(
    snapshot: &Snapshot,
    distances: &Distances,
    settings: &Settings,
    ask: &RouteRequest<'_>,
    health: &V,
    now: Instant,
) -> Option<(Chain, f64)> {
    let spec = snapshot.pipeline(ask.pipeline)?;
    let work = Work::new(ask, spec.layers, spec.hidden_bytes, 0.0);
    let mut holders = Vec::new();
    for (name, endpoint) in snapshot.endpoints() {
        let Role::Engine(engine) = &endpoint.role else { continue };
        if ask.avoid.contains(name) || ask.avoid_domains.contains(&endpoint.domain) {
            continue;
        }
        let speed = Speed::new(engine, snapshot, distances.to(&endpoint.domain));
        let condition = health.condition(name, now);
        let Some(estimate) = speed.estimate(&work, &condition, settings) else { continue };
        for held in &engine.holds {
            if held.pipeline == *ask.pipeline && held.version == ask.version {
                holders.push(Holder { name, layers: held.layers, estimate });
            }
        }
    }
    let mut trial = Trial { layers: spec.layers, holders, stages: Vec::new(), best: None };
    trial.extend(0, 0.0);
    let (stages, cost) = trial.best?;
    let chain = Chain::new(ask.pipeline.clone(), ask.version, spec.layers, stages);
    Some((chain.expect("every trial joins layer 0 to the last one"), cost))
}

impl Trial<'_> {
    /// Tries every way to run the layers from `start` on.
    fn extend(&mut self, start: u16, cost: f64) {
        if start == self.layers {
            if self.best.as_ref().is_none_or(|(_, best)| cost < *best) {
                self.best = Some((self.stages.clone(), cost));
            }
            return;
        }
        for place in 0..self.holders.len() {
            let Holder { name, layers: held, estimate } = &self.holders[place];
            let (name, held, estimate) = ((*name).clone(), *held, *estimate);
            for end in start + 1..=held.end().min(self.layers) {
                let layers = Layers::try_from((start, end)).expect("start lies before end");
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
