//! Simulation of routers, their network and the table service in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mimosashift::config::call;
use mimosashift::config::catchup::Progress;
use mimosashift::config::change::Commit;
use mimosashift::config::load::Load;
use mimosashift::config::phase::{NotServingReason, RouterConfig, Serving, Starting};
use mimosashift::config::poll::Poll;
use mimosashift::config::replication::{Action, Peer, Replicator};
use mimosashift::config::transfer::Reply;
use mimosashift::config::{Change, Error, Record, State, Version};
use mimosashift::member::{Identity, Membership, Report};
use mimosashift::resource::{Name, Resource, Snapshot};
use mimosashift::time::Instant;
use mimosashift::wire::message::{EncodedReply, Payload};
use mimosashift::wire::{
    Frame, Key, KeyRing, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Message, ReplayFilter,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::FakeTable;

/// Virtual time per step.
pub const STEP: Duration = Duration::from_millis(50);

/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Size of the reports of other modules in each heartbeat.
const REPORT_BYTES: usize = 64;

/// Router in its starting or serving phase.
pub enum Phase {
    Starting(RouterConfig<Starting>),
    Serving(RouterConfig<Serving>),
}

/// A simulated router.
pub struct Node {
    pub membership: Membership,
    pub phase: Phase,
    pub up: bool,
    pub paused: bool,
    pub domain: usize,
    pub alarms: Vec<Error>,
    pub bytes: usize,
    replay_filter: ReplayFilter,
    sequence: u64,
    rng: Pcg64Mcg,
}

/// Network fault settings.
#[derive(Clone, Default)]
pub struct NetworkFaults {
    pub drop: f64,
    pub duplicate: f64,
    /// Maximum delay of a message, in steps.
    pub delay: u64,
    /// Network partition that each failure domain belongs to.
    pub partition: Vec<usize>,
    /// Whether each failure domain is cut off from the table service.
    pub table_unreachable: Vec<bool>,
}

/// Simulated cluster, driven by a single loop.
pub struct Cluster {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub net: NetworkFaults,
    pub table: FakeTable,
    /// Injects a fault: routers install whatever the table returns, even an
    /// older revision.
    pub install_any: bool,
    /// Snapshot of every revision accepted by the table.
    pub accepted_snapshots: BTreeMap<u64, Snapshot>,
    highest: Vec<u64>,
    key_ring: KeyRing,
    queue: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    queued: u64,
    rng: Pcg64Mcg,
}

impl Cluster {
    /// Creates routers whose seeds are all routers.
    pub fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        Self::with_seeds(nodes, domains, seed, nodes)
    }

    /// Creates routers whose seeds are the first `seeds` routers.
    pub fn with_seeds(nodes: usize, domains: usize, seed: u64, seeds: usize) -> Self {
        let mut cluster = Self {
            now: Instant::from_millis(1_000_000),
            nodes: Vec::new(),
            net: NetworkFaults {
                delay: 1,
                partition: vec![0; domains],
                ..NetworkFaults::default()
            },
            table: FakeTable::default(),
            install_any: false,
            accepted_snapshots: BTreeMap::from([(0, Snapshot::default())]),
            highest: vec![0; nodes],
            key_ring: KeyRing::new(Key::new(1, *b"0123456789abcdef").unwrap(), None),
            queue: BTreeMap::new(),
            queued: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        cluster.net.table_unreachable = vec![false; domains];
        for index in 0..nodes {
            let node = cluster.start(index, index % domains, seeds);
            cluster.nodes.push(node);
        }
        cluster
    }

    fn start(&mut self, index: usize, domain: usize, seeds: usize) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let name = Name::try_from(format!("router-{index}")).unwrap();
        let own = Identity {
            node: name.clone(),
            domain: Name::try_from(format!("domain-{domain}")).unwrap(),
            address: address(index),
            incarnation: mimosashift::member::incarnation(self.now.as_micros(), &mut rng),
        };
        let seed_addresses: Vec<_> = (0..seeds).map(address).collect();
        Node {
            membership: Membership::new(own, &seed_addresses),
            phase: Phase::Starting(RouterConfig::new(name, self.now)),
            up: true,
            paused: false,
            domain,
            alarms: Vec::new(),
            bytes: 0,
            replay_filter: ReplayFilter::default(),
            sequence: 0,
            rng,
        }
    }

    /// Replaces a router by a new process with the same address.
    pub fn restart(&mut self, index: usize) {
        let domain = self.nodes[index].domain;
        self.nodes[index] = self.start(index, domain, self.nodes.len());
        self.highest[index] = 0;
    }

    /// Commits a change through a router and records the accepted revisions.
    pub fn commit(&mut self, index: usize, change: Change) -> Result<u64, Error> {
        let installed = self.nodes[index].replicator().store().state().clone();
        if self.net.table_unreachable[self.nodes[index].domain] {
            return Err(Error::Platform(mimosashift::platform::Refusal::Unavailable));
        }
        let result = call::run(&self.table, Commit::new(change, installed));
        self.record_accepted();
        let committed = result?;
        let now = self.now;
        let peers = self.nodes[index].membership.peers(now);
        let actions =
            self.nodes[index].replicator_mut().install_progress(&committed.progress, &peers);
        self.act(index, actions);
        Ok(committed.revision)
    }

    /// Records every revision that the table has accepted, whatever result the
    /// router received.
    fn record_accepted(&mut self) {
        loop {
            let (last, snapshot) = self.accepted_snapshots.last_key_value().unwrap();
            let revision = last + 1;
            let key = ("config".to_owned(), format!("log/{revision:020}"));
            let Some((_, value)) = self.table.with(|inner| inner.rows.get(&key).cloned()) else {
                return;
            };
            let record: Record = serde_json::from_str(&value).unwrap();
            let is_other = |r: &&Resource| (r.spec.kind(), &r.name) != (record.kind, &record.name);
            let mut resources: Vec<_> = snapshot.iter().filter(is_other).cloned().collect();
            if let Some(spec) = record.after {
                resources.push(Resource { name: record.name.clone(), revision, spec });
            }
            self.accepted_snapshots.insert(revision, Snapshot::new(revision, resources));
        }
    }

    /// Runs for `time` and checks the routers after each step. Fails if a router
    /// returns to an older revision or holds a snapshot that was never accepted.
    pub fn run(&mut self, time: Duration) -> Result<(), String> {
        let end = self.now + time;
        while self.now < end {
            self.step()?;
        }
        Ok(())
    }

    /// Runs until every live router has installed `revision`; returns how
    /// long that took.
    pub fn run_until(&mut self, revision: u64, limit: Duration) -> Result<Duration, String> {
        let start = self.now;
        while !self.converged(revision) {
            if self.now.since(start) >= limit {
                let behind = self.nodes.iter().filter(|n| n.up && n.version().revision < revision);
                return Err(format!("{} behind revision {revision}", behind.count()));
            }
            self.step()?;
        }
        Ok(self.now.since(start))
    }

    fn converged(&self, revision: u64) -> bool {
        self.nodes.iter().filter(|n| n.up).all(|n| n.version().revision >= revision)
    }

    fn step(&mut self) -> Result<(), String> {
        self.now = self.now + STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.nodes[index].up && !self.nodes[index].paused {
                self.tick(index);
            }
        }
        self.check()
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let report = node.report();
        let sends = node.membership.tick(now, &report, &mut node.rng);
        let peers = node.membership.peers(now);
        let actions = match &mut node.phase {
            Phase::Starting(router) => router.replicator_mut().tick(now, &peers, &mut node.rng),
            Phase::Serving(router) => router.replicator_mut().tick(now, &peers, &mut node.rng),
        };
        node.try_serve(now, &peers);
        for send in sends {
            let message = Message::Heartbeat(send.heartbeat);
            self.send(index, usize::from(send.to.port()) - 1, message, MAX_DATAGRAM_BYTES);
        }
        self.act(index, actions);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Poll(state) => self.poll(index, state),
                Action::Pull(peer, request) => {
                    self.send(index, index_of(&peer), Message::Request(request), MAX_STREAM_BYTES);
                }
                Action::Push(peer, records) => {
                    let encoded = EncodedReply::from(&Reply::Records(records));
                    self.send(index, index_of(&peer), Message::Reply(encoded), MAX_STREAM_BYTES);
                }
                Action::Alarm(error) => self.nodes[index].alarms.push(error),
            }
        }
    }

    fn poll(&mut self, index: usize, state: State) {
        let domain = self.nodes[index].domain;
        let result = if self.net.table_unreachable[domain] {
            Err(Error::Platform(mimosashift::platform::Refusal::Unavailable))
        } else {
            call::run(&self.table, Poll::new(state))
        };
        if self.install_any
            && let Err(Error::Stale { .. }) = result
            && let Ok(state) = call::run(&self.table, Load::new(0))
        {
            // Injected fault: an empty store replaces the installed one.
            let name = self.nodes[index].membership.identity().node.clone();
            self.nodes[index].phase = Phase::Starting(RouterConfig::new(name, self.now));
            let progress = Progress::from(state);
            self.nodes[index].replicator_mut().install_progress(&progress, &[]);
            return;
        }
        let peers = self.nodes[index].membership.peers(self.now);
        let now = self.now;
        let actions = self.nodes[index].replicator_mut().on_poll(now, result, &peers);
        self.act(index, actions);
    }

    fn send(&mut self, from: usize, to: usize, message: Message, limit: usize) {
        let node = &mut self.nodes[from];
        node.sequence += 1;
        let own = node.membership.identity();
        let (sender, incarnation) = (own.node.clone(), own.incarnation);
        let frame = Frame { sender, incarnation, sequence: node.sequence, message };
        let bytes = self.key_ring.seal(&frame, limit).unwrap();
        node.bytes += HEADER_BYTES + bytes.len();
        if self.net.drop > 0.0 && self.rng.random_bool(self.net.drop) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplicate));
        for _ in 0..copies {
            let steps = self.rng.random_range(1..=self.net.delay);
            let due = self.now + STEP * u32::try_from(steps).unwrap();
            self.queued += 1;
            self.queue.insert((due, self.queued), (from, to, bytes.clone()));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, bytes) = entry.remove();
            let partitions = &self.net.partition;
            let partitioned =
                partitions[self.nodes[from].domain] != partitions[self.nodes[to].domain];
            if !partitioned && self.nodes[to].up && !self.nodes[to].paused {
                self.receive(from, to, &bytes);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now;
        let frame = self.key_ring.open(bytes, MAX_STREAM_BYTES).unwrap();
        let node = &mut self.nodes[to];
        node.bytes += HEADER_BYTES + bytes.len();
        if !node.replay_filter.accept(&frame.sender, frame.incarnation, frame.sequence) {
            return;
        }
        let peer = frame.sender;
        match frame.message {
            Message::Heartbeat(heartbeat) => {
                node.membership.on_heartbeat(now, heartbeat);
            }
            Message::Request(request) => {
                let encoded = EncodedReply::from(&node.replicator().answer(&request));
                self.send(to, from, Message::Reply(encoded), MAX_STREAM_BYTES);
            }
            Message::Reply(encoded) => {
                let reply = Reply::try_from(&encoded).unwrap();
                let actions = node.replicator_mut().on_reply(now, &peer, reply);
                self.act(to, actions);
            }
            Message::Reports(_) => unreachable!("simulated routers send no separate reports"),
        }
    }

    fn check(&mut self) -> Result<(), String> {
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.up) {
            let revision = node.version().revision;
            if revision < self.highest[index] {
                return Err(format!("router {index} returned to older revision {revision}"));
            }
            let changed = revision != self.highest[index];
            self.highest[index] = revision;
            let accepted = self.accepted_snapshots.get(&revision);
            if changed && accepted != Some(node.replicator().store().state().snapshot()) {
                return Err(format!(
                    "router {index} holds a snapshot of revision {revision} that was not accepted"
                ));
            }
        }
        Ok(())
    }
}

