//! Relays requests for whole answers to plain services.

use std::pin::pin;
use std::sync::Arc;

use hyper::body::Bytes;
use hyper::{Response, StatusCode};
use mimosashift::connection_pool::{Exchange, Failure, Framing, Reuse, Witness};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::Hop;
use mimosashift::meter::{Outcome, RefusalReason};
use smallvec::SmallVec;
use tokio::time::timeout;

use super::answer::{Source, Verdict};
use super::endpoint::{NO_ANSWER_REASON, NOT_EXECUTED_RETRY_AFTER};
use super::peer::{Path, Relay, UNREACHABLE_REASON};
use super::{
    EXHAUSTED_REASON, MAX_RESPONSE_BYTES, RequestContext, RequestError, Run, STRAY_REASON, Target,
    UNKNOWN_END_REASON, forward_response, relayed_outcome, stop,
};
use crate::body::ResponseBody;
use crate::call::CallError;
use crate::state::RouterState;
use crate::{clock, probe, reach};

/// Number of rejected sends, in addition to the attempts of the route, after
/// which a request is sent at most once more.
const MAX_REJECTED_SENDS: u32 = 2;

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
        if stop::outlasts_router(&ctx, |left| stop::probably_outlasts(&ctx, left)) {
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
        let (target, outcome) = match ctx.path(&tried) {
            Path::Relayed(relay) => {
                tried.push(relay.name.clone());
                let outcome =
                    send_through(&ctx, &relay, attempt, possible_executions, &tried).await;
                (Target::from(&relay), outcome)
            }
            Path::Lost => {
                (cause, retry_after) = (UNREACHABLE_REASON, ctx.unreachable_retry_after());
                break;
            }
            Path::Direct => {
                let Some(hop) = ctx.choose_endpoint(&tried) else {
                    if let Some(limit) = ctx.find_limit() {
                        (reason, cause, retry_after) = limit;
                    }
                    break;
                };
                tried.push(hop.id.clone());
                let can_retry =
                    ctx.route.is_idempotent() && possible_executions + 1 < ctx.route.attempts;
                (Target::from(&hop), send(&ctx, &hop, attempt, can_retry, &tried).await)
            }
        };
        match outcome {
            SendOutcome::Answered(response, true) => return Ok(response),
            SendOutcome::Answered(response, false) => {
                possible_executions += 1;
                cause = "endpoint failed";
                ctx.record_send_ended(attempt, &target, Run::Possible, cause);
                last_response = Some(response);
            }
            SendOutcome::NotRun(reason) => {
                rejected_sends += 1;
                cause = reason;
                ctx.record_send_ended(attempt, &target, Run::None, cause);
            }
            SendOutcome::Lost(reason) => {
                possible_executions += 1;
                cause = reason;
                ctx.record_send_ended(attempt, &target, Run::Possible, cause);
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

fn deadline_error(may_have_run: bool) -> RequestError {
    if may_have_run {
        return RequestError::Failed(StatusCode::GATEWAY_TIMEOUT, "deadline passed");
    }
    RequestError::Refused(RefusalReason::Late, "deadline passed", NOT_EXECUTED_RETRY_AFTER)
}

/// Whether the request may be sent elsewhere than to the endpoints and routers in `tried`.
fn has_alternative(ctx: &RequestContext, tried: &[Arc<str>]) -> bool {
    let is_known = match ctx.path(tried) {
        Path::Direct => ctx.choose_endpoint(tried).is_some(),
        Path::Relayed(_) => true,
        Path::Lost => false,
    };
    let is_stopped = stop::outlasts_router(ctx, |left| stop::probably_outlasts(ctx, left));
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
    let send_timeout = if can_retry { ctx.retryable_timeout() } else { ctx.remaining() };
    ctx.log_sent(attempt, hop, &hop.id, "");
    // It must be open before the request is sent.
    let witness = state.pool.witness(hop.address).await;
    let witness = witness.as_deref();
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
        Ok(Ok((exchange, _))) if may_be_cut_short(ctx, hop, &exchange, witness).await => {
            record_loss(ctx, hop, UNKNOWN_END_REASON).await;
            return SendOutcome::Lost(UNKNOWN_END_REASON);
        }
        Ok(Ok((exchange, body))) => check_answer(ctx, hop, exchange, body, can_retry),
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

/// Whether a success that ended with its connection is not known to be whole.
async fn may_be_cut_short(
    ctx: &RequestContext,
    hop: &Hop,
    exchange: &Exchange,
    witness: Option<&Witness>,
) -> bool {
    exchange.head.status().is_success()
        && exchange.framing == Framing::UntilClose
        && !probe::is_same_process(&ctx.state, hop, witness, &ctx.service.health_path).await
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
            match ctx.check_head(&exchange, Source::Router(&relay.name)) {
                // It was not run there, but may have been before.
                Verdict::NotRun if executions > 0 => {
                    return SendOutcome::NotRun("refused by a router");
                }
                Verdict::Withheld(reason) => return SendOutcome::Lost(reason),
                Verdict::NotRun | Verdict::Accepted => {}
            }
            let status = exchange.head.status();
            ctx.state.meter.requests(1, relayed_outcome(status));
            ctx.log_answered(status, &relay.name);
            let body = ResponseBody::Full(Some(body));
            SendOutcome::Answered(forward_response(&exchange.head, body), true)
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
    let mut exchange = ctx.state.call(hop, request, Reuse::Request(&ctx.carriers)).await?;
    let body = exchange.collect(MAX_RESPONSE_BYTES).await?;
    Ok((exchange, body))
}

/// Checks that an endpoint's answer is acceptable.
fn check_answer(
    ctx: &RequestContext,
    hop: &Hop,
    exchange: Exchange,
    body: Bytes,
    can_retry: bool,
) -> SendOutcome {
    match ctx.check_head(&exchange, Source::Endpoint(&hop.id)) {
        Verdict::Accepted => {}
        Verdict::NotRun => return SendOutcome::NotRun("rejected by the endpoint"),
        Verdict::Withheld(reason) => return SendOutcome::Lost(reason),
    }
    let forward = !(exchange.head.status().is_server_error() && can_retry);
    let body = ResponseBody::Full(Some(body));
    SendOutcome::Answered(forward_response(&exchange.head, body), forward)
}
