//! Explains the choice of endpoints for a request, to operators.
//!
//! What is explained is what [`Fleet::chain`] and [`Fleet::choose_endpoint`] would decide now:
//! both are asked, and nothing is recorded. See `docs/design/fleet.md`, "Explanations".

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::chain::PricedChain;
use super::{Chain, Fleet, Hop, Member, Obstacle, Query, Shortage};
use crate::time::Instant;

/// Why a request to engines would get its chain, or none.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The chain that it would get.
    pub chosen: Result<Offer, Shortage>,
    /// The best chain without the first hop of the chosen one; `None` without a chosen one.
    pub next: Option<Result<Offer, Shortage>>,
    /// The endpoints that hold the layer that is short, or could begin the chain.
    pub holders: Vec<Holder>,
}

/// A chain and what it costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Its hops, in layer order.
    pub legs: SmallVec<[Leg; 12]>,
}

/// A hop of a chain and what it adds to its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Leg {
    /// The hop.
    pub hop: Hop,
    /// Zone of its endpoint.
    pub zone: Arc<str>,
    /// Share of the endpoint's KV cache in use.
    pub fill: Option<f64>,
    /// Cost of the change to it and of its layers, in ms.
    pub cost_ms: f64,
}

/// An endpoint that could serve a request, and what binds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// Its id.
    pub id: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Share of its KV cache in use; `None` for an endpoint of a plain service and an unknown
    /// card.
    pub fill: Option<f64>,
    /// Its state, if it is not preferred for new work.
    pub state: Option<&'static str>,
    /// Limit that it names, in requests per second, and the time until this router may send
    /// it a request.
    pub limit: Option<(f64, Duration)>,
    /// Time until it wants requests again, if it wants none now.
    pub rest: Option<Duration>,
}

/// Why a request to a plain service would get its endpoint, or none.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainExplanation {
    /// The endpoint that it would get.
    pub chosen: Option<Hop>,
    /// All endpoints of the service, the cheapest first.
    pub alternatives: Vec<Alternative>,
}

/// An endpoint of a plain service as a choice for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// The endpoint.
    pub holder: Holder,
    /// Requests there, in multiples of its slots.
    pub load: f64,
    /// What it would cost, in units of load.
    pub cost: f64,
    /// Why the request may not be sent there, if so.
    pub obstacle: Option<Obstacle>,
}

impl Offer {
    /// Its cost, in ms.
    pub fn cost_ms(&self) -> f64 {
        self.legs.iter().map(|leg| leg.cost_ms).sum()
    }

    /// Its hops alone.
    pub fn chain(&self) -> Chain {
        self.legs.iter().map(|leg| leg.hop.clone()).collect()
    }
}

impl Fleet {
    /// Explains the choice of the chain for a request.
    pub fn explain_chain(&self, query: &Query<'_>, now: Instant) -> Explanation {
        let chosen = self.offer(query, now);
        let next = chosen.as_ref().ok().map(|offer| {
            let first = offer.legs[0].hop.clone();
            let avoid: SmallVec<[Hop; 4]> = query.avoid.iter().cloned().chain([first]).collect();
            self.offer(&Query { avoid: &avoid, ..*query }, now)
        });
        let layer = chosen.as_ref().err().map_or(0, Shortage::layer);
        let holder = |member: &Member| {
            let fill = self.fill(query.engine, &member.endpoint.id, now);
            self.holder(member, fill, now)
        };
        let holders = self.holders(query.service, layer).map(holder).collect();
        Explanation { chosen, next, holders }
    }

    fn offer(&self, query: &Query<'_>, now: Instant) -> Result<Offer, Shortage> {
        let PricedChain { chain, costs } = self.priced_chain(query, now)?;
        let mut before = 0.0;
        let legs = chain.into_iter().zip(costs).map(|(hop, cost)| {
            let cost_ms = cost - std::mem::replace(&mut before, cost);
            let zone = self.get(&hop.id).map(|member| member.endpoint.zone.clone());
            let fill = self.fill(query.engine, &hop.id, now);
            Leg { zone: zone.unwrap_or_default(), fill, cost_ms, hop }
        });
        Ok(Offer { legs: legs.collect() })
    }

    fn holder(&self, member: &Member, fill: Option<f64>, now: Instant) -> Holder {
        Holder {
            id: member.endpoint.id.clone(),
            zone: member.endpoint.zone.clone(),
            fill,
            state: self.state(member, now),
            limit: self.limit_of(member, now),
            rest: member.rest_left(now),
        }
    }

    /// Explains the choice of the endpoint for a request to a plain service.
    pub fn explain_endpoint(&self, service: &str, zone: &str, now: Instant) -> PlainExplanation {
        let members = self.members.values().filter(|m| &*m.endpoint.service == service);
        let alternative = |member: &Member| Alternative {
            holder: self.holder(member, None, now),
            load: self.load(member, now),
            cost: self.endpoint_cost(member, zone, now),
            obstacle: self.obstacle(member, &[], now),
        };
        let mut alternatives: Vec<_> = members.map(alternative).collect();
        alternatives.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        PlainExplanation { chosen: self.choose_endpoint(service, zone, &[], now), alternatives }
    }

    /// Number of peers whose usage is known, and the age of the oldest of what they told.
    pub fn usage_sources(&self, now: Instant) -> (usize, Duration) {
        self.peer_usage.sources(now)
    }
}
