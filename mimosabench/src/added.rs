//! Time that a router adds to tokens, over real sockets.
//!
//! The same requests run through a router and, without one, by a bare loop
//! over the same engines, in turn, so that both run under the same conditions.

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

/// Tokens of each prompt and answer.
const PROMPT_TOKENS: usize = 64;
const TOKENS: u32 = 64;

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 10_000_000;

/// Time for one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why the measure failed.
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
        /// A step without a router failed.
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

/// First-token and inter-token times of one way.
struct Times {
    first: Histogram<u64>,
    between: Histogram<u64>,
}

/// Runs `requests` requests each way and prints the times.
pub fn run(requests: u32) -> Result<(), Error> {
    let testbed = Testbed::start(&Logger::root(Discard, o!()))?;
    apply(&testbed)?;
    let engines = direct_chain(&testbed);
    let adapter = Adapter::new(Arc::new(Client::new(Default::default())));
    let (mut direct, mut routed) = (Times::new(), Times::new());
    let router = testbed.routers[0].callers();
    for request in 0..requests {
        let prompt = prompt(request);
        run_direct(&adapter, &engines, &prompt, u128::from(request), &mut direct)?;
        run_routed(router, &prompt, &mut routed)?;
    }
    println!("way      first p50  p95  between p50  p95  (ms)");
    print("direct", &direct);
    print("router", &routed);
    let added = |of: fn(&Times) -> &Histogram<u64>| {
        (of(&routed).value_at_quantile(0.95) as f64 - of(&direct).value_at_quantile(0.95) as f64)
            / 1_000.0
    };
    println!(
        "added at p95: first {:.3} ms, between {:.3} ms",
        added(|t| &t.first),
        added(|t| &t.between)
    );
    Ok(())
}

fn apply(testbed: &Testbed) -> Result<(), Error> {
    for (kind, name, spec) in testbed.resources() {
        // Only fast engines of the first domain, so that both ways run alike.
        if kind == "endpoint" && !(name.starts_with("almaty-a") && name.ends_with("large")) {
            continue;
        }
        let url = format!("http://{}/api/v1/{kind}/{name}", testbed.routers[0].operators());
        let bearer = format!("Bearer {}", mimosastandin::testbed::OPERATOR_TOKEN);
        let sent = ureq::put(url).header("authorization", bearer).send(spec.to_string());
        sent.map_err(|error| Error::Apply(format!("{kind} {name}: {error}")))?;
    }
    Ok(())
}

/// The engines that the router uses too, with their layers.
fn direct_chain(testbed: &Testbed) -> Vec<(SocketAddr, Layers)> {
    let fast =
        testbed.engines.iter().filter(|p| p.domain == "almaty-a" && p.name.ends_with("large"));
    let starts = [0, 8, 16];
    let layers = |start| Layers::try_from((start, start + 8)).expect("8 layers are a range");
    fast.zip(starts).map(|(placed, start)| (placed.instance.address(), layers(start))).collect()
}

fn run_direct(
    adapter: &Adapter,
    engines: &[(SocketAddr, Layers)],
    prompt: &[u32],
    request: u128,
    times: &mut Times,
) -> Result<(), Error> {
    let request = RequestId(request);
    let pipeline = Name::try_from(MODEL).expect("the model's name is valid");
    let mut input = prompt.to_vec();
    let mut position = 0;
    let mut last = Instant::now();
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
        times.record(token as usize, last.elapsed());
        last = Instant::now();
    }
    for &(address, _) in engines {
        adapter.cancel(address, request, 1);
    }
    Ok(())
}

fn run_routed(router: SocketAddr, prompt: &[u32], times: &mut Times) -> Result<(), Error> {
    let failed = |error: &dyn std::fmt::Display| Error::Request(error.to_string());
    let body = serde_json::json!({
        "model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let mut last = Instant::now();
    let response = ureq::post(format!("http://{router}/v1/completions"))
        .header("authorization", format!("Bearer {CALLER_TOKEN}"))
        .send(body.to_string())
        .map_err(|error| failed(&error))?;
    let mut token = 0;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.map_err(|error| failed(&error))?;
        // The last events carry a reason or the end, but no token.
        if !line.starts_with("data: {") || !line.contains("\"finish_reason\":null") {
            continue;
        }
        times.record(token, last.elapsed());
        last = Instant::now();
        token += 1;
    }
    if token == TOKENS as usize { Ok(()) } else { Err(failed(&format!("{token} tokens came"))) }
}

fn prompt(request: u32) -> Vec<u32> {
    let text = format!("{request}:{}", "shade ".repeat(PROMPT_TOKENS));
    text.bytes().take(PROMPT_TOKENS).map(u32::from).collect()
}

fn print(way: &str, times: &Times) {
    let at = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{way:8} {:9.3} {:6.3} {:9.3} {:6.3}",
        at(&times.first, 0.5),
        at(&times.first, 0.95),
        at(&times.between, 0.5),
        at(&times.between, 0.95)
    );
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
        Self { first: histogram(), between: histogram() }
    }

    fn record(&mut self, token: usize, time: Duration) {
        let micros = time.as_micros() as u64;
        if token == 0 {
            self.first.saturating_record(micros);
        } else {
            self.between.saturating_record(micros);
        }
    }
}
