//! A connection from which only a limited number of bytes is read at a time.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::unsolicited::Watch;
use crate::memory::{Charge, Exhausted};

/// Bytes that have been read and not been delivered, which take memory.
pub(super) struct Undelivered {
    count: Cell<usize>,
    charge: Charge,
}

/// Fails if too many bytes are read before they are delivered.
pub(super) struct BoundedStream {
    stream: TcpStream,
    /// Whether nothing was read since the last write.
    is_unanswered: bool,
    undelivered: Rc<Undelivered>,
    watch: Rc<Watch>,
    limit: usize,
}

impl Undelivered {
    pub(super) const fn new(charge: Charge) -> Self {
        Self { count: Cell::new(0), charge }
    }

    /// Records that all bytes have been delivered.
    pub(super) fn reset(&self) {
        self.count.set(0);
        self.charge.clear();
    }

    /// Waits until they are to be freed.
    pub(super) async fn revoked(&self) {
        self.charge.revoked().await;
    }

    fn add(&self, bytes: usize) -> Result<(), Exhausted> {
        self.count.set(self.count.get() + bytes);
        self.charge.resize(self.count.get())
    }
}

impl BoundedStream {
    pub(super) const fn new(
        stream: TcpStream,
        undelivered: Rc<Undelivered>,
        watch: Rc<Watch>,
        limit: usize,
    ) -> Self {
        Self { stream, is_unanswered: false, undelivered, watch, limit }
    }
}

impl Drop for BoundedStream {
    /// Resets a connection whose request has no answer: bytes that a partition holds up would
    /// otherwise be delivered after it, long after the request was given up.
    fn drop(&mut self) {
        if self.is_unanswered {
            // This fails only if the connection is closed already.
            drop(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)));
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.undelivered.count.get() > self.limit {
            let reason = format!("more than {} bytes without a response", self.limit);
            return Poll::Ready(Err(io::Error::other(reason)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = &buffer.filled()[before..];
        self.is_unanswered &= read.is_empty();
        self.watch.on_read(read);
        let added = self.undelivered.add(read.len());
        Poll::Ready(added.map_err(io::Error::other))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.is_unanswered = true;
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.is_unanswered = true;
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
