//! Selects the chain for a request, and waits for memory.

use std::time::Duration;

use hyper::StatusCode;
use mimosashift::admit::pressure::MAX_WAIT;
use mimosashift::deployment::Engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Allowance, Chain, Demand, Hop, Query, Shortage};
use mimosashift::meter::RefusalReason;
use mimosashift::time::Instant;
use smallvec::SmallVec;
use tokio::time::timeout;

use super::{ChainRequest, recheck};
use crate::clock;
use crate::relay::endpoint::NOT_EXECUTED_RETRY_AFTER;
use crate::relay::{LIMITED_REASON, RESTING_REASON, RequestError};
use crate::state::RouterState;

/// Interval in which a waiting request checks whether a limit or the link permits it.
const LIMIT_RECHECK: Duration = Duration::from_millis(25);

/// Part of a route's latency objective for which the prompts ahead of a request may take to
/// prefill at an endpoint.
const BACKLOG_SHARE: f64 = 0.5;

/// Counts a request as waiting until dropped.
struct WaitingGuard<'a>(&'a RouterState);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.pressure.borrow_mut().end_wait();
    }
}

impl ChainRequest {
    /// Selects what the request is sent to: a chain of engines once there is memory for it, or
    /// an endpoint of a plain service.
    pub(super) async fn admit(&self) -> Result<Chain, RequestError> {
        match &self.engine {
            Some(engine) => self.admit_to_engines(engine).await,
            None => self.admit_to_endpoint(),
        }
    }

    /// Whether there is a chain for the request now.
    pub(super) fn has_chain(&self) -> bool {
        match &self.engine {
            Some(engine) => self.select_chain(engine).is_ok(),
            None => self.choose_endpoint().is_some(),
        }
    }

    fn choose_endpoint(&self) -> Option<Hop> {
        let excluded = self.excluded_hops.iter().map(|hop| hop.id.clone());
        self.ctx.choose_endpoint(&excluded.collect::<SmallVec<[_; 4]>>())
    }

    fn admit_to_endpoint(&self) -> Result<Chain, RequestError> {
        if let Some(endpoint) = self.choose_endpoint() {
            return Ok(Chain::from_iter([endpoint]));
        }
        let none = (RefusalReason::NoEndpoint, "no endpoint left", NOT_EXECUTED_RETRY_AFTER);
        let (kind, reason, retry_after) = self.ctx.find_limit().unwrap_or(none);
        Err(self.unanswered_error(StatusCode::BAD_GATEWAY, kind, reason, retry_after))
    }

    async fn admit_to_engines(&self, engine: &Engine) -> Result<Chain, RequestError> {
        let state = self.state();
        let now = clock::now();
        let mut shortage = None;
        if state.pressure.borrow().waiting() == 0 {
            match self.select_chain(engine) {
                Ok(chain) => return Ok(self.record_admission(chain)),
                Err(
                    Shortage::Full(_)
                    | Shortage::Backlogged(_)
                    | Shortage::LinkFull(_)
                    | Shortage::Limited,
                ) => {}
                Err(lasting) => shortage = Some(lasting),
            }
        }
        if shortage.is_none() && state.pressure.borrow_mut().begin_wait(now) {
            let _waiting_guard = WaitingGuard(state);
            match self.wait_for_memory(engine, now + MAX_WAIT).await {
                Ok(chain) => return Ok(self.record_admission(chain)),
                Err(found) => shortage = Some(found),
            }
        }
        if let Some(Shortage::Uncovered(_)) = shortage
            && recheck::directory(state).await
        {
            match self.select_chain(engine) {
                Ok(chain) => return Ok(self.record_admission(chain)),
                Err(found) => shortage = Some(found),
            }
        }
        // If the queue is full, the layer is unknown and logged as 0.
        Err(self.shortage_error(engine, &shortage.unwrap_or(Shortage::Full(0))))
    }

    async fn wait_for_memory(&self, engine: &Engine, until: Instant) -> Result<Chain, Shortage> {
        let mut has_recorded = false;
        loop {
            let released = self.state().memory_released.notified();
            let shortage = match self.select_chain(engine) {
                Ok(chain) => return Ok(chain),
                Err(shortage) => shortage,
            };
            let left = until.min(self.ctx.deadline).since(clock::now());
            let is_lasting = matches!(shortage, Shortage::Uncovered(_) | Shortage::Resting);
            if is_lasting || left.is_zero() {
                return Err(shortage);
            }
            let is_link_full = matches!(shortage, Shortage::LinkFull(_));
            if is_link_full && !std::mem::replace(&mut has_recorded, true) {
                self.record_link_full(engine);
            }
            // The next iteration checks whether memory was released or time ran
            // out. Nothing signals that a limit or the link permits a request again.
            let is_checked = is_link_full || shortage == Shortage::Limited;
            let left = if is_checked { left.min(LIMIT_RECHECK) } else { left };
            drop(timeout(left, released).await);
        }
    }

