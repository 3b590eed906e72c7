//! One router: the shell around the decisions.
//!
//! The shell owns clocks, threads, sockets and locks. Locks are taken in the
//! order in which [`Node`] lists its tables, and never while a call to another
//! process is under way.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;

use crate::engine;
use crate::http::client::{self, Client};
use crate::http::{self, Server};
use crate::platform::Table;
use crate::resource::{Name, Snapshot};

mod auth;
mod callers;
mod operators;
mod relay;

/// What a router needs to start.
pub struct Settings {
    /// Where callers connect; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Where operators connect; port 0 takes any free port.
    pub operate: SocketAddr,
    /// This router's failure domain.
    pub domain: Name,
    /// SHA-256 of the token that may change resources before any team exists.
    pub operator_digest: [u8; 32],
    /// The platform's tables.
    pub table: Arc<dyn Table>,
}

/// The shared tables of a router.
pub struct Node {
    domain: Name,
    operator_digest: [u8; 32],
    table: Arc<dyn Table>,
    engines: engine::http::Adapter,
    snapshot: ArcSwap<Snapshot>,
}

/// A router that serves.
pub struct Running {
    node: Arc<Node>,
    callers: Server,
    operators: Server,
}

impl Running {
    /// Starts a router.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let client = Arc::new(Client::new(client::Settings::default()));
        let node = Arc::new(Node {
            domain: settings.domain,
            operator_digest: settings.operator_digest,
            table: settings.table,
            engines: engine::http::Adapter::new(client),
            snapshot: ArcSwap::default(),
        });
        let limits = http::Settings::default();
        let callers = Arc::new(callers::Surface(Arc::clone(&node)));
        let operators = Arc::new(operators::Surface(Arc::clone(&node)));
        let callers = Server::start("callers", settings.listen, limits, callers)?;
        let operators = Server::start("operators", settings.operate, limits, operators)?;
        Ok(Self { node, callers, operators })
    }

    /// Where callers connect.
    pub const fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators connect.
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The shared tables.
    pub fn node(&self) -> &Node {
        &self.node
    }
}

impl Node {
    /// The configuration in force here.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }
}

/// Seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
