//! Checks the heads of the answers of endpoints and of other routers.

use hyper::StatusCode;
use hyper::header::CONTENT_ENCODING;
use mimosaplatform::header;
use mimosashift::connection_pool::Exchange;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange;

use super::{RequestContext, peer};

/// Reason for failing a request after a status that would promise, without a statement of who
/// gave it, that the request has not run.
const WITHHELD_REASON: &str = "endpoint failed and may have run it";

/// Who gave an answer, by id or name.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source<'a> {
    Endpoint(&'a str),
    Router(&'a str),
}

/// What follows from the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The answer may be passed on.
    Accepted,
    /// The request has not run where it was sent.
    NotRun,
    /// The answer must not be passed on, for this reason; the request may have run.
    Withheld(&'static str),
}

impl Source<'_> {
    const fn name(&self) -> &str {
        match self {
            Self::Endpoint(name) | Self::Router(name) => name,
        }
    }

    /// Whether the answer states that the request has not run.
    fn states_not_run(&self, answer: &Exchange) -> bool {
        match self {
            Self::Endpoint(_) => {
                let info = header::response(answer.head.headers());
                info.not_run || answer.head.status() == StatusCode::MISDIRECTED_REQUEST
            }
            Self::Router(_) => peer::is_refusal(answer),
        }
    }
}

impl RequestContext {
    /// Checks the head of an answer, in the same way for every route and service: it promises
    /// nothing that it does not state, and a success is signed and not encoded. See
    /// `docs/design/http.md`, "Answers".
    pub(super) fn check_head(&self, answer: &Exchange, by: Source<'_>) -> Verdict {
        if by.states_not_run(answer) {
            return Verdict::NotRun;
        }
        let (status, headers) = (answer.head.status(), answer.head.headers());
        if exchange::is_promise(status.as_u16()) {
            emit!(
                self.state.log, Event::AnswerWithheld,
                "request" => &*self.id, "status" => status.as_u16(), "by" => by.name(),
            );
            return Verdict::Withheld(WITHHELD_REASON);
        }
        if status.is_success() && !header::response(headers).signed {
            return Verdict::Withheld("answer without a signature");
        }
        if status.is_success() && headers.contains_key(CONTENT_ENCODING) {
            return Verdict::Withheld("answer with a content encoding");
        }
        Verdict::Accepted
    }
}
