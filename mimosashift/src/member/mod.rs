//! Which routers are alive, by heartbeats.
//!
//! Membership steers sharing only: who polls, whom to pull from, how limits
//! are divided. Nothing that must be safe may rely on it; two routers may
//! disagree about a third at any time. See `docs/design/membership.md`.

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
use crate::wire::message::{Heartbeat, MAX_PAYLOAD_BYTES, Payload, Summary};

mod domain;
mod peer;
pub mod transport;

use domain::Domains;

pub use domain::InForce;
pub use peer::{DEAD_AFTER, Event, Liveness, Member, SUSPECT_AFTER};

/// Time between two rounds of heartbeats in a small failure domain.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time for which a dead or replaced router is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Time without a tick after which this process was paused.
const PAUSED_AFTER: Duration = Duration::from_millis(3_000);

/// Most heartbeats sent to the own domain per [`HEARTBEAT_INTERVAL`]; in a
/// larger domain the rounds are further apart.
const MAX_NEAR_RATE: u32 = 24;

/// Routers of other failure domains that get each round of heartbeats.
const ACROSS: usize = 2;

/// Routers of the own domain that get summaries of all domains each round.
const INFORMED: usize = 2;

/// Addresses not heard from yet that get each round of heartbeats.
const UNHEARD: usize = 4;

/// Addresses of other routers in one heartbeat.
const SAMPLED_PEERS: usize = 2;

/// Rounds in which a router gets one address of another failure domain.
const ROUNDS_PER_FAR_ADDRESS: u32 = 4;

/// Most routers remembered.
const MAX_MEMBERS: usize = 2_048;

/// Most addresses not heard from yet that are remembered.
const MAX_UNHEARD: usize = 1_024;

/// Most bytes of a payload's tag and length.
const PAYLOAD_OVERHEAD_BYTES: usize = 3;

/// Largest part of the interval by which a round is late or early.
const JITTER_DIVISOR: u32 = 10;

/// Who this router is.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Its name, unique among live routers.
    pub node: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Address on which it hears.
    pub address: SocketAddr,
    /// See [`incarnation`].
    pub incarnation: u64,
}

/// What this router tells about itself besides its identity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Configuration installed.
    pub version: Version,
    /// When it last read the table's head.
    pub polled: Option<Instant>,
    /// Small reports of other parts, at most
    /// [`MAX_PAYLOAD_BYTES`] together; what exceeds them is left out.
    pub payloads: Vec<Payload>,
}

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: SocketAddr,
    /// What to send.
    pub heartbeat: Heartbeat,
}

/// Where a heartbeat goes.
#[derive(Clone, Debug)]
struct Target {
    address: SocketAddr,
    domain: Option<Name>,
}

/// The routers that this one knows.
#[derive(Debug)]
pub struct Membership {
    own: Identity,
    sequence: u64,
    leaving: bool,
    members: BTreeMap<Name, Member>,
    /// Addresses from settings, the VM list and other routers; the newest
    /// stand last and are tried first.
    addresses: VecDeque<SocketAddr>,
    domains: Domains,
    last_tick: Option<Instant>,
    next_round: Instant,
}

impl Membership {
    /// Starts with the addresses of the settings.
    pub fn new(own: Identity, seeds: &[SocketAddr]) -> Self {
        let mut membership = Self {
            own,
            sequence: 0,
            leaving: false,
            members: BTreeMap::new(),
            addresses: VecDeque::new(),
            domains: Domains::default(),
            last_tick: None,
            next_round: Instant::ZERO,
        };
        membership.learn(seeds);
        membership
    }

    /// Who this router is now; the incarnation rises after a pause.
    pub const fn own(&self) -> &Identity {
        &self.own
    }

