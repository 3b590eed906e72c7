//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Message};

type Key = (String, String);

/// Rows by table and key; those that were deleted have no value.
#[derive(Clone, Default)]
pub struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, Option<Vec<u8>>)>,
}

#[derive(Default)]
struct State {
    era: u64,
    rows: Rows,
    is_away: bool,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self { state: Arc::default(), address };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.state.lock().unwrap().rows.write(table, key, Some(value.to_string().into_bytes()));
    }

    /// Deletes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.lock().unwrap().rows.write(table, key, None);
    }

    /// While it is away every call is answered with 503, which states that nothing was done.
    pub fn set_away(&self, is_away: bool) {
        self.state.lock().unwrap().is_away = is_away;
    }

    pub fn is_away(&self) -> bool {
        self.state.lock().unwrap().is_away
    }

    /// A copy of all rows.
    pub fn copy(&self) -> Rows {
        self.state.lock().unwrap().rows.clone()
    }

    /// Comes back from a copy: versions go back as well.
    pub fn restore(&self, copy: Rows) {
        let mut state = self.state.lock().unwrap();
        state.era += 1;
        state.rows = copy;
        state.is_away = false;
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            let (status, body, era) = self.answer(&request);
            let (start, era) = (format!("HTTP/1.1 {status} -"), era.to_string());
            let headers = [("content-type", "application/json"), ("store-era", &*era)];
            let answer = http::encode(&start, &headers, body.to_string().as_bytes());
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Value, u64) {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return (503, json!({}), state.era);
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| decode(value)).unwrap_or_default()
        };
        let (status, body) = match path {
            "/api/rows-get" => (200, state.rows.read(&parameter("table"), None)),
            "/api/rows-feed" => match parameter("after").parse() {
                Ok(after) if after <= state.rows.version => {
                    (200, state.rows.read(&parameter("table"), Some(after)))
                }
                _ => (410, json!({})),
            },
            "/api/rows-tx" => state.rows.transact(&request.body),
            _ => (404, json!({})),
        };
        (status, body, state.era)
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        self.rows.insert((table.to_owned(), key.to_owned()), (self.version, value));
    }

    /// The rows of a table, or the changes after a version.
    fn read(&self, table: &str, after: Option<u64>) -> Value {
        let rows = self.rows.iter().filter(|((name, _), _)| name == table);
        let rows = rows.filter(|(_, (version, value))| match after {
            Some(after) => *version > after,
            None => value.is_some(),
        });
        let rows = rows
            .map(|((table, key), (version, value))| row(table, key, *version, value.as_deref()));
        let mut rows: Vec<_> = rows.collect();
        if after.is_some() {
            rows.sort_by_key(|row| row["record_version"].as_u64());
        }
        json!({"rows": rows, "truncated": false, "record_version": self.version, "now_ms": 1})
    }

    fn transact(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let mut found = Vec::new();
        let mut is_met = true;
        for expected in list("expected") {
            let (table, key) = (text(&expected, "table"), text(&expected, "key"));
            let held = self.rows.get(&(table.clone(), key.clone()));
            let held = held.and_then(|(version, value)| Some((*version, value.as_deref()?)));
            let version = held.map_or(0, |(version, _)| version);
            is_met &= Some(version) == expected["record_version"].as_u64();
            found.push(row(&table, &key, version, held.map(|(_, value)| value)));
        }
        if !is_met {
            return (412, json!({"rows": found}));
        }
        self.version += 1;
        let version = self.version;
        for write in list("writes") {
            let value = STANDARD.decode(text(&write, "value")).unwrap_or_default();
            self.rows.insert((text(&write, "table"), text(&write, "key")), (version, Some(value)));
        }
        for removal in list("remove") {
            self.rows.insert((text(&removal, "table"), text(&removal, "key")), (version, None));
        }
        (200, json!({"record_version": version, "now_ms": 1}))
    }
}

fn row(table: &str, key: &str, version: u64, value: Option<&[u8]>) -> Value {
    let mut row = json!({"table": table, "part": "", "key": key, "record_version": version});
    match value {
        Some(value) => row["value"] = STANDARD.encode(value).into(),
        None => row["deleted"] = true.into(),
    }
    row
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let escaped = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match escaped.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
