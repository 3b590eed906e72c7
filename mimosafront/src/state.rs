//! State that the tasks of a router share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosaplatform::store::{Position, Store};
use mimosashift::admit::rank::Ladder;
use mimosashift::connection_pool::{self, Pool};
use mimosashift::deployment::{Deployment, Endpoint, Node};
use mimosashift::drain;
use mimosashift::emit;
use mimosashift::event::{Event, Logger};
use mimosashift::exchange::Report;
use mimosashift::fleet::{Fleet, Member, Observation, Outage, name_key};
use mimosashift::freshness::Freshness;
use mimosashift::memory::Budget;
use mimosashift::meter::Meter;
use mimosashift::peer::Peers;
use mimosashift::pipeline::retry::{Window, WindowLimits};
use mimosashift::platform::Row;
use mimosashift::quarantine::{Content, Quarantine, Verdict};
use mimosashift::reach::Reach;
use mimosashift::refusals::Recent;
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::clock;
use crate::connection::closes::Closes;
use crate::connection::history::LimitHistory;
use crate::probe::ProbeResults;
use crate::reach::SharedCheck;
use crate::server::Connections;
use crate::shutdown::StopFlag;
use crate::waiting::Waiting;

/// Time limit for a call to the store: many times its usual latency.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Minimum delay before a client returns that was refused because of the limits or rests
/// of endpoints.
const MIN_LIMITED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Upper bound of that delay: a third of the usual deadline.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_millis(6_500);

/// State that the tasks of a router share.
pub struct RouterState {
    /// Settings of this router in force.
    pub node: RefCell<Rc<Node>>,
    /// Configuration in force, with its source text for peers.
    pub active_config: RefCell<Option<ActiveConfig>>,
    /// Limits on client connections, in force and earlier.
    pub limits: RefCell<LimitHistory>,
    /// Connections that this router has closed since they were last logged.
    pub closes: RefCell<Closes>,
    /// When the configuration was last confirmed.
    pub config_freshness: Cell<Freshness>,
    /// Known endpoints and their load.
    pub fleet: RefCell<Fleet>,
    /// Other routers, as known by gossip.
    pub peers: RefCell<Peers>,
    /// Whether endpoints of each service are reached.
    pub reach: RefCell<Reach>,
    /// Recent checks of the paths to services.
    pub reach_checks: RefCell<HashMap<Arc<str>, SharedCheck>>,
    /// Requests relayed to each router that have not ended.
    pub relayed: RefCell<HashMap<Arc<str>, usize>>,
    /// Contents of requests that crash endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// Requests that were lately taken for not run.
    pub refusals: RefCell<Recent>,
    /// Recent liveness probes, by endpoint.
    pub probe_results: RefCell<ProbeResults>,
    /// Requests that wait for engine memory, and recent admissions and refusals.
    pub waiting: Waiting,
    /// Gives each request the terms of its rank.
    pub ladder: RefCell<Ladder>,
    /// Wakes every request when an endpoint is found dead or slow.
    pub faults: Notify,
    /// Memory for what is buffered for others.
    pub budget: Budget,
    /// Connections to endpoints and the store.
    pub pool: Rc<Pool>,
    /// The store.
    pub store: Store,
    /// Triggers an early read of the configuration.
    pub config_refresh: Notify,
    /// Wakes requests that wait for the configuration to be confirmed.
    pub config_confirmed: Notify,
    /// When a call to the store last succeeded or ended in a conflict.
    pub last_store_answer: Cell<Option<Instant>>,
    /// Whether the last call to the store neither succeeded nor ended in a
    /// conflict.
    pub store_lost: Cell<bool>,
    /// The directory as last read; `None` before the first read.
    pub directory: RefCell<Option<DirectoryRead>>,
    /// Wakes requests that wait for a read of the directory.
    pub directory_read: Notify,
    /// Triggers an early read of the directory.
    pub directory_refresh: Notify,
    /// When a request last triggered one.
    pub last_directory_recheck: Cell<Option<Instant>>,
    /// Recent changes found in reports, to be included in digests.
    pub observed: RefCell<Vec<(Instant, Observation)>>,
    /// Whether this router holds the placement lease.
    pub holds_placement_lease: Cell<bool>,
    /// Whether SIGTERM has arrived.
    pub stopping: StopFlag,
    /// Whether this router is stopping and the load balancer has turned away from it.
    pub is_balanced_away: Cell<bool>,
    /// When requests that have not ended are cut off, once SIGTERM has arrived.
    pub stop_deadline: Cell<Option<Instant>>,
    /// Wakes the requests that have not ended by then.
    pub stop_deadline_passed: Notify,
    /// Response time of recent requests that were answered whole, by route.
    pub route_latency: RefCell<HashMap<Arc<str>, drain::Latency>>,
    /// Time per token of recent streams, by service.
    pub stream_pace: RefCell<HashMap<Arc<str>, drain::Pace>>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Open connections of clients and of other routers.
    pub connections: Connections,
    /// Incarnation number of this process; increases with each start.
    pub incarnation: u64,
    /// When this process started.
    started: Instant,
    /// Event logger.
    pub log: Logger,
    /// Metrics registry.
    pub meter: Meter,
    /// Random numbers of this router.
    pub rng: RefCell<Pcg64Mcg>,
    retry_windows: RefCell<HashMap<Arc<str>, Window>>,
    /// Largest number of routers that were alive at the same time: retries
    /// spent by a router that has died still count.
    peak_routers: Cell<usize>,
}

