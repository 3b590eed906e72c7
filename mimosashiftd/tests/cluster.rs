//! Routers as processes, before one platform.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use mimosashift::http::client::{Call, Client, Response, Settings};
use mimosastandin::platform::{self, Fault};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use ureq::http::Method;

/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(60);

/// Times that a router is started when its ports are taken.
const START_TRIES: usize = 5;

const LOOK_INTERVAL: Duration = Duration::from_millis(20);

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const TOKEN: &str = "operator-token";

const DOMAINS: [&str; 2] = ["a", "b"];

struct Router {
    process: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

struct Cluster {
    platform: platform::Instance,
    routers: Vec<Router>,
    client: Client,
}

impl Cluster {
    /// Routers in two failure domains, all ready.
    fn start(routers: usize) -> Self {
        let platform = platform::Instance::start(ANY, platform::Rates::default()).unwrap();
        let client = Client::new(Settings::default());
        let mut cluster = Self { platform, routers: Vec::new(), client };
        for _ in 0..routers {
            cluster.add();
        }
        for index in 0..routers {
            cluster.wait_ready(index);
        }
        cluster
    }

    /// Starts one more router, which greets the first one only.
    ///
    /// Tries again with other ports when some program took one in between.
    fn add(&mut self) -> usize {
        let index = self.routers.len();
        let started = (0..START_TRIES).find_map(|_| self.try_start(index));
        self.routers.push(started.expect("no router started"));
        index
    }

    fn try_start(&self, index: usize) -> Option<Router> {
        let [callers, operators, peers] = [free_address(), free_address(), free_address()];
        let seed = self.routers.first().map_or(String::new(), |first| first.peers.to_string());
        let digest = hex::encode(Sha256::digest(TOKEN));
        let process = Command::new(env!("CARGO_BIN_EXE_mimosashiftd"))
            .env_clear()
            .args([format!("--node=r{index}"), format!("--domain={}", DOMAINS[index % 2])])
            .args(["--region=lk-west".to_owned(), format!("--listen={callers}")])
            .args([format!("--operator-listen={operators}"), format!("--peer-address={peers}")])
            .args([format!("--peers={seed}"), format!("--peer-keys=1:{}", "ab".repeat(32))])
            .arg(format!("--platform-url=http://{}", self.platform.address()))
            .arg(format!("--bootstrap-token-digest={digest}"))
            .arg("--log-level=critical")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let mut router = Router { process, callers, operators, peers };
        let mut ended = false;
        let listens = until(|| {
            ended = router.process.try_wait().unwrap().is_some();
            ended || TcpStream::connect(operators).is_ok()
        });
        (listens && !ended).then_some(router)
    }

