//! Finds prompt parts that crash engines, and keeps requests with them away.

use std::time::Duration;

use hyper::StatusCode;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Hop, name_key};
use mimosashift::meter::RefusalReason;
use mimosashift::quarantine::Verdict;

use super::ModelRequest;
use crate::clock;
use crate::probe::{self, ProbeResult};
use crate::relay::{RequestError, describe_parts};
use crate::state::millis;

/// Time for which a stream must have had events before its prompt counts as
/// harmless: many steps of an engine.
const PROOF_TIME: Duration = Duration::from_millis(500);

/// Reason for refusing a request with a blocked part.
const BLOCKED_REASON: &str = "a part of the prompt crashes engines";

impl ModelRequest {
    /// Whether the events of the current run span `PROOF_TIME`.
    pub(super) fn has_written_for_long(&self) -> bool {
        let first = self.first_event_in_run;
        first.is_some_and(|first| self.timing.last_event_at.since(first) >= PROOF_TIME)
    }

    /// Checks whether the first engine, which has closed the connection, crashed
    /// when it began to run the request.
    pub(super) async fn check_crash(&mut self) {
        let Some(first) = self.claim.as_ref().map(|claim| claim.chain[0].clone()) else { return };
        if self.has_written_for_long() {
            return;
        }
        let crashed = match probe::check_still_alive(self.state(), &first).await {
            ProbeResult::Dead(_) => true,
            ProbeResult::Alive(report) => report.incarnation != first.incarnation,
        };
        if crashed {
            self.record_crash(&first);
        }
    }

    /// Checks which of the dead engines of the chain crashed when the request began
    /// to run. One that does not answer at all may be cut off instead.
    pub(super) async fn check_crashes(&mut self, dead: &[Hop]) {
        if self.has_written_for_long() {
            return;
        }
        for hop in dead {
            if let ProbeResult::Dead(error) = probe::check_alive(self.state(), hop).await
                && error.closed
            {
                self.record_crash(hop);
            }
        }
    }

    fn record_crash(&mut self, hop: &Hop) {
        self.crashed_engines += 1;
        let state = self.state();
        let (crash, parts) = ((name_key(&hop.id), hop.incarnation), &self.ctx.shared_parts);
        emit!(state.log, Event::EndpointCrashed, "request" => &*self.ctx.id, "endpoint" => &*hop.id, "incarnation" => hop.incarnation, "events" => self.events_forwarded, "parts" => describe_parts(parts), "content" => self.ctx.fingerprint.to_string());
        state.update_quarantine(&self.ctx.id, |quarantine| {
            quarantine.record_crash(parts, crash, clock::now());
        });
        state.peers.borrow_mut().expedite(clock::now());
    }

    /// Records once for each run that its engine has not crashed: after
    /// `PROOF_TIME`, or at the end of the stream.
    pub(super) fn record_success(&mut self, is_complete: bool) {
        if self.success_recorded || !(is_complete || self.has_written_for_long()) {
            return;
        }
        self.success_recorded = true;
        let parts = &self.ctx.shared_parts;
        if !parts.is_empty() {
            self.state().update_quarantine(&self.ctx.id, |quarantine| {
                quarantine.record_success(parts, clock::now());
            });
        }
    }

    /// Refuses the request if a part of its prompt is blocked.
    pub(super) fn check_parts(&self) -> Result<(), RequestError> {
        match self.state().admit_parts(&self.ctx.shared_parts) {
            Verdict::Admitted => Ok(()),
            Verdict::Trial(part) => {
                emit!(self.state().log, Event::PartTried, "part" => part.to_string(), "request" => &*self.ctx.id);
                Ok(())
            }
            Verdict::Blocked(part, left) => {
                emit!(self.state().log, Event::PartRefused, "part" => part.to_string(), "request" => &*self.ctx.id, "blocked_ms" => millis(left));
                Err(self.unanswered_error(
                    StatusCode::BAD_GATEWAY,
                    RefusalReason::Blocked,
                    BLOCKED_REASON,
                    left,
                ))
            }
        }
    }

    /// Whether an engine crashed when it began to run the request, and one of its
    /// parts has never been served, which makes that part a likely cause.
    pub(super) fn may_have_crashed_engines(&self) -> bool {
        self.crashed_engines > 0
            && !self.has_written_for_long()
            && !self.state().quarantine.borrow().are_served(&self.ctx.shared_parts)
    }
}
