//! Tests of completions while one of the router processes is drained or killed.
//!
//! Run with `--nocapture` to print the load reports.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::thread;
use std::time::Duration;

use common::Cluster;
use hyper::Method;
use mimosabench::load::{self, LoadConfig, Workload};
use mimosabench::report::{Outcome, Report};
use mimosashift::resource::{Engine, Name};
use mimosastandin::engine;
use serde_json::json;

mod common;

const EPHEMERAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const LAYERS: u16 = 8;

/// Requests per second.
const REQUESTS_PER_SECOND: f64 = 60.0;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(6);

/// Time from the start of the load to the fault.
const INJECT_AT: Duration = Duration::from_secs(2);

/// Starts two engines for each of two stages and configures them on every router.
fn start_engines(cluster: &Cluster) -> Vec<engine::Instance> {
    let model = Name::try_from("advisor").unwrap();
    let mut instances = Vec::new();
    let mut resources = vec![
        ("pipeline/advisor".to_owned(), json!({"layers": LAYERS, "version": 1})),
        ("route/advisor".to_owned(), json!({"model": "advisor", "pipeline": "advisor"})),
    ];
    for (index, layers) in [[0, 4], [0, 4], [4, 8], [4, 8]].into_iter().enumerate() {
        let spec = json!({"accelerator": "small", "layer_us": 50, "slots": 64,
            "holds": [{"pipeline": "advisor", "version": 1, "layers": layers}]});
        let checked: Engine = serde_json::from_value(spec.clone()).unwrap();
        let models = HashMap::from([(model.clone(), LAYERS)]);
        let instance = engine::Instance::start(EPHEMERAL, checked, models).unwrap();
        let address = instance.address();
        let endpoint = json!({"address": address, "domain": "a", "role": {"engine": spec}});
        resources.push((format!("endpoint/engine-{index}"), endpoint));
        instances.push(instance);
    }
    for router in &cluster.routers {
        for (path, spec) in &resources {
            let path = format!("/api/v1/{path}");
            let answer = cluster.call_operator_api(router, Method::PUT, &path, &spec.to_string());
            assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
        }
    }
    instances
}

/// Sends load to every router and injects a fault after `INJECT_AT`.
fn run(cluster: &Cluster, inject_fault: impl FnOnce()) -> Report {
    let plan = LoadConfig {
        targets: cluster.routers.iter().map(common::Router::caller_address).collect(),
        token: common::CALLER_TOKEN.to_owned(),
        rate: REQUESTS_PER_SECOND,
        duration: LOAD_DURATION,
        connections: 64,
        workload: Workload::Completion {
            model: "advisor".to_owned(),
            layers: LAYERS,
            version: 1,
            prompt_tokens: 32,
            tokens: 24,
        },
        seed: 5,
    };
    thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&plan));
        thread::sleep(INJECT_AT);
        inject_fault();
        running.join().unwrap()
    })
}

fn print_report(scenario: &str, report: &Report) {
    eprintln!("{scenario}: {}", report.to_json());
}

#[test]
fn drained_router_completes_all_requests() {
    let mut cluster = Cluster::start(3);
    let _engines = start_engines(&cluster);
    let report = run(&cluster, || cluster.routers[0].signal("TERM"));
    print_report("drained", &report);
    assert_eq!(report.count(Outcome::Whole), report.sent());
    assert!(report.sent() > 0);
    assert_eq!(cluster.routers[0].exit_code(), Some(0));
}

#[test]
fn killed_router_loses_only_its_own_requests() {
    let cluster = Cluster::start(3);
    let _engines = start_engines(&cluster);
    let report = run(&cluster, || cluster.routers[0].signal("KILL"));
    print_report("killed", &report);
    assert_eq!(report.count(Outcome::Wrong), 0);
    // Requests on the killed router end with a visibly truncated response or
    // without any response.
    let incomplete = report.count(Outcome::CutShort) + report.count(Outcome::Lost);
    assert_eq!(report.count(Outcome::Whole) + incomplete, report.sent());
    assert!(report.count(Outcome::Whole) > report.sent() / 2);
}
