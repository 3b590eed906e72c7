//! Heartbeat-based membership of routers.
//!
//! Membership is only used to divide work: which router polls, which peer to
//! pull from, how limits are divided. Safety properties must not depend on it,
//! since two routers may disagree about a third at any time. See
//! `docs/design/membership.md`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use crate::config::Version;
use crate::config::replication::Peer;
use crate::resource::Name;
use crate::time::Instant;
use crate::wire::message::{DomainSummary, Heartbeat, MAX_PAYLOAD_BYTES, Payload};

mod domain;
mod peer;
pub mod transport;

use domain::DomainSummaries;

pub use domain::InForce;
pub use peer::{DEAD_AFTER, Event, Liveness, Member, SUSPECT_AFTER};

/// Time between two heartbeat rounds in a small failure domain.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which a router is kept after its last heartbeat.
const MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// Time between two ticks above which this process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(3_000);

/// Maximum heartbeats sent within the own domain per [`HEARTBEAT_INTERVAL`];
/// in a larger domain the interval between rounds grows.
const MAX_LOCAL_RATE: u32 = 24;

/// Routers of other failure domains that receive a heartbeat in each round.
const REMOTE_FANOUT: usize = 2;

/// Routers of the own domain that receive the domain summaries in each round.
const SUMMARY_FANOUT: usize = 2;

/// Addresses without a known router that receive a heartbeat in each round.
const UNCONTACTED_FANOUT: usize = 4;

/// Addresses of other routers included in one heartbeat.
const PEERS_PER_HEARTBEAT: usize = 2;

/// Average number of rounds between two addresses of other failure domains that
/// a router receives from its own domain.
const ROUNDS_PER_REMOTE_ADDRESS: u32 = 4;

/// Maximum number of routers in the member table.
const MAX_MEMBERS: usize = 2_048;

/// Maximum number of stored addresses without a known router.
const MAX_UNCONTACTED: usize = 1_024;

/// Maximum encoded size of the tag and the length of a payload.
const PAYLOAD_OVERHEAD_BYTES: usize = 3;

/// A round is early by up to the interval divided by this.
const JITTER_DIVISOR: u32 = 10;

/// Identity of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Name, unique among live routers.
    pub node: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address on which it receives heartbeats.
    pub address: SocketAddr,
    /// See [`incarnation`].
    pub incarnation: u64,
}

/// State of this router that heartbeats carry besides its identity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Version of the installed configuration.
    pub version: Version,
    /// When this router last polled the head of the configuration table.
    pub polled: Option<Instant>,
    /// Small reports of other modules; those beyond a total of
    /// [`MAX_PAYLOAD_BYTES`] are dropped.
    pub payloads: Vec<Payload>,
}

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingHeartbeat {
    /// Destination.
    pub to: SocketAddr,
    /// Heartbeat to send.
    pub heartbeat: Heartbeat,
}

/// Destination of a heartbeat.
#[derive(Clone, Debug)]
struct Target {
    address: SocketAddr,
    domain: Option<Name>,
}

/// Member table of a router.
#[derive(Debug)]
pub struct Membership {
    own: Identity,
    sequence: u64,
    leaving: bool,
    members: BTreeMap<Name, Member>,
    /// Addresses without a known router, from settings, the VM list and other
    /// routers; the newest are last and are tried first.
    addresses: VecDeque<SocketAddr>,
    domains: DomainSummaries,
    last_tick: Option<Instant>,
    next_round: Instant,
}

impl Membership {
    /// Creates a member table that knows only the seed addresses.
    pub fn new(own: Identity, seeds: &[SocketAddr]) -> Self {
        let mut membership = Self {
            own,
            sequence: 0,
            leaving: false,
            members: BTreeMap::new(),
            addresses: VecDeque::new(),
            domains: DomainSummaries::default(),
            last_tick: None,
            next_round: Instant::ZERO,
        };
        membership.add_addresses(seeds);
        membership
    }

    /// Current identity of this router; the incarnation increases after a
    /// pause.
    pub const fn identity(&self) -> &Identity {
        &self.own
    }

