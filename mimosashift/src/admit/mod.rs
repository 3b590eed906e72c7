//! Admission control: which requests run, in what order, and which are refused.
//!
//! [`Admission`] is a state machine without I/O. Every submitted request is
//! either refused and never dispatched, or dispatched once and released once,
//! unless it is cancelled while queued. The design is explained in
//! `docs/design/admission.md`.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::resource::{Name, Team};
use crate::time::Instant;

pub mod limit;
pub mod pressure;
pub mod queue;
pub mod rank;
pub mod share;
pub mod slots;

use limit::TeamLimits;
use queue::{Item, Queue};
use share::{DemandShares, Report, TeamId};
use slots::Slots;

/// Shortest retry delay returned to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest estimated wait in the queue and longest retry delay returned to a
/// caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Weight of the most recent request in the moving averages of tokens and of
/// service time.
const NEWEST_REQUEST_WEIGHT: f64 = 0.05;

/// Identifies a submitted request on this router, in order of submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Limits on queued and running requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of queued requests.
    pub queued: usize,
    /// Maximum total size of queued requests, in bytes.
    pub queued_bytes: usize,
    /// Initial concurrency limit.
    pub start_slots: usize,
    /// Maximum concurrency limit.
    pub max_slots: usize,
}

/// A request submitted for admission.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the team that sent the request.
    pub name: &'a Name,
    /// The team's weight and limits.
    pub team: &'a Team,
    /// Priority level; 0 is the highest.
    pub level: u8,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// Memory held while queued, in bytes.
    pub bytes: usize,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Estimated time from dispatch to the complete response.
    pub service: Duration,
}

/// Why a request was refused without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The deadline cannot be met.
    Late,
    /// The team's rate limit is exhausted.
    OverLimit,
    /// The queue was full and the other requests took precedence.
    Shed,
}

/// What the caller of the state machine must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request, then call [`Admission::release`].
    Dispatch(Ticket),
    /// Respond that the request was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Cost of a dispatched request, and whether it met an overloaded endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Actual number of tokens.
    pub tokens: u32,
    /// Whether any endpoint refused it as overloaded.
    pub overloaded: bool,
}

/// Admission control of one router.
pub struct Admission {
    bounds: Bounds,
    next_ticket: u64,
    queue: Queue,
    /// Queued requests by latest start: the last time at which a request can be
    /// dispatched and still meet its deadline.
    by_latest_start: BTreeSet<(Instant, Ticket)>,
    /// The latest start of each queued request.
    latest_starts: HashMap<Ticket, Instant>,
    running: HashMap<Ticket, Running>,
    slots: Slots,
    limits: TeamLimits,
    shares: DemandShares,
    rate: ServiceRate,
}

/// Measured rate at which one slot serves tokens.
///
/// Idle time does not count, so that requests arriving after an idle period
/// are not refused as late.
#[derive(Default)]
struct ServiceRate {
    tokens: f64,
    seconds: f64,
}

/// A dispatched request.
struct Running {
    item: Item,
    dispatched_at: Instant,
}

impl Request<'_> {
    /// The stricter of the team's limits, in tokens per second for requests of
    /// this cost; `None` if the team is unlimited.
    fn token_limit(&self) -> Option<f64> {
        let tokens = f64::from(self.team.tokens_per_second);
        let requests = f64::from(self.team.requests_per_second) * f64::from(self.cost);
        [tokens, requests].into_iter().filter(|limit| *limit > 0.0).reduce(f64::min)
    }
}

