//! Starts the tasks of a router.

use std::io;
use std::net::SocketAddr;

use mimosashift::deployment::Node;
use mimosashift::emit;
use mimosashift::event::{Event, Logger};
use mimosashift::meter::Meter;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

use crate::front::Front;
use crate::settings::File;
use crate::stop::{self, Signals};
use crate::{directory, gossip, metrics, placement, probe, readiness, server};

/// What a router starts with.
pub struct Start {
    /// The settings file.
    pub file: File,
    /// Its settings.
    pub node: Node,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// The log.
    pub log: Logger,
    /// Metrics.
    pub meter: Meter,
}

/// Runs a router until it is told to stop; returns the number of requests
/// that could not be finished.
pub fn run(start: Start) -> io::Result<usize> {
    let signals = Signals::register()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(start, signals))
}

async fn serve(start: Start, signals: Signals) -> io::Result<usize> {
    let Start { file, node, metrics, log, meter } = start;
    let peer = SocketAddr::new(node.clients.ip(), node.peer_ports.0);
    let clients = TcpListener::bind(node.clients).await?;
    let readiness = TcpListener::bind(node.readiness).await?;
    let peer_stream = TcpListener::bind(peer).await?;
    let peer_datagrams = UdpSocket::bind(peer).await?;
    let front = Front::new(node, log, meter);
    let node = front.node();
    emit!(
        front.log, Event::FrontStarted,
        "node" => &*node.name, "zone" => &*node.zone, "clients" => node.clients.to_string(),
        "incarnation" => front.incarnation, "version" => env!("CARGO_PKG_VERSION"),
    );
    let (closing, closed) = watch::channel(false);
    spawn_local(directory::watch_config(front.clone()));
    spawn_local(directory::watch_endpoints(front.clone()));
    spawn_local(gossip::exchange(front.clone(), peer_datagrams));
    spawn_local(gossip::serve_config(front.clone(), peer_stream));
    spawn_local(placement::keep(front.clone()));
    spawn_local(probe::sweep(front.clone()));
    spawn_local(probe::watch(front.clone()));
    spawn_local(readiness::serve(front.clone(), readiness));
    spawn_local(server::serve(front.clone(), clients, closed));
    match TcpListener::bind(metrics).await {
        Ok(listener) => drop(spawn_local(metrics::serve(front.clone(), listener))),
        // A router without metrics is better than none.
        Err(error) => {
            emit!(front.log, Event::MetricsUnavailable, "address" => metrics.to_string(), "error" => error.to_string());
        }
    }
    let cut_off = stop::wait(front.clone(), signals, file, closing).await;
    emit!(front.log, Event::FrontStopped, "cut_off" => cut_off);
    Ok(cut_off)
}
