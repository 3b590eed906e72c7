//! Tests of routers beside rows of the store that cannot be read.

mod cluster;

use std::time::Duration;

use nix::sys::signal::Signal;

use cluster::client::TestRequest;
use cluster::router::REVOCATION_BOUND;
use cluster::{ClusterOptions, TestCluster};

/// Requests that show which endpoints are used.
const REQUESTS: usize = 20;

fn entry(changed: &str, value: &str) -> String {
    let entry = r#"{"service":"register","address":"127.0.0.1:9","zone":"zone-a","version":"v1",
        "slots":64,"cold_remaining_ms":0,"state":"ready","sequence":1,"born":1,"kind":"card",
        "layers":{"from":0,"to":8,"version":1}}"#;
    let field = format!("\"{changed}\":");
    let at = entry.find(&field).unwrap() + field.len();
    let end = at + entry[at..].find([',', '}']).unwrap();
    format!("{}{value}{}", &entry[..at], &entry[end..])
}

fn odd_entries() -> Vec<Vec<u8>> {
    let nested = "[".repeat(30_000) + &"]".repeat(30_000);
    let mut entries: Vec<Vec<u8>> = [
        ("slots", "1e400"),
        ("slots", "10000000000000000000000000000000000000000"),
        ("slots", "-1"),
        ("slots", "64,\"slots\":64"),
        ("sequence", "18446744073709551616"),
        ("address", "\"127.0.0.1:65536\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "7"),
        ("state", "\"resting\""),
        ("service", "null"),
        ("kind", nested.as_str()),
        ("slots", nested.as_str()),
    ]
    .map(|(field, value)| entry(field, value).into_bytes())
    .into();
    entries.extend([nested.into_bytes(), vec![0xff, 0xfe, 0], Vec::new(), b"null".to_vec()]);
    entries
}

/// Whether the routers send requests to an endpoint.
fn is_used(cluster: &TestCluster, id: &str) -> bool {
    let from = cluster.endpoints.arrivals.lock().unwrap().len();
    for number in 0..REQUESTS {
        let to = cluster.routers[number % cluster.routers.len()].clients;
        let response = cluster.runtime.block_on(TestRequest::read().send(to));
        assert!(response.is_some_and(|response| response.status == 200));
    }
    cluster.endpoints.arrivals.lock().unwrap()[from..].iter().any(|(_, at, _)| at == id)
}

#[test]
fn odd_rows_neither_end_routers_nor_hide_other_rows() {
    let options = ClusterOptions { zones: 1, registers_per_zone: 2, ..ClusterOptions::default() };
    let mut cluster = TestCluster::start(options);
    for (number, value) in odd_entries().into_iter().enumerate() {
        cluster.store.put_bytes("servers", &format!("odd-{number}"), value);
    }
    cluster.store.put_bytes("lease", "placement", "[".repeat(30_000).into_bytes());
    let register = cluster.endpoints.get("register-0").clone();
    register.state().removed = true;
    cluster.wait_until("the removed endpoint is not used", |c| !is_used(c, "register-0"));
    register.state().removed = false;
    cluster.wait_until("the endpoint is used again", |c| is_used(c, "register-0"));
    cluster.routers[0].stop(Signal::SIGKILL);
    cluster.routers[0].spawn();
    cluster.wait_until("the restarted router serves", |cluster| {
        let response =
            cluster.runtime.block_on(TestRequest::read().send(cluster.routers[0].clients));
        response.is_some_and(|response| response.status == 200)
    });
    let stream = TestRequest::draft(4);
    let response = cluster.runtime.block_on(stream.send(cluster.routers[0].clients)).unwrap();
    assert!(response.status == 200 && response.complete, "{response:?}");
    assert!(cluster.routers.iter_mut().all(|router| router.is_running()));
}

#[test]
fn unreadable_lease_row_is_replaced() {
    let cluster = TestCluster::start(ClusterOptions { zones: 1, ..ClusterOptions::default() });
    cluster.store.put_bytes("lease", "placement", "[".repeat(30_000).into_bytes());
    cluster.wait_until("the lease is written again", |cluster| {
        cluster.store.get("lease", "placement").is_some_and(|row| !row.starts_with('['))
    });
    assert!(cluster.routers.iter().any(|router| !router.log_lines("MS0807").is_empty()));
}

/// The newer configuration may have revoked the key.
#[test]
fn key_is_not_accepted_after_a_configuration_that_cannot_be_read() {
    let mut cluster = TestCluster::start(ClusterOptions { zones: 1, ..ClusterOptions::default() });
    let unreadable = |cluster: &TestCluster| {
        cluster.routers.iter().any(|router| !router.log_lines("MS0913").is_empty())
    };
    cluster.store.put_bytes("op", "config", b"{\"version\":1000".to_vec());
    cluster.wait_until("a router has met the configuration", unreadable);
    std::thread::sleep(REVOCATION_BOUND + Duration::from_secs(1));
    let statuses = |cluster: &TestCluster| {
        let send = |to| cluster.runtime.block_on(TestRequest::post().send(to)).unwrap().status;
        cluster.routers.iter().map(|router| send(router.clients)).collect::<Vec<_>>()
    };
    assert_eq!(statuses(&cluster), [503, 503]);
    cluster.configure(&[(cluster::TEAM, &[cluster::KEY])]);
    cluster.wait_until("a configuration that can be read takes effect", |cluster| {
        statuses(cluster) == [200, 200]
    });
}
