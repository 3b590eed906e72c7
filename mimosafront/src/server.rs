//! Accepts connections of clients, and of routers that relay requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connection;
use crate::state::RouterState;

/// Delay after a failed accept, for example when the process has run out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
                let serving = connection::serve(state.clone(), stream, kind, stop_receiver.clone());
                tokio::task::spawn_local(serving);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
