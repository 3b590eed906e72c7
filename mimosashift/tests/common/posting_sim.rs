//! Simulation of four routers with a faulty table and service, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use mimosashift::platform::{Key, Outcome, Refusal, Transaction};
use mimosashift::posting::batch::{Batch, BatchMember, Queue};
use mimosashift::posting::{
    Action, Actions, Body, CallResult, Delivery, Digest, Machine, Nonce, Reply, Request, Settings,
    TABLE,
};
use mimosashift::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::rows::Rows;

const ROUTERS: usize = 4;
const CALLS: usize = 24;
const TRIES: u8 = 4;
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Counts of what happened to the calls of one or more runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub posted: u64,
    pub run: u64,
    pub executed_twice: u64,
    /// Attempts that were reported as not run although they ran.
    pub false_not_run: u64,
    /// Calls answered with a reply that the service never sent.
    pub unknown_reply: u64,
    pub replied: u64,
    pub refused: u64,
    pub unknown: u64,
    pub commits: u64,
    pub members: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Start(usize),
    Flush(usize),
    Apply(usize),
    Settle(usize),
    Tick(usize),
    Run(usize),
    Delivered(usize),
    Crash(usize),
}

struct Attempt {
    machine: Machine,
    router: usize,
    call: usize,
    delivery: Option<Delivery>,
    not_run: bool,
}

struct Commit {
    router: usize,
    batch: Option<Batch<usize>>,
    transaction: Transaction,
    outcome: Outcome<u64>,
    answer_at: Instant,
}

struct Sim {
    rng: Pcg64Mcg,
    unique_nonces: bool,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    rows: Rows,
    outage: (Instant, Instant),
    queues: Vec<Queue<usize>>,
    attempts: Vec<Attempt>,
    commits: Vec<Commit>,
    dead: BTreeSet<usize>,
    tries: Vec<u8>,
    answers: Vec<Option<CallResult>>,
    executed: Vec<Vec<usize>>,
    counts: Counts,
}

/// Runs one seed to its end, with a separate nonce for each attempt or, as an
/// injected mistake, one nonce for all attempts.
pub fn run(seed: u64, unique_nonces: bool) -> Counts {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let outage_at = Instant::from_millis(rng.random_range(0..6_000));
    let outage = (outage_at, outage_at + Duration::from_millis(rng.random_range(0..4_000)));
    let queue = Queue::new(8, Duration::from_millis(3));
    let mut sim = Sim {
        rng,
        unique_nonces,
        now: Instant::ZERO,
        events: BinaryHeap::new(),
        sequence: 0,
        rows: Rows::default(),
        outage,
        queues: vec![queue; ROUTERS],
        attempts: Vec::new(),
        commits: Vec::new(),
        dead: BTreeSet::new(),
        tries: vec![0; CALLS],
        answers: vec![None; CALLS],
        executed: vec![Vec::new(); CALLS],
        counts: Counts::default(),
    };
    for call in 0..CALLS {
        let after = sim.millis(0..5_000);
        sim.after(after, Event::Start(call));
    }
    if sim.rng.random_bool(0.5) {
        let after = sim.millis(0..8_000);
        sim.after(after, Event::Crash(0));
    }
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        sim.now = at;
        sim.handle(event);
    }
    sim.totals()
}

impl Sim {
    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn after(&mut self, after: Duration, event: Event) {
        self.at(self.now + after, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(call) => self.start(call),
            Event::Flush(router) => self.flush(router),
            Event::Apply(commit) => {
                let transaction = self.commits[commit].transaction.clone();
                let outcome = self.rows.commit(&transaction);
                if self.now <= self.commits[commit].answer_at {
                    self.commits[commit].outcome = outcome;
                }
            }
            Event::Settle(commit) => self.settle(commit),
            Event::Tick(attempt) => {
                self.step(attempt, |machine, now| machine.tick(now));
            }
            Event::Run(attempt) => {
                let call = self.attempts[attempt].call;
                self.executed[call].push(attempt);
            }
            Event::Delivered(attempt) => {
                let delivery = self.attempts[attempt].delivery.take().unwrap();
                self.step(attempt, |machine, now| machine.delivered(delivery, now));
            }
            Event::Crash(router) => self.crash(router),
        }
    }

    fn start(&mut self, call: usize) {
        let router = self.rng.random_range(0..ROUTERS);
        if self.tries[call] >= TRIES {
            return;
        }
        self.tries[call] += 1;
        let request = Request {
            key: Some(Key { table: TABLE.to_owned(), key: format!("t/s/{call}") }),
            nonce: Nonce(if self.unique_nonces { self.rng.random() } else { 1 }),
            digest: Digest::new("POST", "/orders", &call.to_be_bytes()),
            unix_ms: 0,
        };
        let (machine, actions) = Machine::new(Settings::default(), request, self.now);
        self.attempts.push(Attempt { machine, router, call, delivery: None, not_run: false });
        self.act(self.attempts.len() - 1, actions);
        // Some callers retry without waiting for the answer.
        if self.rng.random_bool(0.2) {
            let after = self.millis(0..50);
            self.after(after, Event::Start(call));
        }
    }

    fn step(&mut self, attempt: usize, f: impl FnOnce(&mut Machine, Instant) -> Actions) {
        if self.dead.contains(&attempt) {
            return;
        }
        let actions = f(&mut self.attempts[attempt].machine, self.now);
        self.act(attempt, actions);
    }

