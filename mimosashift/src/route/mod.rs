//! Chooses the endpoints that run the layers of a request.
//!
//! `docs/design/routing.md` describes the cost model and the bounds on the work of
//! a choice.

use std::time::Duration;

use quick_error::quick_error;

use crate::resource::{Layers, Name};

pub mod affinity;
mod chain;
mod choose;
mod cost;
mod distance;
mod explain;
pub mod naive;
mod sample;
mod search;
mod table;

pub use chain::{Chain, Error, Stage};
pub use choose::{Choice, Sources, Stats};
pub use cost::Estimate;
pub use distance::Distances;
pub use explain::Candidate;
pub use table::Table;

quick_error! {
    /// Why no chain was chosen.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Refusal {
        /// The pipeline is not configured, or no endpoint holds any version of it.
        UnknownPipeline { pipeline: Name } {
            display("pipeline {:?} does not exist", pipeline.as_str())
        }
        /// No endpoint is configured to hold any layer of the version.
        UnknownVersion { pipeline: Name, version: u32 } {
            display("no endpoint holds version {} of pipeline {:?}", version, pipeline.as_str())
        }
        /// The pipeline does not list the adapter.
        UnknownAdapter { pipeline: Name, adapter: Name } {
            display("pipeline {:?} has no adapter {:?}", pipeline.as_str(), adapter.as_str())
        }
        /// Every endpoint that holds these layers is leaving or excluded, or there is none.
        NoHolder { pipeline: Name, version: u32, layers: Layers } {
            display("no live endpoint holds layers {} of version {} of pipeline {:?}", layers, version, pipeline.as_str())
        }
        /// Every layer has a holder that is neither leaving nor excluded, but for some layers
        /// all of them are overloaded or have an estimated wait above `max_wait`. `layers`
        /// are all layers of the model.
        Overloaded { pipeline: Name, layers: Layers } {
            display("every endpoint that holds layers {} of pipeline {:?} is overloaded", layers, pipeline.as_str())
        }
        /// The stages to keep overlap, are out of order or exceed the model's layers.
        InvalidKeptStages { pipeline: Name, layers: Layers } {
            display("stage to keep with layers {} does not fit pipeline {:?}", layers, pipeline.as_str())
        }
    }
}

/// The properties of a request that the choice of its chain depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The pipeline (a model's configuration).
    pub pipeline: &'a Name,
    /// The version that every stage must run.
    pub version: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// The adapter, if the caller specified one.
    pub adapter: Option<&'a Name>,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [Prefix],
    /// Endpoints that must not be chosen.
    pub avoid: &'a [Name],
    /// Failure domains that must not be chosen.
    pub avoid_domains: &'a [Name],
    /// Stages to keep, in layer order; endpoints are chosen only for the layers
    /// between them. The health of kept stages is not checked.
    pub kept: &'a [Stage],
}

/// A prefix of a prompt, as engines identify it in cache events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of all tokens from the start of the prompt.
    pub hash: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Limits of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of candidates sampled for each layer boundary.
    pub candidates: usize,
    /// Maximum relative increase of an estimated cost by a random factor, so that
    /// routers with the same reports do not all choose the same endpoint.
    pub cost_jitter: f64,
    /// Share of an endpoint's slots reserved for requests that delayed reports do
    /// not show yet, 0 to 1.
    pub reserved_share: f64,
    /// Maximum estimated wait in an endpoint's queue.
    pub max_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            candidates: 20,
            cost_jitter: 0.02,
            reserved_share: 0.25,
            max_wait: Duration::from_secs(30),
        }
    }
}
