//! The store comes back from a copy of itself, and a model is added after that.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::engine::{self, Engine};
use crate::store::Store;
use crate::world::{self, Places, Record, Router};

/// Age of the copy: "some seconds old".
const COPY_AGE: Duration = Duration::from_secs(5);

/// Time for which the store is away: "for a moment".
const AWAY: Duration = Duration::from_millis(1_000);

/// Time from the new configuration until requests are counted: more than
/// `stability_window_ms` + `configuration_ms` + the loads.
const SETTLE: Duration = Duration::from_secs(25);

/// Requests on each route, and the time between two.
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(150);

pub fn run(routers: u8) -> i32 {
    let record = Arc::new(Record::open());
    let places = Places::choose();
    let store = Store::start(places.at(250, 0));
    let first_route = || world::route("shade-match", "streaming", "advisor-llm", 8_000, 2);
    let first_service = || engine::service("advisor-llm");
    store.put("op", "config", &world::config(3, vec![first_route()], vec![first_service()]));
    let zone = |number: u8| format!("almaty-{}", ["a", "b", "c"][usize::from(number % 3)]);
    let first =
        Engine::start("i-0000a001", places.at(200, 0), "advisor-llm", &zone(0), &store, &record);
    let fronts: Vec<_> =
        (0..routers).map(|n| Router::start(&places, n, &zone(n), store.address)).collect();
    fronts.iter().for_each(Router::wait_until_ready);
    wait_for_layers(&first, Duration::from_secs(20), &record);
    if first.layers().is_none() {
        world::cannot_run("the first model was not placed");
    }
    thread::sleep(Duration::from_secs(3));

    if world::has_trouble() {
        record.note(format!("lease row before the drill: {:?}", store.get("lease", "placement")));
        let copy = store.copy();
        thread::sleep(COPY_AGE);
        record
            .note(format!("lease row when the store goes: {:?}", store.get("lease", "placement")));
        store.set_away(true);
        record.note("the store is away (503 to all calls)");
        thread::sleep(AWAY);
        store.restore(copy);
        store.set_away(false);
        record.note(format!(
            "the store is back from a copy {COPY_AGE:?} old, era 1, version {}",
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
        Engine::start("i-0000b001", places.at(201, 0), "tone-llm", &zone(0), &store, &record);
    wait_for_layers(&second, SETTLE, &record);
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
    i32::from(is_broken)
}

/// Waits until an engine holds layers.
fn wait_for_layers(engine: &Engine, limit: Duration, record: &Record) {
    let end = std::time::Instant::now() + limit;
    while engine.layers().is_none() && std::time::Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!("engine {} holds {:?}", engine.id, engine.layers()));
}
