//! HTTP server: sockets, limits, timeouts and graceful shutdown.

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

/// Chunks buffered for a slow client before the handler blocks.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Time without reading after which a client counts as disconnected.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of concurrent requests; as many again may be queued. Default 512.
    pub max_requests: usize,
    /// Maximum size of a request body, in bytes. Default 1 MiB.
    pub max_body_bytes: usize,
    /// Maximum size of a request head, in bytes; at least 8,192. Default 16 KiB.
    pub max_head_bytes: usize,
    /// Timeout for reading a request's head, and the same again for its body.
    /// Default 10 s.
    pub read_timeout: Duration,
}

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Number of the connection; connections are counted from 0.
    pub connection: u64,
}

/// Handles requests on a worker thread; may block.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and responds through `responder`.
    fn handle(&self, request: Request, responder: Responder);
}

/// Sends the response to one request; responds with status 500 if dropped
/// unused.
pub struct Responder {
    sender: oneshot::Sender<Result<BoxResponse, Aborted>>,
    runtime: Handle,
}

/// Body of a response that is sent in chunks.
///
/// If dropped without [`Stream::finish`], it closes the connection before the
/// end of the body, so that the client can detect the truncated response.
pub struct Stream {
    sender: mpsc::Sender<io::Result<Bytes>>,
    runtime: Handle,
    finished: bool,
}

/// The client has closed its connection or stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// The handler closed the connection without a response.
#[derive(Clone, Copy, Debug)]
struct Aborted;

/// A listening server; it keeps running if this handle is dropped.
pub struct Server {
    address: SocketAddr,
    pool: Pool,
    shutdown: watch::Sender<Option<Duration>>,
    thread: thread::JoinHandle<()>,
}

type Body = BoxBody<Bytes, io::Error>;
type BoxResponse = Response<Body>;

struct Acceptor {
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
    /// The value of a header, if it occurs exactly once and is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.get_all(name).iter();
        let first = values.next()?.to_str().ok()?;
        values.next().is_none().then_some(first)
    }

    /// The value of a query parameter, not percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.uri.query()?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        })
    }
}

impl Responder {
    /// Responds with a complete body.
    pub fn send(self, status: StatusCode, headers: &[(HeaderName, &str)], body: Vec<u8>) {
        let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed();
        // Fails only if the client has disconnected.
        let _ = self.sender.send(Ok(response(status, headers, body)));
    }

    /// Responds with JSON.
    pub fn json(self, status: StatusCode, body: Vec<u8>) {
        self.send(status, &[(CONTENT_TYPE, "application/json")], body);
    }

    /// Responds with a problem.
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

    /// Starts a response that is sent in chunks.
    pub fn stream(self, headers: &[(HeaderName, &str)]) -> Stream {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let body = StreamBody { receiver, error: None }.boxed();
        let _ = self.sender.send(Ok(response(StatusCode::OK, headers, body)));
        Stream { sender, runtime: self.runtime, finished: false }
    }

    /// Closes the connection without a response.
    pub fn abort(self) {
        let _ = self.sender.send(Err(Aborted));
    }

    /// Whether the client has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Stream {
    /// Sends the next chunk; blocks while the client reads too slowly.
    pub fn write(&mut self, chunk: impl Into<Bytes>) -> Result<(), Disconnected> {
        self.send(Ok(chunk.into()))
    }

    /// Whether the client has closed its connection.
    pub fn is_disconnected(&self) -> bool {
        self.sender.is_closed()
    }

    /// Ends the response as complete.
    pub fn finish(mut self) {
        self.finished = true;
    }

    fn send(&self, chunk: io::Result<Bytes>) -> Result<(), Disconnected> {
        let send = self.sender.send_timeout(chunk, CLIENT_STALL_TIMEOUT);
        self.runtime.block_on(send).map_err(|_| Disconnected)
    }
}

