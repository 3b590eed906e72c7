//! Each router's share of a team's limits, by its part of the team's demand.
//!
//! Routers report their demand to each other a few times a second. A router
//! reckons with the demand that it last reported, not with its latest, so that
//! all routers divide the same figures and the shares add up to the limit. See
//! `docs/design/admission.md` for the bounds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resource::Name;
use crate::time::Instant;

/// Time between two reports to a peer.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a peer's demand no longer counts.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that a router may spend on reports to all its peers.
pub const BYTES_PER_SECOND: usize = 9 * 1_024;

/// Most bytes of an encoded entry.
const ENTRY_BYTES: usize = 7;
/// Time constant of the average of demand.
const AVERAGE_SECONDS: f64 = 0.4;
/// Time constant by which every router lets a reported value fade until the
/// next report of it.
const FADE_SECONDS: f64 = 4.0;
/// Change, relative to the value last reported, that is worth an entry.
const REPORT_CHANGE: f64 = 0.1;
/// Steps of a reported value for each doubling of demand.
const STEPS_PER_DOUBLING: f64 = 64.0;
/// Demand below which a team is idle, in tokens a second.
const IDLE_DEMAND: f64 = 0.01;

/// Identifies a team in a report: a hash of its name.
///
/// Two teams of the same hash only divide their limits less exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TeamId([u8; 4]);

/// Demand in tokens a second, in logarithmic steps of about 1%.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand(u16);

/// One router's demand, as far as it changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Teams and their demand; zero means idle.
    pub entries: Vec<(TeamId, Demand)>,
}

/// Demand of this router and of its peers.
#[derive(Default)]
pub struct Share {
    own: BTreeMap<TeamId, Own>,
    peers: HashMap<Name, Peer>,
    others: HashMap<TeamId, Value>,
}

struct Own {
    limit: f64,
    average: f64,
    updated: Instant,
    reported: Value,
}

struct Peer {
    heard: Instant,
    demand: HashMap<TeamId, Value>,
}

/// A reported value that fades, in tokens a second.
#[derive(Clone, Copy)]
struct Value {
    value: f64,
    at: Instant,
}

/// Most entries of a report that goes to each of `peers` routers.
pub const fn max_entries(peers: usize) -> usize {
    let reports = 1_000 / REPORT_INTERVAL.as_millis() as usize;
    let peers = if peers == 0 { 1 } else { peers };
    let entries = BYTES_PER_SECOND / (reports * peers * ENTRY_BYTES);
    if entries == 0 { 1 } else { entries }
}

impl Share {
    /// Notes a request of `cost` tokens, whether or not it is admitted, of a
    /// team limited to `limit` tokens a second.
    pub fn observe(&mut self, now: Instant, team: TeamId, cost: u32, limit: f64) {
        let own = self.own.entry(team).or_insert_with(|| Own::new(now));
        own.decay(now);
        own.limit = limit;
        own.average += f64::from(cost) / AVERAGE_SECONDS;
    }

    /// This router's part of the team's limits, from 0 to 1.
    pub fn fraction(&self, now: Instant, team: TeamId) -> f64 {
        let others = self.others.get(&team).map_or(0.0, |sum| sum.now(now));
        if others < IDLE_DEMAND {
            return 1.0;
        }
        let own = self.own.get(&team).map_or(0.0, |own| own.counted(now));
        own / (own + others)
    }

    /// Teams for which own demand is held.
    pub fn active(&self) -> usize {
        self.own.len()
    }

