//! Which endpoints run the layers of a request.
//!
//! `docs/design/routing.md` gives the cost model and how the choice is bounded.

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
        /// The pipeline is not configured.
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
        /// Every holder of these layers is leaving or excluded, or none exists.
        NoHolder { pipeline: Name, version: u32, layers: Layers } {
            display("no live endpoint holds layers {} of version {} of pipeline {:?}", layers, version, pipeline.as_str())
        }
        /// Every live holder of these layers is full.
        Overloaded { pipeline: Name, layers: Layers } {
            display("every endpoint that holds layers {} of pipeline {:?} is overloaded", layers, pipeline.as_str())
        }
        /// The stages to keep overlap, are out of order or exceed the model.
        InvalidKeptStages { pipeline: Name, layers: Layers } {
            display("stage to keep with layers {} does not fit pipeline {:?}", layers, pipeline.as_str())
        }
    }
}

/// A request as the choice of its chain sees it.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The model.
    pub pipeline: &'a Name,
    /// The version that every stage must run.
    pub version: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub output_tokens: u32,
    /// The adapter, if the caller named one.
    pub adapter: Option<&'a Name>,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [Prefix],
    /// Endpoints that must not be chosen.
    pub avoid: &'a [Name],
    /// Failure domains that must not be chosen.
    pub avoid_domains: &'a [Name],
    /// Stages to keep, in order of layers; only the layers between them are
    /// given to endpoints. Kept stages are not checked for health.
    pub kept: &'a [Stage],
}

/// A prefix of a prompt, as engines name it in cache events.
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
    /// Most candidates drawn for each layer boundary.
    pub candidates: usize,
    /// Costs that differ by less than this share count as equal, so that
    /// routers with the same reports do not all choose the same endpoint.
    pub cost_jitter: f64,
    /// Share of an endpoint's slots counted as taken by work that lagging
    /// reports do not show yet, 0 to 1.
    pub reserved_share: f64,
    /// Longest estimated wait in an endpoint's queue.
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
