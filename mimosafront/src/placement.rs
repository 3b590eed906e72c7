//! Assigns layers to endpoints while this router holds the placement lease.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosaplatform::engine as engine_protocol;
use mimosashift::connection_pool::Reuse;
use mimosashift::deployment::Engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{Order, OrderOutcome, Report};
use mimosashift::fleet::{Hop, Member, name_key};
use mimosashift::layout::{self, Assignment, EndpointState};
use mimosashift::meter::PlatformCall;
use mimosashift::order::lease::{Lease, Settings, TABLE};
use mimosashift::peer::STORE_LOST_AFTER;
use mimosashift::platform::Outcome;
use mimosashift::resource::{Layers, Name};
use mimosashift::time::Instant;
use tokio::time::timeout;

use crate::directory::record_store_call;
use crate::state::RouterState;
use crate::{clock, probe};

/// Interval of planning.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of lease checks.
const LEASE_INTERVAL: Duration = Duration::from_millis(700);

/// Duration of the lease: bounds the time without a lease holder if the holder
/// dies and no peer notices.
const LEASE_DURATION: Duration = Duration::from_secs(8);

/// Time before the lease expires in which no orders are sent.
const LEASE_MARGIN: Duration = Duration::from_millis(1_500);

/// Time without a new endpoint, in addition to a heartbeat interval, before
/// layers are first placed, so that the plan covers all endpoints: one read of
/// the directory.
const SETTLE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time after an endpoint that holds layers has reappeared before the next
/// plan: the others of its zone register within two seconds.
const RETURN_PERIOD: Duration = Duration::from_millis(2_200);

/// Time limit for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time between two sends of an order that the endpoint has not
/// executed; an order may be executed late, and its sequence number prevents a
/// second execution.
const ORDER_REPEAT_DELAY: Duration = Duration::from_millis(900);

/// Time after which an order without effect is abandoned.
const ORDER_EXPIRY: Duration = Duration::from_secs(30);

/// An order whose effect has not been observed yet.
struct PendingOrder {
    incarnation: u64,
    layers: Layers,
    last_sent: Instant,
    first_sent: Instant,
}

/// Plans placement and tracks the orders sent by this router.
struct Placer {
    state: Rc<RouterState>,
    lease: Option<Lease>,
    pending: HashMap<Arc<str>, PendingOrder>,
    /// Since when this router knows of no holder of the lease.
    unheld_since: Option<Instant>,
    /// Revision of the unreadable row of the lease that was logged last.
    logged_unreadable: Option<u64>,
    /// Number of endpoints of the service that `is_settled` last checked, and when
    /// it last changed; shared by all services.
    endpoint_count: (usize, Instant),
}

/// Keeps layers placed until the router exits.
pub async fn run(state: Rc<RouterState>) {
    let lease = new_lease(&state);
    let mut placer = Placer {
        state,
        lease,
        pending: HashMap::new(),
        unheld_since: None,
        logged_unreadable: None,
        endpoint_count: (0, Instant::ZERO),
    };
    let mut next_lease_check = Instant::ZERO;
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        let now = clock::now();
        if now >= next_lease_check {
            placer.update_lease().await;
            next_lease_check = now + placer.lease_interval();
        }
        if placer.may_order() {
            placer.probe_dead();
            placer.check_pending().await;
            placer.plan().await;
        }
    }
}

fn new_lease(state: &RouterState) -> Option<Lease> {
    let settings =
        Settings { duration: LEASE_DURATION, margin: LEASE_MARGIN, ..Settings::default() };
    let group = Name::try_from("placement").expect("\"placement\" is a valid name");
    match Name::try_from(&*state.node().name) {
        Ok(holder) => Some(Lease::new(settings, &group, holder, state.incarnation)),
        // Such a router serves requests but leaves placement to its peers.
        Err(error) => {
            emit!(state.log, Event::LeaseLost, "reason" => error.to_string());
            None
        }
    }
}

impl Placer {
    /// Whether orders may be sent now. Endpoints refuse an order with a wrong
    /// sequence number, so two routers that both hold the lease for a while do no
    /// harm.
    fn may_order(&self) -> bool {
        let authority = self.lease.as_ref().and_then(|l| l.authorize(true, clock::now()));
        authority.is_some() && !self.state.stopping.is_set() && !self.defers_to_peer()
    }