    fn act(&mut self, attempt: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::Commit { transaction, repeat } => {
                    let router = self.attempts[attempt].router;
                    let member = BatchMember { tag: attempt, transaction, repeat };
                    self.queues[router].push(member, self.now);
                    let due = self.queues[router].due_at().unwrap().max(self.now);
                    self.at(due, Event::Flush(router));
                }
                Action::Send { before } => self.send(attempt, before),
                Action::Answer(answer) => self.answer(attempt, answer),
            }
        }
        if let Some(at) = self.attempts[attempt].machine.wake_at() {
            self.at(at.max(self.now), Event::Tick(attempt));
        }
    }

    fn send(&mut self, attempt: usize, before: Instant) {
        let connects = self.now < before && self.rng.random_bool(0.9);
        let arrives = self.rng.random_bool(0.97);
        let answers = self.rng.random_bool(0.95);
        let transit = self.millis(1..300);
        let delivery = if !connects {
            Delivery::NotConnected
        } else if arrives && answers {
            Delivery::Replied(reply(attempt))
        } else {
            Delivery::Lost
        };
        if connects && arrives {
            self.after(transit, Event::Run(attempt));
        }
        self.attempts[attempt].delivery = Some(delivery);
        self.after(transit, Event::Delivered(attempt));
    }

    fn answer(&mut self, attempt: usize, answer: CallResult) {
        let call = self.attempts[attempt].call;
        self.attempts[attempt].not_run = answer == CallResult::NotRun;
        if matches!(answer, CallResult::NotRun | CallResult::Unknown) {
            let after = self.millis(500..3_000);
            self.after(after, Event::Start(call));
        }
        let known =
            matches!(self.answers[call], Some(CallResult::Replied(_) | CallResult::Recorded(_)));
        if !known {
            self.answers[call] = Some(answer);
        }
    }

    fn flush(&mut self, router: usize) {
        while let Some(batch) = self.queues[router].take(self.now) {
            self.counts.members += batch.len() as u64;
            self.commit(router, batch);
        }
        if let Some(due) = self.queues[router].due_at() {
            self.at(due, Event::Flush(router));
        }
    }

    fn commit(&mut self, router: usize, batch: Batch<usize>) {
        self.counts.commits += 1;
        let slow = self.rng.random_bool(0.05);
        let transit = if slow { self.millis(0..3_000) } else { self.millis(1..20) };
        let return_transit = self.millis(1..20);
        let down = (self.outage.0..self.outage.1).contains(&self.now);
        let request_lost = self.rng.random_bool(0.02) || (down && self.rng.random_bool(0.5));
        let answer_lost = self.rng.random_bool(0.03) || transit + return_transit > TABLE_TIMEOUT;
        let refused = down && !request_lost;
        let unknown = request_lost || answer_lost;
        let answer_at =
            self.now + if unknown && !refused { TABLE_TIMEOUT } else { transit + return_transit };
        let outcome =
            if refused { Outcome::NotDone(Refusal::Unavailable) } else { Outcome::Unknown };
        let transaction = batch.transaction();
        let index = self.commits.len();
        if !request_lost && !refused {
            self.after(transit, Event::Apply(index));
        }
        let batch = Some(batch);
        // `Apply` must not set the outcome when the answer is lost.
        let answer_arrival = if answer_lost { Instant::ZERO } else { answer_at };
        self.commits.push(Commit {
            router,
            batch,
            transaction,
            outcome,
            answer_at: answer_arrival,
        });
        self.at(answer_at, Event::Settle(index));
    }

    fn settle(&mut self, commit: usize) {
        let Some(batch) = self.commits[commit].batch.take() else {
            return;
        };
        let router = self.commits[commit].router;
        let settled = batch.settle(self.commits[commit].outcome.clone());
        for (attempt, outcome) in settled.outcomes {
            self.step(attempt, |machine, now| machine.committed(&outcome, now));
        }
        for batch in settled.remaining {
            self.commit(router, batch);
        }
    }

    /// Crashes a router; a new one takes its place.
    fn crash(&mut self, router: usize) {
        self.queues[router] = Queue::new(8, Duration::from_millis(3));
        for commit in self.commits.iter_mut().filter(|commit| commit.router == router) {
            commit.batch = None;
        }
        for attempt in 0..self.attempts.len() {
            let Attempt { router: on, call, .. } = self.attempts[attempt];
            if on == router && !self.attempts[attempt].machine.is_finished() {
                self.dead.insert(attempt);
                self.after(Duration::from_secs(1), Event::Start(call));
            }
        }
    }

    fn totals(self) -> Counts {
        let mut counts = self.counts;
        counts.posted = CALLS as u64;
        for (call, executed) in self.executed.iter().enumerate() {
            counts.run += u64::from(!executed.is_empty());
            counts.executed_twice += u64::from(executed.len() > 1);
            counts.false_not_run +=
                executed.iter().filter(|attempt| self.attempts[**attempt].not_run).count() as u64;
            match &self.answers[call] {
                Some(CallResult::Replied(got) | CallResult::Recorded(got)) => {
                    counts.replied += 1;
                    let given = executed.iter().any(|attempt| reply(*attempt) == *got);
                    counts.unknown_reply += u64::from(!given);
                }
                Some(CallResult::NotRun) => counts.refused += 1,
                _ => counts.unknown += 1,
            }
        }
        counts
    }
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.posted += other.posted;
        self.run += other.run;
        self.executed_twice += other.executed_twice;
        self.false_not_run += other.false_not_run;
        self.unknown_reply += other.unknown_reply;
        self.replied += other.replied;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.commits += other.commits;
        self.members += other.members;
    }
}

fn reply(attempt: usize) -> Reply {
    let body = Body::Whole(attempt.to_be_bytes().to_vec());
    Reply { status: 201, headers: Vec::new(), body }
}
