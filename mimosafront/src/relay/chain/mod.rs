//! Relays requests along chains of endpoints: admits them, selects a chain and forwards the
//! answer.
//!
//! The chains of an engine service run the layers of its model. An endpoint of a plain service
//! is a chain of its own, which gives no reports and cannot be rerouted.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use mimosashift::connection_pool::{Exchange, Witness};
use mimosashift::deployment::Engine;
use mimosashift::drain;
use mimosashift::emit;
use mimosashift::ending::Evidence;
use mimosashift::event::Event;
use mimosashift::event_stream::EventSplitter;
use mimosashift::fleet::{Claim, Demand, Hop};
use mimosashift::memory::Charge;
use mimosashift::meter::{Outcome, RefusalReason};
use mimosashift::time::Instant;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::peer::{Path, Relay, UNREACHABLE_REASON};
use super::{EXHAUSTED_REASON, RequestContext, RequestError, Run, Target, forward_response, stop};
use crate::body::ResponseBody;
use crate::clock;
use crate::state::{RouterState, millis};

mod admission;
mod crash;
mod end;
mod forward;
mod recheck;
mod send;
mod stall;
mod stall_timer;
mod through;
mod whole;

/// Number of chunks buffered for a slow client before its stream is held back.
const BUFFERED_CHUNKS: usize = 32;

/// Number of rejected sends, in addition to the attempts of the route, after
/// which a request is sent at most once more.
const MAX_REJECTED_SENDS: u32 = 4;

/// Largest response body to a reroute order.
const MAX_ORDER_RESPONSE_BYTES: usize = 1024 * 1024;

/// Retry-After if the deadline passed before the request was executed: in each
/// such interval a few streams end and free memory.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-After if no send was executed and no retry is left: small ranges of
/// layers load in about a second.
const RETRIES_EXHAUSTED_RETRY_AFTER: Duration = Duration::from_millis(700);

/// What answers a request.
enum Opened {
    /// The head of a stream, whose events follow.
    Stream(Exchange),
    /// A whole answer: an error, or one of a route without streams.
    Whole(Response<()>, Bytes),
}

/// A request and its progress.
struct ChainRequest {
    ctx: RequestContext,
    /// Parameters of the model engines; plain services have none.
    engine: Option<Arc<Engine>>,
    /// What it needs of each engine; a plain endpoint counts its requests only.
    demand: Demand,
    claim: Option<Claim>,
    /// The router that serves it instead of a chain.
    relay: Option<Relay>,
    /// Routers that were tried.
    tried_relays: SmallVec<[Arc<str>; 2]>,
    events: EventSplitter,
    /// The memory of its incomplete event.
    partial: Charge,
    /// Whether the head of the response has been forwarded.
    has_begun: bool,
    /// Number of events forwarded.
    events_forwarded: usize,
    /// When the first event arrived since the stream was last resumed.
    first_event_in_run: Option<Instant>,
    /// Whether the current run counts as a success of the prompt's parts.
    success_recorded: bool,
    /// Number of engines that crashed when they began to run the request.
    crashed_engines: u32,
    /// What the arrival of the current answer shows of its end.
    evidence: Rc<RefCell<Evidence>>,
    /// Shows whether the process of a plain endpoint lives that was sent the request.
    witness: Option<Rc<Witness>>,
    /// Number of reroutes around dead endpoints before the stream had had events
    /// for some time.
    moves_before_writing: u32,
    /// Timing of these events.
    timing: EventTiming,
    /// Number of sends that may have been executed.
    possible_executions: u32,
    /// Number of sends that were certainly not executed.
    rejected_sends: u32,
    /// Hops that are not selected again for this request.
    excluded_hops: SmallVec<[Hop; 4]>,
    /// Whether the outcome is counted in the metrics, or left to the caller.
    outcome_recorded: bool,
}

/// Timing of the events of a stream, for its log line.
#[derive(Default)]
struct EventTiming {
    /// Time to the first event.
    time_to_first: Duration,
    /// When the last event was received.
    last_event_at: Instant,
    /// Longest time between two events.
    longest_gap: Duration,
    /// Last event before that gap.
    longest_gap_after: Option<u64>,
}

impl Drop for ChainRequest {
    fn drop(&mut self) {
        self.release();
        if !self.outcome_recorded {
            let state = &self.ctx.state;
            state.meter.requests(1, Outcome::Cancelled);
            let ms = millis(clock::now().since(self.ctx.arrived));
            emit!(state.log, Event::RequestCancelled, "request" => &*self.ctx.id, "connection" => self.ctx.connection(), "ms" => ms, "events" => self.events_forwarded);
        }
    }
}

