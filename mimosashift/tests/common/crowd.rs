//! Routers that divide the memory of engines, with digests that are late or lost, and
//! requests of three ranks.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use mimosashift::admit::pressure::{MAX_WAIT, MemoryPressure, Ticket};
use mimosashift::admit::rank::{Ladder, Terms};
use mimosashift::deployment::{Engine, Rank, Ranks};
use mimosashift::fleet::{Allowance, Claim, Demand, Fleet, Query, USABLE_CACHE_SHARE, Usage};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deployment::{MODEL, endpoint, layers};
use super::fleet::{fleet, huge, query};

/// Ranks of the requests, equally frequent.
pub const RANKS: usize = 3;

const TICK_MS: u64 = 10;
/// Interval in which waiting requests look for memory.
const RETRY_MS: u64 = 50;
const DIGEST_INTERVAL_MS: u64 = 250;
const DIGEST_DELAY_MS: std::ops::Range<u64> = 100..1_000;
/// Part of the digests that are lost.
const LOST: f64 = 1.0 / 3.0;
const MEAN_SECONDS: f64 = 4.0;
const WARM_UP_MS: u64 = 6_000;
const END_MS: u64 = 26_000;
const PROMPTS: [f64; 4] = [50.0, 400.0, 775.0, 2_280.0];
const OUTPUT: f64 = 220.0;

/// Who decides on the terms of requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Ladder,
    /// All ranks on the terms of the most urgent one.
    Unranked,
}

/// What came of the requests that arrived after the start.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests by rank.
    pub arrived: [u32; RANKS],
    pub admitted: [u32; RANKS],
    pub refused: u32,
    /// Requests of a rank refused in a second in which another less urgent one was admitted
    /// on the terms of its own rank, in pairs.
    pub inversions: u32,
    /// Memory in use over that which may be or is asked for, on average.
    pub served: f64,
    /// Requests that engines refused because their memory was full.
    pub overflows: u32,
}

/// What happens to a router, ordered by time.
struct Delivery {
    at_ms: u64,
    from: usize,
    to: usize,
    usage: Arc<Vec<(u64, Usage)>>,
}

struct Running {
    ends_ms: u64,
    router: usize,
    claim: Claim,
    demand: Demand,
}

struct Request {
    router: usize,
    level: usize,
    terms: Terms,
    demand: Demand,
    arrived_ms: u64,
    length_ms: u64,
}

/// Requests that arrive in one second, by rank.
#[derive(Clone, Copy, Default)]
struct Second {
    admitted: [u32; RANKS],
    refused: [u32; RANKS],
}

pub struct Crowd {
    routers: Vec<Fleet>,
    ladders: Vec<Ladder>,
    pressures: Vec<MemoryPressure>,
    /// Waiting requests, by router and place in its line.
    waiting: BTreeMap<(usize, Ticket), Request>,
    engine: Engine,
    pairs: usize,
    policy: Policy,
    ranks: Ranks,
    rng: Pcg64Mcg,
    running: Vec<Running>,
    deliveries: BinaryHeap<Delivery>,
    /// Memory in use at engines, tokens x layers.
    used: HashMap<Arc<str>, f64>,
    seconds: Vec<Second>,
    /// Memory that refused requests would have used, tokens x milliseconds.
    refused_work: f64,
    tally: Tally,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.at_ms == other.at_ms
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at_ms.cmp(&self.at_ms)
    }
}

impl Second {
    /// Pairs of a refused request and a less urgent one that was admitted.
    fn inversions(mut self) -> u32 {
        let mut pairs = 0;
        for rank in 0..RANKS {
            for other in rank + 1..RANKS {
                let found = self.refused[rank].min(self.admitted[other]);
                self.refused[rank] -= found;
                self.admitted[other] -= found;
                pairs += found;
            }
        }
        pairs
    }
}

