//! Configuration state of a router, while it starts and while it serves.

use crate::config::Replicator;
use crate::config::phase::{NotServingReason, Router, Serving, Starting};
use crate::config::replication::Peer;
use crate::resource::Name;
use crate::time::Instant;

/// A router that starts and later serves. `None` only during a transition.
pub struct Lifecycle(Option<Phase>);

enum Phase {
    Starting(Router<Starting>),
    Serving(Router<Serving>),
}

impl Lifecycle {
    /// A starting router without a configuration.
    pub fn new(node: Name, now: Instant) -> Self {
        Self(Some(Phase::Starting(Router::new(node, now))))
    }

    /// Replication with the table and other routers.
    pub fn replicator(&self) -> &Replicator {
        match self.phase() {
            Phase::Starting(router) => router.replicator(),
            Phase::Serving(router) => router.replicator(),
        }
    }

    /// Mutable access to the replication.
    pub fn replicator_mut(&mut self) -> &mut Replicator {
        match self.0.as_mut().expect("the phase is absent only during a transition") {
            Phase::Starting(router) => router.replicator_mut(),
            Phase::Serving(router) => router.replicator_mut(),
        }
    }

    /// Reason why the router does not serve yet; `None` if it does.
    pub fn reason(&self, now: Instant, peers: &[Peer]) -> Option<NotServingReason> {
        match self.phase() {
            // If nothing prevents it from serving, it does so from the next tick on.
            Phase::Starting(router) => {
                Some(router.reason(now, peers).unwrap_or(NotServingReason::QueryingTable))
            }
            Phase::Serving(_) => None,
        }
    }

    /// Switches to serving if the router may; returns whether it has just done so.
    pub fn try_serve(&mut self, now: Instant, peers: &[Peer]) -> bool {
        let phase = self.0.take().expect("the phase is absent only during a transition");
        let Phase::Starting(router) = phase else {
            self.0 = Some(phase);
            return false;
        };
        let (next, started) = match router.serve(now, peers) {
            Ok(serving) => (Phase::Serving(serving), true),
            Err(starting) => (Phase::Starting(starting), false),
        };
        self.0 = Some(next);
        started
    }

    const fn phase(&self) -> &Phase {
        self.0.as_ref().expect("the phase is absent only during a transition")
    }
}
