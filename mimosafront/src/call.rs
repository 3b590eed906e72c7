//! Sends requests to endpoints, and records what their answers say of the endpoints.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Request, StatusCode};
use mimosaplatform::header;
use mimosashift::connection_pool::{self, Exchange, Failure, Reuse, Unsolicited};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{Report, ResponseInfo, is_promise};
use mimosashift::fleet::{Hop, Incarnation, LimitChange, name_key};
use mimosashift::refusals::Basis;
use mimosashift::time::Instant;

use crate::clock;
use crate::state::{RouterState, millis};

/// Upper bound of the age of what a report says.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// No answer arrived.
    Failed(Failure),
    /// The answer that arrived is not known to be to this request, which may run or have
    /// run.
    Stray,
}

/// An answer that is not known to be to the request in progress on its connection, if there is
/// one.
#[derive(Clone, Copy)]
struct Stray<'a> {
    request: Option<&'a str>,
    by: &'a str,
    address: SocketAddr,
    connection: connection_pool::Id,
    /// 0 if it cannot be read.
    status: u16,
    info: &'a ResponseInfo,
}

impl From<Failure> for CallError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(failure) => failure.fmt(f),
            Self::Stray => f.write_str("answer to another request"),
        }
    }
}

impl RouterState {
    /// Sends a request to an endpoint and waits for the head of its answer; see
    /// [`Pool::send`](mimosashift::connection_pool::Pool::send). A client's request, which
    /// has an id, counts against the endpoint's limit.
    pub async fn call(
        &self,
        hop: &Hop,
        request: Request<Full<Bytes>>,
        reuse: Reuse<'_>,
    ) -> Result<Exchange, CallError> {
        let sent = clock::now();
        let id = request.headers().get(header::REQUEST_ID).cloned();
        let endpoint = (name_key(&hop.id), hop.incarnation);
        if id.is_some() {
            let random = self.random_fraction();
            self.fleet.borrow_mut().record_sent(endpoint, sent, random);
        }
        let exchange = self.pool.send(hop.address, request, reuse).await?;
        self.record_endpoint_answer(&hop.id);
        let request = id.as_ref().and_then(|id| id.to_str().ok());
        let exchange = self.accept_answer(exchange, request, &hop.id)?;
        // Status 421 is the answer of another endpoint at the same address.
        if exchange.head.status() != StatusCode::MISDIRECTED_REQUEST {
            self.record_limit(hop, &exchange, sent, id.is_some());
            // Without an id, an earlier rejection may be repeated on a kept connection.
            if id.is_some() || matches!(reuse, Reuse::Never) {
                self.record_rest(hop, &exchange);
            }
            self.record_leaving(hop, &exchange);
        }
        Ok(exchange)
    }

    /// Passes on the answer of an endpoint or router if it is to the request with that id,
    /// or to one without an id. Any other is dropped with its connection, on which the own
    /// answer may still follow.
    pub fn accept_answer(
        &self,
        exchange: Exchange,
        request: Option<&str>,
        by: &str,
    ) -> Result<Exchange, CallError> {
        let info = header::response(exchange.head.headers());
        if info.answers(request) {
            return Ok(exchange);
        }
        let stray = Stray {
            request,
            by,
            address: exchange.address(),
            connection: exchange.connection_id(),
            status: exchange.head.status().as_u16(),
            info: &info,
        };
        self.record_stray(&stray);
        Err(CallError::Stray)
    }

    /// Records the answers that endpoints and routers have sent on idle connections.
    pub fn record_unsolicited(&self) {
        for unsolicited in self.pool.take_unsolicited() {
            let Unsolicited { address, connection, bytes } = unsolicited;
            let member = self.fleet.borrow().member_at(address).map(|m| m.endpoint.id.clone());
            let (by, answer) = (member.unwrap_or_default(), header::unsolicited(&bytes));
            let (status, info) = answer.unwrap_or_default();
            let (request, info) = (None, &info);
            self.record_stray(&Stray { request, by: &by, address, connection, status, info });
        }
    }

    /// Checks that an engine runs no request of which a client was told that it has not run.
    pub fn check_running(&self, id: &str, report: &Report) {
        let refusals = self.refusals.borrow();
        let Some(by) = self.fleet.borrow().get(id).map(|member| member.endpoint.address) else {
            return;
        };
        let now = clock::now();
        for (request, _) in &report.stalled {
            let Some((basis, age)) = refusals.contradicted(name_key(request), by, now) else {
                continue;
            };
            if basis == Basis::Promise && age > MAX_REPORT_LAG {
                self.log_contradiction(request, id, basis, age, "report");
            }
        }
    }