impl Node {
    pub fn replicator(&self) -> &Replicator {
        match &self.phase {
            Phase::Starting(router) => router.replicator(),
            Phase::Serving(router) => router.replicator(),
        }
    }

    pub fn replicator_mut(&mut self) -> &mut Replicator {
        match &mut self.phase {
            Phase::Starting(router) => router.replicator_mut(),
            Phase::Serving(router) => router.replicator_mut(),
        }
    }

    pub fn version(&self) -> Version {
        self.replicator().store().version()
    }

    pub fn serves(&self) -> bool {
        matches!(self.phase, Phase::Serving(_))
    }

    /// Reason why the router does not serve yet.
    pub fn reason(&self, now: Instant) -> Option<NotServingReason> {
        match &self.phase {
            Phase::Starting(router) => router.reason(now, &self.membership.peers(now)),
            Phase::Serving(_) => None,
        }
    }

    pub fn report(&self) -> Report {
        let payloads = vec![Payload { tag: 1, bytes: vec![7; REPORT_BYTES] }];
        Report { version: self.version(), polled: self.replicator().polled(), payloads }
    }

    fn try_serve(&mut self, now: Instant, peers: &[Peer]) {
        let name = self.membership.identity().node.clone();
        let placeholder = Phase::Starting(RouterConfig::new(name, now));
        self.phase = match std::mem::replace(&mut self.phase, placeholder) {
            Phase::Starting(router) => match router.serve(now, peers) {
                Ok(serving) => Phase::Serving(serving),
                Err(starting) => Phase::Starting(starting),
            },
            serving @ Phase::Serving(_) => serving,
        };
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index + 1).unwrap()))
}

fn index_of(node: &Name) -> usize {
    node.as_str().rsplit('-').next().unwrap().parse().unwrap()
}
