//! Explains to an operator what every endpoint would cost a request.

use std::cmp::Ordering;

use super::cost::Estimate;
use super::{Refusal, RouteRequest, Sources, Table};
use crate::health::{Condition, HealthView};
use crate::resource::{Layers, Name};
use crate::time::Instant;

/// An endpoint that holds layers of the model, with its estimated cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The layers; candidates with the same layers are alternatives.
    pub layers: Layers,
    /// The endpoint.
    pub endpoint: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its health.
    pub condition: Condition,
    /// Time it adds to the request; `None` if it is excluded or cannot take it.
    pub estimate: Option<Estimate>,
}

impl Table {
    /// The `limit` cheapest endpoints for each segment of layers, cheapest first.
    /// Unlike [`choose`](Self::choose) it evaluates every endpoint and uses no
    /// randomness.
    pub fn explain<V: HealthView>(
        &self,
        request: &RouteRequest<'_>,
        sources: &Sources<'_, V>,
        now: Instant,
        limit: usize,
    ) -> Result<Vec<Candidate>, Refusal> {
        let model = self.model(request)?;
        let evaluator = self.evaluator(request, model, sources.health, 0.0, now);
        let mut candidates = Vec::new();
        for (range, segment) in model.boundaries.windows(2).zip(&model.segments) {
            let layers = Layers::try_from((range[0], range[1])).expect("boundaries are increasing");
            let holders = segment.holders.iter();
            let mut alternatives: Vec<Candidate> =
                holders.map(|holder| evaluator.explain(holder.entry, layers)).collect();
            alternatives.sort_by(|a, b| compare(a.estimate, b.estimate, layers.count()));
            candidates.extend(alternatives.into_iter().take(limit));
        }
        Ok(candidates)
    }
}

/// Orders by cost; endpoints that cannot take the request come last.
fn compare(a: Option<Estimate>, b: Option<Estimate>, layers: u16) -> Ordering {
    let cost = |estimate: Option<Estimate>| {
        estimate.map_or(f64::INFINITY, |e| e.penalty_us + e.total_us(layers))
    };
    cost(a).total_cmp(&cost(b))
}
