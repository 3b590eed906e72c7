//! One router process: the I/O shell around the decision logic.
//!
//! The shell owns clocks, threads, sockets and locks. Locks are taken in the
//! order given at [`Node`] and are never held during a call to another process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam::channel::{self, Receiver, Sender};
use hyper::StatusCode;

use crate::admit::Bounds;
use crate::config::State;
use crate::emit;
use crate::engine;
use crate::event::{Event, Logger};
use crate::health::{self, Registry};
use crate::http::client::{self, Client};
use crate::http::problem::Problem;
use crate::http::{self, Handler, Server};
use crate::meter::Meter;
use crate::pipeline::retry::{Budget, BudgetSettings};
use crate::platform::budget::Class;
use crate::route::affinity::{self, Affinity};

mod auth;
mod callers;
mod clock;
mod cluster;
mod drain;
mod gate;
mod installed;
mod operators;
mod outcome;
mod platform;
mod postings;
mod probes;
mod relay;
mod services;
mod settings;
mod sink;
mod upkeep;

pub use drain::DrainHandle;
pub use settings::{Error, Settings};

use clock::Clock;
use cluster::Cluster;
use gate::Gate;
use installed::Installed;
use platform::Guard;
use postings::Postings;
use relay::Cancel;

/// Maximum number of concurrent operator requests, watches included.
const MAX_OPERATOR_REQUESTS: usize = 64;

/// Initial concurrency limit; admission adapts it to the endpoints' load.
const INITIAL_SLOTS: usize = 64;

/// Maximum number of cancellations queued while engines are slow.
const MAX_QUEUED_CANCELS: usize = 4_096;

/// Threads that send cancellations to engines.
const CANCEL_THREADS: usize = 2;

/// Limits on the record of engines' prefix caches; it takes a few MB.
const AFFINITY: affinity::Settings =
    affinity::Settings { max_prefixes: 16_384, expiry: Duration::from_secs(300) };

/// The shared state of a router.
///
/// Lock order: `cluster`, `gate`, `health`, `affinity`, `budget`. `installed` is read without a
/// lock; a request uses the same configuration from admission to its end.
pub struct Node {
    settings: Settings,
    log: Logger,
    clock: Clock,
    meter: Meter,
    drain: drain::Drain,
    client: Arc<Client>,
    engines: engine::http::Adapter,
    cancels: Sender<Cancel>,
    platform: Guard,
    postings: Postings,
    installed: ArcSwap<Installed>,
    cluster: Cluster,
    gate: Gate,
    health: Mutex<Registry>,
    affinity: Mutex<Affinity>,
    budget: Mutex<Budget>,
}

/// A running router.
pub struct RunningNode {
    node: Arc<Node>,
    callers: Server,
    operators: Server,
}

impl RunningNode {
    /// Starts a router.
    pub fn start(settings: Settings, log: Logger) -> Result<Self, Error> {
        let (cancels, cancel_receiver) = channel::bounded(MAX_QUEUED_CANCELS);
        let (node, receivers) = Node::new(settings, log, cancels)?;
        let node = Arc::new(node);
        emit!(node.log, Event::NodeStarted,
            "node" => node.settings.node.name.as_str(),
            "domain" => node.settings.node.domain.as_str());
        for _ in 0..CANCEL_THREADS {
            let (engines, cancel_receiver) = (node.engines.clone(), cancel_receiver.clone());
            thread::Builder::new()
                .name("cancel".to_owned())
                .spawn(move || send_cancels(&engines, &cancel_receiver))?;
        }
        upkeep::start(&node)?;
        node.start_cluster(receivers)?;
        probes::start(&node)?;
        postings::start_background_tasks(&node)?;
        let callers = node.listen("callers", Arc::new(callers::Api(Arc::clone(&node))))?;
        let operators =
            node.listen("operators", Arc::new(operators::Api::new(Arc::clone(&node))))?;
        Ok(Self { node, callers, operators })
    }

    /// Address of the caller API.
    pub const fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the operator API.
    pub const fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// The shared state.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// A handle that requests a graceful shutdown.
    pub fn drain_handle(&self) -> DrainHandle {
        self.node.drain.handle()
    }

    /// Serves until a graceful shutdown has been requested and is complete;
    /// returns how many requests were cut off.
    pub fn wait(self) -> usize {
        let Self { node, callers, operators } = self;
        node.drain.handle().wait();
        emit!(node.log, Event::NodeDraining, "pending" => callers.pending());
        let end = Instant::now() + node.settings.node.drain;
        node.drain.wait_until_quiet(end.saturating_duration_since(Instant::now()));
        node.cluster.leave();
        node.tick_cluster();
        let cut_off = callers.shutdown(end.saturating_duration_since(Instant::now()));
        let unsettled = node.postings.settle(end.saturating_duration_since(Instant::now()));
        if unsettled > 0 {
            emit!(node.log, Event::PostingUnknown, "unsettled" => unsettled);
        }
        operators.shutdown(Duration::ZERO);
        if cut_off > 0 {
            emit!(node.log, Event::NodeCutOff, "cut_off" => cut_off);
        }
        cut_off
    }
}

