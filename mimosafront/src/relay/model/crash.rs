//! Checks whether an engine crashed under a request that it began to run.

use std::time::Duration;

use mimosashift::emit;
use mimosashift::event::Event;

use super::ModelRequest;
use crate::clock;
use crate::probe::{self, ProbeResult};
use crate::relay::describe_parts;

/// Time for which a stream must have had events before its prompt counts as
/// harmless: many steps of an engine.
const PROOF_TIME: Duration = Duration::from_millis(500);

impl ModelRequest {
    /// Whether the first engine has written events for `PROOF_TIME`.
    pub(super) fn has_written_for_long(&self) -> bool {
        let first = self.first_event_in_run;
        first.is_some_and(|first| clock::now().since(first) >= PROOF_TIME)
    }

    /// Checks whether the first engine, which has closed the connection, crashed
    /// when it began to run the request.
    pub(super) async fn check_crash(&self) {
        let Some(first) = self.claim.as_ref().map(|claim| claim.chain[0].clone()) else { return };
        if self.has_written_for_long() {
            return;
        }
        let crashed = match probe::check_still_alive(self.state(), &first).await {
            ProbeResult::Dead(_) => true,
            ProbeResult::Alive(report) => report.incarnation != first.incarnation,
        };
        if crashed {
            emit!(self.state().log, Event::EndpointCrashed, "request" => &*self.ctx.id, "endpoint" => &*first.id, "incarnation" => first.incarnation, "events" => self.events_forwarded, "parts" => describe_parts(&self.ctx.shared_parts));
        }
    }
}
