//! Pool of HTTP connections to endpoints and the store, for a single-threaded
//! event loop.
//!
//! Each failure states whether the request may have been sent, which decides
//! whether it may be sent elsewhere. Dropping an exchange closes its
//! connection, which cancels the request on the server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use self::bounded_stream::{BoundedStream, Undelivered};
pub use self::carrier::{Carriers, Id, Reuse};
pub use self::exchange::{Exchange, Framing};
pub use self::unsolicited::Unsolicited;
use self::unsolicited::Watch;
use crate::memory::{Budget, Exhausted};

mod bounded_stream;
mod carrier;
mod exchange;
mod unsolicited;

/// Maximum number of idle connections to one address.
const MAX_IDLE: usize = 64;

/// Maximum number of pending addresses of servers that closed connections.
const MAX_CLOSED_ADDRESSES: usize = 256;

/// Maximum number of connections with unsolicited bytes that are pending.
const MAX_UNSOLICITED: usize = 64;

/// Maximum number of bytes read from a connection for one head or piece of a
/// body. A server that sends endless bytes which are no response would occupy the
/// event loop until the deadline of the request.
const MAX_UNDELIVERED_BYTES: usize = 1024 * 1024;

/// Size of a connection's read buffer, which a response head must fit into.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Time limit for opening a connection: a few round trips between zones. Opening
/// one takes longer if the peer's accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time with unacknowledged data, or without an answer to keep-alive probes, after which a
/// connection counts as dead. A sound endpoint may pause for more than a second; requests
/// that can be sent elsewhere, and probes, do not wait for this.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of keep-alive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the pool.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time for which sent data may remain unacknowledged, or keep-alive probes
    /// unanswered, before the connection is closed.
    pub unacked_timeout: Duration,
}

quick_error! {
    /// Reason why an exchange has no response.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro does not accept doc comments on fields.
    pub enum Failure {
        /// The request was certainly not sent; `refused` if the server refused or
        /// closed the connection instead of not answering.
        NotSent { reason: String, refused: bool } {
            display("not sent: {}", reason)
        }
        /// The request may have reached the server.
        Lost { reason: String } {
            display("no answer: {}", reason)
        }
        /// The request may have reached the server; its answer was given up, since the memory
        /// for buffered data is used up.
        Exhausted {
            display("answer given up: {}", Exhausted)
        }
    }
}

/// Pool of connections, by address.
pub struct Pool {
    settings: Settings,
    budget: Budget,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    /// Addresses that closed a connection, not yet returned by
    /// [`Pool::closed_addresses`].
    closed: RefCell<Vec<SocketAddr>>,
    closing: Notify,
    /// What servers sent on idle connections, not yet returned by
    /// [`Pool::take_unsolicited`].
    unsolicited: RefCell<Vec<Unsolicited>>,
    last_id: Cell<u64>,
}

struct Idle {
    connection: Connection,
    expires: Instant,
    idle_since: Instant,
}

struct Connection {
    id: Id,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    undelivered: Rc<Undelivered>,
    watch: Rc<Watch>,
}

