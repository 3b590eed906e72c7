//! State shared with other routers: membership and configuration.
//!
//! One thread makes the decisions at a fixed interval; other threads make the
//! resulting calls, without holding a lock.

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

mod lifecycle;
mod report;

use lifecycle::Lifecycle;
use report::Reports;

/// Time between two ticks, at which decisions are made.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Threads that exchange configuration with other routers.
const EXCHANGE_THREADS: usize = 4;

/// Maximum number of queued exchanges; a dropped one is made up for by a later
/// pull.
const MAX_EXCHANGES: usize = 1_024;

/// Membership and configuration of a router, with their communication.
pub struct Cluster {
    shared: Mutex<Shared>,
    /// Absent if no peer key is set; the router then runs without peers.
    transport: OnceLock<Transport>,
    exchanges: Sender<Exchange>,
    polls: Sender<State>,
}

/// The receivers for the exchange and poll threads.
pub struct Receivers {
    exchanges: Receiver<Exchange>,
    polls: Receiver<State>,
}

struct Shared {
    membership: Membership,
    lifecycle: Lifecycle,
    reports: Reports,
    /// Liveness of the other routers of the own domain at the last tick.
    last_liveness: BTreeMap<Name, Liveness>,
    /// When the demand was last reported.
    demand_reported_at: Instant,
    rng: Pcg64Mcg,
}

/// A configuration exchange with another router.
enum Exchange {
    Pull(Name, Request),
    Push(Name, Vec<Record>),
}

impl Cluster {
    /// A router without peers and configuration yet.
    pub fn new(settings: &Settings, now: Instant) -> (Self, Receivers) {
        let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
        let own = Identity {
            node: settings.node.name.clone(),
            domain: settings.node.domain.clone(),
            address: settings.peer.address,
            incarnation: member::incarnation(now.as_micros(), &mut rng),
        };
        let shared = Shared {
            lifecycle: Lifecycle::new(own.node.clone(), now),
            membership: Membership::new(own, &settings.peer.peers),
            reports: Reports::default(),
            last_liveness: BTreeMap::new(),
            demand_reported_at: Instant::ZERO,
            rng,
        };
        let (exchanges, exchange_receiver) = channel::bounded(MAX_EXCHANGES);
        // At most one poll is in flight.
        let (polls, poll_receiver) = channel::bounded(1);
        let cluster =
            Self { shared: Mutex::new(shared), transport: OnceLock::new(), exchanges, polls };
        (cluster, Receivers { exchanges: exchange_receiver, polls: poll_receiver })
    }

    /// Reason why the router may not serve yet; `None` if it may.
    pub fn reason(&self, now: Instant) -> Option<NotServingReason> {
        let shared = self.lock();
        shared.lifecycle.reason(now, &shared.membership.peers(now))
    }

    /// How many live routers of each failure domain have installed `revision`.
    pub fn in_force(&self, now: Instant, revision: u64) -> BTreeMap<Name, InForce> {
        let shared = self.lock();
        shared.membership.in_force(now, &shared.report(Vec::new()), revision)
    }

    /// The known other routers, with their liveness.
    pub fn members(&self, now: Instant) -> Vec<(Member, Liveness)> {
        let shared = self.lock();
        shared.membership.members().map(|m| (m.clone(), m.liveness(now))).collect()
    }

    /// Changes after `revision`; empty while this router has not reached it.
    pub fn watch(&self, revision: u64) -> Result<Vec<Record>, Gone> {
        let shared = self.lock();
        let store = shared.lifecycle.replicator().store();
        if revision >= store.version().revision {
            return Ok(Vec::new());
        }
        Ok(store.watch(revision)?.cloned().collect())
    }

