//! This router's share of the link between zones.
//!
//! All chains with engines in two zones share one link, which sends one transfer after
//! another. Beyond its bandwidth they queue there, hold the memory of all their engines
//! meanwhile, and so drive further chains across it. The share follows the demand that
//! all routers have reported, so that the shares add up to one. See
//! `docs/design/link.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::average::Average;
use super::{Demand, Fleet, Hop};
use crate::deployment::Engine;
use crate::time::Instant;

/// Part of the bandwidth that requests may use; the rest is for rerouted ones, and for
/// answers that turn out longer than expected.
const USABLE_SHARE: f64 = 0.8;

/// Time over which an unused share accumulates.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Time constant of the averages of use and unmet demand: a few digest intervals.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Time after which the demand that a peer reported expires.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(3);

/// Age from which a demand of its own counts in a router's share: the usual age at which
/// peers count it in theirs. If it counted at once, many routers that begin to send
/// together would each take most of the link.
const OWN_DEMAND_AGE: Duration = Duration::from_millis(600);

/// Demand that is added to that of all routers together, in multiples of the usable
/// bandwidth. A router whose demand is not known yet thus has a share as well.
const BASE_DEMAND: f64 = 0.1;

/// Time without demand after which a router is idle and saves up no more than
/// [`BURST_TIME`]: each of many idle routers with a request to spare would exceed the link.
const IDLE_AFTER: Duration = Duration::from_secs(2);

/// Minimum number of routers among which the link is divided, for a router that has not
/// yet heard of its peers.
const MIN_ROUTERS: usize = 4;

/// What a router tells its peers of its use of the link, in bytes per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    /// What it has recently sent.
    pub used: f32,
    /// What it has recently refused or held back because its share was used up.
    pub unmet: f32,
}

/// A router's share of the link, and what it has used of it.
#[derive(Debug)]
pub(super) struct Link {
    /// Usable bytes per second; zero until the first request that would cross the link.
    bandwidth: f64,
    /// Live routers, this one included.
    routers: usize,
    /// Part of the usable bandwidth that is this router's.
    share: f64,
    /// Time for which the whole usable bandwidth may be used, in seconds, as of
    /// `credited_at`; negative after a chain that needed more.
    credit: f64,
    credited_at: Instant,
    /// Credit from which a chain may cross, at most the time of the last one. It is random,
    /// so that routers with small shares do not all reach it at the same moment.
    threshold: f64,
    /// Last time that a chain crossed or was to cross.
    wanted_at: Instant,
    used: Average,
    unmet: Average,
    /// What peers know of this router.
    reported: Record,
    /// Demand that was reported, up to the one that counts in the share.
    own_demand: SmallVec<[(Instant, f64); 8]>,
    peers: BTreeMap<Arc<str>, Report>,
}

/// What a peer reported.
#[derive(Debug)]
struct Report {
    record: Record,
    received_at: Instant,
}

impl Record {
    fn demand(&self) -> f64 {
        f64::from(self.used) + f64::from(self.unmet)
    }
}

impl Default for Link {
    fn default() -> Self {
        Self {
            bandwidth: 0.0,
            routers: MIN_ROUTERS,
            share: 1.0 / MIN_ROUTERS as f64,
            credit: 0.0,
            credited_at: Instant::ZERO,
            threshold: 0.0,
            wanted_at: Instant::ZERO,
            used: Average::new(DEMAND_TIME, Instant::ZERO),
            unmet: Average::new(DEMAND_TIME, Instant::ZERO),
            reported: Record::default(),
            own_demand: SmallVec::new(),
            peers: BTreeMap::new(),
        }
    }
}

impl Link {
    fn credit_at(&self, now: Instant) -> f64 {
        let accrued = now.since(self.credited_at).as_secs_f64() * self.share;
        let burst = self.share * BURST_TIME.as_secs_f64();
        let is_idle = now.since(self.wanted_at) > IDLE_AFTER;
        let bound = if is_idle { burst } else { burst.max(self.threshold) };
        (self.credit + accrued).min(bound)
    }

    /// Whether a chain may cross it. A chain may need more than is left, so that a share
    /// smaller than one request is of use as well. Before the first request that would
    /// cross it is recorded, none may.
    pub(super) fn permits(&self, engine: &Engine, now: Instant) -> bool {
        let is_known = self.bandwidth > 0.0;
        engine.link_bytes_per_ms <= 0.0 || is_known && self.credit_at(now) >= self.threshold
    }

    /// Adds what has accrued at the present share, before that changes.
    fn settle(&mut self, now: Instant) {
        self.credit = self.credit_at(now);
        self.credited_at = now;
    }

    /// Records that a request crosses the link, or is to.
    fn want(&mut self, engine: &Engine, bytes: f64, random: f64, now: Instant) {
        let bandwidth = engine.link_bytes_per_ms * 1_000.0 * USABLE_SHARE;
        if bandwidth != self.bandwidth {
            self.bandwidth = bandwidth;
            self.threshold = (1.0 - random) * bytes / bandwidth;
            self.update_share(now);
        }
        self.settle(now);
        self.wanted_at = now;
    }

    fn take(&mut self, engine: &Engine, bytes: f64, random: f64, now: Instant) {
        self.want(engine, bytes, random, now);
        self.credit -= bytes / self.bandwidth;
        self.threshold = (1.0 - random) * bytes / self.bandwidth;
        self.used.add(bytes, now);
    }

