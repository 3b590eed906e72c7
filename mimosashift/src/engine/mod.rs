//! Messages between the router and model engines.
//!
//! The types here are independent of a protocol; adapters translate them. The
//! protocol over HTTP is described in `docs/ENGINE.md`.

use std::fmt;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::resource::{Layers, Name};

pub mod http;

/// Identifies a caller's request across all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// The labels of a step; a reply is accepted only if its labels match.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Label {
    /// The request.
    pub request: RequestId,
    /// Number of this attempt of the request at these stages; a later attempt
    /// replaces every earlier one.
    pub attempt: u32,
    /// Position in the sequence of the step's first token, from 0.
    pub position: u32,
    /// Number of tokens in the step: several for prefill, one for decoding.
    pub count: u32,
    /// Layers to run.
    pub layers: Layers,
    /// The model.
    pub pipeline: Name,
    /// Its version.
    pub version: u32,
}

/// Input of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Token ids, for the stage that holds layer 0.
    Tokens(Vec<u32>),
    /// Activations from the previous stage, at most `count` times the pipeline's
    /// `hidden_bytes`.
    Hidden(Vec<u8>),
}

/// Work for one stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Labels that the reply must carry.
    pub label: Label,
    /// Priority level for the engine's queue, 0 first.
    pub priority: u8,
    /// The adapter, if the caller named one.
    pub adapter: Option<Name>,
    /// Input to the layers.
    pub input: Input,
}

/// Output of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Activations for the next stage.
    Hidden(Vec<u8>),
    /// The next token, from the stage that holds the last layer.
    Token(u32),
}

/// Reply of a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Labels of the step to which it replies.
    pub label: Label,
    /// The result.
    pub output: Output,
}

/// State that an engine reports about itself, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences waiting for a slot.
    pub queued: u32,
    /// Sequences in the running batch.
    pub running: u32,
    /// Tokens for which KV cache is free.
    pub kv_free_tokens: u64,
    /// Whether the engine is shutting down.
    pub leaving: bool,
    /// Increases with each start of the engine at an address; 1 if the engine
    /// does not report it.
    #[serde(default = "first_incarnation")]
    pub incarnation: u64,
}

const fn first_incarnation() -> u64 {
    1
}

quick_error! {
    /// Why a call to an engine gave no usable reply.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro does not accept comments on fields.
    pub enum Failure {
        /// No connection could be made, so the step did not run.
        Unreachable(reason: String) {
            display("unreachable: {}", reason)
        }
        /// The connection broke or the reply timed out; the step may have run.
        Silent(waited: Duration) {
            display("no answer within {} ms", waited.as_millis())
        }
        /// The engine has no KV cache for this request and attempt.
        NoCache {
            display("the engine holds no KV cache for this attempt")
        }
        /// The engine is shutting down and takes no new work.
        Leaving {
            display("the engine is leaving")
        }
        /// The engine is full; the step did not run.
        Overloaded {
            display("the engine is overloaded")
        }
        /// The engine refused the step, which did not run.
        Refused(reason: String) {
            display("refused: {}", reason)
        }
        /// The reply does not follow the protocol.
        Malformed(reason: String) {
            display("malformed answer: {}", reason)
        }
    }
}

impl Failure {
    /// Whether it is certain that the engine did not run the step.
    pub const fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Unreachable(_)
                | Self::NoCache
                | Self::Leaving
                | Self::Overloaded
                | Self::Refused(_)
        )
    }
}

impl TryFrom<String> for RequestId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for RequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::try_from(text).map_err(serde::de::Error::custom)
    }
}
