//! Limits that endpoints name on the requests that they take from all routers
//! together.
//!
//! Each router sends an endpoint no more than its share of the limit, which follows
//! its share of the recent demand as all routers have reported it. See
//! `docs/design/limits.md`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Fleet, Member};
use crate::exchange::RequestRate;
use crate::time::Instant;

/// Time for which a limit stays in force that no answer confirms or lifts.
const LIMIT_TTL: Duration = Duration::from_secs(60);

/// Time for which peers are told that a limit was lifted.
const LIFTED_TTL: Duration = Duration::from_secs(10);

/// Time after which the demand that a peer reported expires.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(3);

/// Time constant of the average of demand: several digest intervals.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Demand that is added to that of all routers together, in multiples of the limit.
/// A router whose demand is not known yet thus has a share as well.
const BASE_DEMAND: f64 = 0.25;

/// Time over which an unused share accumulates.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time without demand after which a router is idle.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// Requests that all routers together may save up while they are idle, at a limit of zero
/// and at one a second or more. Each of many idle routers with a whole request to spare
/// would exceed a low limit.
const IDLE_REQUESTS: (f64, f64) = (0.5, 2.0);

/// The same for up to [`MIN_ROUTERS`] routers.
const IDLE_REQUESTS_OF_FEW: (f64, f64) = (2.0, 4.0);

/// Multiple of the limit above which the requests that all routers have sent recently
/// stop further ones: chance may let many routers send at once.
const MAX_RECENT: f64 = 1.25;

/// Lowest rate that is applied: without any request, the end of a limit would go
/// unnoticed.
const MIN_RATE: f64 = 0.25;

/// Minimum number of routers among which a limit is divided, for a router that has
/// not yet heard of its peers.
const MIN_ROUTERS: usize = 4;

/// Maximum number of endpoints whose limits are known, the latest.
const MAX_LIMITS: usize = 1024;

/// An incarnation of an endpoint: the key of its id, and its start.
type Incarnation = (u64, u64);

/// A change of the limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit before, if there was one.
    pub before: Option<RequestRate>,
    /// The limit now, if there is one.
    pub now: Option<RequestRate>,
}

/// What a router tells its peers of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// The limit; `None` if it was lifted.
    pub rate: Option<RequestRate>,
    /// Time since the limit was named, or found to be lifted.
    pub age: Duration,
    /// Requests per second that this router has recently sent to the endpoint or refused
    /// for its limit.
    pub demand: f32,
    /// Requests per second that it has recently sent.
    pub sent: f32,
}

/// Limits by endpoint.
#[derive(Debug)]
pub(super) struct Limits {
    known: HashMap<Incarnation, Limit>,
    /// Number of live routers, this one included.
    routers: usize,
}

/// The limit of one endpoint, and this router's share of it.
#[derive(Debug)]
struct Limit {
    /// The limit; `None` once it is lifted.
    rate: Option<RequestRate>,
    /// When an answer last named the limit; if it is lifted, when the request was sent
    /// whose answer showed that.
    observed_at: Instant,
    /// Share of the limit that this router may use.
    share: f64,
    /// Requests that may be sent, as of `credited_at`; negative after a request that was
    /// sent at a threshold below 1.
    credit: f64,
    credited_at: Instant,
    /// Credit that may accrue while this router is idle.
    idle_bound: f64,
    /// Credit that has accrued since this router became idle.
    idle_accrued: f64,
    /// Credit from which a request may be sent, above 0 and at most 1. It is random, so
    /// that routers with small shares do not all reach it at the same moment.
    threshold: f64,
    /// Requests sent, or refused for the limit.
    demand: Average,
    /// Requests sent.
    sent: Average,
    /// Demand that peers know of, in requests per second.
    reported_demand: f64,
    peers: BTreeMap<Arc<str>, PeerDemand>,
}

/// What a peer reported, in requests per second.
#[derive(Debug)]
struct PeerDemand {
    reported_at: Instant,
    demand: f64,
    sent: f64,
}

/// Exponentially decaying average of a number of requests per second.
#[derive(Clone, Copy, Debug)]
struct Average {
    per_second: f64,
    updated_at: Instant,
}

impl Average {
    const fn new(now: Instant) -> Self {
        Self { per_second: 0.0, updated_at: now }
    }

    fn add(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.updated_at = now;
    }

    fn at(&self, now: Instant) -> f64 {
        decay(self.per_second, self.updated_at, now)
    }
}

