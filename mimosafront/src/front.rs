//! State that the tasks of a router share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosaplatform::store::Store;
use mimosashift::admit::pressure::MemoryPressure;
use mimosashift::freshness::Freshness;
use mimosashift::deployment::{Deployment, Node};
use mimosashift::emit;
use mimosashift::event::{Event, Logger};
use mimosashift::exchange::Report;
use mimosashift::fleet::{Fleet, Member, Observation};
use mimosashift::link::{self, Pool};
use mimosashift::meter::Meter;
use mimosashift::peer::Peers;
use mimosashift::pipeline::retry::{Window, WindowLimits};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::clock;
use crate::probe::Findings;

/// Time to open a connection: a few round trips between zones; a full queue
/// at the other end shows as a longer wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Unacknowledged time after which a connection counts as dead: far above a
/// round trip and within the time that a client waits for the next event.
const SILENCE: Duration = Duration::from_secs(1);

/// Time for a call to the store: many times its usual answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Routers among which the extra retries are divided at least, before a router
/// has heard of the others.
const MIN_SHARERS: f64 = 4.0;

/// State that the tasks of a router share.
pub struct Front {
    /// Settings in force.
    pub node: RefCell<Rc<Node>>,
    /// Configuration in force, with its text for peers.
    pub deployment: RefCell<Option<Installed>>,
    /// When the configuration was last confirmed.
    pub currency: Cell<Freshness>,
    /// Endpoints.
    pub fleet: RefCell<Fleet>,
    /// Other routers.
    pub peers: RefCell<Peers>,
    /// What endpoints answered that were asked whether they are alive.
    pub findings: RefCell<Findings>,
    /// How hard the engines are pressed.
    pub pressure: RefCell<MemoryPressure>,
    /// Wakes every request when an endpoint is found dead or slow.
    pub faults: Notify,
    /// Wakes one request that waits for memory.
    pub released: Notify,
    /// Connections to endpoints and the store.
    pub pool: Rc<Pool>,
    /// The store.
    pub store: Store,
    /// Wakes the reading of the configuration.
    pub refresh: Notify,
    /// Wakes those that wait for the configuration to be confirmed.
    pub confirmed: Notify,
    /// When the store last answered.
    pub store_reached: Cell<Option<Instant>>,
    /// Whether the last call to the store failed.
    pub store_lost: Cell<bool>,
    /// When the directory was last read.
    pub directory_read: Cell<Option<Instant>>,
    /// What reports have changed lately, for peers.
    pub observed: RefCell<Vec<(Instant, Observation)>>,
    /// Whether this router holds the lease on placement.
    pub leads: Cell<bool>,
    /// Whether SIGTERM has arrived.
    pub stopping: Cell<bool>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Drawn at each start, rising.
    pub incarnation: u64,
    /// The log.
    pub log: Logger,
    /// Metrics.
    pub meter: Meter,
    retries: RefCell<HashMap<Arc<str>, Window>>,
    /// Most routers that were alive at the same time: what one that died has
    /// spent still counts.
    most_routers: Cell<usize>,
    rng: RefCell<Pcg64Mcg>,
}

/// A configuration in force.
#[derive(Clone)]
pub struct Installed {
    /// What it says.
    pub deployment: Rc<Deployment>,
    /// As it was written, for peers.
    pub text: Rc<str>,
}

