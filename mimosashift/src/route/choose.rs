//! Chooses the chain for a request.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::affinity::{Affinity, Match};
use super::cost::Work;
use super::sample::{self, Candidate, Candidates};
use super::search::{PathStage, Search};
use super::table::{Holder, ModelVersion, Segment};
use super::{Chain, Refusal, RouteRequest, Stage, Table, explain};
use crate::health::{Availability, HealthView};
use crate::resource::{Layers, Name};
use crate::time::Instant;

/// Maximum number of prefixes of a prompt that are searched for, longest first.
const MAX_PREFIX_SEARCHES: usize = 4;

/// Run-time state that a choice depends on.
#[derive(Debug)]
pub struct Sources<'a, V> {
    /// Health of the endpoints.
    pub health: &'a V,
    /// Index of the prefixes that endpoints cache.
    pub affinity: &'a Affinity,
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The stages that run the request.
    pub chain: Chain,
    /// Estimated time to completion, excluding kept stages.
    pub estimate: Duration,
    /// Prompt tokens that every chosen endpoint is expected to have cached.
    pub cached_tokens: u32,
    /// Cost of the choice itself.
    pub stats: Stats,
}

/// Cost of making a choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of endpoint evaluations, including repeated ones.
    pub evaluations: u32,
}

/// Evaluates the cost of endpoints for one search.
#[derive(Debug)]
pub(super) struct Evaluator<'a, V> {
    pub(super) table: &'a Table,
    pub(super) request: &'a RouteRequest<'a>,
    health: &'a V,
    work: Work,
    now: Instant,
}

/// Result of one search.
#[derive(Debug)]
struct SearchResult {
    path: SmallVec<[PathStage; 8]>,
    cost_us: f64,
}

impl Table {
    /// Chooses the chain with the lowest estimated completion time from a sample of
    /// candidates for each layer boundary.
    pub fn choose<V: HealthView>(
        &self,
        request: &RouteRequest<'_>,
        sources: &Sources<'_, V>,
        now: Instant,
        rng: &mut Pcg64Mcg,
    ) -> Result<Choice, Refusal> {
        let model = self.model(request)?;
        check_kept(request, model)?;
        let mut stats = Stats::default();
        let evaluator = self.evaluator(request, model, sources.health, 0.0, now);
        let mut best = evaluator.search(model, &mut stats, rng);
        let mut cached_tokens = 0;
        if let Some((cached_choice, tokens)) =
            self.choose_cached(request, model, sources, now, &mut stats, rng)
            && best.as_ref().is_none_or(|plain| cached_choice.cost_us < plain.cost_us)
        {
            best = Some(cached_choice);
            cached_tokens = tokens;
        }
        let found = best.ok_or_else(|| evaluator.refusal(model))?;
        Ok(Choice {
            estimate: Duration::from_secs_f64(found.estimate_us() / 1e6),
            chain: self.chain(request, model, &found.path),
            cached_tokens,
            stats,
        })
    }

    /// Creates an evaluator for a request of whose prompt `cached_tokens` tokens are cached.
    pub(super) fn evaluator<'a, V: HealthView>(
        &'a self,
        request: &'a RouteRequest<'a>,
        model: &ModelVersion,
        health: &'a V,
        cached_tokens: f32,
        now: Instant,
    ) -> Evaluator<'a, V> {
        let work = Work::new(request, model.layers, model.hidden_bytes, cached_tokens);
        Evaluator { table: self, request, health, work, now }
    }

    /// The best chain of endpoints that all cache the same prefix, since a cached
    /// prefix only saves work if every stage has it.
    fn choose_cached<V: HealthView>(
        &self,
        request: &RouteRequest<'_>,
        model: &ModelVersion,
        sources: &Sources<'_, V>,
        now: Instant,
        stats: &mut Stats,
        rng: &mut Pcg64Mcg,
    ) -> Option<(SearchResult, u32)> {
        let known = request.prefixes.iter().rev().filter_map(|prefix| {
            let matches = sources.affinity.holders(prefix.hash, now);
            let confidence = matches.iter().map(|m| m.confidence).reduce(f32::min)?;
            Some((prefix, matches, confidence))
        });
        for (prefix, matches, confidence) in known.take(MAX_PREFIX_SEARCHES) {
            let tokens = prefix.tokens as f32 * confidence;
            let evaluator = self.evaluator(request, model, sources.health, tokens, now);
            if let Some(found) = evaluator.search_among(model, &matches, stats, rng) {
                return Some((found, tokens as u32));
            }
        }
        None
    }

    fn chain(&self, request: &RouteRequest<'_>, model: &ModelVersion, path: &[PathStage]) -> Chain {
        let name = |stage: &PathStage| match stage.candidate {
            Some(candidate) => self.entries[candidate.holder.entry as usize].name.clone(),
            None => kept_at(request, stage.layers.start())
                .expect("a stage without candidate is a kept stage")
                .endpoint
                .clone(),
        };
        let stages = path.iter().map(|stage| Stage { endpoint: name(stage), layers: stage.layers });
        Chain::new(request.pipeline.clone(), request.version, model.layers, stages)
            .expect("a path covers every layer in order")
    }
}

