//! Three zones of engines with memory, a link between them that sends transfers in order,
//! and routers that know of each other by digests. Time is virtual.

#![allow(dead_code)] // Each test program uses only some of the fixtures.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mimosashift::admit::pressure::{MAX_WAIT, MemoryPressure};
use mimosashift::deployment::{Card, Endpoint, Engine};
use mimosashift::fleet::{Chain, Claim, Fleet, LinkRecord, Query, Shortage, Usage};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deployment::{at, endpoint, engine, layers};
use super::fleet::{DEMAND, fleet, query};

pub const STEP: Duration = Duration::from_millis(10);
/// Time between two digests of a router, and the shares of them that are lost.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
const LOST: f64 = 1.0 / 3.0;
/// Time from the end of the transfers of a request to its first event, and to its last.
const PREFILL: Duration = Duration::from_millis(100);
const STREAM: Duration = Duration::from_millis(2_000);
/// Time without an event after which a client leaves.
const PATIENCE: Duration = Duration::from_secs(2);

/// Rejections after which a router no longer tries another chain for a request.
const MAX_REJECTIONS: u32 = 4;

struct Digest {
    due: Instant,
    to: usize,
    from: usize,
    usage: Vec<(u64, Usage)>,
    link: Option<LinkRecord>,
}

pub struct Router {
    pub fleet: Fleet,
    pub zone: &'static str,
    pressure: MemoryPressure,
    /// Whether its build tells peers of its use of the link.
    pub reports: bool,
}

enum State {
    Arriving,
    Waiting(Instant),
    Running { claim: Claim, first: Instant, has_begun: bool },
}

struct Request {
    router: usize,
    /// When the client first sent it, and when it sent the present try.
    arrived: Instant,
    sent: Instant,
    is_repeat: bool,
    rejections: u32,
    state: State,
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub arrived: Instant,
    pub at: Instant,
    /// Time to the first event of a complete answer.
    pub first_event: Option<Duration>,
}

pub struct World {
    pub now: Instant,
    /// The engine as it is, and as routers take it to be.
    engine: Engine,
    view: Engine,
    pub routers: Vec<Router>,
    digests: Vec<Digest>,
    link_free_at: Instant,
    used: HashMap<Arc<str>, f64>,
    requests: Vec<Request>,
    pub ended: Vec<Ended>,
    /// Bytes charged, with their times.
    pub charged: Vec<(Instant, f64)>,
    /// Requests refused, each try counted.
    pub refused: usize,
    pub rng: Pcg64Mcg,
}

/// Splits a copy of the model in each zone: where, and the layer at which.
pub fn zones(splits: [(&str, u16); 3]) -> Vec<Endpoint> {
    let halves = splits.into_iter().enumerate().flat_map(|(index, (zone, split))| {
        let number = 2 * index as u16;
        [
            endpoint(number, zone, "huge", Some(layers(0, split))),
            endpoint(number + 1, zone, "huge", Some(layers(split, 80))),
        ]
    });
    halves.collect()
}

/// An engine on cards of `memory_mb` with a link of `link_bytes_per_ms`.
pub fn engine_with(memory_mb: f64, link_bytes_per_ms: f64) -> Engine {
    let mut engine = engine();
    let card = engine.cards["large"];
    engine.cards.insert("huge".into(), Card { memory_mb, ..card });
    Engine { link_bytes_per_ms, ..engine }
}

