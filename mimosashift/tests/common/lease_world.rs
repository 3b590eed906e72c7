//! Model of two routers that compete for one lease, and of the endpoints that
//! receive their orders.

use std::time::Duration;

use mimosashift::order::FencingNumber;
use mimosashift::order::lease::{Lease, Record, Settings};
use mimosashift::platform::{Check, Outcome, Refusal, Row, Transaction, Write};
use mimosashift::resource::Name;
use mimosashift::time::Instant;

use super::explore::System;

/// A fault put into the protocol; the model check must detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    NoWaitForUncheckedEndpoint,
    NoMargin,
    EndpointForgetsNumber,
    /// The unknown holder of an unreadable row has a number above the row's
    /// revision.
    NumberAboveRevision,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    lease: Lease,
    pending_write: Option<(Option<u64>, String)>,
    /// Fencing number of the last order that it could send, and the latest time
    /// at which that order can arrive.
    order: Option<(FencingNumber, Instant)>,
}

/// State of the model; all clocks run at the same rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    mutation: Mutation,
    now: Instant,
    faults_left: u8,
    writes_left: u8,
    /// Number of rows that another writer may still write and no router can read.
    unreadable_left: u8,
    /// Fencing number of the writer of an unreadable row, and the latest time at
    /// which an order of it can arrive.
    unknown_order: Option<(FencingNumber, Instant)>,
    /// The highest fencing number written, and whether an acquisition did not raise it.
    highest_number: u64,
    number_reused: bool,
    routers: [Router; 2],
    rows: Vec<(u64, String)>,
    delayed: Vec<(Option<u64>, String)>,
    /// Whether the endpoint checks the fencing number.
    endpoint_checks: bool,
    /// The first router that could send an order with each fencing number.
    number_owners: Vec<(FencingNumber, usize)>,
}

const UNREADABLE: &str = "[";
const LEASE_DURATION: Duration = Duration::from_millis(3);
const TICK: Duration = Duration::from_millis(1);
/// Total number of writes that the routers may start.
const MAX_WRITES: u8 = 4;
const HORIZON: Instant = Instant::from_millis(5);
/// Maximum time from the check of the lease to the effect of an order.
const MAX_SEND_DELAY: Duration = TICK;

impl World {
    pub fn new(
        mutation: Mutation,
        endpoint_checks: bool,
        faults_left: u8,
        unreadable_left: u8,
    ) -> Self {
        let margin = if mutation == Mutation::NoMargin { Duration::ZERO } else { MAX_SEND_DELAY };
        let settings = Settings { duration: LEASE_DURATION, margin, drift_ppm: 0 };
        let group = Name::try_from("group").unwrap();
        let router = |name: &str| {
            let lease = Lease::new(settings, &group, Name::try_from(name).unwrap(), 1);
            Router { lease, pending_write: None, order: None }
        };
        Self {
            mutation,
            now: Instant::ZERO,
            faults_left,
            writes_left: MAX_WRITES,
            unreadable_left,
            unknown_order: None,
            highest_number: 0,
            number_reused: false,
            routers: [router("a"), router("b")],
            rows: Vec::new(),
            delayed: Vec::new(),
            endpoint_checks,
            number_owners: Vec::new(),
        }
    }

    fn row(&self, age: usize) -> Option<Row> {
        let (revision, value) = self.rows.iter().rev().nth(age)?;
        let key = self.routers[0].lease.key().clone();
        Some(Row { key, revision: *revision, value: value.clone() })
    }

    /// Applies a write. Only the newest row and the one before it stay readable.
    fn apply(&mut self, base_revision: Option<u64>, value: &str) -> Outcome<u64> {
        let newest = self.rows.last().map(|(revision, _)| *revision);
        if newest != base_revision {
            return Outcome::NotDone(Refusal::Conflict(self.row(0)));
        }
        self.check_number(value);
        Outcome::Done(self.push(value))
    }

    /// Writes the row and returns its revision.
    fn push(&mut self, value: &str) -> u64 {
        let revision = self.rows.last().map_or(0, |(revision, _)| *revision) + 1;
        self.rows.push((revision, value.to_owned()));
        if self.rows.len() > 2 {
            self.rows.remove(0);
        }
        revision
    }

    /// Only the renewal of the newest row may repeat a number.
    fn check_number(&mut self, value: &str) {
        let number = number(value);
        let is_renewal = self.rows.last().is_some_and(|(_, newest)| newest == value);
        self.number_reused |= number <= self.highest_number && !is_renewal;
        self.highest_number = self.highest_number.max(number);
    }

    /// Another writer acquires the lease with a row that routers cannot read, and
    /// sends orders. Its number is the highest that its revision allows.
    fn write_unreadable(&mut self) {
        let revision = self.push(UNREADABLE);
        let excess = u64::from(self.mutation == Mutation::NumberAboveRevision);
        let number = revision + excess;
        self.highest_number = self.highest_number.max(number);
        self.unreadable_left -= 1;
        // It sends for the last time one tick before its margin.
        self.unknown_order = Some((FencingNumber(number), self.now + (LEASE_DURATION - TICK)));
    }

