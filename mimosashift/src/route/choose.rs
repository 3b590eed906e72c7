//! The choice of a chain.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::affinity::{Affinity, Match};
use super::cost::Work;
use super::sample::{self, Candidate, Candidates};
use super::search::{Leg, Search};
use super::table::{Holder, Model, Segment};
use super::{Chain, Refusal, RouteRequest, Stage, Table, explain};
use crate::health::{Availability, HealthView};
use crate::resource::{Layers, Name};
use crate::time::Instant;

/// Most prefixes of a prompt that are searched for, longest first.
const MAX_PREFIX_SEARCHES: usize = 4;

/// Soft state that a choice reads.
#[derive(Debug)]
pub struct Sources<'a, V> {
    /// State of the endpoints.
    pub health: &'a V,
    /// Which endpoints cache which prefixes.
    pub affinity: &'a Affinity,
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Who runs which layers.
    pub chain: Chain,
    /// Estimated time to completion, without kept stages.
    pub estimate: Duration,
    /// Prompt tokens that every chosen endpoint is expected to have cached.
    pub cached_tokens: u32,
    /// The work that the choice took.
    pub stats: Stats,
}

/// The work that a choice took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Endpoints whose state was looked at, repeated ones included.
    pub evaluations: u32,
}

/// What one search needs to price an endpoint.
#[derive(Debug)]
pub(super) struct Request<'a, V> {
    pub(super) table: &'a Table,
    pub(super) ask: &'a RouteRequest<'a>,
    health: &'a V,
    work: Work,
    now: Instant,
}

/// The outcome of one search.
#[derive(Debug)]
struct Found {
    legs: SmallVec<[Leg; 8]>,
    cost_us: f64,
}

impl Table {
    /// The chain with the least estimated completion time among a few
    /// candidates for each layer boundary.
    pub fn choose<V: HealthView>(
        &self,
        ask: &RouteRequest<'_>,
        sources: &Sources<'_, V>,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Result<Choice, Refusal> {
        let model = self.model(ask)?;
        check_kept(ask, model)?;
        let mut stats = Stats::default();
        let request = self.request(ask, model, sources.health, 0.0, now);
        let mut best = request.search(model, &mut stats, rng);
        let mut cached_tokens = 0;
        if let Some((cached, tokens)) = self.cached(ask, model, sources, now, &mut stats, rng)
            && best.as_ref().is_none_or(|plain| cached.cost_us < plain.cost_us)
        {
            best = Some(cached);
            cached_tokens = tokens;
        }
        let found = best.ok_or_else(|| request.refusal(model))?;
        Ok(Choice {
            estimate: Duration::from_secs_f64(found.estimate_us() / 1e6),
            chain: self.chain(ask, model, &found.legs),
            cached_tokens,
            stats,
        })
    }

    pub(super) fn request<'a, V: HealthView>(
        &'a self,
        ask: &'a RouteRequest<'a>,
        model: &Model,
        health: &'a V,
        cached: f32,
        now: Instant,
    ) -> Request<'a, V> {
        let work = Work::new(ask, model.layers, model.hidden_bytes, cached);
        Request { table: self, ask, health, work, now }
    }

    /// The best chain of endpoints that all cache the same prefix: a prefix
    /// saves work only where every stage has it.
    fn cached<V: HealthView>(
        &self,
        ask: &RouteRequest<'_>,
        model: &Model,
        sources: &Sources<'_, V>,
        now: Instant,
        stats: &mut Stats,
        rng: &mut Pcg64Mcg,
    ) -> Option<(Found, u32)> {
        let known = ask.prefixes.iter().rev().filter_map(|prefix| {
            let matches = sources.affinity.holders(prefix.hash, now);
            let confidence = matches.iter().map(|m| m.confidence).reduce(f32::min)?;
            Some((prefix, matches, confidence))
        });
        for (prefix, matches, confidence) in known.take(MAX_PREFIX_SEARCHES) {
            let tokens = prefix.tokens as f32 * confidence;
            let request = self.request(ask, model, sources.health, tokens, now);
            if let Some(found) = request.search_among(model, &matches, stats, rng) {
                return Some((found, tokens as u32));
            }
        }
        None
    }

    fn chain(&self, ask: &RouteRequest<'_>, model: &Model, legs: &[Leg]) -> Chain {
        let name = |leg: &Leg| match leg.by {
            Some(candidate) => self.entries[candidate.holder.entry as usize].name.clone(),
            None => kept_at(ask, leg.layers.start())
                .expect("a leg without candidate is a kept stage")
                .endpoint
                .clone(),
        };
        let stages = legs.iter().map(|leg| Stage { endpoint: name(leg), layers: leg.layers });
        Chain::new(ask.pipeline.clone(), ask.version, model.layers, stages)
            .expect("a path joins layer 0 to the last one")
    }
}

