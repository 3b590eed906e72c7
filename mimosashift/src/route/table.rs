//! Index of a configuration for the choice of chains.

use std::collections::HashMap;

use super::cost::{Speed, Work};
use super::{Distances, Refusal, RouteRequest, Settings};
use crate::resource::{Layers, Name, Role, Snapshot};

/// A reference request; holders are ranked by what they add to it when idle.
const REFERENCE_PROMPT_TOKENS: u32 = 512;
const REFERENCE_OUTPUT_TOKENS: u32 = 128;

/// Who holds which layers, as of one snapshot, seen from one failure domain.
///
/// It is built once for each snapshot and shared by all choices.
#[derive(Debug)]
pub struct Table {
    pub(super) settings: Settings,
    pub(super) entries: Vec<Entry>,
    pub(super) by_name: HashMap<Name, u32>,
    models: HashMap<Name, HashMap<u32, Model>>,
}

/// An engine endpoint.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) name: Name,
    pub(super) domain: Name,
    pub(super) speed: Speed,
}

/// One version of a pipeline.
#[derive(Debug)]
pub(super) struct Model {
    pub(super) layers: u16,
    pub(super) hidden_bytes: u32,
    adapters: Vec<Name>,
    /// Layers at which a holding starts or ends, with 0 and `layers`. Costs
    /// are linear in the layers run, so no better place to split exists.
    pub(super) points: Vec<u16>,
    /// Who can run the layers from each point to the next.
    pub(super) segments: Vec<Segment>,
}

/// The holders of the layers between two neighbouring points.
#[derive(Debug, Default)]
pub(super) struct Segment {
    /// Own failure domain first, each part from fast to slow.
    pub(super) holders: Vec<Holder>,
    /// Number of holders in the own failure domain.
    pub(super) local: usize,
}

/// An endpoint that can run on from a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    /// Place in the table's entries.
    pub(super) entry: u32,
    /// One past the last layer that it can run.
    pub(super) end: u16,
}

impl Table {
    /// Indexes `snapshot` for routers at `distances`.
    pub fn new(snapshot: &Snapshot, distances: &Distances, settings: Settings) -> Self {
        let mut table =
            Self { settings, entries: Vec::new(), by_name: HashMap::new(), models: HashMap::new() };
        let mut held: HashMap<(&Name, u32), Vec<(u32, Layers)>> = HashMap::new();
        for (name, endpoint) in snapshot.endpoints() {
            let Role::Engine(engine) = &endpoint.role else { continue };
            let entry = table.entries.len() as u32;
            let speed = Speed::new(engine, snapshot, distances.to(&endpoint.domain));
            let domain = endpoint.domain.clone();
            table.entries.push(Entry { name: name.clone(), domain, speed });
            table.by_name.insert(name.clone(), entry);
            for holding in &engine.holds {
                let holders = held.entry((&holding.pipeline, holding.version)).or_default();
                holders.push((entry, holding.layers));
            }
        }
        for ((pipeline, version), holders) in held {
            let Some(spec) = snapshot.pipeline(pipeline) else { continue };
            let mut model = Model {
                layers: spec.layers,
                hidden_bytes: spec.hidden_bytes,
                adapters: spec.adapters.clone(),
                points: Vec::new(),
                segments: Vec::new(),
            };
            model.index(&holders, &table.entries, distances.own());
            table.models.entry(pipeline.clone()).or_default().insert(version, model);
        }
        table
    }

    /// The model that `ask` names, if the ask is one that it can answer.
    pub(super) fn model(&self, ask: &RouteRequest<'_>) -> Result<&Model, Refusal> {
        let pipeline = || ask.pipeline.clone();
        let versions = self
            .models
            .get(ask.pipeline)
            .ok_or_else(|| Refusal::UnknownPipeline { pipeline: pipeline() })?;
        let model = versions.get(&ask.version).ok_or_else(|| Refusal::UnknownVersion {
            pipeline: pipeline(),
            version: ask.version,
        })?;
        match ask.adapter {
            Some(adapter) if !model.adapters.contains(adapter) => {
                Err(Refusal::UnknownAdapter { pipeline: pipeline(), adapter: adapter.clone() })
            }
            _ => Ok(model),
        }
    }
}

impl Model {
    /// Fills points and segments from the ranges that endpoints hold.
    fn index(&mut self, held: &[(u32, Layers)], entries: &[Entry], own: &Name) {
        let valid = held.iter().filter(|(_, layers)| layers.end() <= self.layers);
        let ranges: Vec<(u32, Layers)> = valid.copied().collect();
        self.points = vec![0, self.layers];
        self.points.extend(ranges.iter().flat_map(|(_, layers)| [layers.start(), layers.end()]));
        self.points.sort_unstable();
        self.points.dedup();
        self.segments = self.points.windows(2).map(|_| Segment::default()).collect();
        let ranked = rank(ranges, entries, own, self);
        for (entry, layers) in ranked {
            let first = self.segment_at(layers.start());
            let last = self.points.partition_point(|&point| point < layers.end());
            let local = entries[entry as usize].domain == *own;
            for segment in &mut self.segments[first..last] {
                segment.holders.push(Holder { entry, end: layers.end() });
                segment.local += usize::from(local);
            }
        }
    }

    /// Place of the segment that contains `layer`.
    pub(super) fn segment_at(&self, layer: u16) -> usize {
        self.points.partition_point(|&point| point <= layer) - 1
    }
}

/// Orders ranges by own failure domain first, then by cost when idle.
fn rank(
    mut ranges: Vec<(u32, Layers)>,
    entries: &[Entry],
    own: &Name,
    model: &Model,
) -> Vec<(u32, Layers)> {
    let ask = RouteRequest {
        pipeline: own,
        version: 0,
        prompt_tokens: REFERENCE_PROMPT_TOKENS,
        output_tokens: REFERENCE_OUTPUT_TOKENS,
        adapter: None,
        prefixes: &[],
        avoid: &[],
        avoid_domains: &[],
        kept: &[],
    };
    let work = Work::new(&ask, model.layers, model.hidden_bytes, 0.0);
    ranges.sort_by_cached_key(|(entry, layers)| {
        let entry = &entries[*entry as usize];
        let idle = entry.speed.idle_us(&work, layers.count());
        (entry.domain != *own, idle / u64::from(layers.count()))
    });
    ranges
}
