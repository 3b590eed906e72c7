//! Accepts connections of clients, and of routers that relay requests.

use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::relay;
use crate::state::RouterState;

/// Delay after a failed accept, for example when the process has run out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest head buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Who connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Clients.
    Clients,
    /// Routers that reach no endpoint.
    Routers,
}

/// Accepts connections until the router stops accepting.
pub async fn serve(
    state: Rc<RouterState>,
    listener: TcpListener,
    kind: Listener,
    stop_receiver: watch::Receiver<bool>,
) {
    let mut stop = stop_receiver.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The sender lives as long as the router, so this cannot fail.
            _ = stop.wait_for(|stopping| *stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_connection(state.clone(), stream, kind, stop_receiver.clone());
                tokio::task::spawn_local(serving);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(
    state: Rc<RouterState>,
    stream: TcpStream,
    kind: Listener,
    mut stop_receiver: watch::Receiver<bool>,
) {
    // Streams consist of small events, which Nagle's algorithm would delay.
    drop(stream.set_nodelay(true));
    let limits = state.deployment().map_or_else(Default::default, |d| d.limits);
    let service = service_fn(|request| relay::handle(state.clone(), kind, request));
    let mut builder = http1::Builder::new();
    // hyper applies this timer to idle keep-alive connections as well, so the
    // longer of the two time-outs is used.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.read_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES));
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        // Connection errors are already recorded in the outcome of the requests.
        _ = serving.as_mut() => return,
        _ = stop_receiver.wait_for(|stopping| *stopping) => serving.as_mut().graceful_shutdown(),
    }
    drop(serving.await);
}
