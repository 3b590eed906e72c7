//! Each router's share of a team's rate limits, in proportion to its share of
//! the team's demand.
//!
//! Routers report their demand to each other a few times a second. A router
//! uses the demand that it last reported, not its current one, so that all
//! routers compute shares from the same values and the shares add up to the
//! limit. See `docs/design/admission.md` for the bounds.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resource::Name;
use crate::time::Instant;

/// Interval between reports to a peer.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a report after which a peer's demand no longer counts.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bandwidth that a router may use for reports to all its peers.
pub const MAX_REPORT_BYTES_PER_SECOND: usize = 9 * 1_024;

/// Maximum size of an encoded entry.
const MAX_ENTRY_BYTES: usize = 7;
/// Time constant of the moving average of demand.
const DEMAND_AVERAGING_SECONDS: f64 = 0.4;
/// Time constant with which every router decays a reported value until it is
/// reported again.
const REPORTED_DEMAND_DECAY_SECONDS: f64 = 4.0;
/// Minimum change, relative to the value last reported, for a new entry.
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Quantization steps of a reported value per doubling of demand.
const STEPS_PER_DOUBLING: f64 = 64.0;
/// Demand below which a team is idle.
const IDLE_TOKENS_PER_SECOND: f64 = 0.01;

/// Identifies a team in a report: a hash of its name.
///
/// A hash collision only makes the shares of the two teams less accurate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TeamId([u8; 4]);

/// Demand in tokens per second, in logarithmic steps of about 1%.
///
/// Step `n`, from 1 to 2,560, stands for `2^(n/64) / 1,000` tokens per second; 0
/// stands for no demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand(u16);

/// The changes in one router's demand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Teams and their demand; zero means that the team is idle.
    pub entries: Vec<(TeamId, Demand)>,
}

/// Demand of this router and its peers.
#[derive(Default)]
pub struct DemandShares {
    own: BTreeMap<TeamId, OwnDemand>,
    peers: HashMap<Name, PeerDemand>,
    /// Sum of the peers' reported demand for each team.
    peer_totals: HashMap<TeamId, DecayingDemand>,
}

struct OwnDemand {
    limit_tokens_per_second: f64,
    /// Moving average of the demand, in tokens per second.
    average: f64,
    updated_at: Instant,
    last_reported: DecayingDemand,
}

struct PeerDemand {
    last_report_at: Instant,
    demand: HashMap<TeamId, DecayingDemand>,
}

/// A reported demand that decays exponentially.
#[derive(Clone, Copy)]
struct DecayingDemand {
    tokens_per_second: f64,
    updated_at: Instant,
}

/// Maximum number of entries in a report that is sent to each of `peers` routers.
pub const fn max_entries(peers: usize) -> usize {
    let reports = 1_000 / REPORT_INTERVAL.as_millis() as usize;
    let peers = if peers == 0 { 1 } else { peers };
    let entries = MAX_REPORT_BYTES_PER_SECOND / (reports * peers * MAX_ENTRY_BYTES);
    if entries == 0 { 1 } else { entries }
}

impl DemandShares {
    /// Records a request of `cost` tokens, admitted or not, from a team limited
    /// to `limit` tokens per second.
    pub fn observe(&mut self, now: Instant, team: TeamId, cost: u32, limit: f64) {
        let own = self.own.entry(team).or_insert_with(|| OwnDemand::new(now));
        own.decay(now);
        own.limit_tokens_per_second = limit;
        own.average += f64::from(cost) / DEMAND_AVERAGING_SECONDS;
    }

    /// This router's share of the team's limits, from 0 to 1.
    pub fn fraction(&self, now: Instant, team: TeamId) -> f64 {
        let others = self.peer_totals.get(&team).map_or(0.0, |sum| sum.value_at(now));
        if others < IDLE_TOKENS_PER_SECOND {
            return 1.0;
        }
        let own = self.own.get(&team).map_or(0.0, |own| own.effective(now));
        own / (own + others)
    }

    /// Number of teams for which this router tracks its own demand.
    pub fn tracked_teams(&self) -> usize {
        self.own.len()
    }

