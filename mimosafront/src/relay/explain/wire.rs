//! The explanation as JSON.

use std::sync::Arc;

use hyper::body::Bytes;
use mimosashift::deployment;
use mimosashift::exchange::Malformed;
use mimosashift::fleet::{Alternative, Explanation, Obstacle, Offer, PlainExplanation};
use mimosashift::{fleet, time::Instant};
use serde::Serialize;

use super::{Choice, Outcome};
use crate::state::{RouterState, millis};
use crate::{BUILD, clock};

/// The whole answer.
#[derive(Debug, Serialize)]
pub(super) struct Answer {
    router: Router,
    /// Whether the request would first wait for the configuration to be confirmed.
    pub(super) awaits_configuration: bool,
    pub(super) route: Option<Route>,
    pub(super) team: Option<String>,
    /// Why the request would be refused before a service is chosen.
    pub(super) refusal: Option<Refusal>,
    pub(super) services: Vec<Service>,
}

/// The router that answers, and the ages of what it rests on.
#[derive(Debug, Serialize)]
struct Router {
    node: Arc<str>,
    zone: Arc<str>,
    build: &'static str,
    revision: u64,
    configuration_age_ms: Option<u64>,
    directory_age_ms: Option<u64>,
    peers: usize,
    /// Peers whose usage is known, and the age of the oldest of what they told.
    usage_peers: usize,
    usage_age_ms: u64,
}

/// The route of the request.
#[derive(Debug, Serialize)]
pub(super) struct Route {
    name: Arc<str>,
    priority: u8,
    public: bool,
    attempts: u32,
    timeout_ms: u64,
    objective_ms: u64,
}

/// Why a request would be refused.
#[derive(Debug, Serialize)]
pub(super) struct Refusal {
    status: u16,
    reason: &'static str,
    layer: Option<u16>,
    retry_after_least_ms: Option<u64>,
    retry_after_most_ms: Option<u64>,
}

/// What the request would meet at one service.
#[derive(Debug, Serialize)]
pub(super) struct Service {
    name: Arc<str>,
    weight: u32,
    /// `sent`, `relayed`, `waits` or `refused`.
    outcome: &'static str,
    relay: Option<Arc<str>>,
    waiting: Option<usize>,
    wait_at_most_ms: Option<u64>,
    refusal: Option<Refusal>,
    chosen: Option<Chosen>,
    next: Option<Chosen>,
    /// Why there is no next best.
    next_refusal: Option<&'static str>,
    endpoints: Vec<Endpoint>,
}

/// A chain or an endpoint with its cost: milliseconds, or load for a plain service.
#[derive(Debug, Serialize)]
struct Chosen {
    cost: f64,
    hops: Vec<Hop>,
}

#[derive(Debug, Serialize)]
struct Hop {
    endpoint: Arc<str>,
    zone: Arc<str>,
    layers: Option<String>,
    fill: Option<f64>,
    cost: f64,
}

/// An endpoint that could serve the request, and what binds it.
#[derive(Debug, Serialize)]
struct Endpoint {
    endpoint: Arc<str>,
    zone: Arc<str>,
    fill: Option<f64>,
    load: Option<f64>,
    cost: Option<f64>,
    state: Option<&'static str>,
    /// Why the request may not be sent there.
    obstacle: Option<&'static str>,
    limit_per_s: Option<f64>,
    limit_wait_ms: Option<u64>,
    rest_ms: Option<u64>,
}

/// Why no explanation can be given.
#[derive(Debug, Serialize)]
pub(super) struct Problem {
    code: &'static str,
    detail: &'static str,
}

impl Problem {
    pub(super) const TOO_LARGE: Self =
        Self { code: "too-large", detail: "the request is too large" };
}

impl From<Malformed> for Problem {
    fn from(malformed: Malformed) -> Self {
        Self { code: "invalid", detail: malformed.0 }
    }
}

impl From<Problem> for Bytes {
    fn from(problem: Problem) -> Self {
        serialize(&problem)
    }
}

impl From<Answer> for Bytes {
    fn from(answer: Answer) -> Self {
        serialize(&answer)
    }
}

fn serialize(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).expect("the keys are text and the numbers finite").into()
}

impl Answer {
    /// An answer of this router without an outcome.
    pub(super) fn new(state: &RouterState) -> Self {
        let (route, team, refusal) = (None, None, None);
        let router = Router::new(state, clock::now());
        Self { router, awaits_configuration: false, route, team, refusal, services: Vec::new() }
    }
}

impl Router {
    fn new(state: &RouterState, now: Instant) -> Self {
        let node = state.node();
        let (usage_peers, usage_age) = state.fleet.borrow().usage_sources(now);
        Self {
            node: node.name.clone(),
            zone: node.zone.clone(),
            build: BUILD,
            revision: state.revision(),
            configuration_age_ms: state.config_age_ms(),
            directory_age_ms: state.directory_age_ms(),
            peers: state.peers.borrow().alive(now).count(),
            usage_peers,
            usage_age_ms: millis(usage_age),
        }
    }
}

