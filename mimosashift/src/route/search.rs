//! Shortest path over the layer boundaries of a model.

use smallvec::SmallVec;

use super::Stage;
use super::sample::Candidate;
use crate::resource::Layers;

/// The cheapest known path to each boundary.
#[derive(Debug)]
pub(super) struct Search {
    boundaries: SmallVec<[u16; 16]>,
    arrivals: SmallVec<[Arrival; 16]>,
}

/// The last stage of the cheapest path to a boundary.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    cost: f64,
    from: usize,
    candidate: Option<Candidate>,
}

/// A stage of a path.
#[derive(Clone, Copy, Debug)]
pub(super) struct PathStage {
    pub(super) layers: Layers,
    /// The chosen candidate, or `None` for a kept stage.
    pub(super) candidate: Option<Candidate>,
}

impl Search {
    /// Starts a search at layer 0, over the boundaries of a model and of the kept
    /// stages.
    pub(super) fn new(model: &[u16], kept: &[Stage]) -> Self {
        let mut boundaries: SmallVec<[u16; 16]> = SmallVec::from_slice(model);
        if !kept.is_empty() {
            boundaries.extend(kept.iter().flat_map(|s| [s.layers.start(), s.layers.end()]));
            boundaries.sort_unstable();
            boundaries.dedup();
        }
        let unreached = Arrival { cost: f64::INFINITY, from: 0, candidate: None };
        let mut arrivals: SmallVec<[Arrival; 16]> =
            SmallVec::from_elem(unreached, boundaries.len());
        arrivals[0].cost = 0.0;
        Self { boundaries, arrivals }
    }

    pub(super) fn boundaries(&self) -> usize {
        self.boundaries.len()
    }

    pub(super) fn layer(&self, boundary: usize) -> u16 {
        self.boundaries[boundary]
    }

    pub(super) fn is_reached(&self, boundary: usize) -> bool {
        self.arrivals[boundary].cost.is_finite()
    }

    /// Adds a kept stage from `boundary` to layer `end` at no cost.
    pub(super) fn keep(&mut self, boundary: usize, end: u16) {
        let to = self.boundaries.partition_point(|&layer| layer < end);
        let cost = self.arrivals[boundary].cost;
        self.arrivals[to] = Arrival { cost, from: boundary, candidate: None };
    }

    /// Relaxes the edges of `candidate` from `boundary` to each later boundary up to
    /// layer `limit`.
    pub(super) fn relax(&mut self, boundary: usize, candidate: &Candidate, limit: u16) {
        let start = self.boundaries[boundary];
        let end = candidate.holder.end.min(limit);
        let estimate = &candidate.estimate;
        let cost = self.arrivals[boundary].cost + estimate.penalty_us;
        for to in boundary + 1..self.boundaries.len() {
            let layer = self.boundaries[to];
            if layer > end {
                return;
            }
            let cost = cost + estimate.total_us(layer - start) * candidate.cost_factor;
            if cost < self.arrivals[to].cost {
                self.arrivals[to] = Arrival { cost, from: boundary, candidate: Some(*candidate) };
            }
        }
    }

    /// The stages and cost of the cheapest path to the last boundary, if there is
    /// one.
    pub(super) fn path(&self) -> Option<(SmallVec<[PathStage; 8]>, f64)> {
        let mut boundary = self.boundaries.len() - 1;
        let cost = self.arrivals[boundary].cost;
        if !self.is_reached(boundary) {
            return None;
        }
        let mut stages = SmallVec::new();
        while boundary > 0 {
            let Arrival { from, candidate, .. } = self.arrivals[boundary];
            let layers = Layers::try_from((self.boundaries[from], self.boundaries[boundary]))
                .expect("boundaries increase along a path");
            stages.push(PathStage { layers, candidate });
            boundary = from;
        }
        stages.reverse();
        Some((stages, cost))
    }
}
