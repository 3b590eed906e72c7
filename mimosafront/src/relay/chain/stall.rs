//! Checks chains that make no progress, and reroutes requests to other chains.

use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::engine as engine_protocol;
use mimosashift::connection_pool::Reuse;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{Order, OrderOutcome};
use mimosashift::fleet::{Chain, Hop, Member, Shortage};
use mimosashift::meter::Recovery;
use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{ChainRequest, MAX_ORDER_RESPONSE_BYTES};
use crate::clock;
use crate::probe::{self, ProbeResult};
use crate::relay::endpoint::NO_ANSWER_REASON;
use crate::state::{RouterState, millis};

/// Time limit for an order that reroutes a request.
const REROUTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of chains tried for a request that is rerouted; each refusal
/// names an endpoint to exclude.
const MAX_REROUTES: usize = 4;

/// Maximum number of times that a request is rerouted around dead endpoints before
/// its stream has had events for some time. Each such chain may crash as well.
const MAX_MOVES_BEFORE_WRITING: u32 = 2;

/// Reason why a chain is silent if its first endpoint does not answer.
const FIRST_HOP_DEAD: &str = "first endpoint is dead";

/// Result of checking a chain that makes no progress.
pub(super) enum StallCheck {
    /// No hop is dead, and slow ones, if any, cannot be avoided.
    Healthy,
    /// Every hop has recently made progress, with this or other requests.
    Progressing,
    /// The request was rerouted to another chain.
    Rerouted,
    /// The chain is silent and the request could not be rerouted, for this reason. It may
    /// still go on.
    Silent(&'static str),
    /// The request is not to be continued, for this reason.
    Ended(&'static str),
}

impl ChainRequest {
    /// Time since the last event, or since the request arrived.
    pub(super) fn silence(&self) -> Duration {
        let last = self.timing.last_event_at.max(self.ctx.arrived);
        clock::now().since(last)
    }

    /// Excludes endpoints from the selection of further chains.
    pub(super) fn exclude(&mut self, hops: impl IntoIterator<Item = Hop>) {
        for hop in hops {
            if !self.excluded_hops.contains(&hop) {
                self.excluded_hops.push(hop);
            }
        }
    }

    /// Checks a chain that delivers no event, and reroutes the request if a hop is dead
    /// or slow.
    pub(super) async fn check_stall(&mut self) -> StallCheck {
        let Some(claim) = &self.claim else { return self.check_relay() };
        let chain = claim.chain.clone();
        if self.engine.is_none() {
            return self.check_plain(&chain[0]);
        }
        let silent = self.state().fleet.borrow().silent(&chain, clock::now());
        let known = self.known_faults();
        if silent.is_empty() && known.is_empty() {
            return StallCheck::Progressing;
        }
        let FaultyHops { dead, slow } = if known.is_empty() {
            probe_silent(self.state(), &silent, &self.ctx.id).await
        } else {
            known
        };
        let names = |hops: &[Hop]| hops.iter().map(|hop| &*hop.id).collect::<Vec<_>>().join(",");
        let silent_ms = millis(self.silence());
        emit!(self.state().log, Event::RequestStalled, "request" => &*self.ctx.id, "silent_ms" => silent_ms, "silent" => names(&silent), "dead" => names(&dead), "slow" => names(&slow), "after_event" => self.events.last());
        if !dead.is_empty() {
            self.evidence.borrow_mut().on_fault();
        }
        let first = chain[0].clone();
        if dead.iter().any(|hop| hop.id == first.id) {
            self.exclude(dead);
            return StallCheck::Silent(FIRST_HOP_DEAD);
        }
        if dead.is_empty() {
            return self.avoid_slow(&first, slow).await;
        }
        self.check_crashes(&dead).await;
        self.exclude(dead);
        if self.may_have_crashed_engines() || self.has_moved_too_often() {
            return StallCheck::Ended("engines crash under the request");
        }
        // Without a chain to move to, no order is sent that could crash one.
        let can_move = self.chain_from_first(&first, &[]).is_ok();
        self.moves_before_writing += u32::from(can_move && !self.has_written_for_long());
        match self.reroute(&first, &slow).await {
            StallCheck::Silent(_) if !slow.is_empty() => self.reroute(&first, &[]).await,
            check => check,
        }
    }

    /// Checks a plain endpoint, which gives no reports: one that may still go on is silent.
    fn check_plain(&self, endpoint: &Hop) -> StallCheck {
        if self.ctx.route.is_idempotent() {
            self.state().mark_suspect(&endpoint.id, NO_ANSWER_REASON);
        }
        let silent_ms = millis(self.silence());
        emit!(self.state().log, Event::RequestStalled, "request" => &*self.ctx.id, "silent_ms" => silent_ms, "silent" => &*endpoint.id, "after_event" => self.events.last());
        StallCheck::Silent(NO_ANSWER_REASON)
    }

    /// Checks the router that serves the request, which itself reroutes it.
    fn check_relay(&self) -> StallCheck {
        match &self.relay {
            Some(relay) if relay.is_alive() => StallCheck::Progressing,
            Some(relay) => {
                let silent_ms = millis(self.silence());
                emit!(self.state().log, Event::RequestStalled, "request" => &*self.ctx.id, "silent_ms" => silent_ms, "router" => &*relay.name, "after_event" => self.events.last());
                StallCheck::Silent("router is silent")
            }
            None => StallCheck::Ended("no chain assigned"),
        }
    }

    fn has_moved_too_often(&self) -> bool {
        !self.has_written_for_long() && self.moves_before_writing >= MAX_MOVES_BEFORE_WRITING
    }

    /// Reroutes a request around slow endpoints, if others have memory for it.
    async fn avoid_slow(&mut self, first: &Hop, slow: SmallVec<[Hop; 4]>) -> StallCheck {
        let slow_beyond_first = slow.iter().any(|hop| hop.id != first.id);
        if !slow_beyond_first || self.chain_from_first(first, &slow).is_err() {
            return StallCheck::Healthy;
        }
        match self.reroute(first, &slow).await {
            StallCheck::Rerouted => StallCheck::Rerouted,
            _ => StallCheck::Healthy,
        }
    }

    /// A chain for the rest of a request that has started, which also avoids
    /// `exclude`.
    fn chain_from_first(&self, first: &Hop, exclude: &[Hop]) -> Result<Chain, Shortage> {
        let avoid: Vec<Hop> = self.excluded_hops.iter().chain(exclude).cloned().collect();
        let Some(engine) = &self.engine else { return Err(Shortage::Uncovered(0)) };
        self.find_chain(engine, &self.remaining_demand(), Some(first), &avoid)
    }

    /// Reroutes the request to another chain with the same first hop, which
    /// avoids `self.excluded_hops` and `exclude`.
    async fn reroute(&mut self, first: &Hop, exclude: &[Hop]) -> StallCheck {
        for _ in 0..MAX_REROUTES {
            let Ok(chain) = self.chain_from_first(first, exclude) else {
                return StallCheck::Silent("no chain from the first endpoint");
            };
            match self.send_reroute(first, &chain).await {
                OrderOutcome::Taken => {
                    self.state().meter.recoveries(1, Recovery::Rebuilt);
                    let mut claim = self.claim.take().expect("started request has a chain");
                    self.state().fleet.borrow_mut().reroute(&mut claim, chain);
                    self.claim = Some(claim);
                    return StallCheck::Rerouted;
                }
                // The hop at fault has no memory left or no longer exists: try
                // without it.
                OrderOutcome::Refused { at_fault: Some(address), .. } => {
                    let named = chain.iter().skip(1).find(|hop| hop.address == address);
                    let Some(hop) = named else { break };
                    self.excluded_hops.push(hop.clone());
                }
                OrderOutcome::Refused { at_fault: None, .. } | OrderOutcome::Unknown => break,
            }
        }
        StallCheck::Silent("request could not be rerouted")
    }

    async fn send_reroute(&self, first: &Hop, chain: &Chain) -> OrderOutcome {
        let order = Order::Reroute { id: &self.ctx.id, chain };
        let call = engine_protocol::order_request(first.address, &first.id, &order);
        let response = async {
            let mut exchange = self.state().call(first, call, Reuse::Any).await.ok()?;
            let body = exchange.collect(MAX_ORDER_RESPONSE_BYTES).await.ok()?;
            Some(engine_protocol::order_outcome(exchange.head.status(), &body))
        };
        let ordered = timeout(REROUTE_TIMEOUT, response).await.ok().flatten();
        let ordered = ordered.unwrap_or(OrderOutcome::Unknown);
        let to: Vec<_> = chain.iter().map(|hop| format!("{}:{}", hop.id, hop.layers)).collect();
        let outcome = format!("{ordered:?}");
        emit!(self.state().log, Event::RequestMoved, "request" => &*self.ctx.id, "to" => to.join(","), "said" => outcome, "after_event" => self.events.last());
        ordered
    }
}

/// The dead and the slow hops of a chain.
#[derive(Default)]
pub(super) struct FaultyHops {
    /// Hops that give no report, or that other hops report to be waiting for;
    /// the latter may be alive.
    pub(super) dead: SmallVec<[Hop; 4]>,
    /// Hops that report to be far slower than expected of their accelerator.
    pub(super) slow: SmallVec<[Hop; 4]>,
}

impl FaultyHops {
    pub(super) fn is_empty(&self) -> bool {
        self.dead.is_empty() && self.slow.is_empty()
    }
}

/// Probes endpoints that have made no progress recently.
async fn probe_silent(state: &Rc<RouterState>, hops: &[Hop], request: &str) -> FaultyHops {
    let mut probes = JoinSet::new();
    for hop in hops.iter().cloned() {
        let state = state.clone();
        probes.spawn_local(async move {
            let result = probe::check_alive(&state, &hop).await;
            (hop, result)
        });
    }
    let (mut faulty, mut waited_for) = (FaultyHops::default(), Vec::new());
    while let Some(Ok((hop, result))) = probes.join_next().await {
        match result {
            ProbeResult::Alive(report) => {
                let stalled = report.stalled.iter().filter(|(id, _)| id == request);
                waited_for.extend(stalled.map(|(_, address)| *address));
                let slow = state.fleet.borrow().get(&hop.id).is_some_and(Member::is_slow);
                if slow {
                    faulty.slow.push(hop);
                }
            }
            ProbeResult::Dead(_) => faulty.dead.push(hop),
        }
    }
    for hop in hops.iter().filter(|hop| waited_for.contains(&hop.address)) {
        if !faulty.dead.contains(hop) {
            faulty.dead.push(hop.clone());
        }
    }
    faulty
}
