//! Assigns the layers of a model to endpoints.
//!
//! [`plan`] depends only on the endpoints and the engine's parameters, so that
//! every router computes the same assignments. Each pool (a zone, or several
//! zones that cannot hold a copy alone) gets one complete copy with memory left
//! for requests, and second copies of the layers that take longest to replace.
//! See `docs/design/layout.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::deployment::{Card, Engine};
use crate::resource::Layers;

/// Upper bound on the KV cache capacity reserved for each layer, in tokens. A
/// larger reserve splits the copy into more parts, each of which adds latency
/// to every token.
const MAX_CACHE_TOKENS_PER_LAYER: f64 = 140_000.0;

/// Lower bound on the KV cache capacity reserved for each layer, in tokens, when
/// a pool has little memory.
const MIN_CACHE_TOKENS_PER_LAYER: f64 = 40_000.0;

/// Step between the capacity targets that are tried, in tokens.
const CACHE_TOKENS_STEP: f64 = 10_000.0;

/// Copies of the model that a pool should have room for: one, and spare room to
/// replace lost layers.
const TARGET_COPIES: f64 = 1.2;

/// Score of an additional copy of a layer, relative to that of the first.
const EXTRA_COPY_SCORE: f64 = 0.02;

/// Term in the score of an additional copy. It is added to the share of the model on
/// the largest holder, because a larger range takes longer to reload; the sum is scaled
/// down as the layer's capacity grows.
const EXTRA_COPY_BASE: f64 = 0.5;

/// Factor by which a change must raise the capacity of the scarcest layer, since an
/// endpoint serves no layers for seconds while it changes its range.
const MIN_CAPACITY_GAIN: f64 = 1.15;

/// Share of the target capacity below which the scarcest layer justifies a change of a
/// range.
const LOW_CAPACITY_SHARE: f64 = 0.6;

/// Share of the scarcest layer's current capacity that every layer given up by the
/// changed endpoint must keep from the other endpoints.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// Cost of loading one layer, relative to the score of a missing layer.
const LOAD_COST: f64 = 0.01;

/// Cost of changing an endpoint whose KV cache is full, relative to the score of a
/// missing layer; scaled by the share in use. The requests of the endpoint must end
/// before it changes.
const CACHE_USE_COST: f64 = 1.0;

/// State of an endpoint that the planner reads.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// The endpoint.
    pub id: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its accelerator card.
    pub card: Card,
    /// Layers that it holds or has been ordered to hold.
    pub layers: Option<Layers>,
    /// KV cache in use, tokens x layers; it must still fit after a change.
    pub used: f64,
    /// Whether an order is in progress, so that no other may be sent.
    pub busy: bool,
}

/// The layers that an endpoint is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The endpoint.
    pub id: Arc<str>,
    /// The layers.
    pub layers: Layers,
}

/// Returns the assignments that complete each pool's copy or raise the capacity of its
/// scarcest layer.
pub fn plan(engine: &Engine, endpoints: &[EndpointState]) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    for pool in pools(engine, endpoints) {
        assignments.extend(Pool::new(engine, pool).plan());
    }
    assignments
}

/// Groups endpoints by zone and merges zones that cannot hold a copy alone.
fn pools(engine: &Engine, endpoints: &[EndpointState]) -> Vec<Vec<EndpointState>> {
    let mut zones: BTreeMap<&str, Vec<EndpointState>> = BTreeMap::new();
    for endpoint in endpoints {
        zones.entry(&endpoint.zone).or_default().push(endpoint.clone());
    }
    let mut pools: Vec<Vec<EndpointState>> = zones.into_values().collect();
    let holds_copy = |pool: &Vec<EndpointState>| {
        total_layers(engine, pool, MIN_CACHE_TOKENS_PER_LAYER) >= u32::from(engine.layers)
    };
    while pools.len() > 1
        && let Some(small) = pools.iter().position(|pool| !holds_copy(pool))
    {
        let pool = pools.remove(small);
        let fewest = (0..pools.len())
            .min_by_key(|i| total_layers(engine, &pools[*i], MIN_CACHE_TOKENS_PER_LAYER));
        pools[fewest.expect("another pool is left")].extend(pool);
    }
    pools
}

/// Number of layers that the endpoints can hold with KV cache for `tokens` tokens in
/// each layer.
fn total_layers(engine: &Engine, pool: &[EndpointState], tokens: f64) -> u32 {
    pool.iter().map(|endpoint| u32::from(engine.max_layers(&endpoint.card, tokens))).sum()
}

struct Pool<'a> {
    engine: &'a Engine,
    endpoints: Vec<EndpointState>,
    /// KV cache capacity of each layer's holders, in tokens; 0 for a layer without
    /// a holder.
    capacity: Vec<f64>,
    /// For each layer, the number of layers on its largest holder.
    largest_range: Vec<u16>,
    assignments: Vec<Assignment>,
}

