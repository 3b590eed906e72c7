//! Token latency that a router adds, measured over real sockets.
//!
//! Each request is sent twice: directly to the engines by a plain loop, and
//! through a router to the same engines. The two alternate so that they run
//! under the same conditions.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mimosashift::engine::http::Adapter;
use mimosashift::engine::{Failure, Input, Label, Output, RequestId, Step};
use mimosashift::http::client::Client;
use mimosashift::resource::{Layers, Name};
use mimosastandin::testbed::{CALLER_TOKEN, MODEL, Testbed};
use quick_error::quick_error;
use slog::{Discard, Logger, o};

/// Number of tokens of each prompt and each response.
const PROMPT_TOKENS: usize = 64;
const TOKENS: u32 = 64;

/// Upper bound of the latency histograms, in microseconds; higher values are
/// clamped to it.
const MAX_LATENCY_MICROS: u64 = 10_000_000;

/// Timeout of one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why the measurement failed.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The testbed did not start.
        Testbed(error: mimosastandin::testbed::Error) {
            from()
            display("{}", error)
        }
        /// A resource was not accepted.
        Apply(reason: String) {
            display("a resource was not accepted: {}", reason)
        }
        /// A step sent directly to an engine failed.
        Step(failure: Failure) {
            from()
            display("a step failed: {}", failure)
        }
        /// A request through the router failed.
        Request(reason: String) {
            display("a request failed: {}", reason)
        }
    }
}

/// First-token and inter-token latencies, direct or through the router.
struct TokenLatencies {
    first_token: Histogram<u64>,
    inter_token: Histogram<u64>,
}

/// Sends `requests` requests directly and through a router, and prints the
/// latencies.
pub fn run(requests: u32) -> Result<(), Error> {
    let testbed = Testbed::start(&Logger::root(Discard, o!()))?;
    apply_resources(&testbed)?;
    let engines = direct_engines(&testbed);
    let adapter = Adapter::new(Arc::new(Client::new(Default::default())));
    let (mut direct, mut routed) = (TokenLatencies::new(), TokenLatencies::new());
    let router = testbed.routers[0].callers();
    for request in 0..requests {
        let prompt = prompt(request);
        run_direct(&adapter, &engines, &prompt, u128::from(request), &mut direct)?;
        run_through_router(router, &prompt, &mut routed)?;
    }
    println!("path     first p50  p95  between p50  p95  (ms)");
    print_row("direct", &direct);
    print_row("router", &routed);
    let added = |histogram: fn(&TokenLatencies) -> &Histogram<u64>| {
        (histogram(&routed).value_at_quantile(0.95) as f64
            - histogram(&direct).value_at_quantile(0.95) as f64)
            / 1_000.0
    };
    println!(
        "added at p95: first {:.3} ms, between {:.3} ms",
        added(|t| &t.first_token),
        added(|t| &t.inter_token)
    );
    Ok(())
}

fn apply_resources(testbed: &Testbed) -> Result<(), Error> {
    for (kind, name, spec) in testbed.resources() {
        // Only the fast engines of the first failure domain, so that the
        // router uses the same engines as the direct requests.
        if kind == "endpoint" && !(name.starts_with("almaty-a") && name.ends_with("large")) {
            continue;
        }
        let url = format!("http://{}/api/v1/{kind}/{name}", testbed.routers[0].operators());
        let bearer = format!("Bearer {}", mimosastandin::testbed::OPERATOR_TOKEN);
        let result = ureq::put(url).header("authorization", bearer).send(spec.to_string());
        result.map_err(|error| Error::Apply(format!("{kind} {name}: {error}")))?;
    }
    Ok(())
}

/// The engines that the router uses, in pipeline order and with their layers.
fn direct_engines(testbed: &Testbed) -> Vec<(SocketAddr, Layers)> {
    let fast =
        testbed.engines.iter().filter(|e| e.domain == "almaty-a" && e.name.ends_with("large"));
    let starts = [0, 8, 16];
    let layers = |start| Layers::try_from((start, start + 8)).expect("8 layers are a range");
    fast.zip(starts).map(|(engine, start)| (engine.instance.address(), layers(start))).collect()
}

fn run_direct(
    adapter: &Adapter,
    engines: &[(SocketAddr, Layers)],
    prompt: &[u32],
    request: u128,
    latencies: &mut TokenLatencies,
) -> Result<(), Error> {
    let request = RequestId(request);
    let pipeline = Name::try_from(MODEL).expect("the model's name is valid");
    let mut input = prompt.to_vec();
    let mut position = 0;
    let mut last_token_at = Instant::now();
    for token in 0..TOKENS {
        let count = input.len() as u32;
        let mut body = Input::Tokens(std::mem::take(&mut input));
        for &(address, layers) in engines {
            let pipeline = pipeline.clone();
            let label =
                Label { request, attempt: 1, position, count, layers, pipeline, version: 1 };
            let step = Step { label, priority: 0, adapter: None, input: body };
            match adapter.step(address, &step, STEP_TIMEOUT)?.output {
                Output::Hidden(hidden) => body = Input::Hidden(hidden),
                Output::Token(next) => {
                    input = vec![next];
                    body = Input::Tokens(Vec::new());
                }
            }
        }
        position += count;
        latencies.record(token as usize, last_token_at.elapsed());
        last_token_at = Instant::now();
    }
    for &(address, _) in engines {
        adapter.cancel(address, request, 1);
    }
    Ok(())
}

fn run_through_router(
    router: SocketAddr,
    prompt: &[u32],
    latencies: &mut TokenLatencies,
) -> Result<(), Error> {
    let failed = |error: &dyn std::fmt::Display| Error::Request(error.to_string());
    let body = serde_json::json!({
        "model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let mut last_token_at = Instant::now();
    let response = ureq::post(format!("http://{router}/v1/completions"))
        .header("authorization", format!("Bearer {CALLER_TOKEN}"))
        .send(body.to_string())
        .map_err(|error| failed(&error))?;
    let mut token = 0;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.map_err(|error| failed(&error))?;
        // The last events carry the finish reason or end the stream and hold
        // no token.
        if !line.starts_with("data: {") || !line.contains("\"finish_reason\":null") {
            continue;
        }
        latencies.record(token, last_token_at.elapsed());
        last_token_at = Instant::now();
        token += 1;
    }
    if token == TOKENS as usize {
        Ok(())
    } else {
        Err(failed(&format!("received {token} of {TOKENS} tokens")))
    }
}

fn prompt(request: u32) -> Vec<u32> {
    let text = format!("{request}:{}", "shade ".repeat(PROMPT_TOKENS));
    text.bytes().take(PROMPT_TOKENS).map(u32::from).collect()
}

fn print_row(path: &str, latencies: &TokenLatencies) {
    let millis_at = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{path:8} {:9.3} {:6.3} {:9.3} {:6.3}",
        millis_at(&latencies.first_token, 0.5),
        millis_at(&latencies.first_token, 0.95),
        millis_at(&latencies.inter_token, 0.5),
        millis_at(&latencies.inter_token, 0.95)
    );
}

impl TokenLatencies {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
        Self { first_token: histogram(), inter_token: histogram() }
    }

    fn record(&mut self, token: usize, latency: Duration) {
        let micros = latency.as_micros() as u64;
        if token == 0 {
            self.first_token.saturating_record(micros);
        } else {
            self.inter_token.saturating_record(micros);
        }
    }
}
