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

use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use self::bounded_stream::{BoundedStream, Undelivered};
pub use self::carrier::{Carriers, Id, Reuse};
pub use self::witness::Witness;
use crate::memory::{Budget, Exhausted};

mod bounded_stream;
mod carrier;
mod witness;

/// Idle time after which a connection is not reused, unless the server announces
/// a shorter timeout; below the idle timeouts that servers commonly have.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the end of an announced idle timeout in which a connection is no
/// longer reused: the timeout is given in body seconds, and a request needs
/// time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// Maximum number of idle connections to one address.
const MAX_IDLE: usize = 64;

/// Maximum number of pending addresses of servers that closed connections.
const MAX_CLOSED_ADDRESSES: usize = 256;

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
    witnesses: RefCell<HashMap<SocketAddr, Rc<Witness>>>,
    /// Addresses that closed a connection, not yet returned by
    /// [`Pool::closed_addresses`].
    closed: RefCell<Vec<SocketAddr>>,
    closing: Notify,
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
}

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length or the last chunk.
    Delimited,
    /// Only by the close of the connection, which is the same for a body that
    /// was broken off; see `docs/design/http.md`.
    UntilClose,
}

/// Response whose body is read as a stream.
pub struct Exchange {
    /// Status and headers.
    pub head: Response<()>,
    /// How the end of the body is marked.
    pub framing: Framing,
    body: Incoming,
    connection_id: Id,
    connection: Option<Connection>,
    idle_timeout: Option<Duration>,
    pool: Rc<Pool>,
    address: SocketAddr,
    /// What [`Exchange::next`] returns next, if it has been received.
    received: Option<Option<Result<Bytes, Failure>>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self { connect_timeout: CONNECT_TIMEOUT, unacked_timeout: UNACKED_TIMEOUT }
    }
}

impl Framing {
    /// Name in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::UntilClose => "until close",
        }
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
            witnesses: RefCell::default(),
            closed: RefCell::default(),
            closing: Notify::new(),
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

    /// Closes the idle connections to an address, for example because another
    /// connection as old as these has stopped responding.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
        self.witnesses.borrow_mut().remove(&address);
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn close_expired(&self) {
        self.witnesses.borrow_mut().retain(|_, witness| witness.is_fresh());
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
        let stream = BoundedStream::new(stream, undelivered.clone(), MAX_UNDELIVERED_BYTES);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error_chain(&error), false))?;
        let pool = Rc::downgrade(self);
        // An error of the connection is reported by the exchange that uses it.
        let task = tokio::task::spawn_local(async move {
            drop(connection.await);
            if let Some(pool) = pool.upgrade() {
                pool.record_closed(address);
            }
        });
        let id = Id(self.last_id.get() + 1);
        self.last_id.set(id.0);
        Ok(Connection { id, sender, task: task.abort_handle(), undelivered })
    }

    fn record_closed(&self, address: SocketAddr) {
        let mut closed = self.closed.borrow_mut();
        if closed.len() < MAX_CLOSED_ADDRESSES && !closed.contains(&address) {
            closed.push(address);
        }
        self.closing.notify_one();
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
        let (parts, body) = response.into_parts();
        let idle_timeout = idle_timeout(&parts.headers);
        let framing = framing(&parts.headers, &body);
        let head = Response::from_parts(parts, ());
        let pool = self.clone();
        Ok(Exchange {
            head,
            framing,
            body,
            connection_id: connection.id,
            connection: Some(connection),
            idle_timeout,
            pool,
            address,
            received: None,
        })
    }

    fn put_back(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(Idle { connection, expires: now + idle_timeout, idle_since: now });
        }
    }
}

fn framing(headers: &HeaderMap, body: &Incoming) -> Framing {
    let is_delimited = body.is_end_stream()
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING);
    if is_delimited { Framing::Delimited } else { Framing::UntilClose }
}

/// Time for which a connection may stay idle; `None` if it must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let closing = text(CONNECTION.as_str()).is_some_and(|value| {
        value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
    });
    if closing {
        return None;
    }
    let timeout = text("keep-alive").and_then(|value| {
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    let limit = timeout.map_or(IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT));
    (!limit.is_zero()).then_some(limit)
}

/// Waits until the bytes that a connection has read are to be freed; forever without one.
async fn revoked(undelivered: Option<&Undelivered>) {
    match undelivered {
        Some(undelivered) => undelivered.revoked().await,
        None => std::future::pending().await,
    }
}

impl Exchange {
    /// Returns the next bytes of the body; `None` at its end, where the
    /// connection returns to the pool.
    pub async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        match self.received.take() {
            Some(received) => received,
            None => self.receive().await,
        }
    }

    /// Waits until [`Exchange::next`] returns at once; whether the response went on or
    /// ended, instead of breaking off. Nothing is lost if this is dropped before it returns.
    pub async fn went_on(&mut self) -> bool {
        if self.received.is_none() {
            self.received = Some(self.receive().await);
        }
        !matches!(self.received, Some(Some(Err(_))))
    }

    async fn receive(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            let undelivered = self.connection.as_ref().map(|c| c.undelivered.clone());
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = revoked(undelivered.as_deref()) => {
                    self.connection = None;
                    return Some(Err(Failure::Exhausted));
                }
            };
            match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        if let Some(connection) = &self.connection {
                            connection.undelivered.reset();
                        }
                        return Some(Ok(data));
                    }
                    // Trailers are not used.
                    Err(_) => continue,
                },
                Some(Err(error)) => {
                    self.connection = None;
                    return Some(Err(Failure::lost(error)));
                }
                None => {
                    self.finish();
                    return None;
                }
            }
        }
    }

    /// Reads the rest of the body, of at most `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, Failure> {
        self.collect_noting(limit, || ()).await
    }

    /// Does so and calls `on_data` whenever bytes arrive.
    pub async fn collect_noting(
        &mut self,
        limit: usize,
        mut on_data: impl FnMut(),
    ) -> Result<Bytes, Failure> {
        let mut collected = self.pool.budget.buffer();
        loop {
            let next = tokio::select! {
                biased;
                next = self.next() => next,
                () = collected.revoked() => Some(Err(Failure::Exhausted)),
            };
            let data = match next {
                Some(Ok(data)) => data,
                Some(Err(failure)) => {
                    self.connection = None;
                    return Err(failure);
                }
                None => return collected.finish().map_err(|Exhausted| Failure::Exhausted),
            };
            on_data();
            if collected.len() + data.len() > limit {
                self.connection = None;
                return Err(Failure::Lost { reason: format!("response exceeds {limit} bytes") });
            }
            if collected.push(&data).is_err() {
                self.connection = None;
                return Err(Failure::Exhausted);
            }
        }
    }

    /// Address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection that carried the request.
    pub const fn connection_id(&self) -> Id {
        self.connection_id
    }

    fn finish(&mut self) {
        if let (Some(connection), Some(idle_timeout)) = (self.connection.take(), self.idle_timeout)
        {
            self.pool.put_back(self.address, connection, idle_timeout);
        }
    }
}