    /// All routers in the member table, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Routers that count as alive, ordered by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.liveness(now) == Liveness::Alive)
    }

    /// Live routers as configuration replication needs them.
    pub fn peers(&self, now: Instant) -> Vec<Peer> {
        let peer = |member: &Member| Peer {
            node: member.heartbeat.node.clone(),
            same_domain: member.heartbeat.domain == self.own.domain,
            version: member.heartbeat.version,
            polled: member.polled,
        };
        self.alive(now).map(peer).collect()
    }

    /// How many live routers of each failure domain have installed `revision`.
    pub fn in_force(
        &self,
        now: Instant,
        report: &Report,
        revision: u64,
    ) -> BTreeMap<Name, InForce> {
        let mut domains = self.domains.in_force(revision);
        let local = self.alive(now).filter(|m| m.heartbeat.domain == self.own.domain);
        let revisions = local.map(|member| member.heartbeat.version.revision);
        let own = domains.entry(self.own.domain.clone()).or_default();
        for installed in revisions.chain([report.version.revision]) {
            own.installed += usize::from(installed >= revision);
            own.live += 1;
        }
        domains
    }

    /// Address of the router with the given name.
    pub fn address(&self, node: &Name) -> Option<SocketAddr> {
        self.members.get(node).map(|member| member.heartbeat.address)
    }

    /// Adds router addresses, for example from the VM list or settings.
    pub fn add_addresses(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            let known = *address == self.own.address || self.addresses.contains(address);
            if known || self.is_member_address(*address) {
                continue;
            }
            if self.addresses.len() == MAX_UNCONTACTED {
                self.addresses.pop_front();
            }
            self.addresses.push_back(*address);
        }
    }

    /// Announces in all later heartbeats that this router is shutting down;
    /// the next round is due immediately.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_round = Instant::ZERO;
    }

    /// Returns the heartbeats that are due. Must be called several times per
    /// [`HEARTBEAT_INTERVAL`].
    pub fn tick(
        &mut self,
        now: Instant,
        report: &Report,
        rng: &mut Pcg64Mcg,
    ) -> Vec<OutgoingHeartbeat> {
        if self.last_tick.is_none() {
            // Routers with the same seeds must not all try the same address first.
            self.addresses.make_contiguous().shuffle(rng);
        }
        self.detect_pause(now);
        self.remove_expired(now);
        if now < self.next_round {
            return Vec::new();
        }
        let mut local = self.local_targets(now);
        local.shuffle(rng);
        self.next_round = now + round_interval(local.len()) - jitter(rng);
        self.sequence += 1;
        let heartbeat = self.heartbeat(now, report);
        let mut sends = Vec::new();
        let summary_targets = local.split_off(local.len().saturating_sub(SUMMARY_FANOUT));
        for target in local.into_iter().chain(self.next_uncontacted()) {
            sends.push(self.send(now, target, heartbeat.clone(), rng));
        }
        for target in summary_targets.into_iter().chain(self.remote_targets(now, rng)) {
            let domains = self.domains.sample(now, self.summary(now, report), rng);
            let heartbeat = Heartbeat { domains, ..heartbeat.clone() };
            sends.push(self.send(now, target, heartbeat, rng));
        }
        sends
    }

    /// Applies a received heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, mut heartbeat: Heartbeat) -> Event {
        if heartbeat.node == self.own.node && heartbeat.address == self.own.address {
            return Event::Own;
        }
        let event = match self.members.get(&heartbeat.node) {
            Some(known) => known.compare(&heartbeat),
            None if self.members.len() >= MAX_MEMBERS => Event::Full,
            None => Event::Joined,
        };
        if matches!(event, Event::Outdated | Event::Full) {
            return event;
        }
        // Addresses that another router reports as alive are tried first.
        self.addresses.retain(|address| !heartbeat.peers.contains(address));
        self.add_addresses(&heartbeat.peers);
        let summaries = std::mem::take(&mut heartbeat.domains);
        self.domains.merge(now, &self.own.domain, summaries);
        self.addresses.retain(|address| *address != heartbeat.address);
        self.remove_replaced(&heartbeat);
        let ago = |ms: u32| now - Duration::from_millis(u64::from(ms));
        let polled = heartbeat.polled_ms_ago.map(ago);
        let leaving = heartbeat.leaving;
        let member = Member { polled, last_heartbeat_at: now, presumed_dead: false, heartbeat };
        self.members.insert(member.heartbeat.node.clone(), member);
        if leaving { Event::Left } else { event }
    }

    /// After a pause the member table is out of date and peers may consider
    /// this router dead. It takes a new incarnation and presumes every member
    /// dead until its next heartbeat.
    fn detect_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        if last.is_none_or(|last| now.since(last) < PAUSE_THRESHOLD) {
            return;
        }
        self.own.incarnation += 1;
        self.sequence = 0;
        self.next_round = now;
        self.members.values_mut().for_each(|member| member.presumed_dead = true);
    }

    fn remove_expired(&mut self, now: Instant) {
        let mut expired = Vec::new();
        self.members.retain(|_, member| {
            let keep = now.since(member.last_heartbeat_at) < MEMBER_RETENTION;
            if !keep && !member.heartbeat.leaving {
                expired.push(member.heartbeat.address);
            }
            keep
        });
        self.add_addresses(&expired);
        self.domains.remove_expired(now);
    }

    /// A router that restarts under its old address replaces its predecessor
    /// even if its name has changed.
    fn remove_replaced(&mut self, heartbeat: &Heartbeat) {
        self.members.retain(|_, member| {
            member.heartbeat.address != heartbeat.address
                || member.heartbeat.incarnation >= heartbeat.incarnation
        });
    }

    fn heartbeat(&self, now: Instant, report: &Report) -> Heartbeat {
        let age_ms =
            |polled: Instant| u32::try_from(now.since(polled).as_millis()).unwrap_or(u32::MAX);
        Heartbeat {
            node: self.own.node.clone(),
            domain: self.own.domain.clone(),
            address: self.own.address,
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            version: report.version,
            polled_ms_ago: report.polled.map(age_ms),
            leaving: self.leaving,
            peers: SmallVec::new(),
            domains: Vec::new(),
            payloads: truncate_payloads(&report.payloads),
        }
    }

    /// All routers of the own domain.
    fn local_targets(&self, now: Instant) -> Vec<Target> {
        let local = self.reachable(now).filter(|m| m.heartbeat.domain == self.own.domain);
        local.map(Target::from).collect()
    }

    /// A random selection of routers of other domains.
    fn remote_targets(&self, now: Instant, rng: &mut Pcg64Mcg) -> Vec<Target> {
        let remote = self.reachable(now).filter(|m| m.heartbeat.domain != self.own.domain);
        remote.map(Target::from).sample(rng, REMOTE_FANOUT)
    }

    /// The next few addresses without a known router, in rotation.
    fn next_uncontacted(&mut self) -> Vec<Target> {
        let count = UNCONTACTED_FANOUT.min(self.addresses.len());
        self.addresses.rotate_right(count);
        let next = self.addresses.iter().take(count);
        next.map(|address| Target { address: *address, domain: None }).collect()
    }

    fn reachable(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.liveness(now) != Liveness::Leaving)
    }

    /// Summary of the own domain.
    fn summary(&self, now: Instant, report: &Report) -> DomainSummary {
        let local = self.alive(now).filter(|m| m.heartbeat.domain == self.own.domain);
        let mut revisions: Vec<_> = local.map(|m| m.heartbeat.version.revision).collect();
        revisions.push(report.version.revision);
        DomainSummary::new(self.own.domain.clone(), &revisions)
    }

    /// Adds a few addresses of other routers to the heartbeat. If the domain
    /// of the target is known, they are routers of that domain, all of which
    /// the target has to discover.
    fn send(
        &self,
        now: Instant,
        target: Target,
        mut heartbeat: Heartbeat,
        rng: &mut Pcg64Mcg,
    ) -> OutgoingHeartbeat {
        let to = target.address;
        let is_useful = |member: &&Member| {
            let domain = &member.heartbeat.domain;
            member.heartbeat.address != to && target.domain.as_ref().is_none_or(|d| d == domain)
        };
        let address = |member: &Member| member.heartbeat.address;
        let others = self.alive(now).filter(is_useful).map(address);
        heartbeat.peers = others.sample(rng, PEERS_PER_HEARTBEAT).into();
        if target.domain.as_ref() == Some(&self.own.domain) {
            heartbeat.peers.extend(self.remote_address(now, rng));
        }
        OutgoingHeartbeat { to, heartbeat }
    }

    /// Occasionally returns the address of a router of another domain, so that
    /// every router discovers the other domains whatever its seeds are. All
    /// routers of a domain together send one such address to each of them
    /// every [`ROUNDS_PER_REMOTE_ADDRESS`] rounds on average.
    fn remote_address(&self, now: Instant, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let is_local = |member: &&Member| member.heartbeat.domain == self.own.domain;
        let local = u32::try_from(self.alive(now).filter(is_local).count()).unwrap_or(u32::MAX);
        if !rng.random_ratio(1, local.max(1).saturating_mul(ROUNDS_PER_REMOTE_ADDRESS)) {
            return None;
        }
        let remote = self.alive(now).filter(|member| !is_local(member));
        remote.map(|member| member.heartbeat.address).choose(rng)
    }

    fn is_member_address(&self, address: SocketAddr) -> bool {
        self.members.values().any(|member| member.heartbeat.address == address)
    }
}