impl Front {
    /// The state at the start.
    pub fn new(node: Node, log: Logger, meter: Meter) -> Rc<Self> {
        let settings = link::Settings { connect_timeout: CONNECT_TIMEOUT, silence: SILENCE };
        let pool = Pool::new(settings);
        let store = Store::new(pool.clone(), node.store.address, STORE_TIMEOUT);
        let now = clock::now();
        let port = node.peer_ports.0;
        let own = std::net::SocketAddr::new(node.clients.ip(), port);
        let seeds: Vec<_> =
            node.seeds.iter().map(|seed| std::net::SocketAddr::new(seed.ip(), port)).collect();
        let incarnation = clock::unix_micros();
        Rc::new(Self {
            peers: RefCell::new(Peers::new(own, node.zone.clone(), &seeds, now)),
            node: RefCell::new(Rc::new(node)),
            deployment: RefCell::default(),
            currency: Cell::default(),
            fleet: RefCell::default(),
            findings: RefCell::default(),
            pressure: RefCell::default(),
            faults: Notify::new(),
            released: Notify::new(),
            pool,
            store,
            refresh: Notify::new(),
            confirmed: Notify::new(),
            store_reached: Cell::default(),
            store_lost: Cell::default(),
            directory_read: Cell::default(),
            observed: RefCell::default(),
            leads: Cell::default(),
            stopping: Cell::default(),
            in_flight: Cell::default(),
            incarnation,
            log,
            meter,
            retries: RefCell::default(),
            most_routers: Cell::new(1),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(incarnation)),
        })
    }

    /// Settings in force.
    pub fn node(&self) -> Rc<Node> {
        self.node.borrow().clone()
    }

    /// The configuration in force.
    pub fn deployment(&self) -> Option<Rc<Deployment>> {
        self.deployment.borrow().as_ref().map(|installed| installed.deployment.clone())
    }

    /// Revision in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.deployment.borrow().as_ref().map_or(0, |installed| installed.deployment.revision)
    }

    /// Puts a configuration in force if it is newer.
    pub fn install(&self, deployment: Deployment, text: &str, source: &str) {
        let before = self.revision();
        if deployment.revision <= before {
            if deployment.revision < before {
                let found = deployment.revision;
                emit!(self.log, Event::ConfigOlder, "revision" => before, "found" => found, "source" => source);
            }
            return;
        }
        emit!(
            self.log, Event::ConfigInstalled,
            "revision" => deployment.revision, "before" => before, "source" => source,
            "routes" => deployment.route_count(),
        );
        self.meter.config_revision(deployment.revision);
        let installed = Installed { deployment: Rc::new(deployment), text: text.into() };
        *self.deployment.borrow_mut() = Some(installed);
    }

    /// Notes that the installed configuration was the newest at `began`.
    pub fn confirm(&self, began: Instant) {
        let mut currency = self.currency.get();
        currency.confirm(began);
        self.currency.set(currency);
        self.confirmed.notify_waiters();
    }

    /// Age of the last confirmation, in milliseconds, for logs.
    pub fn config_age_ms(&self) -> Option<u64> {
        self.currency.get().age(clock::now()).map(millis)
    }

    /// Age of the directory, in milliseconds, for logs.
    pub fn directory_age_ms(&self) -> Option<u64> {
        self.directory_read.get().map(|read| millis(clock::now().since(read)))
    }

    /// Whether keys may be used.
    pub fn keys_are_current(&self) -> bool {
        let bound = self.node.borrow().bounds.revocation;
        bound.is_none_or(|bound| self.currency.get().is_fresh(bound, clock::now()))
    }

    /// Counts a new request to a service, which earns it a part of a retry.
    pub fn count_request(&self, service: &Arc<str>) {
        self.window(service, |window, now| window.on_request(now));
    }

    /// Takes a retry at a service, if the budget allows one.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let bound = self.retry_bound();
        let taken = self.window(service, |window, now| window.take(&bound, now));
        if taken {
            self.meter.retries(1);
        } else {
            self.meter.retry_budget_exhausted(1);
            emit!(self.log, Event::RetryBudgetExhausted, "service" => &**service, "routers" => self.most_routers.get());
        }
        taken
    }

    fn window<T>(&self, service: &Arc<str>, use_it: impl FnOnce(&mut Window, Instant) -> T) -> T {
        let now = clock::now();
        let mut retries = self.retries.borrow_mut();
        use_it(retries.entry(service.clone()).or_insert_with(|| Window::new(now)), now)
    }

    /// This router's share of the retries that the service allows all of them.
    fn retry_bound(&self) -> WindowLimits {
        let bounds = self.node.borrow().bounds;
        let routers = self.peers.borrow().alive(clock::now()).count() + 1;
        self.most_routers.set(self.most_routers.get().max(routers));
        let sharers = (self.most_routers.get() as f64).max(MIN_SHARERS);
        WindowLimits {
            length: bounds.retry_window,
            per_request: bounds.retry_ratio,
            extra: bounds.extra_retries / sharers,
        }
    }

    /// A draw from `0.0..1.0`.
    pub fn draw(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.0..1.0)
    }

    /// Takes in an endpoint's report and keeps what it changed for peers.
    pub fn take_report(&self, id: &str, report: &Report) {
        let is_slow = || self.fleet.borrow().get(id).is_some_and(Member::is_slow);
        let was_slow = is_slow();
        let seen = self.fleet.borrow_mut().apply_report(id, report, clock::now());
        let Some(seen) = seen else { return };
        if is_slow() && !was_slow {
            self.faults.notify_waiters();
        }
        let mut observed = self.observed.borrow_mut();
        observed.retain(|(_, earlier)| earlier.endpoint != seen.endpoint);
        observed.push((clock::now(), seen));
        self.log_observed(id, &seen, "report");
    }

    /// Logs what was seen of an endpoint, and by whom.
    pub fn log_observed(&self, id: &str, seen: &Observation, source: &str) {
        let layers = seen.layers.map(|layers| layers.to_string());
        emit!(self.log, Event::EndpointPlaced, "endpoint" => id, "source" => source, "layers" => layers, "pace" => seen.pace);
    }

    /// Leaves an endpoint out that gives no answer, and wakes those that use it.
    pub fn bury(&self, id: &str, reason: &str) {
        self.fleet.borrow_mut().mark_dead(id, clock::now());
        self.faults.notify_waiters();
        emit!(self.log, Event::EndpointDoubted, "endpoint" => id, "reason" => reason, "dead" => true);
    }

    /// Leaves an endpoint out for a while because it failed.
    pub fn doubt(&self, id: &str, reason: &str) {
        self.fleet.borrow_mut().record_failure(id, clock::now());
        emit!(self.log, Event::EndpointDoubted, "endpoint" => id, "reason" => reason);
    }
}

/// A duration in whole milliseconds, for logs.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
