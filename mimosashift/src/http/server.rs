//! The listening side: sockets, limits, timeouts and graceful shutdown.

use std::error::Error;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread;
use std::time::Duration;

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};

use super::pool::Pool;
use super::problem::{Effect, Problem};

/// Chunks that may wait for a slow reader before its handler blocks.
const STREAM_CHUNKS: usize = 64;

/// Time a client may read nothing before its stream is given up.
const READER_STALL: Duration = Duration::from_secs(10);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests handled at once; as many again may wait. Default 512.
    pub max_requests: usize,
    /// Largest request body, in bytes. Default 1 MiB.
    pub max_body_bytes: usize,
    /// Largest request head, in bytes; at least 8,192. Default 16 KiB.
    pub max_head_bytes: usize,
    /// Time for a client to send a request's head, and again its body.
    /// Default 10 s.
    pub read_timeout: Duration,
}

/// A request whose body has been read whole.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Number of the connection it came over, rising from 0.
    pub connection: u64,
}

/// Answers requests; called on a worker thread, may block.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request through `responder`.
    fn handle(&self, request: Request, responder: Responder);
}

/// The one answer to a request. Dropped unused, it answers with status 500.
pub struct Responder {
    sender: oneshot::Sender<Result<Answer, Aborted>>,
    runtime: Handle,
}

/// Body of an answer that is sent piece by piece.
///
/// Dropped without [`Stream::finish`], it breaks the connection, so that an
/// answer cut short never looks whole.
pub struct Stream {
    sender: mpsc::Sender<io::Result<Bytes>>,
    runtime: Handle,
    finished: bool,
}

/// The client has closed its connection or stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// A handler chose to close the connection.
#[derive(Clone, Copy, Debug)]
struct Aborted;

/// A listening server; dropping it leaves it running.
pub struct Server {
    address: SocketAddr,
    pool: Pool,
    shutdown: watch::Sender<Option<Duration>>,
    thread: thread::JoinHandle<()>,
}

type Body = BoxBody<Bytes, io::Error>;
type Answer = Response<Body>;

struct Front {
    handler: Arc<dyn Handler>,
    pool: Pool,
    settings: Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_requests: 512,
            max_body_bytes: 1 << 20,
            max_head_bytes: 16 << 10,
            read_timeout: Duration::from_secs(10),
        }
    }
}

impl Request {
    /// The value of a header, if it is there once and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.get_all(name).iter();
        let first = values.next()?.to_str().ok()?;
        values.next().is_none().then_some(first)
    }

    /// The value of a query parameter, as it stands in the URL.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.uri.query()?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        })
    }
}

impl Responder {
    /// Answers with a whole body.
    pub fn send(self, status: StatusCode, headers: &[(HeaderName, &str)], body: Vec<u8>) {
        let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed();
        // A send fails only when the client has gone.
        let _ = self.sender.send(Ok(answer(status, headers, body)));
    }

    /// Answers with JSON.
    pub fn json(self, status: StatusCode, body: Vec<u8>) {
        self.send(status, &[(CONTENT_TYPE, "application/json")], body);
    }

    /// Answers with a problem.
    pub fn problem(self, problem: &Problem) {
        let kind = (CONTENT_TYPE, "application/problem+json");
        match problem.retry_after_seconds() {
            Some(seconds) => {
                let after = seconds.to_string();
                self.send(problem.status, &[kind, (RETRY_AFTER, &after)], problem.to_json());
            }
            None => self.send(problem.status, &[kind], problem.to_json()),
        }
    }

    /// Starts an answer that is sent piece by piece.
    pub fn stream(self, headers: &[(HeaderName, &str)]) -> Stream {
        let (sender, receiver) = mpsc::channel(STREAM_CHUNKS);
        let body = Pieces { receiver, cut: None }.boxed();
        let _ = self.sender.send(Ok(answer(StatusCode::OK, headers, body)));
        Stream { sender, runtime: self.runtime, finished: false }
    }

    /// Closes the connection without an answer.
    pub fn abort(self) {
        let _ = self.sender.send(Err(Aborted));
    }