    fn record_link_full(&self, engine: &Engine) {
        let random = self.state().random_fraction();
        let mut fleet = self.state().fleet.borrow_mut();
        fleet.record_link_full(engine, &self.demand, random, clock::now());
    }

    fn record_admission(&self, chain: Chain) -> Chain {
        let state = self.state();
        state.pressure.borrow_mut().record_admitted(clock::now());
        // There may be memory for the next waiting request as well.
        state.memory_released.notify_one();
        chain
    }

    fn select_chain(&self, engine: &Engine) -> Result<Chain, Shortage> {
        self.find_chain(engine, &self.demand, None, &self.excluded_hops)
    }

    pub(super) fn find_chain(
        &self,
        engine: &Engine,
        demand: &Demand,
        first: Option<&Hop>,
        avoid: &[Hop],
    ) -> Result<Chain, Shortage> {
        let zone = self.state().node().zone.clone();
        let query = self.query(engine, &zone, demand, first, avoid);
        self.state().fleet.borrow().chain(&query, clock::now())
    }

    fn query<'a>(
        &'a self,
        engine: &'a Engine,
        zone: &'a str,
        demand: &'a Demand,
        first: Option<&'a Hop>,
        avoid: &'a [Hop],
    ) -> Query<'a> {
        let service = &self.ctx.service.name;
        let allowance = self.allowance(first);
        Query { service, engine, zone, demand, first, avoid, allowance }
    }

    /// How far the request may load endpoints. One that has begun keeps what it has, and only
    /// the memory of further endpoints binds it.
    fn allowance(&self, first: Option<&Hop>) -> Allowance {
        let may_wait = first.is_none() && !self.has_begun;
        let max_backlog = may_wait.then(|| self.ctx.route.objective.mul_f64(BACKLOG_SHARE));
        Allowance { max_backlog, ..Allowance::default() }
    }

    fn log_shortage(&self, engine: &Engine, shortage: &Shortage) {
        let zone = self.state().node().zone.clone();
        let query = self.query(engine, &zone, &self.demand, None, &self.excluded_hops);
        let layer = shortage.layer();
        let holders = self.state().fleet.borrow().describe_holders(&query, layer, clock::now());
        let waiting = self.state().pressure.borrow().waiting();
        let is_link_full = matches!(shortage, Shortage::LinkFull(_));
        let describe_link = || self.state().fleet.borrow().describe_link(clock::now());
        let link = is_link_full.then(describe_link);
        emit!(self.state().log, Event::LayerShortage, "request" => &*self.ctx.id, "layer" => layer, "holders" => holders, "waiting" => waiting, "link" => link);
    }

    fn shortage_error(&self, engine: &Engine, shortage: &Shortage) -> RequestError {
        self.log_shortage(engine, shortage);
        let mut pressure = self.state().pressure.borrow_mut();
        pressure.record_refused(clock::now());
        let retry_after = pressure.retry_after(self.state().random_fraction());
        let limited = || self.state().record_limited(&self.ctx.service.name);
        let rest_left = || self.state().time_to_end_of_rest(&self.ctx.service.name);
        let retry_after = match shortage {
            Shortage::Limited => limited().unwrap_or(retry_after),
            Shortage::Resting => rest_left().unwrap_or(retry_after),
            Shortage::Full(_)
            | Shortage::Backlogged(_)
            | Shortage::LinkFull(_)
            | Shortage::Uncovered(_) => retry_after,
        };
        let (kind, reason) = match shortage {
            Shortage::Full(_) => (RefusalReason::Shed, "no memory free"),
            Shortage::Backlogged(_) => (RefusalReason::Shed, "too many prompts ahead"),
            Shortage::LinkFull(_) => (RefusalReason::Shed, "link between zones is full"),
            Shortage::Uncovered(_) => (RefusalReason::NoEndpoint, "layers without an endpoint"),
            Shortage::Limited => (RefusalReason::OverLimit, LIMITED_REASON),
            Shortage::Resting => (RefusalReason::OverLimit, RESTING_REASON),
        };
        if self.possible_executions > 0 {
            return RequestError::Failed(StatusCode::BAD_GATEWAY, reason);
        }
        RequestError::Refused(kind, reason, retry_after)
    }
}
