//! Sends the call of a posting from its handler thread, as the state machine directs.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderName;

use super::Step;
use crate::http::client::{Failure, Response};
use crate::http::problem::{Effect, Problem};
use crate::http::{Request, Responder};
use crate::node::Node;
use crate::node::installed::Installed;
use crate::node::services::{Target, choose_endpoint, exchange};
use crate::posting::{self, Body, CallResult, Delivery, Digest, Nonce, Reply, claim_key};
use crate::resource::Name;
use crate::time::Instant;

/// Header with the key of a posting.
const KEY_HEADER: &str = "idempotency-key";

/// Header that marks a recorded response.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Header with the SHA-256 digest of a body that was too large to record.
const BODY_DIGEST_HEADER: &str = "idempotency-body-sha256";

/// Headers of a service's response that are recorded and forwarded.
const RECORDED_HEADERS: [&str; 4] = ["content-type", "content-language", "etag", "location"];

/// `Retry-After` if the platform or the service could not be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends a call at most once and responds to its caller.
pub fn post(
    node: &Node,
    installed: &Installed,
    target: &Target<'_>,
    request: &Request,
    responder: Responder,
) {
    let attempt = match new_attempt(node, target, request) {
        Ok(attempt) => attempt,
        Err(problem) => return responder.problem(&problem),
    };
    let keyed = attempt.key.is_some();
    let (id, steps) = node.postings.begin(attempt);
    let mut tried = Vec::new();
    let mut unreachable = false;
    for step in steps {
        match step {
            Step::Send(before) => {
                let sent = send(node, installed, target, request, before, &mut tried);
                unreachable = sent == Sent::NoEndpoint;
                node.postings.delivered(id, sent.into());
            }
            Step::Answer(answer) => return respond(responder, answer, target, keyed, unreachable),
        }
    }
    // The thread that runs the state machines has ended.
    respond(responder, CallResult::Unknown, target, keyed, false);
}

/// Result of sending a call.
#[derive(PartialEq, Eq)]
enum Sent {
    /// The service responded.
    Replied(Reply),
    /// No endpoint could be reached.
    NoEndpoint,
    /// The deadline for sending the call has passed.
    TooLate,
    /// It was sent, but no response was received.
    Lost,
}

impl From<Sent> for Delivery {
    fn from(sent: Sent) -> Self {
        match sent {
            Sent::Replied(reply) => Self::Replied(reply),
            Sent::NoEndpoint | Sent::TooLate => Self::NotConnected,
            Sent::Lost => Self::Lost,
        }
    }
}

/// Builds the attempt for a caller's request.
fn new_attempt(
    node: &Node,
    target: &Target<'_>,
    request: &Request,
) -> Result<posting::Request, Problem> {
    let invalid = |detail: String| Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail);
    let mut keys = request.headers.get_all(KEY_HEADER).iter();
    let key = match (keys.next(), keys.next()) {
        (None, _) => None,
        (Some(_), Some(_)) => return Err(invalid(format!("{KEY_HEADER} is given twice"))),
        (Some(value), None) => {
            let text = value.to_str().map_err(|e| invalid(format!("{KEY_HEADER}: {e}")))?;
            let key = claim_key(target.team, target.service, text);
            Some(key.map_err(|e| invalid(e.to_string()))?)
        }
    };
    Ok(posting::Request {
        key,
        nonce: Nonce(rand::random()),
        digest: Digest::new(request.method.as_str(), target.path, &request.body),
        unix_ms: node.clock.unix_ms(),
    })
}

/// Sends a call over a new connection to the best endpoint not yet tried.
fn send(
    node: &Node,
    installed: &Installed,
    target: &Target<'_>,
    request: &Request,
    before: Instant,
    tried: &mut Vec<Name>,
) -> Sent {
    let Some((name, endpoint)) = choose_endpoint(node, installed, target.service, tried) else {
        return Sent::NoEndpoint;
    };
    tried.push(name.clone());
    if node.clock.now() >= before {
        return Sent::TooLate;
    }
    match exchange(node, name, endpoint, target, request) {
        Ok(answer) => Sent::Replied(reply(answer)),
        Err(Failure::NotSent { .. }) => Sent::NoEndpoint,
        Err(Failure::Lost { .. }) => Sent::Lost,
    }
}

fn reply(answer: Response) -> Reply {
    let header = |name: &&str| {
        let value = answer.header(name)?;
        Some(((*name).to_owned(), value.to_owned()))
    };
    let headers = RECORDED_HEADERS.iter().filter_map(header).collect();
    Reply { status: answer.status.as_u16(), headers, body: Body::Whole(answer.body) }
}

fn respond(
    responder: Responder,
    answer: CallResult,
    target: &Target<'_>,
    keyed: bool,
    unreachable: bool,
) {
    let service = target.service.as_str();
    let problem = match answer {
        CallResult::Replied(reply) => return forward_response(responder, reply, false),
        CallResult::Recorded(reply) => return forward_response(responder, reply, true),
        CallResult::Ran => {
            let detail = "an operator resolved this call as run; its answer is not known";
            Problem::not_run(StatusCode::CONFLICT, "posting-ran", detail)
                .with_effect(Effect::Failed)
        }
        CallResult::Mismatch => {
            let detail = "the key was used before with a different request";
            Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "posting-mismatch", detail)
        }
        CallResult::Unknown if !keyed => {
            let detail = "the call was sent and its answer was lost";
            Problem::not_run(StatusCode::BAD_GATEWAY, "answer-lost", detail)
                .with_effect(Effect::Unknown)
        }
        CallResult::Unknown => {
            let detail = "the call, or an earlier one with this key, may have run";
            Problem::not_run(StatusCode::CONFLICT, "posting-unknown", detail)
                .with_effect(Effect::Unknown)
        }
        CallResult::NotRun if unreachable => {
            let detail = format!("no endpoint of service {service:?} could be reached");
            Problem::not_run(StatusCode::BAD_GATEWAY, "endpoint-unreachable", detail)
                .with_retry_after(RETRY_AFTER)
        }
        CallResult::NotRun => {
            let detail = "the key could not be claimed in the platform's table";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "platform-unavailable", detail)
                .with_retry_after(RETRY_AFTER)
        }
    };
    responder.problem(&problem);
}

/// Forwards a service's response, received now or recorded, to the caller.
fn forward_response(responder: Responder, reply: Reply, replayed: bool) {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let digest;
    let mut headers: Vec<(HeaderName, &str)> = Vec::new();
    for (name, value) in &reply.headers {
        if let Ok(name) = HeaderName::try_from(name.as_str()) {
            headers.push((name, value));
        }
    }
    if replayed {
        headers.push((HeaderName::from_static(REPLAYED_HEADER), "true"));
    }
    let body = match reply.body {
        Body::Whole(body) => body,
        Body::Digest(bytes) => {
            digest = hex::encode(bytes);
            headers.push((HeaderName::from_static(BODY_DIGEST_HEADER), &digest));
            Vec::new()
        }
    };
    responder.send(status, &headers, body);
}