    /// Every router remembered, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Routers that count as alive, by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.liveness(now) == Liveness::Alive)
    }

    /// Live routers as the spread of configuration needs them.
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
        let near = self.alive(now).filter(|m| m.heartbeat.domain == self.own.domain);
        let revisions = near.map(|member| member.heartbeat.version.revision);
        let own = domains.entry(self.own.domain.clone()).or_default();
        for installed in revisions.chain([report.version.revision]) {
            own.installed += usize::from(installed >= revision);
            own.live += 1;
        }
        domains
    }

    /// Address of a router.
    pub fn address(&self, node: &Name) -> Option<SocketAddr> {
        self.members.get(node).map(|member| member.heartbeat.address)
    }

    /// Takes in addresses from the VM list or settings.
    pub fn learn(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            let known = *address == self.own.address || self.addresses.contains(address);
            if known || self.is_heard(*address) {
                continue;
            }
            if self.addresses.len() == MAX_UNHEARD {
                self.addresses.pop_front();
            }
            self.addresses.push_back(*address);
        }
    }

    /// Announces that this router leaves, from the next round on, which is
    /// due at once.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_round = Instant::ZERO;
    }

    /// Sends heartbeats when they are due; to be called several times per
    /// [`HEARTBEAT_INTERVAL`].
    pub fn tick(&mut self, now: Instant, report: &Report, rng: &mut Pcg64Mcg) -> Vec<Send> {
        if self.last_tick.is_none() {
            // Routers with the same list must not all try the same address.
            self.addresses.make_contiguous().shuffle(rng);
        }
        self.notice_pause(now);
        self.forget(now);
        if now < self.next_round {
            return Vec::new();
        }
        let mut near = self.near_targets(now);
        near.shuffle(rng);
        self.next_round = now + interval(near.len()) - jitter(rng);
        self.sequence += 1;
        let heartbeat = self.heartbeat(now, report);
        let mut sends = Vec::new();
        let informed = near.split_off(near.len().saturating_sub(INFORMED));
        for target in near.into_iter().chain(self.next_unheard()) {
            sends.push(self.send(now, target, heartbeat.clone(), rng));
        }
        for target in informed.into_iter().chain(self.far_targets(now, rng)) {
            let domains = self.domains.sample(now, self.summary(now, report), rng);
            let heartbeat = Heartbeat { domains, ..heartbeat.clone() };
            sends.push(self.send(now, target, heartbeat, rng));
        }
        sends
    }

    /// Takes in a heartbeat.
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
        // What another router knows to be alive is tried before the rest.
        self.addresses.retain(|address| !heartbeat.peers.contains(address));
        self.learn(&heartbeat.peers);
        let summaries = std::mem::take(&mut heartbeat.domains);
        self.domains.take_in(now, &self.own.domain, summaries);
        self.addresses.retain(|address| *address != heartbeat.address);
        self.drop_replaced(&heartbeat);
        let ago = |ms: u32| now - Duration::from_millis(u64::from(ms));
        let polled = heartbeat.polled_ms_ago.map(ago);
        let leaving = heartbeat.leaving;
        let member = Member { polled, heard: now, doubted: false, heartbeat };
        self.members.insert(member.heartbeat.node.clone(), member);
        if leaving { Event::Left } else { event }
    }

    /// After a pause what is known is old, and this router may count as dead:
    /// it announces itself anew and trusts nobody until heard again.
    fn notice_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        if last.is_none_or(|last| now.since(last) < PAUSED_AFTER) {
            return;
        }
        self.own.incarnation += 1;
        self.sequence = 0;
        self.next_round = now;
        self.members.values_mut().for_each(|member| member.doubted = true);
    }

    fn forget(&mut self, now: Instant) {
        let mut gone = Vec::new();
        self.members.retain(|_, member| {
            let keep = now.since(member.heard) < FORGET_AFTER;
            if !keep && !member.heartbeat.leaving {
                gone.push(member.heartbeat.address);
            }
            keep
        });
        self.learn(&gone);
        self.domains.forget(now);
    }

    /// A VM restarted under its old address is one router, whatever its name.
    fn drop_replaced(&mut self, heartbeat: &Heartbeat) {
        self.members.retain(|_, member| {
            member.heartbeat.address != heartbeat.address
                || member.heartbeat.incarnation >= heartbeat.incarnation
        });
    }

    fn heartbeat(&self, now: Instant, report: &Report) -> Heartbeat {
        let ms_ago =
            |polled: Instant| u32::try_from(now.since(polled).as_millis()).unwrap_or(u32::MAX);
        Heartbeat {
            node: self.own.node.clone(),
            domain: self.own.domain.clone(),
            address: self.own.address,
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            version: report.version,
            polled_ms_ago: report.polled.map(ms_ago),
            leaving: self.leaving,
            peers: SmallVec::new(),
            domains: Vec::new(),
            payloads: bounded(&report.payloads),
        }
    }

    /// Every router of the domain.
    fn near_targets(&self, now: Instant) -> Vec<Target> {
        let near = self.reachable(now).filter(|m| m.heartbeat.domain == self.own.domain);
        near.map(Target::from).collect()
    }

    /// A few routers of other domains.
    fn far_targets(&self, now: Instant, rng: &mut Pcg64Mcg) -> Vec<Target> {
        let far = self.reachable(now).filter(|m| m.heartbeat.domain != self.own.domain);
        far.map(Target::from).sample(rng, ACROSS)
    }

    /// A few addresses not heard from, each in its turn.
    fn next_unheard(&mut self) -> Vec<Target> {
        let count = UNHEARD.min(self.addresses.len());
        self.addresses.rotate_right(count);
        let tried = self.addresses.iter().take(count);
        tried.map(|address| Target { address: *address, domain: None }).collect()
    }

    fn reachable(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.liveness(now) != Liveness::Leaving)
    }

    /// Sums up the own domain.
    fn summary(&self, now: Instant, report: &Report) -> Summary {
        let near = self.alive(now).filter(|m| m.heartbeat.domain == self.own.domain);
        let mut revisions: Vec<_> = near.map(|m| m.heartbeat.version.revision).collect();
        revisions.push(report.version.revision);
        Summary::new(self.own.domain.clone(), &revisions)
    }

    /// Adds a few addresses of other routers, of the target's domain if that
    /// is known: those are the ones it has to find.
    fn send(
        &self,
        now: Instant,
        target: Target,
        mut heartbeat: Heartbeat,
        rng: &mut Pcg64Mcg,
    ) -> Send {
        let to = target.address;
        let helps = |member: &&Member| {
            let domain = &member.heartbeat.domain;
            member.heartbeat.address != to && target.domain.as_ref().is_none_or(|d| d == domain)
        };
        let address = |member: &Member| member.heartbeat.address;
        let others = self.alive(now).filter(helps).map(address);
        heartbeat.peers = others.sample(rng, SAMPLED_PEERS).into();
        if target.domain.as_ref() == Some(&self.own.domain) {
            heartbeat.peers.extend(self.far_address(now, rng));
        }
        Send { to, heartbeat }
    }

    /// Now and then the address of a router of another domain, so that every
    /// router of a domain gets in touch with the rest, whomever it greeted
    /// first. All routers of the domain together send one such address to
    /// each of them every [`ROUNDS_PER_FAR_ADDRESS`] rounds.
    fn far_address(&self, now: Instant, rng: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let is_near = |member: &&Member| member.heartbeat.domain == self.own.domain;
        let near = u32::try_from(self.alive(now).filter(is_near).count()).unwrap_or(u32::MAX);
        if !rng.random_ratio(1, near.max(1).saturating_mul(ROUNDS_PER_FAR_ADDRESS)) {
            return None;
        }
        let far = self.alive(now).filter(|member| !is_near(member));
        far.map(|member| member.heartbeat.address).choose(rng)
    }

    fn is_heard(&self, address: SocketAddr) -> bool {
        self.members.values().any(|member| member.heartbeat.address == address)
    }
}

