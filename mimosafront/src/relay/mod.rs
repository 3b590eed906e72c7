//! Takes a client's request to an endpoint and the answer back.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING,
};
use hyper::{Method, Request, Response, StatusCode, Uri};
use mimosaplatform::header;
use mimosashift::deployment::{Denied, Deployment, Route, Service};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{Answer as Said, Forward, Tokens};
use mimosashift::fleet::Hop;
use mimosashift::meter::{Outcome, RefusalReason};
use mimosashift::time::Instant;

use crate::body::{Answer, BrokenOff};
use crate::clock;
use crate::front::{Front, millis};

mod model;
mod plain;

/// When a client is told to come back while the router has no configuration
/// or cannot use keys: both are looked for several times a second.
const UNREADY_RETRY: Duration = Duration::from_millis(500);

/// Time to wait for the configuration to be confirmed before a request is
/// denied or refused for want of it: a few round trips to the store.
const CONFIRM_WAIT: Duration = Duration::from_millis(150);

/// Age of the configuration up to which a route or key may be called unknown
/// without another look.
const DENY_AGE: Duration = Duration::from_millis(250);

/// Age up to which it may be called unknown if another look brings nothing:
/// within the two seconds in which a configuration must take hold.
const MAX_DENY_AGE: Duration = Duration::from_millis(1_500);

/// A request that may be sent to an endpoint.
pub struct Job {
    front: Rc<Front>,
    id: Arc<str>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    route: Arc<Route>,
    service: Arc<Service>,
    team: Option<String>,
    tokens: Option<Tokens>,
    last_event: Option<u64>,
    arrived: Instant,
    deadline: Instant,
    _in_flight: InFlight,
}

/// Counts a request as in flight until it is dropped.
struct InFlight(Rc<Front>);

