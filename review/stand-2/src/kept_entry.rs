//! The routers of a zone that has been cut off keep a replica that leaves just after the cut.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use serde_json::json;

use crate::endpoint::Endpoint;
use crate::proxy::Link;
use crate::{KEY, Outcome, Stage, config, http, keep_listed};

/// `drain_ms` and `stability_window_ms` of the settings.
const DRAIN_MS: u64 = 2_000;
const STABILITY_WINDOW_MS: u64 = 3_000;

/// Tries, and tries without trouble. When the routers reach the store again within their interval
/// differs, and with it how long they keep the replica.
const TRIES: u8 = 6;
const TRIES_WITHOUT_TROUBLE: u8 = 2;

/// Time for which the zone is cut off from the store; the site files have 5.5 s. Its replicas write
/// no entries meanwhile, but these do not lapse: that takes three heartbeat intervals of 1.2 s.
const CUT: Duration = Duration::from_millis(2_300);

/// Time after the cut at which the replica leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(300);

/// Time for which it serves then.
const SERVES: Duration = Duration::from_millis(3_100);

/// Time before each try, longer than `stability_window_ms`.
const REST: Duration = Duration::from_millis(3_500);

/// Time that the replicas work on a request.
const WORK_MS: u64 = 400;

/// Clients of the routers, one request each at a time.
const CLIENTS: usize = 20;

pub fn play(stage: &Stage) -> Result<Outcome, String> {
    let record = &stage.record;
    let store = stage.start_store()?;
    let over_link = (stage.ip(6, 2), 8_223).into();
    let link = Link::start(over_link, store.address, true).map_err(|error| error.to_string())?;
    let route = json!({"name": "r-post", "host": "ficu95.example", "prefix": "/post/",
        "kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1,
        "service": "charge-reg", "attempts": 1, "public": false});
    store.put("op", "config", &config("charge-reg", &[route]));
    let new = |number: u8| {
        let (id, address) = (format!("i-{number}"), stage.endpoint_address(number));
        Endpoint::new(&id, address, ("charge-reg", "a"), (WORK_MS, 0), record)
    };
    let lasting: Vec<_> = (1..=2).map(new).collect();
    for endpoint in &lasting {
        endpoint.start()?;
        endpoint.set_listed(&store, true);
    }
    let heartbeats = keep_listed(&lasting, &store);
    let routers = stage.start_routers_at(&["a", "a"], &[over_link, over_link])?;
    for router in &routers {
        router.wait_until_ready()?;
    }
    // The router and time of each request, and its status once it is answered.
    let sent: Arc<Mutex<HashMap<String, (usize, u64, u16)>>> = Arc::default();
    let is_on = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let router = client % routers.len();
        let (to, record) = (routers[router].clients, record.clone());
        let (sent, is_on) = (sent.clone(), is_on.clone());
        clients.push(thread::spawn(move || {
            sleep(Duration::from_millis(20 * client as u64));
            for request in 0.. {
                if !is_on.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{client:08x}{request:08x}");
                let authorization = format!("Bearer {KEY}");
                let headers = [
                    ("host", "ficu95.example"),
                    ("request-id", &*id),
                    ("request-deadline", "4000"),
                    ("authorization", &*authorization),
                ];
                let bytes = http::encode("POST /post/1 HTTP/1.1", &headers, b"{}");
                let at = record.now();
                sent.lock().unwrap().insert(id.clone(), (router, at, 0));
                let answer = http::call(to, &bytes, Duration::from_secs(6));
                let status = answer.as_ref().map_or(0, http::Message::status);
                sent.lock().unwrap().insert(id, (router, at, status));
            }
        }));
    }
    let mut breaches = Vec::new();
    let tries = if stage.has_trouble { TRIES } else { TRIES_WITHOUT_TROUBLE };
    for number in 0..tries {
        let replica = new(10 + number);
        replica.start()?;
        replica.set_listed(&store, true);
        let beats = keep_listed(std::slice::from_ref(&replica), &store);
        sleep(REST);
        if stage.has_trouble {
            record.add("zone a: cut off from the store");
            for endpoint in lasting.iter().chain([&replica]) {
                endpoint.set_cut_off(true);
            }
            link.set_cut(true).map_err(|error| error.to_string())?;
        }
        sleep(CUT);
        link.set_cut(false).map_err(|error| error.to_string())?;
        let healed = record.now();
        for endpoint in lasting.iter().chain([&replica]) {
            endpoint.set_cut_off(false);
            endpoint.beat(&store);
        }
        record.add("zone a: reaches the store");
        sleep(LEAVES_AFTER);
        beats.store(false, Ordering::Relaxed);
        replica.set_listed(&store, false);
        let acknowledged = record.now();
        record.add(format!("store: entry of {} removed, which goes on serving", replica.id));
        sleep(SERVES);
        record.add(format!("{}: exits", replica.id));
        replica.kill();
        sleep(Duration::from_millis(300));
        let sent = sent.lock().unwrap();
        let arrivals = replica.lines("arrived");
        for (at, id) in &arrivals {
            let (router, sent_at, status) = sent[id];
            if sent_at > acknowledged + DRAIN_MS && sent_at > healed + STABILITY_WINDOW_MS {
                breaches.push(format!(
                    "{}: {id} was sent {} ms and reached {} {} ms after the acknowledgement, {} ms \
                     after the cut; answered with {status}",
                    routers[router].name,
                    sent_at - acknowledged,
                    replica.id,
                    at - acknowledged,
                    at - healed,
                ));
            }
        }
        let last = arrivals.last().map_or(0, |(at, _)| at.saturating_sub(acknowledged));
        record.add(format!("try {number}: last arrival {last} ms after the acknowledgement"));
    }
    is_on.store(false, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    heartbeats.store(false, Ordering::Relaxed);
    Ok(Outcome { breaches })
}
