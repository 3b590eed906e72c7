//! Explains to operators where a request would go now, without sending it.
//!
//! The request passes the same checks and choices as one that arrives. It draws no random
//! numbers, claims nothing, and leaves no trace in counts, logs and budgets.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use mimosaplatform::inquiry::Inquiry;
use mimosashift::fleet::{Explanation, PlainExplanation};
use mimosashift::quarantine::Verdict;

use super::endpoint::NOT_EXECUTED_RETRY_AFTER;
use super::peer::{Origin, Path, UNREACHABLE_REASON, unreachable_after};
use super::quarantine::blocked_reason;
use super::resolve::{
    Caller, ResolvedRoute, check_directory, resolve_by_installed, resolve_if_confirmed,
};
use super::{
    Call, InFlightGuard, RequestContext, RequestError, chain, check_head, find_service, stop,
};
use crate::body::ResponseBody;
use crate::clock;
use crate::connection::limits_since;
use crate::server::Listener;
use crate::state::RouterState;

mod wire;

/// Path of the explanation.
pub const PATH: &str = "/api/v1/explain";

/// Largest request that is explained, with its head.
const MAX_BYTES: usize = 1024 * 1024;

/// What would become of a request now.
#[derive(Debug)]
pub(super) enum Outcome {
    /// It would be sent to the chosen chain or endpoint.
    Sent,
    /// Another router would serve it, since this one reaches no endpoint of the service.
    Relayed(Arc<str>),
    /// It would wait for memory, and be refused unless that comes.
    Waits {
        /// Requests that wait already.
        waiting: usize,
        /// Longest wait.
        at_most: Duration,
        /// What follows it.
        refusal: Refusal,
    },
    /// It would be refused.
    Refused(Refusal),
}

/// Why a request would be refused.
#[derive(Debug)]
pub(super) struct Refusal {
    /// Status of the response.
    pub(super) status: StatusCode,
    /// Reason, as in the response and in the log.
    pub(super) reason: &'static str,
    /// The layer that is short.
    pub(super) layer: Option<u16>,
    /// Shortest and longest time after which the client would be told to come back.
    pub(super) retry_after: Option<[Duration; 2]>,
}

/// The choice that a request would meet.
#[derive(Debug)]
pub(super) enum Choice {
    /// That of a chain of engines.
    Chain(Explanation),
    /// That of an endpoint of a plain service.
    Endpoint(PlainExplanation),
}

impl Refusal {
    /// The refusal of a request that has not run.
    pub(super) const fn not_run(reason: &'static str, retry_after: [Duration; 2]) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, layer: None, retry_after: Some(retry_after) }
    }
}

impl From<RequestError> for Refusal {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::Denied(status, reason) | RequestError::Failed(status, reason) => {
                Self { status, reason, layer: None, retry_after: None }
            }
            RequestError::Refused(_, reason, after) => Self::not_run(reason, [after; 2]),
        }
    }
}

impl RequestContext {
    /// What keeps the request from the choice of an endpoint.
    pub(super) fn explain_obstacle(&self, is_stopped: bool) -> Option<Outcome> {
        let refused = |reason, after| Some(Outcome::Refused(Refusal::not_run(reason, after)));
        if is_stopped {
            let after = [0.0, 1.0].map(|random| stop::retry_after(&self.state, random));
            return refused(stop::REASON, after);
        }
        if let Verdict::Blocked(content, left) = self.state.contents_verdict(&self.contents) {
            return refused(blocked_reason(content), [left; 2]);
        }
        match self.path(&[]) {
            Path::Direct => None,
            Path::Relayed(relay) => Some(Outcome::Relayed(relay.name.clone())),
            Path::Lost => refused(UNREACHABLE_REASON, [0.0, 1.0].map(unreachable_after)),
        }
    }

    /// Explains what a request to a plain service would meet now.
    pub(super) fn explain_endpoint(&self, is_stopped: bool) -> (Outcome, Choice) {
        let (zone, service) = (self.state.node().zone.clone(), &self.service.name);
        let explanation = self.state.fleet.borrow().explain_endpoint(service, &zone, clock::now());
        let outcome = self.explain_obstacle(is_stopped).unwrap_or_else(|| {
            if explanation.chosen.is_some() {
                return Outcome::Sent;
            }
            let limits = self.known_limit(0.0).zip(self.known_limit(1.0));
            Outcome::Refused(match limits {
                Some(((_, reason, least), (.., most))) => Refusal::not_run(reason, [least, most]),
                None => Refusal::not_run("no endpoint left", [NOT_EXECUTED_RETRY_AFTER; 2]),
            })
        });
        (outcome, Choice::Endpoint(explanation))
    }
}

