//! Admission: which requests run, in what order, and which are refused.
//!
//! [`Admission`] is a plain state machine. Every submitted request is either
//! refused, and then never dispatched, or dispatched once and then released
//! once. `docs/design/admission.md` gives the reasons.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::resource::{Name, Team};
use crate::time::Instant;

pub mod limit;
pub mod pressure;
pub mod queue;
pub mod share;
pub mod slots;

use limit::Limits;
use queue::{Item, Queue};
use share::{Report, Share, TeamId};
use slots::Slots;

/// Least time that a caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Most time that a caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Weight of the latest request in the measured rate of service.
const RATE_GAIN: f64 = 0.05;

/// Identifies a submitted request on this router, in order of submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Bounds of the queue and of the requests in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most queued requests.
    pub queued: usize,
    /// Most bytes of queued requests.
    pub queued_bytes: usize,
    /// Slots to start with.
    pub start_slots: usize,
    /// Most slots.
    pub max_slots: usize,
}

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of its team.
    pub name: &'a Name,
    /// The team's weight and limits.
    pub team: &'a Team,
    /// Level of its priority, 0 first.
    pub level: u8,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// Memory that it holds while queued.
    pub bytes: usize,
    /// When its answer must be complete.
    pub deadline: Instant,
    /// Estimated time from dispatch to the complete answer.
    pub service: Duration,
}

/// Why a request was refused; none of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its deadline cannot be met.
    Late,
    /// Its team's limit is used up.
    OverLimit,
    /// The queue was full and the others go first.
    Shed,
}

/// What the caller of the state machine must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request, then call [`Admission::release`].
    Dispatch(Ticket),
    /// Answer that the request was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
        /// When another try may succeed.
        retry_after: Duration,
    },
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens that it took in fact.
    pub tokens: u32,
    /// Whether endpoints refused it for load.
    pub overloaded: bool,
}

/// The admission of one router.
pub struct Admission {
    bounds: Bounds,
    next: u64,
    queue: Queue,
    latest_starts: BTreeSet<(Instant, Ticket)>,
    starts: HashMap<Ticket, Instant>,
    running: HashMap<Ticket, Running>,
    slots: Slots,
    limits: Limits,
    share: Share,
    rate: Rate,
}

/// Measured rate at which one slot serves tokens.
///
/// Time without work does not count, so that a quiet spell does not make the
/// next burst look late.
#[derive(Default)]
struct Rate {
    tokens: f64,
    seconds: f64,
}

/// A dispatched request.
struct Running {
    item: Item,
    since: Instant,
}

impl Request<'_> {
    /// The team's tighter limit, in tokens a second for requests like this
    /// one; `None` when it has no limit.
    fn token_limit(&self) -> Option<f64> {
        let tokens = f64::from(self.team.tokens_per_second);
        let requests = f64::from(self.team.requests_per_second) * f64::from(self.cost);
        [tokens, requests].into_iter().filter(|limit| *limit > 0.0).reduce(f64::min)
    }
}

