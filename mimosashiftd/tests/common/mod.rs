//! Routers as processes before a platform and a service in the test process.

#![allow(dead_code)] // Each test program uses a part of it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hyper::Method;
use mimosashift::http::client::{Call, Client, Failure, Response};
use mimosastandin::{platform, service};
use serde_json::Value;
use sha2::{Digest, Sha256};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OPERATOR: &str = "operator-token";
pub const CALLER: &str = "caller-token";

/// Time for a router to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Times that a router is started when its ports are taken.
const START_TRIES: usize = 5;

/// Pause between two tries of a caller.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Routers and what stands around them.
pub struct Cluster {
    pub platform: platform::Instance,
    pub service: service::Instance,
    pub routers: Vec<Router>,
    client: Client,
}

/// A router process; killed when it is dropped.
pub struct Router {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

/// What a caller was told about one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    Success,
    Replayed,
    NotRun,
    Unknown,
    Mismatch,
}

/// One posting and what each of its tries was told.
pub struct History {
    pub body: String,
    pub said: Vec<Said>,
}

/// How callers post.
#[derive(Clone, Copy)]
pub struct Load {
    pub callers: usize,
    pub postings: usize,
    pub tries: usize,
    pub timeout: Duration,
}

/// What became of a number of postings.
#[derive(Debug, Default)]
pub struct Counts {
    pub posted: usize,
    pub run: usize,
    pub doubled: usize,
    pub lost: usize,
    pub refused: usize,
    pub unknown: usize,
    /// Every try was told `not-run`, and it ran.
    pub false_not_run: usize,
}

impl Cluster {
    /// Starts routers that have installed one service.
    pub fn start(routers: usize) -> Self {
        let platform = platform::Instance::start(ANY, platform::Rates::default()).unwrap();
        let service = service::Instance::start(ANY).unwrap();
        let url = format!("http://{}", platform.address());
        let routers = (0..routers).map(|n| Router::start(n, &url)).collect();
        let client = Client::new(Default::default());
        let cluster = Self { platform, service, routers, client };
        for router in &cluster.routers {
            cluster.configure(router);
        }
        cluster
    }

    fn configure(&self, router: &Router) {
        let digest = hex::encode(Sha256::digest(CALLER));
        let team = format!(r#"{{"priority":"urgent","token_digests":["{digest}"]}}"#);
        let address = self.service.address();
        let endpoint =
            format!(r#"{{"address":"{address}","domain":"a","role":{{"service":"register"}}}}"#);
        for (path, spec) in [
            ("priority/urgent", r#"{"level":0}"#),
            ("team/officers", &team),
            ("service/register", "{}"),
            ("endpoint/register-1", &endpoint),
        ] {
            let path = format!("/api/v1/{path}");
            let answer = self.operate(router, Method::PUT, &path, spec);
            assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
        }
    }

    /// Calls a router as its operator.
    pub fn operate(&self, router: &Router, method: Method, path: &str, body: &str) -> Response {
        let authorization = format!("Bearer {OPERATOR}");
        let call = Call {
            address: router.operators,
            method,
            path,
            headers: &[("authorization", &authorization)],
            body: body.as_bytes(),
            timeout: START_TIMEOUT,
            fresh: true,
        };
        self.client.call(&call).unwrap()
    }

    /// Posts `body` through one router.
    pub fn post(
        &self,
        router: usize,
        key: Option<&str>,
        body: &str,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let authorization = format!("Bearer {CALLER}");
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        self.client.call(&Call {
            address: self.routers[router].callers,
            method: Method::POST,
            path: "/services/register/adjustments",
            headers: &headers,
            body: body.as_bytes(),
            timeout,
            fresh: true,
        })
    }

    /// Posts until the posting has run, at the next router after each failure.
    pub fn post_until_run(&self, first: usize, body: &str, load: Load) -> History {
        let mut said = Vec::new();
        for attempt in 0..load.tries {
            let router = (first + attempt) % self.routers.len();
            said.push(told(&self.post(router, Some(body), body, load.timeout)));
            if matches!(said.last(), Some(Said::Success | Said::Replayed)) {
                break;
            }
            thread::sleep(RETRY_PAUSE);
        }
        History { body: body.to_owned(), said }
    }

    /// Posts from several callers at once while `disturb` runs.
    pub fn load(&self, load: Load, disturb: impl FnOnce()) -> Vec<History> {
        run(load, disturb, |caller, body| self.post_until_run(caller, &body, load))
    }

    /// Postings that have run so far.
    pub fn run_count(&self) -> usize {
        self.service.runs().len()
    }
}

impl Router {
    /// Starts a router; tries again when another process takes its ports.
    fn start(number: usize, platform: &str) -> Self {
        let started = (0..START_TRIES).find_map(|_| Self::try_start(number, platform));
        started.expect("no router started")
    }

    fn try_start(number: usize, platform: &str) -> Option<Self> {
        let digest = hex::encode(Sha256::digest(OPERATOR));
        let [callers, operators, peer] = free_ports();
        let mut child = Command::new(env!("CARGO_BIN_EXE_mimosashiftd"))
            .args(["--node", &format!("r{number}"), "--domain", "a", "--region", "lk-west"])
            .args(["--listen", &callers.to_string(), "--operator-listen", &operators.to_string()])
            .args(["--peer-address", &peer.to_string(), "--platform-url", platform])
            .args(["--bootstrap-token-digest", &digest, "--log-form", "json"])
            .args(["--drain-ms", "20000"])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (listening, listens) = mpsc::channel();
        // Reads on, so that the router never waits for its log.
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line.contains("\"listening\"") {
                    let _ = listening.send(());
                }
            }
        });
        let router = Self { child, callers, operators };
        for _surface in 0..2 {
            listens.recv_timeout(START_TIMEOUT).ok()?;
        }
        Some(router)
    }

