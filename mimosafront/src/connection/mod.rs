//! The life of an accepted connection, which follows the limits in force.
//!
//! See `docs/design/deployment.md`, "Connections of clients".

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mimosashift::deployment::Limits;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::meter::{Outcome, RefusalReason};
use mimosashift::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::body::{ResponseBody, TruncatedBody};
use crate::clock;
use crate::relay;
use crate::server::Listener;
use crate::state::RouterState;

use self::closes::{Close, Reason};
use self::history::CLIENT_LAG;
use self::socket::{Exchange, Phase, Socket};
use self::timer::Timer;

pub mod closes;
pub mod history;
mod socket;
mod timer;

/// Size up to which the buffer of a connection can grow for a head, so that a limit that is
/// raised later applies to the connection as well.
const HEAD_BUFFER_BYTES: usize = 256 * 1024;

/// Limits on what other routers send and on their connections, which they reuse whatever
/// limits on clients they know. A router sends what it has accepted from a client.
const ROUTER_LIMITS: Limits = Limits {
    head_bytes: usize::MAX,
    body_bytes: 64 * 1024 * 1024,
    read_timeout: Duration::from_secs(15),
    idle_timeout: Duration::from_secs(15),
};

/// Time for which a connection whose limit has run out is kept at most until the
/// configuration is confirmed.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// Interval of the checks whether a connection is kept for longer than that.
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between the closing of a router and that of its idle connections: a connection that
/// was accepted last may not have delivered its request.
const LAST_READ_PERIOD: Duration = Duration::from_millis(100);

/// The body of a response; the exchange ends with it.
struct ExchangeBody {
    body: ResponseBody,
    _exchange: Exchange,
}

/// What a connection has come to.
enum Step {
    /// It has ended.
    Ended,
    /// Its limit has run out, but may have been raised by a configuration that is not known
    /// yet.
    Unconfirmed,
    /// The router closes it.
    Close(Close),
    /// The router stops, and a request is being served.
    Drain,
}

/// An accepted connection.
struct Connection {
    state: Rc<RouterState>,
    socket: Rc<Socket>,
    timer: Timer,
    is_stopping: bool,
}

/// The largest limits that were in force for a listener since `since`.
pub fn limits_since(state: &RouterState, listener: Listener, since: Instant) -> Limits {
    match listener {
        Listener::Clients => state.limits.borrow().largest_since(since),
        Listener::Routers => ROUTER_LIMITS,
    }
}

/// Serves a connection until it is closed.
pub async fn serve(
    state: Rc<RouterState>,
    stream: TcpStream,
    listener: Listener,
    mut closing: watch::Receiver<bool>,
) {
    // Streams consist of small events, which Nagle's algorithm would delay.
    drop(stream.set_nodelay(true));
    let socket = Socket::new(stream, listener, state.clone());
    let service =
        service_fn(|request| respond(state.clone(), listener, socket.begin_exchange(), request));
    let head_bytes = state.limits.borrow().current().head_bytes;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_bytes.max(HEAD_BUFFER_BYTES));
    let mut http = pin!(builder.serve_connection(TokioIo::new(socket.stream()), service));
    let mut closing = pin!(async {
        // The sender lives as long as the router, so this cannot fail.
        let _ = closing.wait_for(|closing| *closing).await;
        tokio::time::sleep(LAST_READ_PERIOD).await;
    });
    let (state, socket) = (state.clone(), socket.clone());
    let mut connection = Connection { state, socket, timer: Timer::new(), is_stopping: false };
    loop {
        let step = tokio::select! {
            biased;
            step = poll_fn(|cx| connection.poll_step(http.as_mut(), cx)) => step,
            () = closing.as_mut(), if !connection.is_stopping => {
                connection.is_stopping = true;
                continue;
            }
        };
        match step {
            // Connection errors are already recorded in the outcome of the requests.
            Step::Ended => return,
            Step::Unconfirmed => tokio::select! {
                biased;
                _ = http.as_mut() => return,
                () = connection.state.config_confirmed.notified() => {}
                () = closing.as_mut(), if !connection.is_stopping => {
                    connection.is_stopping = true;
                }
                () = tokio::time::sleep(HOLD_CHECK_INTERVAL) => {}
            },
            Step::Close(close) => return connection.close(close),
            Step::Drain => {
                http.as_mut().graceful_shutdown();
                drop(http.await);
                return;
            }
        }
    }
}

