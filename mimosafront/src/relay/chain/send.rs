//! Sends a request to a chain, and checks the chain until the answer arrives.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use mimosaplatform::header;
use mimosashift::connection_pool::{Exchange, Failure, Reuse};
use mimosashift::emit;
use mimosashift::ending::Evidence;
use mimosashift::event::Event;
use mimosashift::fleet::{Chain, Demand, Hop, Member};

use super::ChainRequest;
use super::stall::{FaultyHops, StallCheck};
use super::stall_timer::{StallTimer, wait_for_fault_or_tick};
use crate::call::CallError;
use crate::relay::answer::{Source, Verdict};
use crate::relay::{EXHAUSTED_REASON, STRAY_REASON};
use crate::{clock, probe};

impl ChainRequest {
    /// Sends the request to a chain; returns the reason if the response must not
    /// be forwarded.
    pub(super) async fn send(
        &mut self,
        chain: Chain,
        attempt: u32,
    ) -> Result<Exchange, &'static str> {
        let ahead = self.prefill_ahead(&chain);
        let (to, inputs) = self.describe_send(&chain, ahead);
        let first = chain[0].clone();
        self.ctx.log_sent(attempt, &first, &to, &inputs);
        // A plain endpoint knows nothing of chains.
        let hops = if self.engine.is_some() { &chain[..] } else { &[] };
        let request = self.ctx.request(&first, hops, self.events.last());
        if let Some(engine) = &self.engine {
            self.state().meter.prefill_ahead(ahead.as_secs_f64());
            let mut fleet = self.state().fleet.borrow_mut();
            fleet.charge_link(engine, &chain, &self.demand, clock::now());
        }
        let evidence = Evidence::new(self.state().node().bounds.stall_timeout);
        self.evidence = Rc::new(RefCell::new(evidence));
        let claim = self.state().fleet.borrow_mut().claim(chain, &self.demand);
        self.claim = Some(claim);
        let (state, carriers) = (self.state().clone(), self.ctx.carriers.clone());
        if self.engine.is_none() {
            // It must be open before the request is sent.
            self.witness = state.pool.witness(first.address).await;
        }
        let sending = state.call(&first, request, Reuse::Request(&carriers));
        // This send may run as well.
        match self.watch_chain(sending, self.possible_executions + 1).await {
            Ok(exchange) => self.check_response(&first, exchange),
            Err(Some(CallError::Stray)) => {
                self.excluded_hops.push(first);
                self.possible_executions += 1;
                Err(STRAY_REASON)
            }
            Err(Some(CallError::Failed(Failure::NotSent { reason, .. }))) => {
                self.state().mark_suspect(&first.id, &reason);
                self.excluded_hops.push(first);
                self.rejected_sends += 1;
                Err("not sent")
            }
            Err(Some(CallError::Failed(Failure::Exhausted))) => {
                self.give_up_answer();
                self.possible_executions += 1;
                Err(EXHAUSTED_REASON)
            }
            Err(Some(CallError::Failed(Failure::Lost { reason }))) => {
                self.record_loss(&reason).await;
                self.possible_executions += 1;
                Err("answer lost")
            }
            Err(None) => {
                self.possible_executions += 1;
                Err("chain lost")
            }
        }
    }

    /// Time that the busiest endpoint of a chain needs to prefill what is ahead of the request;
    /// zero in a plain service.
    fn prefill_ahead(&self, chain: &Chain) -> Duration {
        let Some(engine) = &self.engine else { return Duration::ZERO };
        self.state().fleet.borrow().prefill_ahead(engine, chain, clock::now())
    }

    /// The hops of a chain and the inputs of its choice, for logs.
    fn describe_send(&self, chain: &Chain, ahead: Duration) -> (String, String) {
        let Some(engine) = &self.engine else { return (chain[0].id.to_string(), String::new()) };
        let to: Vec<_> = chain.iter().map(|hop| format!("{}:{}", hop.id, hop.layers)).collect();
        let Demand { prompt, output } = self.demand;
        let load = self.state().fleet.borrow().describe_load(engine, chain, clock::now());
        let ahead_ms = ahead.as_millis();
        (to.join(","), format!("prompt={prompt} output={output} ahead_ms={ahead_ms} {load}"))
    }

    /// Records that the first endpoint of the chain, if there is one, broke off its answer.
    pub(super) async fn record_loss(&mut self, reason: &str) {
        let Some(first) = self.claim.as_ref().map(|claim| claim.chain[0].clone()) else { return };
        self.state().mark_suspect(&first.id, reason);
        self.state().pool.close_idle(first.address);
        self.check_crash().await;
        self.exclude([first]);
    }

    /// Waits for the head or the body of an answer and checks the chain meanwhile; `Err(None)`
    /// if another chain is to be used instead, engines crash, or the deadline has passed. The
    /// request may have been executed `executions` times if it is.
    pub(super) async fn watch_chain<T>(
        &mut self,
        reading: impl Future<Output = Result<T, CallError>>,
        executions: u32,
    ) -> Result<T, Option<CallError>> {
        let mut reading = std::pin::pin!(reading);
        let mut stall_timer = StallTimer::new(self.stall_timeouts(), clock::now());
        let state = self.state().clone();
        loop {
            tokio::select! {
                result = reading.as_mut() => return result.map_err(Some),
                () = wait_for_fault_or_tick(&state) => {}
            }
            let now = clock::now();
            if now >= self.ctx.deadline {
                return Err(None);
            }
            if stall_timer.is_due(!self.known_faults().is_empty(), now) {
                match self.check_stall().await {
                    StallCheck::Progressing => stall_timer.schedule_recheck(now),
                    StallCheck::Healthy | StallCheck::Rerouted => {
                        stall_timer.on_check(clock::now())
                    }
                    StallCheck::Silent(_)
                        if self.ctx.route.is_idempotent() && self.may_move(executions) =>
                    {
                        return Err(None);
                    }
                    // An endpoint whose process has ended closes the connection instead.
                    StallCheck::Silent(_) => stall_timer.on_check(clock::now()),
                    StallCheck::Ended(_) => return Err(None),
                }
            }
        }
    }

    /// The hops of the chain that are known to be dead or slow.
    pub(super) fn known_faults(&self) -> FaultyHops {
        let fleet = self.state().fleet.borrow();
        let mut faulty = FaultyHops::default();
        for hop in self.claim.iter().flat_map(|claim| &claim.chain) {
            if fleet.is_dead(&hop.id) {
                faulty.dead.push(hop.clone());
            } else if fleet.get(&hop.id).is_some_and(Member::is_slow) {
                faulty.slow.push(hop.clone());
            }
        }
        faulty
    }

    fn check_response(
        &mut self,
        first: &Hop,
        exchange: Exchange,
    ) -> Result<Exchange, &'static str> {
        let status = exchange.head.status();
        match self.ctx.check_head(&exchange, Source::Endpoint(&first.id)) {
            Verdict::Accepted => self.possible_executions += 1,
            Verdict::NotRun => {
                // Dropping the exchange closes its connection, so that a copy of the refusal
                // answers no second send of this request to the same endpoint.
                self.rejected_sends += 1;
                let info = header::response(exchange.head.headers());
                self.exclude_at_fault(first, info.at_fault, status);
                return Err("rejected by an endpoint");
            }
            Verdict::Withheld(reason) => {
                self.possible_executions += 1;
                self.excluded_hops.push(first.clone());
                return Err(reason);
            }
        }
        if self.engine.is_none() {
            let succeeded = !status.is_server_error();
            self.state().fleet.borrow_mut().record_answer(&first.id, succeeded);
        }
        let can_retry = self.possible_executions < self.ctx.route.attempts;
        if status.is_server_error() && can_retry && self.ctx.route.is_idempotent() {
            self.excluded_hops.push(first.clone());
            return Err("endpoint failed");
        }
        Ok(exchange)
    }

    /// Excludes the endpoint that a response names as at fault, records it as out
    /// of memory and probes it; excludes the first endpoint if none is named.
    fn exclude_at_fault(
        &mut self,
        first: &Hop,
        at_fault: Option<std::net::SocketAddr>,
        status: StatusCode,
    ) {
        let chain = self.claim.as_ref().map(|claim| claim.chain.clone()).unwrap_or_default();
        let named = chain.iter().find(|hop| Some(hop.address) == at_fault);
        let named = named.filter(|_| self.engine.is_some());
        let hop = named.unwrap_or(first).clone();
        if named.is_some() {
            let state = self.state().clone();
            state.fleet.borrow_mut().record_cache_full(&hop.id, clock::now());
            let fill = self
                .engine
                .as_ref()
                .and_then(|engine| state.fleet.borrow().fill(engine, &hop.id, clock::now()));
            let fill = fill.map(|fill| format!("{fill:.2}"));
            emit!(state.log, Event::EndpointOverloaded, "endpoint" => &*hop.id, "request" => &*self.ctx.id, "status" => status.as_u16(), "fill" => fill);
            let hop = hop.clone();
            // The endpoint is not selected for a while, whatever the probe finds;
            // the probe tells whether it is dead.
            tokio::task::spawn_local(async move { drop(probe::check_alive(&state, &hop).await) });
        }
        self.excluded_hops.push(hop);
    }
}