/// How a request ends that gets no endpoint's answer.
#[derive(Clone, Debug)]
pub enum End {
    /// It is not allowed or not valid.
    Denied(StatusCode, &'static str),
    /// It has not run and will not run.
    Refused(RefusalReason, &'static str, Duration),
    /// It may have run.
    Failed(StatusCode, &'static str),
}

impl InFlight {
    fn new(front: &Rc<Front>) -> Self {
        front.in_flight.set(front.in_flight.get() + 1);
        Self(front.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Job {
    /// Time that is left.
    fn left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// The request as an endpoint gets it.
    fn request(&self, hop: &Hop, chain: &[Hop], last_event: Option<u64>) -> Request<Full<Bytes>> {
        let forward = Forward {
            left: self.left(),
            endpoint: &hop.id,
            team: self.team.as_deref(),
            chain,
            last_event,
            priority: None,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = header::forward(&self.headers, &forward);
        request
    }

    /// Whether an answer belongs to this request.
    fn owns(&self, said: &Said, status: StatusCode) -> bool {
        match &said.id {
            Some(id) => **id == *self.id,
            None => !status.is_success(),
        }
    }

    fn log_sent(&self, attempt: u32, to: &str, inputs: &str) {
        let front = &self.front;
        emit!(
            front.log, Event::RequestSent,
            "request" => &*self.id, "attempt" => attempt, "to" => to, "inputs" => inputs,
            "route" => &*self.route.name, "left_ms" => millis(self.left()),
            "revision" => front.revision(), "config_age_ms" => front.config_age_ms(),
            "directory_age_ms" => front.directory_age_ms(),
        );
    }

    fn log_answered(&self, status: StatusCode, by: &str) {
        let ms = millis(clock::now().since(self.arrived));
        emit!(
            self.front.log, Event::RequestAnswered,
            "request" => &*self.id, "status" => status.as_u16(), "by" => by, "ms" => ms,
        );
    }
}

/// Answers one request.
pub async fn handle(
    front: Rc<Front>,
    request: Request<Incoming>,
) -> Result<Response<Answer>, BrokenOff> {
    let arrived = clock::now();
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let id = request.headers().get(header::REQUEST_ID).cloned();
    let answered = match accept(&front, request, arrived).await {
        Ok(job) if job.service.engine.is_some() => model::relay(job).await,
        Ok(job) => plain::relay(job).await,
        Err(end) => Err(end),
    };
    let mut response = match answered {
        Ok(response) => response,
        Err(end) => own_answer(&front, id.as_ref(), &end, arrived),
    };
    if chunked {
        // A message with both framings may hide another one behind it; a
        // connection that has carried chunks is not read on.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Checks a request against the configuration and reads its body.
async fn accept(
    front: &Rc<Front>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Job, End> {
    let in_flight = InFlight::new(front);
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
        return Err(End::Denied(StatusCode::BAD_REQUEST, "two framings"));
    }
    let said = header::request(headers)
        .map_err(|malformed| End::Denied(StatusCode::BAD_REQUEST, malformed.0))?;
    let host = host(&head.uri, headers)
        .ok_or(End::Denied(StatusCode::BAD_REQUEST, "host is missing"))?
        .to_owned();
    let limit = front.deployment().map_or_else(Default::default, |d| d.limits);
    if body.size_hint().lower() > limit.body_bytes as u64 {
        return Err(End::Denied(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
    }
    let body = read_body(body, limit.body_bytes, limit.read_timeout).await?;
    let path = head.uri.path();
    let (deployment, route, team) = find(front, &host, path, said.key.as_deref()).await?;
    let target = route.target(front.draw());
    let service = deployment.service(target).cloned();
    let service = service.ok_or(End::Refused(
        RefusalReason::NoEndpoint,
        "service is not declared",
        UNREADY_RETRY,
    ))?;
    front.count_request(&service.name);
    let wait = said.wait.map_or(route.timeout, |wait| wait.min(route.timeout));
    Ok(Job {
        front: front.clone(),
        id: said.id,
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body,
        route,
        service,
        team,
        tokens: said.tokens,
        last_event: said.last_event,
        arrived,
        deadline: arrived + wait,
        _in_flight: in_flight,
    })
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    uri.host().or_else(|| headers.get(HOST)?.to_str().ok())
}

/// Path and query alone, as endpoints expect them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, End> {
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, collected).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(End::Denied(StatusCode::PAYLOAD_TOO_LARGE, "body too large"))
        }
        Ok(Err(_)) => Err(End::Denied(StatusCode::BAD_REQUEST, "body broke off")),
        Err(_) => Err(End::Refused(RefusalReason::Invalid, "body too slow", UNREADY_RETRY)),
    }
}

type Found = (Rc<Deployment>, Arc<Route>, Option<String>);

/// The route and team of a request, by a configuration recent enough to
/// deny it and to use its key.
async fn find(front: &Front, host: &str, path: &str, key: Option<&str>) -> Result<Found, End> {
    let unready = |reason| Err(End::Refused(RefusalReason::NotReady, reason, UNREADY_RETRY));
    let found = look_up(front, host, path, key);
    let (found, fresh) = match found {
        Some(Ok(found)) if found.1.public || front.keys_are_current() => return Ok(found),
        found => {
            let fresh = front.currency.get().age(clock::now()).is_some_and(|age| age < DENY_AGE);
            (found, fresh)
        }
    };
    let found = if fresh {
        found
    } else {
        front.refresh.notify_one();
        // Without an answer in time, what is known decides.
        drop(tokio::time::timeout(CONFIRM_WAIT, front.confirmed.notified()).await);
        let age = front.currency.get().age(clock::now());
        if age.is_none_or(|age| age > MAX_DENY_AGE) || front.deployment.borrow().is_none() {
            return unready("configuration not confirmed");
        }
        look_up(front, host, path, key)
    };
    match found {
        Some(Ok(found)) if found.1.public || front.keys_are_current() => Ok(found),
        Some(Ok(_)) => unready("keys not confirmed"),
        Some(Err(Denied::NoRoute)) => Err(End::Denied(StatusCode::NOT_FOUND, "no route")),
        Some(Err(Denied::NoKey)) => Err(End::Denied(StatusCode::UNAUTHORIZED, "unknown key")),
        None => unready("no configuration"),
    }
}

fn look_up(
    front: &Front,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Option<Result<Found, Denied>> {
    let deployment = front.deployment()?;
    let Some(route) = deployment.route(host, path).cloned() else {
        return Some(Err(Denied::NoRoute));
    };
    if !deployment.has_keys() {
        return Some(Ok((deployment, route, None)));
    }
    let team = match deployment.team(&route, key) {
        Ok(team) => team.map(|team| team.name.clone()),
        Err(denied) => return Some(Err(denied)),
    };
    Some(Ok((deployment, route, team)))
}

/// The router's own answer, without an endpoint's signature.
fn own_answer(
    front: &Front,
    id: Option<&HeaderValue>,
    end: &End,
    arrived: Instant,
) -> Response<Answer> {
    let request = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let ms = millis(clock::now().since(arrived));
    let (status, reason, retry) = match end {
        End::Denied(status, reason) => {
            front.meter.requests(1, Outcome::Refused);
            front.meter.refusals(1, RefusalReason::Invalid);
            emit!(front.log, Event::RequestDenied, "request" => request, "status" => status.as_u16(), "reason" => *reason, "revision" => front.revision(), "config_age_ms" => front.config_age_ms());
            (*status, reason, None)
        }
        End::Refused(kind, reason, retry) => {
            front.meter.requests(1, Outcome::Refused);
            front.meter.refusals(1, *kind);
            emit!(front.log, Event::RequestRefused, "request" => request, "reason" => *reason, "ms" => ms, "retry_after_ms" => millis(*retry), "revision" => front.revision(), "config_age_ms" => front.config_age_ms(), "directory_age_ms" => front.directory_age_ms());
            (StatusCode::SERVICE_UNAVAILABLE, reason, Some(*retry))
        }
        End::Failed(status, reason) => {
            front.meter.requests(1, Outcome::Failed);
            emit!(front.log, Event::RequestGaveUp, "request" => request, "status" => status.as_u16(), "reason" => *reason, "ms" => ms);
            (*status, reason, None)
        }
    };
    let body = format!("{{\"error\":\"{reason}\"}}");
    let mut response = Response::new(Answer::Whole(Some(body.into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(id) = id {
        headers.insert(header::REQUEST_ID, id.clone());
    }
    if let Some(retry) = retry {
        let (name, value) = header::retry_after(retry);
        headers.insert(name, value);
    }
    response
}

/// An endpoint's answer, unchanged but for what concerns its connection.
fn pass_on(head: &Response<()>, body: Answer) -> Response<Answer> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status();
    *response.headers_mut() = header::end_to_end(head.headers());
    response
}
