//! Performance and memory parameters of a model engine, used to compute chains
//! and placement.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Endpoint;

/// Bytes in one megabyte, as used for the memory of cards and layers.
const BYTES_PER_MB: f64 = 1e6;

/// Parameters shared by all endpoints of an engine service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Concurrent requests that an endpoint accepts as the first of a chain.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u16,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Memory of one token's KV cache over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Activations sent between two endpoints for one token, in bytes.
    pub activation_bytes: f64,
    /// Time of one decode step over all layers at decode factor 1, in ms.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in ms.
    pub step_ms_per_sequence: f64,
    /// Time that 1,000 tokens of context of a decoding request add, in ms.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens processed per millisecond over all layers at prefill factor 1.
    pub prefill_tokens_per_ms: f64,
    /// Decode steps, and therefore tokens, per event of a stream.
    pub tokens_per_event: u32,
    /// Bandwidth between two zones, in bytes per millisecond.
    pub link_bytes_per_ms: f64,
    /// One-way delays between zones.
    pub delays: Vec<Delay>,
    /// Mean size of its requests.
    pub typical_request: TypicalRequest,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// Number of model loads that can run concurrently without slowing each other.
    pub loads_at_once: u32,
    /// Cards by kind.
    pub cards: BTreeMap<Arc<str>, Card>,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// Memory for weights and KV cache, in megabytes.
    pub memory_mb: f64,
    /// Multiplier of the decode step time.
    pub decode_factor: f64,
    /// Multiplier of the prefill time.
    pub prefill_factor: f64,
}

/// Network delay between two zones, the same in both directions.
#[derive(Clone, Debug, PartialEq)]
pub struct Delay {
    /// One zone.
    pub from: Arc<str>,
    /// The other zone.
    pub to: Arc<str>,
    /// One-way delay, in ms.
    pub ms: f64,
}

/// Mean prompt and output size of an engine's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalRequest {
    /// Prompt tokens.
    pub prompt: f64,
    /// Output tokens.
    pub output: f64,
}

impl Engine {
    /// Memory of one token's KV cache in one layer, in megabytes.
    pub fn kv_mb_per_token_layer(&self) -> f64 {
        self.kv_bytes_per_token / f64::from(self.layers.max(1)) / BYTES_PER_MB
    }

    /// The card of an endpoint.
    pub fn card(&self, endpoint: &Endpoint) -> Option<&Card> {
        self.cards.get(endpoint.card.as_deref()?)
    }

    /// KV cache that fits on `card` next to the weights of `layers` layers, in
    /// tokens x layers.
    pub fn kv_capacity(&self, card: &Card, layers: u16) -> f64 {
        let free = card.memory_mb - f64::from(layers) * self.layer_mb;
        (free / self.kv_mb_per_token_layer()).max(0.0)
    }

    /// Maximum number of layers that fit on `card` together with the KV cache of
    /// `tokens` tokens in each of them.
    pub fn max_layers(&self, card: &Card, tokens: f64) -> u16 {
        let mb_per_layer = self.layer_mb + tokens * self.kv_mb_per_token_layer();
        let layers = (card.memory_mb / mb_per_layer).floor().min(f64::from(self.layers));
        // The cast cannot truncate: the value lies between 0 and `layers`.
        layers.max(0.0) as u16
    }

    /// One-way delay between two zones, in ms; 0 within a zone and for pairs
    /// that are not listed.
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        let connects =
            |d: &&Delay| (&*d.from == from && &*d.to == to) || (&*d.from == to && &*d.to == from);
        self.delays.iter().find(connects).map_or(0.0, |delay| delay.ms)
    }
}
