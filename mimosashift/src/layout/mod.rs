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

/// Worth of a second copy of a layer against a first one.
const SECOND_COPY: f64 = 0.02;

/// Cost of a layer that is loaded though another endpoint of the pool holds
/// it, against the worth of a missing layer.
const LOAD_COST: f64 = 0.01;

/// An endpoint to plan for.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The endpoint.
    pub id: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its card.
    pub card: Card,
    /// Layers that it holds or has been told to hold.
    pub layers: Option<Layers>,
    /// Whether an order is being carried out, so that another must wait.
    pub busy: bool,
}

/// Layers that an endpoint shall hold from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The endpoint.
    pub id: Arc<str>,
    /// The layers.
    pub layers: Layers,
}

/// The orders that bring the places nearer to a whole copy in each pool.
pub fn plan(engine: &Engine, places: &[Place]) -> Vec<Move> {
    let mut moves = Vec::new();
    for pool in pools(engine, places) {
        moves.extend(Pool::new(engine, pool).plan());
    }
    moves
}

/// Zones, joined with others while they hold no copy alone.
fn pools(engine: &Engine, places: &[Place]) -> Vec<Vec<Place>> {
    let mut zones: BTreeMap<&str, Vec<Place>> = BTreeMap::new();
    for place in places {
        zones.entry(&place.zone).or_default().push(place.clone());
    }
    let mut pools: Vec<Vec<Place>> = zones.into_values().collect();
    let holds = |pool: &Vec<Place>| total(engine, pool, MIN_TOKENS) >= u32::from(engine.layers);
    while pools.len() > 1
        && let Some(short) = pools.iter().position(|pool| !holds(pool))
    {
        let pool = pools.remove(short);
        let fewest = (0..pools.len()).min_by_key(|i| total(engine, &pools[*i], MIN_TOKENS));
        pools[fewest.expect("another pool is left")].extend(pool);
    }
    pools
}

fn total(engine: &Engine, pool: &[Place], tokens: f64) -> u32 {
    pool.iter().map(|place| u32::from(engine.layers_beside(&place.card, tokens))).sum()
}

struct Pool<'a> {
    engine: &'a Engine,
    places: Vec<Place>,
    /// By layer, the places that hold it.
    copies: Vec<u16>,
    /// By layer, the largest range of a place that holds it.
    largest: Vec<u16>,
    moves: Vec<Move>,
}

impl<'a> Pool<'a> {
    fn new(engine: &'a Engine, mut places: Vec<Place>) -> Self {
        // The fastest first, so that they get the first copy.
        places.sort_by(|a, b| a.card.pace.total_cmp(&b.card.pace).then_with(|| a.id.cmp(&b.id)));
        let layers = usize::from(engine.layers);
        let mut pool = Self {
            engine,
            places,
            copies: vec![0; layers],
            largest: vec![0; layers],
            moves: Vec::new(),
        };
        pool.count();
        pool
    }

    fn plan(mut self) -> Vec<Move> {
        let tokens = self.tokens();
        self.fill(tokens);
        while self.copies.contains(&0) && self.repair() {}
        self.moves
    }

    /// The most tokens, in steps, for which the pool still holds its copies.
    fn tokens(&self) -> f64 {
        let wanted = COPIES * f64::from(self.engine.layers);
        let mut tokens = MAX_TOKENS;
        while tokens > MIN_TOKENS
            && f64::from(total(self.engine, &self.places, tokens)) < wanted
        {
            tokens -= TOKEN_STEP;
        }
        tokens
    }

    fn count(&mut self) {
        self.copies.fill(0);
        self.largest.fill(0);
        for layers in self.places.iter().filter_map(|place| place.layers) {
            for layer in range(layers) {
                self.copies[layer] += 1;
                self.largest[layer] = self.largest[layer].max(layers.count());
            }
        }
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
            let best = starts.map(|start| (start, worth(start))).reduce(|best, next| {
                if next.1 > best.1 + 1e-9 { next } else { best }
            });
            if let Some((start, _)) = best
                && let Ok(layers) = Layers::try_from((start, start + count))
            {
                self.order(index, layers);
            }
        }
    }

    /// How much one more copy of a layer is needed.
    fn need(&self, layer: usize) -> f64 {
        match self.copies[layer] {
            0 => 1.0,
            // What the largest range holds takes longest to load again.
            1 => SECOND_COPY * f64::from(self.largest[layer]) / f64::from(self.engine.layers),
            _ => 0.0,
        }
    }

    fn order(&mut self, index: usize, layers: Layers) {
        let place = &mut self.places[index];
        place.layers = Some(layers);
        self.moves.retain(|earlier| earlier.id != place.id);
        self.moves.push(Move { id: place.id.clone(), layers });
        self.count();
    }

    /// Moves or widens one place so that more layers are held; false when no
    /// change helps.
    fn repair(&mut self) -> bool {
        let mut best: Option<(f64, usize, Layers)> = None;
        for (index, place) in self.places.iter().enumerate() {
            if place.busy {
                continue;
            }
            let most = self.engine.layers_beside(&place.card, MIN_TOKENS);
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
    fn changes(&self, place: &Place, most: u16) -> Vec<(f64, Layers)> {
        let now = place.layers;
        let least = now.map_or(1, |layers| layers.count().min(most)).max(1);
        let mut changes = Vec::new();
        for count in least..=most {
            for start in 0..=self.engine.layers.saturating_sub(count) {
                let Ok(layers) = Layers::try_from((start, start + count)) else { continue };
                let gained = range(layers).filter(|layer| self.copies[*layer] == 0).count();
                if gained == 0 || self.uncovers(now, layers) {
                    continue;
                }
                let held = |layer: &usize| now.is_some_and(|now| range(now).contains(layer));
                let loaded = range(layers).filter(|layer| !held(layer)).count();
                changes.push((gained as f64 - LOAD_COST * loaded as f64, layers));
            }
        }
        changes
    }

    /// Whether giving up `now` for `next` leaves a layer without a holder.
    fn uncovers(&self, now: Option<Layers>, next: Layers) -> bool {
        let Some(now) = now else { return false };
        range(now).any(|layer| !range(next).contains(&layer) && self.copies[layer] < 2)
    }
}

fn range(layers: Layers) -> std::ops::Range<usize> {
    usize::from(layers.start())..usize::from(layers.end())
}
