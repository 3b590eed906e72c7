//! Servers of the platform: plain ones and model engines, as the pages describe them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::http::{Connection, Message, response};
use crate::record::Record;
use crate::store::Store;

/// Layers of the model.
pub const LAYERS: u64 = 8;

/// Events of a stream.
pub const EVENTS: u64 = 6;

/// Prompt tokens that an engine reads in a second; the configuration names the same.
pub const READ_PER_S: f64 = 2_000.0;

/// Interval of heartbeats; the settings of the routers name the same.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a server treats a request that it has begun to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Answers it.
    Sound,
    /// Spoils the answer: its bytes are not the server's own, and it has a content encoding.
    Encoded,
    /// Begins to answer with an error, and then hangs.
    HangsInError,
    /// Runs it, fails then and answers 503, which does not say that it has not run.
    FailsWith503,
}

/// The body of the answer to a request for a list, the same at each server.
pub fn list(request: &str) -> String {
    let items = [(41, "primer"), (7, "shade 12"), (19, "shade 3"), (52, "brush")];
    let lines = items.map(|(id, name)| format!("id: {id}\nname: {name}\n\n"));
    format!("list for {request}\n\n{}", lines.concat())
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    zone: String,
    born: u64,
    is_engine: bool,
    layers: Mutex<Option<(u64, u64)>>,
    is_busy: Mutex<bool>,
    orders: AtomicU64,
    beats: AtomicU64,
    /// Number of requests that it has run.
    pub runs: AtomicU64,
    /// What it has run: the bodies of requests.
    pub entered: Mutex<Vec<(String, String)>>,
    conduct: Box<dyn Fn(&Message) -> Conduct + Send + Sync>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server and registers it.
    pub async fn start(
        ip: Ipv4Addr,
        id: &str,
        service: &str,
        zone: &str,
        is_engine: bool,
        store: &Arc<Store>,
        record: &Arc<Record>,
        conduct: impl Fn(&Message) -> Conduct + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            zone: zone.to_owned(),
            born: now.as_millis() as u64,
            is_engine,
            layers: Mutex::default(),
            is_busy: Mutex::default(),
            orders: AtomicU64::default(),
            beats: AtomicU64::default(),
            runs: AtomicU64::default(),
            entered: Mutex::default(),
            conduct: Box::new(conduct),
            record: record.clone(),
        });
        let (beating, store) = (server.clone(), store.clone());
        tokio::spawn(async move {
            loop {
                store.put("servers", &beating.id, &beating.entry());
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        let serving = server.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(serving.clone().serve(Connection::new(stream)));
            }
        });
        server
    }

    fn held(&self) -> Value {
        match *self.layers.lock().unwrap() {
            Some((from, to)) => json!({"from": from, "to": to, "version": 1}),
            None => json!({"from": 0, "to": 0, "version": 1}),
        }
    }

    pub fn holds_layers(&self) -> bool {
        self.layers.lock().unwrap().is_some()
    }

    /// Its entry in the store.
    fn entry(&self) -> Value {
        let beat = self.beats.fetch_add(1, Ordering::Relaxed);
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": if self.is_engine { 64 } else { 6 }, "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": beat, "born": self.born,
        });
        if self.is_engine {
            entry["stage"] = "both".into();
            entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
            entry["layers"] = self.held();
            entry["kind"] = "card".into();
        }
        entry
    }

    fn report(&self) -> Value {
        json!({
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": *self.is_busy.lock().unwrap(), "sequence": self.orders.load(Ordering::Relaxed),
            "waiting": 0, "running": 0, "cache_used": 0, "cache_total": 1_000_000, "handles": 0,
            "layers": self.held(), "kind": "card", "pace": 1.0, "born": self.born, "stalled": [],
        })
    }

    async fn serve(self: Arc<Self>, mut connection: Connection) {
        while let Ok(request) = connection.message().await {
            let (method, target) = request.head.target();
            let done = match (method, target) {
                ("GET", "/health") => {
                    let id = [("Instance-Id", self.id.as_str())];
                    connection.write(&response(200, &id, "")).await
                }
                ("GET", "/api/report") if self.is_engine => {
                    let json = [("Content-Type", "application/json")];
                    connection.write(&response(200, &json, &self.report().to_string())).await
                }
                ("POST", "/api/order") if self.is_engine => {
                    let answer = self.clone().order(&request);
                    connection.write(&answer).await
                }
                _ => self.run(&mut connection, &request).await,
            };
            if done.is_err() {
                return;
            }
        }
    }

    fn order(self: Arc<Self>, request: &Message) -> Vec<u8> {
        if request.head.get("target-instance").is_some_and(|id| id != self.id) {
            return response(421, &[("Instance-Id", &self.id)], "{}");
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match order["operation"].as_str() {
            Some("place") => {}
            Some("repath") => return response(404, &[], "{}"),
            _ => return response(400, &[], "{}"),
        }
        let expected = order["expected"].as_u64();
        if expected.is_some_and(|expected| expected != self.orders.load(Ordering::Relaxed)) {
            return response(409, &[], "{}");
        }
        let range = (order["from"].as_u64().unwrap_or(0), order["to"].as_u64().unwrap_or(0));
        if *self.layers.lock().unwrap() == Some(range) {
            return response(200, &[], "{}");
        }
        self.orders.fetch_add(1, Ordering::Relaxed);
        *self.is_busy.lock().unwrap() = true;
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            *self.layers.lock().unwrap() = Some(range);
            *self.is_busy.lock().unwrap() = false;
        });
        response(202, &[], "{}")
    }

    async fn run(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let head = &request.head;
        let id = head.get("request-id").unwrap_or_default().to_owned();
        let refuse = |status: u16| {
            let headers =
                [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
            response(status, &headers, "")
        };
        if head.get("target-instance").is_some_and(|target| target != self.id) {
            return connection.write(&refuse(421)).await;
        }
        if id.is_empty() {
            return connection.write(&refuse(400)).await;
        }
        if self.is_engine && !self.holds(head.get("hop-count")) {
            return connection.write(&refuse(421)).await;
        }
        let conduct = (self.conduct)(request);
        let is_list = head.target().1.starts_with("/list/");
        self.runs.fetch_add(1, Ordering::Relaxed);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        self.entered.lock().unwrap().push((id.clone(), body));
        self.record.line(&format!(
            "server {} runs {id} tenant={} {} conduct={conduct:?}",
            self.id,
            head.get("tenant").unwrap_or("-"),
            head.first,
        ));
        tokio::time::sleep(Duration::from_millis(30)).await;
        let signature = format!("{}.{id}", self.id);
        let common = format!("Request-Id: {id}\r\nResponse-Signature: {signature}\r\n");
        match conduct {
            Conduct::HangsInError => {
                let text = format!(
                    "HTTP/1.1 500 Internal Server Error\r\n{common}Content-Length: 120\r\n\r\nerror: "
                );
                connection.write(text.as_bytes()).await?;
                connection.closed().await;
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
            Conduct::FailsWith503 => {
                let headers = [("Request-Id", id.as_str()), ("Response-Signature", &signature)];
                connection.write(&response(503, &headers, "entered, but not confirmed")).await
            }
            Conduct::Sound if is_list => {
                let headers = [("Request-Id", id.as_str()), ("Response-Signature", &signature)];
                connection.write(&response(200, &headers, &list(&id))).await
            }
            Conduct::Sound | Conduct::Encoded if self.is_engine => {
                let counts = head.get("token-counts").unwrap_or_default();
                let prompt = counts.split(',').next().and_then(|text| text.parse().ok());
                let reading = Duration::from_secs_f64(prompt.unwrap_or(0.0) / READ_PER_S);
                self.stream(connection, &id, &common, conduct, reading).await
            }
            Conduct::Sound => {
                let headers = [("Request-Id", id.as_str()), ("Response-Signature", &signature)];
                connection.write(&response(200, &headers, &format!("answer to {id}"))).await
            }
            Conduct::Encoded => {
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Response-Signature", &signature),
                    ("Content-Encoding", "x-spoiled"),
                ];
                connection.write(&response(200, &headers, "spoiled")).await
            }
        }
    }

    /// Streams the events of an answer, after those that the client has.
    async fn stream(
        &self,
        connection: &mut Connection,
        id: &str,
        common: &str,
        conduct: Conduct,
        reading: Duration,
    ) -> std::io::Result<()> {
        let encoding = match conduct {
            Conduct::Encoded => "Content-Encoding: x-spoiled\r\n",
            _ => "",
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}{encoding}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(text.as_bytes()).await?;
        tokio::time::sleep(reading).await;
        for number in 1..=EVENTS {
            let data = match conduct {
                Conduct::Encoded => format!("c3BvaWxlZA {number}"),
                _ => format!("{id} {number}/{EVENTS}"),
            };
            let event = format!("id: {number}\ndata: {data}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.write(chunk.as_bytes()).await?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        connection.write(b"0\r\n\r\n").await?;
        self.record.line(&format!("server {} has answered {id} to its end", self.id));
        Ok(())
    }

    /// Whether it holds its own part of a path.
    fn holds(&self, path: Option<&str>) -> bool {
        let Some((from, to)) = *self.layers.lock().unwrap() else { return false };
        let own = |path: &str| {
            path.split(',').filter_map(|hop| hop.split_once('=')).find_map(|(address, range)| {
                let (first, last) = range.split_once('-')?;
                let is_own = address == self.address.to_string();
                is_own.then(|| Some((first.parse::<u64>().ok()?, last.parse::<u64>().ok()?)))?
            })
        };
        match path {
            None => (from, to) == (0, LAYERS),
            Some(path) => own(path).is_some_and(|(a, b)| from <= a && b <= to),
        }
    }
}
