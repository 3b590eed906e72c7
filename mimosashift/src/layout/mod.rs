//! Which endpoint holds which layers of a model.
//!
//! [`plan`] is one function of the endpoints and the engine's figures, so that
//! every router would give the same orders. Each pool, a zone or several that
//! hold no copy alone, gets one whole copy with memory left for requests, and
//! second copies of what is slowest to replace. See `docs/design/layout.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::deployment::{Card, Engine};
use crate::resource::Layers;

/// Tokens for whose KV cache each layer's holder keeps memory, at most; more
/// would cut the copy into more parts, and each part delays every token.
const MAX_TOKENS: f64 = 140_000.0;

/// Tokens for whose KV cache memory is kept at least, when a pool is short.
const MIN_TOKENS: f64 = 40_000.0;

/// Step between the token targets that are tried.
const TOKEN_STEP: f64 = 10_000.0;

/// Layers that a pool holds in all, in copies: one, and room to replace some.
const COPIES: f64 = 1.2;

/// Worth of a further copy of a layer against a first one.
const FURTHER_COPY: f64 = 0.02;

/// Worth of one more copy that a layer has whoever holds it, beside the share
/// of the model that its largest holder has: that takes long to load again.
const BASE_WORTH: f64 = 0.5;

/// Factor by which a change must raise the tokens of the layer that has the
/// fewest, since every change takes an endpoint out for a while.
const GAIN: f64 = 1.15;

/// Share of the target below which a layer is worth a change: an endpoint
/// that changes its range serves nothing of it for seconds.
const THIN: f64 = 0.6;

/// Share of a layer's tokens that other endpoints must hold while the change
/// of one is under way.
const KEPT: f64 = 0.5;

/// Cost of a layer that is loaded though another endpoint of the pool holds
/// it, against the worth of a missing layer.
const LOAD_COST: f64 = 0.01;

/// Cost of changing an endpoint whose memory is all in use, against the worth
/// of a missing layer: what passes through it must end first.
const BUSY_COST: f64 = 1.0;

/// An endpoint to plan for.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointState {
    /// The endpoint.
    pub id: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its card.
    pub card: Card,
    /// Layers that it holds or has been told to hold.
    pub layers: Option<Layers>,
    /// KV cache in use, tokens x layers: it must still fit after a change.
    pub used: f64,
    /// Whether an order is being carried out, so that another must wait.
    pub busy: bool,
}

/// Layers that an endpoint shall hold from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The endpoint.
    pub id: Arc<str>,
    /// The layers.
    pub layers: Layers,
}

/// The orders that bring the places nearer to a whole copy in each pool.
pub fn plan(engine: &Engine, places: &[EndpointState]) -> Vec<Assignment> {
    let mut moves = Vec::new();
    for pool in pools(engine, places) {
        moves.extend(Pool::new(engine, pool).plan());
    }
    moves
}

/// Zones, joined with others while they hold no copy alone.
fn pools(engine: &Engine, places: &[EndpointState]) -> Vec<Vec<EndpointState>> {
    let mut zones: BTreeMap<&str, Vec<EndpointState>> = BTreeMap::new();
    for place in places {
        zones.entry(&place.zone).or_default().push(place.clone());
    }
    let mut pools: Vec<Vec<EndpointState>> = zones.into_values().collect();
    let holds =
        |pool: &Vec<EndpointState>| total(engine, pool, MIN_TOKENS) >= u32::from(engine.layers);
    while pools.len() > 1
        && let Some(short) = pools.iter().position(|pool| !holds(pool))
    {
        let pool = pools.remove(short);
        let fewest = (0..pools.len()).min_by_key(|i| total(engine, &pools[*i], MIN_TOKENS));
        pools[fewest.expect("another pool is left")].extend(pool);
    }
    pools
}

fn total(engine: &Engine, pool: &[EndpointState], tokens: f64) -> u32 {
    pool.iter().map(|place| u32::from(engine.layers_beside(&place.card, tokens))).sum()
}