impl<'a> Pool<'a> {
    fn new(engine: &'a Engine, mut endpoints: Vec<EndpointState>) -> Self {
        // Fastest endpoints first, so that they get the first copy.
        endpoints.sort_by(|a, b| {
            a.card.decode_factor.total_cmp(&b.card.decode_factor).then_with(|| a.id.cmp(&b.id))
        });
        let layers = usize::from(engine.layers);
        let mut pool = Self {
            engine,
            endpoints,
            capacity: vec![0.0; layers],
            largest_range: vec![0; layers],
            assignments: Vec::new(),
        };
        pool.recount();
        pool
    }

    fn plan(mut self) -> Vec<Assignment> {
        let target = self.target();
        self.fill(target);
        let mut tokens = target;
        while self.has_gap() && tokens >= MIN_CACHE_TOKENS_PER_LAYER {
            // Repairs what it can at this capacity, before reserving less.
            while self.has_gap() && self.repair(tokens) {}
            tokens -= CACHE_TOKENS_STEP;
        }
        let busy = self.endpoints.iter().any(|endpoint| endpoint.busy);
        if self.assignments.is_empty() && !busy && !self.has_gap() {
            self.improve(target);
        }
        self.assignments
    }

    /// Highest capacity target, in tokens, at which the pool has room for
    /// `TARGET_COPIES`.
    fn target(&self) -> f64 {
        let min_layers = TARGET_COPIES * f64::from(self.engine.layers);
        let mut tokens = MAX_CACHE_TOKENS_PER_LAYER;
        while tokens > MIN_CACHE_TOKENS_PER_LAYER
            && f64::from(total_layers(self.engine, &self.endpoints, tokens)) < min_layers
        {
            tokens -= CACHE_TOKENS_STEP;
        }
        tokens
    }

    fn has_gap(&self) -> bool {
        self.capacity.contains(&0.0)
    }

    /// Recomputes the capacity and the largest holder of each layer.
    fn recount(&mut self) {
        self.capacity.fill(0.0);
        self.largest_range.fill(0);
        for endpoint in &self.endpoints {
            let Some(layers) = endpoint.layers else { continue };
            let tokens = self.capacity_of(endpoint, layers);
            for layer in range(layers) {
                self.capacity[layer] += tokens;
                self.largest_range[layer] = self.largest_range[layer].max(layers.count());
            }
        }
    }

    /// KV cache capacity of an endpoint for each of `layers`, in tokens.
    fn capacity_of(&self, endpoint: &EndpointState, layers: Layers) -> f64 {
        let count = layers.count();
        // At least 1, since a capacity of 0 marks a layer without a holder.
        (self.engine.kv_capacity(&endpoint.card, count) / f64::from(count)).max(1.0)
    }

