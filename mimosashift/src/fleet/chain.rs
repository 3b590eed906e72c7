//! Chooses the chain of layers for a request.
//!
//! A shortest path over (layer, endpoint): each layer costs the time that the
//! endpoint takes for it, more the fuller its memory, and each change of
//! endpoint costs a wait there and the way. See `docs/design/fleet.md`.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use super::{Chain, Fleet, Hop, Member};
use crate::deployment::Engine;
use crate::resource::Layers;
use crate::time::Instant;

/// Share of an endpoint's KV cache that admitted requests may be expected to
/// use; the rest is for requests that write more than expected.
const CACHE_SHARE: f64 = 0.95;

/// Copies of the model in a zone from which its layers mostly have more than
/// one holder.
const SPREAD_COPIES: f64 = 1.6;

/// Most parts of a chain that engines accept.
const MAX_HOPS: usize = 32;

/// Cost of a chain that begins in another zone, in ms: a fraction of what a
/// chain costs. Without it all routers choose the zone that seems least used,
/// from digests that are some hundred milliseconds old.
const ENTRY_MS: f64 = 500.0;

/// Weight of a transfer between zones against time at an endpoint: all chains
/// share the pipe, which binds before the endpoints do, and a chain of two
/// zones ends when either is cut off.
const PIPE_WEIGHT: f64 = 150.0;

/// Fill of the cache from which an endpoint costs no more than this.
const MAX_COUNTED_FILL: f64 = 0.95;

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Tokens to read.
    pub prompt: f64,
    /// Tokens that it is expected to write.
    pub output: f64,
}

/// For what a chain is wanted.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Figures of its engines.
    pub engine: &'a Engine,
    /// The zone in which the request arrived.
    pub zone: &'a str,
    /// What the request needs.
    pub demand: &'a Demand,
    /// The first part of a chain that has begun, which it keeps.
    pub first: Option<&'a Hop>,
    /// Endpoints to leave out.
    pub avoid: &'a [Hop],
}

/// Why there is no chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No endpoint that may be used holds this layer.
    Uncovered(u16),
    /// The endpoints that hold this layer have no memory or slot free.
    Full(u16),
}

/// An endpoint as a part of chains.
struct Candidate<'a> {
    member: &'a Member,
    layers: Layers,
    /// Share of its KV cache in use.
    fill: f64,
    /// Cost of each layer, in ms.
    layer_ms: f64,
    /// Cost of passing through it at all, in ms.
    hop_ms: f64,
    /// Layers for which it has memory.
    room: u16,
    /// Whether it takes requests from routers.
    has_slot: bool,
}

/// Makes full endpoints dearer in zones that hold most layers more than once,
/// so that requests go to the other holders before a cache overflows. Where
/// there are no others it would only drive chains into other zones.
fn spread(candidates: &mut [Candidate<'_>], engine: &Engine) {
    let mut held: HashMap<Arc<str>, u32> = HashMap::new();
    for candidate in candidates.iter() {
        let zone = candidate.member.endpoint.zone.clone();
        *held.entry(zone).or_default() += u32::from(candidate.layers.count());
    }
    for candidate in candidates {
        let copies = f64::from(held[&candidate.member.endpoint.zone]) / f64::from(engine.layers);
        if copies >= SPREAD_COPIES {
            candidate.layer_ms /= 1.0 - candidate.fill;
        }
    }
}

/// The best way to a layer that ends at one endpoint.
#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    /// First layer at this endpoint.
    start: u16,
    /// The candidate before it, if any.
    before: Option<u16>,
}

impl Demand {
    /// Tokens that are in memory on the average while it runs.
    pub fn tokens(&self) -> f64 {
        self.prompt + self.output / 2.0
    }
}