    fn send(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let bearer = format!("Bearer {TOKEN}");
        let mut headers = headers.to_vec();
        headers.push(("authorization", &bearer));
        let call = Call {
            address: self.routers[index].operators,
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

    /// What the balancer sees; `None` while the router does not listen yet.
    fn ready(&self, index: usize) -> Option<Response> {
        let call = Call {
            address: self.routers[index].callers,
            method: Method::GET,
            path: "/readyz",
            headers: &[],
            body: &[],
            timeout: CALL_TIMEOUT,
            fresh: true,
        };
        self.client.call(&call).ok()
    }

    /// Waits until a router uses the platform again after an outage.
    fn wait_platform(&self, index: usize) {
        let read = || self.send(index, Method::GET, "/api/v1/audit?limit=1", &[], "");
        wait(&format!("router {index} reads the platform"), || read().status.is_success());
    }

    fn wait_ready(&self, index: usize) {
        let ready = || self.ready(index).is_some_and(|answer| answer.status.is_success());
        wait(&format!("router {index} is ready"), ready);
    }

    /// Declares a priority and returns its revision.
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
        wait(&format!("router {index} installs {revision}"), || self.revision(index) >= revision);
    }

    /// Waits until a router counts `live` live routers, all with the revision.
    fn wait_in_force(&self, index: usize, revision: u64, live: u64) {
        let path = format!("/api/v1/in-force?revision={revision}");
        let mut last = Value::Null;
        let counted = until(|| {
            last = self.get(index, &path)["domains"].take();
            sum(&last, "installed") == live && sum(&last, "live") == live
        });
        assert!(counted, "router {index} counts {last} of revision {revision}");
    }

    /// The ids of changes of a priority in the audit trail.
    fn audited(&self, index: usize, name: &str) -> Vec<String> {
        let audit = self.get(index, &format!("/api/v1/audit?kind=priority&name={name}"));
        let items = audit["items"].as_array().unwrap().iter();
        items.map(|item| item["change"].as_str().unwrap().to_owned()).collect()
    }

    fn signal(&self, index: usize, signal: &str) {
        let id = self.routers[index].process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    fn watch(&self, index: usize, after: u64) -> Watch {
        let mut stream = TcpStream::connect(self.routers[index].operators).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        let head = format!(
            "GET /api/v1/watch?after={after} HTTP/1.1\r\nhost: r\r\n\
             authorization: Bearer {TOKEN}\r\n\r\n"
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

/// An open watch, read as raw lines; headers and chunk lengths are passed over.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn next(&mut self) -> Value {
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the watch ended");
            if line.starts_with('{') {
                return serde_json::from_str(&line).unwrap();
            }
        }
    }

    /// Reads on; returns whether the body ended as whole.
    fn ends_whole(mut self) -> bool {
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
fn platform_outage_refuses_changes_and_keeps_what_is_in_force() {
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
    let fifth = cluster.add();
    cluster.wait_ready(fifth);
    assert_eq!(cluster.get(fifth, "/api/v1/priority/urgent")["spec"]["level"], 0);
    cluster.platform.set_fault(Fault::None);
    cluster.wait_platform(1);
    cluster.wait_platform(fifth);
    // Only a change that was called unknown may have taken effect.
    let found = cluster.audited(1, "later").len();
    assert!(effect == "unknown" || (effect == "not-run" && found == 0), "{effect}, {found} found");
    let after = cluster.put(fifth, "later", 6);
    cluster.wait_revision(0, after);
}

#[test]
fn router_alone_without_platform_refuses() {
    let mut cluster = Cluster::start(0);
    cluster.platform.set_fault(Fault::Down);
    let only = cluster.add();
    wait("the router has asked in vain", || {
        cluster.ready(only).is_some_and(|a| text(&a).contains("neither the table nor a router"))
    });
    let answer = cluster.ready(only).unwrap();
    assert_eq!((answer.status.as_u16(), &json(&answer)["code"]), (503, &json!("not-ready")));
    assert_eq!(json(&answer)["effect"], "not-run");
    cluster.platform.set_fault(Fault::None);
    cluster.wait_ready(only);
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
fn one_of_two_racing_operators_wins() {
    let cluster = Cluster::start(2);
    let first = cluster.put(0, "urgent", 0);
    for round in 0..10 {
        let revision = first + round as u64;
        cluster.wait_revision(1, revision);
        let tag = format!("\"{revision}\"");
        let answers = thread::scope(|scope| {
            let racers = [0, 1].map(|index| {
                let (cluster, tag) = (&cluster, &tag);
                let level = 2 * round + 1 + index;
                scope.spawn(move || cluster.try_put(index, "urgent", level, &[("if-match", tag)]))
            });
            racers.map(|racer| racer.join().unwrap())
        });
        let won = answers.iter().filter(|answer| answer.status.is_success()).count();
        let lost = answers.iter().filter(|answer| answer.status.as_u16() == 412).count();
        assert_eq!((won, lost), (1, 1), "{} {}", text(&answers[0]), text(&answers[1]));
    }
    assert_eq!(cluster.audited(0, "urgent").len(), 11);
}

#[test]
fn lost_answers_are_told_by_the_audit_trail() {
    let cluster = Cluster::start(2);
    cluster.platform.set_fault(Fault::LoseAnswers);
    let told: Vec<Value> =
        (0..5).map(|i| json(&cluster.try_put(i % 2, &format!("p{i}"), 1, &[]))).collect();
    cluster.platform.set_fault(Fault::None);
    cluster.wait_platform(0);
    for (round, answer) in told.iter().enumerate() {
        let found = cluster.audited(0, &format!("p{round}"));
        assert!(found.len() <= 1, "change {round} took effect {} times", found.len());
        if let Some(change) = answer["change"].as_str() {
            assert_eq!(found, [change], "a change reported done is in the trail");
            continue;
        }
        if answer["effect"] == "not-run" {
            assert!(found.is_empty(), "change {round} was refused, and the trail has {found:?}");
            continue;
        }
        assert_eq!(answer["effect"], "unknown", "{answer}");
        let detail = answer["detail"].as_str().unwrap();
        assert!(found.iter().all(|id| detail.contains(id)), "{detail} names {found:?}");
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
    assert!(resumed.ends_whole());
}

#[test]
fn watch_from_a_forgotten_revision_is_gone() {
    let mut cluster = Cluster::start(1);
    cluster.put(0, "urgent", 0);
    let revision = cluster.put(0, "urgent", 1);
    // The second router hears nobody: it loads the resources from the table
    // and has no records of what came before.
    cluster.signal(0, "-STOP");
    let late = cluster.add();
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

/// Prints what an idle cluster costs; only the absence of writes is a rule.
#[test]
fn idle_cluster_writes_nothing() {
    const MEASURED: Duration = Duration::from_secs(10);
    let cluster = Cluster::start(4);
    let revision = cluster.put(0, "urgent", 0);
    cluster.wait_in_force(0, revision, 4);
    let sent = |index| cluster.get(index, "/api/v1/status")["peers"]["sent_bytes"].as_u64();
    let (before, bytes) = (cluster.platform.counts(), [0, 1, 2, 3].map(sent));
    thread::sleep(MEASURED);
    let (after, bytes_after) = (cluster.platform.counts(), [0, 1, 2, 3].map(sent));
    let seconds = MEASURED.as_secs_f64();
    let reads = (after.reads - before.reads) as f64 / seconds;
    let rates: Vec<f64> = bytes_after
        .iter()
        .zip(bytes)
        .map(|(after, before)| (after.unwrap() - before.unwrap()) as f64 / seconds)
        .collect();
    eprintln!("idle: {reads} table reads/s, bytes sent to peers/s by router: {rates:?}");
    assert_eq!(after.rows_written, before.rows_written);
}

/// Waits until `condition` holds; false when that takes too long.
fn until(mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + LIMIT;
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(LOOK_INTERVAL);
    }
    true
}

fn wait(what: &str, condition: impl FnMut() -> bool) {
    assert!(until(condition), "gave up waiting until {what}");
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

/// An address free for datagrams and connections.
fn free_address() -> SocketAddr {
    loop {
        let address = TcpListener::bind(ANY).unwrap().local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