/// Answers an operator who asks about a request.
pub async fn respond(
    state: &Rc<RouterState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let (status, body) = match Limited::new(request.into_body(), MAX_BYTES).collect().await {
        Ok(head) => match Inquiry::try_from((&*query, head.to_bytes())) {
            Ok(inquiry) => (StatusCode::OK, explain(state, inquiry)),
            Err(malformed) => (StatusCode::BAD_REQUEST, wire::Problem::from(malformed).into()),
        },
        Err(_) => (StatusCode::PAYLOAD_TOO_LARGE, wire::Problem::TOO_LARGE.into()),
    };
    let mut response = Response::new(ResponseBody::Full(Some(body)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// The whole explanation, as JSON. It is made in one go, so that it shows one moment.
fn explain(state: &Rc<RouterState>, inquiry: Inquiry) -> Bytes {
    let mut answer = wire::Answer::new(state);
    match resolve(state, inquiry) {
        Ok((call, resolved, awaits_configuration)) => {
            answer.awaits_configuration = awaits_configuration;
            answer.route = Some((&*resolved.1).into());
            answer.team.clone_from(&resolved.2);
            answer.services = explain_services(state, &call, &resolved);
            if answer.services.is_empty() {
                let error = find_service(&resolved.0, None).err();
                answer.refusal = error.map(|error| Refusal::from(error).into());
            }
        }
        Err(error) => answer.refusal = Some(Refusal::from(error).into()),
    }
    answer.into()
}

/// The route of a request, and whether it would first wait for the configuration.
fn resolve(
    state: &Rc<RouterState>,
    inquiry: Inquiry,
) -> Result<(Call, ResolvedRoute, bool), RequestError> {
    let Inquiry { request, team } = inquiry;
    let (head, body) = request.into_parts();
    let declared = head.headers.get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    let body_bytes = declared.and_then(|length| length.parse().ok()).unwrap_or(body.len() as u64);
    let limits = limits_since(state, Listener::Clients, clock::now());
    let (info, host) = check_head(&head, body_bytes, &limits)?;
    let caller = match &team {
        Some(team) => Caller::Team(team),
        None => Caller::Key(info.api_key.as_deref()),
    };
    let path = head.uri.path();
    let confirmed = resolve_if_confirmed(state, &host, path, caller);
    let awaits_configuration = confirmed.is_none();
    let resolved = confirmed.unwrap_or_else(|| resolve_by_installed(state, &host, path, caller))?;
    check_directory(state)?;
    Ok((Call { head, body, info, host }, resolved, awaits_configuration))
}

/// Explains what the request would meet at each service among which its route is split.
fn explain_services(
    state: &Rc<RouterState>,
    call: &Call,
    resolved: &ResolvedRoute,
) -> Vec<wire::Service> {
    let (deployment, route, _) = resolved;
    let mut services = Vec::new();
    let targets = route.targets.iter().filter(|(_, weight)| *weight > 0);
    for (name, weight) in targets {
        let service = match find_service(deployment, Some(name)) {
            Ok(service) => service,
            Err(error) => {
                services.push(wire::Service::refused(name, *weight, error.into()));
                continue;
            }
        };
        let is_chain = route.kind.is_stream() || service.engine.is_some();
        let ctx = RequestContext::new(
            state,
            call.clone(),
            resolved.clone(),
            service,
            Origin::Client,
            clock::now(),
            Rc::new(Cell::new(false)),
            InFlightGuard::new(state),
        );
        let (outcome, choice) = if is_chain {
            chain::explain::explain(ctx)
        } else {
            let is_stopped =
                stop::outlasts_router(&ctx, |left| stop::probably_outlasts(&ctx, left));
            ctx.explain_endpoint(is_stopped)
        };
        services.push(wire::Service::new(name, *weight, outcome, choice));
    }
    services
}
