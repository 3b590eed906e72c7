//! The life cycle of a router's configuration: starting, then serving.

use std::fmt;
use std::time::Duration;

use super::Replicator;
use super::replication::Peer;
use crate::resource::{Name, Snapshot};
use crate::time::Instant;

/// Time for which a starting router listens for peers.
const LISTEN: Duration = Duration::from_millis(2_500);

/// The configuration of a router in one phase of its life.
#[derive(Debug)]
pub struct Router<Phase> {
    replicator: Box<Replicator>,
    phase: Phase,
}

/// May not serve yet.
#[derive(Debug)]
pub struct Starting {
    since: Instant,
}

/// Serves what is installed.
#[derive(Debug)]
pub struct Serving(());

/// Why a router does not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServingReason {
    /// Other routers may still be heard.
    DiscoveringPeers,
    /// The table has not been asked yet.
    QueryingTable,
    /// A peer holds a higher revision, which is being fetched.
    Behind {
        /// Revision installed.
        installed: u64,
        /// Revision that a peer holds.
        wanted: u64,
    },
    /// Neither the table nor a peer has answered with a configuration.
    NoSource,
}

impl Router<Starting> {
    /// Starts with nothing installed.
    pub fn new(node: Name, now: Instant) -> Self {
        Self { replicator: Box::new(Replicator::new(node)), phase: Starting { since: now } }
    }

    /// Serves once the highest revision that the reachable peers and the
    /// table hold is installed; until then it stays as it is.
    pub fn serve(self, now: Instant, peers: &[Peer]) -> Result<Router<Serving>, Self> {
        match self.reason(now, peers) {
            Some(_) => Err(self),
            None => Ok(Router { replicator: self.replicator, phase: Serving(()) }),
        }
    }

    /// Why it does not serve yet, `None` when it may.
    pub fn reason(&self, now: Instant, peers: &[Peer]) -> Option<NotServingReason> {
        let installed = self.replicator.store().version().revision;
        let wanted = peers.iter().map(|peer| peer.version.revision).max().unwrap_or_default();
        if now.since(self.phase.since) < LISTEN {
            return Some(NotServingReason::DiscoveringPeers);
        }
        if installed < wanted {
            return Some(NotServingReason::Behind { installed, wanted });
        }
        if self.replicator.polls() == 0 {
            return Some(NotServingReason::QueryingTable);
        }
        let nothing = installed == 0 && self.replicator.polled().is_none();
        nothing.then_some(NotServingReason::NoSource)
    }
}

impl Router<Serving> {
    /// The snapshot to serve by.
    pub const fn snapshot(&self) -> &Snapshot {
        self.replicator.store().state().snapshot()
    }
}

impl<Phase> Router<Phase> {
    /// The exchange with the table and other routers.
    pub const fn replicator(&self) -> &Replicator {
        &self.replicator
    }

    /// The exchange with the table and other routers, to drive it.
    pub const fn replicator_mut(&mut self) -> &mut Replicator {
        &mut self.replicator
    }
}

impl fmt::Display for NotServingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DiscoveringPeers => f.write_str("listening for other routers"),
            Self::QueryingTable => f.write_str("asking the table for the configuration"),
            Self::Behind { installed, wanted } => {
                write!(f, "revision {installed} is installed, fetching {wanted} from a router")
            }
            Self::NoSource => {
                f.write_str("neither the table nor a router has answered with a configuration")
            }
        }
    }
}