impl Fleet {
    /// The chain for a request.
    pub fn chain(&self, query: &Query<'_>, now: Instant) -> Result<Chain, Shortage> {
        let search = |doubted: bool| {
            let usable = |member: &&Member| {
                &*member.endpoint.service == query.service
                    && (member.is_usable(now) || doubted && member.is_alive())
                    && !query.avoid.iter().any(|hop| hop.id == member.endpoint.id)
            };
            let members = self.members.values().filter(usable);
            let mut candidates: Vec<_> =
                members.filter_map(|member| Candidate::new(member, query, now)).collect();
            spread(&mut candidates, query.engine);
            Search { query, candidates, table: Vec::new() }.run()
        };
        match search(false) {
            // An endpoint that failed lately is better than none.
            Err(Shortage::Uncovered(_)) => search(true),
            found => found,
        }
    }
}

impl Shortage {
    /// The layer that is short.
    pub const fn layer(&self) -> u16 {
        match self {
            Self::Uncovered(layer) | Self::Full(layer) => *layer,
        }
    }
}

impl<'a> Candidate<'a> {
    fn new(member: &'a Member, query: &Query<'_>, now: Instant) -> Option<Self> {
        let Query { engine, demand, .. } = query;
        let layers = member.endpoint.layers?;
        let card = engine.card(&member.endpoint)?;
        let whole = f64::from(engine.layers);
        let capacity = engine.capacity(card, layers.count());
        let usage = member.usage();
        let fill = (f64::from(usage.cache) / capacity.max(1.0)).min(MAX_COUNTED_FILL);
        let is_crowded = now < member.crowded_until;
        let room = if is_crowded { 0.0 } else { capacity * CACHE_SHARE };
        let free = (room - f64::from(usage.cache)).max(0.0);
        let read_ms = card.read_factor / engine.read_per_ms * member.pace;
        let step_ms = engine.step_ms * card.pace * member.pace;
        let work_ms = demand.prompt * read_ms + demand.output * step_ms;
        let pass_ms = f64::from(engine.stride) * step_ms * f64::from(layers.count()) / whole;
        let passes = demand.output / f64::from(engine.stride);
        Some(Self {
            member,
            layers,
            fill,
            layer_ms: work_ms / whole / (1.0 - fill),
            // Work arrives in the middle of a pass on the average.
            hop_ms: passes * pass_ms / 2.0 + f64::from(usage.prefill) * read_ms / whole,
            room: (free / demand.tokens().max(1.0)).min(whole) as u16,
            has_slot: usage.requests < engine.slots,
        })
    }

    fn holds(&self, layer: u16) -> bool {
        self.layers.start() <= layer && layer < self.layers.end()
    }

    fn hop(&self, start: u16, end: u16) -> Hop {
        let endpoint = &self.member.endpoint;
        Hop {
            id: endpoint.id.clone(),
            address: endpoint.address,
            incarnation: endpoint.incarnation,
            layers: Layers::try_from((start, end)).expect("a part has a layer"),
        }
    }
}

struct Search<'a> {
    query: &'a Query<'a>,
    candidates: Vec<Candidate<'a>>,
    /// By layer, the best way to each candidate that holds it.
    table: Vec<SmallVec<[(u16, Best); 8]>>,
}