impl Admission {
    /// An empty admission.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            next: 0,
            queue: Queue::default(),
            latest_starts: BTreeSet::new(),
            starts: HashMap::new(),
            running: HashMap::new(),
            slots: Slots::new(bounds.start_slots, bounds.max_slots),
            limits: Limits::default(),
            share: Share::default(),
            rate: Rate::default(),
        }
    }

    /// Submits a request; its own fate may be among the actions.
    pub fn submit(&mut self, now: Instant, request: &Request<'_>, out: &mut Vec<Action>) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        if let Some(limit) = request.token_limit() {
            self.share.observe(now, TeamId::from(request.name), request.cost, limit);
        }
        let wait = self.wait(request);
        let end = now + wait + request.service;
        if end > request.deadline {
            refuse(ticket, Refusal::Late, end.since(request.deadline), out);
            return ticket;
        }
        if self.queue.bytes_before(request.level) + request.bytes > self.bounds.queued_bytes {
            refuse(ticket, Refusal::Shed, wait, out);
            return ticket;
        }
        let charged =
            self.limits.charge(now, &self.share, request.name, request.team, request.cost);
        if let Err(wait) = charged {
            refuse(ticket, Refusal::OverLimit, wait, out);
            return ticket;
        }
        self.enqueue(ticket, request);
        self.shed(wait, out);
        self.dispatch(now, out);
        ticket
    }

    /// Notes that a dispatched request ended and dispatches others.
    pub fn release(&mut self, now: Instant, ticket: Ticket, usage: Usage, out: &mut Vec<Action>) {
        let running = self.running.remove(&ticket);
        let Running { item, since } = running.expect("only a dispatched request is released");
        self.slots.release(usage.overloaded);
        self.limits.correct(&item.team, item.cost, usage.tokens);
        self.queue.correct(&item, usage.tokens);
        self.rate.add(usage.tokens, now.since(since));
        self.poll(now, out);
    }

    /// Takes back a queued request whose caller went away; `false` when it is
    /// not queued any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let item = self.queue.remove(ticket);
        item.is_some_and(|item| {
            self.settle(&item);
            true
        })
    }

    /// Refuses queued requests whose deadline can no longer be met and fills
    /// free slots.
    pub fn poll(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(&(start, ticket)) = self.latest_starts.first() {
            if start >= now {
                break;
            }
            let item = self.queue.remove(ticket).expect("a start is kept while its item waits");
            self.settle(&item);
            refuse(ticket, Refusal::Late, MIN_RETRY_AFTER, out);
        }
        self.dispatch(now, out);
    }

    /// The demand to report to each of `peers` routers; call it every
    /// [`share::REPORT_INTERVAL`]. Drops the state of idle teams and silent
    /// peers.
    pub fn report(&mut self, now: Instant, peers: usize) -> Report {
        self.limits.refill(now, &self.share);
        self.limits.expire(now);
        self.share.expire(now);
        self.share.export(now, share::max_entries(peers))
    }

    /// Takes in a peer's report.
    pub fn merge(&mut self, now: Instant, peer: &Name, report: &Report) {
        self.share.merge(now, peer, report);
    }

    /// Drops the demand of a peer that announced its shutdown.
    pub fn remove_peer(&mut self, now: Instant, peer: &Name) {
        self.share.remove(now, peer);
    }

    /// Queued requests.
    pub const fn queue(&self) -> &Queue {
        &self.queue
    }

    /// The concurrency limit.
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Teams for which limits are held.
    pub fn limited_teams(&self) -> usize {
        self.limits.teams()
    }

    /// Estimated time until a new request is dispatched.
    fn wait(&self, request: &Request<'_>) -> Duration {
        let ahead = self.queue.ahead(request.level, request.name, request.team.weight);
        let rate = self.rate.per_slot() * self.slots.limit() as f64;
        if ahead == 0 {
            return Duration::ZERO;
        }
        let seconds = ahead as f64 / rate;
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    fn enqueue(&mut self, ticket: Ticket, request: &Request<'_>) {
        let start = request.deadline - request.service;
        self.latest_starts.insert((start, ticket));
        self.starts.insert(ticket, start);
        self.queue.push(Item {
            ticket,
            level: request.level,
            team: request.name.clone(),
            weight: request.team.weight,
            cost: request.cost,
            bytes: request.bytes,
        });
    }

    fn shed(&mut self, wait: Duration, out: &mut Vec<Action>) {
        // A free slot takes one request out of the queue at once.
        let spare = usize::from(self.slots.used() < self.slots.limit());
        while self.queue.len() > self.bounds.queued + spare
            || self.queue.bytes() > self.bounds.queued_bytes
        {
            let item = self.queue.shed().expect("an empty queue is within its bounds");
            self.settle(&item);
            refuse(item.ticket, Refusal::Shed, wait, out);
        }
    }

    fn dispatch(&mut self, now: Instant, out: &mut Vec<Action>) {
        while !self.queue.is_empty() && self.slots.take() {
            let item = self.queue.pop().expect("the queue was not empty");
            self.forget_start(item.ticket);
            out.push(Action::Dispatch(item.ticket));
            self.running.insert(item.ticket, Running { item, since: now });
        }
    }

    /// Gives back what a request that leaves the queue unrun was charged.
    fn settle(&mut self, item: &Item) {
        self.forget_start(item.ticket);
        self.limits.refund(&item.team, item.cost);
    }

    fn forget_start(&mut self, ticket: Ticket) {
        if let Some(start) = self.starts.remove(&ticket) {
            self.latest_starts.remove(&(start, ticket));
        }
    }
}

fn refuse(ticket: Ticket, refusal: Refusal, wait: Duration, out: &mut Vec<Action>) {
    let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    out.push(Action::Refuse { ticket, refusal, retry_after });
}

impl Rate {
    fn add(&mut self, tokens: u32, time: Duration) {
        self.tokens += RATE_GAIN * (f64::from(tokens) - self.tokens);
        self.seconds += RATE_GAIN * (time.as_secs_f64() - self.seconds);
    }

    /// Tokens a second of one slot; infinite until a request has ended.
    fn per_slot(&self) -> f64 {
        if self.seconds > 0.0 { self.tokens / self.seconds } else { f64::INFINITY }
    }
}
