//! Relays requests to services without an engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use mimosashift::connection_pool::{Exchange, Failure, Framing};
use mimosashift::deployment::RouteKind;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::event_stream::{self, InvalidStream};
use mimosashift::fleet::Hop;
use mimosashift::meter::{Outcome, RefusalReason};
use smallvec::SmallVec;
use tokio::time::timeout;

use super::answer::{Source, Verdict};
use super::peer::{Path, Relay, UNREACHABLE_REASON};
use super::{
    CRASHED_REASON, EXHAUSTED_REASON, LIMITED_REASON, MAX_RESPONSE_BYTES, RESTING_REASON,
    RequestContext, RequestError, STRAY_REASON, forward_response, peer, relayed_outcome, stop,
};
use crate::body::ResponseBody;
use crate::call::CallError;
use crate::state::RouterState;
use crate::{clock, probe, reach};

/// Number of rejected sends, in addition to the attempts of the route, after
/// which a request is sent at most once more.
const MAX_REJECTED_SENDS: u32 = 2;

/// Multiple of the route's target latency after which a request that may be
/// sent elsewhere times out.
const TIMEOUT_OBJECTIVE_FACTOR: u32 = 2;

/// Minimum time after which such a request times out: service times vary by a
/// few hundred milliseconds.
const MIN_RETRYABLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry-After if no endpoint executed the request: if they were full, some
/// requests have been served by then.
const NOT_EXECUTED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Reason why an endpoint is suspect that has not answered within the time limit.
const NO_ANSWER_REASON: &str = "no answer in time";

/// Outcome of one send.
enum SendOutcome {
    /// A response, and whether it is forwarded instead of a retry.
    Answered(Response<ResponseBody>, bool),
    /// The request was certainly not executed.
    NotRun(&'static str),
    /// The request may have been executed.
    Lost(&'static str),
}

/// Counts a request against the load of an endpoint until dropped.
struct LoadGuard<'a>(&'a RouterState, Hop);

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.fleet.borrow_mut().remove_request(&self.1);
    }
}

/// Tries one endpoint after another.
pub async fn relay(ctx: RequestContext) -> Result<Response<ResponseBody>, RequestError> {
    let mut tried: SmallVec<[Arc<str>; 4]> = SmallVec::new();
    let (mut possible_executions, mut rejected_sends) = (ctx.origin.executions(), 0);
    let mut last_response = None;
    let mut cause = "no endpoint left";
    let (mut reason, mut retry_after) = (RefusalReason::NoEndpoint, NOT_EXECUTED_RETRY_AFTER);
    loop {
        if ctx.remaining().is_zero() {
            return Err(deadline_error(possible_executions > 0));
        }
        if stop::outlasts_router(&ctx, |left| stop::whole_answer_outlasts(&ctx, left)) {
            if possible_executions == 0 {
                return Err(stop::refusal(&ctx.state));
            }
            cause = stop::REASON;
            break;
        }
        ctx.check_contents(possible_executions > 0)?;
        if !tried.is_empty() && !ctx.state.take_retry(&ctx.service.name) {
            break;
        }
        let attempt = tried.len() as u32 + 1;
        if attempt > 1 {
            emit!(ctx.state.log, Event::RequestRetried, "request" => &*ctx.id, "attempt" => attempt, "reason" => cause);
        }
        let outcome = match ctx.path(&tried) {
            Path::Relayed(relay) => {
                tried.push(relay.name.clone());
                send_through(&ctx, &relay, attempt, possible_executions, &tried).await
            }
            Path::Lost => {
                (cause, retry_after) = (UNREACHABLE_REASON, ctx.unreachable_retry_after());
                break;
            }
            Path::Direct => {
                let Some(hop) = choose_endpoint(&ctx, &tried) else {
                    if let Some(wait) = ctx.state.record_limited(&ctx.service.name) {
                        (cause, reason) = (LIMITED_REASON, RefusalReason::OverLimit);
                        retry_after = wait;
                    } else if let Some(wait) = ctx.state.time_to_end_of_rest(&ctx.service.name) {
                        (cause, reason) = (RESTING_REASON, RefusalReason::OverLimit);
                        retry_after = wait;
                    }
                    break;
                };
                tried.push(hop.id.clone());
                let can_retry =
                    ctx.route.is_idempotent() && possible_executions + 1 < ctx.route.attempts;
                send(&ctx, &hop, attempt, can_retry, &tried).await
            }
        };
        match outcome {
            SendOutcome::Answered(response, true) => return Ok(response),
            SendOutcome::Answered(response, false) => {
                possible_executions += 1;
                cause = "endpoint failed";
                last_response = Some(response);
            }
            SendOutcome::NotRun(reason) => {
                rejected_sends += 1;
                cause = reason;
            }
            SendOutcome::Lost(reason) => {
                possible_executions += 1;
                cause = reason;
            }
        }
        let must_not_repeat = possible_executions > 0 && !ctx.route.is_idempotent();
        if must_not_repeat
            || possible_executions >= ctx.route.attempts
            || rejected_sends > MAX_REJECTED_SENDS
        {
            break;
        }
    }
    match last_response {
        Some(response) => Ok(response),
        None if possible_executions > 0 => {
            Err(RequestError::Failed(StatusCode::BAD_GATEWAY, cause))
        }
        None => Err(RequestError::Refused(reason, cause, retry_after)),
    }
}

