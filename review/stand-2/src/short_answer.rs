//! An answer without a length, whose replica is cut off in the middle, crashes behind the cut and
//! starts again under its id.

use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use crate::endpoint::{self, Endpoint};
use crate::proxy::Link;
use crate::{KEY, Outcome, Stage, config, http, keep_listed};

/// Number of replicas, of which one is cut off.
const REPLICAS: u8 = 6;

/// Number of answers.
const ANSWERS: u8 = 5;

/// Time for which the replica is cut off from the router.
const CUT: Duration = Duration::from_millis(2_000);

/// Time of the cut after which the replica crashes, and for which it is down.
const CRASH_AFTER: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(300);

pub fn play(stage: &Stage) -> Result<Outcome, String> {
    let record = &stage.record;
    let store = stage.start_store()?;
    let route = json!({"name": "r-file", "host": "ficu95.example", "prefix": "/file/",
        "kind": "unsafe", "timeout_ms": 10000, "target_latency_ms": 1000, "priority": 1,
        "service": "charge-reg", "attempts": 1, "public": false});
    store.put("op", "config", &config("charge-reg", &[route]));
    let mut endpoints = Vec::new();
    let mut links = Vec::new();
    for number in 1..=REPLICAS {
        let (id, at) = (format!("i-{number}"), stage.endpoint_address(number));
        let public = stage.endpoint_address(10 + number);
        links.push(Link::start(public, at, false).map_err(|error| error.to_string())?);
        let endpoint = Endpoint::new(&id, at, ("charge-reg", "a"), (30, 600), record);
        endpoint.set_public_address(public);
        endpoint.start()?;
        endpoint.set_listed(&store, true);
        endpoints.push(endpoint);
    }
    let heartbeats = keep_listed(&endpoints, &store);
    let routers = stage.start_routers(&["a"], &store)?;
    routers[0].wait_until_ready()?;
    sleep(Duration::from_secs(2));
    let mut breaches = Vec::new();
    for answer in 1..=ANSWERS {
        let id = format!("f{answer:015x}");
        let before: Vec<_> = endpoints.iter().map(|e| e.lines("half").len()).collect();
        let (clients, sent) = (routers[0].clients, id.clone());
        record.add(format!("client: sends {id}"));
        let client = std::thread::spawn(move || {
            let authorization = format!("Bearer {KEY}");
            let headers = [
                ("host", "ficu95.example"),
                ("request-id", &*sent),
                ("request-deadline", "9000"),
                ("authorization", &*authorization),
            ];
            let request = http::encode("POST /file/1 HTTP/1.1", &headers, b"{}");
            http::call(clients, &request, Duration::from_secs(12))
        });
        let half = || (0..endpoints.len()).find(|n| endpoints[*n].lines("half").len() > before[*n]);
        http::wait_for("half of an answer", Duration::from_secs(5), || half().is_some())?;
        let number = half().expect("it was waited for");
        let (server, link) = (&endpoints[number], &links[number]);
        if stage.has_trouble {
            // The router has received the first half by then.
            sleep(Duration::from_millis(50));
            record.add(format!("{}: cut off", server.id));
            link.set_cut(true).map_err(|error| error.to_string())?;
            sleep(CRASH_AFTER);
            record.add(format!("{}: killed", server.id));
            server.kill();
            sleep(DOWN);
            server.start()?;
            server.beat(&store);
            sleep(CUT - CRASH_AFTER - DOWN);
            record.add(format!("{}: reached again", server.id));
            link.set_cut(false).map_err(|error| error.to_string())?;
        }
        let answer = client.join().map_err(|_| "the client failed".to_owned())?;
        let was_whole = server.lines("whole").iter().any(|(_, whole)| *whole == id);
        match answer {
            Ok(answer) => {
                let (status, length) = (answer.status(), answer.body.len());
                let is_body = answer.body == endpoint::file(&id);
                record.add(format!(
                    "client: {id} has status {status}, {length} bytes, complete {}, signature \
                     {:?}; the replica had sent all of it: {was_whole}",
                    answer.is_whole,
                    answer.header("response-signature"),
                ));
                if (200..300).contains(&status) && answer.is_whole && !is_body {
                    breaches
                        .push(format!("{id}: a success with {length} of 4000 bytes, as complete"));
                }
                if !stage.has_trouble && !(status == 200 && is_body) {
                    return Err(format!("{id} was not answered without trouble"));
                }
            }
            Err(error) => record.add(format!("client: {id} has no answer: {error}")),
        }
        sleep(Duration::from_millis(1_500));
    }
    heartbeats.store(false, Ordering::Relaxed);
    Ok(Outcome { breaches })
}
