//! Two models with different numbers of engines are added in quick succession.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{self, Engine};
use crate::store::Store;
use crate::world::{self, Places, Record, Router};

/// Time between the two configurations: `config_storm` is named with `gap_s` 0.33.
const GAP: Duration = Duration::from_millis(330);

/// Time between them without the disruption.
const CALM_GAP: Duration = Duration::from_secs(15);

/// Time from the last configuration until requests are counted.
const SETTLE: Duration = Duration::from_secs(30);

/// Requests on each route, and the time between two.
const REQUESTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);

const ZONES: [&str; 3] = ["almaty-a", "almaty-b", "almaty-c"];

/// The routes, the services behind them and their engines.
const MODELS: [(&str, &str, u8); 3] = [
    ("shade-match", "advisor-llm", 1),
    ("tone-advice", "tone-llm", 2),
    ("promo-copy", "promo-llm", 3),
];

pub fn run() -> i32 {
    let record = Arc::new(Record::open());
    let places = Places::choose(0);
    let store = Store::start(places.at(250, 0));
    let config = |version: u64, count: usize| {
        let models = &MODELS[..count];
        let routes = models
            .iter()
            .map(|(route, service, _)| world::route(route, "streaming", service, 8_000, 2));
        let services = models.iter().map(|(_, service, _)| engine::service(service));
        world::config(version, routes.collect(), services.collect())
    };
    let mut last = 200;
    let mut start_engines = |model: usize| -> Vec<Arc<Engine>> {
        let (_, service, count) = MODELS[model];
        let engines = (0..count).map(|number| {
            let id = format!("i-{model:02x}{number:02x}");
            let zone = ZONES[usize::from(number) % 3];
            last += 1;
            Engine::start(&id, places.at(last, 0), service, zone, &store, &record)
        });
        engines.collect()
    };
    store.put("op", "config", &config(3, 1));
    let mut engines = vec![start_engines(0)];
    let fronts: Vec<_> =
        (0..3).map(|n| Router::start(&places, n, ZONES[usize::from(n)], store.address)).collect();
    fronts.iter().for_each(Router::wait_until_ready);
    let holds = |engines: &[Arc<Engine>]| engines.iter().any(|engine| engine.layers().is_some());
    wait(Duration::from_secs(20), || holds(&engines[0]));
    if !holds(&engines[0]) {
        world::cannot_run("the first model was not placed");
    }
    thread::sleep(Duration::from_secs(3));

    record.note("the operator adds the second model, with 2 empty engines and a route");
    store.put("op", "config", &config(5, 2));
    engines.push(start_engines(1));
    thread::sleep(if world::has_trouble() { GAP } else { CALM_GAP });
    record.note("the operator adds the third model, with 3 empty engines and a route");
    store.put("op", "config", &config(9, 3));
    engines.push(start_engines(2));
    let added = Instant::now();
    wait(SETTLE, || holds(&engines[1]) && holds(&engines[2]));
    for engine in engines.iter().flatten() {
        record.note(format!(
            "engine {} holds {:?} {:.1} s after the last configuration",
            engine.id,
            engine.layers(),
            added.elapsed().as_secs_f64()
        ));
    }
    // Calm machines are in touch, and the configuration has long been in force.
    thread::sleep(Duration::from_secs(3));

    let mut served = [0; MODELS.len()];
    for number in 0..REQUESTS {
        for (at, (name, ..)) in MODELS.iter().enumerate() {
            let front = &fronts[number % fronts.len()];
            let id = format!("{:016x}", 0x77aa_0000 + number * MODELS.len() + at);
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
            served[at] += usize::from(got.status == 200 && got.is_complete);
            let text = if got.status == 200 {
                String::new()
            } else {
                String::from_utf8_lossy(&got.body).into_owned()
            };
            record.note(format!("{id} POST {path} at {}: {} {text}", front.name, got.status));
        }
        thread::sleep(PAUSE);
    }
    let runs: usize = engines
        .iter()
        .flatten()
        .map(|engine| engine.runs.load(std::sync::atomic::Ordering::SeqCst))
        .sum();
    record.note(json!({"served on the first route": served[0], "on the routes added later": served[1..], "of": REQUESTS, "runs": runs}).to_string());
    if served[0] * 10 < REQUESTS * 9 {
        world::cannot_run("the first route was not served");
    }
    // Both routes that were added later together, against the first one.
    let is_broken = (served[1] + served[2]) * 4 < served[0] * 2;
    if is_broken {
        record.note(
            "CONFIG: the routes that were added later are served less than a quarter as often",
        );
    }
    i32::from(is_broken)
}

fn wait(limit: Duration, is_done: impl Fn() -> bool) {
    let end = Instant::now() + limit;
    while !is_done() && Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
}