async fn respond(
    state: Rc<RouterState>,
    listener: Listener,
    exchange: Exchange,
    request: Request<Incoming>,
) -> Result<Response<ExchangeBody>, TruncatedBody> {
    let busy = state.connections.count_busy();
    let response = relay::handle(state.clone(), listener, request).await;
    drop(busy);
    Ok(response.map(|body| ExchangeBody { body, _exchange: exchange }))
}

impl Connection {
    fn poll_step<E>(
        &mut self,
        http: Pin<&mut impl Future<Output = Result<(), E>>>,
        cx: &mut Context<'_>,
    ) -> Poll<Step> {
        if http.poll(cx).is_ready() {
            return Poll::Ready(Step::Ended);
        }
        let since = match self.socket.phase() {
            Phase::Exchange if self.is_stopping => return Poll::Ready(Step::Drain),
            Phase::Exchange => return Poll::Pending,
            Phase::Idle { since } | Phase::Head { since, .. } => since,
        };
        let limit = self.limit(since);
        let close = |reason| {
            let waited = clock::now().since(since);
            Close { reason, waited, limit, requests: self.socket.requests() }
        };
        if self.socket.is_head_too_large() {
            return Poll::Ready(Step::Close(close(Reason::LargeHead)));
        }
        let is_idle = matches!(self.socket.phase(), Phase::Idle { .. });
        let reason = if self.is_stopping && is_idle {
            if self.socket.has_unsent() {
                return Poll::Ready(Step::Drain);
            }
            Reason::Stop
        } else {
            ready!(self.timer.poll_until(since + limit, cx));
            match self.socket.phase() {
                Phase::Idle { .. } if self.socket.has_unsent() => Reason::UnreadResponse,
                Phase::Idle { .. } => Reason::Idle,
                Phase::Head { .. } | Phase::Exchange => Reason::SlowHead,
            }
        };
        // Nothing is read as long as the client does not read its response.
        if !self.socket.has_unsent() && self.socket.has_unread() {
            // The runtime has not noticed the bytes yet.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if reason != Reason::Stop && !self.is_confirmed_since(since + limit) {
            return Poll::Ready(Step::Unconfirmed);
        }
        Poll::Ready(Step::Close(close(reason)))
    }

    /// The limit on the time for which the connection waits since `since`.
    fn limit(&self, since: Instant) -> Duration {
        match self.socket.phase() {
            Phase::Head { .. } => self.socket.limits_since(since).read_timeout,
            Phase::Idle { .. } | Phase::Exchange => {
                self.socket.limits_since(since - CLIENT_LAG).idle_timeout
            }
        }
    }

    /// Whether a configuration that was accepted before `expired_at` would be known, or has
    /// been waited for long enough.
    fn is_confirmed_since(&self, expired_at: Instant) -> bool {
        let now = clock::now();
        let held = now.since(expired_at);
        let age = self.state.config_freshness.get().age(now);
        held >= MAX_HOLD || age.is_some_and(|age| age <= held)
    }

    /// Closes the connection; a client that has sent a part of a request is told why.
    fn close(&self, close: Close) {
        self.state.closes.borrow_mut().record(close);
        let (status, error) = match close.reason {
            Reason::SlowHead => (StatusCode::REQUEST_TIMEOUT, "head too slow"),
            Reason::LargeHead => (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head too large"),
            Reason::Idle | Reason::UnreadResponse | Reason::Stop => return,
        };
        let state = &self.state;
        state.meter.requests(1, Outcome::Refused);
        state.meter.refusals(1, RefusalReason::Invalid);
        emit!(state.log, Event::RequestDenied, "request" => "", "status" => status.as_u16(), "reason" => error, "revision" => state.revision(), "config_age_ms" => state.config_age_ms());
        let body = format!("{{\"error\":\"{error}\"}}");
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            body.len(),
        );
        // A client that has gone needs no answer.
        drop(self.socket.answer(answer.as_bytes()));
    }
}

impl Body for ExchangeBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
