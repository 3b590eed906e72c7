//! Figures of a model engine, from which chains and placement are computed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Endpoint;

/// Bytes of one megabyte as cards and layers are measured.
const MEGABYTE: f64 = 1e6;

/// Figures that all endpoints of one engine service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an endpoint receives at once as the first of a chain.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u16,
    /// Memory of one layer's weights, in megabytes.
    pub layer_mb: f64,
    /// Memory of one token's KV cache over all layers, in bytes.
    pub kv_bytes_per_token: f64,
    /// Activations of one token between two endpoints, in bytes.
    pub activation_bytes: f64,
    /// Time of one token step over all layers on a card of pace 1, in ms.
    pub step_ms: f64,
    /// Time that each writing request adds to a step, in ms.
    pub step_ms_per_sequence: f64,
    /// Time that 1,000 tokens of context of a writing request add, in ms.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read a millisecond over all layers at read factor 1.
    pub prefill_tokens_per_ms: f64,
    /// Steps, and so tokens, in one event of a stream.
    pub tokens_per_event: u32,
    /// Rate of the pipe between two zones, in bytes a millisecond.
    pub link_bytes_per_ms: f64,
    /// One-way delays between zones.
    pub delays: Vec<Delay>,
    /// Means of requests.
    pub typical_request: TypicalRequest,
    /// Time to load the whole model.
    pub load_time: Duration,
    /// Loads at once that do not slow one another.
    pub loads_at_once: u32,
    /// Cards by kind.
    pub cards: BTreeMap<Arc<str>, Card>,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Card {
    /// Memory for weights and KV cache, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of token steps.
    pub decode_factor: f64,
    /// Factor on the time of reading.
    pub prefill_factor: f64,
}

/// Delay between two zones, the same both ways.
#[derive(Clone, Debug, PartialEq)]
pub struct Delay {
    /// One zone.
    pub from: Arc<str>,
    /// The other.
    pub to: Arc<str>,
    /// One way, in ms.
    pub ms: f64,
}

/// Means of the requests of an engine.
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
        self.kv_bytes_per_token / f64::from(self.layers.max(1)) / MEGABYTE
    }

    /// The card of an endpoint.
    pub fn card(&self, endpoint: &Endpoint) -> Option<&Card> {
        self.cards.get(endpoint.card.as_deref()?)
    }

    /// Tokens x layers of KV cache that fit beside `layers` layers of weights.
    pub fn kv_capacity(&self, card: &Card, layers: u16) -> f64 {
        let free = card.memory_mb - f64::from(layers) * self.layer_mb;
        (free / self.kv_mb_per_token_layer()).max(0.0)
    }

    /// Most layers of weights that leave a card memory for the KV cache of
    /// `tokens` tokens in each of them.
    pub fn max_layers(&self, card: &Card, tokens: f64) -> u16 {
        let each = self.layer_mb + tokens * self.kv_mb_per_token_layer();
        let layers = (card.memory_mb / each).floor().min(f64::from(self.layers));
        // Truncation is harmless: the value lies between 0 and `layers`.
        layers.max(0.0) as u16
    }

    /// One-way delay between two zones, in ms; zero within one.
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        let joins =
            |d: &&Delay| (&*d.from == from && &*d.to == to) || (&*d.from == to && &*d.to == from);
        self.delays.iter().find(joins).map_or(0.0, |delay| delay.ms)
    }
}