/// A configuration in force.
#[derive(Clone)]
pub struct ActiveConfig {
    /// Parsed configuration.
    pub deployment: Rc<Deployment>,
    /// Source text, served to peers.
    pub text: Rc<str>,
}

/// The endpoint directory as last read from the store or taken from a peer.
pub struct DirectoryRead {
    /// State of the store that it reflects, or an earlier one with equal entries.
    pub position: Position,
    /// When it was read, by this router or by a peer whose entries are equal.
    pub read_at: Instant,
    /// Its rows, for peers.
    pub rows: Rc<[Row]>,
    /// The endpoints that its readable rows list.
    pub entries: Rc<[Endpoint]>,
    /// Hash of the entries.
    pub fingerprint: u64,
    /// The outage of the store in which rows may have lapsed, if endpoints without one are
    /// kept.
    pub outage: Option<Outage>,
}

impl RouterState {
    /// Creates the initial state.
    pub fn new(node: Node, stopping: StopFlag, log: Logger, meter: Meter) -> Rc<Self> {
        let budget = Budget::new(node.buffer_bytes());
        let pool = Pool::new(connection_pool::Settings::default(), budget.clone());
        let store = Store::new(pool.clone(), node.store.address, STORE_TIMEOUT);
        let now = clock::now();
        let own_address = node.peer_address();
        let seeds = seed_addresses(&node);
        let incarnation = clock::unix_micros();
        Rc::new(Self {
            peers: RefCell::new(Peers::new(own_address, node.zone.clone(), &seeds, now)),
            node: RefCell::new(Rc::new(node)),
            active_config: RefCell::default(),
            limits: RefCell::default(),
            closes: RefCell::default(),
            config_freshness: Cell::default(),
            fleet: RefCell::default(),
            reach: RefCell::default(),
            reach_checks: RefCell::default(),
            relayed: RefCell::default(),
            quarantine: RefCell::default(),
            refusals: RefCell::default(),
            probe_results: RefCell::default(),
            waiting: Waiting::default(),
            ladder: RefCell::default(),
            faults: Notify::new(),
            budget,
            pool,
            store,
            config_refresh: Notify::new(),
            config_confirmed: Notify::new(),
            last_store_answer: Cell::default(),
            store_lost: Cell::default(),
            directory: RefCell::default(),
            directory_read: Notify::new(),
            directory_refresh: Notify::new(),
            last_directory_recheck: Cell::default(),
            observed: RefCell::default(),
            holds_placement_lease: Cell::default(),
            stopping,
            is_balanced_away: Cell::default(),
            stop_deadline: Cell::default(),
            stop_deadline_passed: Notify::new(),
            route_latency: RefCell::default(),
            stream_pace: RefCell::default(),
            in_flight: Cell::default(),
            connections: Connections::default(),
            incarnation,
            started: now,
            log,
            meter,
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(incarnation)),
            retry_windows: RefCell::default(),
            peak_routers: Cell::new(1),
        })
    }

    /// Settings in force.
    pub fn node(&self) -> Rc<Node> {
        self.node.borrow().clone()
    }

    /// Puts changed settings in force.
    pub fn apply_settings(&self, node: Node) {
        self.store.set_address(node.store.address);
        self.budget.set_limit(node.buffer_bytes());
        self.peers.borrow_mut().add_addresses(&seed_addresses(&node), clock::now());
        *self.node.borrow_mut() = Rc::new(node);
    }

    /// The configuration in force.
    pub fn deployment(&self) -> Option<Rc<Deployment>> {
        self.active_config.borrow().as_ref().map(|active| active.deployment.clone())
    }

    /// Revision in force; 0 before the first configuration.
    pub fn revision(&self) -> u64 {
        self.active_config.borrow().as_ref().map_or(0, |active| active.deployment.revision)
    }

    /// Installs a configuration if it is newer than the one in force.
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
        self.limits.borrow_mut().replace(deployment.limits, clock::now());
        self.ladder.borrow_mut().retain(|service| deployment.service(service).is_some());
        let active = ActiveConfig { deployment: Rc::new(deployment), text: text.into() };
        *self.active_config.borrow_mut() = Some(active);
    }

    /// Records that the installed configuration was the newest at `started`.
    pub fn confirm(&self, started: Instant) {
        let mut freshness = self.config_freshness.get();
        freshness.confirm(started);
        self.config_freshness.set(freshness);
        self.config_confirmed.notify_waiters();
    }

    /// Whether a peer may echo this time as that of a digest of this process. The clock of an
    /// earlier boot showed other times, which say nothing of the age of what a peer tells.
    pub fn may_have_sent(&self, at: Instant, now: Instant) -> bool {
        (self.started..=now).contains(&at)
    }

    /// Age of the last confirmation, in milliseconds, for logs.
    pub fn config_age_ms(&self) -> Option<u64> {
        self.config_freshness.get().age(clock::now()).map(millis)
    }

    /// Age of the directory, in milliseconds, for logs.
    pub fn directory_age_ms(&self) -> Option<u64> {
        self.directory_read_at().map(|read_at| millis(clock::now().since(read_at)))
    }

    /// When the directory was last read, by this router or for it.
    pub fn directory_read_at(&self) -> Option<Instant> {
        self.directory.borrow().as_ref().map(|directory| directory.read_at)
    }

    /// Whether the configuration is recent enough to accept client keys, which
    /// may have been revoked since.
    pub fn keys_are_current(&self) -> bool {
        let bound = self.node.borrow().bounds.revocation;
        bound.is_none_or(|bound| self.config_freshness.get().is_fresh(bound, clock::now()))
    }

    /// Counts a new request to a service, which adds to its retry budget.
    pub fn count_request(&self, service: &Arc<str>) {
        self.with_retry_window(service, |window, now| window.on_request(now));
    }

    /// Takes a retry from the budget of a service, if one is left.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let bound = self.retry_bound();
        let taken = self.with_retry_window(service, |window, now| window.take(&bound, now));
        if taken {
            self.meter.retries(1);
        } else {
            self.meter.retry_budget_exhausted(1);
            emit!(self.log, Event::RetryBudgetExhausted, "service" => &**service, "routers" => self.peak_routers.get());
        }
        taken
    }

    /// Whether a retry is left in the budget of a service.
    pub fn has_retry(&self, service: &Arc<str>) -> bool {
        let bound = self.retry_bound();
        self.with_retry_window(service, |window, now| window.allows(&bound, now))
    }

    fn with_retry_window<T>(
        &self,
        service: &Arc<str>,
        update: impl FnOnce(&mut Window, Instant) -> T,
    ) -> T {
        let now = clock::now();
        let mut windows = self.retry_windows.borrow_mut();
        update(windows.entry(service.clone()).or_insert_with(|| Window::new(now)), now)
    }

    /// This router's share of the retry budget, which applies to all routers
    /// together.
    fn retry_bound(&self) -> WindowLimits {
        let bounds = self.node.borrow().bounds;
        let routers = self.peers.borrow().alive(clock::now()).count() + 1;
        self.peak_routers.set(self.peak_routers.get().max(routers));
        let all = WindowLimits {
            length: bounds.retry_window,
            per_request: bounds.retry_ratio,
            extra: bounds.extra_retries,
        };
        all.share(self.peak_routers.get(), clock::now().since(self.started))
    }

    /// Whether a request with these contents may be sent.
    pub fn admit_contents(&self, contents: &[Content]) -> Verdict {
        let now = clock::now();
        let rank = |content| self.trial_rank(content, now);
        self.quarantine.borrow_mut().admit(contents, rank, now)
    }

    /// Number of live routers that try a blocked content before this one; rendezvous
    /// hashing orders them differently for each content.
    fn trial_rank(&self, content: Content, now: Instant) -> usize {
        let key = |node: &str| name_key(&format!("{content} {node}"));
        let own = key(&self.node().name);
        self.peers.borrow().alive(now).filter(|peer| key(&peer.digest.node) > own).count()
    }

    /// Changes what is known of contents, and logs which are blocked since, or no
    /// longer. `source` is a router, a request or the passing of time.
    pub fn update_quarantine(&self, source: &str, update: impl FnOnce(&mut Quarantine)) {
        let blocked = || self.quarantine.borrow().blocked().collect::<Vec<_>>();
        let before = blocked();
        update(&mut self.quarantine.borrow_mut());
        let after = blocked();
        let is_new = |list: &[(Content, usize)], content| list.iter().all(|(c, _)| *c != content);
        for (content, crashes) in after.iter().filter(|(content, _)| is_new(&before, *content)) {
            emit!(self.log, Event::ContentBlocked, "content" => content.to_string(), "crashes" => *crashes, "source" => source);
        }
        for (content, _) in before.iter().filter(|(content, _)| is_new(&after, *content)) {
            emit!(self.log, Event::ContentUnblocked, "content" => content.to_string(), "source" => source);
        }
    }

    /// Records a request that is refused because of the limits of a service's endpoints;
    /// returns when its client may come back. `None` if no endpoint has reached its limit.
    pub fn record_limited(&self, service: &str) -> Option<Duration> {
        let (now, random) = (clock::now(), self.random_fraction());
        let wait = self.fleet.borrow().time_to_credit(service, now)?;
        self.fleet.borrow_mut().record_limited(service, now);
        Some(spread_returns(wait, random))
    }

    /// When the client of a request may come back that is refused because endpoints of a
    /// service rest; `None` if none does.
    pub fn time_to_end_of_rest(&self, service: &str) -> Option<Duration> {
        let wait = self.fleet.borrow().time_to_end_of_rest(service, clock::now())?;
        Some(spread_returns(wait, self.random_fraction()))
    }

    /// A random number in `0.0..1.0`.
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random_range(0.0..1.0)
    }

    /// Applies a report from an endpoint and keeps what it changed, for peers.
    pub fn apply_report(&self, id: &str, report: &Report) {
        let is_slow = || self.fleet.borrow().get(id).is_some_and(Member::is_slow);
        let was_slow = is_slow();
        let known = self.fleet.borrow_mut().record_reported_usage(id, report, clock::now());
        if let Some(known) = known {
            let peers = self.peers.borrow().alive(clock::now()).count();
            emit!(self.log, Event::EndpointUsageUntracked, "endpoint" => id, "reported" => report.kv_used.round() as u64, "known" => known.round() as u64, "peers" => peers);
        }
        self.check_running(id, report);
        let change = self.fleet.borrow_mut().apply_report(id, report, clock::now());
        let Some(change) = change else { return };
        if is_slow() && !was_slow {
            self.faults.notify_waiters();
        }
        let mut observed = self.observed.borrow_mut();
        observed.retain(|(_, earlier)| earlier.endpoint != change.endpoint);
        observed.push((clock::now(), change));
        self.log_observed(id, &change, "report");
    }

    /// Logs an observation of an endpoint and its source.
    pub fn log_observed(&self, id: &str, change: &Observation, source: &str) {
        let layers = change.layers.map(|layers| layers.to_string());
        emit!(self.log, Event::EndpointLayersChanged, "endpoint" => id, "source" => source, "layers" => layers, "pace" => change.pace);
    }

    /// Marks an endpoint that does not answer as dead, and wakes the requests
    /// that use it.
    pub fn mark_dead(&self, id: &str, reason: &str) {
        self.fleet.borrow_mut().mark_dead(id, clock::now());
        self.doubt_path(id);
        self.faults.notify_waiters();
        emit!(self.log, Event::EndpointSuspect, "endpoint" => id, "reason" => reason, "dead" => true);
    }

    /// Excludes an endpoint for a while after a failure.
    pub fn mark_suspect(&self, id: &str, reason: &str) {
        self.fleet.borrow_mut().record_failure(id, clock::now());
        self.doubt_path(id);
        emit!(self.log, Event::EndpointSuspect, "endpoint" => id, "reason" => reason);
    }

    /// Records that the path to an endpoint may be lost, and with it those to the others of
    /// its service.
    fn doubt_path(&self, id: &str) {
        let fleet = self.fleet.borrow();
        let Some(endpoint) = fleet.get(id).map(|member| &member.endpoint) else { return };
        let known = fleet.ready_count(&endpoint.service);
        let mut reach = self.reach.borrow_mut();
        reach.record_failure(&endpoint.service, &endpoint.id, known, clock::now());
    }

    /// Records an answer of an endpoint, which shows that open connections work.
    pub fn record_endpoint_answer(&self, id: &str) {
        if self.reach.borrow().lost().next().is_none() {
            return;
        }
        let fleet = self.fleet.borrow();
        if let Some(member) = fleet.get(id) {
            self.reach.borrow_mut().record_answer(&member.endpoint.service, clock::now());
        }
    }
}

/// Addresses at which the routers named in the settings listen for others.
fn seed_addresses(node: &Node) -> Vec<SocketAddr> {
    let port = node.peer_address().port();
    node.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Spreads clients that return after `wait` over a time in which endpoints take more
/// requests.
fn spread_returns(wait: Duration, random: f64) -> Duration {
    let wait = wait.max(MIN_LIMITED_RETRY_AFTER).mul_f64(1.0 + random);
    wait.min(MAX_LIMITED_RETRY_AFTER)
}

/// A duration in whole milliseconds, for logs.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