    /// Logs that a request has run which was taken for not run; `source` is `answer` or `report`.
    fn log_contradiction(
        &self,
        request: &str,
        by: &str,
        basis: Basis,
        age: Duration,
        source: &str,
    ) {
        self.meter.contradictions(1);
        emit!(self.log, Event::OutcomeContradicted, "request" => request, "by" => by, "held" => basis.label(), "held_ms" => millis(age), "source" => source);
    }

    fn record_stray(&self, stray: &Stray<'_>) {
        let Stray { request, by, address, connection, status, info } = *stray;
        self.meter.stray_answers(1);
        emit!(
            self.log, Event::StrayAnswer,
            "request" => request, "by" => by, "address" => address.to_string(),
            "connection" => connection.to_string(), "status" => status,
            "answers" => info.id.as_deref(), "not_run" => info.not_run,
        );
        let Some(id) = info.id.as_deref().filter(|_| !info.not_run && !is_promise(status)) else {
            return;
        };
        let held = self.refusals.borrow().contradicted(name_key(id), address, clock::now());
        if let Some((basis, age)) = held {
            self.log_contradiction(id, by, basis, age, "answer");
        }
    }

    /// Records the limit that an answer names. Only an answer to a request of a client
    /// shows that there is none: reports and answers to orders may not name it.
    fn record_limit(&self, hop: &Hop, exchange: &Exchange, sent: Instant, is_answer: bool) {
        let (rate, at) = match header::response(exchange.head.headers()).request_limit {
            Some(Ok(rate)) => (Some(rate), clock::now()),
            Some(Err(error)) => {
                emit!(self.log, Event::EndpointLimitInvalid, "endpoint" => &*hop.id, "reason" => error.to_string());
                return;
            }
            None if is_answer => (None, sent),
            None => return,
        };
        let endpoint = (name_key(&hop.id), hop.incarnation);
        let (now, random) = (clock::now(), self.random_fraction());
        let change = self.fleet.borrow_mut().observe_limit(endpoint, rate, at, now, random);
        if let Some(change) = change {
            self.log_limit(&hop.id, &change, "answer");
            self.peers.borrow_mut().expedite(now);
        }
    }

    /// Records the rest that a rejection asks for.
    fn record_rest(&self, hop: &Hop, exchange: &Exchange) {
        if exchange.head.status() != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        match header::response(exchange.head.headers()).rest {
            Some(Ok(rest)) => {
                self.fleet.borrow_mut().record_rest(hop, rest, clock::now());
                emit!(self.log, Event::EndpointResting, "endpoint" => &*hop.id, "rest_ms" => millis(rest.length()));
            }
            Some(Err(error)) => {
                emit!(self.log, Event::EndpointRestInvalid, "endpoint" => &*hop.id, "reason" => error.to_string());
            }
            None => {}
        }
    }

    /// Records that an answer says that the endpoint is leaving.
    fn record_leaving(&self, hop: &Hop, exchange: &Exchange) {
        if !header::response(exchange.head.headers()).leaving {
            return;
        }
        let endpoint = (name_key(&hop.id), hop.incarnation);
        if self.apply_leaving(&[endpoint], "answer") {
            self.peers.borrow_mut().expedite(clock::now());
        }
    }

    /// Applies that endpoints have said that they are leaving; returns whether that is new.
    /// `source` is `answer` or a peer.
    pub fn apply_leaving(&self, endpoints: &[Incarnation], source: &str) -> bool {
        let leaving = self.fleet.borrow_mut().record_leaving(endpoints, clock::now());
        for id in &leaving {
            emit!(self.log, Event::EndpointLeaving, "endpoint" => &**id, "source" => source);
        }
        !leaving.is_empty()
    }

    /// Logs a change of an endpoint's limit; `source` is `answer` or a peer.
    pub fn log_limit(&self, id: &str, change: &LimitChange, source: &str) {
        let before = change.before.map(f64::from);
        match change.now.map(f64::from) {
            Some(rate) => {
                emit!(self.log, Event::EndpointLimited, "endpoint" => id, "per_second" => rate, "before" => before, "source" => source);
            }
            None => {
                emit!(self.log, Event::EndpointLimitLifted, "endpoint" => id, "before" => before, "source" => source);
            }
        }
    }
}
