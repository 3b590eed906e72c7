//! Replicas of a model service that hold half of the layers each; the first one of a path writes
//! the stream, without a length.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Message};
use crate::record::Record;

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// `stall_ms`: time after which work is cut off that depends on a replica that is cut off.
const STALL: Duration = Duration::from_millis(2_500);

/// Tokens in an event: `stride` of the service.
pub const STRIDE: u64 = 4;

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: &'static str,
    layers: (u16, u16),
    /// Whether the zones of the two replicas are cut off from each other.
    is_cut: Arc<AtomicBool>,
    /// Requests that wait for the other replica, and its address.
    stalled: Mutex<Vec<(String, String)>>,
    running: Mutex<u32>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        zone: &'static str,
        layers: (u16, u16),
        is_cut: &Arc<AtomicBool>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone,
            layers,
            is_cut: is_cut.clone(),
            stalled: Mutex::default(),
            running: Mutex::default(),
            record: record.clone(),
        });
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(engine)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, born: u64, heartbeat: u64) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 192, "state": "ready", "cold_remaining_ms": 0,
            "stage": "both", "models": [{"name": "daka510000", "version": 1, "adapters": []}],
            "layers": {"from": self.layers.0, "to": self.layers.1, "version": 1}, "kind": "a100",
            "sequence": heartbeat, "born": born,
        })
    }

    fn report(&self, born: u64) -> Value {
        let stalled = self.stalled.lock().unwrap();
        let stalled = stalled.iter().map(|(id, at)| json!({"id": id, "address": at}));
        json!({
            "stage": "both", "models": [{"name": "daka510000", "version": 1, "adapters": []}],
            "busy": false, "sequence": 0, "waiting": 0, "running": *self.running.lock().unwrap(),
            "cache_used": 1000, "cache_total": 270000, "pace": 1.0, "born": born,
            "layers": {"from": self.layers.0, "to": self.layers.1, "version": 1},
            "stalled": stalled.collect::<Vec<_>>(),
        })
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader, false)? {
            match request.target() {
                "/api/report" => {
                    let report = self.report(BORN).to_string();
                    let headers = [("content-type", "application/json")];
                    writer.write_all(&http::encode(
                        "HTTP/1.1 200 OK",
                        &headers,
                        report.as_bytes(),
                    ))?;
                }
                "/health" => {
                    let headers = [("instance-id", &*self.id)];
                    writer.write_all(&http::encode("HTTP/1.1 200 OK", &headers, b""))?;
                }
                // Orders do not fit: it keeps its layers.
                "/api/order" => {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    self.record.add(format!("{}: refuses the order {text}", self.id));
                    writer.write_all(&http::encode("HTTP/1.1 409 -", &[], b"{}"))?;
                }
                _ => return self.stream(&request, &mut writer),
            }
        }
        Ok(())
    }

    /// Writes a stream as long as the path works; cuts it off once it has stalled for too long.
    fn stream(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or_default();
        let path = request.header("hop-count").unwrap_or_default().to_owned();
        let other = path.split(',').nth(1).and_then(|hop| hop.split('=').next());
        let headers = [("request-id", id), ("not-executed", "1")];
        let (Some(other), Some(target)) = (other, request.header("target-instance")) else {
            return writer.write_all(&http::encode("HTTP/1.1 421 -", &headers, b""));
        };
        if target != self.id {
            return writer.write_all(&http::encode("HTTP/1.1 421 -", &headers, b""));
        }
        if self.is_cut.load(Ordering::Relaxed) {
            let headers = [headers[0], headers[1], ("at-server", other)];
            return writer.write_all(&http::encode("HTTP/1.1 503 -", &headers, b""));
        }
        self.record.add(format!("{}: runs {id} on {path}", self.id));
        *self.running.lock().unwrap() += 1;
        let written = self.write_events(request, id, other, writer);
        *self.running.lock().unwrap() -= 1;
        written
    }

    fn write_events(
        &self,
        request: &Message,
        id: &str,
        other: &str,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let signature = format!("{}.{id}", self.id);
        let headers = [
            ("content-type", "text/event-stream"),
            ("request-id", id),
            ("response-signature", &*signature),
        ];
        let counts = request.header("token-counts").unwrap_or("0,0");
        let tokens: u64 = counts.split(',').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let events = tokens / STRIDE;
        writer.write_all(&http::head("HTTP/1.1 200 OK", &headers))?;
        for event in 1..=events {
            sleep(EVENT_INTERVAL);
            if self.is_cut.load(Ordering::Relaxed) && !self.waits_for(id, other) {
                self.record.add(format!("{}: cuts {id} off before event {event}", self.id));
                return Ok(());
            }
            writer.write_all(format!("id: {event}\ndata: {event}/{events}\n\n").as_bytes())?;
        }
        self.record.add(format!("{}: has written all {events} events of {id}", self.id));
        Ok(())
    }

    /// Waits until the other replica is reached; false after `stall_ms`.
    fn waits_for(&self, id: &str, other: &str) -> bool {
        self.stalled.lock().unwrap().push((id.to_owned(), other.to_owned()));
        let end = Instant::now() + STALL;
        while self.is_cut.load(Ordering::Relaxed) && Instant::now() < end {
            sleep(Duration::from_millis(5));
        }
        self.stalled.lock().unwrap().retain(|(stalled, _)| stalled != id);
        !self.is_cut.load(Ordering::Relaxed)
    }
}

/// Unix millisecond of the start of all engines.
pub const BORN: u64 = 1_765_000_000_000;
