//! Tests of router processes that share one platform.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use mimosashift::http::client::{Call, Client, Response, Settings};
use mimosastandin::platform::{self, Fault};
use mimosastandin::testbed::free_address;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use ureq::http::Method;

/// Time limit for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Attempts to start a router; another process may take a port in between.
const START_ATTEMPTS: usize = 5;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

const EPHEMERAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const OPERATOR_TOKEN: &str = "operator-token";

const DOMAINS: [&str; 2] = ["a", "b"];

struct Router {
    process: Child,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
}

struct Cluster {
    platform: platform::Instance,
    routers: Vec<Router>,
    client: Client,
}

impl Cluster {
    /// Starts routers in two failure domains and waits until all are ready.
    fn start(routers: usize) -> Self {
        let platform = platform::Instance::start(EPHEMERAL, platform::Rates::default()).unwrap();
        let client = Client::new(Settings::default());
        let mut cluster = Self { platform, routers: Vec::new(), client };
        for _ in 0..routers {
            cluster.start_router();
        }
        for index in 0..routers {
            cluster.wait_ready(index);
        }
        cluster
    }

    /// Starts another router, whose only initial peer is the first one.
    ///
    /// Retries with other ports if another process took one in between.
    fn start_router(&mut self) -> usize {
        let index = self.routers.len();
        let started = (0..START_ATTEMPTS).find_map(|_| self.try_start_router(index));
        self.routers.push(started.expect("the router did not start"));
        index
    }

    fn try_start_router(&self, index: usize) -> Option<Router> {
        let [caller_address, operator_address, peer_address] =
            [(); 3].map(|()| free_address().unwrap());
        let seed =
            self.routers.first().map_or(String::new(), |first| first.peer_address.to_string());
        let digest = hex::encode(Sha256::digest(OPERATOR_TOKEN));
        let process = Command::new(env!("CARGO_BIN_EXE_mimosashiftd"))
            .env_clear()
            .args([format!("--node=r{index}"), format!("--domain={}", DOMAINS[index % 2])])
            .args(["--region=lk-west".to_owned(), format!("--listen={caller_address}")])
            .args([
                format!("--operator-listen={operator_address}"),
                format!("--peer-address={peer_address}"),
            ])
            .args([format!("--peers={seed}"), format!("--peer-keys=1:{}", "ab".repeat(32))])
            .arg(format!("--platform-url=http://{}", self.platform.address()))
            .arg(format!("--bootstrap-token-digest={digest}"))
            .arg("--log-level=critical")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let mut router = Router { process, caller_address, operator_address, peer_address };
        let mut exited = false;
        let listens = wait_until(|| {
            exited = router.process.try_wait().unwrap().is_some();
            exited || TcpStream::connect(operator_address).is_ok()
        });
        (listens && !exited).then_some(router)
    }

    fn send(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let mut headers = headers.to_vec();
        headers.push(("authorization", &bearer));
        let call = Call {
            address: self.routers[index].operator_address,
            method,
            path,
            headers: &headers,
            body: body.as_bytes(),
            timeout: CALL_TIMEOUT,
            fresh: true,
        };
        self.client.call(&call).unwrap()
    }

    fn get(&self, index: usize, path: &str) -> Value {
        let answer = self.send(index, Method::GET, path, &[], "");
        assert!(answer.status.is_success(), "{path}: {}", text(&answer));
        json(&answer)
    }

    /// Response of `/readyz`, as a load balancer sees it; `None` before the
    /// router listens.
    fn readiness(&self, index: usize) -> Option<Response> {
        let call = Call {
            address: self.routers[index].caller_address,
            method: Method::GET,
            path: "/readyz",
            headers: &[],
            body: &[],
            timeout: CALL_TIMEOUT,
            fresh: true,
        };
        self.client.call(&call).ok()
    }

    /// Waits until a router can read from the platform again after an outage.
    fn wait_platform(&self, index: usize) {
        let read = || self.send(index, Method::GET, "/api/v1/audit?limit=1", &[], "");
        wait_for(&format!("router {index} reads the platform"), || read().status.is_success());
    }

    fn wait_ready(&self, index: usize) {
        let ready = || self.readiness(index).is_some_and(|answer| answer.status.is_success());
        wait_for(&format!("router {index} is ready"), ready);
    }