/// Relays a request for a stream, whose events are forwarded as they arrive, or to engines for
/// a whole answer.
pub async fn relay(ctx: RequestContext) -> Result<Response<ResponseBody>, RequestError> {
    let mut session = ChainRequest::new(ctx);
    let mut exchange = match session.open().await {
        Ok(Opened::Stream(exchange)) => exchange,
        Ok(Opened::Whole(head, body)) => {
            session.outcome_recorded = true;
            return Ok(session.forward_whole(&head, body));
        }
        Err(end) => {
            session.outcome_recorded = true;
            return Err(end);
        }
    };
    let (sender, chunks) = mpsc::channel(BUFFERED_CHUNKS);
    let response = forward_response(&exchange.head, ResponseBody::Stream(chunks));
    exchange.head.headers_mut().clear();
    session.has_begun = true;
    tokio::task::spawn_local(session.forward_stream(exchange, sender));
    Ok(response)
}

impl ChainRequest {
    fn new(ctx: RequestContext) -> Self {
        let engine = ctx.service.engine.clone();
        let demand = match (&engine, ctx.tokens) {
            (None, _) => Demand { prompt: 0.0, output: 0.0 },
            (Some(engine), None) => {
                let usual = engine.typical_request;
                Demand { prompt: usual.prompt, output: usual.output }
            }
            (Some(engine), Some(tokens)) => {
                let usual = engine.typical_request.output;
                let hint = tokens.output_hint.map_or(usual, f64::from);
                let output = hint.min(f64::from(tokens.max_output));
                Demand { prompt: f64::from(tokens.prompt), output }
            }
        };
        let events = EventSplitter::after(ctx.last_event);
        let partial = ctx.state.budget.charge();
        let possible_executions = ctx.origin.executions();
        let evidence = Evidence::new(ctx.state.node().bounds.stall_timeout);
        let evidence = Rc::new(RefCell::new(evidence));
        Self {
            ctx,
            engine,
            demand,
            claim: None,
            relay: None,
            tried_relays: SmallVec::new(),
            events,
            partial,
            has_begun: false,
            events_forwarded: 0,
            first_event_in_run: None,
            success_recorded: false,
            crashed_engines: 0,
            evidence,
            witness: None,
            moves_before_writing: 0,
            timing: EventTiming::default(),
            possible_executions,
            rejected_sends: 0,
            excluded_hops: SmallVec::new(),
            outcome_recorded: false,
        }
    }

    fn state(&self) -> &Rc<RouterState> {
        &self.ctx.state
    }

    fn is_stream(&self) -> bool {
        self.ctx.route.kind.is_stream()
    }

    /// Number of tokens of each event, for engines.
    fn tokens_per_event(&self) -> u32 {
        self.engine.as_ref().map_or(0, |engine| engine.tokens_per_event)
    }

    /// Times without an event or answer after which the chain is checked.
    fn stall_timeouts(&self) -> stall_timer::Timeouts {
        match self.engine {
            Some(_) => stall_timer::Timeouts::ENGINES,
            None => stall_timer::Timeouts::plain(self.ctx.retryable_timeout()),
        }
    }

    fn release(&mut self) {
        self.relay = None;
        if let Some(claim) = self.claim.take() {
            self.state().fleet.borrow_mut().release(&claim);
            self.state().waiting.wake();
        }
    }

    /// Checks that this router does not cut off the answer if the request is sent now. A stream
    /// that has begun ends in any case without this send.
    pub(super) fn check_stop(&self) -> Result<(), RequestError> {
        if self.has_begun || !stop::outlasts_router(&self.ctx, |left| self.outlasts(left)) {
            return Ok(());
        }
        Err(stop::error(self.state(), self.possible_executions > 0))
    }

    /// Whether the answer probably takes longer than `left`. As long as the load balancer may
    /// lead a client that is refused back to this router, a stream is begun if it is likely to
    /// fit, or if no other router can serve it.
    fn outlasts(&self, left: Duration) -> bool {
        if self.engine.is_none() || !self.is_stream() {
            return stop::probably_outlasts(&self.ctx, left);
        }
        let state = self.state();
        let Demand { prompt, output } = self.demand;
        let max_output = self.ctx.tokens.map_or(f64::INFINITY, |t| f64::from(t.max_output));
        let stream = drain::Stream { prompt, output, max_output };
        let paces = state.stream_pace.borrow();
        let pace = paces.get(&self.ctx.service.name).copied().unwrap_or_default();
        if state.is_balanced_away.get() {
            return !pace.surely_fits(&stream, left);
        }
        !pace.fits(&stream, left) && stop::has_other_router(state)
    }

