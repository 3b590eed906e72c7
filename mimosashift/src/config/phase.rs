//! The life cycle of the configuration of a router: starting, then serving.

use std::fmt;
use std::time::Duration;

use super::Replicator;
use super::replication::Peer;
use crate::resource::{Name, Snapshot};
use crate::time::Instant;

/// Minimum time before a starting router serves, to receive heartbeats of its
/// peers. The first poll starts earlier, see `FIRST_POLL_DELAY`.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// The configuration of a router in one phase of its life cycle.
#[derive(Debug)]
pub struct RouterConfig<Phase> {
    replicator: Box<Replicator>,
    phase: Phase,
}

/// Phase in which the router must not serve yet.
#[derive(Debug)]
pub struct Starting {
    since: Instant,
}

/// Phase in which the router serves the installed configuration.
#[derive(Debug)]
pub struct Serving(());

/// Why a router does not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotServingReason {
    /// The time to discover other routers has not elapsed.
    DiscoveringPeers,
    /// No poll of the table has finished yet.
    QueryingTable,
    /// A peer has a higher revision, which is being fetched.
    Behind {
        /// The installed revision.
        installed: u64,
        /// The highest revision of a peer.
        wanted: u64,
    },
    /// Neither the table nor a peer has returned a configuration.
    NoSource,
}

impl RouterConfig<Starting> {
    /// Starts without an installed configuration.
    pub fn new(node: Name, now: Instant) -> Self {
        Self { replicator: Box::new(Replicator::new(node)), phase: Starting { since: now } }
    }

    /// Moves to the serving phase once peer discovery has ended, the highest
    /// revision of `peers` is installed and one poll has finished; a failed poll
    /// suffices if a configuration is installed. Otherwise returns `self`.
    pub fn serve(self, now: Instant, peers: &[Peer]) -> Result<RouterConfig<Serving>, Self> {
        match self.reason(now, peers) {
            Some(_) => Err(self),
            None => Ok(RouterConfig { replicator: self.replicator, phase: Serving(()) }),
        }
    }

    /// Why the router must not serve yet, `None` when it may.
    pub fn reason(&self, now: Instant, peers: &[Peer]) -> Option<NotServingReason> {
        let installed = self.replicator.store().version().revision;
        let wanted = peers.iter().map(|peer| peer.version.revision).max().unwrap_or_default();
        if now.since(self.phase.since) < PEER_DISCOVERY_TIME {
            return Some(NotServingReason::DiscoveringPeers);
        }
        if installed < wanted {
            return Some(NotServingReason::Behind { installed, wanted });
        }
        if self.replicator.polls() == 0 {
            return Some(NotServingReason::QueryingTable);
        }
        let no_source = installed == 0 && self.replicator.polled().is_none();
        no_source.then_some(NotServingReason::NoSource)
    }
}

impl RouterConfig<Serving> {
    /// The snapshot to serve from.
    pub const fn snapshot(&self) -> &Snapshot {
        self.replicator.store().state().snapshot()
    }
}

impl<Phase> RouterConfig<Phase> {
    /// The replicator of the configuration.
    pub const fn replicator(&self) -> &Replicator {
        &self.replicator
    }

    /// The replicator of the configuration, mutably.
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