    fn give_back(&mut self, bytes: f64, now: Instant) {
        if self.bandwidth > 0.0 {
            self.settle(now);
            self.credit += bytes / self.bandwidth;
            self.used.add(-bytes, now);
        }
    }

    fn merge(&mut self, peer: &Arc<str>, record: Option<Record>, now: Instant) {
        match record {
            Some(record) => {
                self.peers.insert(peer.clone(), Report { record, received_at: now });
            }
            None => drop(self.peers.remove(peer)),
        }
        self.update_share(now);
    }

    /// Computes the share from what all routers have reported. Live routers that report
    /// nothing are of older builds and use equal shares.
    fn update_share(&mut self, now: Instant) {
        self.settle(now);
        self.peers.retain(|_, report| now.since(report.received_at) < PEER_DEMAND_TTL);
        let reporting = self.peers.len() + 1;
        let routers = self.routers.max(reporting) as f64;
        let reporting = reporting as f64;
        let base = self.bandwidth * BASE_DEMAND;
        let others: f64 = self.peers.values().map(|report| report.record.demand()).sum();
        let is_counted = |(at, _): &&(Instant, f64)| now.since(*at) >= OWN_DEMAND_AGE;
        let own = self.own_demand.iter().rfind(is_counted).map_or(0.0, |(_, demand)| *demand);
        let part = if self.bandwidth > 0.0 {
            (own + base / reporting) / (own + others + base)
        } else {
            1.0 / reporting
        };
        self.share = part * reporting / routers;
    }
}

impl Fleet {
    /// Charges what a request on a chain sends over the link; returns its bytes. Between
    /// two hops of `kept`, the chain that it leaves, nothing is sent again. `random` is from
    /// `0.0..1.0`.
    pub fn charge_link(
        &mut self,
        engine: &Engine,
        chain: &[Hop],
        kept: &[Hop],
        demand: &Demand,
        random: f64,
        now: Instant,
    ) -> f64 {
        let zone = |hop: &Hop| self.members.get(&hop.id).map(|member| &member.endpoint.zone);
        let is_charged = |pair: &&[Hop]| {
            zone(&pair[0]) != zone(&pair[1]) && !kept.windows(2).any(|earlier| earlier == *pair)
        };
        let crossings = chain.windows(2).filter(is_charged).count();
        if crossings == 0 || engine.link_bytes_per_ms <= 0.0 {
            return 0.0;
        }
        let bytes = crossings as f64 * crossing_bytes(engine, demand);
        self.link.take(engine, bytes, random, now);
        bytes
    }

    /// Gives back what was charged for a request that was rejected before it ran.
    pub fn refund_link(&mut self, bytes: f64, now: Instant) {
        if bytes > 0.0 {
            self.link.give_back(bytes, now);
        }
    }

    /// Records that a request finds this router's share used up, which adds to its demand.
    /// `random` is from `0.0..1.0`.
    pub fn record_link_full(
        &mut self,
        engine: &Engine,
        demand: &Demand,
        random: f64,
        now: Instant,
    ) {
        let bytes = crossing_bytes(engine, demand);
        self.link.want(engine, bytes, random, now);
        self.link.unmet.add(bytes, now);
    }

    /// What peers have to know of this router's use of the link.
    pub const fn link_record(&self) -> Record {
        self.link.reported
    }

    /// Adds what a peer reports of its use of the link; `None` if its build reports none.
    pub fn merge_link(&mut self, peer: &Arc<str>, record: Option<Record>, now: Instant) {
        self.link.merge(peer, record, now);
    }

    /// This router's share of the link, in bytes per second; zero until a request would
    /// cross it.
    pub fn link_share(&self) -> f64 {
        self.link.share * self.link.bandwidth
    }

    /// This router's share and use of the link in bytes per second, the number of routers
    /// whose demand it rests on, and the age of the oldest of these reports, as in
    /// `share=53000000 used=51000000 unmet=0 routers=34 routers_age_ms=840`.
    pub fn describe_link(&self, now: Instant) -> String {
        let (share, used) = (self.link_share(), self.link.used.at(now));
        let unmet = self.link.unmet.at(now);
        let ages = self.link.peers.values().map(|report| now.since(report.received_at));
        let oldest = ages.max().unwrap_or_default().as_millis();
        let routers = self.link.peers.len() + 1;
        format!(
            "share={share:.0} used={used:.0} unmet={unmet:.0} routers={routers} routers_age_ms={oldest}"
        )
    }

    /// Makes this router's use that which [`link_record`](Self::link_record) reports from
    /// now on.
    pub(super) fn update_link(&mut self, routers: usize, now: Instant) {
        let link = &mut self.link;
        link.routers = routers.max(MIN_ROUTERS);
        link.reported = Record { used: link.used.at(now) as f32, unmet: link.unmet.at(now) as f32 };
        let mut earlier = link.own_demand.iter();
        let counted = earlier.rposition(|(at, _)| now.since(*at) >= OWN_DEMAND_AGE);
        link.own_demand.drain(..counted.unwrap_or_default());
        link.own_demand.push((now, link.reported.demand()));
        link.update_share(now);
    }
}

/// Bytes that a request sends over the link each time that its chain crosses it.
fn crossing_bytes(engine: &Engine, demand: &Demand) -> f64 {
    (demand.prompt + demand.output) * engine.activation_bytes
}
