//! A stand-in for the store of the platform, according to its protocol.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Behavior of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreMode {
    Up,
    /// Answers every request with status 503.
    Busy,
    /// Executes writes without sending a response.
    DropsResponses,
    /// Answers after this delay.
    Slow(Duration),
    /// Keeps no change history: status 410 for every request for changes.
    NoHistory,
}

#[derive(Clone, Default)]
struct Rows {
    /// Number of times that the store has come back from a copy.
    era: u64,
    version: u64,
    rows: BTreeMap<(String, String), (u64, Vec<u8>)>,
    deleted: BTreeMap<(String, String), u64>,
}

/// Rows of a store at some time.
pub struct Copy(Rows);

pub struct Store {
    rows: Mutex<Rows>,
    mode: Mutex<StoreMode>,
    /// Calls so far, also refused ones.
    calls: AtomicUsize,
    address: SocketAddr,
}

impl Store {
    pub async fn start(address: Ipv4Addr) -> Arc<Self> {
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self {
            rows: Mutex::default(),
            mode: Mutex::new(StoreMode::Up),
            calls: AtomicUsize::default(),
            address,
        });
        store.clone().serve(listener, HashMap::new());
        store
    }

    /// Listens at another address, where endpoints appear at these addresses instead of
    /// their own.
    pub async fn listen(
        self: &Arc<Self>,
        address: Ipv4Addr,
        links: HashMap<String, String>,
    ) -> SocketAddr {
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        self.clone().serve(listener, links);
        address
    }

    fn serve(self: Arc<Self>, listener: TcpListener, links: HashMap<String, String>) {
        let links = Arc::new(links);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (store, links) = (self.clone(), links.clone());
                let service =
                    service_fn(move |request| store.clone().answer(request, links.clone()));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move { drop(connection.await) });
            }
        });
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// A copy of all rows, from which the store may come back.
    pub fn copy(&self) -> Copy {
        Copy(self.rows.lock().unwrap().clone())
    }

    /// Replaces all rows by those of a copy; versions go back as well. The operator
    /// writes its row again, and the endpoints theirs with the next heartbeat.
    pub fn restore(&self, copy: Copy) {
        let mut rows = self.rows.lock().unwrap();
        let operator = ("op".to_owned(), "config".to_owned());
        let (_, config) = rows.rows[&operator].clone();
        *rows = Rows { era: rows.era + 1, ..copy.0 };
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(operator, (version, config));
    }

    pub fn version(&self) -> u64 {
        self.rows.lock().unwrap().version
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().into_bytes());
    }

    pub fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), key.to_owned());
        rows.deleted.remove(&key);
        rows.rows.insert(key, (version, value));
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), key.to_owned());
        if rows.rows.remove(&key).is_some() {
            rows.deleted.insert(key, version);
        }
    }

    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let (_, value) = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(String::from_utf8(value.clone()).unwrap())
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        links: Arc<HashMap<String, String>>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mode = *self.mode.lock().unwrap();
        if mode == StoreMode::Busy {
            return Ok(reply(503, &json!({})));
        }
        if let StoreMode::Slow(time) = mode {
            tokio::time::sleep(time).await;
        }
        let (head, body) = request.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let query = |name: &str| {
            let pairs = head.uri.query().unwrap_or_default().split('&');
            let pair = pairs.filter_map(|pair| pair.split_once('='));
            let mut found = pair.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| value.to_owned()).unwrap_or_default()
        };
        let (status, body) = match head.uri.path() {
            "/api/rows-get" => self.rows(&query("table"), None, &links),
            "/api/rows-feed" if mode == StoreMode::NoHistory => (410, json!({})),
            "/api/rows-feed"
                if query("after").parse().is_ok_and(|after: u64| after > self.version()) =>
            {
                (410, json!({}))
            }
            "/api/rows-feed" => self.rows(&query("table"), query("after").parse().ok(), &links),
            "/api/rows-tx" => self.transact(&body),
            _ => (404, json!({})),
        };
        if mode == StoreMode::DropsResponses && head.uri.path() == "/api/rows-tx" {
            std::future::pending::<()>().await;
        }
        let mut response = reply(status, &body);
        let era = self.rows.lock().unwrap().era;
        response.headers_mut().insert("store-era", era.into());
        Ok(response)
    }

    fn rows(
        &self,
        table: &str,
        after: Option<u64>,
        links: &HashMap<String, String>,
    ) -> (u16, Value) {
        let rows = self.rows.lock().unwrap();
        let to_json = |(key, (version, value)): (&(String, String), &(u64, Vec<u8>))| {
            json!({"table": key.0, "part": "", "key": key.1, "record_version": version,
                "value": STANDARD.encode(with_link(value, links))})
        };
        let is_newer = |version: u64| after.is_none_or(|after| version > after);
        let present =
            rows.rows.iter().filter(|((t, _), (v, _))| t == table && is_newer(*v)).map(to_json);
        let deletions = rows
            .deleted
            .iter()
            .filter(|((t, _), v)| after.is_some() && t == table && is_newer(**v));
        let deletions = deletions.map(|((table, key), version)| {
            json!({"table": table, "part": "", "key": key, "record_version": version,
                "deleted": true})
        });
        let all: Vec<_> = present.chain(deletions).collect();
        (
            200,
            json!({"rows": all, "truncated": false, "record_version": rows.version,
            "now_ms": 1}),
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let mut rows = self.rows.lock().unwrap();
        let name = |row: &Value| {
            (row["table"].as_str().unwrap().to_owned(), row["key"].as_str().unwrap().to_owned())
        };
        for row in call["expected"].as_array().unwrap() {
            let found = rows.rows.get(&name(row));
            if found.map_or(0, |(version, _)| *version) != row["record_version"].as_u64().unwrap() {
                let (table, key) = name(row);
                let (version, value) = found.cloned().unwrap_or_default();
                return (
                    412,
                    json!({"rows": [{"table": table, "part": "", "key": key,
                    "record_version": version, "value": STANDARD.encode(value)}]}),
                );
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in call["writes"].as_array().unwrap() {
            let value = STANDARD.decode(row["value"].as_str().unwrap()).unwrap();
            rows.rows.insert(name(row), (version, value));
        }
        (200, json!({"record_version": version, "now_ms": 1}))
    }
}

/// A row's value, with the address of an endpoint replaced by that of the link to it.
fn with_link(value: &[u8], links: &HashMap<String, String>) -> Vec<u8> {
    let Ok(mut row) = serde_json::from_slice::<Value>(value) else { return value.to_vec() };
    let link = row["address"].as_str().and_then(|address| links.get(address)).cloned();
    let Some(link) = link else { return value.to_vec() };
    row["address"] = link.into();
    row.to_string().into_bytes()
}

fn reply(status: u16, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}