impl From<&Member> for Target {
    fn from(member: &Member) -> Self {
        let heartbeat = &member.heartbeat;
        Self { address: heartbeat.address, domain: Some(heartbeat.domain.clone()) }
    }
}

/// Returns the incarnation number of a new process: its start time in
/// microseconds of Unix time, followed by random low bits so that two
/// processes started at the same time differ.
pub fn incarnation(start_unix_micros: u64, rng: &mut Pcg64Mcg) -> u64 {
    const RANDOM_BITS: u32 = 10;
    (start_unix_micros << RANDOM_BITS) | rng.random_range(0..1 << RANDOM_BITS)
}

/// Returns the leading payloads that fit into [`MAX_PAYLOAD_BYTES`].
fn truncate_payloads(payloads: &[Payload]) -> Vec<Payload> {
    let mut bytes = 0;
    let fits = |payload: &&Payload| {
        bytes += PAYLOAD_OVERHEAD_BYTES + payload.bytes.len();
        bytes <= MAX_PAYLOAD_BYTES
    };
    payloads.iter().take_while(fits).cloned().collect()
}

/// Time between two rounds with `local` other routers in the own domain.
fn round_interval(local: usize) -> Duration {
    let local = u32::try_from(local).unwrap_or(u32::MAX);
    HEARTBEAT_INTERVAL * local.max(MAX_LOCAL_RATE) / MAX_LOCAL_RATE
}

fn jitter(rng: &mut Pcg64Mcg) -> Duration {
    let max = (HEARTBEAT_INTERVAL / JITTER_DIVISOR).as_micros();
    Duration::from_micros(rng.random_range(0..u64::try_from(max).unwrap_or(u64::MAX)))
}
