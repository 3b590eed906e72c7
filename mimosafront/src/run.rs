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

use crate::connection::closes;
use crate::server::Listener;
use crate::settings::SettingsFile;
use crate::shutdown::{self, Signals};
use crate::state::RouterState;
use crate::{BUILD, delay, directory, gossip, metrics, placement, probe, reach, readiness, server};

/// Inputs of [`run`].
pub struct StartOptions {
    /// The settings file.
    pub file: SettingsFile,
    /// The settings read from that file.
    pub node: Node,
    /// Listen address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Event logger.
    pub log: Logger,
    /// Metrics registry.
    pub meter: Meter,
}

/// Runs a router until it is told to stop; returns the number of requests that
/// were still in flight at the end of the grace period.
pub fn run(options: StartOptions) -> io::Result<usize> {
    let signals = Signals::register()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(options, signals))
}

async fn serve(options: StartOptions, signals: Signals) -> io::Result<usize> {
    let StartOptions { file, node, metrics, log, meter } = options;
    let clients = server::listen(node.client_address)?;
    let readiness = TcpListener::bind(node.readiness_address).await?;
    let peer_listener = TcpListener::bind(node.peer_address()).await?;
    let peer_socket = UdpSocket::bind(node.peer_address()).await?;
    let relays = server::listen(node.relay_address())?;
    let state = RouterState::new(node, signals.stop(), log, meter);
    let node = state.node();
    emit!(
        state.log, Event::FrontStarted,
        "node" => &*node.name, "zone" => &*node.zone, "clients" => node.client_address.to_string(),
        "incarnation" => state.incarnation, "version" => env!("CARGO_PKG_VERSION"), "build" => BUILD,
    );
    let (closing_sender, closing) = watch::channel(false);
    spawn_local(closes::watch(state.clone()));
    spawn_local(delay::watch(state.clone()));
    spawn_local(directory::watch_config(state.clone()));
    spawn_local(directory::watch_endpoints(state.clone()));
    spawn_local(gossip::run(state.clone(), peer_socket));
    spawn_local(gossip::serve_peers(state.clone(), peer_listener));
    spawn_local(placement::run(state.clone()));
    spawn_local(probe::poll_reports(state.clone()));
    spawn_local(probe::watch_liveness(state.clone()));
    spawn_local(readiness::serve(state.clone(), readiness));
    spawn_local(reach::watch(state.clone()));
    spawn_local(server::serve(state.clone(), clients, Listener::Clients, closing.clone()));
    spawn_local(server::serve(state.clone(), relays, Listener::Routers, closing));
    match TcpListener::bind(metrics).await {
        Ok(listener) => drop(spawn_local(metrics::serve(state.clone(), listener))),
        // A router without metrics is preferable to no router.
        Err(error) => {
            emit!(state.log, Event::MetricsUnavailable, "address" => metrics.to_string(), "error" => error.to_string());
        }
    }
    let unfinished =
        shutdown::run_until_stopped(state.clone(), signals, file, closing_sender).await;
    closes::report(&state);
    emit!(state.log, Event::FrontStopped, "cut_off" => unfinished, "open" => state.connections.open());
    Ok(unfinished)
}
