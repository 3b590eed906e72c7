//! Metadata of requests and responses, and messages to and from model engines.
//!
//! An adapter converts between these types and a platform's headers and bodies,
//! so that the rest of the router does not depend on their names.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::fleet::Hop;

/// Token counts declared by a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub max_output: u32,
    /// The client's estimate of the number of output tokens.
    pub output_hint: Option<u32>,
}

/// Part of a prompt that several requests may have in common, such as
/// instructions or a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart {
    /// Key of the model that reads it; a hash of its name.
    pub model: u64,
    /// Id of its content.
    pub id: u64,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.id)
    }
}

/// Parts of one prompt, in order.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// Metadata of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the client's attempt.
    pub id: Arc<str>,
    /// How long the client waits for the response.
    pub timeout: Option<Duration>,
    /// The API key that it presents.
    pub api_key: Option<String>,
    /// Token counts, for requests to a model.
    pub tokens: Option<Tokens>,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: PromptParts,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Why a request's headers cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Metadata that the router sends to an endpoint with a request.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Id of the target endpoint.
    pub endpoint: &'a str,
    /// Name of the team that sent the request.
    pub team: Option<&'a str>,
    /// The chain of endpoints, starting with the target endpoint.
    pub chain: &'a [Hop],
    /// Id of the last event delivered to the client, to resume after it.
    pub last_event: Option<u64>,
    /// Priority level at the endpoint, 0 first.
    pub priority: Option<u8>,
}

/// Requests per second that an endpoint takes from all routers together; finite and
/// not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// The rate in requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = Malformed;

    fn try_from(per_second: f64) -> Result<Self, Malformed> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(Malformed("a request rate is out of range"))
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = Malformed;

    fn try_from(text: &str) -> Result<Self, Malformed> {
        let per_second: f64 =
            text.trim().parse().map_err(|_| Malformed("a request rate is not a number"))?;
        per_second.try_into()
    }
}

/// Time for which an endpoint wants no requests from the router that it answers; at most
/// an hour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest(Duration);

/// Longest rest. The log shows an endpoint that asks for more.
const MAX_REST: Duration = Duration::from_secs(3_600);

impl Rest {
    /// Its length.
    pub const fn length(self) -> Duration {
        self.0
    }
}

impl TryFrom<&str> for Rest {
    type Error = Malformed;

    /// Parses a number of seconds, which may have a fraction.
    fn try_from(text: &str) -> Result<Self, Malformed> {
        let seconds: f64 =
            text.trim().parse().map_err(|_| Malformed("a rest is not a number of seconds"))?;
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(Malformed("a rest is out of range"));
        }
        Ok(Self(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64()))))
    }
}

/// Metadata of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request to which it responds.
    pub id: Option<String>,
    /// Whether it carries the endpoint's signature.
    pub signed: bool,
    /// Whether it states that the request was not executed.
    pub not_run: bool,
    /// The faulty endpoint of a chain.
    pub at_fault: Option<SocketAddr>,
    /// Id of the endpoint that responded, if given.
    pub endpoint: Option<String>,
    /// Limit on the requests that the endpoint takes, if it names one.
    pub request_limit: Option<Result<RequestRate, Malformed>>,
    /// Whether the endpoint is about to shut down.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests, if it names one; it counts with a
    /// rejection only.
    pub rest: Option<Result<Rest, Malformed>>,
}

impl ResponseInfo {
    /// Whether this answers the request with that id, or one without an id. Servers return
    /// the id; an answer without it may be a copy of an earlier one, whatever it says.
    pub fn answers(&self, request: Option<&str>) -> bool {
        self.id.as_deref() == request
    }

    /// Whether this is the answer of another router that has refused the request, so that it was
    /// not run there. The router must state it: a status that it passes on proves nothing. An
    /// answer of an endpoint is signed.
    pub const fn is_refusal(&self, states_not_run: bool) -> bool {
        !self.signed && states_not_run
    }
}

/// Whether a router promises with this status that a request has not run and never will. What
/// it promises follows from what it knows of the run, never from the status of an endpoint; see
/// `docs/design/http.md`, "Promises".
pub const fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// State that a model engine reports; it lags by several hundred milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start time in Unix milliseconds, which identifies the engine's start.
    pub incarnation: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that the engine has begun since its start.
    pub orders_started: u64,
    /// Requests in the queue.
    pub waiting: u32,
    /// Requests being executed.
    pub running: u32,
    /// KV cache in use, in tokens x layers.
    pub kv_used: f64,
    /// KV cache that it has, in tokens x layers.
    pub kv_total: f64,
    /// Layers that it holds.
    pub layers: Option<crate::resource::Layers>,
    /// Step time relative to the nominal step time of its card.
    pub slowdown: f64,
    /// Requests that wait for an endpoint of their chain, with its address.
    pub stalled: Vec<(String, SocketAddr)>,
}

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Order<'a> {
    /// Load these layers and release all others.
    Place {
        /// Layers to hold.
        layers: crate::resource::Layers,
        /// Number of orders that the engine must have begun before this one.
        after: u64,
        /// Fencing token of the lease under which the order is given.
        fencing_token: u64,
    },
    /// Move a running request to another chain that starts with the same hops.
    Reroute {
        /// Id of the request.
        id: &'a str,
        /// The new chain.
        chain: &'a [Hop],
    },
}

/// Result of sending an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Execution began, or the requested state is already in place.
    Taken,
    /// The engine refused it.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// The faulty endpoint of a chain.
        at_fault: Option<SocketAddr>,
    },
    /// No response to the order: it may be executed now, later or never.
    Unknown,
}