    /// Whether the client has closed its connection.
    pub fn is_gone(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Stream {
    /// Sends the next piece; blocks while the client reads too slowly.
    pub fn write(&mut self, chunk: impl Into<Bytes>) -> Result<(), Gone> {
        self.send(Ok(chunk.into()))
    }

    /// Whether the client has closed its connection.
    pub fn is_gone(&self) -> bool {
        self.sender.is_closed()
    }

    /// Ends the answer as whole.
    pub fn finish(mut self) {
        self.finished = true;
    }

    fn send(&self, piece: io::Result<Bytes>) -> Result<(), Gone> {
        let sent = self.sender.send_timeout(piece, READER_STALL);
        self.runtime.block_on(sent).map_err(|_| Gone)
    }
}

impl Server {
    /// Listens on `address`; port 0 takes any free port.
    pub fn start(
        name: &'static str,
        address: SocketAddr,
        settings: Settings,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let pool = Pool::new(name, settings.max_requests);
        let (shutdown, stopped) = watch::channel(None);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(format!("{name}-front"))
            .enable_all()
            .build()?;
        let front = Arc::new(Front { handler, pool: pool.clone(), settings });
        let thread = thread::Builder::new()
            .name(format!("{name}-listen"))
            .spawn(move || runtime.block_on(front.listen(listener, stopped)))?;
        Ok(Self { address, pool, shutdown, thread })
    }

    /// The address it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests queued or being handled.
    pub fn pending(&self) -> usize {
        self.pool.pending()
    }

    /// Stops accepting, lets requests in flight finish for up to `limit`, and
    /// returns how many were cut off.
    pub fn shutdown(self, limit: Duration) -> usize {
        let _ = self.shutdown.send(Some(limit));
        self.thread.join().expect("the listening thread does not panic");
        self.pool.pending()
    }
}

impl Front {
    async fn listen(
        self: Arc<Self>,
        listener: TcpListener,
        mut stopped: watch::Receiver<Option<Duration>>,
    ) {
        let listener =
            tokio::net::TcpListener::from_std(listener).expect("the runtime has I/O enabled");
        let graceful = GracefulShutdown::new();
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.settings.read_timeout)
            .max_buf_size(self.settings.max_head_bytes);
        let mut connections = 0;
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = shutdown_asked(&mut stopped) => break,
            };
            let Ok((socket, _)) = accepted else {
                // Out of file descriptors: wait until some are closed.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = socket.set_nodelay(true);
            let front = Arc::clone(&self);
            let number = connections;
            connections += 1;
            let service = service_fn(move |request| {
                let front = Arc::clone(&front);
                async move { front.serve(number, request).await }
            });
            let connection = builder.serve_connection(TokioIo::new(socket), service);
            tokio::spawn(graceful.watch(connection));
        }
        drop(listener);
        let limit = stopped.borrow().unwrap_or_default();
        // Requests that are not done by then are cut off with the runtime.
        let _ = tokio::time::timeout(limit, graceful.shutdown()).await;
    }

    async fn serve(
        &self,
        connection: u64,
        request: hyper::Request<Incoming>,
    ) -> Result<Answer, Aborted> {
        let (head, body) = request.into_parts();
        let collected = Limited::new(body, self.settings.max_body_bytes).collect();
        let body = match tokio::time::timeout(self.settings.read_timeout, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Ok(body_refused(&*error)),
            Err(_) => {
                let detail = "the request body did not arrive in time";
                let status = StatusCode::REQUEST_TIMEOUT;
                return Ok(problem(&Problem::not_run(status, "body-timeout", detail)));
            }
        };
        let request =
            Request { method: head.method, uri: head.uri, headers: head.headers, body, connection };
        let (sender, receiver) = oneshot::channel();
        let handler = Arc::clone(&self.handler);
        let runtime = Handle::current();
        let job = move || handler.handle(request, Responder { sender, runtime });
        if self.pool.run(job).is_err() {
            let detail = "every worker is busy and the queue is full";
            let full = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", detail);
            return Ok(problem(&full.with_retry_after(Duration::from_secs(1))));
        }
        match receiver.await {
            Ok(answered) => answered,
            Err(_) => {
                let detail = "the request was given up without an answer";
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                let unknown =
                    Problem::not_run(status, "internal", detail).with_effect(Effect::Unknown);
                Ok(problem(&unknown))
            }
        }
    }
}

/// Waits until the shutdown is asked for; for ever when the [`Server`] that
/// could ask was dropped.
async fn shutdown_asked(stopped: &mut watch::Receiver<Option<Duration>>) {
    if stopped.wait_for(Option::is_some).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the handler closed the connection")
    }
}

impl Error for Aborted {}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.finished {
            let cut = io::Error::new(io::ErrorKind::BrokenPipe, "answer cut short");
            let _ = self.send(Err(cut));
        }
    }
}

fn body_refused(error: &(dyn Error + 'static)) -> Answer {
    if error.is::<http_body_util::LengthLimitError>() {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return problem(&Problem::not_run(status, "body-too-large", "the body is too large"));
    }
    let detail = format!("the request body cannot be read: {error}");
    problem(&Problem::not_run(StatusCode::BAD_REQUEST, "body-unreadable", detail))
}

fn problem(problem: &Problem) -> Answer {
    let (sender, mut receiver) = oneshot::channel();
    Responder { sender, runtime: Handle::current() }.problem(problem);
    let answered = receiver.try_recv().expect("a responder answers before it returns");
    answered.expect("a problem is an answer")
}

fn answer(status: StatusCode, headers: &[(HeaderName, &str)], body: Body) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            answer.headers_mut().insert(name.clone(), value);
        }
    }
    answer
}

/// A body fed by a [`Stream`].
struct Pieces {
    receiver: mpsc::Receiver<io::Result<Bytes>>,
    /// Why the answer is cut short, until the connection has been told.
    cut: Option<io::Error>,
}

impl hyper::body::Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(cut) = self.cut.take() {
            return Poll::Ready(Some(Err(cut)));
        }
        match self.receiver.poll_recv(context) {
            Poll::Ready(Some(Err(cut))) => {
                // An error drops what is buffered; a pause lets it be sent.
                self.cut = Some(cut);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled.map(|piece| piece.map(|bytes| bytes.map(Frame::data))),
        }
    }
}
