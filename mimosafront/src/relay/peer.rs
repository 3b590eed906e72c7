//! Sends requests through other routers while this one reaches no endpoint.
//!
//! The other router serves a request as if it were a client's, with what it knows of
//! the endpoints and under its own limits. It relays none on. See `docs/design/reach.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use mimosaplatform::header;
use mimosashift::connection_pool::{Exchange, Failure, Reuse};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::name_key;
use mimosashift::peer::Peer;
use tokio::time::sleep;

use super::RequestContext;
use crate::call::CallError;
use crate::clock;
use crate::state::RouterState;

/// Name of the router that relays a request.
const RELAYED_BY: HeaderName = HeaderName::from_static("relayed-by");

/// Number of endpoints that may have run the request before it was relayed.
const EXECUTIONS: HeaderName = HeaderName::from_static("relayed-executions");

/// States in the answer of a router that the request has not run and never will. Builds without
/// it pass on statuses of endpoints, so that theirs state nothing.
const OUTCOME: HeaderName = HeaderName::from_static("relayed-outcome");

/// The value of `OUTCOME` for a request that has not run.
const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");

/// Cost of a router in another zone, in requests relayed to it that have not ended.
const REMOTE_ZONE_COST: usize = 4;

/// Time before its keys become too old in which a router is sent no requests.
const CONFIG_AGE_MARGIN: Duration = Duration::from_millis(500);

/// Interval of the checks whether the other router is alive.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(60);

/// Retry-After if no router reaches an endpoint; up to twice as long, so that clients do
/// not all return at the same moment.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Reason for refusing a request if no router reaches an endpoint.
pub(super) const UNREACHABLE_REASON: &str = "no endpoint is reachable";

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// Another router.
    Router {
        /// Its name.
        name: Arc<str>,
        /// Endpoints that may have run the request before.
        executions: u32,
    },
}

/// How a request may reach an endpoint.
pub(super) enum Path {
    /// Over connections of this router.
    Direct,
    /// Through another router.
    Relayed(Relay),
    /// Not at all.
    Lost,
}

/// Another router that serves a request. The request counts against it until this is
/// dropped.
pub(super) struct Relay {
    state: Rc<RouterState>,
    pub(super) name: Arc<str>,
    pub(super) address: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let mut relayed = self.state.relayed.borrow_mut();
        if let Some(count) = relayed.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                relayed.remove(&self.name);
            }
        }
    }
}

impl Relay {
    fn new(state: &Rc<RouterState>, name: Arc<str>, address: SocketAddr) -> Self {
        *state.relayed.borrow_mut().entry(name.clone()).or_default() += 1;
        Self { state: state.clone(), name, address }
    }

    /// Whether the router is alive.
    pub(super) fn is_alive(&self) -> bool {
        self.state.peers.borrow().is_alive(&self.name, clock::now())
    }
}

impl Origin {
    /// Reads and removes what a router adds to the requests that it relays.
    pub(super) fn take(headers: &mut HeaderMap) -> Self {
        let name = headers.remove(RELAYED_BY);
        let executions = headers.remove(EXECUTIONS);
        let text = |value: &Option<HeaderValue>| {
            value.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
        };
        Self::Router {
            name: text(&name).into(),
            executions: text(&executions).parse().unwrap_or_default(),
        }
    }

    /// Endpoints that may have run the request before it arrived.
    pub(super) const fn executions(&self) -> u32 {
        match self {
            Self::Client => 0,
            Self::Router { executions, .. } => *executions,
        }
    }

    /// Name of the router that relayed the request.
    pub(super) fn relayed_by(&self) -> Option<&str> {
        match self {
            Self::Client => None,
            Self::Router { name, .. } => Some(name),
        }
    }
}

/// Adds to the answer of this router that the request has not run.
pub(super) fn state_not_run(headers: &mut HeaderMap) {
    headers.insert(OUTCOME, NOT_RUN);
}

/// Removes what routers state to each other.
pub(super) fn remove_outcome(headers: &mut HeaderMap) {
    headers.remove(OUTCOME);
}

/// Whether another router states in its answer that the request has not run there.
pub(super) fn is_refusal(answer: &Exchange) -> bool {
    let headers = answer.head.headers();
    let states_not_run = headers.get(OUTCOME).is_some_and(|outcome| outcome == NOT_RUN);
    header::response(headers).is_refusal(states_not_run)
}

