//! Reads whole answers: those of routes without streams, and errors.

use std::time::Duration;

use hyper::Response;
use hyper::body::Bytes;
use mimosashift::connection_pool::{Exchange, Failure, Framing};
use mimosashift::meter::Outcome;
use tokio::time::timeout;

use super::{ChainRequest, Opened};
use crate::body::ResponseBody;
use crate::call::CallError;
use crate::clock;
use crate::relay::{EXHAUSTED_REASON, MAX_RESPONSE_BYTES, forward_response, relayed_outcome};

/// Time within which the body of an error must arrive if the request may be sent elsewhere.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(200);

impl ChainRequest {
    /// Reads the rest of a success of a route without streams; returns the reason if it does not
    /// arrive whole.
    pub(super) async fn read_whole(
        &mut self,
        mut exchange: Exchange,
    ) -> Result<Opened, &'static str> {
        if let Some(claim) = &mut self.claim {
            let mut fleet = self.ctx.state.fleet.borrow_mut();
            fleet.record_progress(&claim.chain, None, clock::now());
            fleet.finish_prefill(claim);
        }
        let evidence = self.evidence.clone();
        let on_data = || evidence.borrow_mut().on_data(clock::now());
        let reading = async { Ok(exchange.collect_noting(MAX_RESPONSE_BYTES, on_data).await?) };
        let read = self.watch_chain(reading, self.possible_executions).await;
        let fault = match (&read, exchange.framing) {
            (Ok(_), Framing::UntilClose) => self.find_early_end().await,
            _ => None,
        };
        let reason = match read {
            Ok(body) => match fault {
                Some(reason) => {
                    self.record_loss(reason).await;
                    reason
                }
                None => {
                    self.record_success(true);
                    return Ok(Opened::Whole(exchange.head, body));
                }
            },
            Err(Some(CallError::Failed(Failure::Exhausted))) => {
                self.give_up_answer();
                return Err(EXHAUSTED_REASON);
            }
            Err(Some(failure)) => {
                self.record_loss(&failure.to_string()).await;
                "answer broke off"
            }
            Err(None) => "answer did not end",
        };
        self.exclude_first_hop();
        Err(reason)
    }

    /// Reads the rest of an error response, which is not a stream; returns the reason if it does
    /// not end in time. Only a request that may not be sent elsewhere waits for all the time that
    /// it has.
    pub(super) async fn read_failure(
        &mut self,
        mut exchange: Exchange,
    ) -> Result<Opened, &'static str> {
        if self.has_begun {
            // It is not forwarded within the stream.
            return Ok(Opened::Whole(exchange.head, Bytes::new()));
        }
        let may_resend =
            self.ctx.route.is_idempotent() && self.possible_executions < self.ctx.route.attempts;
        let limit = if may_resend { ERROR_BODY_TIMEOUT } else { Duration::MAX };
        let reading = exchange.collect(MAX_RESPONSE_BYTES);
        let body = timeout(limit.min(self.ctx.remaining()), reading).await;
        let reason = match body {
            Ok(Ok(body)) => return Ok(Opened::Whole(exchange.head, body)),
            Ok(Err(Failure::Exhausted)) => {
                self.give_up_answer();
                return Err(EXHAUSTED_REASON);
            }
            Ok(Err(_)) => "error broke off",
            Err(_) => "error did not end in time",
        };
        self.exclude_first_hop();
        Err(reason)
    }

    /// Forwards a whole answer.
    pub(super) fn forward_whole(&self, head: &Response<()>, body: Bytes) -> Response<ResponseBody> {
        let status = head.status();
        let outcome = match &self.relay {
            Some(_) => relayed_outcome(status),
            None if status.is_success() => Outcome::Completed,
            None => Outcome::Failed,
        };
        self.state().meter.requests(1, outcome);
        if !self.is_stream() {
            self.ctx.record_latency();
        }
        self.ctx.log_answered(status, &self.server());
        forward_response(head, ResponseBody::Full(Some(body)))
    }
}
