//! Responses of servers, whose bodies are read as streams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

use super::bounded_stream::Undelivered;
use super::{Connection, Failure, Id, Pool};
use crate::memory::Exhausted;

/// Idle time after which a connection is not reused, unless the server announces
/// a shorter timeout; below the idle timeouts that servers commonly have.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the end of an announced idle timeout in which a connection is no
/// longer reused: the timeout is given in body seconds, and a request needs
/// time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

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

impl Framing {
    /// Name in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::UntilClose => "until close",
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
    pub(super) fn new(
        pool: Rc<Pool>,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            framing: framing(&parts.headers, &body),
            idle_timeout: idle_timeout(&parts.headers),
            head: Response::from_parts(parts, ()),
            body,
            connection_id: connection.id,
            connection: Some(connection),
            pool,
            address,
            received: None,
        }
    }

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
