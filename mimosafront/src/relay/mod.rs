//! Relays a client's request to an endpoint and returns the response.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use mimosaplatform::header;
use mimosashift::admit::rank::Terms;
use mimosashift::connection_pool::Carriers;
use mimosashift::deployment::{Denied, Deployment, Rank, Route, RouteKind, Service, Team};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{self, Forward, Tokens};
use mimosashift::fleet::{Hop, name_key};
use mimosashift::meter::{Outcome, RefusalReason};
use mimosashift::quarantine::{Content, Contents, Fingerprint};
use mimosashift::refusals::Basis;
use mimosashift::time::Instant;

use crate::body::ResponseBody;
use crate::clock;
use crate::connection::limits_since;
use crate::server::Listener;
use crate::state::{RouterState, millis};

use self::peer::{Origin, Relay};

mod answer;
mod chain;
mod collect;
mod endpoint;
mod peer;
mod plain;
mod quarantine;
mod stop;

/// Retry-After of refusals that are not caused by load, such as a missing
/// configuration or keys that may not be accepted: both are checked several
/// times a second.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time limit for confirming the configuration before a request is rejected: a
/// few round trips to the store.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a request waits until the directory has first been read: several calls
/// to the store.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the configuration up to which a route or key may be rejected as
/// unknown if confirming the configuration fails: within the two seconds in which a configuration must
/// take effect.
const MAX_DENIAL_CONFIG_AGE: Duration = Duration::from_millis(1_500);

/// Reason for refusing a request if the endpoints have reached their limits.
const LIMITED_REASON: &str = "endpoints at their limits";

/// Reason for refusing a request if the endpoints want none from this router now.
const RESTING_REASON: &str = "endpoints rest";

/// Reason for giving up a request because the memory for buffered data is used up.
const EXHAUSTED_REASON: &str = "memory for buffered data is used up";

/// Reason for failing a request after an answer that may be another one's.
const STRAY_REASON: &str = "answer to another request";

/// Reason for giving up an answer that ended with its connection after its chain stalled.
const STALLED_REASON: &str = "answer closed after a stall";

/// Reason for giving up an answer that ended with its connection, if the process that gave it is
/// not known to live.
const UNKNOWN_END_REASON: &str = "answer closed by an unknown process";

/// Reason for giving up an answer that ended with its connection, as its endpoint crashed.
const CRASHED_REASON: &str = "answer closed by a crash";

/// Largest whole answer that is accepted.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// An accepted request and what is needed to send it to an endpoint.
pub struct RequestContext {
    state: Rc<RouterState>,
    id: Arc<str>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    route: Arc<Route>,
    service: Arc<Service>,
    team: Option<String>,
    rank: Rank,
    /// How far it may fill engines, given its rank.
    terms: Terms,
    /// Priority for engines; `None` if all requests to the service have the same.
    priority: Option<u8>,
    tokens: Option<Tokens>,
    /// What it may have in common with others that crashes endpoints.
    contents: Contents,
    last_event: Option<u64>,
    origin: Origin,
    arrived: Instant,
    deadline: Instant,
    /// Whether an endpoint may have received it.
    is_sent: Rc<Cell<bool>>,
    /// The connections that have carried it.
    carriers: Rc<Carriers>,
    _in_flight_guard: InFlightGuard,
}

/// The endpoint or router that a request is sent to.
#[derive(Clone, Debug)]
struct Target {
    /// Id of the endpoint, or name of the router.
    name: Arc<str>,
    address: SocketAddr,
}

/// What is known of the run of a request where it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Run {
    /// It certainly has not run.
    None,
    /// It may have run.
    Possible,
}

impl From<&Hop> for Target {
    fn from(hop: &Hop) -> Self {
        Self { name: hop.id.clone(), address: hop.address }
    }
}

impl From<&Relay> for Target {
    fn from(relay: &Relay) -> Self {
        Self { name: relay.name.clone(), address: relay.address }
    }
}

