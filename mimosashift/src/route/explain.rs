//! What every endpoint would cost, for an operator.

use std::cmp::Ordering;

use super::cost::Estimate;
use super::{Refusal, RouteRequest, Sources, Table};
use crate::health::{Condition, HealthView};
use crate::resource::{Layers, Name};
use crate::time::Instant;

/// One endpoint that holds layers of the model, with its part of the cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The layers of this line; lines of the same layers are alternatives.
    pub layers: Layers,
    /// The endpoint.
    pub endpoint: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its state.
    pub condition: Condition,
    /// What it adds to the request, or `None` when it may not or cannot take
    /// it.
    pub estimate: Option<Estimate>,
}

impl Table {
    /// Up to `limit` cheapest endpoints for each run of layers, cheapest
    /// first. Unlike a choice it looks at every holder and rolls no dice.
    pub fn explain<V: HealthView>(
        &self,
        ask: &RouteRequest<'_>,
        sources: &Sources<'_, V>,
        now: Instant,
        limit: usize,
    ) -> Result<Vec<Candidate>, Refusal> {
        let model = self.model(ask)?;
        let request = self.request(ask, model, sources.health, 0.0, now);
        let mut lines = Vec::new();
        for (range, segment) in model.points.windows(2).zip(&model.segments) {
            let layers = Layers::try_from((range[0], range[1])).expect("points rise");
            let holders = segment.holders.iter();
            let mut alternatives: Vec<Candidate> =
                holders.map(|holder| request.explain(holder.entry, layers)).collect();
            alternatives.sort_by(|a, b| compare(a.estimate, b.estimate, layers.count()));
            lines.extend(alternatives.into_iter().take(limit));
        }
        Ok(lines)
    }
}

/// Orders by cost; endpoints that cannot take the request come last.
fn compare(a: Option<Estimate>, b: Option<Estimate>, layers: u16) -> Ordering {
    let cost = |estimate: Option<Estimate>| {
        estimate.map_or(f64::INFINITY, |e| e.penalty_us + e.total_us(layers))
    };
    cost(a).total_cmp(&cost(b))
}
