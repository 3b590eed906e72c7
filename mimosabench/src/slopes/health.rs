//! Cost of endpoint health tracking.

use mimosashift::engine::Load;
use mimosashift::health::{Registry, ReportBatch, Settings};
use mimosashift::resource::Snapshot;
use mimosashift::time::Instant;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::choice::distances;
use super::series::series;
use super::{Series, cpu, fleet, memory};

const ROLE: &str = "endpoints";
const SIZES: [usize; 5] = [160, 800, 1_600, 2_800, 4_000];
const NOW: Instant = Instant::from_millis(10_000);

/// Measures time, memory and report size by number of endpoints.
pub fn measure() -> Vec<Series> {
    vec![
        series([ROLE, "state", "bytes", "endpoints"], &SIZES, |endpoints| {
            state_bytes(&fleet::snapshot(0, endpoints))
        }),
        series([ROLE, "all reports, shared", "bytes", "endpoints"], &SIZES, |endpoints| {
            report_bytes(endpoints) as f64
        }),
        series([ROLE, "all polls taken in", "µs", "endpoints"], &SIZES, |endpoints| {
            let snapshot = fleet::snapshot(0, endpoints);
            let mut registry = polled(&snapshot, NOW);
            cpu::micros_per_call(|| poll(&mut registry, &snapshot, NOW))
        }),
        series([ROLE, "all reports merged", "µs", "endpoints"], &SIZES, |endpoints| {
            let snapshot = fleet::snapshot(0, endpoints);
            let reports = polled(&snapshot, NOW).reports_since(Instant::ZERO);
            let mut registry = install(&snapshot);
            cpu::micros_per_call(|| registry.merge(&reports, NOW))
        }),
        series([ROLE, "sweep", "µs", "endpoints"], &SIZES, |endpoints| {
            let mut registry = polled(&fleet::snapshot(0, endpoints), NOW);
            let mut rng = Pcg64Mcg::seed_from_u64(1);
            cpu::micros_per_call(|| registry.eject_outliers(NOW, &mut rng))
        }),
        series([ROLE, "change installed", "µs", "endpoints"], &SIZES, |endpoints| {
            let snapshot = fleet::snapshot(0, endpoints);
            let mut registry = polled(&snapshot, NOW);
            let distances = distances();
            cpu::micros_per_call(|| registry.install(&snapshot, &distances))
        }),
    ]
}

/// Memory retained by the health state of a configuration's endpoints.
pub fn state_bytes(snapshot: &Snapshot) -> f64 {
    memory::retained(|| polled(snapshot, NOW)).1
}

/// Encoded size in bytes of one report per endpoint.
pub fn report_bytes(endpoints: usize) -> usize {
    let reports: ReportBatch =
        polled(&fleet::snapshot(0, endpoints), NOW).reports_since(Instant::ZERO);
    postcard::to_stdvec(&reports).expect("health reports are serializable").len()
}

fn install(snapshot: &Snapshot) -> Registry {
    let mut registry = Registry::new(Settings::default());
    registry.install(snapshot, &distances());
    registry
}

fn polled(snapshot: &Snapshot, now: Instant) -> Registry {
    let mut registry = install(snapshot);
    poll(&mut registry, snapshot, now);
    registry
}

fn poll(registry: &mut Registry, snapshot: &Snapshot, now: Instant) {
    let load =
        Load { queued: 2, running: 12, kv_free_tokens: 1 << 20, leaving: false, incarnation: 1 };
    for (endpoint, _) in snapshot.endpoints() {
        registry.record_poll(endpoint, 1, &load, 1, now);
    }
}
