//! What a router shares with others: who is alive and what is configured.
//!
//! A thread decides several times a second; the calls that follow are made by
//! threads of their own, without a lock.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{Error, Node, Settings};
use crate::admit::share;
use crate::config::phase::NotServingReason;
use crate::config::poll::Poll;
use crate::config::replication::{Action, Peer};
use crate::config::store::Gone;
use crate::config::transfer::{Reply, Request};
use crate::config::{self, Committed, Record, State, call};
use crate::emit;
use crate::event::Event;
use crate::health::probe::Router;
use crate::member::transport::Transport;
use crate::member::{self, Identity, InForce, Liveness, Member, Membership};
use crate::resource::Name;
use crate::time::Instant;
use crate::wire::message::EncodedReply;
use crate::wire::{Frame, Key, KeyRing, Message};

mod life;
mod report;

use life::Life;
use report::Reports;

/// Time between two decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Threads that exchange configuration with other routers.
const EXCHANGE_THREADS: usize = 4;

/// Exchanges that may wait; what is dropped is pulled later.
const MAX_EXCHANGES: usize = 1_024;

/// The part of a router that is shared with others.
pub struct Cluster {
    shared: Mutex<Shared>,
    /// Absent when no peer key is set: the router is then alone.
    transport: OnceLock<Transport>,
    exchanges: Sender<Exchange>,
    polls: Sender<State>,
}

/// What waits for its threads.
pub struct Work {
    exchanges: Receiver<Exchange>,
    polls: Receiver<State>,
}

struct Shared {
    membership: Membership,
    life: Life,
    reports: Reports,
    /// How alive each other router was at the last tick.
    seen: BTreeMap<Name, Liveness>,
    reported: Instant,
    rng: Pcg64Mcg,
}

/// An exchange with another router.
enum Exchange {
    Pull(Name, Request),
    Push(Name, Vec<Record>),
}

impl Cluster {
    /// A router that has heard nothing yet.
    pub fn new(settings: &Settings, now: Instant) -> (Self, Work) {
        let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
        let own = Identity {
            node: settings.node.name.clone(),
            domain: settings.node.domain.clone(),
            address: settings.peer.address,
            incarnation: member::incarnation(now.as_micros(), &mut rng),
        };
        let shared = Shared {
            life: Life::new(own.node.clone(), now),
            membership: Membership::new(own, &settings.peer.peers),
            reports: Reports::default(),
            seen: BTreeMap::new(),
            reported: Instant::ZERO,
            rng,
        };
        let (exchanges, exchanges_received) = channel::bounded(MAX_EXCHANGES);
        // At most one poll is under way.
        let (polls, polls_received) = channel::bounded(1);
        let cluster =
            Self { shared: Mutex::new(shared), transport: OnceLock::new(), exchanges, polls };
        (cluster, Work { exchanges: exchanges_received, polls: polls_received })
    }

    /// Why the router may not serve yet, `None` when it may.
    pub fn reason(&self, now: Instant) -> Option<NotServingReason> {
        let shared = self.lock();
        shared.life.reason(now, &shared.membership.peers(now))
    }

    /// How many live routers of each failure domain have installed `revision`.
    pub fn in_force(&self, now: Instant, revision: u64) -> BTreeMap<Name, InForce> {
        let shared = self.lock();
        shared.membership.in_force(now, &shared.report(Vec::new()), revision)
    }

    /// The routers heard from, with how alive they seem.
    pub fn members(&self, now: Instant) -> Vec<(Member, Liveness)> {
        let shared = self.lock();
        shared.membership.members().map(|m| (m.clone(), m.liveness(now))).collect()
    }

    /// Changes after `revision`; none while this router is behind it.
    pub fn watch(&self, revision: u64) -> Result<Vec<Record>, Gone> {
        let shared = self.lock();
        let store = shared.life.replicator().store();
        if revision >= store.version().revision {
            return Ok(Vec::new());
        }
        Ok(store.watch(revision)?.cloned().collect())
    }

