//! Inputs of the state machine and the actions that it requests.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::retry::Budget;
use crate::engine::{Label, RequestId, Step};
use crate::resource::{Layers, Name};
use crate::time::Instant;

/// Actions after one input, in the order in which they must be carried out.
pub type Actions = SmallVec<[Action; 4]>;

/// Parameters common to the input methods of a machine.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Instant,
    /// Random number generator for backoff.
    pub rng: &'a mut Pcg64Mcg,
    /// Retry budget shared by the requests of a router.
    pub budget: &'a mut Budget,
}

/// A completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request in every label.
    pub id: RequestId,
    /// Token ids of the prompt, at least one.
    pub prompt: Vec<u32>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Token that ends the completion early; it is not emitted.
    pub stop: Option<u32>,
    /// When the completion must be finished.
    pub deadline: Instant,
    /// Priority level in the engines' queues; 0 is served first.
    pub priority: u8,
    /// Adapter to apply, if the caller named one.
    pub adapter: Option<Name>,
}

/// An action that the caller of the machine must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run a step; report the result through `on_reply` or `on_failure`.
    Send {
        /// Endpoint that runs it.
        endpoint: Name,
        /// The step.
        step: Step,
        /// How long the exchange may take.
        timeout: Duration,
    },
    /// Copy KV cache between endpoints; report the result through `on_import`.
    Import {
        /// Endpoint that holds the cache.
        from: Name,
        /// Endpoint that receives it. The copy replaces any cache that this
        /// endpoint holds for the label's request, attempt and layers.
        to: Name,
        /// The cache: `count` tokens from position 0.
        label: Label,
        /// How long the exchange may take.
        timeout: Duration,
    },
    /// Cancel all attempts up to `attempt` at an endpoint and free their KV cache.
    /// The result is not reported back, and the exchange must not delay other
    /// actions.
    CancelEngine {
        /// The endpoint.
        endpoint: Name,
        /// The request.
        request: RequestId,
        /// The latest attempt to release.
        attempt: u32,
    },
    /// Pass the next token to the caller of the request.
    Emit(u32),
    /// Choose a replacement chain; report the result through `on_chain`.
    NeedChain {
        /// Endpoints that the new chain must not use.
        avoid: SmallVec<[Name; 4]>,
        /// Part of the chain to replace.
        scope: Scope,
    },
    /// Choose a second chain for the prompt; report the result through
    /// `on_hedge`.
    NeedHedge {
        /// Endpoints that the second chain must not use.
        avoid: SmallVec<[Name; 4]>,
    },
    /// The request is finished. Only cancellations may follow this action.
    Finish(Outcome),
}

/// Part of a chain that is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every stage; none holds any state yet.
    Whole,
    /// The stage of these layers. A chain that keeps the other stages is cheapest
    /// to continue on, but they may change.
    Range(Layers),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every token was emitted.
    Complete,
    /// The request failed.
    Failed {
        /// Cause of the failure.
        code: FailureCode,
        /// Whether any part of the request ran.
        effect: Effect,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// The deadline passed.
    DeadlineExceeded {
        /// Whether any part of the request ran.
        effect: Effect,
    },
    /// The caller disconnected.
    Cancelled,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCode {
    /// No available chain can run the layers.
    NoChain,
    /// The retry budget is exhausted.
    RetryBudget,
    /// Several engines in a row did not answer a step.
    EnginesLost,
    /// The request cannot finish before its deadline.
    OutOfTime,
    /// The prompt is empty.
    EmptyPrompt,
}

/// Whether any part of a failed request ran on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Nothing ran: nothing was sent, or every step sent was refused.
    NotRun,
    /// Something was sent and may have run.
    Unknown,
    /// Something ran, but the completion is incomplete.
    Failed,
}
