//! A model engine: it takes orders to hold layers, and answers with a stream of events.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::Reader;
use crate::store::Store;
use crate::world::{self, Record, answer};

/// Layers of the model.
pub const LAYERS: u64 = 8;

/// Time that an engine takes to load layers.
const LOAD: Duration = Duration::from_millis(500);

/// Events of an answer, and the time between two.
const EVENTS: u64 = 5;
const GAP: Duration = Duration::from_millis(20);

const BEAT: Duration = Duration::from_millis(1_200);

pub struct Engine {
    pub id: String,
    address: SocketAddr,
    service: String,
    zone: String,
    born: u64,
    state: Mutex<State>,
    pub runs: AtomicUsize,
    record: Arc<Record>,
}

#[derive(Default)]
struct State {
    orders: u64,
    layers: Option<(u64, u64)>,
    busy: bool,
    beats: u64,
}

/// The service of engines in the configuration.
pub fn service(name: &str) -> Value {
    json!({"name": name, "health_path": "/health", "connection_limit": 400, "protocol": "h1",
        "tls": false, "engine": {
        "slots": 64, "cache_tokens": 100_000, "cache_token_bytes": 8_571.0, "link_mbps": 400_000.0,
        "stride": 4, "models": [{"name": "m", "pace": 1.0, "load_s": 1.0, "warm_s": 0.0}],
        "step_ms": 0.1, "per_seq_ms": 0.001, "context_per_k": 0.001, "read_per_s": 100_000.0,
        "pairs_per_m": 0.0, "chunk": 512, "report_lag_ms": 100.0, "loads_per_s": 0.0,
        "loads_at_once": 4, "delays": [], "usual": {"prompt": 100, "answer": 20},
        "layers": LAYERS, "layer_mb": 100.0, "activation_bytes": 1_000, "pipe_mbps": 16_000.0,
        "kinds": [{"name": "card", "size_mb": 2_400.0, "pace": 1.0, "read_factor": 1.0}]}})
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        service: &str,
        zone: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of the engine is free");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: world::unix_ms(),
            state: Mutex::default(),
            runs: AtomicUsize::new(0),
            record: record.clone(),
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                let entry = beating.entry();
                store.put("servers", &beating.id, &entry);
                thread::sleep(BEAT);
            }
        });
        engine
    }

    pub fn layers(&self) -> Option<(u64, u64)> {
        self.state.lock().unwrap().layers
    }

    fn entry(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        state.beats += 1;
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": state.beats, "born": self.born, "kind": "card",
        });
        if let Some((from, to)) = state.layers {
            entry["layers"] = json!({"from": from, "to": to, "version": 1});
        }
        entry
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let mut report = json!({
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": state.busy, "sequence": state.orders, "waiting": 0, "running": 0,
            "cache_used": 0, "cache_total": 800_000, "handles": 0, "born": self.born,
            "pace": 1.0, "stalled": [], "kind": "card",
        });
        if let Some((from, to)) = state.layers {
            report["layers"] = json!({"from": from, "to": to, "version": 1});
        }
        report
    }

    /// Takes an order to hold layers; returns the status of the answer.
    fn place(self: &Arc<Self>, order: &Value) -> u16 {
        let (Some(from), Some(to)) = (order["from"].as_u64(), order["to"].as_u64()) else {
            return 400;
        };
        let mut state = self.state.lock().unwrap();
        if state.layers == Some((from, to)) {
            return 200;
        }
        if state.busy || order["expected"].as_u64().is_some_and(|expected| expected != state.orders)
        {
            return 409;
        }
        state.orders += 1;
        state.busy = true;
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD);
            let mut state = engine.state.lock().unwrap();
            state.layers = Some((from, to));
            state.busy = false;
        });
        202
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.message() {
            let own = format!("Instance-Id: {}\r\n", self.id);
            let json = format!("{own}Content-Type: application/json\r\n");
            let is_misdirected =
                request.header("target-instance").is_some_and(|target| target != self.id);
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let is_sent = match request.target() {
                "/health" => answer(&mut stream, 200, &own, b""),
                "/api/report" => {
                    answer(&mut stream, 200, &json, self.report().to_string().as_bytes())
                }
                _ if is_misdirected => {
                    let headers = format!("{own}Request-Id: {id}\r\nNot-Executed: 1\r\n");
                    answer(&mut stream, 421, &headers, b"{}")
                }
                "/api/order" => {
                    let order = serde_json::from_slice::<Value>(&request.body).unwrap_or_default();
                    let status = match order["operation"].as_str() {
                        Some("place") => self.place(&order),
                        Some("repath") => 404,
                        _ => 400,
                    };
                    self.record
                        .note(format!("engine {} answers order {order} with {status}", self.id));
                    answer(&mut stream, status, &json, b"{}")
                }
                _ => self.generate(&mut stream, &id, request.header("hop-count")),
            };
            if !is_sent {
                return;
            }
        }
    }

    fn generate(&self, stream: &mut TcpStream, id: &str, path: Option<&str>) -> bool {
        let own = format!("{}=0-{LAYERS}", self.address);
        let holds_all = self.layers() == Some((0, LAYERS));
        if !holds_all || path.is_some_and(|path| path != own) {
            let headers = format!(
                "Instance-Id: {}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nAt-Server: {}\r\n",
                self.id, self.address,
            );
            return answer(stream, 421, &headers, b"{}");
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Response-Signature: sig.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut send = |text: &str| stream.write_all(text.as_bytes()).is_ok();
        if !send(&head) {
            return false;
        }
        for event in 1..=EVENTS {
            thread::sleep(GAP);
            let text = format!("id: {event}\ndata: {id} {event}/{EVENTS}\n\n");
            if !send(&format!("{:x}\r\n{text}\r\n", text.len())) {
                return false;
            }
        }
        send("0\r\n\r\n")
    }
}
