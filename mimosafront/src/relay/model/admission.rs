//! Selects the chain for a request, and waits for memory.

use std::time::Duration;

use hyper::StatusCode;
use mimosashift::admit::pressure::MAX_WAIT;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Chain, Demand, Hop, Query, Shortage};
use mimosashift::meter::RefusalReason;
use mimosashift::time::Instant;
use tokio::time::timeout;

use super::{ModelRequest, recheck};
use crate::clock;
use crate::relay::{LIMITED_REASON, RESTING_REASON, RequestError};
use crate::state::RouterState;

/// Interval in which a waiting request checks whether a limit permits it.
const LIMIT_RECHECK: Duration = Duration::from_millis(25);

/// Counts a request as waiting until dropped.
struct WaitingGuard<'a>(&'a RouterState);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.pressure.borrow_mut().end_wait();
    }
}

impl ModelRequest {
    /// Selects a chain for the request once there is memory for it.
    pub(super) async fn admit(&self) -> Result<Chain, RequestError> {
        let state = self.state();
        let now = clock::now();
        let mut shortage = None;
        if state.pressure.borrow().waiting() == 0 {
            match self.select_chain() {
                Ok(chain) => return Ok(self.record_admission(chain)),
                Err(Shortage::Full(_) | Shortage::Limited) => {}
                Err(lasting) => shortage = Some(lasting),
            }
        }
        if shortage.is_none() && state.pressure.borrow_mut().begin_wait(now) {
            let _waiting_guard = WaitingGuard(state);
            match self.wait_for_memory(now + MAX_WAIT).await {
                Ok(chain) => return Ok(self.record_admission(chain)),
                Err(found) => shortage = Some(found),
            }
        }
        if let Some(Shortage::Uncovered(_)) = shortage
            && recheck::directory(state).await
        {
            match self.select_chain() {
                Ok(chain) => return Ok(self.record_admission(chain)),
                Err(found) => shortage = Some(found),
            }
        }
        // If the queue is full, the layer is unknown and logged as 0.
        Err(self.shortage_error(&shortage.unwrap_or(Shortage::Full(0))))
    }

    async fn wait_for_memory(&self, until: Instant) -> Result<Chain, Shortage> {
        loop {
            let released = self.state().memory_released.notified();
            let shortage = match self.select_chain() {
                Ok(chain) => return Ok(chain),
                Err(shortage) => shortage,
            };
            let left = until.min(self.ctx.deadline).since(clock::now());
            let is_lasting = matches!(shortage, Shortage::Uncovered(_) | Shortage::Resting);
            if is_lasting || left.is_zero() {
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

    pub(super) fn select_chain(&self) -> Result<Chain, Shortage> {
        self.find_chain(&self.demand, None, &self.excluded_hops)
    }

    pub(super) fn find_chain(
        &self,
        demand: &Demand,
        first: Option<&Hop>,
        avoid: &[Hop],
    ) -> Result<Chain, Shortage> {
        let zone = self.state().node().zone.clone();
        let query = self.query(&zone, demand, first, avoid);
        self.state().fleet.borrow().chain(&query, clock::now())
    }

    fn query<'a>(
        &'a self,
        zone: &'a str,
        demand: &'a Demand,
        first: Option<&'a Hop>,
        avoid: &'a [Hop],
    ) -> Query<'a> {
        let service = &self.ctx.service.name;
        Query { service, engine: &self.engine, zone, demand, first, avoid }
    }

    fn log_shortage(&self, shortage: &Shortage) {
        let zone = self.state().node().zone.clone();
        let query = self.query(&zone, &self.demand, None, &self.excluded_hops);
        let layer = shortage.layer();
        let holders = self.state().fleet.borrow().describe_holders(&query, layer, clock::now());
        let waiting = self.state().pressure.borrow().waiting();
        emit!(self.state().log, Event::LayerShortage, "request" => &*self.ctx.id, "layer" => layer, "holders" => holders, "waiting" => waiting);
    }

    fn shortage_error(&self, shortage: &Shortage) -> RequestError {
        self.log_shortage(shortage);
        let mut pressure = self.state().pressure.borrow_mut();
        pressure.record_refused(clock::now());
        let retry_after = pressure.retry_after(self.state().random_fraction());
        let limited = || self.state().record_limited(&self.ctx.service.name);
        let rest_left = || self.state().time_to_end_of_rest(&self.ctx.service.name);
        let retry_after = match shortage {
            Shortage::Limited => limited().unwrap_or(retry_after),
            Shortage::Resting => rest_left().unwrap_or(retry_after),
            Shortage::Full(_) | Shortage::Uncovered(_) => retry_after,
        };
        let (kind, reason) = match shortage {
            Shortage::Full(_) => (RefusalReason::Shed, "no memory free"),
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
