//! Index of a configuration snapshot for choosing chains.

use std::collections::HashMap;

use super::cost::{Speed, Work};
use super::{Distances, Refusal, RouteRequest, Settings};
use crate::resource::{Layers, Name, Role, Snapshot};

/// Prompt tokens of the reference request. Holders are ranked by the time that they add
/// to this request when idle.
const REFERENCE_PROMPT_TOKENS: u32 = 512;
/// Output tokens of the reference request.
const REFERENCE_OUTPUT_TOKENS: u32 = 128;

/// The endpoints that hold each model's layers in one snapshot, seen from one failure
/// domain.
///
/// It is built once per snapshot and shared by all choices.
#[derive(Debug)]
pub struct Table {
    pub(super) settings: Settings,
    pub(super) entries: Vec<Entry>,
    pub(super) by_name: HashMap<Name, u32>,
    models: HashMap<Name, HashMap<u32, ModelVersion>>,
}

/// An engine endpoint.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) name: Name,
    pub(super) domain: Name,
    pub(super) speed: Speed,
}

/// One version of a model, as its pipeline configures it.
#[derive(Debug)]
pub(super) struct ModelVersion {
    pub(super) layers: u16,
    pub(super) hidden_bytes: u32,
    adapters: Vec<Name>,
    /// Layers at which a held range starts or ends, with 0 and `layers`. Costs are
    /// linear in the number of layers, so no other place to split is better.
    pub(super) boundaries: Vec<u16>,
    /// The holders of the layers from each boundary to the next.
    pub(super) segments: Vec<Segment>,
}

/// The holders of the layers between two adjacent boundaries.
#[derive(Debug, Default)]
pub(super) struct Segment {
    /// The router's own failure domain first, each partition from fast to slow.
    pub(super) holders: Vec<Holder>,
    /// Number of holders in the router's own failure domain.
    pub(super) local: usize,
}

/// An endpoint that can run the layers from a boundary on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    /// Index into the table's entries.
    pub(super) entry: u32,
    /// One past the last layer that it can run.
    pub(super) end: u16,
}

impl Table {
    /// Indexes `snapshot` for a router with these `distances`.
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
            let mut model = ModelVersion {
                layers: spec.layers,
                hidden_bytes: spec.hidden_bytes,
                adapters: spec.adapters.clone(),
                boundaries: Vec::new(),
                segments: Vec::new(),
            };
            model.index(&holders, &table.entries, distances.own());
            table.models.entry(pipeline.clone()).or_default().insert(version, model);
        }
        table
    }

    /// The model that `request` refers to, if its version and adapter exist.
    pub(super) fn model(&self, request: &RouteRequest<'_>) -> Result<&ModelVersion, Refusal> {
        let pipeline = || request.pipeline.clone();
        let versions = self
            .models
            .get(request.pipeline)
            .ok_or_else(|| Refusal::UnknownPipeline { pipeline: pipeline() })?;
        let model = versions.get(&request.version).ok_or_else(|| Refusal::UnknownVersion {
            pipeline: pipeline(),
            version: request.version,
        })?;
        match request.adapter {
            Some(adapter) if !model.adapters.contains(adapter) => {
                Err(Refusal::UnknownAdapter { pipeline: pipeline(), adapter: adapter.clone() })
            }
            _ => Ok(model),
        }
    }
}

impl ModelVersion {
    /// Builds boundaries and segments from the ranges that endpoints hold.
    fn index(&mut self, held: &[(u32, Layers)], entries: &[Entry], own: &Name) {
        let valid = held.iter().filter(|(_, layers)| layers.end() <= self.layers);
        let ranges: Vec<(u32, Layers)> = valid.copied().collect();
        self.boundaries = vec![0, self.layers];
        self.boundaries
            .extend(ranges.iter().flat_map(|(_, layers)| [layers.start(), layers.end()]));
        self.boundaries.sort_unstable();
        self.boundaries.dedup();
        self.segments = self.boundaries.windows(2).map(|_| Segment::default()).collect();
        let ranked = rank(ranges, entries, own, self);
        for (entry, layers) in ranked {
            let first = self.segment_at(layers.start());
            let last = self.boundaries.partition_point(|&boundary| boundary < layers.end());
            let local = entries[entry as usize].domain == *own;
            for segment in &mut self.segments[first..last] {
                segment.holders.push(Holder { entry, end: layers.end() });
                segment.local += usize::from(local);
            }
        }
    }

    /// Index of the segment that contains `layer`.
    pub(super) fn segment_at(&self, layer: u16) -> usize {
        self.boundaries.partition_point(|&boundary| boundary <= layer) - 1
    }
}

/// Sorts ranges by own failure domain first, then by idle time per layer.
fn rank(
    mut ranges: Vec<(u32, Layers)>,
    entries: &[Entry],
    own: &Name,
    model: &ModelVersion,
) -> Vec<(u32, Layers)> {
    let request = RouteRequest {
        // Placeholders; the estimate does not read the pipeline or the version.
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
    let work = Work::new(&request, model.layers, model.hidden_bytes, 0.0);
    ranges.sort_by_cached_key(|(entry, layers)| {
        let entry = &entries[*entry as usize];
        let idle = entry.speed.idle_us(&work, layers.count());
        (entry.domain != *own, idle / u64::from(layers.count()))
    });
    ranges
}
