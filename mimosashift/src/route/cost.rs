//! Estimates the time that an endpoint adds to a request.

use std::time::Duration;

use super::{RouteRequest, Settings};
use crate::health::{Availability, Condition, time_model};
use crate::resource::{Engine, Snapshot};

/// Added to the cost of an endpoint in recovery from ejection when the random draw
/// excludes it, so that it is used only without an alternative; more than any estimate,
/// less than the next penalty.
const RETURNING_PENALTY_US: f64 = 1e10;

/// Added to the cost of an endpoint ejected as a slow outlier.
const SLOW_PENALTY_US: f64 = 1e12;

/// Added to the cost of an endpoint ejected as unreachable.
const UNREACHABLE_PENALTY_US: f64 = 1e14;

/// Declared speed of an endpoint and of the link to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    layer_us: f32,
    slots: u32,
    /// Share of a model's layers that the endpoint holds, which approximates the
    /// share of time that a sequence spends at it and not at other stages.
    share: f32,
    one_way_us: f32,
    bytes_per_second: f32,
}

/// The work of one request, in units independent of the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    layers: f32,
    /// Compute, in steps of one token through one layer.
    steps: f32,
    decode_steps: f32,
    prompt_bytes: f32,
    decode_bytes: f32,
}

/// Parts of the estimated cost of an endpoint, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time waiting for a slot.
    pub wait_us: f64,
    /// Transfer time for all tokens.
    pub link_us: f64,
    /// Compute time per layer for all tokens.
    pub layer_us: f64,
    /// Penalty for an unhealthy endpoint or one in recovery, so that it is chosen only if
    /// there is no alternative; otherwise 0.
    pub penalty_us: f64,
}

impl Speed {
    pub(super) fn new(engine: &Engine, snapshot: &Snapshot, domain_latency: Duration) -> Self {
        Self {
            share: share(engine, snapshot),
            layer_us: engine.layer_us as f32,
            slots: u32::from(engine.slots),
            one_way_us: engine.link_us as f32 + domain_latency.as_secs_f32() * 1e6,
            bytes_per_second: engine.link_bytes_per_second as f32,
        }
    }

    /// Estimates the time for `work` under `condition`; `None` if the endpoint must
    /// not or cannot take it.
    pub(super) fn estimate(
        &self,
        work: &Work,
        condition: &Condition,
        settings: &Settings,
    ) -> Option<Estimate> {
        if condition.availability == Availability::Leaving || condition.overloaded {
            return None;
        }
        // A sequence occupies a slot only while it is at this stage.
        let concurrent = 1.0 + condition.sequences as f32 * self.share;
        let batch_size = (concurrent.ceil() as u32).min(self.slots);
        let step_us =
            self.layer_us * condition.service_factor * time_model::batch_weight(batch_size);
        let layer_us = f64::from(step_us * work.steps);
        let slots = f64::from(self.slots);
        let free_slots = slots * (1.0 - settings.reserved_share);
        let queued = (f64::from(concurrent) - free_slots).max(0.0);
        let batches_ahead = queued / slots;
        let wait_us = batches_ahead * layer_us * f64::from(work.layers * self.share);
        if wait_us > settings.max_wait.as_secs_f64() * 1e6 {
            return None;
        }
        let link_us = f64::from(self.link_us(work) * condition.link_factor);
        let penalty_us = match condition.availability {
            Availability::Slow => SLOW_PENALTY_US,
            Availability::Unreachable => UNREACHABLE_PENALTY_US,
            Availability::Live | Availability::Leaving => 0.0,
        };
        Some(Estimate { wait_us, link_us, layer_us, penalty_us })
    }

    /// Time to run `layers` layers of `work` when the endpoint is idle.
    pub(super) fn idle_us(&self, work: &Work, layers: u16) -> u64 {
        let compute = self.layer_us * work.steps * f32::from(layers);
        (compute + self.link_us(work)) as u64
    }

    fn link_us(&self, work: &Work) -> f32 {
        let transfer_us =
            |bytes| time_model::link_us(self.one_way_us, bytes, self.bytes_per_second);
        transfer_us(work.prompt_bytes) + work.decode_steps * transfer_us(work.decode_bytes)
    }
}

/// The largest share of any model's layers that an engine holds.
fn share(engine: &Engine, snapshot: &Snapshot) -> f32 {
    let shares = engine.holds.iter().map(|held| {
        let layers = snapshot.pipeline(&held.pipeline).map_or(1, |pipeline| pipeline.layers);
        f32::from(held.layers.count()) / f32::from(layers.max(1))
    });
    shares.fold(0.0, f32::max).min(1.0)
}

impl Work {
    /// The work of `request` if the engines have cached `cached_tokens` tokens of its prompt.
    pub(super) fn new(
        request: &RouteRequest<'_>,
        layers: u16,
        hidden_bytes: u32,
        cached_tokens: f32,
    ) -> Self {
        let prompt = (request.prompt_tokens as f32 - cached_tokens).max(1.0);
        let decode_steps = request.output_tokens.saturating_sub(1) as f32;
        // Hidden states go to the endpoint and back.
        let token_bytes = 2.0 * hidden_bytes as f32;
        Self {
            layers: f32::from(layers),
            steps: time_model::step_weight(prompt) + decode_steps,
            decode_steps,
            prompt_bytes: prompt * token_bytes,
            decode_bytes: token_bytes,
        }
    }
}

impl Estimate {
    /// Completion time added if the endpoint runs `layers` layers.
    pub fn total_us(&self, layers: u16) -> f64 {
        self.wait_us + self.link_us + self.layer_us * f64::from(layers)
    }

    pub(super) const fn with_returning_penalty(self) -> Self {
        Self { penalty_us: self.penalty_us + RETURNING_PENALTY_US, ..self }
    }
}