struct Pool<'a> {
    engine: &'a Engine,
    places: Vec<EndpointState>,
    /// By layer, the tokens for which its holders have memory; 0 when none
    /// holds it.
    tokens: Vec<f64>,
    /// By layer, the largest range of a place that holds it.
    largest: Vec<u16>,
    moves: Vec<Assignment>,
}

impl<'a> Pool<'a> {
    fn new(engine: &'a Engine, mut places: Vec<EndpointState>) -> Self {
        // The fastest first, so that they get the first copy.
        places.sort_by(|a, b| a.card.pace.total_cmp(&b.card.pace).then_with(|| a.id.cmp(&b.id)));
        let layers = usize::from(engine.layers);
        let mut pool = Self {
            engine,
            places,
            tokens: vec![0.0; layers],
            largest: vec![0; layers],
            moves: Vec::new(),
        };
        pool.count();
        pool
    }

    fn plan(mut self) -> Vec<Assignment> {
        let target = self.target();
        self.fill(target);
        let mut tokens = target;
        while self.has_gap() && tokens >= MIN_TOKENS {
            // The largest changes that leave each endpoint the most memory.
            while self.has_gap() && self.repair(tokens) {}
            tokens -= TOKEN_STEP;
        }
        let busy = self.places.iter().any(|place| place.busy);
        if self.moves.is_empty() && !busy && !self.has_gap() {
            self.improve(target);
        }
        self.moves
    }

    /// The most tokens, in steps, for which the pool still holds its copies.
    fn target(&self) -> f64 {
        let wanted = COPIES * f64::from(self.engine.layers);
        let mut tokens = MAX_TOKENS;
        while tokens > MIN_TOKENS && f64::from(total(self.engine, &self.places, tokens)) < wanted {
            tokens -= TOKEN_STEP;
        }
        tokens
    }

    fn has_gap(&self) -> bool {
        self.tokens.contains(&0.0)
    }

    fn count(&mut self) {
        self.tokens.fill(0.0);
        self.largest.fill(0);
        for place in &self.places {
            let Some(layers) = place.layers else { continue };
            let tokens = self.tokens_of(place, layers);
            for layer in range(layers) {
                self.tokens[layer] += tokens;
                self.largest[layer] = self.largest[layer].max(layers.count());
            }
        }
    }

    /// Tokens for which a place that holds `layers` has memory in each.
    fn tokens_of(&self, place: &EndpointState, layers: Layers) -> f64 {
        let count = layers.count();
        // A holder without memory still keeps its layers from being a gap.
        (self.engine.capacity(&place.card, count) / f64::from(count)).max(1.0)
    }

    /// Gives every empty place the range that is needed most.
    fn fill(&mut self, tokens: f64) {
        for index in 0..self.places.len() {
            let place = &self.places[index];
            if place.layers.is_some() || place.busy {
                continue;
            }
            let count = self.engine.layers_beside(&place.card, tokens);
            let starts = 0..=self.engine.layers.saturating_sub(count);
            let worth = |start: u16| -> f64 {
                (start..start + count).map(|layer| self.need(usize::from(layer))).sum()
            };
            // The lowest start among equals keeps ranges side by side.
            let best = starts
                .map(|start| (start, worth(start)))
                .reduce(|best, next| if next.1 > best.1 + 1e-9 { next } else { best });
            if let Some((start, _)) = best
                && let Ok(layers) = Layers::try_from((start, start + count))
            {
                self.order(index, layers);
            }
        }
    }

    /// How much one more copy of a layer is needed.
    fn need(&self, layer: usize) -> f64 {
        if self.tokens[layer] == 0.0 {
            return 1.0;
        }
        let share = f64::from(self.largest[layer]) / f64::from(self.engine.layers);
        FURTHER_COPY * (BASE_WORTH + share) * (MAX_TOKENS / self.tokens[layer]).min(2.0)
    }