    /// Stores a priority and returns its revision.
    fn put(&self, index: usize, name: &str, level: usize) -> u64 {
        let answer = self.try_put(index, name, level, &[]);
        assert!(answer.status.is_success(), "{}", text(&answer));
        json(&answer)["revision"].as_u64().unwrap()
    }

    fn try_put(
        &self,
        index: usize,
        name: &str,
        level: usize,
        headers: &[(&str, &str)],
    ) -> Response {
        let path = format!("/api/v1/priority/{name}");
        let body = json!({"level": level}).to_string();
        self.send(index, Method::PUT, &path, headers, &body)
    }

    fn revision(&self, index: usize) -> u64 {
        self.get(index, "/api/v1/status")["revision"].as_u64().unwrap()
    }

    fn wait_revision(&self, index: usize, revision: u64) {
        wait_for(&format!("router {index} installs {revision}"), || {
            self.revision(index) >= revision
        });
    }

    /// Waits until a router counts `live` live routers, all with the revision
    /// installed.
    fn wait_in_force(&self, index: usize, revision: u64, live: u64) {
        let path = format!("/api/v1/in-force?revision={revision}");
        let mut last = Value::Null;
        let counted = wait_until(|| {
            last = self.get(index, &path)["domains"].take();
            sum(&last, "installed") == live && sum(&last, "live") == live
        });
        assert!(counted, "router {index}: revision {revision} is installed on {last}");
    }

    /// Ids of the changes of a priority in the audit trail.
    fn audited_changes(&self, index: usize, name: &str) -> Vec<String> {
        let audit = self.get(index, &format!("/api/v1/audit?kind=priority&name={name}"));
        let items = audit["items"].as_array().unwrap().iter();
        items.map(|item| item["change"].as_str().unwrap().to_owned()).collect()
    }

    fn signal(&self, index: usize, signal: &str) {
        let id = self.routers[index].process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    fn watch(&self, index: usize, after: u64) -> Watch {
        let mut stream = TcpStream::connect(self.routers[index].operator_address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let head = format!(
            "GET /api/v1/watch?after={after} HTTP/1.1\r\nhost: r\r\n\
             authorization: Bearer {OPERATOR_TOKEN}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        Watch(BufReader::new(stream))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.process.kill();
            let _ = router.process.wait();
        }
    }
}

/// An open watch, read line by line; headers and chunk lengths are skipped.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn next(&mut self) -> Value {
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the watch stream ended");
            if line.starts_with('{') {
                return serde_json::from_str(&line).unwrap();
            }
        }
    }

    /// Reads the rest; returns whether the chunked body ended with its last chunk.
    fn ends_with_last_chunk(mut self) -> bool {
        let mut rest = String::new();
        let _ = self.0.read_to_string(&mut rest);
        rest.ends_with("0\r\n\r\n")
    }
}

#[test]
fn change_is_in_force_on_every_router() {
    let cluster = Cluster::start(4);
    cluster.wait_in_force(0, 0, 4);
    let start = Instant::now();
    let revision = cluster.put(0, "urgent", 0);
    for index in 0..4 {
        cluster.wait_revision(index, revision);
    }
    let installed = start.elapsed();
    for index in 0..4 {
        cluster.wait_in_force(index, revision, 4);
    }
    eprintln!("installed on 4 routers after {installed:?}, counted by all {:?}", start.elapsed());
    let answer = cluster.send(3, Method::GET, "/api/v1/priority/urgent", &[], "");
    assert_eq!(answer.header("etag"), Some(format!("\"{revision}\"").as_str()));
    let shown = json(&answer);
    assert_eq!(shown["status"]["accepted"], revision);
    assert_eq!(sum(&shown["status"]["in_force"], "installed"), 4);
}