    /// Where callers connect.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Sends a signal, for example `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the process has ended and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Counts {
    /// Counts what callers were told beside what ran.
    pub fn new(histories: &[History], runs: &BTreeMap<String, u64>) -> Self {
        let mut counts = Self { posted: histories.len(), ..Self::default() };
        for history in histories {
            let ran = runs.get(&history.body).copied().unwrap_or(0);
            let last = history.said.last().copied();
            let succeeded = matches!(last, Some(Said::Success | Said::Replayed));
            let never_run = history.said.iter().all(|said| *said == Said::NotRun);
            counts.run += usize::from(ran > 0);
            counts.doubled += usize::from(ran > 1);
            counts.lost += usize::from(succeeded && ran == 0);
            counts.refused += usize::from(last == Some(Said::NotRun));
            counts.unknown += usize::from(last == Some(Said::Unknown));
            counts.false_not_run += usize::from(never_run && ran > 0);
        }
        counts
    }

    /// Checks what must hold whatever fails.
    pub fn assert_true(&self) {
        assert_eq!((self.doubled, self.lost, self.false_not_run), (0, 0, 0), "{self:?}");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Addresses on which nothing listens.
fn free_ports() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind(ANY).unwrap());
    listeners.each_ref().map(|listener| listener.local_addr().unwrap())
}

/// What an answer tells the caller.
pub fn told(answer: &Result<Response, Failure>) -> Said {
    let answer = match answer {
        Ok(answer) => answer,
        Err(Failure::NotSent { .. }) => return Said::NotRun,
        Err(Failure::Lost { .. }) => return Said::Unknown,
    };
    if answer.status.is_success() {
        let replayed = answer.header("idempotency-replayed") == Some("true");
        return if replayed { Said::Replayed } else { Said::Success };
    }
    let problem: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match (problem["code"].as_str(), problem["effect"].as_str()) {
        (Some("posting-mismatch"), _) => Said::Mismatch,
        (_, Some("not-run")) => Said::NotRun,
        _ => Said::Unknown,
    }
}

/// Posts straight to the service and sends again whenever an answer is lost,
/// as a router without claims would.
pub fn naive(service: &service::Instance, load: Load, disturb: impl FnOnce()) -> Vec<History> {
    let client = Client::new(Default::default());
    run(load, disturb, |_, body| {
        let body = format!("naive-{body}");
        let mut said = Vec::new();
        while said.len() < load.tries && !said.contains(&Said::Success) {
            let sent = client.call(&Call {
                address: service.address(),
                method: Method::POST,
                path: "/adjustments",
                headers: &[],
                body: body.as_bytes(),
                timeout: load.timeout,
                fresh: true,
            });
            said.push(told(&sent));
        }
        History { body, said }
    })
}

/// Runs callers at once, each with bodies of its own, while `disturb` runs.
fn run(
    load: Load,
    disturb: impl FnOnce(),
    post: impl Fn(usize, String) -> History + Sync,
) -> Vec<History> {
    let post = &post;
    let caller = |caller| {
        let body = |n| format!("posting-{caller}-{n}");
        (0..load.postings).map(|n| post(caller, body(n))).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..load.callers).map(|n| scope.spawn(move || caller(n))).collect();
        disturb();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}