impl Run {
    /// Name in logs.
    const fn label(self) -> &'static str {
        match self {
            Self::None => "not run",
            Self::Possible => "may have run",
        }
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard(Rc<RouterState>);

/// Outcome of a request for which no endpoint's response is returned.
#[derive(Clone, Debug)]
pub enum RequestError {
    /// The request is not allowed or not valid.
    Denied(StatusCode, &'static str),
    /// The request has not been executed and will not be.
    Refused(RefusalReason, &'static str, Duration),
    /// The request may have been executed.
    Failed(StatusCode, &'static str),
}

impl InFlightGuard {
    fn new(state: &Rc<RouterState>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl RequestContext {
    /// Time until the deadline.
    fn remaining(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// The request as sent to an endpoint.
    fn request(&self, hop: &Hop, chain: &[Hop], last_event: Option<u64>) -> Request<Full<Bytes>> {
        self.is_sent.set(true);
        let forward = Forward {
            remaining: self.remaining(),
            endpoint: &hop.id,
            team: self.team.as_deref(),
            chain,
            last_event,
            priority: self.priority,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = header::forward(&self.headers, &forward);
        request
    }

    /// Logs a send to the first endpoint of a chain.
    fn log_sent(&self, attempt: u32, first: &Hop, to: &str, inputs: &str) {
        let state = &self.state;
        self.withdraw_refusal(&first.id);
        emit!(
            state.log, Event::RequestSent,
            "request" => &*self.id, "attempt" => attempt, "to" => to, "address" => first.address.to_string(), "inputs" => inputs,
            "contents" => self.describe_contents(), "route" => &*self.route.name, "left_ms" => millis(self.remaining()),
            "revision" => state.revision(), "config_age_ms" => state.config_age_ms(),
            "directory_age_ms" => state.directory_age_ms(), "relayed_by" => self.origin.relayed_by(),
        );
    }

    /// Forgets that an endpoint or router refused the request, which it gets once more.
    fn withdraw_refusal(&self, by: &str) {
        self.state.refusals.borrow_mut().withdraw(name_key(&self.id), name_key(by));
    }

    /// Records the end of a send whose answer is not passed on.
    fn record_send_ended(&self, attempt: u32, to: &Target, run: Run, reason: &str) {
        emit!(
            self.state.log, Event::SendEnded,
            "request" => &*self.id, "attempt" => attempt, "to" => &*to.name,
            "address" => to.address.to_string(), "connection" => self.connection(),
            "outcome" => run.label(), "reason" => reason,
        );
        if run == Run::None {
            let basis = Basis::Refusal(name_key(&to.name));
            self.state.refusals.borrow_mut().record(name_key(&self.id), basis, clock::now());
        }
    }

    /// Number of the connection of the last send, for logs.
    fn connection(&self) -> Option<String> {
        self.carriers.last().map(|connection| connection.to_string())
    }

    fn log_given_up(&self, by: &str) {
        let usage = self.state.budget.usage();
        emit!(
            self.state.log, Event::AnswerGivenUp,
            "request" => &*self.id, "by" => by, "buffered" => usage.bytes, "limit" => usage.limit,
        );
    }

    /// Records the time that the answer took, for its route.
    fn record_latency(&self) {
        let mut latencies = self.state.route_latency.borrow_mut();
        let latency = latencies.entry(self.route.name.clone()).or_default();
        latency.record(clock::now().since(self.arrived));
    }

    fn log_answered(&self, status: StatusCode, by: &str) {
        let ms = millis(clock::now().since(self.arrived));
        emit!(
            self.state.log, Event::RequestAnswered,
            "request" => &*self.id, "status" => status.as_u16(), "by" => by,
            "connection" => self.connection(), "ms" => ms,
        );
    }
}

/// Handles one request.
pub async fn handle(
    state: Rc<RouterState>,
    listener: Listener,
    mut request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = clock::now();
    let origin = match listener {
        Listener::Clients => Origin::Client,
        Listener::Routers => Origin::take(request.headers_mut()),
    };
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let id = request.headers().get(header::REQUEST_ID).cloned();
    let is_sent = Rc::new(Cell::new(origin.executions() > 0));
    let result = tokio::select! {
        biased;
        () = stop::deadline(&state) => Err(stop::error(&state, is_sent.get())),
        result = relay(&state, request, listener, origin, arrived, is_sent.clone()) => result,
    };
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            let mut response = error_response(&state, id.as_ref(), &error, arrived);
            let is_refusal = matches!(error, RequestError::Refused(..));
            if is_refusal && listener == Listener::Routers {
                peer::state_not_run(response.headers_mut());
            }
            response
        }
    };
    if is_sent.get()
        && exchange::is_promise(response.status().as_u16())
        && let Some(id) = id.as_ref().and_then(|id| id.to_str().ok())
    {
        let mut refusals = state.refusals.borrow_mut();
        refusals.record(name_key(id), Basis::Promise, clock::now());
    }
    if is_chunked || state.stopping.is_set() {
        // Clients leave a router that is stopping with the response. A message with both
        // `Content-Length` and `Transfer-Encoding` may smuggle in a second request; a
        // connection that has carried a chunked request is not reused.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn relay(
    state: &Rc<RouterState>,
    request: Request<Incoming>,
    listener: Listener,
    origin: Origin,
    arrived: Instant,
    is_sent: Rc<Cell<bool>>,
) -> Result<Response<ResponseBody>, RequestError> {
    let version = request.version();
    let ctx = accept(state, request, listener, origin, arrived, is_sent).await?;
    let response = match (ctx.route.kind, &ctx.service.engine) {
        (RouteKind::Stream { .. }, _) | (_, Some(_)) => chain::relay(ctx).await?,
        (RouteKind::Safe | RouteKind::Unsafe, None) => plain::relay(ctx).await?,
    };
    if version < Version::HTTP_11 {
        collect::buffer_stream(state, response).await
    } else {
        Ok(response)
    }
}

/// Validates a request against the configuration and reads its body.
async fn accept(
    state: &Rc<RouterState>,
    request: Request<Incoming>,
    listener: Listener,
    origin: Origin,
    arrived: Instant,
    is_sent: Rc<Cell<bool>>,
) -> Result<RequestContext, RequestError> {
    let in_flight = InFlightGuard::new(state);
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::Denied(StatusCode::BAD_REQUEST, "two framings"));
    }
    let info = header::request(headers)
        .map_err(|malformed| RequestError::Denied(StatusCode::BAD_REQUEST, malformed.0))?;
    let host = host(&head.uri, headers)
        .ok_or(RequestError::Denied(StatusCode::BAD_REQUEST, "host is missing"))?
        .to_owned();
    let limit = limits_since(state, listener, arrived);
    if head_size(&head) > limit.head_bytes {
        return Err(RequestError::Denied(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "head too large",
        ));
    }
    if body.size_hint().lower() > limit.body_bytes as u64 {
        return Err(RequestError::Denied(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    }
    let body = collect::read_body(state, body, listener, arrived).await?;
    let path = head.uri.path();
    let (deployment, route, team) =
        resolve_route(state, &host, path, info.api_key.as_deref()).await?;
    wait_for_directory(state).await?;
    let target = route.target(state.random_fraction());
    let service = target.and_then(|service| deployment.service(service)).cloned();
    let service = service.ok_or(RequestError::Refused(
        RefusalReason::NoEndpoint,
        "service is not declared",
        DEFAULT_RETRY_AFTER,
    ))?;
    if origin == Origin::Client {
        state.count_request(&service.name);
    }
    let ranks = deployment.ranks(&service.name);
    let rank = Rank::of(&route, team.as_deref());
    let terms = state.ladder.borrow_mut().terms(&service.name, &ranks, rank);
    let priority = (service.engine.is_some() && ranks.differ()).then(|| rank.level());
    let team = team.map(|team| team.name.clone());
    let target = origin_form(&head.uri);
    let (method, path) = (head.method.as_str(), target.to_string());
    let fingerprint = Fingerprint::new(team.as_deref(), method, &host, &path, &body);
    let parts = info.shared_parts.into_iter().map(Content::Part);
    let time_limit = info.timeout.map_or(route.timeout, |limit| limit.min(route.timeout));
    Ok(RequestContext {
        state: state.clone(),
        id: info.id,
        method: head.method,
        uri: target,
        headers: head.headers,
        body,
        route,
        service,
        team,
        rank,
        terms,
        priority,
        tokens: info.tokens,
        contents: parts.chain([Content::Request(fingerprint)]).collect(),
        last_event: info.last_event,
        origin,
        arrived,
        deadline: arrived + time_limit,
        is_sent,
        carriers: Rc::default(),
        _in_flight_guard: in_flight,
    })
}

/// Size of the head, in bytes; spaces that carry no meaning do not count.
fn head_size(head: &Parts) -> usize {
    let headers = head.headers.iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    let target = head.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let first = head.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    first + lines.sum::<usize>() + "\r\n".len()
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    uri.host().or_else(|| headers.get(HOST)?.to_str().ok())
}

/// Path and query only (origin form), as endpoints expect.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

/// Waits until a router that has just started has read the endpoint directory: until then
/// it does not know whether a request can be served.
async fn wait_for_directory(state: &RouterState) -> Result<(), RequestError> {
    if state.directory_read_at().is_none() {
        // The outcome shows below.
        drop(tokio::time::timeout(DIRECTORY_TIMEOUT, state.directory_read.notified()).await);
    }
    match state.directory_read_at() {
        Some(_) => Ok(()),
        None => Err(RequestError::Refused(
            RefusalReason::NotReady,
            "endpoints not known",
            DEFAULT_RETRY_AFTER,
        )),
    }
}

/// A configuration, the route of a request in it, and its team.
type ResolvedRoute = (Rc<Deployment>, Arc<Route>, Option<Arc<Team>>);

/// Resolves the route and team of a request against a configuration that is
/// recent enough to deny the request or accept its key.
async fn resolve_route(
    state: &RouterState,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<ResolvedRoute, RequestError> {
    let not_ready =
        |reason| Err(RequestError::Refused(RefusalReason::NotReady, reason, DEFAULT_RETRY_AFTER));
    let resolved = lookup(state, host, path, key);
    let (resolved, fresh) = match resolved {
        Some(Ok(resolved)) if resolved.1.public || state.keys_are_current() => return Ok(resolved),
        resolved => {
            let now = clock::now();
            let max_age = state.peers.borrow().fresh_config_age(now);
            let fresh = state.config_freshness.get().age(now).is_some_and(|age| age < max_age);
            (resolved, fresh)
        }
    };
    let resolved = if fresh {
        resolved
    } else {
        state.config_refresh.notify_one();
        // If this times out, the installed configuration is used unless it is
        // too old.
        drop(tokio::time::timeout(CONFIRMATION_TIMEOUT, state.config_confirmed.notified()).await);
        let age = state.config_freshness.get().age(clock::now());
        if age.is_none_or(|age| age > MAX_DENIAL_CONFIG_AGE)
            || state.active_config.borrow().is_none()
        {
            return not_ready("configuration not confirmed");
        }
        lookup(state, host, path, key)
    };
    match resolved {
        Some(Ok(resolved)) if resolved.1.public || state.keys_are_current() => Ok(resolved),
        Some(Ok(_)) => not_ready("keys not confirmed"),
        Some(Err(Denied::NoRoute)) => Err(RequestError::Denied(StatusCode::NOT_FOUND, "no route")),
        Some(Err(Denied::InvalidKey)) => {
            Err(RequestError::Denied(StatusCode::UNAUTHORIZED, "unknown key"))
        }
        None => not_ready("no configuration"),
    }
}

fn lookup(
    state: &RouterState,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Option<Result<ResolvedRoute, Denied>> {
    let deployment = state.deployment()?;
    let Some(route) = deployment.route(host, path).cloned() else {
        return Some(Err(Denied::NoRoute));
    };
    let team = match deployment.team(&route, key) {
        Ok(team) => team.cloned(),
        Err(denied) => return Some(Err(denied)),
    };
    Some(Ok((deployment, route, team)))
}

/// A response made by the router itself, without an endpoint's signature.
fn error_response(
    state: &RouterState,
    id: Option<&HeaderValue>,
    error: &RequestError,
    arrived: Instant,
) -> Response<ResponseBody> {
    let request = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let ms = millis(clock::now().since(arrived));
    let (status, reason, retry_after) = match error {
        RequestError::Denied(status, reason) => {
            state.meter.requests(1, Outcome::Refused);
            state.meter.refusals(1, RefusalReason::Invalid);
            emit!(state.log, Event::RequestDenied, "request" => request, "status" => status.as_u16(), "reason" => *reason, "revision" => state.revision(), "config_age_ms" => state.config_age_ms());
            (*status, reason, None)
        }
        RequestError::Refused(kind, reason, retry_after) => {
            state.meter.requests(1, Outcome::Refused);
            state.meter.refusals(1, *kind);
            emit!(state.log, Event::RequestRefused, "request" => request, "reason" => *reason, "ms" => ms, "retry_after_ms" => millis(*retry_after), "revision" => state.revision(), "config_age_ms" => state.config_age_ms(), "directory_age_ms" => state.directory_age_ms());
            (StatusCode::SERVICE_UNAVAILABLE, reason, Some(*retry_after))
        }
        RequestError::Failed(status, reason) => {
            state.meter.requests(1, Outcome::Failed);
            emit!(state.log, Event::RequestFailed, "request" => request, "status" => status.as_u16(), "reason" => *reason, "ms" => ms);
            (*status, reason, None)
        }
    };
    let body = format!("{{\"error\":\"{reason}\"}}");
    let mut response = Response::new(ResponseBody::Full(Some(body.into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = id {
        headers.insert(header::REQUEST_ID, id.clone());
    }
    if let Some(retry_after) = retry_after {
        let (name, value) = header::retry_after(retry_after);
        headers.insert(name, value);
    }
    response
}

/// How a request ended that another router has answered.
fn relayed_outcome(status: StatusCode) -> Outcome {
    match status {
        status if status.is_success() => Outcome::Completed,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Forwards an endpoint's response, except for hop-by-hop headers.
fn forward_response(head: &Response<()>, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status();
    *response.headers_mut() = header::end_to_end(head.headers());
    peer::remove_outcome(response.headers_mut());
    response
}
