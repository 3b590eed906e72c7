//! Starts router processes; the platform and a service run in the test process.

#![allow(dead_code)] // Each test binary uses only some of these items.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hyper::Method;
use mimosashift::http::client::{Call, Client, Failure, Response};
use mimosastandin::testbed::free_address;
use mimosastandin::{platform, service};
use serde_json::Value;
use sha2::{Digest, Sha256};

const EPHEMERAL: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OPERATOR_TOKEN: &str = "operator-token";
pub const CALLER_TOKEN: &str = "caller-token";

/// Time limit for the start of a router and for calls to its operator API.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Attempts to start a router; another process may take a port in between.
const START_ATTEMPTS: usize = 5;

/// Pause between two attempts of a caller.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Routers with their platform and service.
pub struct Cluster {
    pub platform: platform::Instance,
    pub service: service::Instance,
    pub routers: Vec<Router>,
    client: Client,
}

/// A router process, killed on drop.
pub struct Router {
    child: Child,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
}

/// Result that a caller sees for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Success,
    Replayed,
    NotRun,
    Unknown,
    Mismatch,
}

/// One posting and the result of each attempt.
pub struct History {
    pub body: String,
    pub replies: Vec<Reply>,
}

/// Parameters of a load of concurrent callers.
#[derive(Clone, Copy)]
pub struct Load {
    pub callers: usize,
    pub postings: usize,
    pub max_attempts: usize,
    pub timeout: Duration,
}

/// Numbers of postings by what callers saw and what ran.
#[derive(Debug, Default)]
pub struct Counts {
    pub posted: usize,
    pub run: usize,
    pub duplicated: usize,
    pub lost: usize,
    pub refused: usize,
    pub unknown: usize,
    /// Every attempt reported `not-run`, but the posting ran.
    pub false_not_run: usize,
}

