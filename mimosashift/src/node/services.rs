//! Calls to plain services.

use std::time::Duration;

use hyper::{Method, StatusCode};
use smallvec::SmallVec;

use super::Node;
use super::installed::Installed;
use super::postings;
use crate::health::{Availability, Exchange, HealthView};
use crate::http::client::{Call, Failure, Response};
use crate::http::problem::{Effect, Problem};
use crate::http::{Request, Responder};
use crate::resource::{Endpoint, Name, Role};

/// Request headers that are forwarded to a service.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", "traceparent", "idempotency-key"];

/// Maximum number of endpoints to which an idempotent call is sent without an
/// answer. A call that ends each endpoint must not reach all of them.
const MAX_LOST_CALLS: usize = 3;

/// A call to one service.
pub struct Target<'a> {
    /// The team of the caller.
    pub team: &'a Name,
    /// The service.
    pub service: &'a Name,
    /// Path and query at the service.
    pub path: &'a str,
    /// Timeout of one exchange.
    pub timeout: Duration,
    /// Whether the call may be sent more than once.
    pub idempotent: bool,
}

/// Forwards a call. An idempotent one is retried at other endpoints; any other
/// becomes a posting, which is sent at most once.
pub fn forward(
    node: &Node,
    installed: &Installed,
    target: &Target<'_>,
    request: &Request,
    responder: Responder,
) {
    if !target.idempotent {
        return postings::post(node, installed, target, request, responder);
    }
    let mut tried = Vec::new();
    let mut lost: SmallVec<[Failure; MAX_LOST_CALLS]> = SmallVec::new();
    while let Some((name, endpoint)) = choose_endpoint(node, installed, target.service, &tried) {
        tried.push(name.clone());
        match exchange(node, name, endpoint, target, request) {
            Ok(response) => return forward_response(responder, response),
            Err(Failure::NotSent { .. }) => {}
            Err(failure) => {
                lost.push(failure);
                let is_last = lost.len() == MAX_LOST_CALLS;
                if is_last || node.lock_budget().take(node.clock.now()).is_err() {
                    break;
                }
            }
        }
    }
    let problem = match lost.last() {
        Some(failure) => lost_problem(failure),
        None => unreachable_problem(target.service, tried.is_empty()),
    };
    responder.problem(&problem);
}

/// The best endpoint of a service not yet tried: ordered by availability, then
/// own failure domain first, then load.
pub fn choose_endpoint<'a>(
    node: &Node,
    installed: &'a Installed,
    service: &Name,
    tried: &[Name],
) -> Option<(&'a Name, &'a Endpoint)> {
    let now = node.clock.now();
    let own = node.settings.domain();
    let health = node.lock_health();
    let serves = |endpoint: &Endpoint| endpoint.role == Role::Service(service.clone());
    let candidates = installed.snapshot().endpoints();
    candidates
        .filter(|(name, endpoint)| serves(endpoint) && !tried.contains(name))
        .map(|(name, endpoint)| (health.condition(name, now), name, endpoint))
        .filter(|(condition, ..)| condition.availability != Availability::Leaving)
        .min_by_key(|(condition, _, endpoint)| {
            (condition.availability, endpoint.domain != *own, condition.sequences)
        })
        .map(|(_, name, endpoint)| (name, endpoint))
}

/// Makes one exchange and records its result in the endpoint's health.
pub fn exchange(
    node: &Node,
    name: &Name,
    endpoint: &Endpoint,
    target: &Target<'_>,
    request: &Request,
) -> Result<Response, Failure> {
    let headers: Vec<(&str, &str)> =
        FORWARDED_HEADERS.iter().filter_map(|name| Some((*name, request.header(name)?))).collect();
    let call = Call {
        address: endpoint.address,
        method: request.method.clone(),
        path: target.path,
        headers: &headers,
        body: &request.body,
        timeout: target.timeout,
        fresh: !target.idempotent,
    };
    let sent = node.clock.now();
    node.lock_health().begin(name, sent);
    let response = node.client.call(&call);
    let now = node.clock.now();
    let mut health = node.lock_health();
    health.end(name, sent);
    match &response {
        Ok(response) => {
            let exchange = Exchange {
                layers: 0,
                tokens: 0,
                bytes: response.body.len() as u64,
                total: now.since(sent),
                service: None,
            };
            health.record_success(name, &exchange, now);
        }
        Err(failure) => {
            let mut rng = rand::SeedableRng::seed_from_u64(rand::random());
            health.record_failure(name, &failure.clone().into(), sent, now, &mut rng);
        }
    }
    response
}

/// Whether a service declares a method as idempotent.
pub fn is_idempotent(methods: &[String], method: &Method) -> bool {
    methods.iter().any(|declared| declared.eq_ignore_ascii_case(method.as_str()))
}

/// Forwards a service's response to the caller.
pub fn forward_response(responder: Responder, response: Response) {
    let content_type =
        response.header("content-type").unwrap_or("application/octet-stream").to_owned();
    responder.send(response.status, &[(hyper::header::CONTENT_TYPE, &content_type)], response.body);
}

fn lost_problem(failure: &Failure) -> Problem {
    Problem::not_run(StatusCode::BAD_GATEWAY, "answer-lost", failure.to_string())
        .with_effect(Effect::Failed)
}

fn unreachable_problem(service: &Name, none_tried: bool) -> Problem {
    let detail = if none_tried {
        format!("no endpoint of service {:?} is live", service.as_str())
    } else {
        format!("no endpoint of service {:?} could be reached", service.as_str())
    };
    Problem::not_run(StatusCode::BAD_GATEWAY, "endpoint-unreachable", detail)
}
