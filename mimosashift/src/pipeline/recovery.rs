//! Recovery of the state of a lost stage: by copying its KV cache or by
//! recomputing it.

use std::time::Duration;

use smallvec::SmallVec;

use crate::health::time_model;
use crate::resource::{Engine, Layers, Name, Pipeline};
use crate::route::{Chain, Stage};

/// Cost of copying and of recomputing state on a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Bytes of KV cache that one layer stores for one token.
    pub kv_bytes: u32,
    /// Lowest declared bandwidth of the endpoints of the chain.
    pub link_bytes_per_second: u64,
    /// Longest declared round-trip time of the endpoints of the chain; added to
    /// each transfer.
    pub link_latency: Duration,
    /// Time to run a prompt through the whole chain, regardless of its length.
    pub prefill_base: Duration,
    /// Additional time for each token of a prompt.
    pub prefill_token: Duration,
}

impl Cost {
    /// Cost on a chain of `stages` of `pipeline`, from the declared speeds.
    pub fn new<'a>(
        pipeline: &Pipeline,
        stages: impl IntoIterator<Item = (&'a Engine, Layers)>,
    ) -> Self {
        let mut cost = Self {
            kv_bytes: pipeline.kv_bytes,
            link_bytes_per_second: u64::MAX,
            link_latency: Duration::ZERO,
            prefill_base: Duration::ZERO,
            prefill_token: Duration::ZERO,
        };
        // Each stage receives and sends the hidden state.
        let token_bytes = 2.0 * f64::from(pipeline.hidden_bytes);
        for (engine, layers) in stages {
            let compute = Duration::from_micros(u64::from(engine.layer_us));
            let compute = compute * u32::from(layers.count());
            let round_trip = Duration::from_micros(u64::from(engine.link_us) * 2);
            let bandwidth = engine.link_bytes_per_second.max(1);
            cost.prefill_base += round_trip + compute;
            // Cost of a second token in a step, relative to the first.
            cost.prefill_token += compute.mul_f32(time_model::step_weight(2.0) - 1.0);
            cost.prefill_token += Duration::from_secs_f64(token_bytes / bandwidth as f64);
            cost.link_latency = cost.link_latency.max(round_trip);
            cost.link_bytes_per_second = cost.link_bytes_per_second.min(bandwidth);
        }
        cost
    }

    /// Expected time to copy the caches sequentially.
    pub fn import_time(&self, transfers: &[Transfer]) -> Duration {
        let times = transfers.iter().map(|transfer| self.transfer_time(transfer));
        times.fold(Duration::ZERO, Duration::saturating_add)
    }

    /// Expected time to copy one cache.
    pub fn transfer_time(&self, transfer: &Transfer) -> Duration {
        let layer_tokens = u64::from(transfer.tokens) * u64::from(transfer.layers.count());
        let bytes = layer_tokens.saturating_mul(u64::from(self.kv_bytes));
        let micros = u128::from(bytes) * 1_000_000 / u128::from(self.link_bytes_per_second.max(1));
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        self.link_latency.saturating_add(Duration::from_micros(micros))
    }

    /// Expected time to run `tokens` tokens through the whole chain.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        self.prefill_base.saturating_add(self.prefill_token.saturating_mul(tokens))
    }
}

/// Copy of a KV cache to the new endpoint of a layer range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Endpoint that holds the cache.
    pub from: Name,
    /// Endpoint that takes over the layers.
    pub to: Name,
    /// The layers.
    pub layers: Layers,
    /// Number of tokens from position 0.
    pub tokens: u32,
}

/// The step at which a chain was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedStep {
    /// First layer that has not run for the step.
    pub layer: u16,
    /// Position of the step.
    pub position: u32,
    /// Number of tokens of the step.
    pub count: u32,
}

impl InterruptedStep {
    /// Number of tokens whose cache `stage` must hold for the step to resume.
    fn required_cache_tokens(self, stage: &Stage) -> u32 {
        if stage.layers.end() <= self.layer { self.position + self.count } else { self.position }
    }
}

/// How a request continues on a new chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Copy the KV cache of these layers, then resend the interrupted step.
    Resume(SmallVec<[Transfer; 2]>),
    /// Recompute the KV cache: run the prompt and the accepted tokens through the
    /// whole chain.
    Rebuild,
}

/// Endpoints that a recovery may copy KV cache from, and endpoints that it may
/// not copy to.
#[derive(Clone, Copy)]
pub struct Endpoints<'a> {
    /// Endpoints whose cache can be read.
    pub holders: &'a [Name],
    /// Endpoints that were used in the current attempt, and so may hold stale
    /// state of it.
    pub used: &'a [Name],
}

/// Chooses the cheaper way to continue on `new` after `old`.
pub fn plan(
    old: &Chain,
    new: &Chain,
    interrupted: InterruptedStep,
    endpoints: Endpoints<'_>,
    cost: &Cost,
) -> Plan {
    let Some(transfers) = transfers(old, new, interrupted, endpoints) else { return Plan::Rebuild };
    let rebuild = cost.prefill_time(interrupted.position + interrupted.count);
    if cost.import_time(&transfers) > rebuild { Plan::Rebuild } else { Plan::Resume(transfers) }
}

/// The copies after which every stage of `new` can resume the interrupted step,
/// or `None` if copying is not possible.
fn transfers(
    old: &Chain,
    new: &Chain,
    interrupted: InterruptedStep,
    endpoints: Endpoints<'_>,
) -> Option<SmallVec<[Transfer; 2]>> {
    let resumable = new.stages().iter().any(|stage| stage.layers.start() == interrupted.layer);
    if !resumable {
        return None;
    }
    let mut transfers = SmallVec::new();
    for stage in new.stages() {
        let is_interrupted = stage.layers.start() == interrupted.layer;
        if old.stages().contains(stage) && !is_interrupted {
            continue;
        }
        if endpoints.used.contains(&stage.endpoint) {
            return None;
        }
        let tokens = interrupted.required_cache_tokens(stage);
        if tokens > 0 {
            transfers.push(transfer(old, stage, tokens, endpoints.holders)?);
        }
    }
    Some(transfers)
}

fn transfer(old: &Chain, stage: &Stage, tokens: u32, holders: &[Name]) -> Option<Transfer> {
    let holder = old.stages().iter().find(|held| held.layers.contains(stage.layers))?;
    holders.contains(&holder.endpoint).then(|| Transfer {
        from: holder.endpoint.clone(),
        to: stage.endpoint.clone(),
        layers: stage.layers,
        tokens,
    })
}
