//! Bounded request queue: strict priority between levels, weighted fair queueing
//! between the teams of a level.
//!
//! The queue uses start-time fair queueing, see `docs/design/admission.md`.
//! Adding, removing and correcting a request takes amortized time logarithmic in
//! the number of queued requests and active teams; sums over the levels take time
//! linear in their number.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::Ticket;
use crate::resource::Name;

/// Virtual time of one token at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Priority level; 0 is the highest.
    pub level: u8,
    /// The team that sent it.
    pub team: Name,
    /// Weight of the team among the teams of the same level.
    pub weight: u32,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// Memory held while queued, in bytes.
    pub bytes: usize,
}

/// Requests that wait for a slot.
#[derive(Default)]
pub struct Queue {
    levels: BTreeMap<u8, Level>,
    items: HashMap<Ticket, Item>,
    bytes: usize,
}

/// The teams of one priority level.
#[derive(Default)]
struct Level {
    flows: HashMap<Name, Flow>,
    /// Backlogged teams by the virtual start of their oldest request.
    by_start: BTreeSet<(u64, Name)>,
    /// Backlogged teams by the virtual finish of their newest request.
    by_finish: BTreeSet<(u64, Name)>,
    /// Teams with nothing queued that have used more than their share, by
    /// virtual start.
    idle: BTreeSet<(u64, Name)>,
    /// Largest virtual start of the requests dequeued so far.
    virtual_time: u64,
    /// Estimated cost of the queued requests, in tokens.
    cost: u64,
    /// Sum of the weights of the backlogged teams.
    weight: u64,
    /// Total size of the queued requests.
    bytes: usize,
}

/// The queue of one team within a level.
struct Flow {
    weight: u32,
    /// Virtual start of the oldest queued request, or of the next one to arrive.
    start: u64,
    /// Estimated cost of the queued requests, in tokens.
    cost: u64,
    /// Queued requests with their estimated costs.
    queue: BTreeMap<Ticket, u32>,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Total size of all queued requests, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of team states held, over all levels.
    pub fn teams(&self) -> usize {
        self.levels.values().map(|level| level.flows.len()).sum()
    }

    /// Total size of the requests queued at levels served before `level`, in
    /// bytes.
    pub fn bytes_at_higher_priority(&self, level: u8) -> usize {
        self.levels.range(..level).map(|(_, level)| level.bytes).sum()
    }

    /// Estimated cost, in tokens, of the requests served before a new one.
    pub fn cost_ahead(&self, level: u8, team: &Name, weight: u32) -> u64 {
        let higher_levels: u64 = self.levels.range(..level).map(|(_, level)| level.cost).sum();
        higher_levels + self.levels.get(&level).map_or(0, |level| level.cost_ahead(team, weight))
    }

    /// Adds a request at the end of its team's queue.
    pub fn push(&mut self, item: Item) {
        let level = self.levels.entry(item.level).or_default();
        let mut flow = level.detach(&item.team, item.weight);
        flow.weight = item.weight;
        flow.cost += u64::from(item.cost);
        flow.queue.insert(item.ticket, item.cost);
        level.attach(&item.team, flow);
        level.bytes += item.bytes;
        self.bytes += item.bytes;
        self.items.insert(item.ticket, item);
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<Item> {
        let (_, level) = self.levels.first_key_value()?;
        let (_, team) = level.by_start.first()?;
        let oldest = level.flows[team].queue.first_key_value().map(|(ticket, _)| *ticket)?;
        let item = self.items.remove(&oldest)?;
        self.bytes -= item.bytes;
        self.update_level(&item, |level| level.dequeue(&item));
        Some(item)
    }

    /// Removes and returns the request to shed next: at the lowest priority
    /// level, the newest one of the team that is furthest over its share.
    pub fn shed(&mut self) -> Option<Item> {
        let (_, level) = self.levels.last_key_value()?;
        let (_, team) = level.by_finish.last()?;
        let newest = level.flows[team].queue.last_key_value().map(|(ticket, _)| *ticket)?;
        self.remove(newest)
    }

    /// Removes a request from any position in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let item = self.items.remove(&ticket)?;
        self.bytes -= item.bytes;
        self.update_level(&item, |level| level.withdraw(&item));
        Some(item)
    }

