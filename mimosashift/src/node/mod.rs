//! One router: the shell around the decisions.
//!
//! The shell owns clocks, threads, sockets and locks. Locks are taken in the
//! order in which [`Node`] lists its tables, and never while a call to another
//! process is under way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use crossbeam::sync::Parker;

use crate::emit;
use crate::engine;
use crate::event::{Event, Logger};
use crate::http::client::{self, Client};
use crate::http::{self, Handler, Server};
use crate::resource::Snapshot;

mod auth;
mod callers;
mod drain;
mod operators;
mod relay;
mod settings;

pub use drain::Handle;
pub use settings::{Error, Settings};

/// Requests of operators handled at once, watches included.
const MAX_OPERATOR_REQUESTS: usize = 64;

/// The shared tables of a router.
pub struct Node {
    settings: Settings,
    log: Logger,
    drain: drain::Drain,
    engines: engine::http::Adapter,
    snapshot: ArcSwap<Snapshot>,
}

/// A router that serves.
pub struct Running {
    node: Arc<Node>,
    drained: Parker,
    callers: Server,
    operators: Server,
}

impl Running {
    /// Starts a router.
    pub fn start(settings: Settings, log: Logger) -> Result<Self, Error> {
        let client = Arc::new(Client::new(client::Settings::default()));
        let (drain, drained) = drain::Drain::new();
        let node = Arc::new(Node {
            settings,
            log,
            drain,
            engines: engine::http::Adapter::new(client),
            snapshot: ArcSwap::default(),
        });
        emit!(node.log, Event::NodeStarted,
            "node" => node.settings.node.name.as_str(),
            "domain" => node.settings.node.domain.as_str());
        let callers = node.listen("callers", Arc::new(callers::Surface(Arc::clone(&node))))?;
        let operators =
            node.listen("operators", Arc::new(operators::Surface(Arc::clone(&node))))?;
        Ok(Self { node, drained, callers, operators })
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

    /// Lets others ask for a graceful shutdown.
    pub fn drain_handle(&self) -> Handle {
        self.node.drain.handle()
    }

    /// Serves until a graceful shutdown was asked for and has ended; returns
    /// how many requests were cut off.
    pub fn wait(self) -> usize {
        let Self { node, drained, callers, operators } = self;
        node.drain.wait_requested(&drained);
        emit!(node.log, Event::NodeDraining, "pending" => callers.pending());
        let end = Instant::now() + node.settings.node.drain;
        node.drain.wait_quiet(end.saturating_duration_since(Instant::now()));
        let cut_off = callers.shutdown(end.saturating_duration_since(Instant::now()));
        operators.shutdown(Duration::ZERO);
        if cut_off > 0 {
            emit!(node.log, Event::NodeCutOff, "cut_off" => cut_off);
        }
        cut_off
    }
}

impl Node {
    /// The configuration in force here.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    fn listen(&self, surface: &'static str, handler: Arc<dyn Handler>) -> Result<Server, Error> {
        let (address, limits) = if surface == "callers" {
            (self.settings.callers, self.settings.limits)
        } else {
            let limits =
                http::Settings { max_requests: MAX_OPERATOR_REQUESTS, ..http::Settings::default() };
            (self.settings.operators, limits)
        };
        let server = Server::start(surface, address, limits, handler)
            .map_err(|error| Error::Listen { surface, address, error })?;
        let address = server.address().to_string();
        emit!(self.log, Event::HttpListening, "surface" => surface, "address" => address);
        Ok(server)
    }
}

/// Seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
