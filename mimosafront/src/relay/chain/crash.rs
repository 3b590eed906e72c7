//! Finds out which engines crashed when they began to run a request.

use std::time::Duration;

use mimosashift::fleet::Hop;
use mimosashift::time::Instant;

use super::ChainRequest;
use crate::probe::{self, ProbeResult};
use crate::{clock, reach};

/// Time for which a stream must have had events before its prompt counts as
/// harmless: many steps of an engine.
const PROOF_TIME: Duration = Duration::from_millis(500);

impl ChainRequest {
    /// Whether the events of the current run span `PROOF_TIME`.
    pub(super) fn has_written_for_long(&self) -> bool {
        let first = self.first_event_in_run;
        first.is_some_and(|first| self.timing.last_event_at.since(first) >= PROOF_TIME)
    }

    /// Checks whether the first endpoint, which has closed the connection, crashed
    /// when it began to run the request.
    pub(super) async fn check_crash(&mut self) {
        let Some(first) = self.claim.as_ref().map(|claim| claim.chain[0].clone()) else { return };
        if self.has_written_for_long() {
            return;
        }
        let failed = clock::now();
        let crashed = match self.engine {
            None => probe::has_crashed(self.state(), &first, &self.ctx.service.health_path).await,
            Some(_) => match probe::check_still_alive(self.state(), &first).await {
                ProbeResult::Dead(_) => true,
                ProbeResult::Alive(report) => report.incarnation != first.incarnation,
            },
        };
        if crashed && self.reaches_engines(failed).await {
            self.record_crash(&first);
        }
    }

    /// Checks which of the dead engines of the chain crashed when the request began
    /// to run. One that does not answer at all may be cut off instead.
    pub(super) async fn check_crashes(&mut self, dead: &[Hop]) {
        if self.has_written_for_long() {
            return;
        }
        let failed = clock::now();
        for hop in dead {
            if let ProbeResult::Dead(error) = probe::check_alive(self.state(), hop).await
                && error.closed
                && self.reaches_engines(failed).await
            {
                self.record_crash(hop);
            }
        }
    }

    /// Whether this router still reaches engines; otherwise the one that failed need not
    /// have crashed.
    async fn reaches_engines(&self, failed: Instant) -> bool {
        reach::is_reached(self.state(), &self.ctx.service.name, failed).await
    }

    fn record_crash(&mut self, hop: &Hop) {
        self.crashed_engines += 1;
        self.ctx.record_crash(hop, self.events_forwarded);
    }

    /// Records once for each run that its engine has not crashed: after
    /// `PROOF_TIME`, or at the end of the stream.
    pub(super) fn record_success(&mut self, is_complete: bool) {
        if self.success_recorded || !(is_complete || self.has_written_for_long()) {
            return;
        }
        self.success_recorded = true;
        self.ctx.record_success();
    }

    /// Whether an engine crashed when it began to run the request, which is a likely
    /// cause.
    pub(super) fn may_have_crashed_engines(&self) -> bool {
        self.crashed_engines > 0
            && !self.has_written_for_long()
            && self.state().quarantine.borrow().is_likely_cause(&self.ctx.contents)
    }
}