    /// Tries one chain after another until one opens a stream or fails the request.
    async fn open(&mut self) -> Result<Opened, RequestError> {
        let mut cause = "no chain left";
        loop {
            if self.ctx.remaining().is_zero() {
                return Err(self.unanswered_error(
                    StatusCode::GATEWAY_TIMEOUT,
                    RefusalReason::Late,
                    "deadline passed",
                    DEADLINE_RETRY_AFTER,
                ));
            }
            self.check_stop()?;
            self.ctx.check_contents(self.possible_executions > 0)?;
            let sends =
                self.possible_executions - self.ctx.origin.executions() + self.rejected_sends;
            if sends > 0 {
                let must_not_repeat =
                    self.possible_executions > 0 && !self.ctx.route.is_idempotent();
                let must_not_repeat = must_not_repeat || self.may_have_crashed_engines();
                let attempts_used = self.possible_executions >= self.ctx.route.attempts;
                if must_not_repeat
                    || attempts_used
                    || self.rejected_sends > MAX_REJECTED_SENDS
                    || !self.take_retry(cause)
                {
                    return Err(self.unanswered_error(
                        StatusCode::BAD_GATEWAY,
                        RefusalReason::NoEndpoint,
                        cause,
                        RETRIES_EXHAUSTED_RETRY_AFTER,
                    ));
                }
            }
            let executions = self.possible_executions;
            let (target, sent) = match self.ctx.path(&self.tried_relays) {
                Path::Direct => {
                    let chain = self.admit().await?;
                    // The router may have been stopped while the request waited for memory.
                    self.check_stop()?;
                    (Target::from(&chain[0]), self.send(chain, sends + 1).await)
                }
                Path::Relayed(relay) => {
                    (Target::from(&relay), self.send_through(relay, sends + 1).await)
                }
                Path::Lost => {
                    return Err(self.unanswered_error(
                        StatusCode::BAD_GATEWAY,
                        RefusalReason::NoEndpoint,
                        UNREACHABLE_REASON,
                        self.ctx.unreachable_retry_after(),
                    ));
                }
            };
            let opened = match sent {
                Ok(exchange) if !exchange.head.status().is_success() => {
                    self.read_failure(exchange).await
                }
                Ok(exchange) if self.is_stream() => Ok(Opened::Stream(exchange)),
                Ok(exchange) => self.read_whole(exchange).await,
                Err(reason) => Err(reason),
            };
            match opened {
                Ok(opened) => return Ok(opened),
                Err(reason) => cause = reason,
            }
            let has_run = self.possible_executions > executions;
            let run = if has_run { Run::Possible } else { Run::None };
            self.ctx.record_send_ended(sends + 1, &target, run, cause);
            self.release();
        }
    }

    fn take_retry(&self, cause: &str) -> bool {
        let taken = self.state().take_retry(&self.ctx.service.name);
        if taken {
            let (request, last) = (&*self.ctx.id, self.events.last());
            emit!(self.state().log, Event::RequestRetried, "request" => request, "attempt" => self.possible_executions + self.rejected_sends + 1, "reason" => cause, "after_event" => last);
        }
        taken
    }

    /// The error for a request that gets no response.
    fn unanswered_error(
        &self,
        status: StatusCode,
        kind: RefusalReason,
        reason: &'static str,
        retry_after: Duration,
    ) -> RequestError {
        if self.possible_executions > 0 {
            return RequestError::Failed(status, reason);
        }
        RequestError::Refused(kind, reason, retry_after)
    }

    /// The demand of the rest of the request.
    fn remaining_demand(&self) -> Demand {
        let tokens_per_event = f64::from(self.tokens_per_event());
        let generated = self.events_forwarded as f64 * tokens_per_event;
        let output = (self.demand.output - generated).max(tokens_per_event);
        Demand { prompt: self.demand.prompt + generated, output }
    }

    /// Records that the answer is given up, as the memory for buffered data is used up.
    fn give_up_answer(&mut self) {
        self.ctx.log_given_up(&self.server());
        if let Some(claim) = &self.claim {
            self.state().mark_suspect(&claim.chain[0].id, EXHAUSTED_REASON);
        }
        self.exclude_first_hop();
    }

    /// Id of the first endpoint of the chain, or name of the router, that serves the request;
    /// empty without one.
    fn server(&self) -> Arc<str> {
        let first = self.claim.as_ref().map(|claim| claim.chain[0].id.clone());
        first.or_else(|| self.relay.as_ref().map(|relay| relay.name.clone())).unwrap_or_default()
    }
}
