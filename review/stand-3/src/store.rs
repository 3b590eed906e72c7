//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};

use crate::http::Reader;

type Key = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, Vec<u8>)>,
    deleted: BTreeMap<Key, u64>,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    era: Mutex<u64>,
    is_away: AtomicBool,
    started: Instant,
}

/// Rows of the store at some time.
#[derive(Clone)]
pub struct Copy(Rows);

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of the store is free");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a listener has an address"),
            rows: Mutex::default(),
            era: Mutex::new(0),
            is_away: AtomicBool::new(false),
            started: Instant::now(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Takes the store away or brings it back; while it is away it answers 503 to all.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
    }

    /// A write of the operator or of a replica.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        if self.is_away.load(Ordering::SeqCst) {
            return;
        }
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.deleted.remove(&key);
        rows.rows.insert(key, (version, value.to_string().into_bytes()));
    }

    pub fn get(&self, table: &str, key: &str) -> Option<(u64, String)> {
        let rows = self.rows.lock().unwrap();
        let (version, value) =
            rows.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?.clone();
        Some((version, String::from_utf8_lossy(&value).into_owned()))
    }

    pub fn version(&self) -> u64 {
        self.rows.lock().unwrap().version
    }

    pub fn copy(&self) -> Copy {
        Copy(self.rows.lock().unwrap().clone())
    }

    /// Comes back from a copy: versions go back, and the era rises by one.
    pub fn restore(&self, copy: Copy) {
        *self.rows.lock().unwrap() = copy.0;
        *self.era.lock().unwrap() += 1;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message() {
            let era = *self.era.lock().unwrap();
            let (status, body) = if self.is_away.load(Ordering::SeqCst) {
                (503, json!({}))
            } else {
                self.answer(request.method(), request.target(), &request.body)
            };
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len(),
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.filter(|(n, _)| *n == name).map(|(_, value)| value).next();
            decode_percent(value.unwrap_or_default())
        };
        match (method, path) {
            ("GET", "/api/rows-get") => self.list(&param("table"), &param("part"), &param("from")),
            ("GET", "/api/rows-feed") => {
                self.feed(&param("table"), param("after").parse().unwrap_or(0))
            }
            ("POST", "/api/rows-tx") => self.transact(body),
            _ => (404, json!({})),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn list(&self, table: &str, part: &str, from: &str) -> (u16, Value) {
        let rows = self.rows.lock().unwrap();
        let found =
            rows.rows.iter().filter(|((t, p, k), _)| t == table && p == part && &**k >= from);
        let list: Vec<_> = found.map(|(key, row)| row_json(key, row)).collect();
        let answer = json!({"rows": list, "truncated": false, "record_version": rows.version,
            "now_ms": self.now_ms()});
        (200, answer)
    }

    fn feed(&self, table: &str, after: u64) -> (u16, Value) {
        let rows = self.rows.lock().unwrap();
        if after > rows.version {
            return (410, json!({}));
        }
        let changed = rows.rows.iter().filter(|((t, ..), (v, _))| t == table && *v > after);
        let mut list: Vec<_> = changed.map(|(key, row)| (row.0, row_json(key, row))).collect();
        let dropped = rows.deleted.iter().filter(|((t, ..), v)| t == table && **v > after);
        list.extend(dropped.map(|((t, p, k), v)| {
            (*v, json!({"table": t, "part": p, "key": k, "record_version": v, "deleted": true}))
        }));
        list.sort_by_key(|(version, _)| *version);
        let list: Vec<_> = list.into_iter().map(|(_, row)| row).collect();
        (200, json!({"rows": list, "record_version": rows.version, "now_ms": self.now_ms()}))
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let key = |row: &Value| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |(v, _)| *v);
        let expected = list("expected");
        let holds = expected.iter().all(|row| {
            version_of(&rows, &key(row)) == row["record_version"].as_u64().unwrap_or_default()
        });
        if !holds {
            let current = expected.iter().map(key).map(|key| match rows.rows.get(&key) {
                Some(row) => row_json(&key, row),
                None => row_json(&key, &(0, Vec::new())),
            });
            return (412, json!({"rows": current.collect::<Vec<_>>()}));
        }
        rows.version += 1;
        let version = rows.version;
        for row in list("writes") {
            let value = decode_base64(row["value"].as_str().unwrap_or_default());
            rows.rows.insert(key(&row), (version, value));
        }
        for row in list("remove") {
            rows.rows.remove(&key(&row));
            rows.deleted.insert(key(&row), version);
        }
        (200, json!({"record_version": version, "now_ms": self.now_ms()}))
    }
}

fn row_json((table, part, key): &Key, (version, value): &(u64, Vec<u8>)) -> Value {
    json!({"table": table, "part": part, "key": key, "record_version": version,
        "value": encode_base64(value)})
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = (*first == b'%' && tail.len() >= 2)
            .then(|| std::str::from_utf8(&tail[..2]).ok())
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(ALPHABET[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bits, mut count, mut bytes) = (0u32, 0, Vec::new());
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|known| *known == byte) else { continue };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
