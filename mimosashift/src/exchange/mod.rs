//! What requests and answers say about themselves in their headers.
//!
//! An adapter decodes headers into these types and encodes them again, so
//! that the rest of the router knows no header by name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::Hop;

/// Tokens that a request declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens that it may write.
    pub max_output: u32,
    /// The client's estimate of the tokens that it will write.
    pub output_hint: Option<u32>,
}

/// What a client's request says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the client's attempt.
    pub id: Arc<str>,
    /// How long the client waits.
    pub timeout: Option<Duration>,
    /// The key it presents.
    pub api_key: Option<String>,
    /// Tokens, of a request for a model.
    pub tokens: Option<Tokens>,
    /// The last event that the client has, when it resumes a stream.
    pub last_event: Option<u64>,
}

/// Why a request's headers cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// What the router tells an endpoint about a request.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// The endpoint that is meant.
    pub endpoint: &'a str,
    /// The team whose request it is.
    pub team: Option<&'a str>,
    /// The chain of layers, the first being the endpoint itself.
    pub chain: &'a [Hop],
    /// The last event that was delivered, to resume after it.
    pub last_event: Option<u64>,
    /// Rank at the endpoint, 0 first.
    pub priority: Option<u8>,
}

/// What an endpoint's answer says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// The endpoint of a chain that is at fault.
    pub at_fault: Option<SocketAddr>,
    /// The endpoint that answered, where it names itself.
    pub endpoint: Option<String>,
}

/// What a model engine reports about itself, some hundred milliseconds late.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start that it speaks of, Unix milliseconds.
    pub incarnation: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders begun since its start.
    pub orders_started: u64,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens x layers of KV cache in use.
    pub kv_used: f64,
    /// Layers that it holds.
    pub layers: Option<crate::resource::Layers>,
    /// How many times slower than its card's figures it is.
    pub slowdown: f64,
    /// Requests that wait for an endpoint of their chain, and which.
    pub stalled: Vec<(String, SocketAddr)>,
}

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Order<'a> {
    /// Hold these layers and no others.
    Place {
        /// The layers.
        layers: crate::resource::Layers,
        /// Orders that the engine must have begun before this one.
        after: u64,
        /// Fencing token of the lease under which the order is given.
        fencing_token: u64,
    },
    /// Move a running request to another chain with the same first part.
    Reroute {
        /// Id of the request.
        id: &'a str,
        /// The chain.
        chain: &'a [Hop],
    },
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It began or its state holds already.
    Taken,
    /// It was refused.
    Refused {
        /// Status of the refusal.
        status: u16,
        /// The endpoint of a chain that is at fault.
        at_fault: Option<SocketAddr>,
    },
    /// No answer: it may be carried out now or later.
    Unknown,
}