    /// Replaces the estimated cost of a served request by the actual one, unless
    /// nothing is queued at its level.
    pub fn correct(&mut self, item: &Item, actual: u32) {
        if self.levels.contains_key(&item.level) {
            self.update_level(item, |level| level.correct(item, actual));
        }
    }

    /// Applies `change` to the level of an item and drops the level if it is
    /// then empty.
    fn update_level(&mut self, item: &Item, change: impl FnOnce(&mut Level)) {
        let level = self.levels.get_mut(&item.level).expect("the level of a queued item exists");
        change(level);
        if level.by_start.is_empty() {
            self.levels.remove(&item.level);
        }
    }
}

impl Level {
    /// Estimated cost served before a new request of `team`: the team's queued cost
    /// divided by its share of the weights, since the other teams are served in
    /// between, but at most the queued cost of the level.
    fn cost_ahead(&self, team: &Name, weight: u32) -> u64 {
        let own = self.flows.get(team);
        let own_cost = own.map_or(0, |flow| flow.cost);
        let own_queued = own.is_some_and(|flow| !flow.queue.is_empty());
        let weights = self.weight + if own_queued { 0 } else { u64::from(weight) };
        let shared = own_cost.saturating_mul(weights) / u64::from(weight.max(1));
        shared.min(self.cost)
    }

    fn dequeue(&mut self, item: &Item) {
        let mut flow = self.detach(&item.team, item.weight);
        self.virtual_time = self.virtual_time.max(flow.start);
        self.bytes -= item.bytes;
        flow.remove(item);
        flow.start += flow.virtual_cost(item.cost);
        self.attach(&item.team, flow);
        self.remove_idle();
    }

    fn withdraw(&mut self, item: &Item) {
        let mut flow = self.detach(&item.team, item.weight);
        self.bytes -= item.bytes;
        flow.remove(item);
        self.attach(&item.team, flow);
    }

    fn correct(&mut self, item: &Item, actual: u32) {
        let mut flow = self.detach(&item.team, item.weight);
        let increase = flow.virtual_cost(actual.saturating_sub(item.cost));
        let decrease = flow.virtual_cost(item.cost.saturating_sub(actual));
        flow.start = (flow.start + increase).saturating_sub(decrease).max(self.virtual_time);
        self.attach(&item.team, flow);
    }

    /// Removes a team from every index; a new team starts at the current virtual
    /// time.
    fn detach(&mut self, team: &Name, weight: u32) -> Flow {
        let Some(mut flow) = self.flows.remove(team) else {
            let start = self.virtual_time;
            return Flow { weight, start, cost: 0, queue: BTreeMap::new() };
        };
        if flow.queue.is_empty() {
            self.idle.remove(&(flow.start, team.clone()));
            flow.start = flow.start.max(self.virtual_time);
        } else {
            self.by_start.remove(&(flow.start, team.clone()));
            self.by_finish.remove(&(flow.finish(), team.clone()));
            self.cost -= flow.cost;
            self.weight -= u64::from(flow.weight);
        }
        flow
    }

    /// Puts a team back into the indexes; drops one that has nothing queued and
    /// is not ahead of the virtual time.
    fn attach(&mut self, team: &Name, flow: Flow) {
        if !flow.queue.is_empty() {
            self.by_start.insert((flow.start, team.clone()));
            self.by_finish.insert((flow.finish(), team.clone()));
            self.cost += flow.cost;
            self.weight += u64::from(flow.weight);
        } else if flow.start > self.virtual_time {
            self.idle.insert((flow.start, team.clone()));
        } else {
            return;
        }
        self.flows.insert(team.clone(), flow);
    }

    /// Drops the idle teams that are no longer ahead of the virtual time.
    fn remove_idle(&mut self) {
        while self.idle.first().is_some_and(|(start, _)| *start <= self.virtual_time) {
            if let Some((_, team)) = self.idle.pop_first() {
                self.flows.remove(&team);
            }
        }
    }
}

impl Flow {
    /// Virtual time of `cost` tokens at the team's weight.
    fn virtual_cost(&self, cost: u32) -> u64 {
        u64::from(cost) * VIRTUAL_TIME_PER_TOKEN / u64::from(self.weight.max(1))
    }

    fn finish(&self) -> u64 {
        self.start + self.cost * VIRTUAL_TIME_PER_TOKEN / u64::from(self.weight.max(1))
    }

    fn remove(&mut self, item: &Item) {
        self.queue.remove(&item.ticket);
        self.cost -= u64::from(item.cost);
    }
}
