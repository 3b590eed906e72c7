//! The sample: each step says what it does, does it and checks the result.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use mimosashift::http::client::{Call, Client, Response};
use mimosashift::http::completion::{decode_token, encode_text};
use serde_json::{Value, json};
use ureq::http::Method;

use super::{Error, Fault};
use crate::oracle;
use crate::world::{CALLER_TOKEN, LAYERS, MODEL, OPERATOR_TOKEN, World};

/// Longest wait for a change to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Callers and requests of each while a fault is set.
const CALLERS: usize = 8;
const REQUESTS: usize = 6;

/// Tokens of each sample answer.
const TOKENS: u32 = 40;

/// Runs every step.
pub(super) fn run(world: &World, fault: Option<Fault>) -> Result<(), Error> {
    let sample = Sample { world, client: Client::new(Default::default()) };
    sample.configure()?;
    sample.complete()?;
    sample.post_twice()?;
    sample.change()?;
    if let Some(fault) = fault {
        sample.survive(fault)?;
    }
    Ok(())
}

struct Sample<'a> {
    world: &'a World,
    client: Client,
}

impl Sample<'_> {
    fn configure(&self) -> Result<(), Error> {
        let step = "configuration";
        let resources = self.world.resources();
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

    fn complete(&self) -> Result<(), Error> {
        let step = "completion";
        let start = Instant::now();
        let text = self.ask(step, self.world.routers[1].callers(), "Which shade?")?;
        println!(
            "{step}: {TOKENS} tokens over 3 stages in {} ms: {text}",
            start.elapsed().as_millis()
        );
        Ok(())
    }

    fn post_twice(&self) -> Result<(), Error> {
        let step = "posting";
        let body = "carton 17 to counter 4";
        let mut statuses = Vec::new();
        for router in &self.world.routers[..2] {
            let headers = [("idempotency-key", "carton-17")];
            let path = "/services/operations/orders";
            let answer = self.call(step, router.callers(), Method::POST, path, &headers, body)?;
            statuses.push(answer.status.as_u16());
        }
        let runs = self.world.service.runs().get(body).copied().unwrap_or(0);
        ensure(step, runs == 1, || format!("it ran {runs} times, answers {statuses:?}"))?;
        println!("{step}: sent twice with one key to two routers, answers {statuses:?}, ran once");
        Ok(())
    }

    fn change(&self) -> Result<(), Error> {
        let step = "change";
        let spec = json!({"model": MODEL, "pipeline": MODEL, "deadline_ms": 5_000});
        let revision = self.apply(step, "route", MODEL, &spec)?;
        let waited = self.wait_in_force(step, revision)?;
        println!("{step}: in force on all routers {} ms after it was accepted", waited.as_millis());
        Ok(())
    }

    /// Breaks the world while requests run; each must be whole and right.
    fn survive(&self, fault: Fault) -> Result<(), Error> {
        let step = "fault";
        let routers = &self.world.routers;
        let slowest = thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|caller| {
                    let to = routers[caller % routers.len()].callers();
                    scope.spawn(move || self.ask_many(step, to, caller))
                })
                .collect();
            thread::sleep(Duration::from_millis(100));
            fault.set(self.world);
            let results: Vec<_> =
                callers.into_iter().map(|c| c.join().expect("callers do not panic")).collect();
            results
                .into_iter()
                .try_fold(Duration::ZERO, |most, took| Ok::<_, Error>(most.max(took?)))
        })?;
        let refused =
            if fault == Fault::StopTable { Some(self.refused_posting(step)?) } else { None };
        Fault::clear(self.world);
        println!(
            "{step}: {fault} while {} requests ran: all whole and right, the slowest in {} ms",
            CALLERS * REQUESTS,
            slowest.as_millis()
        );
        if let Some(code) = refused {
            println!("{step}: a keyed posting meanwhile was refused, not run: {code}");
        }
        Ok(())
    }

    fn ask_many(
        &self,
        step: &'static str,
        to: SocketAddr,
        caller: usize,
    ) -> Result<Duration, Error> {
        let mut slowest = Duration::ZERO;
        for request in 0..REQUESTS {
            let start = Instant::now();
            self.ask(step, to, &format!("{caller}/{request}"))?;
            slowest = slowest.max(start.elapsed());
        }
        Ok(slowest)
    }

    fn refused_posting(&self, step: &'static str) -> Result<String, Error> {
        let headers = [("idempotency-key", "carton-18")];
        let (to, path) = (self.world.routers[0].callers(), "/services/operations/orders");
        let answer = self.call(step, to, Method::POST, path, &headers, "carton 18")?;
        let problem = parse(&answer);
        let effect = problem["effect"].as_str() == Some("not-run");
        ensure(step, effect, || format!("the posting was answered {problem}"))?;
        Ok(problem["code"].as_str().unwrap_or_default().to_owned())
    }

    /// Asks for a completion and compares it with the model's arithmetic.
    fn ask(&self, step: &'static str, to: SocketAddr, prompt: &str) -> Result<String, Error> {
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": TOKENS}).to_string();
        let answer = self.call(step, to, Method::POST, "/v1/completions", &[], &body)?;
        let json = parse(&answer);
        let text = json["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        let expected: String = oracle::answer(LAYERS, 1, &encode_text(prompt), TOKENS)
            .into_iter()
            .map(decode_token)
            .collect();
        ensure(step, text == expected, || format!("the answer is {json}"))?;
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
        let to = self.world.routers[0].operators();
        let answer = self.operate(step, to, Method::PUT, &path, &spec.to_string())?;
        answer["revision"].as_u64().ok_or_else(|| Error::Sample {
            step,
            reason: format!("{kind} {name:?} was answered {answer}"),
        })
    }

    fn wait_in_force(&self, step: &'static str, revision: u64) -> Result<Duration, Error> {
        let start = Instant::now();
        let path = format!("/api/v1/in-force?revision={revision}");
        let everywhere = |answer: &Value| {
            let domains = answer["domains"].as_object();
            let count = |of: &str| -> u64 {
                domains.into_iter().flatten().filter_map(|(_, d)| d[of].as_u64()).sum()
            };
            count("installed") == self.world.routers.len() as u64
        };
        loop {
            let to = self.world.routers[0].operators();
            let answer = self.operate(step, to, Method::GET, &path, "")?;
            if everywhere(&answer) {
                return Ok(start.elapsed());
            }
            let late = start.elapsed() > IN_FORCE_LIMIT;
            ensure(step, !late, || format!("revision {revision} is in force on {answer}"))?;
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn operate(
        &self,
        step: &'static str,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Value, Error> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let answer = self.exchange(step, to, method, path, &headers, body)?;
        Ok(parse(&answer))
    }

    fn call(
        &self,
        step: &'static str,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, Error> {
        let bearer = format!("Bearer {CALLER_TOKEN}");
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        self.exchange(step, to, method, path, &all, body)
    }

    fn exchange(
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

fn parse(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn ensure(step: &'static str, holds: bool, reason: impl FnOnce() -> String) -> Result<(), Error> {
    if holds { Ok(()) } else { Err(Error::Sample { step, reason: reason() }) }
}