#[test]
fn platform_outage_refuses_changes_and_keeps_the_configuration() {
    let mut cluster = Cluster::start(4);
    let revision = cluster.put(0, "urgent", 0);
    for index in 0..4 {
        cluster.wait_revision(index, revision);
    }
    cluster.platform.set_fault(Fault::Down);
    let refused = cluster.try_put(1, "later", 5, &[]);
    assert_eq!(refused.status.as_u16(), 503, "{}", text(&refused));
    let effect = json(&refused)["effect"].clone();
    assert_eq!(cluster.get(1, "/api/v1/priority/urgent")["spec"]["level"], 0);
    let added = cluster.start_router();
    cluster.wait_ready(added);
    assert_eq!(cluster.get(added, "/api/v1/priority/urgent")["spec"]["level"], 0);
    cluster.platform.set_fault(Fault::None);
    cluster.wait_platform(1);
    cluster.wait_platform(added);
    // Only a change with the effect `unknown` may have taken effect.
    let recorded = cluster.audited_changes(1, "later").len();
    assert!(
        effect == "unknown" || (effect == "not-run" && recorded == 0),
        "{effect}, {recorded} found"
    );
    let after = cluster.put(added, "later", 6);
    cluster.wait_revision(0, after);
}

#[test]
fn single_router_without_platform_is_not_ready() {
    let mut cluster = Cluster::start(0);
    cluster.platform.set_fault(Fault::Down);
    let router = cluster.start_router();
    wait_for("the router finds no configuration source", || {
        cluster
            .readiness(router)
            .is_some_and(|a| text(&a).contains("neither the table nor a router"))
    });
    let answer = cluster.readiness(router).unwrap();
    assert_eq!((answer.status.as_u16(), &json(&answer)["code"]), (503, &json!("not-ready")));
    assert_eq!(json(&answer)["effect"], "not-run");
    cluster.platform.set_fault(Fault::None);
    cluster.wait_ready(router);
}

#[test]
fn paused_router_catches_up() {
    let cluster = Cluster::start(4);
    cluster.signal(2, "-STOP");
    cluster.put(0, "urgent", 0);
    let revision = cluster.put(1, "urgent", 1);
    cluster.wait_revision(3, revision);
    cluster.signal(2, "-CONT");
    cluster.wait_revision(2, revision);
    cluster.wait_in_force(0, revision, 4);
}

#[test]
fn one_of_two_concurrent_changes_is_committed() {
    let cluster = Cluster::start(2);
    let first = cluster.put(0, "urgent", 0);
    for round in 0..10 {
        let revision = first + round as u64;
        cluster.wait_revision(1, revision);
        let tag = format!("\"{revision}\"");
        let answers = thread::scope(|scope| {
            let changes = [0, 1].map(|index| {
                let (cluster, tag) = (&cluster, &tag);
                let level = 2 * round + 1 + index;
                scope.spawn(move || cluster.try_put(index, "urgent", level, &[("if-match", tag)]))
            });
            changes.map(|change| change.join().unwrap())
        });
        let won = answers.iter().filter(|answer| answer.status.is_success()).count();
        let lost = answers.iter().filter(|answer| answer.status.as_u16() == 412).count();
        assert_eq!((won, lost), (1, 1), "{} {}", text(&answers[0]), text(&answers[1]));
    }
    assert_eq!(cluster.audited_changes(0, "urgent").len(), 11);
}

#[test]
fn lost_answers_agree_with_the_audit_trail() {
    let cluster = Cluster::start(2);
    cluster.platform.set_fault(Fault::LoseAnswers);
    let answers: Vec<Value> =
        (0..5).map(|i| json(&cluster.try_put(i % 2, &format!("p{i}"), 1, &[]))).collect();
    cluster.platform.set_fault(Fault::None);
    cluster.wait_platform(0);
    for (round, answer) in answers.iter().enumerate() {
        let recorded = cluster.audited_changes(0, &format!("p{round}"));
        assert!(recorded.len() <= 1, "change {round} took effect {} times", recorded.len());
        if let Some(change) = answer["change"].as_str() {
            assert_eq!(recorded, [change], "an accepted change is not in the audit trail");
            continue;
        }
        if answer["effect"] == "not-run" {
            assert!(
                recorded.is_empty(),
                "change {round} was reported not run, but the audit trail has {recorded:?}"
            );
            continue;
        }
        assert_eq!(answer["effect"], "unknown", "{answer}");
        let detail = answer["detail"].as_str().unwrap();
        assert!(
            recorded.iter().all(|id| detail.contains(id)),
            "{detail} does not name {recorded:?}"
        );
    }
}

