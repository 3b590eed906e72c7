//! Tests of explanations: they agree with what becomes of the request, and leave no trace.

mod cluster;

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;
use test_case::test_case;
use tokio::task::JoinHandle;

use cluster::client::{TestRequest, TestResponse};
use cluster::{ClusterOptions, HOST, TEAM, TestCluster};

/// Explanations that are compared with requests.
const COMPARISONS: usize = 200;

/// Those of them at one load.
const PER_ROUND: usize = 8;

fn cluster() -> TestCluster {
    TestCluster::start(ClusterOptions {
        routers: 1,
        registers_per_zone: 3,
        ..ClusterOptions::default()
    })
}

fn explain(cluster: &TestCluster, request: &TestRequest) -> Value {
    cluster.runtime.block_on(cluster.routers[0].explain("", &request.to_text()))
}

fn send(cluster: &TestCluster, request: &TestRequest) -> TestResponse {
    cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap()
}

/// The endpoint that the request first reached.
fn first_arrival(cluster: &TestCluster, request: &TestRequest) -> Option<String> {
    let arrivals = cluster.endpoints.arrivals.lock().unwrap();
    arrivals.iter().find(|(.., id)| *id == request.id).map(|(_, endpoint, _)| endpoint.clone())
}

/// Begins a request that goes on beside others until it is aborted.
fn begin(cluster: &TestCluster, request: TestRequest) -> JoinHandle<()> {
    let router = cluster.routers[0].clients;
    cluster.runtime.spawn(async move { drop(request.send(router).await) })
}

/// Requests that take longer than a round. The streams keep what they claim meanwhile, since
/// they are expected to be as long as they are.
fn load(cluster: &TestCluster, count: usize) -> Vec<JoinHandle<()>> {
    let request = |number: usize| match number % 3 {
        0 => TestRequest::slow("/post/x"),
        _ => {
            let mut request = TestRequest::draft(200);
            request.headers.push(("length-hint", "800".to_owned()));
            request
        }
    };
    (0..count).map(|number| begin(cluster, request(number))).collect()
}

/// The first service of an explanation.
fn service(explanation: &Value) -> &Value {
    &explanation["services"][0]
}

#[test]
fn explanation_agrees_with_the_request_sent_next() {
    let cluster = cluster();
    let mut endpoints = BTreeSet::new();
    let mut differing = Vec::new();
    for round in 0..COMPARISONS / PER_ROUND {
        // The load changes from round to round, and by the requests compared: what begins or
        // ends between an explanation and its request would change the choice as well.
        let others = load(&cluster, round * 5 % 13);
        std::thread::sleep(Duration::from_millis(100));
        for number in 0..PER_ROUND {
            let request = if number % 2 == 0 { TestRequest::draft(1) } else { TestRequest::read() };
            let explanation = explain(&cluster, &request);
            let response = send(&cluster, &request);
            assert_eq!(service(&explanation)["outcome"], "sent", "{explanation:#}");
            assert_eq!(response.status, 200, "{}", response.body);
            let arrived = first_arrival(&cluster, &request).unwrap();
            let explained = &service(&explanation)["chosen"]["hops"][0]["endpoint"];
            if *explained != *arrived {
                differing.push(format!("{round}.{number}: {explained}, {arrived} reached"));
            }
            endpoints.insert(arrived);
        }
        others.iter().for_each(JoinHandle::abort);
    }
    println!("{} endpoints reached: {endpoints:?}", endpoints.len());
    assert!(differing.is_empty(), "{} of {COMPARISONS} differ: {differing:#?}", differing.len());
    assert!(endpoints.len() >= 4, "the load changes the choice: {endpoints:?}");
}

fn unknown_key(_: &TestCluster) -> TestRequest {
    TestRequest { key: "unknown".to_owned(), ..TestRequest::draft(2) }
}

fn no_route(_: &TestCluster) -> TestRequest {
    TestRequest { path: "/nothing/x".to_owned(), ..TestRequest::draft(2) }
}

fn malformed(_: &TestCluster) -> TestRequest {
    let mut request = TestRequest::draft(2);
    request.headers[0].1 = "many".to_owned();
    request
}

fn full_memory(_: &TestCluster) -> TestRequest {
    let mut request = TestRequest::draft(2);
    request.headers[0].1 = "100000000,8".to_owned();
    request
}

fn uncovered_layer(cluster: &TestCluster) -> TestRequest {
    cluster.endpoints.engines().for_each(|engine| engine.state().draining = true);
    let request = TestRequest::draft(2);
    cluster.wait_until("the router knows that engines leave", |cluster| {
        service(&explain(cluster, &request))["outcome"] == "refused"
    });
    request
}