impl Server {
    /// Listens on `address`; port 0 selects any free port.
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
        let (shutdown, shutdown_requests) = watch::channel(None);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(format!("{name}-front"))
            .enable_all()
            .build()?;
        let acceptor = Arc::new(Acceptor { handler, pool: pool.clone(), settings });
        let thread = thread::Builder::new()
            .name(format!("{name}-listen"))
            .spawn(move || runtime.block_on(acceptor.listen(listener, shutdown_requests)))?;
        Ok(Self { address, pool, shutdown, thread })
    }

    /// The address it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests queued or being handled.
    pub fn pending(&self) -> usize {
        self.pool.pending()
    }

    /// Stops accepting connections, waits up to `limit` for requests in flight,
    /// and returns how many were cut off.
    pub fn shutdown(self, limit: Duration) -> usize {
        let _ = self.shutdown.send(Some(limit));
        self.thread.join().expect("the listening thread panicked");
        self.pool.pending()
    }
}

impl Acceptor {
    async fn listen(
        self: Arc<Self>,
        listener: TcpListener,
        mut shutdown_requests: watch::Receiver<Option<Duration>>,
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
                () = wait_for_shutdown(&mut shutdown_requests) => break,
            };
            let Ok((socket, _)) = accepted else {
                // Probably out of file descriptors: wait until some are closed.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = socket.set_nodelay(true);
            let acceptor = Arc::clone(&self);
            let number = connections;
            connections += 1;
            let service = service_fn(move |request| {
                let acceptor = Arc::clone(&acceptor);
                async move { acceptor.serve(number, request).await }
            });
            let connection = builder.serve_connection(TokioIo::new(socket), service);
            tokio::spawn(graceful.watch(connection));
        }
        drop(listener);
        let limit = shutdown_requests.borrow().unwrap_or_default();
        // Requests still in flight after that end with the runtime.
        let _ = tokio::time::timeout(limit, graceful.shutdown()).await;
    }

    async fn serve(
        &self,
        connection: u64,
        request: hyper::Request<Incoming>,
    ) -> Result<BoxResponse, Aborted> {
        let (head, body) = request.into_parts();
        let collected = Limited::new(body, self.settings.max_body_bytes).collect();
        let body = match tokio::time::timeout(self.settings.read_timeout, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Ok(body_error(&*error)),
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
            let queue_full =
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", detail);
            return Ok(problem(&queue_full.with_retry_after(Duration::from_secs(1))));
        }
        match receiver.await {
            Ok(result) => result,
            Err(_) => {
                let detail = "the request was given up without an answer";
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                let no_response =
                    Problem::not_run(status, "internal", detail).with_effect(Effect::Unknown);
                Ok(problem(&no_response))
            }
        }
    }
}

/// Waits until shutdown is requested; never returns if the [`Server`] was
/// dropped without a request.
async fn wait_for_shutdown(shutdown_requests: &mut watch::Receiver<Option<Duration>>) {
    if shutdown_requests.wait_for(Option::is_some).await.is_err() {
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
            let error = io::Error::new(io::ErrorKind::BrokenPipe, "response truncated");
            let _ = self.send(Err(error));
        }
    }
}

fn body_error(error: &(dyn Error + 'static)) -> BoxResponse {
    if error.is::<http_body_util::LengthLimitError>() {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return problem(&Problem::not_run(status, "body-too-large", "the body is too large"));
    }
    let detail = format!("the request body cannot be read: {error}");
    problem(&Problem::not_run(StatusCode::BAD_REQUEST, "body-unreadable", detail))
}

fn problem(problem: &Problem) -> BoxResponse {
    let (sender, mut receiver) = oneshot::channel();
    Responder { sender, runtime: Handle::current() }.problem(problem);
    let result = receiver.try_recv().expect("a responder sends its response before it returns");
    result.expect("a problem does not abort the connection")
}

fn response(status: StatusCode, headers: &[(HeaderName, &str)], body: Body) -> BoxResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(name.clone(), value);
        }
    }
    response
}

/// The receiving side of a [`Stream`], as a body for `hyper`.
struct StreamBody {
    receiver: mpsc::Receiver<io::Result<Bytes>>,
    /// Error that truncates the response, until `hyper` has polled it.
    error: Option<io::Error>,
}

impl hyper::body::Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.receiver.poll_recv(context) {
            Poll::Ready(Some(Err(error))) => {
                // `hyper` drops buffered chunks on an error; returning pending once
                // makes it flush them first.
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            poll => poll.map(|chunk| chunk.map(|bytes| bytes.map(Frame::data))),
        }
    }
}
