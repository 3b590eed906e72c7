//! What the machine is given and what it asks of its caller.

use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::retry::Budget;
use crate::engine::{Label, RequestId, Step};
use crate::resource::{Layers, Name};
use crate::time::Instant;

/// Actions of one input, in the order in which they must be carried out.
pub type Actions = SmallVec<[Action; 4]>;

/// What every input of a machine needs besides its own data.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Instant,
    /// Randomness for backoff.
    pub rng: &'a mut Pcg64Mcg,
    /// Budget shared by the requests of a router.
    pub budget: &'a mut Budget,
}

/// What a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies it in every label.
    pub id: RequestId,
    /// Token ids of the prompt, at least one.
    pub prompt: Vec<u32>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Token that ends the answer early; it is not emitted.
    pub stop: Option<u32>,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// Priority level for the engines' queues, 0 first.
    pub priority: u8,
    /// The adapter, if the caller named one.
    pub adapter: Option<Name>,
}

/// Something that the caller of the machine must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run a step; answer with `on_reply` or `on_failure`.
    Send {
        /// Where to run it.
        endpoint: Name,
        /// What to run.
        step: Step,
        /// How long the exchange may take.
        timeout: Duration,
    },
    /// Copy KV cache between endpoints; answer with `on_import`.
    Import {
        /// Endpoint that holds the cache.
        from: Name,
        /// Endpoint that takes it over, in place of any cache of the label's
        /// request, attempt and layers.
        to: Name,
        /// The cache: `count` tokens from position 0.
        label: Label,
        /// How long the exchange may take.
        timeout: Duration,
    },
    /// Stop and release this and earlier attempts at an endpoint. No answer is
    /// awaited, and the exchange must not delay other actions.
    CancelEngine {
        /// Where.
        endpoint: Name,
        /// The request.
        request: RequestId,
        /// The latest attempt to release.
        attempt: u32,
    },
    /// Pass the next token to the caller of the request.
    Emit(u32),
    /// Choose endpoints for lost layers; answer with `on_chain`.
    NeedChain {
        /// Endpoints that the new chain must not use.
        avoid: SmallVec<[Name; 4]>,
        /// What to replace.
        scope: Scope,
    },
    /// The request is over; it is the last action of a request but for the
    /// cancellations that follow it.
    Finish(Outcome),
}

/// Which part of a chain is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every stage; no stage holds state yet.
    Whole,
    /// The stage of these layers; a chain that keeps the others costs least.
    Range(Layers),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every token was emitted.
    Complete,
    /// It was given up.
    Failed {
        /// Why.
        code: Code,
        /// Whether any of it ran.
        effect: Effect,
        /// When a new try may succeed.
        retry_after: Option<Duration>,
    },
    /// The deadline passed.
    DeadlineExceeded {
        /// Whether any of it ran.
        effect: Effect,
    },
    /// The caller went away.
    Cancelled,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// No chain is left that could run the layers.
    NoChain,
    /// The retry budget is spent.
    RetryBudget,
    /// It could not have finished before its deadline.
    OutOfTime,
    /// The prompt is empty.
    EmptyPrompt,
}

/// Whether any part of a failed request ran on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Provably nothing ran: nothing was sent, or every send was refused.
    NotRun,
    /// Something was sent and may have run.
    Unknown,
    /// Something ran, and the answer is not whole.
    Failed,
}
