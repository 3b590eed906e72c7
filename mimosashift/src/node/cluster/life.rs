//! The configuration of a router in whichever phase it is.

use crate::config::Replicator;
use crate::config::phase::{NotServingReason, RouterConfig, Serving, Starting};
use crate::config::replication::Peer;
use crate::resource::Name;
use crate::time::Instant;

/// Starting, then serving.
pub struct Life(Option<Phase>);

enum Phase {
    Starting(RouterConfig<Starting>),
    Serving(RouterConfig<Serving>),
}

impl Life {
    /// Starts with nothing installed.
    pub fn new(node: Name, now: Instant) -> Self {
        Self(Some(Phase::Starting(RouterConfig::new(node, now))))
    }

    /// The exchange with the table and other routers.
    pub fn replicator(&self) -> &Replicator {
        match self.phase() {
            Phase::Starting(router) => router.replicator(),
            Phase::Serving(router) => router.replicator(),
        }
    }

    /// The exchange with the table and other routers, to drive it.
    pub fn replicator_mut(&mut self) -> &mut Replicator {
        match self.0.as_mut().expect("a phase is put back at once") {
            Phase::Starting(router) => router.replicator_mut(),
            Phase::Serving(router) => router.replicator_mut(),
        }
    }

    /// Why the router may not serve yet, `None` when it does.
    pub fn reason(&self, now: Instant, peers: &[Peer]) -> Option<NotServingReason> {
        match self.phase() {
            // It serves from the next tick on.
            Phase::Starting(router) => {
                Some(router.reason(now, peers).unwrap_or(NotServingReason::QueryingTable))
            }
            Phase::Serving(_) => None,
        }
    }

    /// Serves if the router may; returns whether it has just begun.
    pub fn try_serve(&mut self, now: Instant, peers: &[Peer]) -> bool {
        let phase = self.0.take().expect("a phase is put back at once");
        let Phase::Starting(router) = phase else {
            self.0 = Some(phase);
            return false;
        };
        let (next, begun) = match router.serve(now, peers) {
            Ok(serving) => (Phase::Serving(serving), true),
            Err(starting) => (Phase::Starting(starting), false),
        };
        self.0 = Some(next);
        begun
    }

    const fn phase(&self) -> &Phase {
        self.0.as_ref().expect("a phase is put back at once")
    }
}