impl RequestContext {
    /// How the request may reach an endpoint, through none of the routers in `tried`.
    pub(super) fn path(&self, tried: &[Arc<str>]) -> Path {
        let (state, service, now) = (&self.state, &self.service.name, clock::now());
        if !state.reach.borrow().is_lost(service) {
            return Path::Direct;
        }
        let relay = if self.origin == Origin::Client { self.choose_relay(tried) } else { None };
        match relay {
            Some(relay) => Path::Relayed(relay),
            None if state.reach.borrow().answers(service, now) => Path::Direct,
            None => Path::Lost,
        }
    }

    /// The router with the fewest relayed requests among those that reach endpoints of the
    /// service, preferably in the own zone.
    fn choose_relay(&self, tried: &[Arc<str>]) -> Option<Relay> {
        let state = &self.state;
        let node = state.node();
        // A router whose keys are too old to be accepted refuses all requests.
        let max_age = node.bounds.revocation.map(|bound| bound.saturating_sub(CONFIG_AGE_MARGIN));
        let best = {
            let (peers, relayed) = (state.peers.borrow(), state.relayed.borrow());
            let reaching = peers.reaching(name_key(&self.service.name), clock::now());
            let cost = |peer: &&Peer| {
                let remote = usize::from(peer.digest.zone != node.zone) * REMOTE_ZONE_COST;
                relayed.get(&peer.digest.node).copied().unwrap_or_default() + remote
            };
            let accepting = reaching.filter(|peer| {
                let age = peer.config_age(clock::now());
                age.is_some_and(|age| max_age.is_none_or(|max_age| age < max_age))
            });
            let untried = accepting.filter(|peer| !tried.contains(&peer.digest.node));
            untried.min_by_key(cost).map(|peer| (peer.digest.node.clone(), peer.address))
        };
        let (name, address) = best?;
        let address = SocketAddr::new(address.ip(), node.peer_ports.1);
        Some(Relay::new(state, name, address))
    }

    /// When the client of a request that no router can serve may return.
    pub(super) fn unreachable_retry_after(&self) -> Duration {
        UNREACHABLE_RETRY_AFTER.mul_f64(1.0 + self.state.random_fraction())
    }

    /// Whether the request, which may have been executed so often, may be sent once more,
    /// through none of the routers in `tried`.
    fn may_be_sent_elsewhere(&self, executions: u32, tried: &[Arc<str>]) -> bool {
        self.route.is_idempotent()
            && executions < self.route.attempts
            && self.state.has_retry(&self.service.name)
            && !matches!(self.path(tried), Path::Lost)
    }

    /// Sends the request to another router, the last in `tried`, and waits for the head of
    /// the response.
    pub(super) async fn send_to_router(
        &self,
        relay: &Relay,
        attempt: u32,
        executions: u32,
        last_event: Option<u64>,
        tried: &[Arc<str>],
    ) -> Result<Exchange, CallError> {
        let state = &self.state;
        state.meter.relayed(1);
        self.withdraw_refusal(relay.address);
        emit!(
            state.log, Event::RequestRelayed,
            "request" => &*self.id, "attempt" => attempt, "to" => &*relay.name,
            "address" => relay.address.to_string(), "service" => &*self.service.name,
            "after_event" => last_event,
        );
        let request = self.relayed_request(executions, last_event);
        let sending = state.pool.send(relay.address, request, Reuse::Request(&self.carriers));
        let mut sending = std::pin::pin!(sending);
        loop {
            tokio::select! {
                result = sending.as_mut() => {
                    return state.accept_answer(result?, Some(&self.id), &relay.name);
                }
                () = sleep(LIVENESS_INTERVAL) => {}
            }
            // A silent router may still go on; its connections are closed if its process ends.
            if !relay.is_alive() && self.may_be_sent_elsewhere(executions + 1, tried) {
                return Err(Failure::Lost { reason: "router is silent".to_owned() }.into());
            }
        }
    }

    fn relayed_request(&self, executions: u32, last_event: Option<u64>) -> Request<Full<Bytes>> {
        self.is_sent.set(true);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = header::relay(&self.headers, self.remaining(), last_event);
        let name = HeaderValue::from_str(&self.state.node().name);
        headers.insert(RELAYED_BY, name.unwrap_or_else(|_| HeaderValue::from_static("unnamed")));
        headers.insert(EXECUTIONS, HeaderValue::from(executions));
        *request.headers_mut() = headers;
        request
    }
}
