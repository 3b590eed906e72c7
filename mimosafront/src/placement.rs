//! Orders layers to endpoints while this router holds the lease.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosaplatform::engine as wire;
use mimosashift::deployment::Engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::{Order, Ordered, Report};
use mimosashift::fleet::{Hop, Member};
use mimosashift::layout::{self, Assignment, EndpointState};
use mimosashift::meter::PlatformCall;
use mimosashift::order::lease::{Lease, Settings, TABLE};
use mimosashift::peer::STORE_LOST;
use mimosashift::platform::Outcome;
use mimosashift::resource::{Layers, Name};
use mimosashift::time::Instant;
use tokio::time::timeout;

use crate::directory::note;
use crate::front::Front;
use crate::{clock, probe};

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two looks at the lease.
const LEASE_INTERVAL: Duration = Duration::from_millis(700);

/// Time that the lease lasts: bounds the time without an orderer when a holder
/// dies and no peer notices.
const LEASE_DURATION: Duration = Duration::from_secs(8);

/// Time before the lease's end in which nothing is ordered.
const LEASE_MARGIN: Duration = Duration::from_millis(1_500);

/// Time on top of a heartbeat's interval in which no endpoint has joined before
/// the first plan, so that it sees all of them: one reading of the directory.
const SETTLE: Duration = Duration::from_millis(1_000);

/// Time after an endpoint that holds layers came into sight before the next
/// plan: the others of its zone register within two seconds.
const RETURN: Duration = Duration::from_millis(2_200);

/// Time for an order's answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after an order that was not answered before its endpoint is asked
/// whether to repeat it; an order may be carried out late, and its number
/// keeps it from being carried out twice.
const REPEAT_AFTER: Duration = Duration::from_millis(900);

/// Time after which an order that shows no effect is given up.
const GIVE_UP: Duration = Duration::from_secs(30);

/// An order whose effect has not been seen.
struct Pending {
    incarnation: u64,
    layers: Layers,
    sent: Instant,
    first: Instant,
}

/// The orders of this router.
struct Orders {
    front: Rc<Front>,
    lease: Option<Lease>,
    pending: HashMap<Arc<str>, Pending>,
    /// Endpoints at the last plan of empty ones, and when they changed.
    settled: (usize, Instant),
}

/// Keeps layers placed for as long as the router runs.
pub async fn keep(front: Rc<Front>) {
    let lease = lease(&front);
    let mut orders = Orders { front, lease, pending: HashMap::new(), settled: (0, Instant::ZERO) };
    let mut lease_at = Instant::ZERO;
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        let now = clock::now();
        if now >= lease_at {
            lease_at = now + LEASE_INTERVAL;
            orders.renew().await;
        }
        if orders.holds() {
            orders.examine_dead();
            orders.watch().await;
            orders.plan().await;
        }
    }
}

fn lease(front: &Front) -> Option<Lease> {
    let settings =
        Settings { duration: LEASE_DURATION, margin: LEASE_MARGIN, ..Settings::default() };
    let group = Name::try_from("placement").expect("the name is valid");
    match Name::try_from(&*front.node().name) {
        Ok(holder) => Some(Lease::new(settings, &group, holder, front.incarnation)),
        // Such a router serves but leaves orders to its peers.
        Err(error) => {
            emit!(front.log, Event::LeaseLost, "reason" => error.to_string());
            None
        }
    }
}

impl Orders {
    /// Whether orders may be given now. Endpoints refuse an order whose count
    /// is not theirs, so a lease that was taken over early is no danger.
    fn holds(&self) -> bool {
        let authority = self.lease.as_ref().and_then(|l| l.authorize(true, clock::now()));
        authority.is_some() && !self.front.stopping.get() && !self.yields()
    }

    /// Whether another router is better placed to order: this one does not see
    /// which endpoints come and go.
    fn yields(&self) -> bool {
        let now = clock::now();
        let reached = self.front.store_reached.get();
        let old = reached.is_none_or(|at| now.since(at) > STORE_LOST);
        self.front.store_lost.get() && old && self.front.peers.borrow().reaches_store(now)
    }

