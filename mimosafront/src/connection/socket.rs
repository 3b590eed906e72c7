//! The socket of a connection, which follows what the connection does.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use mimosashift::deployment::Limits;
use mimosashift::time::Instant;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;
use crate::connection::limits_since;
use crate::server::Listener;
use crate::state::RouterState;

/// Largest number of bytes read at once, which keeps read buffers small although heads may
/// be large.
const MAX_READ_BYTES: usize = 16 * 1024;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle {
        /// When it was accepted, or last sent a part of a response.
        since: Instant,
    },
    /// It reads the head of a request.
    Head {
        /// When the first byte arrived.
        since: Instant,
        /// Bytes read of the head.
        bytes: usize,
    },
    /// It serves a request.
    Exchange,
}

/// A socket that is shared by the HTTP connection and its owner.
pub struct Socket {
    stream: TcpStream,
    state: Rc<RouterState>,
    listener: Listener,
    phase: Cell<Phase>,
    requests: Cell<u64>,
    has_unsent: Cell<bool>,
}

/// The part of a socket that the HTTP connection reads and writes.
pub struct SocketStream(Rc<Socket>);

/// A request that is being served until this is dropped.
pub struct Exchange(Rc<Socket>);

impl Socket {
    /// The socket of a connection that has just been accepted.
    pub fn new(stream: TcpStream, listener: Listener, state: Rc<RouterState>) -> Rc<Self> {
        Rc::new(Self {
            stream,
            state,
            listener,
            phase: Cell::new(Phase::Idle { since: clock::now() }),
            requests: Cell::default(),
            has_unsent: Cell::default(),
        })
    }

    /// The stream for the HTTP connection.
    pub fn stream(self: &Rc<Self>) -> SocketStream {
        SocketStream(self.clone())
    }

    /// What the connection does.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Number of requests whose heads were complete.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Begins to serve a request.
    pub fn begin_exchange(self: &Rc<Self>) -> Exchange {
        self.requests.set(self.requests.get() + 1);
        self.phase.set(Phase::Exchange);
        Exchange(self.clone())
    }

    /// Whether a head that is being read exceeds the limit in force.
    pub fn is_head_too_large(&self) -> bool {
        let Phase::Head { since, bytes } = self.phase.get() else { return false };
        bytes > self.limits_since(since).head_bytes
    }

    /// The largest limits that were in force for the connection since `since`.
    pub fn limits_since(&self, since: Instant) -> Limits {
        limits_since(&self.state, self.listener, since)
    }

    /// Whether bytes have arrived that have not been read, also such of which the event
    /// loop has not been notified yet.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(1..))
    }

    /// Whether a part of a response is still to be sent.
    pub fn has_unsent(&self) -> bool {
        self.has_unsent.get()
    }

    /// Sends a short answer, unless a part of an earlier one is still to be sent.
    pub fn answer(&self, bytes: &[u8]) -> io::Result<()> {
        if self.has_unsent.get() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        match self.stream.try_write(bytes) {
            Ok(count) if count < bytes.len() => return Err(io::ErrorKind::WriteZero.into()),
            Ok(_) => {}
            Err(error) => return Err(error),
        }
        SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write)
    }

    fn record_read(&self, bytes: &[u8]) {
        match self.phase.get() {
            // Empty lines before a request are no part of it.
            Phase::Idle { .. } if bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n')) => {}
            Phase::Idle { .. } => {
                self.phase.set(Phase::Head { since: clock::now(), bytes: bytes.len() });
            }
            Phase::Head { since, bytes: read } => {
                self.phase.set(Phase::Head { since, bytes: read + bytes.len() });
            }
            Phase::Exchange => {}
        }
    }

    /// Writes with `write`. The last part of a response may be sent long after the router
    /// has handed it over, so that the connection is idle only since then.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            self.has_unsent.set(true);
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if let Phase::Idle { .. } = self.phase.get() {
                        self.phase.set(Phase::Idle { since: clock::now() });
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.phase.set(Phase::Idle { since: clock::now() });
    }
}

impl AsyncRead for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        if socket.is_head_too_large() {
            // The owner of the socket answers and closes it.
            return Poll::Pending;
        }
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            let size = buffer.remaining().min(MAX_READ_BYTES);
            match socket.stream.try_read(buffer.initialize_unfilled_to(size)) {
                Ok(count) => {
                    let start = buffer.filled().len();
                    buffer.advance(count);
                    if count > 0 {
                        socket.record_read(&buffer.filled()[start..]);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write_with(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.poll_write_with(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP connection flushes once all of its bytes are written.
        self.0.has_unsent.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
