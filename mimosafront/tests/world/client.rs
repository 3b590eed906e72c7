//! A client of the routers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{HOST, KEY};

static IDS: AtomicU64 = AtomicU64::new(1);

/// A request, and the id of the client's attempt.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub method: Method,
    pub path: String,
    pub key: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub wait: Duration,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Told {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the answer ended as its framing says.
    pub whole: bool,
}

impl Ask {
    pub fn new(method: Method, path: &str) -> Self {
        let number = IDS.fetch_add(1, Ordering::Relaxed);
        Self {
            id: format!("{:08x}{number:08x}", std::process::id()),
            method,
            path: path.to_owned(),
            key: KEY.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            wait: Duration::from_secs(6),
        }
    }

    /// A stream of `events` events.
    pub fn draft(events: u64) -> Self {
        let mut ask = Self::new(Method::POST, "/draft/x");
        ask.headers.push(("token-counts", format!("100,{}", events * 4)));
        ask.body = b"draft".to_vec();
        ask
    }

    pub fn post() -> Self {
        Self { body: b"posting".to_vec(), ..Self::new(Method::POST, "/post/x") }
    }

    pub fn read() -> Self {
        Self::new(Method::GET, "/read/x?a=1")
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", HOST)
            .header("request-id", &self.id)
            .header("request-deadline", self.wait.as_millis().to_string())
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request.body(Full::new(self.body.clone().into())).unwrap()
    }

    /// Sends it over a new connection; `None` when no answer began.
    pub async fn send(&self, to: SocketAddr) -> Option<Told> {
        let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(to));
        let mut connection = Connection::new(connected.await.ok()?.ok()?).await?;
        connection.send(self).await
    }
}

/// A connection that is kept for many requests.
pub struct Connection(http1::SendRequest<Full<Bytes>>);

impl Connection {
    pub async fn new(stream: TcpStream) -> Option<Self> {
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move { drop(connection.await) });
        Some(Self(sender))
    }

    pub async fn send(&mut self, ask: &Ask) -> Option<Told> {
        self.0.ready().await.ok()?;
        let answered = async {
            let response = self.0.send_request(ask.request()).await.ok()?;
            let (head, mut body) = response.into_parts();
            let (mut bytes, mut whole) = (Vec::new(), true);
            while let Some(frame) = body.frame().await {
                match frame {
                    Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
                    Err(_) => {
                        whole = false;
                        break;
                    }
                }
            }
            let body = String::from_utf8_lossy(&bytes).into_owned();
            Some(Told { status: head.status.as_u16(), headers: head.headers, body, whole })
        };
        tokio::time::timeout(ask.wait + Duration::from_secs(2), answered).await.ok()?
    }
}

impl Told {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Numbers of the events, in the order in which they came.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().unwrap()).collect()
    }

    /// What is wrong with it as the answer to `ask`, if it is a success.
    pub fn fault(&self, ask: &Ask) -> Option<String> {
        if self.status != 200 {
            return self.headers.contains_key("response-signature").then_some(()).and_then(|()| {
                (self.status != 500).then(|| format!("{} bears a signature", self.status))
            });
        }
        let signature = format!("sig-{}", ask.id);
        if self.header("response-signature") != Some(&signature) {
            return Some(format!("signature {:?}", self.header("response-signature")));
        }
        if self.body.contains("data: ") {
            let events = self.events();
            let in_order = events.iter().zip(1..).all(|(event, n)| *event == n);
            let own =
                self.body.lines().filter(|l| l.starts_with("data: ")).all(|l| l.contains(&ask.id));
            let counts = ask.headers.iter().find(|(name, _)| *name == "token-counts");
            let total = counts
                .map_or(10, |(_, c)| c.split(',').nth(1).unwrap().parse::<u64>().unwrap() / 4);
            if !in_order || !own || self.whole && events.len() as u64 != total {
                return Some(format!("events {events:?} of {total}, own {own}"));
            }
            return None;
        }
        (self.whole && self.body != format!("answer to {}", ask.id))
            .then(|| format!("body {:?}", self.body))
    }
}
