//! Chooses the chain of endpoints for a request to a model.
//!
//! This is a shortest path over (layer, endpoint) pairs. A layer costs the time
//! that the endpoint takes for it, which grows as its KV cache fills up; a change
//! of endpoint costs the queueing time there and the transfer. See
//! `docs/design/fleet.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::{Chain, Fleet, Hop, Member};
use crate::deployment::Engine;
use crate::resource::Layers;
use crate::time::Instant;

/// Share of an endpoint's KV cache that admitted requests may be expected to use;
/// the rest is headroom for requests that generate more tokens than expected.
pub const USABLE_CACHE_SHARE: f64 = 0.95;

/// Number of copies of the model in a zone from which a higher fill level adds to the
/// cost; most layers then have more than one holder.
const MIN_COPIES_FOR_FILL_PENALTY: f64 = 1.6;

/// Longest chain that engines accept, in hops.
const MAX_HOPS: usize = 32;

/// Cost of a chain that begins in another zone, in ms. Without it all routers would
/// choose the zone with the lowest load in their digests, which are some hundred
/// milliseconds old.
const REMOTE_ENTRY_MS: f64 = 500.0;

/// Weight of the transfer time between zones relative to time at an endpoint. All
/// chains share the link between zones, which saturates before the endpoints do, and a
/// chain over two zones fails when either becomes unreachable.
const CROSS_ZONE_WEIGHT: f64 = 150.0;

/// Upper bound on the fill level of the KV cache in the cost of an endpoint.
const MAX_COST_FILL: f64 = 0.95;

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens that it is expected to generate.
    pub output: f64,
}

/// How far endpoints may be loaded by a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Share of an endpoint's KV cache that may be in use once the request is there.
    pub cache_share: f64,
    /// Longest time for which an endpoint may have to prefill the prompts that are ahead of
    /// the request; `None` if there is no limit.
    pub max_backlog: Option<Duration>,
}

impl Default for Allowance {
    /// All that admitted requests may use.
    fn default() -> Self {
        Self { cache_share: USABLE_CACHE_SHARE, max_backlog: None }
    }
}

/// Parameters of the choice of a chain.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Parameters of its engines.
    pub engine: &'a Engine,
    /// The zone in which the request arrived.
    pub zone: &'a str,
    /// What the request needs.
    pub demand: &'a Demand,
    /// First hop of a chain in progress, which is kept.
    pub first: Option<&'a Hop>,
    /// Hops whose endpoints are excluded.
    pub avoid: &'a [Hop],
    /// How far the request may load endpoints.
    pub allowance: Allowance,
}

/// Reason why no chain was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No usable endpoint holds this layer.
    Uncovered(u16),
    /// The endpoints that hold this layer have no free memory or slot. Also returned,
    /// with layer 0, if the cheapest chain has more than `MAX_HOPS` hops.
    Full(u16),
    /// The endpoints that hold this layer and have memory have to prefill other prompts for
    /// longer than the request may wait.
    Backlogged(u16),
    /// Endpoints that hold this layer have room, but this router's share of the link between
    /// zones, which a chain to them would cross, is used up.
    LinkFull(u16),
    /// The endpoints that could begin the chain have reached the limits that they name.
    Limited,
    /// The endpoints that could begin the chain want no requests from this router now.
    Resting,
}

/// An endpoint that can be a hop of the chain.
struct Candidate<'a> {
    member: &'a Member,
    layers: Layers,
    /// Share of its KV cache in use, at most `MAX_COST_FILL`.
    fill: f64,
    /// Cost of each layer, in ms.
    layer_ms: f64,
    /// Fixed cost of a hop through it, in ms.
    hop_ms: f64,
    /// Layers for which it has memory for this request.
    free_layers: u16,
    /// Whether it prefills other prompts for longer than this request may wait.
    is_backlogged: bool,
    /// Whether it has a free slot, which the first hop of a chain needs.
    has_slot: bool,
    /// Whether its limit, which applies to the first hop, permits a request.
    has_credit: bool,
    /// Whether it wants no requests, which applies to the first hop as well.
    is_resting: bool,
}

