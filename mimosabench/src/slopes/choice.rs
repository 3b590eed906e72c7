//! Cost of chain selection.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use mimosashift::engine::Load;
use mimosashift::health::{self, Registry};
use mimosashift::resource::Snapshot;
use mimosashift::route::affinity::{self, Affinity};
use mimosashift::route::{Distances, RouteRequest, Settings, Sources, Table};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::series::series;
use super::{Series, cpu, fleet, memory};

const ROLE: &str = "chain choice";
const SIZES: [usize; 5] = [160, 800, 1_600, 2_800, 4_000];
const PREFIXES: [usize; 4] = [1_024, 4_096, 8_192, 16_384];
const NOW: Instant = Instant::from_millis(1);

/// Measures the time of a chain choice and the cost of its routing table.
pub fn measure() -> Vec<Series> {
    let choice = |endpoints| micros_per_choice(&fleet::snapshot(0, endpoints));
    let table = |endpoints| table_bytes(&fleet::snapshot(0, endpoints));
    let build = |endpoints| {
        let snapshot = fleet::snapshot(0, endpoints);
        cpu::micros_per_call(|| build(&snapshot))
    };
    vec![
        series([ROLE, "choice", "µs", "endpoints"], &SIZES, choice),
        series([ROLE, "table built at a change", "µs", "endpoints"], &SIZES, build),
        series([ROLE, "table", "bytes", "endpoints"], &SIZES, table),
        series([ROLE, "prefix index, 8 holders each", "bytes", "prefixes"], &PREFIXES, index_bytes),
    ]
}

/// Memory retained by the routing table of a configuration.
pub fn table_bytes(snapshot: &Snapshot) -> f64 {
    memory::retained(|| build(snapshot)).1
}

/// Memory retained by a full index of `prefixes` prefixes.
pub fn index_bytes(prefixes: usize) -> f64 {
    let settings = affinity::Settings { max_prefixes: prefixes, expiry: Duration::from_secs(300) };
    let holders: Vec<_> =
        (0..affinity::MAX_HOLDERS).map(|n| fleet::name(&format!("engine-{n:04}"))).collect();
    let full = || {
        let mut index = Affinity::new(settings);
        // The index keeps two generations of at most `prefixes` prefixes each.
        for prefix in 0..2 * prefixes as u64 {
            holders.iter().for_each(|holder| index.store(holder, &[prefix], NOW));
        }
        index
    };
    memory::retained(full).1
}

/// Network distances from the first failure domain.
pub(super) fn distances() -> Distances {
    Distances::new(fleet::name("domain-0"), Duration::from_micros(500), BTreeMap::new())
}

fn build(snapshot: &Snapshot) -> Table {
    Table::new(snapshot, &distances(), Settings::default())
}

fn micros_per_choice(snapshot: &Snapshot) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let table = build(snapshot);
    let mut registry = Registry::new(health::Settings::default());
    registry.install(snapshot, &distances());
    for (endpoint, _) in snapshot.endpoints() {
        let load = Load { running: rng.random_range(0..24), ..Load::default() };
        registry.record_poll(endpoint, 1, &load, 1, NOW);
    }
    let affinity = Affinity::default();
    let sources = Sources { health: &registry, affinity: &affinity };
    let model = fleet::name("model");
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
    cpu::micros_per_call(|| {
        let choice = table.choose(&request, &sources, NOW, &mut rng);
        black_box(choice.expect("every layer has a live holder"));
    })
}