impl Cluster {
    /// Starts routers and configures one service.
    pub fn start(routers: usize) -> Self {
        let platform = platform::Instance::start(EPHEMERAL, platform::Rates::default()).unwrap();
        let service = service::Instance::start(EPHEMERAL).unwrap();
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
        let digest = hex::encode(Sha256::digest(CALLER_TOKEN));
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
            let answer = self.call_operator_api(router, Method::PUT, &path, spec);
            assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
        }
    }

    /// Starts another instance of the service and declares it on all routers.
    pub fn add_endpoint(&self, number: usize) -> service::Instance {
        let service = service::Instance::start(EPHEMERAL).unwrap();
        let address = service.address();
        let endpoint =
            format!(r#"{{"address":"{address}","domain":"a","role":{{"service":"register"}}}}"#);
        let path = format!("/api/v1/endpoint/register-{number}");
        for router in &self.routers {
            let answer = self.call_operator_api(router, Method::PUT, &path, &endpoint);
            assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
        }
        service
    }

    /// Sends an idempotent call with `body` through the first router.
    pub fn put(&self, body: &str, timeout: Duration) -> Result<Response, Failure> {
        self.call_service(0, Method::PUT, None, body, timeout)
    }

    /// Calls the operator API of a router.
    pub fn call_operator_api(
        &self,
        router: &Router,
        method: Method,
        path: &str,
        body: &str,
    ) -> Response {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let call = Call {
            address: router.operator_address,
            method,
            path,
            headers: &[("authorization", &authorization)],
            body: body.as_bytes(),
            timeout: START_TIMEOUT,
            fresh: true,
        };
        self.client.call(&call).unwrap()
    }

    /// Sends a posting with `body` through one router.
    pub fn post(
        &self,
        router: usize,
        key: Option<&str>,
        body: &str,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        self.call_service(router, Method::POST, key, body, timeout)
    }

    fn call_service(
        &self,
        router: usize,
        method: Method,
        key: Option<&str>,
        body: &str,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let authorization = format!("Bearer {CALLER_TOKEN}");
        let mut headers = vec![("authorization", authorization.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        self.client.call(&Call {
            address: self.routers[router].caller_address,
            method,
            path: "/services/register/adjustments",
            headers: &headers,
            body: body.as_bytes(),
            timeout,
            fresh: true,
        })
    }

    /// Retries a posting until it has run, at the next router after each failure.
    pub fn post_until_run(&self, first: usize, body: &str, load: Load) -> History {
        let mut replies = Vec::new();
        for attempt in 0..load.max_attempts {
            let router = (first + attempt) % self.routers.len();
            replies.push(classify(&self.post(router, Some(body), body, load.timeout)));
            if matches!(replies.last(), Some(Reply::Success | Reply::Replayed)) {
                break;
            }
            thread::sleep(RETRY_PAUSE);
        }
        History { body: body.to_owned(), replies }
    }

    /// Runs concurrent callers while `inject_faults` runs.
    pub fn load(&self, load: Load, inject_faults: impl FnOnce()) -> Vec<History> {
        run(load, inject_faults, |caller, body| self.post_until_run(caller, &body, load))
    }

    /// Number of postings that have run so far.
    pub fn run_count(&self) -> usize {
        self.service.runs().len()
    }
}

impl Router {
    /// Starts a router; retries if another process takes its ports.
    fn start(number: usize, platform: &str) -> Self {
        let started = (0..START_ATTEMPTS).find_map(|_| Self::try_start(number, platform));
        started.expect("the router did not start")
    }

    fn try_start(number: usize, platform: &str) -> Option<Self> {
        let digest = hex::encode(Sha256::digest(OPERATOR_TOKEN));
        let [caller_address, operator_address, peer_address] =
            [(); 3].map(|()| free_address().unwrap());
        let mut child = Command::new(env!("CARGO_BIN_EXE_mimosashiftd"))
            .args(["--node", &format!("r{number}"), "--domain", "a", "--region", "lk-west"])
            .args([
                "--listen",
                &caller_address.to_string(),
                "--operator-listen",
                &operator_address.to_string(),
            ])
            .args(["--peer-address", &peer_address.to_string(), "--platform-url", platform])
            .args(["--bootstrap-token-digest", &digest, "--log-form", "json"])
            .args(["--drain-ms", "20000"])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (listening_sender, listening_events) = mpsc::channel();
        // Keeps reading, so that the router does not block on a full pipe.
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line.contains("\"listening\"") {
                    let _ = listening_sender.send(());
                }
            }
        });
        let router = Self { child, caller_address, operator_address };
        for _api in 0..2 {
            listening_events.recv_timeout(START_TIMEOUT).ok()?;
        }
        Some(router)
    }

    /// Address of the API for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Sends a signal, for example `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Counts {
    /// Compares what callers saw with what ran.
    pub fn new(histories: &[History], runs: &BTreeMap<String, u64>) -> Self {
        let mut counts = Self { posted: histories.len(), ..Self::default() };
        for history in histories {
            let ran = runs.get(&history.body).copied().unwrap_or(0);
            let last = history.replies.last().copied();
            let succeeded = matches!(last, Some(Reply::Success | Reply::Replayed));
            let never_run = history.replies.iter().all(|reply| *reply == Reply::NotRun);
            counts.run += usize::from(ran > 0);
            counts.duplicated += usize::from(ran > 1);
            counts.lost += usize::from(succeeded && ran == 0);
            counts.refused += usize::from(last == Some(Reply::NotRun));
            counts.unknown += usize::from(last == Some(Reply::Unknown));
            counts.false_not_run += usize::from(never_run && ran > 0);
        }
        counts
    }

    /// Asserts that no posting ran twice, was lost, or ran although it was
    /// reported as not run.
    pub fn assert_consistent(&self) {
        assert_eq!((self.duplicated, self.lost, self.false_not_run), (0, 0, 0), "{self:?}");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Classifies a response as the caller sees it.
pub fn classify(answer: &Result<Response, Failure>) -> Reply {
    let answer = match answer {
        Ok(answer) => answer,
        Err(Failure::NotSent { .. }) => return Reply::NotRun,
        Err(Failure::Lost { .. }) => return Reply::Unknown,
    };
    if answer.status.is_success() {
        let replayed = answer.header("idempotency-replayed") == Some("true");
        return if replayed { Reply::Replayed } else { Reply::Success };
    }
    let problem: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match (problem["code"].as_str(), problem["effect"].as_str()) {
        (Some("posting-mismatch"), _) => Reply::Mismatch,
        (_, Some("not-run")) => Reply::NotRun,
        _ => Reply::Unknown,
    }
}

/// Sends postings directly to the service and repeats them when a response is
/// lost, like a router without claims.
pub fn post_without_claims(
    service: &service::Instance,
    load: Load,
    inject_faults: impl FnOnce(),
) -> Vec<History> {
    let client = Client::new(Default::default());
    run(load, inject_faults, |_, body| {
        let body = format!("naive-{body}");
        let mut replies = Vec::new();
        while replies.len() < load.max_attempts && !replies.contains(&Reply::Success) {
            let sent = client.call(&Call {
                address: service.address(),
                method: Method::POST,
                path: "/adjustments",
                headers: &[],
                body: body.as_bytes(),
                timeout: load.timeout,
                fresh: true,
            });
            replies.push(classify(&sent));
        }
        History { body, replies }
    })
}

/// Runs concurrent callers with distinct bodies while `inject_faults` runs.
fn run(
    load: Load,
    inject_faults: impl FnOnce(),
    post: impl Fn(usize, String) -> History + Sync,
) -> Vec<History> {
    let post = &post;
    let caller = |caller| {
        let body = |n| format!("posting-{caller}-{n}");
        (0..load.postings).map(|n| post(caller, body(n))).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..load.callers).map(|n| scope.spawn(move || caller(n))).collect();
        inject_faults();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}
