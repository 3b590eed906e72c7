//! Completions through router processes while one is killed and one drained.
//!
//! Run with `--nocapture` to see what became of the requests.

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

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const LAYERS: u16 = 8;

/// Requests a second, and how long they come.
const RATE: f64 = 60.0;
const DURATION: Duration = Duration::from_secs(6);

/// When a router is disturbed.
const DISTURB_AT: Duration = Duration::from_secs(2);

/// Two copies of two stages, declared at every router.
fn engines(cluster: &Cluster) -> Vec<engine::Instance> {
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
        let instance = engine::Instance::start(ANY, checked, models).unwrap();
        let address = instance.address();
        let endpoint = json!({"address": address, "domain": "a", "role": {"engine": spec}});
        resources.push((format!("endpoint/engine-{index}"), endpoint));
        instances.push(instance);
    }
    for router in &cluster.routers {
        for (path, spec) in &resources {
            let path = format!("/api/v1/{path}");
            let answer = cluster.operate(router, Method::PUT, &path, &spec.to_string());
            assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
        }
    }
    instances
}

/// Sends load to every router while `disturb` runs.
fn run(cluster: &Cluster, disturb: impl FnOnce()) -> Report {
    let plan = LoadConfig {
        targets: cluster.routers.iter().map(common::Router::callers).collect(),
        token: common::CALLER.to_owned(),
        rate: RATE,
        duration: DURATION,
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
        thread::sleep(DISTURB_AT);
        disturb();
        running.join().unwrap()
    })
}

fn show(what: &str, report: &Report) {
    eprintln!("{what}: {}", report.to_json());
}

#[test]
fn drained_router_cuts_nothing_off() {
    let mut cluster = Cluster::start(3);
    let _engines = engines(&cluster);
    let report = run(&cluster, || cluster.routers[0].signal("TERM"));
    show("drained", &report);
    assert_eq!(report.count(Outcome::Whole), report.sent());
    assert!(report.sent() > 0);
    assert_eq!(cluster.routers[0].exit_code(), Some(0));
}

#[test]
fn killed_router_loses_only_what_it_held() {
    let cluster = Cluster::start(3);
    let _engines = engines(&cluster);
    let report = run(&cluster, || cluster.routers[0].signal("KILL"));
    show("killed", &report);
    assert_eq!(report.count(Outcome::Wrong), 0);
    // What the router held is cut short visibly or has no answer at all.
    let broken = report.count(Outcome::CutShort) + report.count(Outcome::Lost);
    assert_eq!(report.count(Outcome::Whole) + broken, report.sent());
    assert!(report.count(Outcome::Whole) > report.sent() / 2);
}
