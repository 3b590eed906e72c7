//! Open-loop load generator over real sockets that checks every response.
//!
//! Request times are independent of earlier responses. Latency is measured from
//! the time at which a request was due, so that the latencies of the requests
//! delayed by a stall include the delay.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, bounded};
use mimosashift::http::completion::{decode_token, encode_text};
use mimosastandin::oracle;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use ureq::Agent;

use crate::report::{Outcome, Report};

/// Interval and timeout of the readiness checks of the routers.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses on which the routers serve callers; the load is spread over
    /// those that are ready.
    pub targets: Vec<SocketAddr>,
    /// Bearer token of the calling team.
    pub token: String,
    /// Requests per second.
    pub rate: f64,
    /// Length of the period over which requests are scheduled.
    pub duration: Duration,
    /// Maximum number of connections. A request waits while all are in use,
    /// and the wait is part of its latency.
    pub connections: usize,
    /// Kind of request that is sent.
    pub workload: Workload,
    /// Seed of the prompts and the arrival times.
    pub seed: u64,
}

/// Kind of request and its parameters.
#[derive(Clone, Debug)]
pub enum Workload {
    /// A streamed completion, checked token by token.
    Completion {
        /// Model name used by callers.
        model: String,
        /// Number of layers of the model.
        layers: u16,
        /// Version of the model.
        version: u32,
        /// Prompt length in tokens.
        prompt_tokens: usize,
        /// Tokens to generate.
        tokens: u32,
    },
    /// A posting with an idempotency key, to a stand-in service.
    Posting {
        /// Name of the service.
        service: String,
        /// Prefix of each body, which distinguishes runs.
        label: String,
    },
}

/// A request and the time at which it is due.
struct ScheduledRequest {
    due_at: Instant,
    number: u64,
}

/// Round-robin load balancer over the routers that are ready.
struct Balancer {
    targets: Vec<SocketAddr>,
    ready: Mutex<Vec<SocketAddr>>,
    next_index: AtomicUsize,
}

/// Sends the configured load and reports the outcomes of all requests.
pub fn run(config: &LoadConfig) -> Report {
    let balancer = Arc::new(Balancer::new(config.targets.clone()));
    let (sender, receiver) = bounded(config.connections * 64);
    let report = Arc::new(Mutex::new(Report::default()));
    let end = Instant::now() + config.duration;
    thread::scope(|scope| {
        scope.spawn(|| balancer.poll_readiness(end));
        for _ in 0..config.connections {
            let (receiver, report) = (receiver.clone(), Arc::clone(&report));
            let balancer = &balancer;
            scope.spawn(move || run_worker(config, balancer, &receiver, &report));
        }
        drop(receiver);
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let mut due_at = Instant::now();
        let mut number = 0;
        while due_at < end {
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            if sender.send(ScheduledRequest { due_at, number }).is_err() {
                break;
            }
            number += 1;
            let interval = -(1.0 - rng.random::<f64>()).ln() / config.rate;
            due_at += Duration::from_secs_f64(interval);
        }
        drop(sender);
    });
    let mut report = std::mem::take(&mut *report.lock().expect("no worker panics"));
    report.seconds = config.duration.as_secs_f64();
    report
}

fn run_worker(
    config: &LoadConfig,
    balancer: &Balancer,
    requests: &Receiver<ScheduledRequest>,
    report: &Mutex<Report>,
) {
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(Duration::from_secs(1)))
        .timeout_global(Some(Duration::from_secs(60)))
        .build()
        .new_agent();
    for request in requests {
        let outcome = match &config.workload {
            Workload::Completion { .. } => complete(config, balancer, &agent, &request, report),
            Workload::Posting { .. } => post(config, balancer, &agent, &request),
        };
        report.lock().expect("no worker panics").record(outcome, request.due_at.elapsed());
    }
}

fn complete(
    config: &LoadConfig,
    balancer: &Balancer,
    agent: &Agent,
    request: &ScheduledRequest,
    report: &Mutex<Report>,
) -> Outcome {
    let Workload::Completion { model, layers, version, prompt_tokens, tokens } = &config.workload
    else {
        return Outcome::Lost;
    };
    let prompt = prompt(config.seed, request.number, *prompt_tokens);
    let body = serde_json::json!({
        "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    let url = format!("http://{}/v1/completions", balancer.next_target());
    let result = agent
        .post(url)
        .header("authorization", format!("Bearer {}", config.token))
        .send(body.to_string());
    let response = match result {
        Ok(response) => response,
        Err(_) => return Outcome::Lost,
    };
    if !response.status().is_success() {
        return error_outcome(response);
    }
    let expected = oracle::generate(*layers, *version, &encode_text(&prompt), *tokens);
    let mut last_token_at = request.due_at;
    let mut text = String::new();
    let mut gaps = Vec::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else { return Outcome::CutShort };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            let expected: String = expected.into_iter().map(decode_token).collect();
            report.lock().expect("no worker panics").record_token_gaps(&gaps);
            return if text == expected { Outcome::Whole } else { Outcome::Wrong };
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event.get("error").is_some() {
            return Outcome::CutShort;
        }
        let token_text = event["choices"][0]["text"].as_str().unwrap_or_default();
        if !token_text.is_empty() {
            gaps.push(last_token_at.elapsed());
            last_token_at = Instant::now();
            text.push_str(token_text);
        }
    }
    Outcome::CutShort
}

fn post(
    config: &LoadConfig,
    balancer: &Balancer,
    agent: &Agent,
    request: &ScheduledRequest,
) -> Outcome {
    let Workload::Posting { service, label } = &config.workload else { return Outcome::Lost };
    let body = format!("{label}-{}", request.number);
    let url = format!("http://{}/services/{service}/postings", balancer.next_target());
    let result = agent
        .post(url)
        .header("authorization", format!("Bearer {}", config.token))
        .header("idempotency-key", &body)
        .send(body.clone());
    match result {
        Ok(response) if response.status().is_success() => Outcome::Whole,
        Ok(response) => error_outcome(response),
        Err(_) => Outcome::Lost,
    }
}

/// Maps an error response to the outcome given by its effect.
fn error_outcome(response: ureq::http::Response<ureq::Body>) -> Outcome {
    let text = response.into_body().read_to_string().unwrap_or_default();
    let problem: Value = serde_json::from_str(&text).unwrap_or_default();
    match problem["effect"].as_str() {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}

/// A prompt that is unique within a run.
fn prompt(seed: u64, number: u64, length: usize) -> String {
    let mut text = format!("{seed}/{number}:");
    while text.len() < length {
        text.push_str(" shade");
    }
    text.truncate(length.max(1));
    text
}

impl Balancer {
    fn new(targets: Vec<SocketAddr>) -> Self {
        Self { ready: Mutex::new(targets.clone()), targets, next_index: AtomicUsize::new(0) }
    }

    fn next_target(&self) -> SocketAddr {
        let ready = self.ready.lock().expect("no worker panics");
        let targets = if ready.is_empty() { &self.targets } else { &*ready };
        targets[self.next_index.fetch_add(1, Ordering::Relaxed) % targets.len()]
    }

    fn poll_readiness(&self, end: Instant) {
        let agent = Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(READINESS_INTERVAL))
            .build()
            .new_agent();
        while Instant::now() < end {
            let is_ready =
                |target: &&SocketAddr| agent.get(format!("http://{target}/readyz")).call().is_ok();
            let ready = self.targets.iter().filter(is_ready).copied().collect();
            *self.ready.lock().expect("no worker panics") = ready;
            thread::sleep(READINESS_INTERVAL);
        }
    }
}
