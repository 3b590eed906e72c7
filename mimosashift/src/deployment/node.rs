//! A router's identity, addresses and operating limits.

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
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address of the readiness check, which the load balancer calls.
    pub readiness_address: SocketAddr,
    /// First and last port for communication between routers; they differ.
    pub peer_ports: (u16, u16),
    /// Addresses of other routers to contact first; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// The store.
    pub store: Store,
    /// Limits that it must observe.
    pub bounds: Bounds,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
}

/// Part of the memory that buffered data may take. The rest is for the directory, digests,
/// buffers of sockets and parsers, and fragments.
const BUFFER_SHARE: usize = 3;

impl Node {
    /// Memory that buffered data may take, in bytes; see `docs/design/memory.md`.
    pub const fn buffer_bytes(&self) -> usize {
        self.memory_bytes / BUFFER_SHARE
    }

    /// Address for digests and for fetching the configuration.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.client_address.ip(), self.peer_ports.0)
    }

    /// Address for requests that another router relays.
    pub fn relay_address(&self) -> SocketAddr {
        SocketAddr::new(self.client_address.ip(), self.peer_ports.1)
    }
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writes per second that all routers together may make.
    pub writes_per_s: f64,
    /// Reads per second that all routers together may make.
    pub reads_per_s: f64,
}

/// Limits that a router must observe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Time for which a revoked key may still be accepted; `None` if there is no
    /// limit.
    pub revocation: Option<Duration>,
    /// Retries per request, over all routers.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries of all routers per window in addition to the ratio.
    pub extra_retries: f64,
    /// Time for which a draining endpoint still serves requests.
    pub drain_time: Duration,
    /// Time after which an engine aborts work that waits for a dead engine.
    pub stall_timeout: Duration,
    /// Whether endpoints check fencing tokens.
    pub fencing_required: bool,
}