/// Raises the cost of endpoints with the fill level of their KV cache, in zones that
/// hold most layers more than once, so that requests go to the other holders before a
/// cache overflows. Without other holders, a higher cost would only move chains to
/// other zones.
fn penalize_fill(candidates: &mut [Candidate<'_>], engine: &Engine) {
    let mut held: HashMap<Arc<str>, u32> = HashMap::new();
    for candidate in candidates.iter() {
        let zone = candidate.member.endpoint.zone.clone();
        *held.entry(zone).or_default() += u32::from(candidate.layers.count());
    }
    for candidate in candidates {
        let copies = f64::from(held[&candidate.member.endpoint.zone]) / f64::from(engine.layers);
        if copies >= MIN_COPIES_FOR_FILL_PENALTY {
            candidate.layer_ms /= 1.0 - candidate.fill;
        }
    }
}

/// The cheapest path to a layer that ends at one endpoint.
#[derive(Clone, Copy)]
struct Path {
    cost: f64,
    /// First layer that this endpoint runs.
    start: u16,
    /// The preceding candidate, if any.
    previous: Option<u16>,
}

impl Demand {
    /// Average number of its tokens in the KV cache while it runs.
    pub fn tokens(&self) -> f64 {
        self.prompt + self.output / 2.0
    }
}

impl Fleet {
    /// Chooses the chain for a request.
    pub fn chain(&self, query: &Query<'_>, now: Instant) -> Result<Chain, Shortage> {
        self.priced_chain(query, now).map(|priced| priced.chain)
    }

    /// Chooses the chain for a request, and tells its costs.
    pub(super) fn priced_chain(
        &self,
        query: &Query<'_>,
        now: Instant,
    ) -> Result<PricedChain, Shortage> {
        let search = |include_ejected: bool| {
            let usable = |member: &&Member| {
                &*member.endpoint.service == query.service
                    && (member.is_usable(now) || include_ejected && member.is_alive())
                    && !query.avoid.iter().any(|hop| hop.id == member.endpoint.id)
            };
            let members = self.members.values().filter(usable);
            let mut candidates: Vec<_> =
                members.filter_map(|member| Candidate::new(self, member, query, now)).collect();
            penalize_fill(&mut candidates, query.engine);
            // A request that has begun may go on wherever its layers are.
            let may_cross = query.first.is_some() || self.link.permits(query.engine, now);
            Search { query, candidates, may_cross, table: Vec::new() }.run()
        };
        match search(false) {
            // An ejected or slow endpoint is better than none.
            Err(Shortage::Uncovered(_) | Shortage::Resting) => search(true),
            found => found,
        }
    }
}

impl Shortage {
    /// The layer that is uncovered or full, or the first one.
    pub const fn layer(&self) -> u16 {
        match self {
            Self::Uncovered(layer)
            | Self::Full(layer)
            | Self::Backlogged(layer)
            | Self::LinkFull(layer) => *layer,
            Self::Limited | Self::Resting => 0,
        }
    }
}

impl<'a> Candidate<'a> {
    fn new(fleet: &Fleet, member: &'a Member, query: &Query<'_>, now: Instant) -> Option<Self> {
        let Query { engine, demand, allowance, .. } = query;
        let layers = member.endpoint.layers?;
        let card = engine.card(&member.endpoint)?;
        let layer_count = f64::from(engine.layers);
        let capacity = engine.kv_capacity(card, layers.count());
        let usage = fleet.usage(member, now);
        let fill = (f64::from(usage.cache) / capacity.max(1.0)).min(MAX_COST_FILL);
        let is_cache_full = now < member.cache_full_until;
        let usable = if is_cache_full { 0.0 } else { capacity * allowance.cache_share };
        let free = (usable - f64::from(usage.cache)).max(0.0);
        let prefill_ms_per_token =
            card.prefill_factor / engine.prefill_tokens_per_ms * member.slowdown;
        let step_ms = engine.step_ms * card.decode_factor * member.slowdown;
        let work_ms = demand.prompt * prefill_ms_per_token + demand.output * step_ms;
        let iteration_ms =
            f64::from(engine.tokens_per_event) * step_ms * f64::from(layers.count()) / layer_count;
        let iterations = demand.output / f64::from(engine.tokens_per_event);
        let backlog_ms = f64::from(usage.prefill) * prefill_ms_per_token / layer_count;
        let max_backlog_ms = allowance.max_backlog.map(|max| max.as_secs_f64() * 1_000.0);
        Some(Self {
            member,
            layers,
            fill,
            layer_ms: work_ms / layer_count / (1.0 - fill),
            // On average a request waits for half an iteration, in which the endpoint
            // generates one event's tokens.
            hop_ms: iterations * iteration_ms / 2.0 + backlog_ms,
            free_layers: (free / demand.tokens().max(1.0)).min(layer_count) as u16,
            is_backlogged: max_backlog_ms.is_some_and(|max| backlog_ms > max),
            has_slot: usage.requests < engine.slots,
            has_credit: fleet.has_credit(member, now),
            is_resting: member.is_resting(now),
        })
    }

    /// Whether it has memory for the request and may take its prompt now.
    const fn has_room(&self) -> bool {
        self.free_layers > 0 && !self.is_backlogged
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
            layers: Layers::try_from((start, end)).expect("a hop has at least one layer"),
        }
    }
}

