//! Logs the sends of a request, and remembers which of them were refused.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::StatusCode;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Hop, name_key};
use mimosashift::refusals::Basis;

use super::RequestContext;
use super::peer::Relay;
use crate::clock;
use crate::state::millis;

/// The endpoint or router that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Id of the endpoint, or name of the router.
    name: Arc<str>,
    address: SocketAddr,
}

/// What is known of the run of a request where it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Run {
    /// It certainly has not run.
    None,
    /// It may have run.
    Possible,
}

impl From<&Hop> for Target {
    fn from(hop: &Hop) -> Self {
        Self { name: hop.id.clone(), address: hop.address }
    }
}

impl From<&Relay> for Target {
    fn from(relay: &Relay) -> Self {
        Self { name: relay.name.clone(), address: relay.address }
    }
}

impl Run {
    /// Name in logs.
    const fn label(self) -> &'static str {
        match self {
            Self::None => "not run",
            Self::Possible => "may have run",
        }
    }
}

impl RequestContext {
    /// Logs a send to the first endpoint of a chain.
    pub(super) fn log_sent(&self, attempt: u32, first: &Hop, to: &str, inputs: &str) {
        let state = &self.state;
        self.withdraw_refusal(first.address);
        emit!(
            state.log, Event::RequestSent,
            "request" => &*self.id, "attempt" => attempt, "to" => to, "address" => first.address.to_string(), "inputs" => inputs,
            "contents" => self.describe_contents(), "route" => &*self.route.name, "left_ms" => millis(self.remaining()),
            "revision" => state.revision(), "config_age_ms" => state.config_age_ms(),
            "directory_age_ms" => state.directory_age_ms(), "relayed_by" => self.origin.relayed_by(),
        );
    }

    /// Forgets that an endpoint or router refused the request, which it gets once more.
    pub(super) fn withdraw_refusal(&self, by: SocketAddr) {
        self.state.refusals.borrow_mut().withdraw(name_key(&self.id), by);
    }

    /// Records the end of a send whose answer is not passed on.
    pub(super) fn record_send_ended(&self, attempt: u32, to: &Target, run: Run, reason: &str) {
        emit!(
            self.state.log, Event::SendEnded,
            "request" => &*self.id, "attempt" => attempt, "to" => &*to.name,
            "address" => to.address.to_string(), "connection" => self.connection(),
            "outcome" => run.label(), "reason" => reason,
        );
        if run == Run::None {
            let basis = Basis::Refusal(to.address);
            self.state.refusals.borrow_mut().record(name_key(&self.id), basis, clock::now());
        }
    }

    /// Number of the connection of the last send, for logs.
    pub(super) fn connection(&self) -> Option<String> {
        self.carriers.last().map(|connection| connection.to_string())
    }

    pub(super) fn log_given_up(&self, by: &str) {
        let usage = self.state.budget.usage();
        emit!(
            self.state.log, Event::AnswerGivenUp,
            "request" => &*self.id, "by" => by, "buffered" => usage.bytes, "limit" => usage.limit,
        );
    }

    pub(super) fn log_answered(&self, status: StatusCode, by: &str) {
        let ms = millis(clock::now().since(self.arrived));
        emit!(
            self.state.log, Event::RequestAnswered,
            "request" => &*self.id, "status" => status.as_u16(), "by" => by,
            "connection" => self.connection(), "ms" => ms,
        );
    }
}