impl Default for Settings {
    fn default() -> Self {
        Self { connect_timeout: CONNECT_TIMEOUT, unacked_timeout: UNACKED_TIMEOUT }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Failure {
    fn lost(error: impl std::error::Error + 'static) -> Self {
        if is_exhausted(&error) {
            return Self::Exhausted;
        }
        Self::Lost { reason: error_chain(&error) }
    }
}

/// Whether the memory for buffered data is the cause of an error.
fn is_exhausted(error: &(dyn std::error::Error + 'static)) -> bool {
    let errors = std::iter::successors(Some(error), |error| error.source());
    let mut sources = errors.filter_map(|error| error.downcast_ref::<io::Error>()?.get_ref());
    sources.any(|source| source.is::<Exhausted>())
}

/// Formats an error with its sources, which the text of hyper errors omits.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(next) = source {
        text.push_str(": ");
        text.push_str(&next.to_string());
        source = next.source();
    }
    text
}

impl Pool {
    /// Creates an empty pool. What its connections have read, and responses that are collected,
    /// are charged to `budget`.
    pub fn new(settings: Settings, budget: Budget) -> Rc<Self> {
        Rc::new(Self {
            settings,
            budget,
            idle: RefCell::default(),
            closed: RefCell::default(),
            closing: Notify::new(),
            unsolicited: RefCell::default(),
            last_id: Cell::default(),
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// There is no time limit; dropping the future closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse<'_>,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        reuse.begin();
        while let Some(connection) = self.take_idle(address, reuse) {
            reuse.record(connection.id);
            match self.exchange(address, connection, request).await {
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
                Ok(exchange) => return Ok(exchange),
            }
        }
        let connection = self.open(address).await?;
        reuse.record(connection.id);
        self.exchange(address, connection, request).await.map_err(|(failure, unsent)| {
            match (failure, unsent) {
                (Failure::Lost { reason }, Some(_)) => Failure::NotSent { reason, refused: true },
                (failure, _) => failure,
            }
        })
    }

    /// Waits for and returns the addresses that have closed connections since
    /// the last call: a server process that exits closes all its connections.
    pub async fn closed_addresses(&self) -> Vec<SocketAddr> {
        loop {
            let closing = self.closing.notified();
            let closed = std::mem::take(&mut *self.closed.borrow_mut());
            if !closed.is_empty() {
                return closed;
            }
            closing.await;
        }
    }

    /// Returns what servers have sent on idle connections since the last call. Bytes that
    /// arrive together with the answer before are not among it.
    pub fn take_unsolicited(&self) -> Vec<Unsolicited> {
        self.unsolicited.take()
    }

    /// Closes the idle connections to an address, for example because another
    /// connection as old as these has stopped responding.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.expires > now && !c.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes the most recently used idle connection that can carry a request.
    fn take_idle(&self, address: SocketAddr, reuse: Reuse<'_>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let mut end = connections.len();
        while let Some(last) =
            connections[..end].iter().rposition(|c| reuse.allows(c.connection.id))
        {
            let idle = connections.remove(last);
            if idle.expires > now && idle.idle_since <= now && idle.connection.sender.is_ready() {
                idle.connection.watch.set_idle(false);
                return Some(idle.connection);
            }
            end = last;
        }
        None
    }

    async fn open(self: &Rc<Self>, address: SocketAddr) -> Result<Connection, Failure> {
        let not_sent = |reason: String, refused| Failure::NotSent { reason, refused };
        let stream = match timeout(self.settings.connect_timeout, TcpStream::connect(address)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let refused = error.kind() == io::ErrorKind::ConnectionRefused
                    || error.kind() == io::ErrorKind::ConnectionReset;
                return Err(not_sent(format!("connect: {error}"), refused));
            }
            Err(_) => return Err(not_sent("connect: timed out".to_owned(), false)),
        };
        self.configure(&stream).map_err(|error| not_sent(format!("socket: {error}"), false))?;
        let undelivered = Rc::new(Undelivered::new(self.budget.charge()));
        let watch = Rc::new(Watch::default());
        let stream =
            BoundedStream::new(stream, undelivered.clone(), watch.clone(), MAX_UNDELIVERED_BYTES);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error_chain(&error), false))?;
        let id = Id(self.last_id.get() + 1);
        self.last_id.set(id.0);
        let (pool, watched) = (Rc::downgrade(self), watch.clone());
        // An error of the connection is reported by the exchange that uses it.
        let task = tokio::task::spawn_local(async move {
            drop(connection.await);
            if let Some(pool) = pool.upgrade() {
                pool.record_unsolicited(address, id, &watched);
                pool.record_closed(address);
            }
        });
        Ok(Connection { id, sender, task: task.abort_handle(), undelivered, watch })
    }

    fn record_closed(&self, address: SocketAddr) {
        let mut closed = self.closed.borrow_mut();
        if closed.len() < MAX_CLOSED_ADDRESSES && !closed.contains(&address) {
            closed.push(address);
        }
        self.closing.notify_one();
    }

    fn record_unsolicited(&self, address: SocketAddr, connection: Id, watch: &Watch) {
        let mut unsolicited = self.unsolicited.borrow_mut();
        if unsolicited.len() < MAX_UNSOLICITED
            && let Some(bytes) = watch.take()
        {
            unsolicited.push(Unsolicited { address, connection, bytes });
        }
    }

    fn configure(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let unacked_timeout = self.settings.unacked_timeout;
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(unacked_timeout))?;
        // Linux gives up after the timeout set above, whatever the number of probes.
        let retries = unacked_timeout.as_secs().max(1) as u32;
        let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_interval(KEEPALIVE_INTERVAL).with_retries(retries))
    }

    /// Sends a request on a connection. A failure returns the request if it was
    /// not sent.
    async fn exchange(
        self: &Rc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, (Failure, Option<Request<Full<Bytes>>>)> {
        let undelivered = connection.undelivered.clone();
        let sent = tokio::select! {
            biased;
            sent = connection.sender.try_send_request(request) => sent,
            () = undelivered.revoked() => return Err((Failure::Exhausted, None)),
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message();
                return Err((Failure::lost(error.into_error()), unsent));
            }
        };
        connection.undelivered.reset();
        Ok(Exchange::new(self.clone(), address, connection, response))
    }

    fn put_back(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connection.watch.set_idle(true);
            connections.push(Idle { connection, expires: now + idle_timeout, idle_since: now });
        }
    }
}