    /// Changes the one range whose change most raises the tokens of the layer
    /// that has the fewest, if those are far below the target.
    fn improve(&mut self, target: f64) {
        let least = |tokens: &[f64]| tokens.iter().copied().fold(f64::MAX, f64::min);
        let now = least(&self.tokens);
        if now >= THIN * target {
            return;
        }
        let mut best: Option<(f64, usize, Layers)> = None;
        for (index, place) in self.places.iter().enumerate() {
            let Some(held) = place.layers else { continue };
            let mut without = self.tokens.clone();
            let tokens = self.tokens_of(place, held);
            range(held).for_each(|layer| without[layer] -= tokens);
            let most = self.engine.layers_beside(&place.card, MIN_TOKENS);
            for layers in ranges(1, most, self.engine.layers) {
                let given_up = range(held).filter(|layer| !range(layers).contains(layer));
                if given_up.clone().any(|layer| without[layer] < KEPT * now) {
                    continue;
                }
                if !self.fits(place, layers) {
                    continue;
                }
                let tokens = self.tokens_of(place, layers);
                let mut with = without.clone();
                range(layers).for_each(|layer| with[layer] += tokens);
                let reached = least(&with);
                if reached > best.map_or(now * GAIN, |(reached, ..)| reached) {
                    best = Some((reached, index, layers));
                }
            }
        }
        if let Some((_, index, layers)) = best {
            self.order(index, layers);
        }
    }

    fn order(&mut self, index: usize, layers: Layers) {
        let place = &mut self.places[index];
        place.layers = Some(layers);
        self.moves.retain(|earlier| earlier.id != place.id);
        self.moves.push(Assignment { id: place.id.clone(), layers });
        self.count();
    }

    /// Moves or widens one place so that more layers are held; false when no
    /// change helps.
    fn repair(&mut self, tokens: f64) -> bool {
        let mut best: Option<(f64, usize, Layers)> = None;
        for (index, place) in self.places.iter().enumerate() {
            if place.busy {
                continue;
            }
            let most = self.engine.layers_beside(&place.card, tokens);
            for (worth, layers) in self.changes(place, most) {
                if worth > best.map_or(0.0, |(worth, ..)| worth) {
                    best = Some((worth, index, layers));
                }
            }
        }
        let Some((_, index, layers)) = best else { return false };
        self.order(index, layers);
        true
    }

    /// The ranges that a place could hold instead, with their worth.
    fn changes(&self, place: &EndpointState, most: u16) -> Vec<(f64, Layers)> {
        let now = place.layers;
        let busy = now.map_or(0.0, |now| {
            let capacity = self.engine.capacity(&place.card, now.count());
            (place.used / capacity.max(1.0)).min(1.0)
        });
        let least = now.map_or(1, |layers| layers.count().min(most)).max(1);
        let mut changes = Vec::new();
        for layers in ranges(least, most, self.engine.layers) {
            let gained = range(layers).filter(|layer| self.tokens[*layer] == 0.0).count();
            if gained == 0 || !self.fits(place, layers) || self.uncovers(place, layers) {
                continue;
            }
            let held = |layer: &usize| now.is_some_and(|now| range(now).contains(layer));
            let loaded = range(layers).filter(|layer| !held(layer)).count();
            let cost = LOAD_COST * loaded as f64 + BUSY_COST * busy;
            changes.push((gained as f64 - cost, layers));
        }
        changes
    }

    /// Whether what is in use fits beside other layers; what is preempted
    /// would have to be read again.
    fn fits(&self, place: &EndpointState, layers: Layers) -> bool {
        place.used <= self.engine.capacity(&place.card, layers.count())
    }

    /// Whether holding `next` instead leaves a layer without a holder.
    fn uncovers(&self, place: &EndpointState, next: Layers) -> bool {
        let Some(now) = place.layers else { return false };
        let own = self.tokens_of(place, now);
        let given_up = range(now).filter(|layer| !range(next).contains(layer));
        given_up.into_iter().any(|layer| self.tokens[layer] - own < 1.0)
    }
}

/// Every range of `least` to `most` layers.
fn ranges(least: u16, most: u16, whole: u16) -> impl Iterator<Item = Layers> {
    let starts = move |count: u16| (0..=whole.saturating_sub(count)).map(move |s| (s, s + count));
    (least..=most).flat_map(starts).filter_map(|range| Layers::try_from(range).ok())
}

fn range(layers: Layers) -> std::ops::Range<usize> {
    usize::from(layers.start())..usize::from(layers.end())
}