impl World {
    pub fn new(entries: &[Endpoint], engine: Engine, routers: usize, seed: u64) -> Self {
        let router = |index: usize| Router {
            fleet: fleet(entries.to_vec()),
            zone: ["a", "b", "c"][index % 3],
            pressure: MemoryPressure::default(),
            reports: true,
        };
        Self {
            now: at(0),
            view: engine.clone(),
            engine,
            routers: (0..routers).map(router).collect(),
            digests: Vec::new(),
            link_free_at: at(0),
            used: HashMap::new(),
            requests: Vec::new(),
            ended: Vec::new(),
            charged: Vec::new(),
            refused: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Lets routers take the link to be unlimited.
    pub fn undivided(mut self) -> Self {
        self.view.link_bytes_per_ms = 0.0;
        self
    }

    /// Bytes that all routers together may send in a second.
    pub fn usable_bytes(&self) -> f64 {
        self.engine.link_bytes_per_ms * 1_000.0 * 0.8
    }

    /// Requests a second for whose chains each zone has memory by itself.
    pub fn capacity(&self) -> f64 {
        let fleet = &self.routers[0].fleet;
        let bound = |zone: &str| {
            let members = fleet.members().filter(|member| &*member.endpoint.zone == zone);
            let requests = members.map(|member| {
                let count = member.endpoint.layers.unwrap().count();
                self.engine.kv_capacity(&self.engine.cards["huge"], count)
                    / (DEMAND.tokens() * f64::from(count))
            });
            requests.fold(f64::MAX, f64::min)
        };
        ["a", "b", "c"].map(bound).iter().sum::<f64>() * 0.95 / (PREFILL + STREAM).as_secs_f64()
    }

    /// Adds a request at a router of `zone`, or at any.
    pub fn arrive(&mut self, zone: Option<&str>) {
        let of_zone = |index: &usize| zone.is_none_or(|zone| self.routers[*index].zone == zone);
        let candidates: Vec<_> = (0..self.routers.len()).filter(of_zone).collect();
        // A single router serves the clients of all zones.
        let router = if candidates.is_empty() {
            0
        } else {
            candidates[self.rng.random_range(0..candidates.len())]
        };
        self.arrive_at(router);
    }

    pub fn arrive_at(&mut self, router: usize) {
        let (arrived, sent) = (self.now, self.now);
        let state = State::Arriving;
        let request = Request { router, arrived, sent, is_repeat: false, rejections: 0, state };
        self.requests.push(request);
    }

    /// Lets the time of one step pass.
    pub fn step(&mut self) {
        self.exchange_digests();
        for mut request in std::mem::take(&mut self.requests) {
            if self.advance(&mut request) {
                self.requests.push(request);
            }
        }
        self.now = self.now + STEP;
    }

    fn exchange_digests(&mut self) {
        let (now, count) = (self.now, self.routers.len());
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.digests).into_iter().partition(|digest| digest.due <= now);
        self.digests = later;
        for Digest { to, from, usage, link, .. } in due {
            let fleet = &mut self.routers[to].fleet;
            fleet.merge_digest(&format!("r{from}").into(), &usage, now);
            fleet.merge_link(&format!("r{from}").into(), link, now);
        }
        let step = (now.as_micros() / STEP.as_micros() as u64) as usize;
        let steps = (DIGEST_INTERVAL.as_micros() / STEP.as_micros()) as usize;
        for from in (0..count).filter(|index| (step + 7 * index) % steps == 0) {
            let router = &mut self.routers[from];
            router.fleet.update_limits(count, now);
            let usage = router.fleet.digest();
            let link = router.reports.then(|| router.fleet.link_record());
            for to in (0..count).filter(|to| *to != from) {
                if self.rng.random_bool(1.0 - LOST) {
                    let due = now + Duration::from_millis(self.rng.random_range(100..700));
                    self.digests.push(Digest { due, to, from, usage: usage.clone(), link });
                }
            }
        }
    }

    /// Moves a request on; returns whether it goes on.
    fn advance(&mut self, request: &mut Request) -> bool {
        match &mut request.state {
            State::Arriving if self.now < request.sent => true,
            State::Arriving => {
                if self.routers[request.router].pressure.waiting() == 0 {
                    match self.choose(request.router) {
                        Ok(chain) => return self.run(request, chain),
                        Err(shortage) => self.record(request.router, &shortage),
                    }
                }
                if !self.routers[request.router].pressure.begin_wait(self.now) {
                    return self.refuse(request);
                }
                request.state = State::Waiting(self.now + MAX_WAIT);
                true
            }
            State::Waiting(until) => {
                let until = *until;
                match self.choose(request.router) {
                    Err(_) if self.now < until => true,
                    found => {
                        self.routers[request.router].pressure.end_wait();
                        match found {
                            Ok(chain) => self.run(request, chain),
                            Err(_) => self.refuse(request),
                        }
                    }
                }
            }
            State::Running { claim, first, has_begun } => {
                if self.now >= *first && !*has_begun {
                    *has_begun = true;
                    self.routers[request.router].fleet.finish_prefill(claim);
                }
                let is_complete = self.now >= *first + STREAM;
                let has_left = !*has_begun && self.now >= request.sent + PATIENCE;
                if !is_complete && !has_left {
                    return true;
                }
                self.routers[request.router].fleet.release(claim);
                for hop in &claim.chain {
                    *self.used.get_mut(&hop.id).unwrap() -=
                        DEMAND.tokens() * f64::from(hop.layers.count());
                }
                let first_event = is_complete.then(|| first.since(request.arrived));
                first_event.is_none() && self.repeat(request, Duration::ZERO)
                    || self.end(request, first_event)
            }
        }
    }

    fn choose(&self, router: usize) -> Result<Chain, Shortage> {
        let Router { fleet, zone, .. } = &self.routers[router];
        fleet.chain(&Query { zone, ..query(&self.view, &DEMAND) }, self.now)
    }

    /// Sends a request to its chain, whose engines reject it if one has no memory.
    fn run(&mut self, request: &mut Request, chain: Chain) -> bool {
        let needs = |count: u16| DEMAND.tokens() * f64::from(count);
        let fleet = &mut self.routers[request.router].fleet;
        let random = self.rng.random_range(0.0..1.0);
        let bytes = fleet.charge_link(&self.view, &chain, &[], &DEMAND, random, self.now);
        let full = chain.iter().find(|hop| {
            let held = fleet.get(&hop.id).unwrap().endpoint.layers.unwrap().count();
            let capacity = self.engine.kv_capacity(&self.engine.cards["huge"], held);
            let used = self.used.get(&hop.id).copied().unwrap_or_default();
            used + needs(hop.layers.count()) > capacity
        });
        if let Some(full) = full {
            fleet.record_cache_full(&full.id, self.now);
            fleet.refund_link(bytes, self.now);
            request.rejections += 1;
            if request.rejections > MAX_REJECTIONS {
                return self.refuse(request);
            }
            request.state = State::Arriving;
            return true;
        }
        let zone = |index: usize| &fleet.get(&chain[index].id).unwrap().endpoint.zone;
        let crossings = (1..chain.len()).filter(|index| zone(index - 1) != zone(*index)).count();
        let sent =
            crossings as f64 * (DEMAND.prompt + DEMAND.output) * self.engine.activation_bytes;
        let mut ready = self.now;
        if sent > 0.0 {
            let time = Duration::from_secs_f64(sent / self.engine.link_bytes_per_ms / 1_000.0);
            self.link_free_at = self.link_free_at.max(self.now) + time;
            ready = self.link_free_at;
        }
        self.charged.push((self.now, sent));
        chain.iter().for_each(|hop| {
            *self.used.entry(hop.id.clone()).or_default() += needs(hop.layers.count());
        });
        let claim = fleet.claim(chain, &DEMAND);
        self.routers[request.router].pressure.record_admitted(self.now);
        request.state = State::Running { claim, first: ready + PREFILL, has_begun: false };
        true
    }

    fn record(&mut self, router: usize, shortage: &Shortage) {
        let random = self.rng.random_range(0.0..1.0);
        if let Shortage::LinkFull(_) = shortage {
            let fleet = &mut self.routers[router].fleet;
            fleet.record_link_full(&self.view, &DEMAND, random, self.now);
        }
    }

    fn refuse(&mut self, request: &mut Request) -> bool {
        self.refused += 1;
        let random = self.rng.random_range(0.0..1.0);
        let pressure = &mut self.routers[request.router].pressure;
        pressure.record_refused(self.now);
        let wait = pressure.retry_after(random);
        self.repeat(request, wait) || self.end(request, None)
    }

    /// Sends a request once more after `wait`; returns whether its client does.
    fn repeat(&self, request: &mut Request, wait: Duration) -> bool {
        let may_repeat = !std::mem::replace(&mut request.is_repeat, true);
        request.rejections = 0;
        request.sent = self.now + wait;
        request.state = State::Arriving;
        may_repeat
    }

    fn end(&mut self, request: &Request, first_event: Option<Duration>) -> bool {
        self.ended.push(Ended { arrived: request.arrived, at: self.now, first_event });
        false
    }
}
