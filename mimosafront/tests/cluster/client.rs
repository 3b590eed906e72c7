//! A test client of the routers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::plain::FEED_EVENTS;
use super::{HOST, KEY};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request, with an id for this attempt of the client.
#[derive(Clone, Debug)]
pub struct TestRequest {
    pub id: String,
    pub method: Method,
    pub path: String,
    pub key: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

/// The response as received by the client.
#[derive(Clone, Debug)]
pub struct TestResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the response was complete according to its framing.
    pub complete: bool,
}

impl TestRequest {
    pub fn new(method: Method, path: &str) -> Self {
        let sequence = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        Self {
            id: format!("{:08x}{sequence:08x}", std::process::id()),
            method,
            path: path.to_owned(),
            key: KEY.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(6),
        }
    }

    /// A request for a stream of `events` events.
    pub fn draft(events: u64) -> Self {
        Self::stream("/draft/x", events)
    }

    /// A request for a stream that may not be resumed.
    pub fn note(events: u64) -> Self {
        Self::stream("/note/x", events)
    }

    /// A request for a stream of a plain service.
    pub fn feed() -> Self {
        Self::stream("/feed/x", FEED_EVENTS)
    }

    fn stream(path: &str, events: u64) -> Self {
        let mut request = Self::new(Method::POST, path);
        request.headers.push(("token-counts", format!("100,{}", events * 4)));
        request.body = b"draft".to_vec();
        request
    }

    /// The same request with a prompt of these parts and one of its own.
    pub fn with_parts(mut self, parts: &[&str]) -> Self {
        let shared: String = parts.iter().map(|part| format!("{part}:40,")).collect();
        self.headers.push(("prompt-prefix", format!("{shared}{}:60", self.id)));
        self
    }

    /// The same request with contents that no other has, as routers count the crashes of
    /// endpoints against the contents that they ran.
    pub fn with_own_contents(mut self) -> Self {
        match self.method {
            Method::GET => self.path.push_str(&format!("&own={}", self.id)),
            _ => self.body.extend(self.id.bytes()),
        }
        self
    }

    pub fn post() -> Self {
        Self { body: b"posting".to_vec(), ..Self::new(Method::POST, "/post/x") }
    }

    pub fn read() -> Self {
        Self::new(Method::GET, "/read/x?a=1")
    }

    /// A request of a plain service that takes longer than a router that stops has left.
    pub fn slow(path: &str) -> Self {
        Self::new(Method::POST, &format!("{path}?ms=2900"))
    }

    /// The same request as another attempt.
    pub fn with_another_id(self) -> Self {
        Self { id: Self::new(Method::GET, "/").id, ..self }
    }

    /// A short stream, a posting or a read in turn.
    pub fn mixed(number: usize) -> Self {
        match number % 3 {
            0 => Self::draft(4),
            1 => Self::post(),
            _ => Self::read(),
        }
    }

    fn to_http(&self) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", HOST)
            .header("request-id", &self.id)
            .header("request-deadline", self.timeout.as_millis().to_string())
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder.body(Full::new(self.body.clone().into())).unwrap()
    }

    /// Sends the request over a new connection; `None` if no response head was
    /// received.
    pub async fn send(&self, to: SocketAddr) -> Option<TestResponse> {
        let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(to));
        let mut connection = Connection::new(connected.await.ok()?.ok()?).await?;
        connection.send(self).await
    }
}

/// A persistent connection for many requests.
pub struct Connection(http1::SendRequest<Full<Bytes>>);

impl Connection {
    pub async fn new(stream: TcpStream) -> Option<Self> {
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move { drop(connection.await) });
        Some(Self(sender))
    }

    /// Sends a request and returns its response as soon as the head has arrived.
    pub async fn open(&mut self, request: &TestRequest) -> Option<Response<Incoming>> {
        self.0.ready().await.ok()?;
        let sending = self.0.send_request(request.to_http());
        tokio::time::timeout(request.timeout, sending).await.ok()?.ok()
    }

    pub async fn send(&mut self, request: &TestRequest) -> Option<TestResponse> {
        self.0.ready().await.ok()?;
        let exchange = async {
            let response = self.0.send_request(request.to_http()).await.ok()?;
            let (head, mut body) = response.into_parts();
            let (mut bytes, mut complete) = (Vec::new(), true);
            while let Some(frame) = body.frame().await {
                match frame {
                    Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
                    Err(_) => {
                        complete = false;
                        break;
                    }
                }
            }
            let body = String::from_utf8_lossy(&bytes).into_owned();
            Some(TestResponse {
                status: head.status.as_u16(),
                headers: head.headers,
                body,
                complete,
            })
        };
        tokio::time::timeout(request.timeout + Duration::from_secs(2), exchange).await.ok()?
    }
}

impl TestResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Numbers of the events in the order in which they were received.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }

    /// Checks the response against `request`; returns a description of the
    /// first error.
    pub fn protocol_error(&self, request: &TestRequest) -> Option<String> {
        if self.status != 200 {
            // Of the errors, only those with status 500 may be signed.
            return self.headers.contains_key("response-signature").then_some(()).and_then(|()| {
                (self.status != 500).then(|| format!("{} has a signature", self.status))
            });
        }
        let signature = format!("sig-{}", request.id);
        if self.header("response-signature") != Some(&signature) {
            return Some(format!("signature {:?}", self.header("response-signature")));
        }
        if self.body.contains("data: ") {
            let events = self.events();
            let in_order = events.iter().zip(1..).all(|(event, n)| *event == n);
            let own = self
                .body
                .lines()
                .filter(|l| l.starts_with("data: "))
                .all(|l| l.contains(&request.id));
            let counts = request.headers.iter().find(|(name, _)| *name == "token-counts");
            let total = counts
                .map_or(10, |(_, c)| c.split(',').nth(1).unwrap().parse::<u64>().unwrap() / 4);
            if !in_order || !own || self.complete && events.len() as u64 != total {
                return Some(format!(
                    "{total} events expected, got {events:?}; all have the request's id: {own}"
                ));
            }
            return None;
        }
        (self.complete && self.body != format!("answer to {}", request.id))
            .then(|| format!("body {:?}", self.body))
    }
}
