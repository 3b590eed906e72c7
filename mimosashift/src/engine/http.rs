//! The engine protocol over HTTP, as `docs/ENGINE.md` describes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::{Failure, Input, Label, Load, Output, Reply, RequestId, Step};
use crate::http::client::{self, Call, Client, Response};
use crate::resource::Name;

/// Header that carries the labels of a step and of its reply.
pub const STEP_HEADER: &str = "x-engine-step";

/// Timeout of calls that run no layers.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Content of a step's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Content {
    /// Token ids, 4 bytes each, little-endian.
    Tokens,
    /// Activations.
    Hidden,
}

/// The header of a step or reply, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Labels of the step.
    #[serde(flatten)]
    pub label: Label,
    /// Content of the body.
    pub content: Content,
    /// Priority level, 0 first.
    #[serde(default)]
    pub priority: u8,
    /// Name of the adapter, if any.
    #[serde(default)]
    pub adapter: Option<Name>,
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// One of the codes in `docs/ENGINE.md`.
    pub code: Code,
    /// Description of the problem.
    pub detail: String,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// No KV cache for this request and attempt.
    NoCache,
    /// The engine is shutting down.
    Leaving,
    /// All slots are in use.
    Overloaded,
    /// The engine cannot run this step.
    Refused,
}

/// Asks an engine to fetch the KV cache of a request from another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Address of the engine that holds the cache.
    pub from: SocketAddr,
    /// Labels under which that engine stores it; `position` is the number of
    /// tokens that it must cover.
    pub source: Label,
    /// Attempt under which this engine stores it.
    pub attempt: u32,
}

/// Calls engines over HTTP.
#[derive(Clone)]
pub struct Adapter {
    client: Arc<Client>,
}

impl Adapter {
    /// An adapter that sends its calls with `client`.
    pub fn new(client: Arc<Client>) -> Self {
        Self { client }
    }

    /// Runs one step and waits for its reply.
    pub fn step(
        &self,
        address: SocketAddr,
        step: &Step,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        let (header, body) = encode(step);
        let headers = [(STEP_HEADER, header.as_str())];
        let call = call(address, Method::POST, "/v1/steps", &headers, &body, timeout);
        let response = self.client.call(&call).map_err(Failure::from)?;
        decode_reply(&response)
    }

    /// Releases the state that an engine holds for a request, up to and including
    /// `attempt`.
    pub fn cancel(&self, address: SocketAddr, request: RequestId, attempt: u32) {
        let path = format!("/v1/requests/{request}?attempt={attempt}");
        let call = call(address, Method::DELETE, &path, &[], &[], CONTROL_TIMEOUT);
        // A lost cancel is harmless: the engine frees the memory at its own expiry.
        let _ = self.client.call(&call);
    }

    /// Asks an engine to import KV cache from another engine.
    pub fn import(
        &self,
        address: SocketAddr,
        import: &Import,
        timeout: Duration,
    ) -> Result<(), Failure> {
        let body = serde_json::to_vec(import).expect("an import has only string keys");
        let call = call(address, Method::POST, "/v1/imports", &[], &body, timeout);
        let response = self.client.call(&call).map_err(Failure::from)?;
        if response.status.is_success() { Ok(()) } else { Err(refusal(&response)) }
    }

    /// Reads an engine's load report.
    pub fn load(&self, address: SocketAddr) -> Result<Load, Failure> {
        let call = call(address, Method::GET, "/v1/load", &[], &[], CONTROL_TIMEOUT);
        let response = self.client.call(&call).map_err(Failure::from)?;
        serde_json::from_slice(&response.body).map_err(|e| Failure::Malformed(e.to_string()))
    }
}

impl From<client::Failure> for Failure {
    fn from(failure: client::Failure) -> Self {
        match failure {
            client::Failure::NotSent { reason, .. } => Self::Unreachable(reason),
            client::Failure::Lost { waited, .. } => Self::Silent(waited),
        }
    }
}

/// Encodes a step as header and body.
pub fn encode(step: &Step) -> (String, Vec<u8>) {
    let (content, body) = match &step.input {
        Input::Tokens(tokens) => {
            (Content::Tokens, tokens.iter().flat_map(|t| t.to_le_bytes()).collect())
        }
        Input::Hidden(hidden) => (Content::Hidden, hidden.clone()),
    };
    let header = Header {
        label: step.label.clone(),
        content,
        priority: step.priority,
        adapter: step.adapter.clone(),
    };
    (serde_json::to_string(&header).expect("a header has only string keys"), body)
}

/// Decodes a step from header and body.
pub fn decode(header: &str, body: &[u8]) -> Result<Step, Failure> {
    let header: Header =
        serde_json::from_str(header).map_err(|e| Failure::Malformed(e.to_string()))?;
    let input = match header.content {
        Content::Tokens => Input::Tokens(decode_tokens(body)?),
        Content::Hidden => Input::Hidden(body.to_vec()),
    };
    Ok(Step { label: header.label, priority: header.priority, adapter: header.adapter, input })
}

fn decode_reply(response: &Response) -> Result<Reply, Failure> {
    if response.status != StatusCode::OK {
        return Err(refusal(response));
    }
    if !response.is_delimited() {
        return Err(Failure::Malformed("a reply with neither a length nor chunks".to_owned()));
    }
    let header = response
        .header(STEP_HEADER)
        .ok_or_else(|| Failure::Malformed(format!("no {STEP_HEADER} header")))?;
    let header: Header =
        serde_json::from_str(header).map_err(|e| Failure::Malformed(e.to_string()))?;
    let output = match header.content {
        Content::Hidden => Output::Hidden(response.body.clone()),
        Content::Tokens => match decode_tokens(&response.body)?[..] {
            [token] => Output::Token(token),
            ref tokens => {
                let reason = format!("{} tokens in a reply, must be 1", tokens.len());
                return Err(Failure::Malformed(reason));
            }
        },
    };
    Ok(Reply { label: header.label, output })
}

fn decode_tokens(body: &[u8]) -> Result<Vec<u32>, Failure> {
    let chunks = body.chunks_exact(size_of::<u32>());
    if !chunks.remainder().is_empty() {
        let reason = format!("{} bytes of tokens, must be a multiple of 4", body.len());
        return Err(Failure::Malformed(reason));
    }
    let token = |chunk: &[u8]| u32::from_le_bytes(chunk.try_into().expect("chunks have 4 bytes"));
    Ok(chunks.map(token).collect())
}

fn refusal(response: &Response) -> Failure {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(&response.body) else {
        return Failure::Malformed(format!(
            "status {} without a refusal",
            response.status.as_u16()
        ));
    };
    match refusal.code {
        Code::NoCache => Failure::NoCache,
        Code::Leaving => Failure::Leaving,
        Code::Overloaded => Failure::Overloaded,
        Code::Refused => Failure::Refused(refusal.detail),
    }
}

fn call<'a>(
    address: SocketAddr,
    method: Method,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a [u8],
    timeout: Duration,
) -> Call<'a> {
    Call { address, method, path, headers, body, timeout, fresh: false }
}
