//! Accepts connections of clients, and of routers that relay requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
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

/// Counts of open connections.
#[derive(Debug, Default)]
pub struct Connections {
    clients: Cell<usize>,
    routers: Cell<usize>,
    /// Those with a request whose response has not begun.
    busy: Cell<usize>,
}

/// Counts a connection, or one with a request, until dropped.
pub struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connections {
    /// Counts a connection.
    pub fn count(&self, listener: Listener) -> CountGuard<'_> {
        CountGuard::new(match listener {
            Listener::Clients => &self.clients,
            Listener::Routers => &self.routers,
        })
    }

    /// Counts a connection with a request whose response has not begun.
    pub fn count_busy(&self) -> CountGuard<'_> {
        CountGuard::new(&self.busy)
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.clients.get() + self.routers.get()
    }

    /// Open connections of clients.
    pub fn of_clients(&self) -> usize {
        self.clients.get()
    }

    /// Open connections without a request that waits for its response.
    pub fn idle(&self) -> usize {
        self.open() - self.busy.get()
    }
}

/// Accepts connections until the router closes.
pub async fn serve(
    state: Rc<RouterState>,
    listener: TcpListener,
    kind: Listener,
    closing: watch::Receiver<bool>,
) {
    let mut closed = closing.clone();
    let spawn = |stream| {
        let serving = connection::serve(state.clone(), stream, kind, closing.clone());
        tokio::task::spawn_local(serving);
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The sender lives as long as the router, so this cannot fail.
            _ = closed.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Connections in the queue would be reset with the requests that they carry.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        // A connection that cannot be registered is closed, as one that failed to be accepted.
        stream.into_iter().for_each(spawn);
    }
}
