//! Selects the chain for a request, and waits for memory.

use std::time::Duration;

use hyper::StatusCode;
use mimosashift::admit::pressure::{MAX_WAIT, MemoryPressure};
use mimosashift::deployment::Engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Allowance, Chain, Demand, Explanation, Hop, Query, Shortage};
use mimosashift::meter::RefusalReason;
use mimosashift::time::Instant;
use smallvec::SmallVec;
use tokio::time::timeout;

use super::{ChainRequest, recheck};
use crate::clock;
use crate::relay::endpoint::NOT_EXECUTED_RETRY_AFTER;
use crate::relay::{LIMITED_REASON, RESTING_REASON, RequestError};
use crate::state::RouterState;

/// Interval in which a waiting request checks whether a limit permits it.
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
                Err(found) if may_pass(&found) => {}
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
        loop {
            let released = self.state().memory_released.notified();
            let shortage = match self.select_chain(engine) {
                Ok(chain) => return Ok(chain),
                Err(shortage) => shortage,
            };
            let left = until.min(self.ctx.deadline).since(clock::now());
            if !may_pass(&shortage) || left.is_zero() {
                return Err(shortage);
            }
            // The next iteration checks whether memory was released or time ran
            // out. Nothing signals that a limit permits a request again.
            let left = if shortage == Shortage::Limited { left.min(LIMIT_RECHECK) } else { left };
            drop(timeout(left, released).await);
        }
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

    /// Explains the choice of the chain that [`select_chain`](Self::select_chain) makes.
    pub(super) fn explain_choice(&self, engine: &Engine) -> Explanation {
        let zone = self.state().node().zone.clone();
        let query = self.query(engine, &zone, &self.demand, None, &self.excluded_hops);
        self.state().fleet.borrow().explain_chain(&query, clock::now())
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
        emit!(self.state().log, Event::LayerShortage, "request" => &*self.ctx.id, "layer" => layer, "holders" => holders, "waiting" => waiting);
    }

    fn shortage_error(&self, engine: &Engine, shortage: &Shortage) -> RequestError {
        self.log_shortage(engine, shortage);
        self.state().pressure.borrow_mut().record_refused(clock::now());
        let random = self.state().random_fraction();
        let retry_after = self.retry_after(shortage, &self.state().pressure.borrow(), random);
        if *shortage == Shortage::Limited {
            self.state().record_limited(&self.ctx.service.name);
        }
        let (kind, reason) = refusal_reason(shortage);
        if self.possible_executions > 0 {
            return RequestError::Failed(StatusCode::BAD_GATEWAY, reason);
        }
        RequestError::Refused(kind, reason, retry_after)
    }

    /// When the client of a request that is refused for a shortage may come back, given a
    /// random number from `0.0..1.0`.
    pub(super) fn retry_after(
        &self,
        shortage: &Shortage,
        pressure: &MemoryPressure,
        random: f64,
    ) -> Duration {
        let (state, service) = (self.state(), &self.ctx.service.name);
        let wait = match shortage {
            Shortage::Limited => state.time_to_credit(service, random),
            Shortage::Resting => state.time_to_end_of_rest(service, random),
            Shortage::Full(_)
            | Shortage::Backlogged(_)
            | Shortage::LinkFull(_)
            | Shortage::Uncovered(_) => None,
        };
        wait.unwrap_or_else(|| pressure.retry_after(random))
    }
}

/// Whether a request may wait for the end of a shortage.
pub(super) const fn may_pass(shortage: &Shortage) -> bool {
    match shortage {
        Shortage::Full(_) | Shortage::Backlogged(_) | Shortage::LinkFull(_) | Shortage::Limited => {
            true
        }
        Shortage::Uncovered(_) | Shortage::Resting => false,
    }
}

/// Why a request is refused that finds a shortage.
pub(super) const fn refusal_reason(shortage: &Shortage) -> (RefusalReason, &'static str) {
    match shortage {
        Shortage::Full(_) => (RefusalReason::Shed, "no memory free"),
        Shortage::Backlogged(_) => (RefusalReason::Shed, "too many prompts ahead"),
        Shortage::LinkFull(_) => (RefusalReason::Shed, "link between zones is full"),
        Shortage::Uncovered(_) => (RefusalReason::NoEndpoint, "layers without an endpoint"),
        Shortage::Limited => (RefusalReason::OverLimit, LIMITED_REASON),
        Shortage::Resting => (RefusalReason::OverLimit, RESTING_REASON),
    }
}