    /// Calls `act` with the live routers, this one included.
    pub fn with_routers<T>(&self, now: Instant, act: impl FnOnce(&[Router<'_>]) -> T) -> T {
        let shared = self.lock();
        let own = shared.membership.identity();
        let alive = shared.membership.alive(now).map(|member| &member.heartbeat);
        let mut routers: Vec<Router<'_>> =
            alive.map(|h| Router { name: h.node.as_str(), domain: &h.domain }).collect();
        routers.push(Router { name: own.node.as_str(), domain: &own.domain });
        act(&routers)
    }

    /// Bytes sent to other routers, and frames of theirs refused.
    pub fn traffic(&self) -> (u64, u64) {
        self.transport.get().map_or((0, 0), |t| (t.sent_bytes(), t.refused()))
    }

    /// Announces that this router leaves.
    pub fn leave(&self) {
        self.lock().membership.leave();
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder of this lock panics")
    }
}

impl Shared {
    fn report(&self, payloads: Vec<crate::wire::message::Payload>) -> member::Report {
        let spread = self.life.replicator();
        member::Report { version: spread.store().version(), polled: spread.polled(), payloads }
    }
}

impl Node {
    /// Starts hearing other routers and deciding.
    pub(super) fn start_cluster(self: &Arc<Self>, work: Work) -> Result<(), Error> {
        self.start_transport()?;
        let node = Arc::downgrade(self);
        let polls = work.polls;
        spawn("poll", move || poll(&node, &polls))?;
        for _ in 0..EXCHANGE_THREADS {
            let (node, exchanges) = (Arc::downgrade(self), work.exchanges.clone());
            spawn("exchange", move || exchange(&node, &exchanges))?;
        }
        let node = Arc::downgrade(self);
        spawn("cluster", move || {
            while let Some(node) = node.upgrade() {
                node.tick_cluster();
                drop(node);
                thread::sleep(TICK_INTERVAL);
            }
        })
    }

    /// Puts a change in force that was committed here, and tells the peers.
    pub(super) fn install_committed(&self, committed: &Committed) {
        let now = self.clock.now();
        self.decide(|shared| {
            let peers = shared.membership.peers(now);
            shared.life.replicator_mut().install_progress(&committed.progress, &peers)
        });
    }

    /// Sends what is due and decides what to fetch.
    pub(super) fn tick_cluster(&self) {
        let now = self.clock.now();
        let mut shared = self.cluster.lock();
        let payloads = shared.reports.payloads(self, now);
        let report = shared.report(payloads);
        let Shared { membership, rng, .. } = &mut *shared;
        let sends = membership.tick(now, &report, rng);
        let incarnation = membership.identity().incarnation;
        self.note_liveness(&mut shared, now);
        let demand = self.demand(&mut shared, now);
        let routers = shared.membership.alive(now).count() + 1;
        drop(shared);
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.platform.set_routers(routers);
        self.lock_health().set_routers(routers);
        if let Some(transport) = self.cluster.transport.get() {
            transport.set_incarnation(incarnation);
            // Whoever is not reached counts as silent in time.
            for send in sends {
                let _ = transport.send(send.to, Message::Heartbeat(send.heartbeat));
            }
            if let Some((message, peers)) = demand {
                for peer in peers {
                    let _ = transport.send(peer, message.clone());
                }
            }
        }
        self.decide(|shared| {
            let peers = shared.membership.peers(now);
            let Shared { life, rng, .. } = shared;
            let actions = life.replicator_mut().tick(now, &peers, rng);
            if life.try_serve(now, &peers) {
                let revision = life.replicator().store().version().revision;
                emit!(self.log, Event::NodeReady, "revision" => revision);
            }
            actions
        });
    }

    /// Makes a decision on the configuration, installs what follows and
    /// starts the calls that it asks for.
    fn decide(&self, decide: impl FnOnce(&mut Shared) -> Vec<Action>) {
        let mut shared = self.cluster.lock();
        let actions = decide(&mut shared);
        let store = shared.life.replicator().store();
        if store.version() != self.installed.load().state().version() {
            self.install(store.state().clone());
        }
        drop(shared);
        for action in actions {
            self.start_action(action);
        }
    }

    fn start_action(&self, action: Action) {
        // A full queue delays an exchange until its next repetition.
        match action {
            Action::Poll(state) => {
                self.cluster.polls.send(state).expect("the polling thread outlives the router");
            }
            Action::Pull(peer, request) => {
                let _ = self.cluster.exchanges.try_send(Exchange::Pull(peer, request));
            }
            Action::Push(peer, records) => {
                let _ = self.cluster.exchanges.try_send(Exchange::Push(peer, records));
            }
            Action::Alarm(error) => {
                let event = match error {
                    config::Error::Stale { .. } => Event::ConfigOlder,
                    config::Error::Diverged(_) => Event::ConfigDiffers,
                    _ => Event::ConfigStale,
                };
                emit!(self.log, event, "reason" => error.to_string());
            }
        }
    }

    fn start_transport(self: &Arc<Self>) -> Result<(), Error> {
        let peer = &self.settings.peer;
        let Some(ring) = ring(&peer.keys) else { return Ok(()) };
        let node = Arc::downgrade(self);
        let handler = move |frame| node.upgrade()?.take_frame(frame);
        let own = self.cluster.lock().membership.identity().clone();
        let transport =
            Transport::bind(peer.address, ring, own.node, own.incarnation, Box::new(handler))
                .map_err(|error| Error::Listen {
                    surface: "peers",
                    address: peer.address,
                    error,
                })?;
        let first = self.cluster.transport.set(transport).is_ok();
        assert!(first, "a router starts its transport once");
        Ok(())
    }

    /// Takes in a frame and returns the answer, if it has one.
    fn take_frame(&self, frame: Frame) -> Option<Message> {
        match frame.message {
            Message::Heartbeat(mut heartbeat) if heartbeat.node == frame.sender => {
                let now = self.clock.now();
                let payloads = std::mem::take(&mut heartbeat.payloads);
                let event = self.cluster.lock().membership.on_heartbeat(now, heartbeat);
                self.note_heartbeat(&frame.sender, event);
                report::merge(self, &frame.sender, &payloads);
                None
            }
            Message::Heartbeat(_) => None,
            Message::Request(request) => {
                let reply = self.cluster.lock().life.replicator().answer(&request);
                Some(Message::Reply(EncodedReply::from(&reply)))
            }
            Message::Reply(bundle) => {
                self.take_reply(&frame.sender, &bundle);
                None
            }
            Message::Reports(payloads) => {
                report::merge(self, &frame.sender, &payloads);
                None
            }
        }
    }

    fn take_reply(&self, peer: &Name, bundle: &EncodedReply) {
        // A peer that sends what cannot be read is asked again later.
        let Ok(reply) = Reply::try_from(bundle) else { return };
        let now = self.clock.now();
        self.decide(|shared| shared.life.replicator_mut().on_reply(now, peer, reply));
    }

    fn note_heartbeat(&self, peer: &Name, event: member::Event) {
        let event = match event {
            member::Event::Joined => Event::MemberJoined,
            member::Event::Replaced => Event::MemberRestarted,
            member::Event::Left => {
                let now = self.clock.now();
                self.gate.with(|admission| admission.remove_peer(now, peer));
                return;
            }
            _ => return,
        };
        emit!(self.log, event, "node" => peer.as_str());
    }

    /// Logs which routers of the own domain have fallen silent or leave; those
    /// of other domains are heard at random times only.
    fn note_liveness(&self, shared: &mut Shared, now: Instant) {
        let own = self.settings.domain();
        let latest: BTreeMap<Name, Liveness> = shared
            .membership
            .members()
            .filter(|member| member.heartbeat.domain == *own)
            .map(|member| (member.heartbeat.node.clone(), member.liveness(now)))
            .collect();
        for (node, liveness) in &latest {
            if shared.seen.get(node) == Some(liveness) {
                continue;
            }
            let event = match liveness {
                Liveness::Alive => continue,
                Liveness::Suspect => Event::MemberSuspect,
                Liveness::Dead => Event::MemberDead,
                Liveness::Leaving => Event::MemberLeaving,
            };
            emit!(self.log, event, "node" => node.as_str());
        }
        shared.seen = latest;
    }

    /// The demand to report now, and to whom.
    fn demand(
        &self,
        shared: &mut Shared,
        now: Instant,
    ) -> Option<(Message, Vec<std::net::SocketAddr>)> {
        if now.since(shared.reported) < share::REPORT_INTERVAL {
            return None;
        }
        shared.reported = now;
        let alive = shared.membership.alive(now);
        let peers: Vec<_> = alive.map(|member| member.heartbeat.address).collect();
        let payload = report::demand(self, peers.len())?;
        Some((Message::Reports(vec![payload]), peers))
    }

    fn run_exchange(&self, exchange: Exchange) {
        let Some(transport) = self.cluster.transport.get() else { return };
        match exchange {
            Exchange::Pull(peer, request) => {
                let Some(address) = self.peer_address(&peer) else { return };
                let answer = transport.request(address, Message::Request(request));
                if let Ok(Some(Frame { sender, message: Message::Reply(bundle), .. })) = answer
                    && sender == peer
                {
                    self.take_reply(&peer, &bundle);
                }
            }
            Exchange::Push(peer, records) => {
                let Some(address) = self.peer_address(&peer) else { return };
                let message = Message::Reply(EncodedReply::from(&Reply::Records(records)));
                // Too long for a datagram, or else pulled after a heartbeat.
                if transport.send(address, message.clone()).is_err() {
                    let _ = transport.request(address, message);
                }
            }
        }
    }

    fn peer_address(&self, peer: &Name) -> Option<std::net::SocketAddr> {
        self.cluster.lock().membership.address(peer)
    }

    fn run_poll(&self, state: State) {
        let result = call::run(&*self.settings.table, Poll::new(state));
        let now = self.clock.now();
        self.decide(|shared| {
            let peers: Vec<Peer> = shared.membership.peers(now);
            shared.life.replicator_mut().on_poll(now, result, &peers)
        });
    }
}

fn poll(node: &Weak<Node>, polls: &Receiver<State>) {
    for state in polls {
        let Some(node) = node.upgrade() else { return };
        node.run_poll(state);
    }
}

fn exchange(node: &Weak<Node>, exchanges: &Receiver<Exchange>) {
    for exchange in exchanges {
        let Some(node) = node.upgrade() else { return };
        node.run_exchange(exchange);
    }
}

/// The first key signs; the second is accepted as well.
fn ring(keys: &[crate::settings::Key]) -> Option<KeyRing> {
    let mut keys = keys.iter().map(|key| {
        Key::new(key.id, key.secret).expect("a checked key is longer than the least secret")
    });
    Some(KeyRing::new(keys.next()?, keys.next()))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}
