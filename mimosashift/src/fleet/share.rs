//! A router's share of the limit that an endpoint names.
//!
//! It follows the router's share of the recent demand, as all routers have reported
//! it, so that the shares add up to one. See `docs/design/limits.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Incarnation;
use super::limit::{Change, Record};
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

/// Change of a limit, as a part of the one last announced, from which it is announced
/// anew: an endpoint may name a slightly different one in each answer.
const MIN_ANNOUNCED_CHANGE: f64 = 0.1;

/// Lowest rate that is applied: without any request, the end of a limit would go
/// unnoticed.
const MIN_RATE: f64 = 0.25;

/// Minimum number of routers among which a limit is divided, for a router that has
/// not yet heard of its peers.
pub(super) const MIN_ROUTERS: usize = 4;

/// The limit of one endpoint, and this router's share of it.
#[derive(Debug)]
pub(super) struct Limit {
    /// The limit; `None` once it is lifted.
    rate: Option<RequestRate>,
    /// When an answer last named the limit; if it is lifted, when the request was sent
    /// whose answer showed that.
    observed_at: Instant,
    /// The limit that logs and peers were last told of at once.
    announced: Option<RequestRate>,
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

impl Limit {
    pub(super) fn new(
        rate: RequestRate,
        at: Instant,
        routers: usize,
        now: Instant,
        random: f64,
    ) -> Self {
        Self {
            rate: Some(rate),
            observed_at: at,
            announced: Some(rate),
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

    /// When the limit was last named, or found to be lifted.
    pub(super) const fn observed_at(&self) -> Instant {
        self.observed_at
    }

    /// Replaces the limit by what was observed at `at`; returns the change if it has to be
    /// announced.
    pub(super) fn renew(
        &mut self,
        rate: Option<RequestRate>,
        at: Instant,
        now: Instant,
    ) -> Option<Change> {
        self.settle(now);
        self.rate = rate;
        self.observed_at = at;
        let is_small = self.announced.zip(rate).is_some_and(|(before, now)| {
            let (before, now) = (before.per_second(), now.per_second());
            (now - before).abs() <= before * MIN_ANNOUNCED_CHANGE
        });
        if is_small || self.announced == rate {
            return None;
        }
        let before = std::mem::replace(&mut self.announced, rate);
        Some(Change { before, now: rate })
    }

    /// Makes the demand that which peers are told from now on.
    pub(super) fn report(&mut self, routers: usize, now: Instant) {
        self.reported_demand = self.demand.at(now);
        self.update_share(routers, now);
    }

    /// What peers have to know.
    pub(super) fn record(&self, endpoint: Incarnation, now: Instant) -> Record {
        Record {
            endpoint,
            rate: self.rate,
            age: now.since(self.observed_at),
            demand: self.reported_demand as f32,
            sent: self.sent.at(now) as f32,
        }
    }

    /// Adds the demand of a peer.
    pub(super) fn merge(&mut self, peer: &Arc<str>, told: &Record, routers: usize, now: Instant) {
        let (demand, sent) = (f64::from(told.demand), f64::from(told.sent));
        self.peers.insert(peer.clone(), PeerDemand { reported_at: now, demand, sent });
        self.update_share(routers, now);
    }

    fn rate_in_force(&self, now: Instant) -> Option<RequestRate> {
        self.rate.filter(|_| now.since(self.observed_at) < LIMIT_TTL)
    }

    /// The limit, in requests per second.
    pub(super) fn per_second(&self, now: Instant) -> Option<f64> {
        self.rate_in_force(now).map(RequestRate::per_second)
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
    pub(super) fn time_to_credit(&self, now: Instant) -> Duration {
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
    pub(super) fn add_demand(&mut self, now: Instant) {
        self.settle(now);
        self.idle_accrued = 0.0;
        self.demand.add(now);
    }

    /// Records that a request is sent.
    pub(super) fn take(&mut self, now: Instant, random: f64) {
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

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.rate.is_some() { LIMIT_TTL } else { LIFTED_TTL };
        now.since(self.observed_at) >= ttl
    }
}

/// Credit that each of a number of routers may save up while it is idle.
fn idle_bound(rate: RequestRate, routers: usize) -> f64 {
    let few = routers <= MIN_ROUTERS;
    let (least, full) = if few { IDLE_REQUESTS_OF_FEW } else { IDLE_REQUESTS };
    let requests = least + (full - least) * rate.per_second().min(1.0);
    (requests / routers as f64).min(1.0)
}