    /// Whether another router should hold the lease because this one has lost the
    /// store, and with it the endpoint directory, or the paths to engines, and a peer
    /// reaches them.
    fn defers_to_peer(&self) -> bool {
        let now = clock::now();
        let last_answer = self.state.last_store_answer.get();
        let is_stale = last_answer.is_none_or(|at| now.since(at) > STORE_LOST_AFTER);
        let peers = self.state.peers.borrow();
        let is_reached = |service: &u64| peers.reaching(*service, now).next().is_some();
        self.state.store_lost.get() && is_stale && peers.reaches_store(now)
            || self.engine_services(true).iter().any(is_reached)
    }

    /// Keys of the services with engines whose paths are lost, or those whose paths are in
    /// use.
    fn engine_services(&self, lost: bool) -> Vec<u64> {
        let Some(deployment) = self.state.deployment() else { return Vec::new() };
        let reach = self.state.reach.borrow();
        let services = deployment.services().filter(|service| service.engine.is_some());
        let services = services.filter(|service| reach.is_lost(&service.name) == lost);
        services.map(|service| name_key(&service.name)).collect()
    }

    /// Whether a live router cannot place layers, and this one can: it has lost the store or
    /// the paths to engines.
    fn can_replace(&self, holder: &str, now: Instant) -> bool {
        let peers = self.state.peers.borrow();
        let reached = self.engine_services(false);
        peers.has_lost_store(holder, now)
            || peers.unreachable_at(holder, now).iter().any(|service| reached.contains(service))
    }

    /// Time until the next lease check; longer while the store is away.
    fn lease_interval(&self) -> Duration {
        if !self.state.store_lost.get() {
            return LEASE_INTERVAL;
        }
        let random = self.state.random_fraction();
        self.state.peers.borrow().store_retry_interval(random, clock::now()).max(LEASE_INTERVAL)
    }

    /// Acquires, renews or takes over the lease, unless a peer holds it or is to
    /// hold it.
    async fn update_lease(&mut self) {
        let state = self.state.clone();
        let now = clock::now();
        let held = self.lease.as_ref().is_some_and(|lease| lease.authorize(true, now).is_some());
        let peer_is_holder =
            state.peers.borrow().alive(now).any(|peer| peer.digest.holds_placement_lease);
        if state.stopping.is_set() || (!held && peer_is_holder) {
            self.unheld_since = None;
            self.set_lease_holder(held && !state.stopping.is_set());
            return;
        }
        let unheld_since = *self.unheld_since.get_or_insert(now);
        let delay = state.peers.borrow().lease_delay(&state.node().name, now);
        if !held && now.since(unheld_since) < delay {
            self.set_lease_holder(false);
            return;
        }
        if self.defers_to_peer() {
            self.set_lease_holder(false);
            return;
        }
        let Some(mut lease) = self.lease.take() else { return };
        self.write_lease(&mut lease, held).await;
        self.log_unreadable(&lease);
        self.lease = Some(lease);
        let may_order = self.may_order();
        self.set_lease_holder(may_order);
    }

    async fn write_lease(&self, lease: &mut Lease, held: bool) {
        let state = &self.state;
        if !held {
            let started = clock::now();
            let read = state.store.read(TABLE).await;
            record_store_call(state, PlatformCall::Read, started, &read);
            let Outcome::Done(rows) = read else { return };
            let row = rows.rows.iter().find(|row| row.key == *lease.key());
            lease.observe(row, clock::now());
        }
        let now = clock::now();
        let holder_is_inactive = lease.holder().is_some_and(|holder| {
            let is_dead = state.peers.borrow().is_dead(holder.as_str(), now);
            is_dead || self.can_replace(holder.as_str(), now)
        });
        let takeover = holder_is_inactive || lease.is_overdue(now);
        if let Some(transaction) = lease.next_transaction(takeover, now) {
            let outcome = state.store.commit(&transaction).await;
            record_store_call(state, PlatformCall::Commit, now, &outcome);
            lease.on_write_result(&outcome, clock::now());
        }
    }

