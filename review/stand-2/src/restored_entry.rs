//! A replica that has said in its answers that it is leaving gets requests again once the store
//! has come back from a copy that still lists it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use serde_json::json;

use crate::endpoint::{Endpoint, HEARTBEAT};
use crate::{KEY, Outcome, Stage, config, http, keep_listed};

/// `drain_ms` of the settings.
const DRAIN_MS: u64 = 2_000;

/// Clients at each router, one request each at a time.
const CLIENTS: usize = 5;

/// Age of the copy when the store is back: some seconds.
const COPY_BEFORE_LEAVING: Duration = Duration::from_millis(800);
const LEAVING_BEFORE_LOSS: Duration = Duration::from_millis(1_600);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_000);

/// Time after the return of the store in which the replica ends; it then has served for
/// 3.1 s since it began to leave.
const EXIT_AFTER_RETURN: Duration = Duration::from_millis(500);

/// Time that the replicas work on a request.
const WORK_MS: u64 = 400;

/// A request and its answer.
struct Sent {
    router: usize,
    at: u64,
    answered_at: u64,
    status: u16,
    leaving: Option<String>,
}

pub fn play(stage: &Stage) -> Result<Outcome, String> {
    let record = &stage.record;
    let store = stage.start_store()?;
    let route = json!({"name": "r-post", "host": "ficu95.example", "prefix": "/post/",
        "kind": "unsafe", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1,
        "service": "charge-reg", "attempts": 1, "public": false});
    store.put("op", "config", &config("charge-reg", &[route]));
    let endpoints: Vec<_> = (1..=3)
        .map(|number| {
            let (id, address) = (format!("i-{number}"), stage.endpoint_address(number));
            Endpoint::new(&id, address, ("charge-reg", "a"), (WORK_MS, 0), record)
        })
        .collect();
    for endpoint in &endpoints {
        endpoint.start()?;
        endpoint.set_listed(&store, true);
    }
    let heartbeats = keep_listed(&endpoints, &store);
    let routers = stage.start_routers(&["a", "b"], &store)?;
    for router in &routers {
        router.wait_until_ready()?;
    }
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let is_on = Arc::new(AtomicBool::new(true));
    let mut clients = Vec::new();
    for (number, router) in routers.iter().enumerate() {
        for client in 0..CLIENTS {
            let (to, record) = (router.clients, record.clone());
            let (sent, is_on) = (sent.clone(), is_on.clone());
            clients.push(thread::spawn(move || {
                sleep(Duration::from_millis(77 * client as u64));
                for request in 0.. {
                    if !is_on.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{number:04x}{client:04x}{request:08x}");
                    let authorization = format!("Bearer {KEY}");
                    let headers = [
                        ("host", "ficu95.example"),
                        ("request-id", &*id),
                        ("request-deadline", "4000"),
                        ("authorization", &*authorization),
                    ];
                    let bytes = http::encode("POST /post/1 HTTP/1.1", &headers, b"{}");
                    let at = record.now();
                    let answer = http::call(to, &bytes, Duration::from_secs(6));
                    let status = answer.as_ref().map_or(0, http::Message::status);
                    let leaving = answer.ok().and_then(|answer| {
                        answer.header("server-leaving")?;
                        let signature = answer.header("response-signature")?;
                        Some(signature.split('.').next()?.to_owned())
                    });
                    let answered_at = record.now();
                    sent.lock()
                        .unwrap()
                        .insert(id, Sent { router: number, at, answered_at, status, leaving });
                }
            }));
        }
    }
    sleep(Duration::from_secs(4));
    let replica = &endpoints[0];
    let copy = store.copy();
    record.add("store: copied");
    sleep(COPY_BEFORE_LEAVING);
    record.add(format!("{}: leaves: its answers say so, its entry is removed", replica.id));
    replica.leave();
    replica.set_listed(&store, false);
    sleep(LEAVING_BEFORE_LOSS);
    if stage.has_trouble {
        record.add("store: away");
        store.set_away(true);
    }
    sleep(AWAY);
    if stage.has_trouble {
        store.restore(copy);
        record.add("store: back from the copy");
    }
    // What the replicas wrote is written again: entries, and the removal.
    endpoints.iter().for_each(|endpoint| endpoint.beat(&store));
    sleep(EXIT_AFTER_RETURN);
    record.add(format!("{}: exits", replica.id));
    replica.kill();
    sleep(HEARTBEAT - EXIT_AFTER_RETURN);
    store.remove("servers", &replica.id);
    record.add(format!("{}: its entry is removed again", replica.id));
    sleep(Duration::from_secs(2));
    is_on.store(false, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    heartbeats.store(false, Ordering::Relaxed);
    let sent = sent.lock().unwrap();
    let mut breaches = Vec::new();
    for (number, router) in routers.iter().enumerate() {
        let said = sent.values().filter(|request| {
            request.router == number && request.leaving.as_deref() == Some(&*replica.id)
        });
        let Some(passed_on) = said.map(|request| request.answered_at).min() else {
            record.add(format!("{}: passed on no answer with Server-Leaving", router.name));
            continue;
        };
        record.add(format!(
            "{}: first passed on Server-Leaving of {} at {passed_on} ms",
            router.name, replica.id
        ));
        for (at, id) in replica.lines("arrived") {
            let Some(request) = sent.get(&id).filter(|request| request.router == number) else {
                continue;
            };
            if request.at > passed_on + DRAIN_MS {
                breaches.push(format!(
                    "{}: {id}, sent at {} ms, reached {} at {at} ms; answered with {}",
                    router.name, request.at, replica.id, request.status,
                ));
            }
        }
    }
    let (all, served) = (sent.len(), sent.values().filter(|r| r.status == 200).count());
    let lost = sent.values().filter(|r| r.status == 502 || r.status == 0).count();
    record.add(format!(
        "clients: {all} requests, {served} served, {lost} ended with 502 or no answer"
    ));
    if served * 10 < all * 8 {
        return Err(format!("only {served} of {all} requests were served"));
    }
    Ok(Outcome { breaches })
}