    fn write_successors(&self, index: usize, out: &mut Vec<Self>) {
        let Some((base_revision, value)) = &self.routers[index].pending_write else {
            return;
        };
        let mut step = |applied: bool, answered: bool, delayed: bool| {
            let mut next = self.clone();
            let mut outcome = Outcome::Unknown;
            if applied {
                outcome = next.apply(*base_revision, value);
            }
            if delayed {
                next.delayed.push((*base_revision, value.clone()));
            }
            if !answered {
                outcome = Outcome::Unknown;
                next.faults_left -= 1;
            }
            next.routers[index].pending_write = None;
            next.routers[index].lease.on_write_result(&outcome, next.now);
            out.push(next);
        };
        step(true, true, false);
        if self.faults_left > 0 {
            step(true, false, false);
            step(false, false, true);
        }
    }

    fn router_successors(&self, index: usize, out: &mut Vec<Self>) {
        self.write_successors(index, out);
        if self.routers[index].pending_write.is_none() {
            for age in 0..=usize::from(self.faults_left > 0) {
                let mut next = self.clone();
                next.faults_left -= u8::from(age > 0);
                next.routers[index].lease.observe(self.row(age).as_ref(), self.now);
                out.push(next);
            }
            for suspected in [false, true] {
                let mut next = self.clone();
                let write = next.routers[index].lease.next_transaction(suspected, self.now);
                let Some(write) = write else { continue };
                if next.writes_left > 0 {
                    next.writes_left -= 1;
                    next.routers[index].pending_write = Some(base_and_value(&write));
                    out.push(next);
                }
            }
        }
    }

    /// Records the orders that could be sent in this state.
    fn record_orders(mut self) -> Self {
        let assumed_checks =
            self.endpoint_checks || self.mutation == Mutation::NoWaitForUncheckedEndpoint;
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(number) = router.lease.authorize(assumed_checks, self.now) {
                router.order = Some((number, self.now + MAX_SEND_DELAY));
                if !self.number_owners.iter().any(|(known, _)| *known == number) {
                    self.number_owners.push((number, index));
                }
            }
            router.order = router.order.filter(|(_, latest)| *latest >= self.now);
        }
        self.unknown_order = self.unknown_order.filter(|(_, latest)| *latest >= self.now);
        self
    }
}

impl System for World {
    fn successors(&self) -> Vec<Self> {
        let mut out = Vec::new();
        for index in 0..self.routers.len() {
            self.router_successors(index, &mut out);
        }
        for at in 0..self.delayed.len() {
            let mut next = self.clone();
            let (base_revision, value) = next.delayed.remove(at);
            next.apply(base_revision, &value);
            out.push(next);
        }
        if self.unreadable_left > 0 {
            let mut next = self.clone();
            next.write_unreadable();
            out.push(next);
        }
        if self.now < HORIZON {
            let mut next = self.clone();
            next.now = next.now + TICK;
            out.push(next);
        }
        out.into_iter().map(Self::record_orders).collect()
    }

    fn violation(&self) -> Option<String> {
        if self.number_reused {
            return Some("a fencing number was given twice or went back".to_owned());
        }
        let valid = |r: &Router| r.lease.authorize(false, self.now).is_some();
        if self.routers.iter().all(valid) {
            return Some("two holders at once".to_owned());
        }
        for (index, router) in self.routers.iter().enumerate() {
            let Some((number, _)) = router.order else { continue };
            if self.number_owners.iter().any(|(known, owner)| *known == number && *owner != index) {
                return Some("two holders share a fencing number".to_owned());
            }
        }
        let refuses = self.endpoint_checks && self.mutation != Mutation::EndpointForgetsNumber;
        let both = self.routers.iter().all(|router| router.order.is_some());
        // Whether the unknown writer waited for earlier holders is its own affair.
        let with_unknown = self.unknown_order.is_some_and(|(unknown, _)| {
            let mut orders = self.routers.iter().filter_map(|router| router.order);
            orders.any(|(number, _)| number > unknown)
        });
        ((both || with_unknown) && !refuses)
            .then(|| "an old order may arrive after a new one".to_owned())
    }
}

fn number(value: &str) -> u64 {
    serde_json::from_str::<Record>(value).expect("routers write records").number.0
}

fn base_and_value(transaction: &Transaction) -> (Option<u64>, String) {
    let base_revision = match &transaction.checks[..] {
        [Check::Absent(_)] => None,
        [Check::Revision(_, revision)] => Some(*revision),
        checks => panic!("expected one check: {checks:?}"),
    };
    let [Write::Put(_, value)] = &transaction.writes[..] else { panic!("expected one put") };
    (base_revision, value.clone())
}
