//! Accepts connections of clients, and of routers that relay requests.

use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::connection;
use crate::state::RouterState;

/// Delay after a failed accept, for example when the process has run out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connections that the system holds until they are accepted. Beyond that it drops the first
/// packet of a connection, which is sent again after a second: clients have left by then.
const ACCEPT_QUEUE: u32 = 4_096;

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
    clients: Rc<Cell<usize>>,
    routers: Rc<Cell<usize>>,
    /// Those with a request whose response has not begun.
    busy: Rc<Cell<usize>>,
}

/// Counts a connection, or one with a request, until dropped.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connections {
    /// Counts a connection.
    pub fn count(&self, listener: Listener) -> CountGuard {
        CountGuard::new(match listener {
            Listener::Clients => &self.clients,
            Listener::Routers => &self.routers,
        })
    }

    /// Counts a connection with a request whose response has not begun.
    pub fn count_busy(&self) -> CountGuard {
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

/// Listens for connections, many of which may arrive at once.
///
/// # Errors
///
/// If the address cannot be used.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
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
        // Counted here, since the router may exit before the task has run.
        let open = state.connections.count(kind);
        let serving = connection::serve(state.clone(), stream, kind, closing.clone());
        tokio::task::spawn_local(async move {
            serving.await;
            drop(open);
        });
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
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => spawn(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
