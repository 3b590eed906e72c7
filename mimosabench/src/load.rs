//! Open-loop load over real sockets, with every answer checked.
//!
//! Requests are due at times that do not depend on earlier answers; latency
//! counts from when a request was due, so a stall shows in full.

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

/// Time between two looks at a router's readiness.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// What is sent, and where to.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Callers' addresses of the routers; those that are ready share the load.
    pub targets: Vec<SocketAddr>,
    /// Bearer token of the calling team.
    pub token: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests become due.
    pub duration: Duration,
    /// Connections at most; a request that finds none free waits, and its
    /// latency counts.
    pub connections: usize,
    /// What each request asks for.
    pub workload: Workload,
    /// Seed of prompts and arrival times.
    pub seed: u64,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Workload {
    /// A streamed completion, checked token by token.
    Completion {
        /// Model as callers name it.
        model: String,
        /// Its number of layers.
        layers: u16,
        /// Its version.
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
        /// Start of each body, to tell runs apart.
        label: String,
    },
}

/// One request that is due.
struct Due {
    at: Instant,
    number: u64,
}

/// The routers that are ready, as a balancer would see them.
struct Balancer {
    targets: Vec<SocketAddr>,
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

/// Sends the planned load and reports on every request.
pub fn run(config: &LoadConfig) -> Report {
    let balancer = Arc::new(Balancer::new(config.targets.clone()));
    let (sender, receiver) = bounded(config.connections * 64);
    let report = Arc::new(Mutex::new(Report::default()));
    let stop = Instant::now() + config.duration;
    thread::scope(|scope| {
        scope.spawn(|| balancer.watch(stop));
        for _ in 0..config.connections {
            let (receiver, report) = (receiver.clone(), Arc::clone(&report));
            let balancer = &balancer;
            scope.spawn(move || work(config, balancer, &receiver, &report));
        }
        drop(receiver);
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let mut at = Instant::now();
        let mut number = 0;
        while at < stop {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if sender.send(Due { at, number }).is_err() {
                break;
            }
            number += 1;
            let gap = -(1.0 - rng.random::<f64>()).ln() / config.rate;
            at += Duration::from_secs_f64(gap);
        }
        drop(sender);
    });
    let mut report = std::mem::take(&mut *report.lock().expect("no worker panics"));
    report.seconds = config.duration.as_secs_f64();
    report
}

fn work(config: &LoadConfig, balancer: &Balancer, due: &Receiver<Due>, report: &Mutex<Report>) {
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(Duration::from_secs(1)))
        .timeout_global(Some(Duration::from_secs(60)))
        .build()
        .new_agent();
    for due in due {
        let outcome = match &config.workload {
            Workload::Completion { .. } => complete(config, balancer, &agent, &due, report),
            Workload::Posting { .. } => post(config, balancer, &agent, &due),
        };
        report.lock().expect("no worker panics").record(outcome, due.at.elapsed());
    }
}

fn complete(
    config: &LoadConfig,
    balancer: &Balancer,
    agent: &Agent,
    due: &Due,
    report: &Mutex<Report>,
) -> Outcome {
    let Workload::Completion { model, layers, version, prompt_tokens, tokens } = &config.workload
    else {
        return Outcome::Lost;
    };
    let prompt = prompt(config.seed, due.number, *prompt_tokens);
    let body = serde_json::json!({
        "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    let url = format!("http://{}/v1/completions", balancer.pick());
    let sent = agent
        .post(url)
        .header("authorization", format!("Bearer {}", config.token))
        .send(body.to_string());
    let response = match sent {
        Ok(response) => response,
        Err(_) => return Outcome::Lost,
    };
    if !response.status().is_success() {
        return refusal(response);
    }
    let expected = oracle::answer(*layers, *version, &encode_text(&prompt), *tokens);
    let mut last = due.at;
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
        let piece = event["choices"][0]["text"].as_str().unwrap_or_default();
        if !piece.is_empty() {
            gaps.push(last.elapsed());
            last = Instant::now();
            text.push_str(piece);
        }
    }
    Outcome::CutShort
}

fn post(config: &LoadConfig, balancer: &Balancer, agent: &Agent, due: &Due) -> Outcome {
    let Workload::Posting { service, label } = &config.workload else { return Outcome::Lost };
    let body = format!("{label}-{}", due.number);
    let url = format!("http://{}/services/{service}/postings", balancer.pick());
    let sent = agent
        .post(url)
        .header("authorization", format!("Bearer {}", config.token))
        .header("idempotency-key", &body)
        .send(body.clone());
    match sent {
        Ok(response) if response.status().is_success() => Outcome::Whole,
        Ok(response) => refusal(response),
        Err(_) => Outcome::Lost,
    }
}

/// What a refusal says about whether the work ran.
fn refusal(response: ureq::http::Response<ureq::Body>) -> Outcome {
    let text = response.into_body().read_to_string().unwrap_or_default();
    let problem: Value = serde_json::from_str(&text).unwrap_or_default();
    match problem["effect"].as_str() {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}

/// A prompt that no other request of the run has.
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
        Self { ready: Mutex::new(targets.clone()), targets, next: AtomicUsize::new(0) }
    }

    fn pick(&self) -> SocketAddr {
        let ready = self.ready.lock().expect("no worker panics");
        let among = if ready.is_empty() { &self.targets } else { &*ready };
        among[self.next.fetch_add(1, Ordering::Relaxed) % among.len()]
    }

    fn watch(&self, stop: Instant) {
        let agent = Agent::config_builder()
            .proxy(None)
            .timeout_global(Some(READY_INTERVAL))
            .build()
            .new_agent();
        while Instant::now() < stop {
            let is_ready =
                |target: &&SocketAddr| agent.get(format!("http://{target}/readyz")).call().is_ok();
            let ready = self.targets.iter().filter(is_ready).copied().collect();
            *self.ready.lock().expect("no worker panics") = ready;
            thread::sleep(READY_INTERVAL);
        }
    }
}
