//! Selects the chain for a request, and waits for memory.

use std::time::Duration;

use hyper::StatusCode;
use mimosashift::admit::pressure::MAX_WAIT;
use mimosashift::admit::rank::Terms;
use mimosashift::deployment::Engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Allowance, Chain, Demand, Hop, Query, Shortage};
use mimosashift::meter::{Admission, RefusalReason};
use mimosashift::time::Instant;
use smallvec::SmallVec;
use tokio::time::timeout;

use super::{ChainRequest, recheck};
use crate::clock;
use crate::relay::endpoint::NOT_EXECUTED_RETRY_AFTER;
use crate::relay::{LIMITED_REASON, RESTING_REASON, RequestError};
use crate::waiting::Place;

/// Interval in which a waiting request checks whether a limit permits it.
const LIMIT_RECHECK: Duration = Duration::from_millis(25);

/// Reason for refusing a request that a more urgent one would not have been refused for.
const RESERVED_REASON: &str = "memory kept for more urgent requests";

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
        if state.waiting.pressure().ahead_of(self.ctx.terms.waits_as) == 0 {
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
        if shortage.is_none()
            && let Some(place) = state.waiting.begin(self.ctx.terms.waits_as, now)
        {
            match self.wait_for_memory(engine, &place, now + MAX_WAIT).await {
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

    async fn wait_for_memory(
        &self,
        engine: &Engine,
        place: &Place<'_>,
        until: Instant,
    ) -> Result<Chain, Shortage> {
        let mut has_turn = false;
        loop {
            let shortage = match self.select_chain(engine) {
                Ok(chain) => return Ok(chain),
                Err(shortage) => shortage,
            };
            if has_turn {
                place.pass_on();
            }
            let left = until.min(self.ctx.deadline).since(clock::now());
            let is_lasting = matches!(shortage, Shortage::Uncovered(_) | Shortage::Resting);
            if is_lasting || left.is_zero() {
                return Err(shortage);
            }
            // The next iteration checks whether memory was released or time ran
            // out. Nothing signals that a limit permits a request again.
            let left = if shortage == Shortage::Limited { left.min(LIMIT_RECHECK) } else { left };
            has_turn = timeout(left, place.turn()).await.is_ok();
        }
    }

    fn record_admission(&self, chain: Chain) -> Chain {
        let state = self.state();
        state.waiting.pressure().record_admitted(self.ctx.rank, clock::now());
        if self.ctx.priority.is_some() {
            state.meter.ranked(1, self.ctx.rank, Admission::Admitted);
        }
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
    /// the memory of further endpoints binds it. Any other is not sent where it could not
    /// begin within its objective.
    fn allowance(&self, first: Option<&Hop>) -> Allowance {
        if first.is_some() || self.has_begun {
            return Allowance { may_exceed_link: true, ..Allowance::default() };
        }
        let max_backlog = Some(self.ctx.route.objective);
        let cache_share = self.ctx.terms.cache_share;
        Allowance { cache_share, max_backlog, ..Allowance::default() }
    }

    /// Whether a more urgent request would find memory.
    fn is_reserved(&self, engine: &Engine, shortage: &Shortage) -> bool {
        if !matches!(shortage, Shortage::Full(_)) || !self.ctx.terms.reserves() {
            return false;
        }
        let zone = self.state().node().zone.clone();
        let own = self.query(engine, &zone, &self.demand, None, &self.excluded_hops);
        let cache_share = Terms::default().cache_share;
        let query = Query { allowance: Allowance { cache_share, ..own.allowance }, ..own };
        self.state().fleet.borrow().chain(&query, clock::now()).is_ok()
    }

    fn log_shortage(&self, engine: &Engine, shortage: &Shortage, is_reserved: bool) {
        let zone = self.state().node().zone.clone();
        let query = self.query(engine, &zone, &self.demand, None, &self.excluded_hops);
        let layer = shortage.layer();
        let holders = self.state().fleet.borrow().describe_holders(&query, layer, clock::now());
        let waiting = self.state().waiting.pressure().waiting();
        let ctx = &self.ctx;
        emit!(
            self.state().log, Event::LayerShortage,
            "request" => &*ctx.id, "layer" => layer, "holders" => holders, "waiting" => waiting,
            "rank" => ctx.rank.level(), "team" => ctx.team.as_deref(),
            "share" => format!("{:.3}", query.allowance.cache_share), "kept" => ctx.terms.is_kept,
            "reserved" => is_reserved,
        );
    }

    fn shortage_error(&self, engine: &Engine, shortage: &Shortage) -> RequestError {
        let is_reserved = self.is_reserved(engine, shortage);
        self.log_shortage(engine, shortage, is_reserved);
        let rank = self.ctx.rank;
        let mut pressure = self.state().waiting.pressure();
        pressure.record_refused(rank, clock::now());
        let retry_after = pressure.retry_after(rank, self.state().random_fraction());
        if self.ctx.priority.is_some() {
            self.state().meter.ranked(1, rank, Admission::Refused);
        }
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
            Shortage::Full(_) if is_reserved => (RefusalReason::Shed, RESERVED_REASON),
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