    async fn renew(&mut self) {
        let front = self.front.clone();
        let now = clock::now();
        let held = self.lease.as_ref().is_some_and(|lease| lease.authorize(true, now).is_some());
        let peer_leads = front.peers.borrow().alive(now).any(|peer| peer.digest.leads);
        if front.stopping.get() || (!held && peer_leads) {
            self.note_lead(held && !front.stopping.get());
            return;
        }
        if self.yields() {
            self.note_lead(false);
            return;
        }
        let Some(lease) = &mut self.lease else { return };
        if !held {
            let read = front.store.read(TABLE).await;
            note(&front, PlatformCall::Read, &read);
            let Outcome::Done(rows) = read else { return };
            let row = rows.rows.iter().find(|row| row.key == *lease.key());
            lease.observe(row, clock::now());
        }
        let now = clock::now();
        let idle = lease.holder().is_some_and(|holder| {
            let peers = front.peers.borrow();
            peers.is_dead(holder.as_str(), now) || peers.is_without_store(holder.as_str(), now)
        });
        let suspected = idle || lease.is_overdue(now);
        if let Some(transaction) = lease.write(suspected, now) {
            let outcome = front.store.commit(&transaction).await;
            note(&front, PlatformCall::Commit, &outcome);
            lease.on_write_result(&outcome, clock::now());
        }
        let holds = self.holds();
        self.note_lead(holds);
    }

    fn note_lead(&mut self, leads: bool) {
        if self.front.leads.replace(leads) == leads {
            return;
        }
        self.front.meter.leases(u64::from(leads));
        if leads {
            let number = self.lease.as_ref().and_then(|l| l.authorize(true, clock::now()));
            emit!(self.front.log, Event::LeaseTaken, "fencing_token" => number.map(|n| n.0));
        } else {
            emit!(self.front.log, Event::LeaseLost, "stopping" => self.front.stopping.get());
            self.front.meter.lost_leases(1);
            self.pending.clear();
        }
    }

    /// Asks again the endpoints that gave no answer, since layers are placed
    /// elsewhere only when they stay silent.
    fn examine_dead(&self) {
        let dead: Vec<_> = {
            let fleet = self.front.fleet.borrow();
            fleet.dead().filter_map(Member::hop).collect()
        };
        for hop in dead {
            let front = self.front.clone();
            // What it finds is noted with the endpoint.
            tokio::task::spawn_local(async move { drop(probe::examine(&front, &hop).await) });
        }
    }

    /// Looks what became of orders.
    async fn watch(&mut self) {
        let now = clock::now();
        let ids: Vec<_> = self.pending.keys().cloned().collect();
        for id in ids {
            let pending = &self.pending[&id];
            let hop = {
                let fleet = self.front.fleet.borrow();
                let member =
                    fleet.get(&id).filter(|m| m.endpoint.incarnation == pending.incarnation);
                member.map(|member| target(member, pending.layers))
            };
            let Some(hop) = hop.filter(|_| now.since(pending.first) < GIVE_UP) else {
                self.pending.remove(&id);
                continue;
            };
            let Ok(report) = probe::report(&self.front, &hop).await else { continue };
            self.settle(&hop, &report, now).await;
        }
    }

    /// Ends an order that took effect; repeats one that did not begin.
    async fn settle(&mut self, hop: &Hop, report: &Report, now: Instant) {
        let Some(pending) = self.pending.get_mut(&hop.id) else { return };
        if report.incarnation != pending.incarnation {
            self.pending.remove(&hop.id);
        } else if report.layers == Some(pending.layers) && !report.busy {
            let ms = crate::front::millis(now.since(pending.first));
            emit!(self.front.log, Event::OrderObserved, "endpoint" => &*hop.id, "layers" => pending.layers.to_string(), "ms" => ms);
            self.pending.remove(&hop.id);
        } else if !report.busy && now.since(pending.sent) > REPEAT_AFTER {
            pending.sent = now;
            self.order(hop, report.orders).await;
        }
    }

    async fn plan(&mut self) {
        let Some(deployment) = self.front.deployment() else { return };
        for service in deployment.services() {
            let Some(engine) = &service.engine else { continue };
            if self.is_returning(&service.name) {
                continue;
            }
            let moves = self.moves(&service.name, engine);
            if moves.is_empty() {
                continue;
            }
            if self.all_empty(&service.name) && !self.is_settled(&service.name) {
                continue;
            }
            for planned in moves {
                self.begin(planned).await;
            }
        }
    }

