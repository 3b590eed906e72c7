//! Requests to plain services.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::CONTENT_ENCODING;
use hyper::{Response, StatusCode};
use mimosaplatform::header;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::Answer as Said;
use mimosashift::fleet::Hop;
use mimosashift::link::{Exchange, Failure};
use mimosashift::meter::{Outcome, RefusalReason};
use smallvec::SmallVec;
use tokio::time::timeout;

use super::{End, Job, pass_on};
use crate::body::Answer;
use crate::clock;
use crate::front::Front;

/// Largest answer of a plain service that is taken.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Sends that certainly did not run, beyond the route's attempts.
const MAX_REJECTED: u32 = 2;

/// Latency objectives after which an answer counts as lost if the request may
/// be sent elsewhere.
const LOST_AFTER: u32 = 2;

/// Least time after which an answer counts as lost: services vary by some
/// hundred milliseconds.
const MIN_LOST_AFTER: Duration = Duration::from_millis(200);

/// When a client is told to come back if every endpoint is full: some requests
/// have been served by then.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// What came of one send.
enum Sent {
    /// An answer to pass on.
    Answered(Response<Answer>, bool),
    /// It certainly did not run.
    NotRun(&'static str),
    /// It may have run.
    Lost(&'static str),
}

/// Counts a request at an endpoint until it is dropped.
struct Place<'a>(&'a Front, Hop);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fleet.borrow_mut().remove_request(&self.1);
    }
}

/// Relays a request to one endpoint after another.
pub async fn relay(job: Job) -> Result<Response<Answer>, End> {
    let mut tried: SmallVec<[Arc<str>; 4]> = SmallVec::new();
    let (mut may_have_run, mut rejected) = (0, 0);
    let mut last = None;
    let mut why = "no endpoint left";
    loop {
        if job.left().is_zero() {
            return Err(too_late(may_have_run > 0));
        }
        if !tried.is_empty() && !job.front.take_retry(&job.service.name) {
            break;
        }
        let now = clock::now();
        let zone = job.front.node().zone.clone();
        let hop = job.front.fleet.borrow().choose_endpoint(&job.service.name, &zone, &tried, now);
        let Some(hop) = hop else { break };
        let attempt = tried.len() as u32 + 1;
        if attempt > 1 {
            emit!(job.front.log, Event::RequestRetried, "request" => &*job.id, "attempt" => attempt, "reason" => why);
        }
        tried.push(hop.id.clone());
        let again = job.route.is_idempotent() && may_have_run + 1 < job.route.attempts;
        match send(&job, &hop, attempt, again).await {
            Sent::Answered(response, true) => return Ok(response),
            Sent::Answered(response, false) => {
                may_have_run += 1;
                why = "endpoint failed";
                last = Some(response);
            }
            Sent::NotRun(reason) => {
                rejected += 1;
                why = reason;
            }
            Sent::Lost(reason) => {
                may_have_run += 1;
                why = reason;
            }
        }
        let used_up = may_have_run > 0 && !job.route.is_idempotent();
        if used_up || may_have_run >= job.route.attempts || rejected > MAX_REJECTED {
            break;
        }
    }
    match last {
        Some(response) => Ok(response),
        None if may_have_run > 0 => Err(End::Failed(StatusCode::BAD_GATEWAY, why)),
        None => Err(End::Refused(RefusalReason::NoEndpoint, why, FULL_RETRY)),
    }
}

fn too_late(may_have_run: bool) -> End {
    if may_have_run {
        return End::Failed(StatusCode::GATEWAY_TIMEOUT, "deadline passed");
    }
    End::Refused(RefusalReason::Late, "deadline passed", FULL_RETRY)
}

/// Sends the request to one endpoint; with `again` it may be sent elsewhere
/// if no good answer comes.
async fn send(job: &Job, hop: &Hop, attempt: u32, again: bool) -> Sent {
    let front = &job.front;
    front.fleet.borrow_mut().add_request(hop);
    let _place = Place(front, hop.clone());
    let lost_after = (job.route.objective * LOST_AFTER).max(MIN_LOST_AFTER);
    let time = if again { job.left().min(lost_after) } else { job.left() };
    job.log_sent(attempt, &hop.id, "");
    let answered = timeout(time, exchange(job, hop)).await;
    let outcome = match answered {
        Ok(Ok((exchange, response))) => judge(job, exchange, response, again),
        Ok(Err(Failure::NotSent { reason, .. })) => {
            front.doubt(&hop.id, &reason);
            return Sent::NotRun("not sent");
        }
        Ok(Err(Failure::Lost { reason })) => {
            front.doubt(&hop.id, &reason);
            front.pool.forget(hop.address);
            return Sent::Lost("answer lost");
        }
        Err(_) => {
            front.doubt(&hop.id, "no answer in time");
            front.pool.forget(hop.address);
            return Sent::Lost("no answer in time");
        }
    };
    // An endpoint's own failure counts against it, also where it is passed on.
    let well = matches!(&outcome, Sent::Answered(r, _) if !r.status().is_server_error());
    front.fleet.borrow_mut().record_answer(&hop.id, well);
    if let Sent::Answered(response, true) = &outcome {
        let status = response.status();
        let label = if status.is_success() { Outcome::Completed } else { Outcome::Failed };
        front.meter.requests(1, label);
        job.log_answered(status, &hop.id);
    }
    outcome
}

async fn exchange(job: &Job, hop: &Hop) -> Result<(Exchange, Answer), Failure> {
    let request = job.request(hop, &[], job.last_event);
    let mut exchange = job.front.pool.send(hop.address, request, false).await?;
    let body = exchange.collect(MAX_ANSWER_BYTES).await?;
    Ok((exchange, Answer::Whole(Some(body))))
}

/// Whether an answer is the request's own and good.
fn judge(job: &Job, exchange: Exchange, body: Answer, again: bool) -> Sent {
    let status = exchange.head.status();
    let said: Said = header::answer(exchange.head.headers());
    if !job.owns(&said, status) {
        job.front.pool.forget(exchange.address());
        emit!(job.front.log, Event::ReplyDropped, "request" => &*job.id, "answers" => said.id.unwrap_or_default());
        return Sent::Lost("answer to another request");
    }
    if said.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun("rejected by the endpoint");
    }
    let altered = exchange.head.headers().contains_key(CONTENT_ENCODING);
    if status.is_success() && (!said.signed || altered) {
        return Sent::Lost("answer without a signature");
    }
    let well = !(status.is_server_error() && again);
    Sent::Answered(pass_on(&exchange.head, body), well)
}