fn choose_endpoint(ctx: &RequestContext, tried: &[Arc<str>]) -> Option<Hop> {
    let (zone, now) = (ctx.state.node().zone.clone(), clock::now());
    ctx.state.fleet.borrow().choose_endpoint(&ctx.service.name, &zone, tried, now)
}

fn deadline_error(may_have_run: bool) -> RequestError {
    if may_have_run {
        return RequestError::Failed(StatusCode::GATEWAY_TIMEOUT, "deadline passed");
    }
    RequestError::Refused(RefusalReason::Late, "deadline passed", NOT_EXECUTED_RETRY_AFTER)
}

/// Whether the request may be sent elsewhere than to the endpoints and routers in `tried`.
fn has_alternative(ctx: &RequestContext, tried: &[Arc<str>]) -> bool {
    let is_known = match ctx.path(tried) {
        Path::Direct => choose_endpoint(ctx, tried).is_some(),
        Path::Relayed(_) => true,
        Path::Lost => false,
    };
    let is_stopped = stop::outlasts_router(ctx, |left| stop::whole_answer_outlasts(ctx, left));
    is_known && !is_stopped && ctx.state.has_retry(&ctx.service.name)
}

/// Sends the request to one endpoint; `can_retry` tells whether it may be
/// sent elsewhere without an acceptable response.
async fn send(
    ctx: &RequestContext,
    hop: &Hop,
    attempt: u32,
    can_retry: bool,
    tried: &[Arc<str>],
) -> SendOutcome {
    let state = &ctx.state;
    state.fleet.borrow_mut().add_request(hop);
    let _load_guard = LoadGuard(state, hop.clone());
    let retryable_timeout =
        (ctx.route.objective * TIMEOUT_OBJECTIVE_FACTOR).max(MIN_RETRYABLE_TIMEOUT);
    let send_timeout = if can_retry { retryable_timeout } else { ctx.remaining() };
    ctx.log_sent(attempt, &hop.id, "");
    let mut sending = pin!(send_and_collect(ctx, hop));
    let mut result = timeout(send_timeout.min(ctx.remaining()), sending.as_mut()).await;
    if result.is_err() {
        state.mark_suspect(&hop.id, NO_ANSWER_REASON);
        state.pool.close_idle(hop.address);
    }
    // With no other endpoint to send it to, the late answer is the only one.
    while result.is_err() && !ctx.remaining().is_zero() && !has_alternative(ctx, tried) {
        result = timeout(send_timeout.min(ctx.remaining()), sending.as_mut()).await;
    }
    let outcome = match result {
        Ok(Ok((exchange, _)))
            if exchange.framing == Framing::UntilClose
                && probe::has_crashed(state, hop, &ctx.service.health_path).await =>
        {
            record_loss(ctx, hop, CRASHED_REASON).await;
            return SendOutcome::Lost(CRASHED_REASON);
        }
        Ok(Ok((exchange, body))) => {
            check_response(ctx, exchange, body, Source::Endpoint(&hop.id), can_retry)
        }
        Ok(Err(CallError::Stray)) => SendOutcome::Lost(STRAY_REASON),
        Ok(Err(CallError::Failed(Failure::NotSent { reason, .. }))) => {
            state.mark_suspect(&hop.id, &reason);
            return SendOutcome::NotRun("not sent");
        }
        Ok(Err(CallError::Failed(Failure::Lost { reason }))) => {
            record_loss(ctx, hop, &reason).await;
            return SendOutcome::Lost("answer lost");
        }
        Ok(Err(CallError::Failed(Failure::Exhausted))) => {
            ctx.log_given_up(&hop.id);
            state.mark_suspect(&hop.id, EXHAUSTED_REASON);
            return SendOutcome::Lost(EXHAUSTED_REASON);
        }
        Err(_) => return SendOutcome::Lost(NO_ANSWER_REASON),
    };
    // A server error counts against the endpoint even if its response is
    // forwarded.
    let succeeded =
        matches!(&outcome, SendOutcome::Answered(r, _) if !r.status().is_server_error());
    state.fleet.borrow_mut().record_answer(&hop.id, succeeded);
    if matches!(outcome, SendOutcome::Answered(..)) {
        ctx.record_success();
    }
    if let SendOutcome::Answered(response, true) = &outcome {
        ctx.record_latency();
        let status = response.status();
        let label = if status.is_success() { Outcome::Completed } else { Outcome::Failed };
        state.meter.requests(1, label);
        ctx.log_answered(status, &hop.id);
    }
    outcome
}

