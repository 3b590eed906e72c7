//! Measures the time of one choice with 40, 200 and 1,000 replicas of four stages.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mimosashift::engine::Load;
use mimosashift::health::{self, Registry};
use mimosashift::resource::{Kind, Name, Resource, Snapshot, Spec};
use mimosashift::route::affinity::Affinity;
use mimosashift::route::{Distances, RouteRequest, Settings, Sources, Table};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

const LAYERS: u16 = 80;
const STAGES: u16 = 4;
const DOMAINS: usize = 11;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("bench names are valid")
}

fn resource(kind: Kind, key: &str, body: &serde_json::Value) -> Resource {
    let spec = Spec::decode(kind, body.to_string().as_bytes()).expect("bench resources are valid");
    Resource { name: name(key), revision: 1, spec }
}

fn snapshot_of(replicas: usize, rng: &mut Pcg64Mcg) -> Snapshot {
    let mut resources =
        vec![resource(Kind::Pipeline, "model", &json!({"layers": LAYERS, "version": 1}))];
    for index in 0..replicas * usize::from(STAGES) {
        let start = index as u16 % STAGES * (LAYERS / STAGES);
        let body = json!({
            "address": "127.0.0.1:9000",
            "domain": format!("domain-{}", index / usize::from(STAGES) % DOMAINS),
            "role": {"engine": {
                "accelerator": "any",
                "layer_us": rng.random_range(50..250),
                "link_us": 10 * 10_u32.pow(rng.random_range(0..3)),
                "holds": [{"pipeline": "model", "version": 1, "layers": [start, start + LAYERS / STAGES]}],
            }},
        });
        resources.push(resource(Kind::Endpoint, &format!("engine-{index}"), &body));
    }
    Snapshot::new(1, resources)
}

fn choice(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for replicas in [40, 200, 1_000] {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let snapshot = snapshot_of(replicas, &mut rng);
        let distances =
            Distances::new(name("domain-0"), Duration::from_micros(500), BTreeMap::new());
        let table = Table::new(&snapshot, &distances, Settings::default());
        let mut registry = Registry::new(health::Settings::default());
        registry.install(&snapshot, &distances);
        let now = Instant::from_millis(1);
        for (endpoint, _) in snapshot.endpoints() {
            let load = Load { running: rng.random_range(0..24), ..Load::default() };
            registry.record_poll(endpoint, 1, &load, 1, now);
        }
        let affinity = Affinity::default();
        let sources = Sources { health: &registry, affinity: &affinity };
        let model = name("model");
        let request = RouteRequest {
            pipeline: &model,
            version: 1,
            prompt_tokens: 512,
            output_tokens: 256,
            adapter: None,
            prefixes: &[],
            avoid: &[],
            avoid_domains: &[],
            kept: &[],
        };
        group.bench_function(BenchmarkId::from_parameter(replicas), |b| {
            b.iter(|| black_box(table.choose(&request, &sources, now, &mut rng)));
        });
    }
    group.finish();
}

criterion_group!(benches, choice);
criterion_main!(benches);
