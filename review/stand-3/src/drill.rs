//! The store comes back from a copy of itself, and a model is added after that. The first part has
//! one router; in the second one three routers are killed and start again before the store goes.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{self, Engine};
use crate::store::Store;
use crate::world::{self, Places, Record, Router};

/// Age of the copy: "some seconds old".
const COPY_AGE: Duration = Duration::from_secs(5);

/// Longest time until one of the routers that start again takes the lease, and the time from then
/// until the store goes.
const LEASE_LIMIT: Duration = Duration::from_secs(10);
const AFTER_LEASE: Duration = Duration::from_millis(800);

/// Time for which the store is away: "for a moment".
const AWAY: Duration = Duration::from_millis(1_000);

/// Time from the new configuration until requests are counted: more than
/// `stability_window_ms` + `configuration_ms` + the loads.
const SETTLE: Duration = Duration::from_secs(15);

/// Requests on each route, and the time between two.
const REQUESTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(50);

pub fn run() -> i32 {
    let record = Arc::new(Record::open());
    record.note("first part: one router");
    let is_broken = play(&record, 0, 1);
    record.note("second part: three routers, which are killed before the store goes");
    let is_broken_too = play(&record, 1, 3);
    record.note(format!("broken in the first part: {is_broken}, in the second: {is_broken_too}"));
    i32::from(is_broken || is_broken_too)
}

/// Whether the rule was broken in one part.
fn play(record: &Arc<Record>, part: u8, routers: u8) -> bool {
    let places = Places::choose(part);
    let store = Store::start(places.at(250, 0));
    let first_route = || world::route("shade-match", "streaming", "advisor-llm", 8_000, 2);
    let first_service = || engine::service("advisor-llm");
    store.put("op", "config", &world::config(3, vec![first_route()], vec![first_service()]));
    let zone = |number: u8| format!("almaty-{}", ["a", "b", "c"][usize::from(number % 3)]);
    let first =
        Engine::start("i-0000a001", places.at(200, 0), "advisor-llm", &zone(0), &store, record);
    let mut fronts: Vec<_> =
        (0..routers).map(|n| Router::start(&places, n, &zone(n), store.address)).collect();
    fronts.iter().for_each(Router::wait_until_ready);
    wait_for_layers(&first, Duration::from_secs(20), record);
    if first.layers().is_none() {
        world::cannot_run("the first model was not placed");
    }
    thread::sleep(Duration::from_secs(3));

    if world::has_trouble() {
        record.note(format!("lease row before the drill: {:?}", store.get("lease", "placement")));
        let copy = store.copy();
        let copied = Instant::now();
        if routers > 1 {
            kill_all(&mut fronts, &store, record);
        } else {
            thread::sleep(COPY_AGE);
        }
        let age = copied.elapsed() + AWAY;
        record
            .note(format!("lease row when the store goes: {:?}", store.get("lease", "placement")));
        store.set_away(true);
        record.note("the store is away (503 to all calls)");
        thread::sleep(AWAY);
        store.restore(copy);
        store.set_away(false);
        record.note(format!(
            "the store is back from a copy {age:.1?} old, era 1, version {}",
            store.version()
        ));
    } else {
        thread::sleep(COPY_AGE + AWAY);
    }
    store.put("op", "config", &world::config(3, vec![first_route()], vec![first_service()]));
    thread::sleep(Duration::from_secs(6));

    record.note("the operator adds a model with a route of its own");
    let routes =
        vec![first_route(), world::route("tone-advice", "streaming", "tone-llm", 8_000, 2)];
    let services = vec![first_service(), engine::service("tone-llm")];
    store.put("op", "config", &world::config(5, routes, services));
    let second =
        Engine::start("i-0000b001", places.at(201, 0), "tone-llm", &zone(0), &store, record);
    wait_for_layers(&second, SETTLE, record);
    record
        .note(format!("lease row {SETTLE:?} at most later: {:?}", store.get("lease", "placement")));

    let mut served = [0, 0];
    for number in 0..REQUESTS {
        for (at, name) in ["shade-match", "tone-advice"].into_iter().enumerate() {
            let front = &fronts[number % fronts.len()];
            let id = format!("{:016x}", 0x77aa_0000 + number * 2 + at);
            let extra = "Model: m\r\nToken-Counts: 100,20\r\nPrompt-Prefix: a1:40,b2:60\r\n";
            let path = format!("/{name}/x");
            let got = world::send(
                front.clients,
                "POST",
                &path,
                &id,
                extra,
                b"{}",
                Duration::from_secs(5),
            );
            let is_served = got.status == 200 && got.is_complete;
            served[at] += usize::from(is_served);
            let text = if got.status == 200 {
                String::new()
            } else {
                String::from_utf8_lossy(&got.body).into_owned()
            };
            record.note(format!("{id} POST {path} at {}: {} {text}", front.name, got.status));
        }
        thread::sleep(PAUSE);
    }
    record.note(json!({"served on the first route": served[0], "served on the route added later": served[1], "of": REQUESTS}).to_string());
    if served[0] * 10 < REQUESTS * 9 {
        world::cannot_run("the first route was not served");
    }
    let is_broken = served[1] * 4 < served[0];
    if is_broken {
        record
            .note("CONFIG: the route that was added later is served less than a quarter as often");
    }
    is_broken
}

/// Kills all routers, starts them again and waits until one of them has taken the lease.
fn kill_all(fronts: &mut [Router], store: &Store, record: &Record) {
    record.note("all routers are killed and start again");
    fronts.iter_mut().for_each(Router::kill);
    let before = store.get("lease", "placement");
    fronts.iter_mut().for_each(Router::spawn);
    let started = Instant::now();
    while store.get("lease", "placement") == before && started.elapsed() < LEASE_LIMIT {
        thread::sleep(Duration::from_millis(10));
    }
    record.note(format!("the lease is taken {:.1?} after that", started.elapsed()));
    thread::sleep(AFTER_LEASE);
}

/// Waits until an engine holds layers.
fn wait_for_layers(engine: &Engine, limit: Duration, record: &Record) {
    let end = std::time::Instant::now() + limit;
    while engine.layers().is_none() && std::time::Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!("engine {} holds {:?}", engine.id, engine.layers()));
}