    /// Assigns the range with the highest score to every empty endpoint.
    fn fill(&mut self, tokens: f64) {
        for index in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[index];
            if endpoint.layers.is_some() || endpoint.busy {
                continue;
            }
            let count = self.engine.max_layers(&endpoint.card, tokens);
            let starts = 0..=self.engine.layers.saturating_sub(count);
            let score = |start: u16| -> f64 {
                (start..start + count).map(|layer| self.copy_score(usize::from(layer))).sum()
            };
            // On a tie the lowest start wins, which keeps ranges adjacent.
            let best = starts
                .map(|start| (start, score(start)))
                .reduce(|best, next| if next.1 > best.1 + 1e-9 { next } else { best });
            if let Some((start, _)) = best
                && let Ok(layers) = Layers::try_from((start, start + count))
            {
                self.assign(index, layers);
            }
        }
    }

    /// Score of one more copy of a layer.
    fn copy_score(&self, layer: usize) -> f64 {
        if self.capacity[layer] == 0.0 {
            return 1.0;
        }
        // A layer scores more the lower its capacity is, up to a factor of 2.
        let share = f64::from(self.largest_range[layer]) / f64::from(self.engine.layers);
        EXTRA_COPY_SCORE
            * (EXTRA_COPY_BASE + share)
            * (MAX_CACHE_TOKENS_PER_LAYER / self.capacity[layer]).min(2.0)
    }

    /// Changes the one range that most raises the capacity of the scarcest layer,
    /// if that capacity is far below the target.
    fn improve(&mut self, target: f64) {
        let lowest_of = |tokens: &[f64]| tokens.iter().copied().fold(f64::MAX, f64::min);
        let current_lowest = lowest_of(&self.capacity);
        if current_lowest >= LOW_CAPACITY_SHARE * target {
            return;
        }
        let mut best: Option<(f64, usize, Layers)> = None;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let Some(held) = endpoint.layers else { continue };
            let mut capacity_without = self.capacity.clone();
            let tokens = self.capacity_of(endpoint, held);
            range(held).for_each(|layer| capacity_without[layer] -= tokens);
            let max_count = self.engine.max_layers(&endpoint.card, MIN_CACHE_TOKENS_PER_LAYER);
            for layers in ranges(1, max_count, self.engine.layers) {
                let given_up = range(held).filter(|layer| !range(layers).contains(layer));
                if given_up
                    .clone()
                    .any(|layer| capacity_without[layer] < MIN_REMAINING_SHARE * current_lowest)
                {
                    continue;
                }
                if !self.fits(endpoint, layers) {
                    continue;
                }
                let tokens = self.capacity_of(endpoint, layers);
                let mut capacity_with = capacity_without.clone();
                range(layers).for_each(|layer| capacity_with[layer] += tokens);
                let lowest = lowest_of(&capacity_with);
                if lowest > best.map_or(current_lowest * MIN_CAPACITY_GAIN, |(lowest, ..)| lowest) {
                    best = Some((lowest, index, layers));
                }
            }
        }
        if let Some((_, index, layers)) = best {
            self.assign(index, layers);
        }
    }

    /// Assigns layers to an endpoint, replacing its earlier assignment.
    fn assign(&mut self, index: usize, layers: Layers) {
        let endpoint = &mut self.endpoints[index];
        endpoint.layers = Some(layers);
        self.assignments.retain(|earlier| earlier.id != endpoint.id);
        self.assignments.push(Assignment { id: endpoint.id.clone(), layers });
        self.recount();
    }

    /// Makes the one change of a range that best covers missing layers; returns
    /// false if no change helps.
    fn repair(&mut self, tokens: f64) -> bool {
        let mut best: Option<(f64, usize, Layers)> = None;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.busy {
                continue;
            }
            let max_count = self.engine.max_layers(&endpoint.card, tokens);
            for (score, layers) in self.changes(endpoint, max_count) {
                if score > best.map_or(0.0, |(score, ..)| score) {
                    best = Some((score, index, layers));
                }
            }
        }
        let Some((_, index, layers)) = best else { return false };
        self.assign(index, layers);
        true
    }

    /// The ranges an endpoint could hold instead that cover missing layers, with
    /// their scores.
    fn changes(&self, endpoint: &EndpointState, max_count: u16) -> Vec<(f64, Layers)> {
        let current = endpoint.layers;
        let used_share = current.map_or(0.0, |current| {
            let capacity = self.engine.kv_capacity(&endpoint.card, current.count());
            (endpoint.used / capacity.max(1.0)).min(1.0)
        });
        let min_count = current.map_or(1, |layers| layers.count().min(max_count)).max(1);
        let mut changes = Vec::new();
        for layers in ranges(min_count, max_count, self.engine.layers) {
            let gained = range(layers).filter(|layer| self.capacity[*layer] == 0.0).count();
            if gained == 0 || !self.fits(endpoint, layers) || self.opens_gap(endpoint, layers) {
                continue;
            }
            let held =
                |layer: &usize| current.is_some_and(|current| range(current).contains(layer));
            let loaded = range(layers).filter(|layer| !held(layer)).count();
            let cost = LOAD_COST * loaded as f64 + CACHE_USE_COST * used_share;
            changes.push((gained as f64 - cost, layers));
        }
        changes
    }

    /// Whether the KV cache in use fits beside `layers`. If it did not, requests would be
    /// preempted and have to repeat their prefill.
    fn fits(&self, endpoint: &EndpointState, layers: Layers) -> bool {
        endpoint.used <= self.engine.kv_capacity(&endpoint.card, layers.count())
    }

    /// Whether holding `next` instead would leave a layer without a holder.
    fn opens_gap(&self, endpoint: &EndpointState, next: Layers) -> bool {
        let Some(current) = endpoint.layers else { return false };
        let own = self.capacity_of(endpoint, current);
        let given_up = range(current).filter(|layer| !range(next).contains(layer));
        given_up.into_iter().any(|layer| self.capacity[layer] - own < 1.0)
    }
}

/// Every range of `min_count` to `max_count` consecutive layers of a model of `total`.
fn ranges(min_count: u16, max_count: u16, total: u16) -> impl Iterator<Item = Layers> {
    let starts = move |count: u16| (0..=total.saturating_sub(count)).map(move |s| (s, s + count));
    (min_count..=max_count).flat_map(starts).filter_map(|range| Layers::try_from(range).ok())
}

fn range(layers: Layers) -> std::ops::Range<usize> {
    usize::from(layers.start())..usize::from(layers.end())
}
