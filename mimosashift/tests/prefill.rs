//! Long prompts beside short ones: requests of both sizes on endpoints that prefill one
//! prompt after another, placed by routers that know of each other through digests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use mimosashift::deployment::Engine;
use mimosashift::fleet::{Allowance, Chain, Claim, Demand, Fleet, Query, Read};
use mimosashift::time::Instant;

use test_case::test_case;

use common::deployment::{MODEL, at, endpoint, engine, layers};

#[path = "common"]
mod common {
    pub mod deployment;
}

const ENDPOINTS: u16 = 12;
const MODEL_LAYERS: u16 = 8;
const REQUESTS: usize = 6_000;
const LONG_PROMPT: f64 = 2_000.0;
const OBJECTIVE: Duration = Duration::from_millis(500);
const OUTPUT: f64 = 100.0;
/// Time in which an endpoint generates them.
const DECODE_US: u64 = 1_600_000;
/// By how much the share of late requests may exceed that of a size alone.
const TOLERANCE: f64 = 0.03;
const MAX_WAIT: Duration = Duration::from_millis(250);

/// A load and the routers that place it.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Share of requests with a long prompt.
    long: f64,
    /// Share of the endpoints' time that prefilling takes.
    utilization: f64,
    routers: usize,
    digest_interval: Duration,
}

/// Shares of requests whose first event is late.
#[derive(Clone, Copy, Debug, Default)]
struct Late {
    short: f64,
    long: f64,
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin { request: usize },
    End { request: usize },
    Digest { router: usize },
    Place { request: usize },
}

struct Request {
    prompt: f64,
    router: usize,
    arrived: u64,
    claim: Option<Claim>,
}

struct World {
    engine: Engine,
    allowance: Allowance,
    fleets: Vec<Fleet>,
    names: Vec<Arc<str>>,
    requests: Vec<Request>,
    /// When each endpoint will have prefilled what it was sent, in microseconds.
    idle_at: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    first_event: Vec<Option<u64>>,
}

fn small_engine() -> Engine {
    Engine { layers: MODEL_LAYERS, layer_mb: 100.0, kv_bytes_per_token: 59_000.0, ..engine() }
}

fn prefill_us(engine: &Engine, prompt: f64) -> f64 {
    prompt / engine.prefill_tokens_per_ms * engine.cards["slow"].prefill_factor * 1_000.0
}

fn instant(us: u64) -> Instant {
    at(us / 1_000)
}

impl World {
    fn new(load: &Load) -> Self {
        let engine = small_engine();
        let mut random = Random(17);
        let mut fleets = Vec::new();
        for _ in 0..load.routers {
            let entries = (1..=ENDPOINTS)
                .map(|n| endpoint(n, "a", "slow", Some(layers(0, MODEL_LAYERS))))
                .collect();
            let mut fleet = Fleet::default();
            fleet.apply_directory(entries, Read { began: at(0), outage: None }, at(0));
            fleets.push(fleet);
        }
        let mean_us = load.long * prefill_us(&engine, LONG_PROMPT)
            + (1.0 - load.long) * prefill_us(&engine, 250.0);
        let gap_us = mean_us / f64::from(ENDPOINTS) / load.utilization;
        let mut now = 1_000_000.0;
        let mut requests = Vec::new();
        let mut events = BinaryHeap::new();
        for request in 0..REQUESTS {
            now -= random.next().max(1e-12).ln() * gap_us;
            let is_long = random.next() < load.long;
            let prompt = if is_long { LONG_PROMPT } else { 100.0 + 300.0 * random.next() };
            let router = (random.next() * load.routers as f64) as usize;
            requests.push(Request { prompt, router, arrived: now as u64, claim: None });
            events.push(Reverse((now as u64, Event::Place { request })));
        }
        let interval = load.digest_interval.as_micros() as u64;
        if load.routers > 1 {
            for router in 0..load.routers {
                let offset = interval * router as u64 / load.routers as u64;
                events.push(Reverse((offset, Event::Digest { router })));
            }
        }
        Self {
            engine,
            allowance: Allowance { max_backlog: Some(OBJECTIVE / 2), ..Allowance::default() },
            fleets,
            names: (0..load.routers).map(|n| format!("r{n}").into()).collect(),
            first_event: vec![None; requests.len()],
            requests,
            idle_at: vec![0; usize::from(ENDPOINTS) + 1],
            events,
        }
    }