    /// Whether endpoints that hold layers have just come into sight, so that
    /// others are likely to follow.
    fn is_returning(&self, service: &str) -> bool {
        let now = clock::now();
        let fleet = self.front.fleet.borrow();
        let mut of = fleet.members().filter(|m| &*m.endpoint.service == service);
        of.any(|member| member.reappeared_at().is_some_and(|at| now.since(at) < RETURN))
    }

    fn moves(&self, service: &str, engine: &Engine) -> Vec<Assignment> {
        let now = clock::now();
        let fleet = self.front.fleet.borrow();
        let members = fleet
            .members()
            // The layers of a slow or dead endpoint are wanted elsewhere as well.
            .filter(|m| &*m.endpoint.service == service && m.takes_work() && !m.is_slow())
            .filter(|m| !fleet.is_lost(m, now));
        let place = |member: &Member| {
            let endpoint = &member.endpoint;
            let pending = self.pending.get(&endpoint.id);
            Some(EndpointState {
                id: endpoint.id.clone(),
                zone: endpoint.zone.clone(),
                card: *engine.card(endpoint)?,
                layers: pending.map(|p| p.layers).or(endpoint.layers),
                used: member.cache(),
                busy: pending.is_some(),
            })
        };
        let places: Vec<_> = members.filter_map(place).collect();
        layout::plan(engine, &places)
    }

    fn all_empty(&self, service: &str) -> bool {
        let fleet = self.front.fleet.borrow();
        let mut of = fleet.members().filter(|m| &*m.endpoint.service == service);
        of.all(|member| member.endpoint.layers.is_none())
    }

    /// Whether no endpoint has joined for a while.
    fn is_settled(&mut self, service: &str) -> bool {
        let now = clock::now();
        let fleet = self.front.fleet.borrow();
        let count = fleet.members().filter(|m| &*m.endpoint.service == service).count();
        if self.settled.0 != count {
            self.settled = (count, now);
        }
        now.since(self.settled.1) >= self.front.node().heartbeat + SETTLE
    }

    async fn begin(&mut self, planned: Assignment) {
        let hop = {
            let fleet = self.front.fleet.borrow();
            fleet.get(&planned.id).map(|member| target(member, planned.layers))
        };
        let Some(hop) = hop else { return };
        let report = match probe::report(&self.front, &hop).await {
            Ok(report) if report.incarnation == hop.incarnation && !report.busy => report,
            // The next plan tries again.
            Ok(_) | Err(_) => return,
        };
        let now = clock::now();
        let pending =
            Pending { incarnation: hop.incarnation, layers: planned.layers, sent: now, first: now };
        self.pending.insert(hop.id.clone(), pending);
        self.order(&hop, report.orders).await;
    }

    async fn order(&mut self, hop: &Hop, after: u64) {
        let authority = self.lease.as_ref().and_then(|l| l.authorize(true, clock::now()));
        let Some(number) = authority else { return };
        let order = Order::Place { layers: hop.layers, after, fencing_token: number.0 };
        let call = wire::order_call(hop.address, &hop.id, &order);
        let front = self.front.clone();
        front.meter.orders(1);
        emit!(front.log, Event::OrderSent, "endpoint" => &*hop.id, "layers" => hop.layers.to_string(), "after" => after, "fencing_token" => number.0);
        let ordering = async {
            let mut exchange = front.pool.send(hop.address, call, false).await.ok()?;
            let body = exchange.collect(64 * 1024).await.ok()?;
            Some(wire::ordered(exchange.head.status(), &body))
        };
        match timeout(ORDER_TIMEOUT, ordering).await.ok().flatten() {
            Some(Ordered::Taken) => {}
            Some(Ordered::Refused { status, .. }) => {
                emit!(front.log, Event::OrderRefused, "endpoint" => &*hop.id, "status" => status);
                self.pending.remove(&hop.id);
            }
            Some(Ordered::Unknown) | None => {
                emit!(front.log, Event::OrderUnknown, "endpoint" => &*hop.id);
            }
        }
    }
}

/// The endpoint as an order's target.
fn target(member: &Member, layers: Layers) -> Hop {
    let endpoint = &member.endpoint;
    Hop {
        id: endpoint.id.clone(),
        address: endpoint.address,
        incarnation: endpoint.incarnation,
        layers,
    }
}
