//! Shortest path over layer boundaries.

use smallvec::SmallVec;

use super::Stage;
use super::sample::Candidate;
use crate::resource::Layers;

/// The best way known to reach each point.
#[derive(Debug)]
pub(super) struct Search {
    points: SmallVec<[u16; 16]>,
    reached: SmallVec<[Reached; 16]>,
}

/// The last stage of the best path to a point.
#[derive(Clone, Copy, Debug)]
struct Reached {
    cost: f64,
    from: usize,
    by: Option<Candidate>,
}

/// A stage of the path found.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leg {
    pub(super) layers: Layers,
    /// The endpoint chosen, or `None` for a kept stage.
    pub(super) by: Option<Candidate>,
}

impl Search {
    /// Starts at layer 0, with the points of a model and of the kept stages.
    pub(super) fn new(model: &[u16], kept: &[Stage]) -> Self {
        let mut points: SmallVec<[u16; 16]> = SmallVec::from_slice(model);
        if !kept.is_empty() {
            points.extend(kept.iter().flat_map(|s| [s.layers.start(), s.layers.end()]));
            points.sort_unstable();
            points.dedup();
        }
        let unreached = Reached { cost: f64::INFINITY, from: 0, by: None };
        let mut reached: SmallVec<[Reached; 16]> = SmallVec::from_elem(unreached, points.len());
        reached[0].cost = 0.0;
        Self { points, reached }
    }

    pub(super) fn points(&self) -> usize {
        self.points.len()
    }

    pub(super) fn layer(&self, point: usize) -> u16 {
        self.points[point]
    }

    pub(super) fn is_reached(&self, point: usize) -> bool {
        self.reached[point].cost.is_finite()
    }

    /// Lets a kept stage run from `point` to layer `end` at no cost.
    pub(super) fn keep(&mut self, point: usize, end: u16) {
        let to = self.points.partition_point(|&layer| layer < end);
        let cost = self.reached[point].cost;
        self.reached[to] = Reached { cost, from: point, by: None };
    }

    /// Lets `candidate` run from `point` to each later point up to `limit`.
    pub(super) fn relax(&mut self, point: usize, candidate: &Candidate, limit: u16) {
        let start = self.points[point];
        let end = candidate.holder.end.min(limit);
        let estimate = &candidate.estimate;
        let cost = self.reached[point].cost + estimate.penalty_us;
        for to in point + 1..self.points.len() {
            let layer = self.points[to];
            if layer > end {
                return;
            }
            let cost = cost + estimate.total_us(layer - start) * candidate.spread;
            if cost < self.reached[to].cost {
                self.reached[to] = Reached { cost, from: point, by: Some(*candidate) };
            }
        }
    }

    /// The stages and cost of the best path to the last point, if it was
    /// reached.
    pub(super) fn path(&self) -> Option<(SmallVec<[Leg; 8]>, f64)> {
        let mut point = self.points.len() - 1;
        let cost = self.reached[point].cost;
        if !self.is_reached(point) {
            return None;
        }
        let mut legs = SmallVec::new();
        while point > 0 {
            let Reached { from, by, .. } = self.reached[point];
            let layers = Layers::try_from((self.points[from], self.points[point]))
                .expect("points rise along a path");
            legs.push(Leg { layers, by });
            point = from;
        }
        legs.reverse();
        Some((legs, cost))
    }
}
