//! Simulated router: the library's routing, health and admission code with its
//! own state.

use std::collections::HashMap;
use std::time::Duration;

use mimosashift::admit::{self, Admission, Bounds, Ticket};
use mimosashift::engine::{Failure, RequestId, Step};
use mimosashift::health::{self, Availability, Exchange, HealthView, Registry};
use mimosashift::pipeline::recovery::Cost;
use mimosashift::pipeline::retry::{Budget, BudgetSettings};
use mimosashift::pipeline::{Context, Replacement, Request, Scope};
use mimosashift::resource::{Name, Team};
use mimosashift::route::affinity::{self, Affinity};
use mimosashift::route::{Chain, Choice, Refusal, RouteRequest, Settings, Sources, Stage, Table};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::fleet::{self, Fleet, ROUTERS, VERSION};

/// Number of teams; requests are assigned to them in rotation.
const TEAMS: usize = 10;
/// Admission bounds, equal to the defaults of a node.
const BOUNDS: Bounds =
    Bounds { queued: 512, queued_bytes: 8 << 20, start_slots: 64, max_slots: 512 };

/// Prefix affinity settings; simulated requests carry no prefixes.
const AFFINITY: affinity::Settings =
    affinity::Settings { max_prefixes: 16, expiry: Duration::from_secs(300) };

/// One router.
pub struct Router {
    /// Whether the VM is up.
    pub up: bool,
    /// Health state of the endpoints.
    pub health: Registry,
    /// Admission controller.
    pub admission: Admission,
    /// Requests that await an admission decision.
    pub waiting: HashMap<Ticket, usize>,
    table: Table,
    affinity: Affinity,
    budget: Budget,
    team: Team,
    teams: Vec<Name>,
    polls: u64,
    /// Time at which health reports were last shared.
    pub shared: Instant,
    rng: Pcg64Mcg,
}

/// Endpoints at which the router counts a request as in flight.
#[derive(Debug)]
pub struct ActiveChain {
    /// The chain in use.
    pub chain: Chain,
    counted: Vec<(Name, Instant)>,
}

impl Router {
    /// Creates a router with the configuration of `fleet` installed.
    pub fn new(fleet: &Fleet, number: usize, rng: &mut Pcg64Mcg) -> Self {
        let distances = fleet::distances(number);
        let mut health = Registry::new(health::Settings::default());
        health.install(&fleet.snapshot, &distances);
        health.set_routers(ROUTERS as u32);
        Self {
            up: true,
            health,
            admission: Admission::new(BOUNDS),
            waiting: HashMap::new(),
            table: Table::new(&fleet.snapshot, &distances, Settings::default()),
            affinity: Affinity::new(AFFINITY),
            budget: Budget::new(BudgetSettings::default(), Instant::ZERO),
            team: team(),
            teams: (0..TEAMS).map(|team| fleet::name(&format!("team-{team}"))).collect(),
            polls: 0,
            shared: Instant::ZERO,
            rng: Pcg64Mcg::seed_from_u64(rng.random()),
        }
    }

    /// Submits a request, which waits until an admission decision names its ticket.
    pub fn submit(
        &mut self,
        fleet: &Fleet,
        call: usize,
        request: &Request,
        now: Instant,
        out: &mut Vec<admit::Action>,
    ) -> Result<Ticket, Refusal> {
        let service = self.choose(fleet, request, &[], &[], now)?.estimate;
        let admission_request = admit::Request {
            name: &self.teams[call % TEAMS],
            team: &self.team,
            level: request.priority,
            cost: request.prompt.len() as u32 + request.max_tokens,
            bytes: request.prompt.len() * size_of::<u32>(),
            deadline: request.deadline,
            service,
        };
        let ticket = self.admission.submit(now, &admission_request, out);
        self.waiting.insert(ticket, call);
        Ok(ticket)
    }

    /// Chooses the chain of a request and counts it as in flight there.
    pub fn begin(
        &mut self,
        fleet: &Fleet,
        request: &Request,
        now: Instant,
    ) -> Result<ActiveChain, Refusal> {
        let chain = self.choose(fleet, request, &[], &[], now)?.chain;
        let mut active = ActiveChain { chain: chain.clone(), counted: Vec::new() };
        self.switch_to(&mut active, chain, now);
        Ok(active)
    }

