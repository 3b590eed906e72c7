//! A chain whose two replicas are cut off from each other, while the router reaches both.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use serde_json::json;

use crate::endpoint::HEARTBEAT;
use crate::engine::{BORN, Engine, STRIDE};
use crate::{KEY, Outcome, Stage, config, http};

/// Streams that are under way when the zones are cut off from each other.
const STREAMS: usize = 6;

/// Events of each.
const EVENTS: u64 = 60;

/// Time for which the zones are cut off; the site files have 5.5 s.
const CUT: Duration = Duration::from_millis(3_500);

pub fn play(stage: &Stage) -> Result<Outcome, String> {
    let record = &stage.record;
    let store = stage.start_store()?;
    // The objective is that of `renewal-letter`: clients wait for 4 s between two events.
    let route = json!({"name": "r-letter", "host": "ficu95.example", "prefix": "/letter/",
        "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 1000, "priority": 1,
        "service": "desk-assistant", "attempts": 2, "public": false, "sticky": true,
        "resumable": false, "gap_target_ms": 250});
    let mut config = config("desk-assistant", &[route]);
    config["services"][0]["engine"] = json!({"slots": 192, "cache_tokens": 100000,
        "cache_token_bytes": 590000, "link_mbps": 400000.0, "stride": STRIDE,
        "models": [{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
        "step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0,
        "pairs_per_m": 0.199, "chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0,
        "loads_at_once": 6, "delays": [{"from": "a", "to": "b", "delay_ms": 0.3},
            {"from": "a", "to": "c", "delay_ms": 0.3}, {"from": "b", "to": "c", "delay_ms": 0.3}],
        "usual": {"prompt": 100, "answer": 220}, "layers": 80, "layer_mb": 1750.0,
        "activation_bytes": 29500, "pipe_mbps": 16000.0,
        "kinds": [{"name": "a100", "size_mb": 72000.0, "pace": 2.4, "read_factor": 3.2}]});
    store.put("op", "config", &config);
    let is_cut: Arc<AtomicBool> = Arc::default();
    let start = |number: u8, zone, layers| {
        let (id, address) = (format!("i-{number}"), stage.endpoint_address(number));
        Engine::start(&id, address, zone, layers, &is_cut, record).map_err(|e| e.to_string())
    };
    let engines = [start(1, "a", (0, 40))?, start(2, "c", (40, 80))?];
    let is_on = Arc::new(AtomicBool::new(true));
    let (beats, listed, flag) = (store.clone(), engines.clone(), is_on.clone());
    thread::spawn(move || {
        for heartbeat in 1.. {
            if !flag.load(Ordering::Relaxed) {
                return;
            }
            for engine in &listed {
                let entry = engine.entry("desk-assistant", BORN, heartbeat);
                beats.put("servers", &engine.id, &entry);
            }
            sleep(HEARTBEAT);
        }
    });
    let routers = stage.start_routers(&["b"], &store)?;
    routers[0].wait_until_ready()?;
    sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (to, record) = (routers[0].clients, record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let authorization = format!("Bearer {KEY}");
            let counts = format!("100,{}", EVENTS * STRIDE);
            let prompt = format!("5c1e07a2:40,{number:08x}:60");
            let headers = [
                ("host", "ficu95.example"),
                ("request-id", &*id),
                ("request-deadline", "19000"),
                ("model", "daka510000"),
                ("token-counts", &*counts),
                ("prompt-prefix", &*prompt),
                ("authorization", &*authorization),
            ];
            let request = http::encode("POST /letter/1 HTTP/1.1", &headers, b"{}");
            record.add(format!("client: sends {id}"));
            // The limit is that on the time between two reads.
            (id, http::call(to, &request, Duration::from_secs(4)))
        }));
        sleep(Duration::from_millis(40));
    }
    sleep(Duration::from_millis(1_500));
    if stage.has_trouble {
        record.add("zones a and c: cut off from each other");
        is_cut.store(true, Ordering::Relaxed);
    }
    sleep(CUT);
    is_cut.store(false, Ordering::Relaxed);
    record.add("zones a and c: reach each other");
    let mut breaches = Vec::new();
    for client in clients {
        let (id, answer) = client.join().map_err(|_| "a client failed".to_owned())?;
        match answer {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let events = text.matches("data: ").count();
                let (status, is_whole) = (answer.status(), answer.is_whole);
                record.add(format!(
                    "client: {id} has status {status}, {events} events, complete {is_whole}"
                ));
                if status == 200 && is_whole && events < EVENTS as usize {
                    breaches.push(format!("{id}: complete after {events} of {EVENTS} events"));
                }
                if !stage.has_trouble && !(is_whole && events == EVENTS as usize) {
                    return Err(format!("{id} was not served without trouble"));
                }
            }
            Err(error) => record.add(format!("client: {id} has no answer: {error}")),
        }
    }
    is_on.store(false, Ordering::Relaxed);
    Ok(Outcome { breaches })
}