    fn place(&mut self, now: u64, index: usize) {
        let request = &mut self.requests[index];
        let demand = Demand { prompt: request.prompt, output: OUTPUT };
        let query = Query {
            service: MODEL,
            engine: &self.engine,
            zone: "a",
            demand: &demand,
            first: None,
            avoid: &[],
            allowance: self.allowance,
        };
        let chain: Chain = match self.fleets[request.router].chain(&query, instant(now)) {
            Ok(chain) => chain,
            Err(_) => {
                if now - request.arrived < MAX_WAIT.as_micros() as u64 {
                    self.events.push(Reverse((now + 10_000, Event::Place { request: index })));
                }
                return;
            }
        };
        let endpoint: usize = chain[0].id[1..].parse().unwrap();
        let begin = self.idle_at[endpoint].max(now);
        let end = begin + prefill_us(&self.engine, request.prompt) as u64;
        self.idle_at[endpoint] = end;
        request.claim = Some(self.fleets[request.router].claim(chain, &demand));
        self.events.push(Reverse((end, Event::Begin { request: index })));
    }

    fn run(mut self, load: &Load) -> Late {
        let mut left = REQUESTS;
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Place { request } => {
                    if self.requests[request].arrived == now {
                        left -= 1;
                    }
                    self.place(now, request);
                }
                Event::Begin { request } => {
                    self.first_event[request] = Some(now);
                    let Request { router, claim, .. } = &mut self.requests[request];
                    self.fleets[*router].finish_prefill(claim.as_mut().unwrap());
                    self.events.push(Reverse((now + DECODE_US, Event::End { request })));
                }
                Event::End { request } => {
                    let Request { router, claim, .. } = &mut self.requests[request];
                    self.fleets[*router].release(&claim.take().unwrap());
                }
                Event::Digest { router } => {
                    let digest = self.fleets[router].digest();
                    for (peer, fleet) in self.fleets.iter_mut().enumerate() {
                        if peer != router {
                            fleet.merge_digest(&self.names[router], &digest, instant(now));
                        }
                    }
                    if left > 0 {
                        let next = now + load.digest_interval.as_micros() as u64;
                        self.events.push(Reverse((next, Event::Digest { router })));
                    }
                }
            }
        }
        let late = |is_long: bool| {
            let (mut total, mut late) = (0.0, 0.0);
            for (request, first) in self.requests.iter().zip(&self.first_event) {
                if (request.prompt == LONG_PROMPT) == is_long {
                    total += 1.0;
                    let limit = request.arrived + OBJECTIVE.as_micros() as u64;
                    late += f64::from(u8::from(first.is_none_or(|at| at > limit)));
                }
            }
            late / f64::max(total, 1.0)
        };
        Late { short: late(false), long: late(true) }
    }
}

fn run(load: &Load) -> Late {
    World::new(load).run(load)
}

#[test_case(0.05, 0.6, 1, 100; "few at 60 percent one router")]
#[test_case(0.3, 0.6, 1, 100; "many at 60 percent one router")]
#[test_case(0.05, 0.9, 1, 100; "few at 90 percent one router")]
#[test_case(0.3, 0.9, 1, 100; "many at 90 percent one router")]
#[test_case(0.05, 0.6, 30, 100; "few at 60 percent fresh digests")]
#[test_case(0.3, 0.6, 30, 100; "many at 60 percent fresh digests")]
#[test_case(0.05, 0.9, 30, 100; "few at 90 percent fresh digests")]
#[test_case(0.3, 0.9, 30, 100; "many at 90 percent fresh digests")]
#[test_case(0.05, 0.6, 30, 1_000; "few at 60 percent old digests")]
#[test_case(0.3, 0.6, 30, 1_000; "many at 60 percent old digests")]
#[test_case(0.05, 0.9, 30, 1_000; "few at 90 percent old digests")]
#[test_case(0.3, 0.9, 30, 1_000; "many at 90 percent old digests")]
fn each_size_is_as_punctual_as_alone(long: f64, utilization: f64, routers: usize, digest_ms: u64) {
    let digest_interval = Duration::from_millis(digest_ms);
    let load = |long| Load { long, utilization, routers, digest_interval };
    let (mixed, short, all_long) = (run(&load(long)), run(&load(0.0)), run(&load(1.0)));
    let (short, all_long) = (short.short, all_long.long);
    assert!(mixed.short <= short + TOLERANCE, "{mixed:.3?}, short ones alone {short:.3}");
    assert!(mixed.long <= all_long + TOLERANCE, "{mixed:.3?}, long ones alone {all_long:.3}");
}

#[test]
fn prefill_ahead_is_that_of_the_busiest_endpoint() {
    let mut world = World::new(&Load {
        long: 0.0,
        utilization: 0.6,
        routers: 1,
        digest_interval: Duration::from_millis(100),
    });
    world.place(1_000_000, 0);
    let claim = world.requests[0].claim.as_ref().unwrap();
    let ahead = world.fleets[0].prefill_ahead(&world.engine, &claim.chain, at(1_000));
    let expected = prefill_us(&world.engine, world.requests[0].prompt);
    assert!((ahead.as_secs_f64() * 1e6 - expected).abs() < 1.0, "{ahead:?}");
}