impl Search<'_> {
    fn run(mut self) -> Result<Chain, Shortage> {
        let from = match self.query.first {
            None => 0,
            Some(hop) => {
                self.fix(hop);
                hop.layers.end()
            }
        };
        for layer in from..self.query.engine.layers {
            let ways = self.layer(layer);
            if ways.is_empty() {
                let held = self.candidates.iter().any(|c| c.holds(layer));
                return Err(if held { Shortage::Full(layer) } else { Shortage::Uncovered(layer) });
            }
            self.table.push(ways);
        }
        self.chain()
    }

    /// Enters the first part of a chain that has begun.
    fn fix(&mut self, hop: &Hop) {
        let place = self.candidates.iter().position(|c| c.member.endpoint.id == hop.id);
        // A first part that is no candidate any more still runs the request.
        let index = place.map_or(u16::MAX, |place| place as u16);
        for _ in 0..hop.layers.end() {
            let best = Best { cost: 0.0, start: 0, before: None };
            self.table.push(SmallVec::from_iter([(index, best)]));
        }
    }

    /// The best ways to `layer`, from those to the layer before.
    fn layer(&self, layer: u16) -> SmallVec<[(u16, Best); 8]> {
        let mut ways = SmallVec::new();
        for (index, candidate) in self.candidates.iter().enumerate() {
            if !candidate.holds(layer) || candidate.room == 0 {
                continue;
            }
            let index = index as u16;
            let best = if layer == 0 {
                self.begin(candidate)
            } else {
                self.reach(layer, index, candidate)
            };
            ways.extend(best.map(|best| (index, best)));
        }
        ways
    }

    fn begin(&self, candidate: &Candidate<'_>) -> Option<Best> {
        let near = &*candidate.member.endpoint.zone == self.query.zone;
        let entry_ms = if near { 0.0 } else { ENTRY_MS };
        let cost = entry_ms + candidate.hop_ms + candidate.layer_ms;
        candidate.has_slot.then_some(Best { cost, start: 0, before: None })
    }

    fn reach(&self, layer: u16, index: u16, candidate: &Candidate<'_>) -> Option<Best> {
        let mut best: Option<Best> = None;
        for (before, way) in &self.table[usize::from(layer) - 1] {
            let next = if *before == index {
                let fixed = self.query.first.is_some_and(|hop| layer == hop.layers.end());
                if fixed || layer - way.start >= candidate.room {
                    continue;
                }
                Best { cost: way.cost + candidate.layer_ms, ..*way }
            } else {
                let cost = way.cost + self.change_ms(*before, candidate) + candidate.layer_ms;
                Best { cost, start: layer, before: Some(*before) }
            };
            let better = best.as_ref().is_none_or(|best| next.cost < best.cost);
            if better && (*before == index || !self.passes(layer - 1, *before, index)) {
                best = Some(next);
            }
        }
        best
    }

    /// Whether the best way to (`layer`, `at`) passes through `index`.
    fn passes(&self, layer: u16, at: u16, index: u16) -> bool {
        let (mut layer, mut at) = (layer, at);
        loop {
            if at == index {
                return true;
            }
            let best = self.best(layer, at);
            let Some(before) = best.before else { return false };
            (layer, at) = (best.start - 1, before);
        }
    }

    fn best(&self, layer: u16, at: u16) -> Best {
        let ways = &self.table[usize::from(layer)];
        let way = ways.iter().find(|(index, _)| *index == at);
        way.expect("a way leads over entered ones").1
    }

    /// Cost of going on at another endpoint.
    fn change_ms(&self, before: u16, to: &Candidate<'_>) -> f64 {
        let from = self.candidates.get(usize::from(before));
        let zones = from.map(|from| (&from.member.endpoint.zone, &to.member.endpoint.zone));
        let way_ms = match zones {
            Some((from, to)) if from != to => self.crossing_ms(from, to),
            _ => 0.0,
        };
        to.hop_ms + way_ms
    }

    fn crossing_ms(&self, from: &str, to: &str) -> f64 {
        let tokens = self.query.demand.prompt + self.query.demand.output;
        let bytes = tokens * self.query.engine.activation_bytes;
        let pipe_ms = if self.query.engine.pipe_per_ms > 0.0 {
            bytes / self.query.engine.pipe_per_ms
        } else {
            0.0
        };
        PIPE_WEIGHT * pipe_ms + self.query.demand.output * self.query.engine.delay_ms(from, to)
    }

    fn chain(&self) -> Result<Chain, Shortage> {
        let last = self.query.engine.layers - 1;
        let ways = &self.table[usize::from(last)];
        let cheapest = ways.iter().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
        let (mut at, _) = *cheapest.expect("every layer has a way");
        let (mut layer, mut end) = (last, self.query.engine.layers);
        let mut chain = Chain::new();
        loop {
            let best = self.best(layer, at);
            match self.candidates.get(usize::from(at)) {
                Some(candidate) if best.start > 0 || self.query.first.is_none() => {
                    chain.push(candidate.hop(best.start, end));
                }
                _ => chain.extend(self.query.first.cloned()),
            }
            let Some(before) = best.before else { break };
            end = best.start;
            (layer, at) = (best.start - 1, before);
        }
        chain.reverse();
        if chain.len() > MAX_HOPS {
            return Err(Shortage::Full(0));
        }
        Ok(chain)
    }
}
