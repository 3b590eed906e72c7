//! Checks the resource cost of router roles at a small and at the largest size.
//!
//! Only reproducible quantities are checked: bytes, messages, reads and writes.
//! The limits are the targets at the start of `docs/CAPACITY.md`.

use std::sync::{Mutex, MutexGuard, PoisonError};

use mimosabench::slopes::{
    Line, admission, audit, choice, config, fleet, health, membership, memory, metrics, page,
    posting,
};
use test_case::test_case;

/// Maximum control traffic of a router, sent and received, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 16_000.0;

/// Maximum control-plane memory of a router in bytes.
const MAX_BYTES: f64 = 32e6;

/// Reads per second that the platform can serve.
const PLATFORM_READS: f64 = 2_000.0;

const TEAMS: usize = 31_000;
const ENDPOINTS: usize = 4_000;
const ROUTERS: usize = 370;

/// Runs tests one at a time, because allocations are counted process-wide.
fn serialize_test() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test_case(4, 3; "4 routers")]
#[test_case(ROUTERS, fleet::DOMAINS; "370 routers")]
fn heartbeats_fit_the_control_traffic(routers: usize, domains: usize) {
    let _guard = serialize_test();
    let cost = membership::cost(routers, domains, 64);
    assert!(cost.max_bytes <= MAX_BYTES_PER_SECOND, "{cost:?}");
    assert!(cost.messages > 0.0, "{cost:?}");
}

#[test_case(10, 40; "small")]
#[test_case(TEAMS, ENDPOINTS; "large")]
fn control_state_fits_its_memory(teams: usize, endpoints: usize) {
    const ACTIVE_TEAMS: usize = 1_000;
    const PREFIXES: usize = 16_384;
    const REPORTED_TEAMS: usize = 20_000;
    const LOGGED: f64 = 1_024.0;
    const KEPT_STATES: f64 = 16.0;
    let _guard = serialize_test();
    let (snapshot, resources) = memory::retained(|| fleet::snapshot(teams, endpoints));
    let record = audit::record(1);
    let parts = [
        ("configuration", resources),
        ("endpoints", health::state_bytes(&snapshot)),
        ("table of chains", choice::table_bytes(&snapshot)),
        ("prefix index", choice::index_bytes(PREFIXES)),
        ("own demand", admission::state_bytes(ACTIVE_TEAMS.min(teams))),
        (
            "demand of peers",
            memory::retained(|| admission::with_peer_demand(REPORTED_TEAMS.min(teams))).1,
        ),
        ("states kept", config::revision_bytes(teams + endpoints) * KEPT_STATES),
        ("log", memory::retained(|| record.clone()).1 * LOGGED),
        ("metrics", metrics::state_bytes()),
    ];
    let sum: f64 = parts.iter().map(|(_, bytes)| bytes).sum();
    assert!(sum <= MAX_BYTES, "{sum} bytes: {parts:?}");
}

#[test_case(1; "1 domain")]
#[test_case(fleet::DOMAINS; "11 domains")]
fn polls_take_a_small_part_of_the_reads(domains: usize) {
    const LARGEST_SHARE: f64 = 0.02;
    let _guard = serialize_test();
    let polls = config::polls_per_second(domains).unwrap();
    assert!(polls >= domains as f64, "a domain polls less than once a second: {polls}");
    assert!(polls <= PLATFORM_READS * LARGEST_SHARE, "{polls} reads a second");
}

#[test_case(200; "200 resources")]
#[test_case(2_000; "2000 resources")]
fn full_load_reads_pages_and_not_rows(resources: usize) {
    const PAGE_ROWS: usize = 500;
    let _guard = serialize_test();
    let (table, state) = config::populated_table(resources).unwrap();
    assert!(state.snapshot().len() >= resources);
    let calls = config::load_calls(&table).unwrap() as usize;
    assert!(calls <= resources.div_ceil(PAGE_ROWS) + 3, "{calls} calls");
}

#[test_case(1; "one posting")]
#[test_case(64; "64 postings")]
fn batch_is_claimed_by_one_write_and_recorded_by_one(postings: usize) {
    let _guard = serialize_test();
    assert_eq!(posting::run(postings).transactions, 2);
}

#[test_case(3; "3 peers")]
#[test_case(ROUTERS - 1; "369 peers")]
fn demand_reports_fit_the_control_traffic(peers: usize) {
    let _guard = serialize_test();
    let bytes = admission::report_bytes_per_second(peers);
    assert!(bytes > 0.0 && bytes <= MAX_BYTES_PER_SECOND, "{bytes} B/s");
}

#[test]
fn all_control_traffic_of_370_routers_fits() {
    /// Live routers to which one of 370 reports its demand: those of its own domain
    /// and those of other domains that it has recently heard from.
    const REPORTED_TO: usize = 48;
    let _guard = serialize_test();
    let full = membership::MAX_REPORT_BYTES;
    let heartbeats = membership::cost(ROUTERS, fleet::DOMAINS, full).mean_bytes;
    let demand = 2.0 * admission::sent_bytes_per_second(REPORTED_TO);
    let sum = heartbeats + demand;
    assert!(sum <= MAX_BYTES_PER_SECOND, "{sum} B/s: {heartbeats} heartbeats, {demand} demand");
}

#[test_case(4, 3, 160; "4 routers")]
#[test_case(ROUTERS, fleet::DOMAINS, ENDPOINTS; "370 routers")]
fn each_endpoint_is_probed_by_about_one_router(routers: usize, domains: usize, endpoints: usize) {
    const MAX_PROBERS: f64 = 2.0;
    let _guard = serialize_test();
    let division = membership::probe_division(routers, domains, endpoints);
    let probers = division.probes * routers as f64 / endpoints as f64;
    assert!((1.0..=MAX_PROBERS).contains(&probers), "{probers} probers: {division:?}");
}

#[test]
fn scrape_does_not_grow_with_what_is_recorded() {
    let _guard = serialize_test();
    let (few, many) = (metrics::scrape_bytes(10), metrics::scrape_bytes(38));
    assert!(many < 2 * few, "{few} and {many} bytes");
}

#[test]
fn retained_bytes_are_counted() {
    const BYTES: i64 = 1_000_000;
    // The test harness allocates a little on its own threads.
    const ALLOWED: i64 = 10_000;
    let _guard = serialize_test();
    let (kept, counted) = memory::counted(|| vec![0_u8; BYTES as usize]);
    drop(kept);
    let ((), after) = memory::counted(|| drop(vec![0_u8; BYTES as usize]));
    assert!((counted.retained - BYTES).abs() < ALLOWED, "{counted:?}");
    assert!(after.retained.abs() < ALLOWED && after.allocations > 0, "{after:?}");
}

#[test]
fn line_through_exact_points_has_no_residual() {
    let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.base - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!(line.residual < 1e-9, "{line:?}");
    assert!((line.at(10.0) - 23.0).abs() < 1e-9);
    let bent = Line::fit(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]);
    assert!(bent.residual > 0.4, "{bent:?}");
}

#[test]
fn only_the_block_of_a_page_is_replaced() {
    let text = format!("a\n{}\nold\n{}\nb\n", page::BEGIN, page::END);
    let replaced = page::replace(&text, "| new |\n").unwrap();
    assert!(replaced.starts_with("a\n") && replaced.ends_with("\nb\n"), "{replaced}");
    assert!(replaced.contains("| new |") && !replaced.contains("old"), "{replaced}");
    assert_eq!(page::replace("no block", "| new |\n"), None);
}
