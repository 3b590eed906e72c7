//! Who and where a router is, and the bounds that it must keep.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Settings of a router on a platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name, unique among routers.
    pub name: Arc<str>,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness_address: SocketAddr,
    /// First and last port for talk between routers.
    pub peer_ports: (u16, u16),
    /// Addresses of some routers, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// The store.
    pub store: Store,
    /// Bounds that must be kept.
    pub bounds: Bounds,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writes a second that all routers together may make.
    pub writes_per_s: f64,
    /// Reads a second that all routers together may make.
    pub reads_per_s: f64,
}

/// Bounds that must be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Time for which a key that was taken away may still be used; `None`
    /// when keys may be used without a bound.
    pub revocation: Option<Duration>,
    /// Retries of all routers for each request.
    pub retry_ratio: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Retries of all routers in a window on top of the ratio.
    pub extra_retries: f64,
    /// Time for which an endpoint that left still serves.
    pub drain_time: Duration,
    /// Time after which an engine gives up work that waits for a dead one.
    pub stall_timeout: Duration,
    /// Whether endpoints check fencing numbers.
    pub fencing_required: bool,
}