impl Admission {
    /// Creates an instance with an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            next_ticket: 0,
            queue: Queue::default(),
            by_latest_start: BTreeSet::new(),
            latest_starts: HashMap::new(),
            running: HashMap::new(),
            slots: Slots::new(bounds.start_slots, bounds.max_slots),
            limits: TeamLimits::default(),
            shares: DemandShares::default(),
            rate: ServiceRate::default(),
        }
    }

    /// Submits a request; the actions may include its own dispatch or refusal.
    pub fn submit(&mut self, now: Instant, request: &Request<'_>, out: &mut Vec<Action>) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if let Some(limit) = request.token_limit() {
            self.shares.observe(now, TeamId::from(request.name), request.cost, limit);
        }
        let wait = self.estimated_wait(request);
        let expected_end = now + wait + request.service;
        if expected_end > request.deadline {
            refuse(ticket, Refusal::Late, expected_end.since(request.deadline), out);
            return ticket;
        }
        if self.queue.bytes_at_higher_priority(request.level) + request.bytes
            > self.bounds.queued_bytes
        {
            refuse(ticket, Refusal::Shed, wait, out);
            return ticket;
        }
        let charged =
            self.limits.charge(now, &self.shares, request.name, request.team, request.cost);
        if let Err(wait) = charged {
            refuse(ticket, Refusal::OverLimit, wait, out);
            return ticket;
        }
        self.enqueue(ticket, request);
        self.shed_excess(wait, out);
        self.dispatch(now, out);
        ticket
    }

    /// Records the end of a dispatched request and dispatches others.
    pub fn release(&mut self, now: Instant, ticket: Ticket, usage: Usage, out: &mut Vec<Action>) {
        let running = self.running.remove(&ticket);
        let Running { item, dispatched_at } =
            running.expect("only a dispatched request is released");
        self.slots.release(usage.overloaded);
        self.limits.correct(&item.team, item.cost, usage.tokens);
        self.queue.correct(&item, usage.tokens);
        self.rate.add(usage.tokens, now.since(dispatched_at));
        self.poll(now, out);
    }

    /// Removes a queued request whose caller has disconnected; `false` if it is
    /// no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let item = self.queue.remove(ticket);
        item.is_some_and(|item| {
            self.refund(&item);
            true
        })
    }

    /// Refuses queued requests whose deadline can no longer be met and
    /// dispatches others into free slots.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(&(start, ticket)) = self.by_latest_start.first() {
            if start >= now {
                break;
            }
            let item =
                self.queue.remove(ticket).expect("every latest start belongs to a queued request");
            self.refund(&item);
            refuse(ticket, Refusal::Late, MIN_RETRY_AFTER, out);
        }
        self.dispatch(now, out);
    }

    /// Returns the demand to report to each of `peers` routers; call it every
    /// [`share::REPORT_INTERVAL`]. Drops the state of idle teams and of peers
    /// that stopped reporting.
    pub fn report(&mut self, now: Instant, peers: usize) -> Report {
        self.limits.refill(now, &self.shares);
        self.limits.expire(now);
        self.shares.expire(now);
        self.shares.export(now, share::max_entries(peers))
    }

    /// Merges a peer's report.
    pub fn merge(&mut self, now: Instant, peer: &Name, report: &Report) {
        self.shares.merge(now, peer, report);
    }

    /// Drops the demand of a peer that announced its shutdown.
    pub fn remove_peer(&mut self, now: Instant, peer: &Name) {
        self.shares.remove(now, peer);
    }

    /// The queued requests.
    pub const fn queue(&self) -> &Queue {
        &self.queue
    }

    /// The concurrency limit and its use.
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Number of teams whose rate limits are being tracked.
    pub fn limited_teams(&self) -> usize {
        self.limits.teams()
    }

    /// Estimated time until the requests queued ahead of a new one are served, at
    /// most [`MAX_RETRY_AFTER`]. Running requests are not counted.
    fn estimated_wait(&self, request: &Request<'_>) -> Duration {
        let cost_ahead = self.queue.cost_ahead(request.level, request.name, request.team.weight);
        let tokens_per_second = self.rate.per_slot() * self.slots.limit() as f64;
        if cost_ahead == 0 {
            return Duration::ZERO;
        }
        let seconds = cost_ahead as f64 / tokens_per_second;
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    fn enqueue(&mut self, ticket: Ticket, request: &Request<'_>) {
        let start = request.deadline - request.service;
        self.by_latest_start.insert((start, ticket));
        self.latest_starts.insert(ticket, start);
        self.queue.push(Item {
            ticket,
            level: request.level,
            team: request.name.clone(),
            weight: request.team.weight,
            cost: request.cost,
            bytes: request.bytes,
        });
    }

    fn shed_excess(&mut self, wait: Duration, out: &mut Vec<Action>) {
        // If a slot is free, `dispatch` removes one request right after this.
        let free_slots = usize::from(self.slots.used() < self.slots.limit());
        while self.queue.len() > self.bounds.queued + free_slots
            || self.queue.bytes() > self.bounds.queued_bytes
        {
            let item = self.queue.shed().expect("an empty queue is within its bounds");
            self.refund(&item);
            refuse(item.ticket, Refusal::Shed, wait, out);
        }
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<Action>) {
        while !self.queue.is_empty() && self.slots.acquire() {
            let item = self.queue.pop().expect("the queue was not empty");
            self.remove_latest_start(item.ticket);
            out.push(Action::Dispatch(item.ticket));
            self.running.insert(item.ticket, Running { item, dispatched_at: now });
        }
    }

    /// Refunds the charge of a request that leaves the queue without running and
    /// removes its latest start.
    fn refund(&mut self, item: &Item) {
        self.remove_latest_start(item.ticket);
        self.limits.refund(&item.team, item.cost);
    }

    fn remove_latest_start(&mut self, ticket: Ticket) {
        if let Some(start) = self.latest_starts.remove(&ticket) {
            self.by_latest_start.remove(&(start, ticket));
        }
    }
}

fn refuse(ticket: Ticket, refusal: Refusal, wait: Duration, out: &mut Vec<Action>) {
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    out.push(Action::Refuse { ticket, refusal, retry_after });
}

impl ServiceRate {
    fn add(&mut self, tokens: u32, time: Duration) {
        self.tokens += NEWEST_REQUEST_WEIGHT * (f64::from(tokens) - self.tokens);
        self.seconds += NEWEST_REQUEST_WEIGHT * (time.as_secs_f64() - self.seconds);
    }

    /// Tokens per second of one slot; infinite until a request has ended.
    fn per_slot(&self) -> f64 {
        if self.seconds > 0.0 { self.tokens / self.seconds } else { f64::INFINITY }
    }
}