impl<V: HealthView> Evaluator<'_, V> {
    /// Evaluates an endpoint; `None` if it is excluded or cannot take the request.
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
            estimate = estimate.with_returning_penalty();
        }
        let cost_factor = 1.0 + rng.random::<f64>() * settings.cost_jitter;
        Some(Candidate { holder, estimate, cost_factor })
    }

    /// Describes an endpoint; an excluded one has no estimate.
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
        self.request.avoid.contains(name) || self.request.avoid_domains.contains(domain)
    }

    /// Searches over candidates sampled from all holders.
    fn search(
        &self,
        model: &ModelVersion,
        stats: &mut Stats,
        rng: &mut Pcg64Mcg,
    ) -> Option<SearchResult> {
        self.search_with(model, |layer| {
            let segment = &model.segments[model.segment_at(layer)];
            sample::sample(segment, self, stats, rng)
        })
    }

    /// Searches over the endpoints in `matches`, which cache a prefix.
    fn search_among(
        &self,
        model: &ModelVersion,
        matches: &[Match],
        stats: &mut Stats,
        rng: &mut Pcg64Mcg,
    ) -> Option<SearchResult> {
        let entries = matches.iter().filter_map(|m| self.table.by_name.get(&m.endpoint));
        let entries: SmallVec<[u32; 16]> = entries.copied().collect();
        self.search_with(model, |layer| {
            let segment = &model.segments[model.segment_at(layer)];
            let holders = segment.holders.iter().filter(|h| entries.contains(&h.entry));
            holders.filter_map(|&holder| self.candidate(holder, stats, rng)).collect()
        })
    }

    fn search_with(
        &self,
        model: &ModelVersion,
        mut candidates: impl FnMut(u16) -> Candidates,
    ) -> Option<SearchResult> {
        let mut search = Search::new(&model.boundaries, self.request.kept);
        for boundary in 0..search.boundaries() - 1 {
            if !search.is_reached(boundary) {
                continue;
            }
            let layer = search.layer(boundary);
            if let Some(kept) = kept_at(self.request, layer) {
                search.keep(boundary, kept.layers.end());
                continue;
            }
            let limit = next_kept_start(self.request, layer);
            for candidate in candidates(layer) {
                search.relax(boundary, &candidate, limit);
            }
        }
        let (path, cost_us) = search.path()?;
        Some(SearchResult { path, cost_us })
    }

    /// The reason why no chain exists.
    fn refusal(&self, model: &ModelVersion) -> Refusal {
        let pipeline = self.request.pipeline.clone();
        // `Leaving` is the last variant, so any other one compares less.
        if let Some(layers) = self
            .first_layers_without_holder(model, |availability| availability < Availability::Leaving)
        {
            let version = self.request.version;
            return Refusal::NoHolder { pipeline, version, layers };
        }
        let layers = Layers::try_from((0, model.layers)).expect("a model has a layer");
        Refusal::Overloaded { pipeline, layers }
    }

    /// The first layers, apart from kept ones, for which no holder is `usable`.
    fn first_layers_without_holder(
        &self,
        model: &ModelVersion,
        usable: impl Fn(Availability) -> bool,
    ) -> Option<Layers> {
        let is_usable = |holder: &Holder| {
            let entry = &self.table.entries[holder.entry as usize];
            let availability = self.health.condition(&entry.name, self.now).availability;
            !self.is_avoided(&entry.name, &entry.domain) && usable(availability)
        };
        let is_kept = |range: &[u16]| {
            let kept = self.request.kept.iter().map(|stage| stage.layers);
            kept.into_iter().any(|l| l.start() <= range[0] && range[1] <= l.end())
        };
        let missing = |(range, segment): &(&[u16], &Segment)| {
            !is_kept(range) && !segment.holders.iter().any(is_usable)
        };
        let ranges = model.boundaries.windows(2).zip(&model.segments);
        let mut gap = ranges.skip_while(|part| !missing(part)).take_while(missing);
        let (first, _) = gap.next()?;
        let end = gap.last().map_or(first[1], |(last, _)| last[1]);
        Layers::try_from((first[0], end)).ok()
    }
}

impl SearchResult {
    fn estimate_us(&self) -> f64 {
        let chosen = self.path.iter().filter_map(|stage| Some((stage.candidate?, stage.layers)));
        chosen.map(|(candidate, layers)| candidate.estimate.total_us(layers.count())).sum()
    }
}

fn check_kept(request: &RouteRequest<'_>, model: &ModelVersion) -> Result<(), Refusal> {
    let mut next_free = 0;
    for stage in request.kept {
        if stage.layers.start() < next_free || stage.layers.end() > model.layers {
            return Err(Refusal::InvalidKeptStages {
                pipeline: request.pipeline.clone(),
                layers: stage.layers,
            });
        }
        next_free = stage.layers.end();
    }
    Ok(())
}

fn kept_at<'a>(request: &RouteRequest<'a>, layer: u16) -> Option<&'a Stage> {
    request.kept.iter().find(|stage| stage.layers.start() == layer)
}

/// Start of the first kept stage after `layer`, or `u16::MAX`.
fn next_kept_start(request: &RouteRequest<'_>, layer: u16) -> u16 {
    let starts = request.kept.iter().map(|stage| stage.layers.start());
    starts.filter(|&start| start > layer).min().unwrap_or(u16::MAX)
}
