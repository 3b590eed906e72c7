//! Access to the platform's tables through this router's budget and circuit
//! breaker.
//!
//! See "Budget and breaker" in `docs/design/postings.md`.

use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::clock::Clock;
use crate::emit;
use crate::event::{Event, Logger};
use crate::platform::breaker::{self, Breaker};
use crate::platform::budget::{Budget, Class};
use crate::platform::{Key, Outcome, Page, Refusal, Row, Table, Transaction};

/// Limit on transactions per second, for all routers together.
const WRITES_PER_SECOND: u32 = 300;

/// Limit on reads per second, for all routers together.
const READS_PER_SECOND: u32 = 1_500;

/// Maximum burst of reads, and of transactions, of a router.
const BURST: u32 = 16;

/// Maximum time that a call waits for the budget.
const MAX_BUDGET_WAIT: Duration = Duration::from_secs(1);

/// Time between two checks of the budget.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Row that a probe reads; it does not need to exist.
const PROBE_KEY: (&str, &str) = ("config", "head");

/// The platform's tables for calls of one class.
///
/// While the breaker is open, every call fails at once as not done; only
/// [`Guard::probe`] reaches the platform. A probe is a read, so that it cannot
/// leave the outcome of a caller's write unknown.
#[derive(Clone)]
pub struct Guard {
    shared: Arc<Shared>,
    class: Class,
}

struct Shared {
    table: Arc<dyn Table>,
    clock: Clock,
    log: Logger,
    state: Mutex<State>,
}

struct State {
    breaker: Breaker,
    reads: Budget,
    writes: Budget,
    routers: u32,
    rng: Pcg64Mcg,
    /// Whether the budget was exhausted at the last call.
    over_budget: bool,
}

#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

impl Guard {
    /// A guard of `table` for calls of class [`Class::Config`].
    pub fn new(table: Arc<dyn Table>, clock: Clock, log: Logger) -> Self {
        let now = clock.now();
        let state = State {
            breaker: Breaker::new(breaker::Settings::default()),
            reads: Budget::new(READS_PER_SECOND, 1, BURST, now),
            writes: Budget::new(WRITES_PER_SECOND, 1, BURST, now),
            routers: 1,
            rng: Pcg64Mcg::seed_from_u64(rand::random()),
            over_budget: false,
        };
        let shared = Shared { table, clock, log, state: Mutex::new(state) };
        Self { shared: Arc::new(shared), class: Class::Config }
    }

    /// The same guard for calls of another class; tables, budget and breaker are
    /// shared.
    pub fn with_class(&self, class: Class) -> Self {
        Self { shared: Arc::clone(&self.shared), class }
    }

    /// Sets the number of live routers that share the platform's limits.
    pub fn set_routers(&self, routers: u32) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.routers = routers.max(1);
        state.reads.set_routers(routers, now);
        state.writes.set_routers(routers, now);
    }

    /// The number of live routers that share the platform's limits.
    pub fn routers(&self) -> u32 {
        self.lock().routers
    }

    /// Whether the breaker refuses calls because the platform fails.
    pub fn is_open(&self) -> bool {
        !self.lock().breaker.is_closed()
    }

    /// Takes the budget for one [`commit_taken`](Self::commit_taken), if any
    /// is left.
    pub fn take_write(&self) -> bool {
        self.take(CallKind::Write)
    }

    /// Commits a transaction for which [`take_write`](Self::take_write) returned true.
    pub fn commit_taken(&self, transaction: &Transaction) -> Outcome<u64> {
        if self.is_open() {
            return Outcome::NotDone(Refusal::Unavailable);
        }
        let outcome = self.shared.table.commit(transaction);
        self.record_result(is_failure(&outcome));
        outcome
    }

    /// Calls the platform once if the breaker is open and a probe is due.
    pub fn probe(&self) {
        let now = self.shared.clock.now();
        {
            let mut state = self.lock();
            if state.breaker.is_closed() || !state.breaker.admit(now) {
                return;
            }
        }
        let (table, key) = PROBE_KEY;
        let key = Key { table: table.to_owned(), key: key.to_owned() };
        let outcome = self.shared.table.read(&key);
        self.record_result(is_failure(&outcome));
    }

    fn read_guarded<T>(&self, read: impl FnOnce(&dyn Table) -> Outcome<T>) -> Outcome<T> {
        if let Err(refusal) = self.wait_for_budget(CallKind::Read) {
            return Outcome::NotDone(refusal);
        }
        let outcome = read(&*self.shared.table);
        self.record_result(is_failure(&outcome));
        outcome
    }

    /// Waits for the budget of one call.
    fn wait_for_budget(&self, kind: CallKind) -> Result<(), Refusal> {
        let end = self.shared.clock.now() + MAX_BUDGET_WAIT;
        loop {
            if self.is_open() {
                return Err(Refusal::Unavailable);
            }
            if self.take(kind) {
                return Ok(());
            }
            if self.shared.clock.now() >= end {
                return Err(Refusal::OverBudget);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn take(&self, kind: CallKind) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let budget = match kind {
            CallKind::Read => &mut state.reads,
            CallKind::Write => &mut state.writes,
        };
        let taken = budget.take(self.class, now);
        let was_over_budget = std::mem::replace(&mut state.over_budget, !taken);
        drop(state);
        if !taken && !was_over_budget {
            emit!(self.shared.log, Event::OverBudget, "class" => format!("{:?}", self.class));
        }
        taken
    }

    fn record_result(&self, failed: bool) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let was_closed = state.breaker.is_closed();
        let State { breaker, rng, .. } = &mut *state;
        if failed {
            breaker.failed(now, rng);
        } else {
            breaker.succeeded();
        }
        let closed = breaker.is_closed();
        drop(state);
        match (was_closed, closed) {
            (true, false) => emit!(self.shared.log, Event::BreakerOpened),
            (false, true) => emit!(self.shared.log, Event::BreakerClosed),
            _ => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder of this lock panics")
    }
}

impl Table for Guard {
    fn commit(&self, transaction: &Transaction) -> Outcome<u64> {
        match self.wait_for_budget(CallKind::Write) {
            Ok(()) => self.commit_taken(transaction),
            Err(refusal) => Outcome::NotDone(refusal),
        }
    }

    fn read(&self, key: &Key) -> Outcome<Option<Row>> {
        self.read_guarded(|table| table.read(key))
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome<Page> {
        self.read_guarded(|tables| tables.scan(table, prefix, after, limit))
    }
}

/// Whether an outcome counts as a failure of the platform. Other refusals show
/// that it responds.
const fn is_failure<T>(outcome: &Outcome<T>) -> bool {
    matches!(outcome, Outcome::Unknown | Outcome::NotDone(Refusal::Unavailable))
}
