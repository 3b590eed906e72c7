//! Sample workload of the demo: each step checks its result and prints it.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use mimosashift::http::client::{Call, Client, Response};
use mimosashift::http::completion::{decode_token, encode_text};
use serde_json::{Value, json};
use ureq::http::Method;

use super::{Error, Fault};
use crate::oracle;
use crate::testbed::{CALLER_TOKEN, LAYERS, MODEL, OPERATOR_TOKEN, Testbed};

/// Longest wait for a revision to be in force on all routers.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of concurrent callers during a fault, and of the requests of each.
const CONCURRENT_CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 6;

/// Number of tokens of each completion.
const MAX_TOKENS: u32 = 40;

/// Runs all steps.
pub(super) fn run(testbed: &Testbed, fault: Option<Fault>) -> Result<(), Error> {
    let sample = Sample { testbed, client: Client::new(Default::default()) };
    sample.configure()?;
    sample.run_completion()?;
    sample.post_twice()?;
    sample.change_route()?;
    if let Some(fault) = fault {
        sample.run_under_fault(fault)?;
    }
    Ok(())
}

struct Sample<'a> {
    testbed: &'a Testbed,
    client: Client,
}

impl Sample<'_> {
    fn configure(&self) -> Result<(), Error> {
        let step = "configuration";
        let resources = self.testbed.resources();
        let start = Instant::now();
        let mut revision = 0;
        for (kind, name, spec) in &resources {
            revision = self.apply(step, kind, name, spec)?;
        }
        let applied = start.elapsed();
        let waited = self.wait_in_force(step, revision)?;
        println!(
            "{step}: {} resources applied in {} ms; revision {revision} in force on all routers \
             {} ms later",
            resources.len(),
            applied.as_millis(),
            waited.as_millis()
        );
        Ok(())
    }

    fn run_completion(&self) -> Result<(), Error> {
        let step = "completion";
        let start = Instant::now();
        let text =
            self.check_completion(step, self.testbed.routers[1].callers(), "Which shade?")?;
        println!(
            "{step}: {MAX_TOKENS} tokens over 3 stages in {} ms: {text}",
            start.elapsed().as_millis()
        );
        Ok(())
    }

    fn post_twice(&self) -> Result<(), Error> {
        let step = "posting";
        let body = "carton 17 to counter 4";
        let mut statuses = Vec::new();
        for router in &self.testbed.routers[..2] {
            let headers = [("idempotency-key", "carton-17")];
            let path = "/services/operations/orders";
            let response =
                self.call_as_caller(step, router.callers(), Method::POST, path, &headers, body)?;
            statuses.push(response.status.as_u16());
        }
        let runs = self.testbed.service.runs().get(body).copied().unwrap_or(0);
        ensure(step, runs == 1, || format!("ran {runs} times; statuses {statuses:?}"))?;
        println!(
            "{step}: sent to two routers with one idempotency key, statuses {statuses:?}, ran once"
        );
        Ok(())
    }

    fn change_route(&self) -> Result<(), Error> {
        let step = "change";
        let spec = json!({"model": MODEL, "pipeline": MODEL, "deadline_ms": 5_000});
        let revision = self.apply(step, "route", MODEL, &spec)?;
        let waited = self.wait_in_force(step, revision)?;
        println!("{step}: in force on all routers {} ms after it was accepted", waited.as_millis());
        Ok(())
    }

    /// Injects a fault while requests run; every response must be complete and
    /// correct.
    fn run_under_fault(&self, fault: Fault) -> Result<(), Error> {
        let step = "fault";
        let routers = &self.testbed.routers;
        let slowest = thread::scope(|scope| {
            let callers: Vec<_> = (0..CONCURRENT_CALLERS)
                .map(|caller| {
                    let address = routers[caller % routers.len()].callers();
                    scope.spawn(move || self.check_completions(step, address, caller))
                })
                .collect();
            thread::sleep(Duration::from_millis(100));
            fault.inject(self.testbed);
            let results: Vec<_> =
                callers.into_iter().map(|c| c.join().expect("callers do not panic")).collect();
            results
                .into_iter()
                .try_fold(Duration::ZERO, |slowest, result| Ok::<_, Error>(slowest.max(result?)))
        })?;
        let refused =
            if fault == Fault::StopTable { Some(self.check_posting_refused(step)?) } else { None };
        Fault::clear(self.testbed);
        println!(
            "{step}: {fault} during {} requests: all complete and correct, the slowest after {} ms",
            CONCURRENT_CALLERS * REQUESTS_PER_CALLER,
            slowest.as_millis()
        );
        if let Some(code) = refused {
            println!(
                "{step}: a posting with an idempotency key was refused and did not run: {code}"
            );
        }
        Ok(())
    }

    fn check_completions(
        &self,
        step: &'static str,
        address: SocketAddr,
        caller: usize,
    ) -> Result<Duration, Error> {
        let mut slowest = Duration::ZERO;
        for request in 0..REQUESTS_PER_CALLER {
            let start = Instant::now();
            self.check_completion(step, address, &format!("{caller}/{request}"))?;
            slowest = slowest.max(start.elapsed());
        }
        Ok(slowest)
    }

    fn check_posting_refused(&self, step: &'static str) -> Result<String, Error> {
        let headers = [("idempotency-key", "carton-18")];
        let (address, path) = (self.testbed.routers[0].callers(), "/services/operations/orders");
        let response =
            self.call_as_caller(step, address, Method::POST, path, &headers, "carton 18")?;
        let problem = parse(&response);
        let not_run = problem["effect"].as_str() == Some("not-run");
        ensure(step, not_run, || format!("posting not refused as not run: {problem}"))?;
        Ok(problem["code"].as_str().unwrap_or_default().to_owned())
    }

    /// Requests a completion and compares it with the reference model.
    fn check_completion(
        &self,
        step: &'static str,
        address: SocketAddr,
        prompt: &str,
    ) -> Result<String, Error> {
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS}).to_string();
        let response =
            self.call_as_caller(step, address, Method::POST, "/v1/completions", &[], &body)?;
        let json = parse(&response);
        let text = json["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        let expected: String = oracle::generate(LAYERS, 1, &encode_text(prompt), MAX_TOKENS)
            .into_iter()
            .map(decode_token)
            .collect();
        ensure(step, text == expected, || format!("text must be {expected:?}: {json}"))?;
        Ok(text)
    }

    fn apply(
        &self,
        step: &'static str,
        kind: &str,
        name: &str,
        spec: &Value,
    ) -> Result<u64, Error> {
        let path = format!("/api/v1/{kind}/{name}");
        let address = self.testbed.routers[0].operators();
        let response =
            self.call_operator_api(step, address, Method::PUT, &path, &spec.to_string())?;
        response["revision"].as_u64().ok_or_else(|| Error::Sample {
            step,
            reason: format!("no revision in the response to {kind} {name:?}: {response}"),
        })
    }

    fn wait_in_force(&self, step: &'static str, revision: u64) -> Result<Duration, Error> {
        let start = Instant::now();
        let path = format!("/api/v1/in-force?revision={revision}");
        let is_in_force = |response: &Value| {
            let domains = response["domains"].as_object();
            let count = |field: &str| -> u64 {
                domains.into_iter().flatten().filter_map(|(_, d)| d[field].as_u64()).sum()
            };
            count("installed") == self.testbed.routers.len() as u64
        };
        loop {
            let address = self.testbed.routers[0].operators();
            let response = self.call_operator_api(step, address, Method::GET, &path, "")?;
            if is_in_force(&response) {
                return Ok(start.elapsed());
            }
            let expired = start.elapsed() > IN_FORCE_TIMEOUT;
            ensure(step, !expired, || format!("revision {revision} is not in force: {response}"))?;
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn call_operator_api(
        &self,
        step: &'static str,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Value, Error> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let response = self.send(step, address, method, path, &headers, body)?;
        Ok(parse(&response))
    }

    fn call_as_caller(
        &self,
        step: &'static str,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, Error> {
        let bearer = format!("Bearer {CALLER_TOKEN}");
        let mut all_headers = vec![("authorization", bearer.as_str())];
        all_headers.extend_from_slice(headers);
        self.send(step, address, method, path, &all_headers, body)
    }

    fn send(
        &self,
        step: &'static str,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, Error> {
        let (body, timeout) = (body.as_bytes(), Duration::from_secs(30));
        let call = Call { address, method, path, headers, body, timeout, fresh: false };
        self.client.call(&call).map_err(|e| Error::Sample { step, reason: e.to_string() })
    }
}

fn parse(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap_or_default()
}

fn ensure(
    step: &'static str,
    condition: bool,
    reason: impl FnOnce() -> String,
) -> Result<(), Error> {
    if condition { Ok(()) } else { Err(Error::Sample { step, reason: reason() }) }
}