    /// Logs each write of the lease that cannot be decoded once.
    fn log_unreadable(&mut self, lease: &Lease) {
        let Some(revision) = lease.unreadable_revision() else { return };
        if self.logged_unreadable.replace(revision) != Some(revision) {
            emit!(self.state.log, Event::LeaseUnreadable, "lease" => &*lease.key().key, "revision" => revision);
        }
    }

    fn set_lease_holder(&mut self, is_holder: bool) {
        if self.state.holds_placement_lease.replace(is_holder) == is_holder {
            return;
        }
        self.state.meter.leases(u64::from(is_holder));
        if is_holder {
            let token = self.lease.as_ref().and_then(|l| l.authorize(true, clock::now()));
            emit!(self.state.log, Event::LeaseAcquired, "fencing_token" => token.map(|n| n.0));
        } else {
            emit!(self.state.log, Event::LeaseLost, "stopping" => self.state.stopping.is_set());
            self.state.meter.lost_leases(1);
            self.pending.clear();
        }
    }

    /// Probes dead endpoints again, since their layers are placed elsewhere
    /// only while they stay silent.
    fn probe_dead(&self) {
        let dead: Vec<_> = {
            let fleet = self.state.fleet.borrow();
            fleet.dead().filter_map(Member::hop).collect()
        };
        for hop in dead {
            let state = self.state.clone();
            // The result is recorded in the fleet.
            tokio::task::spawn_local(async move { drop(probe::check_alive(&state, &hop).await) });
        }
    }

    /// Checks the progress of pending orders.
    async fn check_pending(&mut self) {
        let now = clock::now();
        let ids: Vec<_> = self.pending.keys().cloned().collect();
        for id in ids {
            let pending = &self.pending[&id];
            let hop = {
                let fleet = self.state.fleet.borrow();
                let member =
                    fleet.get(&id).filter(|m| m.endpoint.incarnation == pending.incarnation);
                member.map(|member| order_target(member, pending.layers))
            };
            let Some(hop) = hop.filter(|_| now.since(pending.first_sent) < ORDER_EXPIRY) else {
                self.pending.remove(&id);
                continue;
            };
            let Ok(report) = probe::fetch_report(&self.state, &hop).await else { continue };
            self.update_pending(&hop, &report, now).await;
        }
    }

    /// Completes an order that took effect; repeats one that did not start.
    async fn update_pending(&mut self, hop: &Hop, report: &Report, now: Instant) {
        let Some(pending) = self.pending.get_mut(&hop.id) else { return };
        if report.incarnation != pending.incarnation {
            self.pending.remove(&hop.id);
        } else if report.layers == Some(pending.layers) && !report.busy {
            let ms = crate::state::millis(now.since(pending.first_sent));
            emit!(self.state.log, Event::OrderObserved, "endpoint" => &*hop.id, "layers" => pending.layers.to_string(), "ms" => ms);
            self.pending.remove(&hop.id);
        } else if !report.busy && now.since(pending.last_sent) > ORDER_REPEAT_DELAY {
            pending.last_sent = now;
            self.send_order(hop, report.orders_started).await;
        }
    }

    async fn plan(&mut self) {
        let Some(deployment) = self.state.deployment() else { return };
        for service in deployment.services() {
            let Some(engine) = &service.engine else { continue };
            if self.is_returning(&service.name) {
                continue;
            }
            let moves = self.plan_moves(&service.name, engine);
            if moves.is_empty() {
                continue;
            }
            if self.holds_no_layers(&service.name) && !self.is_settled(&service.name) {
                continue;
            }
            for planned in moves {
                self.start_move(planned).await;
            }
        }
    }

    /// Whether endpoints that hold layers have just reappeared, so that others
    /// are likely to follow.
    fn is_returning(&self, service: &str) -> bool {
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let mut members = fleet.members().filter(|m| &*m.endpoint.service == service);
        members.any(|member| {
            member.joined_with_layers_at().is_some_and(|at| now.since(at) < RETURN_PERIOD)
        })
    }