fn decay(per_second: f64, since: Instant, now: Instant) -> f64 {
    per_second * (-now.since(since).as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
}

impl Default for Limits {
    fn default() -> Self {
        Self { known: HashMap::new(), routers: MIN_ROUTERS }
    }
}

impl Limits {
    /// Applies an observation that is newer than the last one.
    fn observe(
        &mut self,
        endpoint: Incarnation,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
        random: f64,
    ) -> Option<Change> {
        let Some(limit) = self.known.get_mut(&endpoint) else {
            let rate = rate?;
            self.make_room();
            self.known.insert(endpoint, Limit::new(rate, at, self.routers, now, random));
            return Some(Change { before: None, now: Some(rate) });
        };
        if at <= limit.observed_at {
            return None;
        }
        let before = limit.rate_in_force(now);
        limit.settle(now);
        limit.rate = rate;
        limit.observed_at = at;
        (before != rate).then_some(Change { before, now: rate })
    }

    fn make_room(&mut self) {
        if self.known.len() >= MAX_LIMITS {
            let oldest = self.known.iter().min_by_key(|(_, limit)| limit.observed_at);
            let oldest = *oldest.expect("the map is not empty").0;
            self.known.remove(&oldest);
        }
    }

    fn permits(&self, endpoint: Incarnation, now: Instant) -> bool {
        self.known.get(&endpoint).is_none_or(|limit| limit.time_to_credit(now).is_zero())
    }
}

impl Limit {
    fn new(rate: RequestRate, at: Instant, routers: usize, now: Instant, random: f64) -> Self {
        Self {
            rate: Some(rate),
            observed_at: at,
            share: 1.0 / routers as f64,
            idle_bound: idle_bound(rate, routers),
            idle_accrued: 0.0,
            credit: idle_bound(rate, routers),
            credited_at: now,
            threshold: 1.0 - random,
            demand: Average::new(now),
            sent: Average::new(now),
            reported_demand: 0.0,
            peers: BTreeMap::new(),
        }
    }

    fn rate_in_force(&self, now: Instant) -> Option<RequestRate> {
        self.rate.filter(|_| now.since(self.observed_at) < LIMIT_TTL)
    }

    /// This router's share of the limit, in requests per second.
    fn own_rate(&self, now: Instant) -> Option<f64> {
        let rate = self.rate_in_force(now)?.per_second().max(MIN_RATE);
        Some(rate * self.share)
    }

    /// Credit that accrues from `credited_at` to `now`, and the part of it for which this
    /// router was idle; `None` without a limit.
    fn accrual(&self, now: Instant) -> Option<(f64, f64)> {
        let own_rate = self.own_rate(now)?;
        let idle_from = (self.demand.updated_at + IDLE_AFTER).max(self.credited_at);
        let idle = own_rate * now.since(idle_from).as_secs_f64();
        let busy = own_rate * now.min(idle_from).since(self.credited_at).as_secs_f64();
        let bound = self.idle_bound.max(own_rate * BURST_TIME.as_secs_f64());
        let idle = idle.min((bound - self.idle_accrued).max(0.0));
        Some((busy + idle, idle))
    }

    /// The credit at `now`; `None` without a limit.
    fn credit_at(&self, now: Instant) -> Option<f64> {
        let bound = (self.own_rate(now)? * BURST_TIME.as_secs_f64()).max(1.0);
        Some((self.credit + self.accrual(now)?.0).min(bound))
    }

    /// Time until a request may be sent.
    fn time_to_credit(&self, now: Instant) -> Duration {
        let Some((credit, own_rate)) = self.credit_at(now).zip(self.own_rate(now)) else {
            return Duration::ZERO;
        };
        let seconds = (self.threshold - credit).max(0.0) / own_rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        wait.max(self.time_to_quiet(now))
    }

    /// Time until the requests that all routers have recently sent are few enough.
    fn time_to_quiet(&self, now: Instant) -> Duration {
        let Some(rate) = self.rate_in_force(now) else { return Duration::ZERO };
        let peers = self.peers.values().map(|peer| decay(peer.sent, peer.reported_at, now));
        let recent = self.sent.at(now) + peers.sum::<f64>();
        let excess = recent / (rate.per_second().max(MIN_RATE) * MAX_RECENT);
        DEMAND_TIME.mul_f64(excess.max(1.0).ln())
    }

    /// Adds what has accrued at the present share, before that changes.
    fn settle(&mut self, now: Instant) {
        if let Some((credit, (_, idle))) = self.credit_at(now).zip(self.accrual(now)) {
            self.credit = credit;
            self.idle_accrued += idle;
        }
        self.credited_at = now;
    }

    /// Records that a request was sent, or refused for the limit.
    fn add_demand(&mut self, now: Instant) {
        self.settle(now);
        self.idle_accrued = 0.0;
        self.demand.add(now);
    }

    fn take(&mut self, now: Instant, random: f64) {
        self.add_demand(now);
        self.sent.add(now);
        self.credit -= 1.0;
        self.threshold = 1.0 - random;
    }

    /// Computes the share from what all routers have reported.
    fn update_share(&mut self, routers: usize, now: Instant) {
        self.settle(now);
        self.peers.retain(|_, peer| now.since(peer.reported_at) < PEER_DEMAND_TTL);
        let Some(rate) = self.rate else { return };
        let routers = routers.max(self.peers.len() + 1);
        let base = rate.per_second().max(MIN_RATE) * BASE_DEMAND;
        let others: f64 = self.peers.values().map(|peer| peer.demand).sum();
        let total = self.reported_demand + others + base;
        self.share = (self.reported_demand + base / routers as f64) / total;
        self.idle_bound = idle_bound(rate, routers);
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.rate.is_some() { LIMIT_TTL } else { LIFTED_TTL };
        now.since(self.observed_at) >= ttl
    }
}

/// Bound on the credit of each of a number of idle routers.
fn idle_bound(rate: RequestRate, routers: usize) -> f64 {
    let few = routers <= MIN_ROUTERS;
    let (least, full) = if few { IDLE_REQUESTS_OF_FEW } else { IDLE_REQUESTS };
    let requests = least + (full - least) * rate.per_second().min(1.0);
    (requests / routers as f64).min(1.0)
}

impl Fleet {
    /// Records the limit that an answer of an endpoint names, or that it names none.
    ///
    /// `at` is when an answer with a limit arrived. For one without, it is when its
    /// request was sent, since answers may overtake each other. `random` is from
    /// `0.0..1.0`.
    pub fn observe_limit(
        &mut self,
        endpoint: Incarnation,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
        random: f64,
    ) -> Option<Change> {
        self.limits.observe(endpoint, rate, at, now, random)
    }

    /// Counts a request that is sent to an endpoint against its limit.
    pub fn record_sent(&mut self, endpoint: Incarnation, now: Instant, random: f64) {
        if let Some(limit) = self.limits.known.get_mut(&endpoint) {
            limit.take(now, random);
        }
    }

    /// Records that a request was refused because of the limits of a service's
    /// endpoints, which adds to this router's demand.
    pub fn record_limited(&mut self, service: &str, now: Instant) {
        let members = self.members.values().filter(|m| &*m.endpoint.service == service);
        for member in members {
            if let Some(limit) = self.limits.known.get_mut(&member.key()) {
                limit.add_demand(now);
            }
        }
    }

    /// Whether a request may be sent to an endpoint.
    pub(super) fn has_credit(&self, member: &Member, now: Instant) -> bool {
        self.limits.known.is_empty() || self.limits.permits(member.key(), now)
    }

    /// Time until a request may be sent to one of the endpoints of a service that have
    /// reached their limits; `None` if there are none.
    pub fn time_to_credit(&self, service: &str, now: Instant) -> Option<Duration> {
        let members = self.members.values().filter(|m| &*m.endpoint.service == service);
        let limits = members.filter_map(|member| self.limits.known.get(&member.key()));
        limits.map(|limit| limit.time_to_credit(now)).filter(|wait| !wait.is_zero()).min()
    }

    /// Makes this router's demand that which [`limit_records`](Self::limit_records)
    /// reports from now on; `routers` is the number of live ones, this one included.
    pub fn update_limits(&mut self, routers: usize, now: Instant) {
        self.limits.routers = routers.max(MIN_ROUTERS);
        self.limits.known.retain(|_, limit| !limit.is_expired(now));
        for limit in self.limits.known.values_mut() {
            limit.reported_demand = limit.demand.at(now);
            limit.update_share(self.limits.routers, now);
        }
    }

    /// What peers have to know.
    pub fn limit_records(&self, now: Instant) -> Vec<Record> {
        let record = |(endpoint, limit): (&Incarnation, &Limit)| Record {
            endpoint: *endpoint,
            rate: limit.rate,
            age: now.since(limit.observed_at),
            demand: limit.reported_demand as f32,
            sent: limit.sent.at(now) as f32,
        };
        self.limits.known.iter().map(record).collect()
    }

    /// Adds what a peer knows; returns the limits that changed, by endpoint id.
    pub fn merge_limits(
        &mut self,
        peer: &Arc<str>,
        records: &[Record],
        now: Instant,
        random: f64,
    ) -> Vec<(Arc<str>, Change)> {
        let mut changes = Vec::new();
        for record in records {
            let at = now - record.age;
            let change = self.limits.observe(record.endpoint, record.rate, at, now, random);
            if let Some(change) = change {
                let member = self.members.values().find(|m| m.key() == record.endpoint);
                let id = member.map(|member| member.endpoint.id.clone());
                changes.push((id.unwrap_or_else(|| "unknown".into()), change));
            }
            if let Some(limit) = self.limits.known.get_mut(&record.endpoint) {
                let (demand, sent) = (f64::from(record.demand), f64::from(record.sent));
                limit.peers.insert(peer.clone(), PeerDemand { reported_at: now, demand, sent });
                limit.update_share(self.limits.routers, now);
            }
        }
        changes
    }
}
