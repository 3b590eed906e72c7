//! Keeps requests that crash endpoints away from them.

use hyper::StatusCode;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Hop, name_key};
use mimosashift::meter::RefusalReason;
use mimosashift::quarantine::{Content, Verdict};

use super::{RequestContext, RequestError};
use crate::clock;
use crate::state::millis;

/// Maximum number of contents in a log line.
const MAX_LOGGED_CONTENTS: usize = 8;

/// Reason for refusing a request with a content that is blocked.
pub(super) const fn blocked_reason(content: Content) -> &'static str {
    match content {
        Content::Part(_) => "a part of the prompt crashes engines",
        Content::Request(_) => "a request with this content crashes endpoints",
    }
}

impl RequestContext {
    /// The contents, for logs: the request as a whole last.
    pub(super) fn describe_contents(&self) -> String {
        let (request, parts) = self.contents.split_last().expect("a request has a fingerprint");
        let parts = parts.iter().take(MAX_LOGGED_CONTENTS - 1);
        let names: Vec<_> = parts.chain([request]).map(Content::to_string).collect();
        names.join(", ")
    }

    /// Refuses the request if one of its contents is blocked.
    pub(super) fn check_contents(&self, may_have_run: bool) -> Result<(), RequestError> {
        let state = &self.state;
        match state.admit_contents(&self.contents) {
            Verdict::Admitted => Ok(()),
            Verdict::Trial(content) => {
                emit!(state.log, Event::ContentTried, "content" => content.to_string(), "request" => &*self.id);
                Ok(())
            }
            Verdict::Blocked(content, left) => {
                emit!(state.log, Event::ContentRefused, "content" => content.to_string(), "request" => &*self.id, "blocked_ms" => millis(left));
                let reason = blocked_reason(content);
                Err(if may_have_run {
                    RequestError::Failed(StatusCode::BAD_GATEWAY, reason)
                } else {
                    RequestError::Refused(RefusalReason::Blocked, reason, left)
                })
            }
        }
    }

    /// Records that an endpoint crashed when it began to run the request.
    pub(super) fn record_crash(&self, hop: &Hop, events: usize) {
        let state = &self.state;
        emit!(state.log, Event::EndpointCrashed, "request" => &*self.id, "endpoint" => &*hop.id, "incarnation" => hop.incarnation, "events" => events, "contents" => self.describe_contents());
        let crash = (name_key(&hop.id), hop.incarnation);
        state.update_quarantine(&self.id, |quarantine| {
            quarantine.record_crash(&self.contents, crash, clock::now());
        });
        state.peers.borrow_mut().expedite(clock::now());
    }

    /// Records that an endpoint has run the request without a crash.
    pub(super) fn record_success(&self) {
        self.state.update_quarantine(&self.id, |quarantine| {
            quarantine.record_success(&self.contents, clock::now());
        });
    }
}