impl Node {
    fn new(
        mut settings: Settings,
        log: Logger,
        cancels: Sender<Cancel>,
    ) -> Result<(Self, cluster::Receivers), Error> {
        let clock = Clock::new();
        let platform = Guard::new(Arc::clone(&settings.table), clock, log.clone());
        settings.table = Arc::new(platform.with_class(Class::Config));
        let postings = Postings::start(&platform.with_class(Class::Posting), clock, &log)?;
        let (cluster, receivers) = Cluster::new(&settings, clock.now());
        let client = Arc::new(Client::new(client::Settings::default()));
        let cross_domain_latency = settings.peer.cross_domain_latency;
        let installed = Installed::new(State::default(), settings.domain(), cross_domain_latency);
        let node = Self {
            log,
            clock,
            meter: Meter::new()?,
            drain: drain::Drain::default(),
            engines: engine::http::Adapter::new(Arc::clone(&client)),
            client,
            cancels,
            platform,
            postings,
            installed: ArcSwap::from_pointee(installed),
            cluster,
            gate: Gate::new(admission_bounds(&settings), clock),
            health: Mutex::new(Registry::new(health::Settings::default())),
            affinity: Mutex::new(Affinity::new(AFFINITY)),
            budget: Mutex::new(Budget::new(BudgetSettings::default(), clock.now())),
            settings,
        };
        Ok((node, receivers))
    }

    /// The configuration installed here.
    fn installed(&self) -> Arc<Installed> {
        self.installed.load_full()
    }

    /// Reason why the router accepts no new work; `None` if it does.
    fn not_ready(&self) -> Option<Problem> {
        let detail = if self.drain.is_requested() {
            "the router is shutting down".to_owned()
        } else {
            self.cluster.reason(self.clock.now())?.to_string()
        };
        Some(Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", detail))
    }

    /// The problem to respond with until a first configuration is installed.
    fn config_missing(&self) -> Option<Problem> {
        let empty = self.installed.load().state().version().revision == 0;
        if empty { self.not_ready() } else { None }
    }

    /// Installs a configuration, unless the same or a later revision is installed.
    fn install(&self, state: State) {
        let cross_domain_latency = self.settings.peer.cross_domain_latency;
        let mut health = self.lock_health();
        let revision = state.version().revision;
        if revision <= self.installed.load().state().version().revision {
            return;
        }
        let installed = Installed::new(state, self.settings.domain(), cross_domain_latency);
        health.install(installed.snapshot(), installed.distances());
        self.installed.store(Arc::new(installed));
        drop(health);
        self.meter.config_revision(revision);
        emit!(self.log, Event::ConfigInstalled, "revision" => revision);
    }

    fn lock_health(&self) -> MutexGuard<'_, Registry> {
        self.health.lock().expect("no holder of this lock panics")
    }

    fn lock_affinity(&self) -> MutexGuard<'_, Affinity> {
        self.affinity.lock().expect("no holder of this lock panics")
    }

    fn lock_budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().expect("no holder of this lock panics")
    }

    fn listen(&self, surface: &'static str, handler: Arc<dyn Handler>) -> Result<Server, Error> {
        let (address, limits) = if surface == "callers" {
            (self.settings.callers, self.settings.limits)
        } else {
            let limits =
                http::Settings { max_requests: MAX_OPERATOR_REQUESTS, ..http::Settings::default() };
            (self.settings.operators, limits)
        };
        let server = Server::start(surface, address, limits, handler)
            .map_err(|error| Error::Listen { surface, address, error })?;
        let address = server.address().to_string();
        emit!(self.log, Event::HttpListening, "surface" => surface, "address" => address);
        Ok(server)
    }
}

/// Admission limits: up to half of the requests may wait while the others run.
fn admission_bounds(settings: &Settings) -> Bounds {
    let requests = settings.limits.max_requests;
    Bounds {
        queued: (requests / 2).max(1),
        queued_bytes: settings.queue_bytes,
        start_slots: INITIAL_SLOTS.min(requests),
        max_slots: requests.div_ceil(2),
    }
}

fn send_cancels(engines: &engine::http::Adapter, cancel_receiver: &Receiver<Cancel>) {
    for cancel in cancel_receiver {
        engines.cancel(cancel.endpoint, cancel.request, cancel.attempt);
    }
}