impl From<&deployment::Route> for Route {
    fn from(route: &deployment::Route) -> Self {
        Self {
            name: route.name.clone(),
            priority: route.priority,
            public: route.public,
            attempts: route.attempts,
            timeout_ms: millis(route.timeout),
            objective_ms: millis(route.objective),
        }
    }
}

impl From<super::Refusal> for Refusal {
    fn from(refusal: super::Refusal) -> Self {
        Self {
            status: refusal.status.as_u16(),
            reason: refusal.reason,
            layer: refusal.layer,
            retry_after_least_ms: refusal.retry_after.map(|[least, _]| millis(least)),
            retry_after_most_ms: refusal.retry_after.map(|[_, most]| millis(most)),
        }
    }
}

impl Service {
    fn empty(name: &Arc<str>, weight: u32) -> Self {
        Self {
            name: name.clone(),
            weight,
            outcome: "sent",
            relay: None,
            waiting: None,
            wait_at_most_ms: None,
            refusal: None,
            chosen: None,
            next: None,
            next_refusal: None,
            endpoints: Vec::new(),
        }
    }

    /// A service for which the request would be refused without a choice.
    pub(super) fn refused(name: &Arc<str>, weight: u32, refusal: super::Refusal) -> Self {
        let refusal = Some(refusal.into());
        Self { outcome: "refused", refusal, ..Self::empty(name, weight) }
    }

    pub(super) fn new(name: &Arc<str>, weight: u32, outcome: Outcome, choice: Choice) -> Self {
        let mut service = Self::empty(name, weight);
        match outcome {
            Outcome::Sent => {}
            Outcome::Relayed(router) => {
                service.outcome = "relayed";
                service.relay = Some(router);
            }
            Outcome::Waits { waiting, at_most, refusal } => {
                service.outcome = "waits";
                service.waiting = Some(waiting);
                service.wait_at_most_ms = Some(millis(at_most));
                service.refusal = Some(refusal.into());
            }
            Outcome::Refused(refusal) => {
                service.outcome = "refused";
                service.refusal = Some(refusal.into());
            }
        }
        match choice {
            Choice::Chain(explanation) => service.set_chain(explanation),
            Choice::Endpoint(explanation) => service.set_endpoint(explanation),
        }
        service
    }

    fn set_chain(&mut self, explanation: Explanation) {
        let Explanation { chosen, next, holders } = explanation;
        self.chosen = chosen.ok().map(Chosen::from);
        match next {
            Some(Ok(offer)) => self.next = Some(offer.into()),
            Some(Err(shortage)) => {
                self.next_refusal = Some(super::super::chain::explain::reason(&shortage));
            }
            None => {}
        }
        self.endpoints = holders.into_iter().map(Endpoint::from).collect();
    }

    fn set_endpoint(&mut self, explanation: PlainExplanation) {
        let PlainExplanation { chosen, alternatives } = explanation;
        let is_chosen =
            |other: &&Alternative| chosen.as_ref().is_some_and(|hop| hop.id == other.holder.id);
        let is_next = |other: &&Alternative| other.obstacle.is_none() && !is_chosen(other);
        self.chosen = alternatives.iter().find(is_chosen).map(Chosen::from);
        self.next = alternatives.iter().find(is_next).map(Chosen::from);
        self.endpoints = alternatives.into_iter().map(Endpoint::from).collect();
    }
}

impl From<Offer> for Chosen {
    fn from(offer: Offer) -> Self {
        let cost = offer.cost_ms();
        let hop = |leg: fleet::Leg| Hop {
            endpoint: leg.hop.id,
            zone: leg.zone,
            layers: Some(leg.hop.layers.to_string()),
            fill: leg.fill,
            cost: leg.cost_ms,
        };
        Self { cost, hops: offer.legs.into_iter().map(hop).collect() }
    }
}

impl From<&Alternative> for Chosen {
    fn from(alternative: &Alternative) -> Self {
        let (holder, cost) = (&alternative.holder, alternative.cost);
        let (endpoint, zone) = (holder.id.clone(), holder.zone.clone());
        Self { cost, hops: vec![Hop { endpoint, zone, layers: None, fill: None, cost }] }
    }
}

impl From<fleet::Holder> for Endpoint {
    fn from(holder: fleet::Holder) -> Self {
        Self {
            endpoint: holder.id,
            zone: holder.zone,
            fill: holder.fill,
            load: None,
            cost: None,
            state: holder.state,
            obstacle: None,
            limit_per_s: holder.limit.map(|(per_second, _)| per_second),
            limit_wait_ms: holder.limit.map(|(_, wait)| millis(wait)),
            rest_ms: holder.rest.map(millis),
        }
    }
}

impl From<Alternative> for Endpoint {
    fn from(alternative: Alternative) -> Self {
        let obstacle = alternative.obstacle.map(|obstacle| match obstacle {
            Obstacle::Leaving => "leaving",
            Obstacle::Avoided => "tried before",
            Obstacle::Full => "full",
            Obstacle::Limited => "limited",
            Obstacle::Resting => "resting",
        });
        let (load, cost) = (Some(alternative.load), Some(alternative.cost));
        Self { load, cost, obstacle, ..alternative.holder.into() }
    }
}