#[test]
fn watch_resumes_and_ends_on_drain() {
    let cluster = Cluster::start(2);
    let first = cluster.put(0, "urgent", 0);
    let mut watch = cluster.watch(0, 0);
    assert_eq!(watch.next()["revision"], first);
    let second = cluster.put(1, "urgent", 1);
    assert_eq!(watch.next()["revision"], second);
    drop(watch);
    let third = cluster.put(0, "urgent", 2);
    let mut resumed = cluster.watch(1, second);
    let change = resumed.next();
    assert_eq!((&change["revision"], &change["spec"]["level"]), (&json!(third), &json!(2)));
    cluster.signal(1, "-TERM");
    assert!(resumed.ends_with_last_chunk());
}

#[test]
fn watch_from_an_unavailable_revision_is_gone() {
    let mut cluster = Cluster::start(1);
    cluster.put(0, "urgent", 0);
    let revision = cluster.put(0, "urgent", 1);
    // The second router reaches no peer: it loads the resources from the table
    // and has no records of earlier revisions.
    cluster.signal(0, "-STOP");
    let late = cluster.start_router();
    cluster.wait_ready(late);
    assert_eq!(cluster.revision(late), revision);
    let answer = cluster.send(late, Method::GET, "/api/v1/watch?after=1", &[], "");
    assert_eq!((answer.status.as_u16(), &json(&answer)["code"]), (410, &json!("gone")));
    assert!(text(&answer).contains(&format!("the current is {revision}")), "{}", text(&answer));
}

#[test]
fn killed_router_is_no_longer_live() {
    let mut cluster = Cluster::start(4);
    let revision = cluster.put(0, "urgent", 0);
    cluster.wait_in_force(0, revision, 4);
    cluster.routers[2].process.kill().unwrap();
    cluster.routers[2].process.wait().unwrap();
    for index in [0, 1, 3] {
        cluster.wait_in_force(index, revision, 3);
    }
}

#[test]
fn drained_router_leaves_and_exits_cleanly() {
    let mut cluster = Cluster::start(2);
    cluster.wait_in_force(0, 0, 2);
    let answer = cluster.send(1, Method::POST, "/api/v1/drain", &[], "");
    assert_eq!(answer.status.as_u16(), 202);
    assert!(cluster.routers[1].process.wait().unwrap().success());
    let status = cluster.get(0, "/api/v1/status");
    assert_eq!(status["members"][0]["liveness"], "leaving");
    cluster.wait_in_force(0, 0, 1);
}

/// An idle cluster must not write to the table. The read rate and peer traffic
/// are printed but not checked.
#[test]
fn idle_cluster_writes_nothing() {
    const MEASURE_TIME: Duration = Duration::from_secs(10);
    let cluster = Cluster::start(4);
    let revision = cluster.put(0, "urgent", 0);
    cluster.wait_in_force(0, revision, 4);
    let sent = |index| cluster.get(index, "/api/v1/status")["peers"]["sent_bytes"].as_u64();
    let (before, bytes) = (cluster.platform.counts(), [0, 1, 2, 3].map(sent));
    thread::sleep(MEASURE_TIME);
    let (after, bytes_after) = (cluster.platform.counts(), [0, 1, 2, 3].map(sent));
    let seconds = MEASURE_TIME.as_secs_f64();
    let reads = (after.reads - before.reads) as f64 / seconds;
    let rates: Vec<f64> = bytes_after
        .iter()
        .zip(bytes)
        .map(|(after, before)| (after.unwrap() - before.unwrap()) as f64 / seconds)
        .collect();
    eprintln!("idle: {reads} table reads/s, bytes sent to peers/s by router: {rates:?}");
    assert_eq!(after.rows_written, before.rows_written);
}

/// Waits until `condition` holds; returns whether it did within the time limit.
fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

fn wait_for(what: &str, condition: impl FnMut() -> bool) {
    assert!(wait_until(condition), "timed out waiting until {what}");
}

fn sum(domains: &Value, field: &str) -> u64 {
    domains.as_object().unwrap().values().map(|domain| domain[field].as_u64().unwrap()).sum()
}

fn json(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).unwrap()
}

fn text(answer: &Response) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}
