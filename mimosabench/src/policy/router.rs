//! The decision code of one router, each with its own state.

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

/// Teams that take turns to send.
const TEAMS: usize = 10;
/// Bounds of a router's admission, as a node has them by default.
const BOUNDS: Bounds =
    Bounds { queued: 512, queued_bytes: 8 << 20, start_slots: 64, max_slots: 512 };

/// Size of the table of cached prefixes, which no request names here.
const AFFINITY: affinity::Settings =
    affinity::Settings { max_prefixes: 16, expiry: Duration::from_secs(300) };

/// One router.
pub struct Router {
    /// Whether its VM is up.
    pub up: bool,
    /// What it knows about endpoints.
    pub health: Registry,
    /// Which requests run.
    pub admission: Admission,
    /// Requests that wait for their verdict.
    pub waiting: HashMap<Ticket, usize>,
    table: Table,
    affinity: Affinity,
    budget: Budget,
    team: Team,
    teams: Vec<Name>,
    polls: u64,
    /// When it last shared its reports.
    pub shared: Instant,
    rng: Pcg64Mcg,
}

/// The endpoints that work for a request, as its router counts them.
#[derive(Debug)]
pub struct Held {
    /// The chain in use.
    pub chain: Chain,
    begun: Vec<(Name, Instant)>,
}

impl Router {
    /// A router that has just installed the fleet's configuration.
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

    /// Submits a request; it waits until a verdict names its ticket.
    pub fn submit(
        &mut self,
        fleet: &Fleet,
        call: usize,
        request: &Request,
        now: Instant,
        out: &mut Vec<admit::Action>,
    ) -> Result<Ticket, Refusal> {
        let service = self.choose(fleet, request, &[], &[], now)?.estimate;
        let asked = admit::Request {
            name: &self.teams[call % TEAMS],
            team: &self.team,
            level: request.priority,
            cost: request.prompt.len() as u32 + request.max_tokens,
            bytes: request.prompt.len() * size_of::<u32>(),
            deadline: request.deadline,
            service,
        };
        let ticket = self.admission.submit(now, &asked, out);
        self.waiting.insert(ticket, call);
        Ok(ticket)
    }

    /// Chooses the chain of a request and counts its work.
    pub fn begin(
        &mut self,
        fleet: &Fleet,
        request: &Request,
        now: Instant,
    ) -> Result<Held, Refusal> {
        let chain = self.choose(fleet, request, &[], &[], now)?.chain;
        let mut held = Held { chain: chain.clone(), begun: Vec::new() };
        self.follow(&mut held, chain, now);
        Ok(held)
    }

    /// What an input of a request's machine needs.
    pub fn context(&mut self, now: Instant) -> Context<'_> {
        Context { now, rng: &mut self.rng, budget: &mut self.budget }
    }

    /// Chooses a chain without the avoided endpoints, keeping what it can.
    pub fn replace(
        &mut self,
        fleet: &Fleet,
        request: &Request,
        held: &mut Held,
        avoid: &[Name],
        scope: Scope,
        now: Instant,
    ) -> Option<Replacement> {
        let old = held.chain.clone();
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
        self.follow(held, chain.clone(), now);
        let cost = cost(fleet, &chain);
        Some(Replacement { chain, holders, cost })
    }

    /// Counts the end of a request's work.
    pub fn end(&mut self, held: &Held) {
        for (name, since) in &held.begun {
            self.health.end(name, *since);
        }
    }

    /// Notes an answered step.
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

    /// Notes a step without an answer.
    pub fn fail(&mut self, endpoint: &Name, failure: &Failure, sent: Instant, now: Instant) {
        self.health.record_failure(endpoint, failure, sent, now, &mut self.rng);
    }

    /// Takes in a load report that this router asked for.
    pub fn poll(&mut self, endpoint: &Name, load: &mimosashift::engine::Load, now: Instant) {
        self.polls += 1;
        self.health.record_poll(endpoint, 1, load, self.polls, now);
    }

    /// Ejects slow endpoints and forgets idle teams.
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
        let ask = RouteRequest {
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
        self.table.choose(&ask, &sources, now, &mut self.rng)
    }

    /// Counts work at the endpoints of a chain, and no longer at those left.
    fn follow(&mut self, held: &mut Held, chain: Chain, now: Instant) {
        let uses = |name: &Name| chain.stages().iter().any(|stage| stage.endpoint == *name);
        let mut kept = Vec::new();
        for (name, since) in held.begun.drain(..) {
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
        held.begun = kept;
        held.chain = chain;
    }
}

/// What a router remembers of a step in flight.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: Instant,
    layers: u16,
    tokens: u32,
}

impl Sent {
    /// A step sent at `at`.
    pub const fn new(step: &Step, at: Instant) -> Self {
        Self { at, layers: step.label.layers.count(), tokens: step.label.count }
    }
}

/// The identity of the request with a number.
pub const fn request_id(call: usize) -> RequestId {
    RequestId(call as u128)
}

/// What recovery costs on a chain.
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