/// A chain and what it costs.
pub(super) struct PricedChain {
    pub(super) chain: Chain,
    /// For each hop, the cost up to its last layer, in ms.
    pub(super) costs: SmallVec<[f64; 12]>,
}

struct Search<'a> {
    query: &'a Query<'a>,
    candidates: Vec<Candidate<'a>>,
    /// Whether the chain may use the link between zones.
    may_cross: bool,
    /// For each layer, the cheapest path to each candidate that holds it.
    table: Vec<SmallVec<[(u16, Path); 8]>>,
}

impl Search<'_> {
    fn run(mut self) -> Result<PricedChain, Shortage> {
        let from = match self.query.first {
            None => 0,
            Some(hop) => {
                self.keep_first(hop);
                hop.layers.end()
            }
        };
        for layer in from..self.query.engine.layers {
            let paths = self.paths_to(layer);
            if paths.is_empty() {
                return Err(self.shortage(layer));
            }
            self.table.push(paths);
        }
        self.build_chain()
    }

    /// The reason why no path leads to `layer`.
    fn shortage(&self, layer: u16) -> Shortage {
        let holders = || self.candidates.iter().filter(|candidate| candidate.holds(layer));
        if holders().next().is_none() {
            Shortage::Uncovered(layer)
        } else if layer == 0 && holders().all(|candidate| candidate.is_resting) {
            Shortage::Resting
        } else if layer == 0 && holders().any(|candidate| !candidate.has_credit) {
            Shortage::Limited
        } else if layer > 0 && !self.may_cross && holders().any(Candidate::has_room) {
            Shortage::LinkFull(layer)
        } else if holders().any(|candidate| candidate.is_backlogged && candidate.free_layers > 0) {
            Shortage::Backlogged(layer)
        } else {
            Shortage::Full(layer)
        }
    }

    /// Adds the kept first hop to the table as the only path to each of its layers, at no
    /// cost.
    fn keep_first(&mut self, hop: &Hop) {
        let position = self.candidates.iter().position(|c| c.member.endpoint.id == hop.id);
        // A first hop that is no longer a candidate still runs the request; `u16::MAX`,
        // which is not the index of a candidate, stands for it.
        let index = position.map_or(u16::MAX, |position| position as u16);
        for _ in 0..hop.layers.end() {
            let best = Path { cost: 0.0, start: 0, previous: None };
            self.table.push(SmallVec::from_iter([(index, best)]));
        }
    }

    /// The cheapest paths to `layer`, derived from those to the previous layer.
    fn paths_to(&self, layer: u16) -> SmallVec<[(u16, Path); 8]> {
        let mut paths = SmallVec::new();
        for (index, candidate) in self.candidates.iter().enumerate() {
            if !candidate.holds(layer) || !candidate.has_room() {
                continue;
            }
            let index = index as u16;
            let best = if layer == 0 {
                self.begin(candidate)
            } else {
                self.extend(layer, index, candidate)
            };
            paths.extend(best.map(|best| (index, best)));
        }
        paths
    }

    /// The path that begins at a candidate, if it has a free slot, does not rest and its
    /// limit permits.
    fn begin(&self, candidate: &Candidate<'_>) -> Option<Path> {
        let is_local = &*candidate.member.endpoint.zone == self.query.zone;
        let entry_ms = if is_local { 0.0 } else { REMOTE_ENTRY_MS };
        let cost = entry_ms + candidate.hop_ms + candidate.layer_ms;
        let may_begin = candidate.has_slot && candidate.has_credit && !candidate.is_resting;
        may_begin.then_some(Path { cost, start: 0, previous: None })
    }

    /// The cheapest path to `layer` at a candidate.
    fn extend(&self, layer: u16, index: u16, candidate: &Candidate<'_>) -> Option<Path> {
        let mut best: Option<Path> = None;
        for (previous, path) in &self.table[usize::from(layer) - 1] {
            let next = if *previous == index {
                let is_kept = self.query.first.is_some_and(|hop| layer == hop.layers.end());
                if is_kept || layer - path.start >= candidate.free_layers {
                    continue;
                }
                Path { cost: path.cost + candidate.layer_ms, ..*path }
            } else {
                let Some(change_ms) = self.change_ms(*previous, candidate) else { continue };
                let cost = path.cost + change_ms + candidate.layer_ms;
                Path { cost, start: layer, previous: Some(*previous) }
            };
            let is_cheaper = best.as_ref().is_none_or(|best| next.cost < best.cost);
            if is_cheaper
                && (*previous == index || !self.path_includes(layer - 1, *previous, index))
            {
                best = Some(next);
            }
        }
        best
    }

    /// Whether the cheapest path to (`layer`, `at`) passes through `index`.
    fn path_includes(&self, layer: u16, at: u16, index: u16) -> bool {
        let (mut layer, mut at) = (layer, at);
        loop {
            if at == index {
                return true;
            }
            let best = self.path(layer, at);
            let Some(previous) = best.previous else { return false };
            (layer, at) = (best.start - 1, previous);
        }
    }

    fn path(&self, layer: u16, at: u16) -> Path {
        let paths = &self.table[usize::from(layer)];
        let path = paths.iter().find(|(index, _)| *index == at);
        path.expect("a path consists of entries of the table").1
    }

    /// Cost of a change from one endpoint to another; `None` if the chain may not make it.
    fn change_ms(&self, previous: u16, to: &Candidate<'_>) -> Option<f64> {
        let from = self.candidates.get(usize::from(previous));
        let zones = from.map(|from| (&from.member.endpoint.zone, &to.member.endpoint.zone));
        let transfer_ms = match zones {
            Some((from, to)) if from != to && !self.may_cross => return None,
            Some((from, to)) if from != to => self.cross_zone_ms(from, to),
            _ => 0.0,
        };
        Some(to.hop_ms + transfer_ms)
    }

    /// Cost of the transfer between two zones.
    fn cross_zone_ms(&self, from: &str, to: &str) -> f64 {
        let tokens = self.query.demand.prompt + self.query.demand.output;
        let bytes = tokens * self.query.engine.activation_bytes;
        let transfer_ms = if self.query.engine.link_bytes_per_ms > 0.0 {
            bytes / self.query.engine.link_bytes_per_ms
        } else {
            0.0
        };
        CROSS_ZONE_WEIGHT * transfer_ms
            + self.query.demand.output * self.query.engine.delay_ms(from, to)
    }

    fn build_chain(&self) -> Result<PricedChain, Shortage> {
        let last = self.query.engine.layers - 1;
        let paths = &self.table[usize::from(last)];
        let cheapest = paths.iter().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
        let (mut at, _) = *cheapest.expect("every layer has a path");
        let (mut layer, mut end) = (last, self.query.engine.layers);
        let (mut chain, mut costs) = (Chain::new(), SmallVec::new());
        loop {
            let best = self.path(layer, at);
            costs.push(best.cost);
            match self.candidates.get(usize::from(at)) {
                Some(candidate) if best.start > 0 || self.query.first.is_none() => {
                    chain.push(candidate.hop(best.start, end));
                }
                _ => chain.extend(self.query.first.cloned()),
            }
            let Some(previous) = best.previous else { break };
            end = best.start;
            (layer, at) = (best.start - 1, previous);
        }
        chain.reverse();
        costs.reverse();
        if chain.len() > MAX_HOPS {
            return Err(Shortage::Full(0));
        }
        Ok(PricedChain { chain, costs })
    }
}