fn leaving_endpoints(cluster: &TestCluster) -> TestRequest {
    cluster.endpoints.members.iter().for_each(|member| member.state().draining = true);
    let request = TestRequest::read();
    cluster.wait_until("the router knows that endpoints leave", |cluster| {
        service(&explain(cluster, &request))["outcome"] == "refused"
    });
    request
}

#[test_case(unknown_key; "unknown key")]
#[test_case(no_route; "no route")]
#[test_case(malformed; "malformed head")]
#[test_case(full_memory; "full memory")]
#[test_case(uncovered_layer; "uncovered layer")]
#[test_case(leaving_endpoints; "leaving endpoints")]
fn refusal_is_explained_as_the_request_is_refused(prepare: fn(&TestCluster) -> TestRequest) {
    let cluster = cluster();
    let request = prepare(&cluster);
    let explanation = explain(&cluster, &request);
    let response = send(&cluster, &request);
    let early = &explanation["refusal"];
    let refusal = if early.is_null() { &service(&explanation)["refusal"] } else { early };
    assert_eq!(refusal["status"], response.status, "{explanation:#}");
    let body: Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(refusal["reason"], body["error"], "{explanation:#}");
    assert_eq!(first_arrival(&cluster, &request), None);
    if let Some(after) = response.header("retry-after") {
        let told_ms = after.parse::<f64>().unwrap() * 1_000.0;
        let bound = |name: &str| refusal[name].as_f64().unwrap();
        let (least, most) = (bound("retry_after_least_ms"), bound("retry_after_most_ms"));
        // The share of refused requests, which sets the longest time, changes meanwhile.
        assert!(told_ms >= least - 1.0, "{told_ms} ms told, {least} to {most} explained");
    }
}

#[test]
fn sizes_and_team_explain_the_same_as_a_head() {
    let cluster = cluster();
    let by_head = explain(&cluster, &TestRequest::draft(2));
    let query = format!("host={HOST}&path=%2Fdraft%2Fx&team={TEAM}&prompt=100&max_output=8");
    let by_size = cluster.runtime.block_on(cluster.routers[0].explain(&query, ""));
    let chain = |explanation: &Value| service(explanation)["chosen"].clone();
    assert_eq!(chain(&by_size), chain(&by_head));
    assert_eq!((&by_size["team"], &by_head["team"]), (&TEAM.into(), &TEAM.into()));
    let wrong = cluster.runtime.block_on(cluster.routers[0].explain("weight=1", ""));
    assert_eq!(wrong["code"], "invalid");
}

/// The lines of metrics by name and labels.
fn metrics(cluster: &TestCluster) -> Vec<(String, String)> {
    let text = cluster.runtime.block_on(cluster.routers[0].metrics());
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| line.rsplit_once(' '));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn changed(before: &[(String, String)], after: &[(String, String)]) -> BTreeSet<String> {
    let is_new = |line: &&(String, String)| !before.contains(line);
    after.iter().filter(is_new).map(|(name, _)| name.clone()).collect()
}

#[test]
fn explanations_leave_no_trace() {
    let cluster = cluster();
    let requests = [TestRequest::draft(9), TestRequest::read(), full_memory(&cluster)];
    let idle = metrics(&cluster);
    std::thread::sleep(Duration::from_secs(2));
    let before = metrics(&cluster);
    // Calls to the store and their like go on without requests.
    let own = changed(&idle, &before);
    let lines = |cluster: &TestCluster| {
        let ids: Vec<_> = requests.iter().map(|request| request.id.clone()).collect();
        let log = cluster.routers[0].log();
        log.lines().filter(|line| ids.iter().any(|id| line.contains(id))).count()
    };
    let explanations = |cluster: &TestCluster| -> Vec<_> {
        // The time after which a client would come back depends on the time of the question.
        let choice = |request| {
            let explanation = explain(cluster, request);
            ["outcome", "chosen", "next", "endpoints"].map(|n| service(&explanation)[n].clone())
        };
        requests.iter().map(choice).collect()
    };
    let first = explanations(&cluster);
    for _ in 0..100 {
        assert_eq!(explanations(&cluster), first);
    }
    let by_explanations: Vec<_> = changed(&before, &metrics(&cluster))
        .into_iter()
        .filter(|name| !own.contains(name))
        .collect();
    assert_eq!(by_explanations, Vec::<String>::new());
    assert_eq!(lines(&cluster), 0);
    assert!(requests.iter().all(|request| first_arrival(&cluster, request).is_none()));
}