impl<V: HealthView> Request<'_, V> {
    /// Prices an endpoint; `None` when it must not be used.
    pub(super) fn candidate(
        &self,
        holder: Holder,
        stats: &mut Stats,
        rng: &mut Pcg64Mcg,
    ) -> Option<Candidate> {
        let entry = &self.table.entries[holder.entry as usize];
        if self.is_avoided(&entry.name, &entry.domain) {
            return None;
        }
        stats.evaluations += 1;
        let settings = &self.table.settings;
        let condition = self.health.condition(&entry.name, self.now);
        let mut estimate = entry.speed.estimate(&self.work, &condition, settings)?;
        if condition.weight < 1.0 && rng.random::<f32>() >= condition.weight {
            estimate = estimate.returning();
        }
        let spread = 1.0 + rng.random::<f64>() * settings.cost_jitter;
        Some(Candidate { holder, estimate, spread })
    }

    /// One line of an explanation; excluded endpoints have no estimate.
    pub(super) fn explain(&self, entry: u32, layers: Layers) -> explain::Candidate {
        let entry = &self.table.entries[entry as usize];
        let condition = self.health.condition(&entry.name, self.now);
        let estimate = entry.speed.estimate(&self.work, &condition, &self.table.settings);
        explain::Candidate {
            layers,
            endpoint: entry.name.clone(),
            domain: entry.domain.clone(),
            condition,
            estimate: estimate.filter(|_| !self.is_avoided(&entry.name, &entry.domain)),
        }
    }

    fn is_avoided(&self, name: &Name, domain: &Name) -> bool {
        self.ask.avoid.contains(name) || self.ask.avoid_domains.contains(domain)
    }

    /// Searches over candidates drawn from all holders.
    fn search(&self, model: &Model, stats: &mut Stats, rng: &mut Pcg64Mcg) -> Option<Found> {
        self.search_by(model, |layer| {
            let segment = &model.segments[model.segment_at(layer)];
            sample::draw(segment, self, stats, rng)
        })
    }

    /// Searches over the endpoints that cache a prefix.
    fn search_among(
        &self,
        model: &Model,
        matches: &[Match],
        stats: &mut Stats,
        rng: &mut Pcg64Mcg,
    ) -> Option<Found> {
        let entries = matches.iter().filter_map(|m| self.table.by_name.get(&m.endpoint));
        let entries: SmallVec<[u32; 16]> = entries.copied().collect();
        self.search_by(model, |layer| {
            let segment = &model.segments[model.segment_at(layer)];
            let holders = segment.holders.iter().filter(|h| entries.contains(&h.entry));
            holders.filter_map(|&holder| self.candidate(holder, stats, rng)).collect()
        })
    }

    fn search_by(
        &self,
        model: &Model,
        mut candidates: impl FnMut(u16) -> Candidates,
    ) -> Option<Found> {
        let mut search = Search::new(&model.points, self.ask.kept);
        for point in 0..search.points() - 1 {
            if !search.is_reached(point) {
                continue;
            }
            let layer = search.layer(point);
            if let Some(kept) = kept_at(self.ask, layer) {
                search.keep(point, kept.layers.end());
                continue;
            }
            let limit = free_until(self.ask, layer);
            for candidate in candidates(layer) {
                search.relax(point, &candidate, limit);
            }
        }
        let (legs, cost_us) = search.path()?;
        Some(Found { legs, cost_us })
    }

    /// Says why no chain exists.
    fn refusal(&self, model: &Model) -> Refusal {
        let pipeline = self.ask.pipeline.clone();
        if let Some(layers) = self.first_without(model, |standing| standing < Availability::Leaving)
        {
            let version = self.ask.version;
            return Refusal::NoHolder { pipeline, version, layers };
        }
        let layers = Layers::try_from((0, model.layers)).expect("a model has a layer");
        Refusal::Overloaded { pipeline, layers }
    }

    /// The first layers to be given out for which no holder is `usable`.
    fn first_without(
        &self,
        model: &Model,
        usable: impl Fn(Availability) -> bool,
    ) -> Option<Layers> {
        let is_usable = |holder: &Holder| {
            let entry = &self.table.entries[holder.entry as usize];
            let standing = self.health.condition(&entry.name, self.now).availability;
            !self.is_avoided(&entry.name, &entry.domain) && usable(standing)
        };
        let is_kept = |range: &[u16]| {
            let kept = self.ask.kept.iter().map(|stage| stage.layers);
            kept.into_iter().any(|l| l.start() <= range[0] && range[1] <= l.end())
        };
        let missing = |(range, segment): &(&[u16], &Segment)| {
            !is_kept(range) && !segment.holders.iter().any(is_usable)
        };
        let ranges = model.points.windows(2).zip(&model.segments);
        let mut gap = ranges.skip_while(|part| !missing(part)).take_while(missing);
        let (first, _) = gap.next()?;
        let end = gap.last().map_or(first[1], |(last, _)| last[1]);
        Layers::try_from((first[0], end)).ok()
    }
}

impl Found {
    fn estimate_us(&self) -> f64 {
        let chosen = self.legs.iter().filter_map(|leg| Some((leg.by?, leg.layers)));
        chosen.map(|(by, layers)| by.estimate.total_us(layers.count())).sum()
    }
}

fn check_kept(ask: &RouteRequest<'_>, model: &Model) -> Result<(), Refusal> {
    let mut free = 0;
    for stage in ask.kept {
        if stage.layers.start() < free || stage.layers.end() > model.layers {
            return Err(Refusal::InvalidKeptStages {
                pipeline: ask.pipeline.clone(),
                layers: stage.layers,
            });
        }
        free = stage.layers.end();
    }
    Ok(())
}

fn kept_at<'a>(ask: &RouteRequest<'a>, layer: u16) -> Option<&'a Stage> {
    ask.kept.iter().find(|stage| stage.layers.start() == layer)
}

/// Start of the first kept stage after `layer`.
fn free_until(ask: &RouteRequest<'_>, layer: u16) -> u16 {
    let starts = ask.kept.iter().map(|stage| stage.layers.start());
    starts.filter(|&start| start > layer).min().unwrap_or(u16::MAX)
}