/// Records that an endpoint broke off its answer, and whether it crashed under the request.
async fn record_loss(ctx: &RequestContext, hop: &Hop, reason: &str) {
    let state = &ctx.state;
    state.mark_suspect(&hop.id, reason);
    state.pool.close_idle(hop.address);
    let failed = clock::now();
    if probe::has_crashed(state, hop, &ctx.service.health_path).await
        && reach::is_reached(state, &ctx.service.name, failed).await
    {
        ctx.record_crash(hop, 0);
    }
}

/// Sends the request through another router, whose response is final.
async fn send_through(
    ctx: &RequestContext,
    relay: &Relay,
    attempt: u32,
    executions: u32,
    tried: &[Arc<str>],
) -> SendOutcome {
    let response = async {
        let sending = ctx.send_to_router(relay, attempt, executions, ctx.last_event, tried);
        let mut exchange = sending.await?;
        let body = exchange.collect(MAX_RESPONSE_BYTES).await?;
        Ok::<_, CallError>((exchange, body))
    };
    match timeout(ctx.remaining(), response).await {
        Ok(Ok((exchange, body))) => {
            let outcome = match peer::is_refusal(&exchange) {
                // It was not run there, but may have been before.
                true if executions > 0 => return SendOutcome::NotRun("refused by a router"),
                true => {
                    let body = ResponseBody::Full(Some(body));
                    SendOutcome::Answered(forward_response(&exchange.head, body), true)
                }
                false => check_response(ctx, exchange, body, Source::Router(&relay.name), false),
            };
            if let SendOutcome::Answered(response, _) = &outcome {
                ctx.state.meter.requests(1, relayed_outcome(response.status()));
                ctx.log_answered(response.status(), &relay.name);
            }
            outcome
        }
        Ok(Err(CallError::Stray)) => SendOutcome::Lost(STRAY_REASON),
        Ok(Err(CallError::Failed(Failure::NotSent { .. }))) => {
            SendOutcome::NotRun("router not reached")
        }
        Ok(Err(CallError::Failed(Failure::Exhausted))) => {
            ctx.log_given_up(&relay.name);
            SendOutcome::Lost(EXHAUSTED_REASON)
        }
        Ok(Err(CallError::Failed(Failure::Lost { .. }))) | Err(_) => {
            SendOutcome::Lost("router did not answer")
        }
    }
}

async fn send_and_collect(ctx: &RequestContext, hop: &Hop) -> Result<(Exchange, Bytes), CallError> {
    let request = ctx.request(hop, &[], ctx.last_event);
    let mut exchange = ctx.state.call(hop, request, false).await?;
    let body = exchange.collect(MAX_RESPONSE_BYTES).await?;
    Ok((exchange, body))
}

/// Checks that a response is acceptable.
fn check_response(
    ctx: &RequestContext,
    exchange: Exchange,
    body: Bytes,
    by: Source<'_>,
    can_retry: bool,
) -> SendOutcome {
    match ctx.check_head(&exchange, by) {
        Verdict::Accepted => {}
        Verdict::NotRun => return SendOutcome::NotRun("rejected by the endpoint"),
        Verdict::Withheld(reason) => return SendOutcome::Lost(reason),
    }
    let status = exchange.head.status();
    let is_stream = matches!(ctx.route.kind, RouteKind::Stream { .. });
    if status.is_success() && is_stream {
        if event_stream::ends_inside_event(&body) {
            return SendOutcome::Lost("stream ended inside an event");
        }
        if event_stream::has_other_bytes(&body) {
            return SendOutcome::Lost(InvalidStream::NoField.label());
        }
        if exchange.framing == Framing::UntilClose && body.is_empty() {
            return SendOutcome::Lost("stream closed before its first event");
        }
    }
    let forward = !(status.is_server_error() && can_retry);
    let body = ResponseBody::Full(Some(body));
    SendOutcome::Answered(forward_response(&exchange.head, body), forward)
}