    /// Returns the next report, the same for every peer: at most
    /// `entry_limit` changes, see [`max_entries`]. Largest first, they are ordered
    /// by their size relative to the team's limit, multiplied by their priority.
    pub fn export(&mut self, now: Instant, entry_limit: usize) -> Report {
        let mut due: Vec<(f64, TeamId, Demand)> = Vec::new();
        for (team, own) in &mut self.own {
            own.decay(now);
            let others = self.peer_totals.get(team).map_or(0.0, |sum| sum.value_at(now));
            if let Some(change) = own.change(now) {
                due.push((change * own.priority(now, others), *team, Demand::from(own.average)));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        due.truncate(entry_limit);
        for (_, team, demand) in &due {
            if let Some(own) = self.own.get_mut(team) {
                own.last_reported = DecayingDemand::new(now, *demand);
            }
        }
        self.own.retain(|_, own| {
            own.average >= IDLE_TOKENS_PER_SECOND || !own.last_reported.is_idle(now)
        });
        Report { entries: due.into_iter().map(|(_, team, demand)| (team, demand)).collect() }
    }

    /// Merges a peer's report.
    pub fn merge(&mut self, now: Instant, peer_name: &Name, report: &Report) {
        let peer = self
            .peers
            .entry(peer_name.clone())
            .or_insert_with(|| PeerDemand { last_report_at: now, demand: HashMap::new() });
        peer.last_report_at = now;
        for (team, demand) in &report.entries {
            let reported = DecayingDemand::new(now, *demand);
            let before = peer.demand.insert(*team, reported);
            let change =
                reported.tokens_per_second - before.map_or(0.0, |before| before.value_at(now));
            let sum = self
                .peer_totals
                .entry(*team)
                .or_insert(DecayingDemand { tokens_per_second: 0.0, updated_at: now });
            sum.add(now, change);
        }
    }

    /// Drops the demand of peers that stopped reporting and of idle teams.
    pub fn expire(&mut self, now: Instant) {
        let peer_totals = &mut self.peer_totals;
        self.peers.retain(|_, peer| {
            let alive = now.since(peer.last_report_at) < PEER_TIMEOUT;
            if !alive {
                subtract_peer(now, peer_totals, peer);
            }
            peer.demand.retain(|_, value| !value.is_idle(now));
            alive
        });
        peer_totals.retain(|_, sum| !sum.is_idle(now));
    }

    /// Drops a peer that announced its shutdown.
    pub fn remove(&mut self, now: Instant, peer: &Name) {
        if let Some(peer) = self.peers.remove(peer) {
            subtract_peer(now, &mut self.peer_totals, &peer);
        }
    }
}

fn subtract_peer(
    now: Instant,
    peer_totals: &mut HashMap<TeamId, DecayingDemand>,
    peer: &PeerDemand,
) {
    for (team, value) in &peer.demand {
        if let Some(sum) = peer_totals.get_mut(team) {
            sum.add(now, -value.value_at(now));
        }
    }
}

impl DecayingDemand {
    fn new(now: Instant, demand: Demand) -> Self {
        Self { tokens_per_second: demand.tokens_per_second(), updated_at: now }
    }

    /// The demand at `now`, after decay.
    fn value_at(&self, now: Instant) -> f64 {
        self.tokens_per_second
            * (-now.since(self.updated_at).as_secs_f64() / REPORTED_DEMAND_DECAY_SECONDS).exp()
    }

    fn add(&mut self, now: Instant, value: f64) {
        self.tokens_per_second = (self.value_at(now) + value).max(0.0);
        self.updated_at = now;
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.value_at(now) < IDLE_TOKENS_PER_SECOND
    }
}

impl OwnDemand {
    fn new(now: Instant) -> Self {
        Self {
            limit_tokens_per_second: 0.0,
            average: 0.0,
            updated_at: now,
            last_reported: DecayingDemand { tokens_per_second: 0.0, updated_at: now },
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.average *= (-elapsed / DEMAND_AVERAGING_SECONDS).exp();
        self.updated_at = now;
    }

    /// Demand from which this router computes its share: the decayed last reported
    /// value, or the current average if that value is below
    /// [`IDLE_TOKENS_PER_SECOND`].
    fn effective(&self, now: Instant) -> f64 {
        let reported = self.last_reported.value_at(now);
        if reported < IDLE_TOKENS_PER_SECOND { self.average } else { reported }
    }

    /// Priority of an entry: the square of the demand on all routers relative to the
    /// limit, at most 1. Far below the limit, inaccurate shares cause no refusals.
    fn priority(&self, now: Instant, others: f64) -> f64 {
        let demand = self.average.max(self.effective(now)) + others;
        (demand / self.limit_tokens_per_second).min(1.0).powi(2)
    }

    /// Change since the last report, relative to the team's limit; `None` if it
    /// is too small to report.
    fn change(&self, now: Instant) -> Option<f64> {
        let reported = self.last_reported.value_at(now);
        let change = (self.average - reported).abs();
        let changed = change > MIN_RELATIVE_CHANGE * reported && change >= IDLE_TOKENS_PER_SECOND;
        changed.then_some(change / self.limit_tokens_per_second)
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
        if tokens_per_second < IDLE_TOKENS_PER_SECOND {
            return Self::default();
        }
        let steps = (tokens_per_second * 1_000.0).log2() * STEPS_PER_DOUBLING;
        Self(steps.round().clamp(1.0, 2_560.0) as u16)
    }
}

impl From<&Name> for TeamId {
    fn from(name: &Name) -> Self {
        // FNV-1a, 32 bits; the same on every router.
        const OFFSET: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
        Self(name.as_str().bytes().fold(OFFSET, step).to_le_bytes())
    }
}