impl From<&Member> for Target {
    fn from(member: &Member) -> Self {
        let heartbeat = &member.heartbeat;
        Self { address: heartbeat.address, domain: Some(heartbeat.domain.clone()) }
    }
}

/// Number of a new process: its start in microseconds of Unix time, with the
/// lowest bits at random so that two processes of one moment differ.
pub fn incarnation(start_unix_micros: u64, rng: &mut Pcg64Mcg) -> u64 {
    const RANDOM_BITS: u32 = 10;
    (start_unix_micros << RANDOM_BITS) | rng.random_range(0..1 << RANDOM_BITS)
}

/// Payloads up to their bound together.
fn bounded(payloads: &[Payload]) -> Vec<Payload> {
    let mut bytes = 0;
    let fits = |payload: &&Payload| {
        bytes += PAYLOAD_OVERHEAD_BYTES + payload.bytes.len();
        bytes <= MAX_PAYLOAD_BYTES
    };
    payloads.iter().take_while(fits).cloned().collect()
}

/// Time between two rounds with `near` routers in the own domain.
fn interval(near: usize) -> Duration {
    let near = u32::try_from(near).unwrap_or(u32::MAX);
    HEARTBEAT_INTERVAL * near.max(MAX_NEAR_RATE) / MAX_NEAR_RATE
}

fn jitter(rng: &mut Pcg64Mcg) -> Duration {
    let most = (HEARTBEAT_INTERVAL / JITTER_DIVISOR).as_micros();
    Duration::from_micros(rng.random_range(0..u64::try_from(most).unwrap_or(u64::MAX)))
}