    fn plan_moves(&self, service: &str, engine: &Engine) -> Vec<Assignment> {
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let members = fleet
            .members()
            // Slow endpoints, and those that have been dead for long, do not
            // count as holders, so their layers are placed elsewhere.
            .filter(|m| &*m.endpoint.service == service && m.takes_work() && !m.is_slow())
            .filter(|m| !fleet.is_lost(m, now));
        let to_state = |member: &Member| {
            let endpoint = &member.endpoint;
            let pending = self.pending.get(&endpoint.id);
            Some(EndpointState {
                id: endpoint.id.clone(),
                zone: endpoint.zone.clone(),
                card: *engine.card(endpoint)?,
                layers: pending.map(|p| p.layers).or(endpoint.layers),
                used: fleet.cache(member, now),
                busy: pending.is_some(),
            })
        };
        let states: Vec<_> = members.filter_map(to_state).collect();
        layout::plan(engine, &states)
    }

    /// Whether no endpoint of the service holds layers.
    fn holds_no_layers(&self, service: &str) -> bool {
        let fleet = self.state.fleet.borrow();
        let mut members = fleet.members().filter(|m| &*m.endpoint.service == service);
        members.all(|member| member.endpoint.layers.is_none())
    }

    /// Whether the number of endpoints of the service has not changed recently.
    fn is_settled(&mut self, service: &str) -> bool {
        let now = clock::now();
        let fleet = self.state.fleet.borrow();
        let count = fleet.members().filter(|m| &*m.endpoint.service == service).count();
        if self.endpoint_count.0 != count {
            self.endpoint_count = (count, now);
        }
        now.since(self.endpoint_count.1) >= self.state.node().heartbeat + SETTLE_PERIOD
    }

    async fn start_move(&mut self, planned: Assignment) {
        let hop = {
            let fleet = self.state.fleet.borrow();
            fleet.get(&planned.id).map(|member| order_target(member, planned.layers))
        };
        let Some(hop) = hop else { return };
        let report = match probe::fetch_report(&self.state, &hop).await {
            Ok(report) if report.incarnation == hop.incarnation && !report.busy => report,
            // The next plan retries.
            Ok(_) | Err(_) => return,
        };
        let now = clock::now();
        let pending = PendingOrder {
            incarnation: hop.incarnation,
            layers: planned.layers,
            last_sent: now,
            first_sent: now,
        };
        self.pending.insert(hop.id.clone(), pending);
        self.send_order(&hop, report.orders_started).await;
    }

    /// Sends an order to an endpoint that has started `orders_started` orders,
    /// which the endpoint refuses if it has started another one since.
    async fn send_order(&mut self, hop: &Hop, orders_started: u64) {
        let authority = self.lease.as_ref().and_then(|l| l.authorize(true, clock::now()));
        let Some(token) = authority else { return };
        let order =
            Order::Place { layers: hop.layers, after: orders_started, fencing_token: token.0 };
        let call = engine_protocol::order_request(hop.address, &hop.id, &order);
        let state = self.state.clone();
        state.meter.orders(1);
        emit!(state.log, Event::OrderSent, "endpoint" => &*hop.id, "layers" => hop.layers.to_string(), "after" => orders_started, "fencing_token" => token.0);
        let response = async {
            let mut exchange = state.call(hop, call, Reuse::Any).await.ok()?;
            let body = exchange.collect(64 * 1024).await.ok()?;
            Some(engine_protocol::order_outcome(exchange.head.status(), &body))
        };
        match timeout(ORDER_TIMEOUT, response).await.ok().flatten() {
            Some(OrderOutcome::Taken) => {}
            Some(OrderOutcome::Refused { status, .. }) => {
                emit!(state.log, Event::OrderRefused, "endpoint" => &*hop.id, "status" => status);
                self.pending.remove(&hop.id);
            }
            Some(OrderOutcome::Unknown) | None => {
                emit!(state.log, Event::OrderUnknown, "endpoint" => &*hop.id);
            }
        }
    }
}

/// The endpoint as the target of an order.
fn order_target(member: &Member, layers: Layers) -> Hop {
    let endpoint = &member.endpoint;
    Hop {
        id: endpoint.id.clone(),
        address: endpoint.address,
        incarnation: endpoint.incarnation,
        layers,
    }
}
