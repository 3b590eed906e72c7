//! Specifications declared by operators, one struct per kind of resource.
//!
//! Field units and defaults are documented in `docs/API.md`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{Layers, Name};

/// Maps a model name used by callers to a pipeline, and limits who may call it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The value of the `model` field in requests.
    pub model: String,
    /// The pipeline that serves the requests.
    pub pipeline: Name,
    /// Teams that may call the model; empty means every team.
    #[serde(default)]
    pub teams: Vec<Name>,
    /// Default deadline of a request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum number of tokens that one request may generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

/// A model served as a pipeline of stages: its layers and the version that new
/// requests use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Number of layers.
    pub layers: u16,
    /// Version that new requests use.
    pub version: u32,
    /// Adapters that a request may use.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// Target number of live copies of every layer.
    #[serde(default = "default_copies")]
    pub copies: u16,
    /// Bytes of activations passed between two consecutive engines per token.
    #[serde(default = "default_hidden_bytes")]
    pub hidden_bytes: u32,
    /// Bytes of KV cache per layer and token.
    #[serde(default = "default_kv_bytes")]
    pub kv_bytes: u32,
}

/// A tenant: its credentials, its priority and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Priority of the team's requests.
    pub priority: Name,
    /// SHA-256 digests of the team's bearer tokens, in hexadecimal.
    #[serde(default)]
    pub token_digests: Vec<String>,
    /// Whether the team's tokens may change resources.
    #[serde(default)]
    pub operator: bool,
    /// Relative share of capacity among teams of the same priority.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests admitted per second across all routers; 0 means no limit.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Tokens generated per second across all routers; 0 means no limit.
    #[serde(default)]
    pub tokens_per_second: u32,
}

/// A priority class of requests; a lower level is served first and shed last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Level of the class; 0 is served first.
    pub level: u8,
}

/// An HTTP service behind the router that is not a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Methods that may be retried; every other method runs at most once.
    #[serde(default = "default_idempotent")]
    pub idempotent: Vec<String>,
    /// Timeout of one request and its response, in milliseconds.
    #[serde(default = "default_service_timeout_ms")]
    pub timeout_ms: u64,
}

/// A backend: a model engine that holds layers, or an instance of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain it runs in.
    pub domain: Name,
    /// Whether it is a model engine or an instance of a service.
    pub role: Role,
}

/// The role of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs a range of layers of one or more models.
    Engine(Box<Engine>),
    /// Runs an instance of this service.
    Service(Name),
}

/// The accelerator, link and layers of a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Accelerator type.
    pub accelerator: Name,
    /// Time to run one layer for a batch of one token, in microseconds.
    pub layer_us: u32,
    /// Maximum number of sequences batched in one iteration.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// One-way link latency to a router of the same domain, in microseconds.
    #[serde(default)]
    pub link_us: u32,
    /// Link bandwidth in bytes per second.
    #[serde(default = "default_link_bytes")]
    pub link_bytes_per_second: u64,
    /// Layers that it holds, one entry per model and version.
    pub holds: SmallVec<[ModelLayers; 2]>,
    /// Whether it refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Layers of one version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelLayers {
    /// The pipeline that describes the model.
    pub pipeline: Name,
    /// The version of the model.
    pub version: u32,
    /// The layers.
    pub layers: Layers,
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_max_tokens() -> u32 {
    4_096
}

fn default_copies() -> u16 {
    2
}

fn default_hidden_bytes() -> u32 {
    8_192
}

fn default_kv_bytes() -> u32 {
    4_096
}

fn default_weight() -> u32 {
    1
}

fn default_idempotent() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(str::to_owned).to_vec()
}

fn default_service_timeout_ms() -> u64 {
    5_000
}

fn default_slots() -> u16 {
    16
}

fn default_link_bytes() -> u64 {
    1_250_000_000
}