    /// Calls `act` with the live routers, including this one.
    pub fn with_routers<T>(&self, now: Instant, act: impl FnOnce(&[Router<'_>]) -> T) -> T {
        let shared = self.lock();
        let own = shared.membership.identity();
        let alive = shared.membership.alive(now).map(|member| &member.heartbeat);
        let mut routers: Vec<Router<'_>> =
            alive.map(|h| Router { name: h.node.as_str(), domain: &h.domain }).collect();
        routers.push(Router { name: own.node.as_str(), domain: &own.domain });
        act(&routers)
    }

    /// Number of bytes sent to other routers, and of frames refused from them.
    pub fn traffic(&self) -> (u64, u64) {
        self.transport.get().map_or((0, 0), |t| (t.sent_bytes(), t.refused()))
    }

    /// Marks this router as leaving; heartbeats announce it.
    pub fn leave(&self) {
        self.lock().membership.leave();
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder of this lock panics")
    }
}

impl Shared {
    fn report(&self, payloads: Vec<crate::wire::message::Payload>) -> member::Report {
        let replicator = self.lifecycle.replicator();
        member::Report {
            version: replicator.store().version(),
            polled: replicator.polled(),
            payloads,
        }
    }
}

impl Node {
    /// Starts the transport and the threads.
    pub(super) fn start_cluster(self: &Arc<Self>, receivers: Receivers) -> Result<(), Error> {
        self.start_transport()?;
        let node = Arc::downgrade(self);
        let polls = receivers.polls;
        spawn("poll", move || poll(&node, &polls))?;
        for _ in 0..EXCHANGE_THREADS {
            let (node, exchanges) = (Arc::downgrade(self), receivers.exchanges.clone());
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

    /// Installs a change that was committed here, and sends it to the peers.
    pub(super) fn install_committed(&self, committed: &Committed) {
        let now = self.clock.now();
        self.decide(|shared| {
            let peers = shared.membership.peers(now);
            shared.lifecycle.replicator_mut().install_progress(&committed.progress, &peers)
        });
    }

    /// Sends the heartbeats and reports that are due, and advances replication.
    pub(super) fn tick_cluster(&self) {
        let now = self.clock.now();
        let mut shared = self.cluster.lock();
        let payloads = shared.reports.payloads(self, now);
        let report = shared.report(payloads);
        let Shared { membership, rng, .. } = &mut *shared;
        let sends = membership.tick(now, &report, rng);
        let incarnation = membership.identity().incarnation;
        self.log_liveness(&mut shared, now);
        let demand = self.demand(&mut shared, now);
        let routers = shared.membership.alive(now).count() + 1;
        drop(shared);
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.platform.set_routers(routers);
        self.lock_health().set_routers(routers);
        if let Some(transport) = self.cluster.transport.get() {
            transport.set_incarnation(incarnation);
            // A peer that cannot be reached is detected by its missing heartbeats.
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
            let Shared { lifecycle, rng, .. } = shared;
            let actions = lifecycle.replicator_mut().tick(now, &peers, rng);
            if lifecycle.try_serve(now, &peers) {
                let revision = lifecycle.replicator().store().version().revision;
                emit!(self.log, Event::NodeReady, "revision" => revision);
            }
            actions
        });
    }

    /// Makes a decision on the configuration, installs a new version if there
    /// is one, and starts the resulting calls.
    fn decide(&self, decide: impl FnOnce(&mut Shared) -> Vec<Action>) {
        let mut shared = self.cluster.lock();
        let actions = decide(&mut shared);
        let store = shared.lifecycle.replicator().store();
        if store.version() != self.installed.load().state().version() {
            self.install(store.state().clone());
        }
        drop(shared);
        for action in actions {
            self.start_action(action);
        }
    }

    fn start_action(&self, action: Action) {
        // If the queue is full, the exchange is dropped; it is repeated later.
        match action {
            Action::Poll(state) => {
                self.cluster.polls.send(state).expect("the poll thread runs as long as the router");
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
        let handler = move |frame| node.upgrade()?.on_frame(frame);
        let own = self.cluster.lock().membership.identity().clone();
        let transport =
            Transport::bind(peer.address, ring, own.node, own.incarnation, Box::new(handler))
                .map_err(|error| Error::Listen {
                    surface: "peers",
                    address: peer.address,
                    error,
                })?;
        let first = self.cluster.transport.set(transport).is_ok();
        assert!(first, "the transport was already started");
        Ok(())
    }

    /// Handles a received frame; returns the reply, if any.
    fn on_frame(&self, frame: Frame) -> Option<Message> {
        match frame.message {
            Message::Heartbeat(mut heartbeat) if heartbeat.node == frame.sender => {
                let now = self.clock.now();
                let payloads = std::mem::take(&mut heartbeat.payloads);
                let event = self.cluster.lock().membership.on_heartbeat(now, heartbeat);
                self.handle_member_event(&frame.sender, event);
                report::merge(self, &frame.sender, &payloads);
                None
            }
            Message::Heartbeat(_) => None,
            Message::Request(request) => {
                let reply = self.cluster.lock().lifecycle.replicator().answer(&request);
                Some(Message::Reply(EncodedReply::from(&reply)))
            }
            Message::Reply(bundle) => {
                self.on_reply(&frame.sender, &bundle);
                None
            }
            Message::Reports(payloads) => {
                report::merge(self, &frame.sender, &payloads);
                None
            }
        }
    }

    fn on_reply(&self, peer: &Name, bundle: &EncodedReply) {
        // An unreadable reply is ignored; the request is repeated later.
        let Ok(reply) = Reply::try_from(bundle) else { return };
        let now = self.clock.now();
        self.decide(|shared| shared.lifecycle.replicator_mut().on_reply(now, peer, reply));
    }

    fn handle_member_event(&self, peer: &Name, event: member::Event) {
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

    /// Logs changes of the liveness of routers of the own domain. Heartbeats from
    /// other domains arrive only at random times.
    fn log_liveness(&self, shared: &mut Shared, now: Instant) {
        let own = self.settings.domain();
        let latest: BTreeMap<Name, Liveness> = shared
            .membership
            .members()
            .filter(|member| member.heartbeat.domain == *own)
            .map(|member| (member.heartbeat.node.clone(), member.liveness(now)))
            .collect();
        for (node, liveness) in &latest {
            if shared.last_liveness.get(node) == Some(liveness) {
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
        shared.last_liveness = latest;
    }

    /// The demand report and the peers to send it to, if one is due.
    fn demand(
        &self,
        shared: &mut Shared,
        now: Instant,
    ) -> Option<(Message, Vec<std::net::SocketAddr>)> {
        if now.since(shared.demand_reported_at) < share::REPORT_INTERVAL {
            return None;
        }
        shared.demand_reported_at = now;
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
                    self.on_reply(&peer, &bundle);
                }
            }
            Exchange::Push(peer, records) => {
                let Some(address) = self.peer_address(&peer) else { return };
                let message = Message::Reply(EncodedReply::from(&Reply::Records(records)));
                // Too long for a datagram. If this fails as well, the peer pulls the
                // records after a heartbeat.
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
            shared.lifecycle.replicator_mut().on_poll(now, result, &peers)
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

/// The keys for messages: the first signs, the second is accepted as well.
fn ring(keys: &[crate::settings::Key]) -> Option<KeyRing> {
    let mut keys = keys.iter().map(|key| {
        Key::new(key.id, key.secret).expect("settings validation checks the length of keys")
    });
    Some(KeyRing::new(keys.next()?, keys.next()))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), Error> {
    thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}