impl Crowd {
    /// Routers with `pairs` copies of the model among them.
    pub fn new(routers: usize, pairs: usize, policy: Policy, seed: u64) -> Self {
        let half = |n: u16| {
            let held = if n.is_multiple_of(2) { layers(0, 40) } else { layers(40, 80) };
            let mut entry = endpoint(n, "a", "huge", Some(held));
            entry.slots = u32::MAX;
            entry
        };
        let entries: Vec<_> = (0..2 * pairs as u16).map(half).collect();
        Self {
            routers: (0..routers).map(|_| fleet(entries.clone())).collect(),
            ladders: vec![Ladder::default(); routers],
            pressures: vec![MemoryPressure::default(); routers],
            waiting: BTreeMap::new(),
            engine: Engine { slots: u32::MAX, ..huge() },
            pairs,
            policy,
            ranks: (0..RANKS as u8).map(Rank::from).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            running: Vec::new(),
            deliveries: BinaryHeap::new(),
            used: HashMap::new(),
            seconds: vec![Second::default(); (END_MS / 1_000) as usize],
            refused_work: 0.0,
            tally: Tally::default(),
        }
    }

    fn capacity(&self) -> f64 {
        self.engine.kv_capacity(&self.engine.cards["huge"], 40)
    }

    /// Plays a load, as a multiple of what the memory allows.
    pub fn play(mut self, load: f64) -> Tally {
        let mean = PROMPTS.iter().sum::<f64>() / PROMPTS.len() as f64 + OUTPUT / 2.0;
        let room = self.capacity() / 40.0 * self.pairs as f64 * USABLE_CACHE_SHARE;
        let per_tick = load * room / mean / MEAN_SECONDS * TICK_MS as f64 / 1_000.0;
        let (mut in_use, mut ticks, mut due) = (0.0, 0.0, 0.0);
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            self.end_requests(now_ms);
            self.exchange_digests(now_ms);
            self.retry(now_ms);
            // Arrivals are random: exponential gaps, in ticks.
            due += per_tick;
            while due > 0.0 {
                due += self.rng.random::<f64>().max(1e-9).ln();
                self.arrive(now_ms);
            }
            if now_ms >= WARM_UP_MS {
                in_use += self.used.values().sum::<f64>() / f64::from(self.engine.layers);
                ticks += 1.0;
            }
        }
        let in_use = in_use / ticks;
        let asked = in_use + self.refused_work / (END_MS - WARM_UP_MS) as f64;
        self.tally.served = in_use / room.min(asked);
        self.tally.inversions = self.seconds.iter().map(|second| second.inversions()).sum();
        self.tally
    }

    fn end_requests(&mut self, now_ms: u64) {
        let ended = self.running.extract_if(.., |request| request.ends_ms <= now_ms);
        for request in ended {
            self.routers[request.router].release(&request.claim);
            for hop in &request.claim.chain {
                let used = self.used.get_mut(&hop.id).expect("the request uses it");
                *used -= request.demand.tokens() * f64::from(hop.layers.count());
            }
        }
    }

    fn exchange_digests(&mut self, now_ms: u64) {
        while self.deliveries.peek().is_some_and(|next| next.at_ms <= now_ms) {
            let Some(Delivery { from, to, usage, .. }) = self.deliveries.pop() else { break };
            let peer: Arc<str> = format!("r{from}").into();
            self.routers[to].merge_digest(&peer, &usage, Instant::from_millis(now_ms));
        }
        let count = self.routers.len();
        for from in 0..count {
            // They send at different times.
            let phase = from as u64 * TICK_MS % DIGEST_INTERVAL_MS;
            if now_ms % DIGEST_INTERVAL_MS != phase {
                continue;
            }
            let usage = Arc::new(self.routers[from].digest());
            for to in (0..count).filter(|to| *to != from) {
                if self.rng.random::<f64>() >= LOST {
                    let at_ms = now_ms + self.rng.random_range(DIGEST_DELAY_MS);
                    let usage = usage.clone();
                    self.deliveries.push(Delivery { at_ms, from, to, usage });
                }
            }
        }
    }

    /// A request arrives at some router.
    fn arrive(&mut self, now_ms: u64) {
        let router = self.rng.random_range(0..self.routers.len());
        let level = self.rng.random_range(0..RANKS);
        let prompt = PROMPTS[self.rng.random_range(0..PROMPTS.len())];
        let demand = Demand { prompt, output: OUTPUT };
        let seconds = MEAN_SECONDS * -self.rng.random::<f64>().max(1e-9).ln();
        let length_ms = Duration::from_secs_f64(seconds).as_millis() as u64;
        let rank = Rank::from(level as u8);
        let terms = match self.policy {
            Policy::Unranked => Terms::default(),
            Policy::Ladder => self.ladders[router].terms(&MODEL.into(), &self.ranks, rank),
        };
        let request = Request { router, level, terms, demand, arrived_ms: now_ms, length_ms };
        let pressure = &mut self.pressures[router];
        let is_behind = pressure.ahead_of(terms.waits_as) > 0;
        if !is_behind && self.admit(&request, now_ms) {
            return self.record(&request, true, now_ms);
        }
        match self.pressures[router].begin_wait(terms.waits_as, Instant::from_millis(now_ms)) {
            Some(ticket) => drop(self.waiting.insert((router, ticket), request)),
            None => self.record(&request, false, now_ms),
        }
    }

    /// Lets the waiting requests look for memory, in the order of their lines.
    fn retry(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(RETRY_MS) {
            return;
        }
        for ((router, ticket), request) in std::mem::take(&mut self.waiting) {
            let admitted = self.admit(&request, now_ms);
            if admitted || now_ms - request.arrived_ms >= MAX_WAIT.as_millis() as u64 {
                self.pressures[router].end_wait(&ticket);
                self.record(&request, admitted, now_ms);
            } else {
                self.waiting.insert((router, ticket), request);
            }
        }
    }

    fn record(&mut self, request: &Request, admitted: bool, now_ms: u64) {
        let Request { router, level, terms, demand, length_ms, .. } = request;
        if admitted {
            let rank = Rank::from(*level as u8);
            self.pressures[*router].record_admitted(rank, Instant::from_millis(now_ms));
        }
        if now_ms < WARM_UP_MS {
            return;
        }
        if !admitted {
            self.refused_work += demand.tokens() * *length_ms as f64;
        }
        let second = &mut self.seconds[(now_ms / 1_000) as usize];
        self.tally.arrived[*level] += 1;
        self.tally.admitted[*level] += u32::from(admitted);
        self.tally.refused += u32::from(!admitted);
        second.admitted[*level] += u32::from(admitted && !terms.is_kept);
        second.refused[*level] += u32::from(!admitted);
    }

    fn admit(&mut self, request: &Request, now_ms: u64) -> bool {
        let Request { router, demand, .. } = request;
        let now = Instant::from_millis(now_ms);
        let cache_share = request.terms.cache_share;
        let allowance = Allowance { cache_share, ..Allowance::default() };
        let query = Query { allowance, ..query(&self.engine, demand) };
        let Ok(chain) = self.routers[*router].chain(&query, now) else { return false };
        let need = |layers: u16| demand.tokens() * f64::from(layers);
        let capacity = self.capacity();
        let full = chain.iter().find(|hop| {
            let used = self.used.get(&hop.id).copied().unwrap_or_default();
            used + need(hop.layers.count()) > capacity
        });
        if let Some(hop) = full {
            self.tally.overflows += 1;
            self.routers[*router].record_cache_full(&hop.id, now);
            return false;
        }
        for hop in &chain {
            *self.used.entry(hop.id.clone()).or_default() += need(hop.layers.count());
        }
        let claim = self.routers[*router].claim(chain, demand);
        let ends_ms = now_ms + request.length_ms;
        self.running.push(Running { ends_ms, router: *router, claim, demand: *demand });
        true
    }
}