    /// The next report, the same to every peer: the largest changes, each by its team's limit, come
    /// first, at most `entries` of them, see [`max_entries`].
    pub fn export(&mut self, now: Instant, entries: usize) -> Report {
        let mut due: Vec<(f64, TeamId, Demand)> = Vec::new();
        for (team, own) in &mut self.own {
            own.decay(now);
            let others = self.others.get(team).map_or(0.0, |sum| sum.now(now));
            if let Some(change) = own.change(now) {
                due.push((change * own.pressure(now, others), *team, Demand::from(own.average)));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due.truncate(entries);
        for (_, team, demand) in &due {
            if let Some(own) = self.own.get_mut(team) {
                own.reported = Value::new(now, *demand);
            }
        }
        self.own.retain(|_, own| own.average >= IDLE_DEMAND || !own.reported.is_idle(now));
        Report { entries: due.into_iter().map(|(_, team, demand)| (team, demand)).collect() }
    }

    /// Takes in a peer's report.
    pub fn merge(&mut self, now: Instant, from: &Name, report: &Report) {
        let peer = self
            .peers
            .entry(from.clone())
            .or_insert_with(|| Peer { heard: now, demand: HashMap::new() });
        peer.heard = now;
        for (team, demand) in &report.entries {
            let reported = Value::new(now, *demand);
            let before = peer.demand.insert(*team, reported);
            let change = reported.value - before.map_or(0.0, |before| before.now(now));
            let sum = self.others.entry(*team).or_insert(Value { value: 0.0, at: now });
            sum.add(now, change);
        }
    }

    /// Drops the demand of peers that have been silent and of idle teams.
    pub fn expire(&mut self, now: Instant) {
        let others = &mut self.others;
        self.peers.retain(|_, peer| {
            let alive = now.since(peer.heard) < PEER_TIMEOUT;
            if !alive {
                forget(now, others, peer);
            }
            peer.demand.retain(|_, value| !value.is_idle(now));
            alive
        });
        others.retain(|_, sum| !sum.is_idle(now));
    }

    /// Drops a peer that announced its shutdown.
    pub fn remove(&mut self, now: Instant, peer: &Name) {
        if let Some(peer) = self.peers.remove(peer) {
            forget(now, &mut self.others, &peer);
        }
    }
}

fn forget(now: Instant, others: &mut HashMap<TeamId, Value>, peer: &Peer) {
    for (team, value) in &peer.demand {
        if let Some(sum) = others.get_mut(team) {
            sum.add(now, -value.now(now));
        }
    }
}

impl Value {
    fn new(now: Instant, demand: Demand) -> Self {
        Self { value: demand.tokens_per_second(), at: now }
    }

    /// What is left of it.
    fn now(&self, now: Instant) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / FADE_SECONDS).exp()
    }

    fn add(&mut self, now: Instant, value: f64) {
        self.value = (self.now(now) + value).max(0.0);
        self.at = now;
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.now(now) < IDLE_DEMAND
    }
}

impl Own {
    fn new(now: Instant) -> Self {
        Self { limit: 0.0, average: 0.0, updated: now, reported: Value { value: 0.0, at: now } }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.average *= (-elapsed / AVERAGE_SECONDS).exp();
        self.updated = now;
    }

    /// Demand that this router reckons with.
    fn counted(&self, now: Instant) -> f64 {
        let reported = self.reported.now(now);
        if reported < IDLE_DEMAND { self.average } else { reported }
    }

    /// Weight of an entry, by the demand on all routers as a part of the limit:
    /// far below the limit, no request is refused whatever the shares are.
    fn pressure(&self, now: Instant, others: f64) -> f64 {
        let demand = self.average.max(self.counted(now)) + others;
        (demand / self.limit).min(1.0).powi(2)
    }

    /// How much an entry would tell, as a part of the team's limit, or `None`
    /// when it would tell nothing.
    fn change(&self, now: Instant) -> Option<f64> {
        let reported = self.reported.now(now);
        let change = (self.average - reported).abs();
        let changed = change > REPORT_CHANGE * reported && change >= IDLE_DEMAND;
        changed.then_some(change / self.limit)
    }
}

impl Demand {
    fn tokens_per_second(self) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2() / 1_000.0
    }
}

impl From<f64> for Demand {
    fn from(tokens_per_second: f64) -> Self {
        if tokens_per_second < IDLE_DEMAND {
            return Self::default();
        }
        let steps = (tokens_per_second * 1_000.0).log2() * STEPS_PER_DOUBLING;
        Self(steps.round().clamp(1.0, 2_560.0) as u16)
    }
}

impl From<&Name> for TeamId {
    fn from(name: &Name) -> Self {
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        Self(name.as_str().bytes().fold(OFFSET, step).to_le_bytes())
    }
}