    /// Context for calls to the state machine of a request.
    pub fn context(&mut self, now: Instant) -> Context<'_> {
        Context { now, rng: &mut self.rng, budget: &mut self.budget }
    }

    /// Chooses a chain without the endpoints in `avoid`, keeping the other stages if
    /// possible.
    pub fn replace(
        &mut self,
        fleet: &Fleet,
        request: &Request,
        active: &mut ActiveChain,
        avoid: &[Name],
        scope: Scope,
        now: Instant,
    ) -> Option<Replacement> {
        let old = active.chain.clone();
        let kept: SmallVec<[Stage; 8]> = match scope {
            Scope::Whole => SmallVec::new(),
            Scope::Range(lost) => {
                let stays = |s: &&Stage| s.layers != lost && !avoid.contains(&s.endpoint);
                old.stages().iter().filter(stays).cloned().collect()
            }
        };
        let chain = self
            .choose(fleet, request, avoid, &kept, now)
            .or_else(|_| self.choose(fleet, request, avoid, &[], now))
            .ok()?
            .chain;
        let health = &self.health;
        let readable =
            |name: &Name| health.condition(name, now).availability != Availability::Unreachable;
        let names = old.stages().iter().map(|stage| stage.endpoint.clone());
        let holders = names.filter(readable).collect();
        self.switch_to(active, chain.clone(), now);
        let cost = cost(fleet, &chain);
        Some(Replacement { chain, holders, cost })
    }

    /// Stops counting a request as in flight.
    pub fn end(&mut self, active: &ActiveChain) {
        for (name, since) in &active.counted {
            self.health.end(name, *since);
        }
    }

    /// Records an answered step.
    pub fn succeed(&mut self, endpoint: &Name, step: &Sent, bytes: u64, now: Instant) {
        let exchange = Exchange {
            layers: step.layers,
            tokens: step.tokens,
            bytes,
            total: now.since(step.at),
            service: None,
        };
        self.health.record_success(endpoint, &exchange, now);
    }

    /// Records a failed step.
    pub fn fail(&mut self, endpoint: &Name, failure: &Failure, sent: Instant, now: Instant) {
        self.health.record_failure(endpoint, failure, sent, now, &mut self.rng);
    }

    /// Records a load report polled by this router.
    pub fn poll(&mut self, endpoint: &Name, load: &mimosashift::engine::Load, now: Instant) {
        self.polls += 1;
        self.health.record_poll(endpoint, 1, load, self.polls, now);
    }

    /// Ejects slow endpoints and drops the state of idle teams.
    pub fn sweep(&mut self, now: Instant) {
        self.admission.report(now, 0);
        self.health.eject_outliers(now, &mut self.rng);
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        request: &Request,
        avoid: &[Name],
        kept: &[Stage],
        now: Instant,
    ) -> Result<Choice, Refusal> {
        let route_request = RouteRequest {
            pipeline: &fleet.pipeline,
            version: VERSION,
            prompt_tokens: request.prompt.len() as u32,
            output_tokens: request.max_tokens,
            adapter: None,
            prefixes: &[],
            avoid,
            avoid_domains: &[],
            kept,
        };
        let sources = Sources { health: &self.health, affinity: &self.affinity };
        self.table.choose(&route_request, &sources, now, &mut self.rng)
    }

    /// Counts the request at the endpoints of `chain` and stops counting it at
    /// endpoints no longer used.
    fn switch_to(&mut self, active: &mut ActiveChain, chain: Chain, now: Instant) {
        let uses = |name: &Name| chain.stages().iter().any(|stage| stage.endpoint == *name);
        let mut kept = Vec::new();
        for (name, since) in active.counted.drain(..) {
            if uses(&name) {
                kept.push((name, since));
            } else {
                self.health.end(&name, since);
            }
        }
        for stage in chain.stages() {
            if !kept.iter().any(|(name, _)| *name == stage.endpoint) {
                self.health.begin(&stage.endpoint, now);
                kept.push((stage.endpoint.clone(), now));
            }
        }
        active.counted = kept;
        active.chain = chain;
    }
}

/// Send time and size of a step in flight.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Send time.
    pub at: Instant,
    layers: u16,
    tokens: u32,
}

impl Sent {
    /// Records that `step` was sent at `at`.
    pub const fn new(step: &Step, at: Instant) -> Self {
        Self { at, layers: step.label.layers.count(), tokens: step.label.count }
    }
}

/// Request id derived from the request's index.
pub const fn request_id(call: usize) -> RequestId {
    RequestId(call as u128)
}

/// Recovery cost on a chain.
pub fn cost(fleet: &Fleet, chain: &Chain) -> Cost {
    let pipeline = fleet.snapshot.pipeline(&fleet.pipeline).expect("the fleet has a pipeline");
    let engine = |stage: &Stage| fleet.engine(fleet::number(&stage.endpoint));
    Cost::new(pipeline, chain.stages().iter().map(|stage| (engine(stage), stage.layers)))
}

fn team() -> Team {
    Team {
        priority: fleet::name("usual"),
        token_digests: Vec::new(),
        operator: false,
        weight: 1,
        requests_per_second: 0,
        tokens_per_second: 0,
    }
}
