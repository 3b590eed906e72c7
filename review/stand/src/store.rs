//! The platform's store: rows, transactions and what has changed.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::http::{Connection, Message, response};

type Key = (String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, Vec<u8>)>,
    deleted: BTreeMap<Key, u64>,
}

pub struct Store {
    rows: Mutex<Rows>,
    pub address: SocketAddr,
}

impl Store {
    pub async fn start(ip: Ipv4Addr) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self { rows: Mutex::default(), address });
        let serving = store.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(serving.clone().serve(Connection::new(stream)));
            }
        });
        store
    }

    async fn serve(self: Arc<Self>, mut connection: Connection) {
        while let Ok(request) = connection.message().await {
            // The usual time of an answer.
            tokio::time::sleep(Duration::from_millis(4)).await;
            let (status, body) = self.answer(&request);
            let body = body.to_string();
            let json = [("Content-Type", "application/json")];
            if connection.write(&response(status, &json, &body)).await.is_err() {
                return;
            }
        }
    }

    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), key.to_owned());
        rows.deleted.remove(&key);
        rows.rows.insert(key, (version, value.to_string().into_bytes()));
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

    fn answer(&self, request: &Message) -> (u16, Value) {
        let (_, target) = request.head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        match path {
            "/api/rows-get" => self.read(query("table"), None),
            "/api/rows-feed" => match query("after").parse() {
                Ok(after) if after <= self.rows.lock().unwrap().version => {
                    self.read(query("table"), Some(after))
                }
                _ => (410, json!({})),
            },
            "/api/rows-tx" => self.transact(&request.body),
            _ => (404, json!({})),
        }
    }

    fn read(&self, table: &str, after: Option<u64>) -> (u16, Value) {
        let rows = self.rows.lock().unwrap();
        let is_newer = |version: u64| after.is_none_or(|after| version > after);
        let present = rows.rows.iter().filter(|((t, _), (v, _))| t == table && is_newer(*v));
        let mut found: Vec<_> = present.map(|(key, row)| to_json(key, row)).collect();
        if after.is_some() {
            let gone = rows.deleted.iter().filter(|((t, _), v)| t == table && is_newer(**v));
            found.extend(gone.map(|((table, key), version)| {
                json!({"table": table, "part": "", "key": key, "record_version": version,
                    "deleted": true})
            }));
        }
        found.sort_by_key(|row| row["record_version"].as_u64().filter(|_| after.is_some()));
        let version = rows.version;
        (200, json!({"rows": found, "truncated": false, "record_version": version, "now_ms": 1}))
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let mut rows = self.rows.lock().unwrap();
        let name = |row: &Value| {
            let text = |field: &str| row[field].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let list = |field: &str| call[field].as_array().cloned().unwrap_or_default();
        for row in list("expected") {
            let found = rows.rows.get(&name(&row));
            if found.map_or(0, |(version, _)| *version)
                != row["record_version"].as_u64().unwrap_or(0)
            {
                let found = found.cloned().unwrap_or_default();
                return (412, json!({"rows": [to_json(&name(&row), &found)]}));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in list("writes") {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
            rows.rows.insert(name(&row), (version, value.unwrap_or_default()));
        }
        for row in list("remove") {
            rows.rows.remove(&name(&row));
            rows.deleted.insert(name(&row), version);
        }
        (200, json!({"record_version": version, "now_ms": 1}))
    }
}

fn to_json((table, key): &Key, (version, value): &(u64, Vec<u8>)) -> Value {
    json!({"table": table, "part": "", "key": key, "record_version": version,
        "value": STANDARD.encode(value)})
}
