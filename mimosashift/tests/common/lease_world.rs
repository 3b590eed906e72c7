//! Two routers that contend for one lease, and endpoints under it.

use std::time::Duration;

use mimosashift::order::FencingNumber;
use mimosashift::order::lease::{Lease, Settings};
use mimosashift::platform::{Check, Outcome, Refusal, Row, Transaction, Write};
use mimosashift::resource::Name;
use mimosashift::time::Instant;

use super::explore::System;

/// A mistake put into the protocol, to show that it is caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    NoWaitForUncheckedEndpoint,
    NoMargin,
    EndpointForgetsNumber,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    lease: Lease,
    writing: Option<(Option<u64>, String)>,
    /// Number of the last order that it could send, and when that can arrive
    /// at the latest.
    order: Option<(FencingNumber, Instant)>,
}

/// The whole system; all clocks run alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    mutation: Mutation,
    now: Instant,
    faults_left: u8,
    writes_left: u8,
    routers: [Router; 2],
    rows: Vec<(u64, String)>,
    delayed: Vec<(Option<u64>, String)>,
    /// Whether the endpoint checks the fencing number.
    endpoint_checks: bool,
    /// The first router that could send each number.
    numbers: Vec<(FencingNumber, usize)>,
}

const TICK: Duration = Duration::from_millis(1);
/// Writes that the routers may begin in all.
const WRITES: u8 = 4;
const HORIZON: Instant = Instant::from_millis(5);
/// Longest time from the check of the lease to the effect of an order.
const MAX_WAY: Duration = TICK;

impl World {
    pub fn new(mutation: Mutation, endpoint_checks: bool, faults_left: u8) -> Self {
        let margin = if mutation == Mutation::NoMargin { Duration::ZERO } else { MAX_WAY };
        let settings = Settings { duration: Duration::from_millis(3), margin, drift_ppm: 0 };
        let group = Name::try_from("group").unwrap();
        let router = |name: &str| {
            let lease = Lease::new(settings, &group, Name::try_from(name).unwrap(), 1);
            Router { lease, writing: None, order: None }
        };
        Self {
            mutation,
            now: Instant::ZERO,
            faults_left,
            writes_left: WRITES,
            routers: [router("a"), router("b")],
            rows: Vec::new(),
            delayed: Vec::new(),
            endpoint_checks,
            numbers: Vec::new(),
        }
    }

    fn row(&self, back: usize) -> Option<Row> {
        let (revision, value) = self.rows.iter().rev().nth(back)?;
        let key = self.routers[0].lease.key().clone();
        Some(Row { key, revision: *revision, value: value.clone() })
    }

    /// Applies a write; of the older rows only the last one stays readable.
    fn apply(&mut self, over: Option<u64>, value: &str) -> Outcome<u64> {
        let newest = self.rows.last().map(|(revision, _)| *revision);
        if newest != over {
            return Outcome::NotDone(Refusal::Conflict(self.row(0)));
        }
        let revision = newest.unwrap_or(0) + 1;
        self.rows.push((revision, value.to_owned()));
        if self.rows.len() > 2 {
            self.rows.remove(0);
        }
        Outcome::Done(revision)
    }

    fn table_steps(&self, index: usize, out: &mut Vec<Self>) {
        let Some((over, value)) = &self.routers[index].writing else {
            return;
        };
        let mut step = |applied: bool, answered: bool, delayed: bool| {
            let mut next = self.clone();
            let mut outcome = Outcome::Unknown;
            if applied {
                outcome = next.apply(*over, value);
            }
            if delayed {
                next.delayed.push((*over, value.clone()));
            }
            if !answered {
                outcome = Outcome::Unknown;
                next.faults_left -= 1;
            }
            next.routers[index].writing = None;
            next.routers[index].lease.on_write_result(&outcome, next.now);
            out.push(next);
        };
        step(true, true, false);
        if self.faults_left > 0 {
            step(true, false, false);
            step(false, false, true);
        }
    }

    fn router_steps(&self, index: usize, out: &mut Vec<Self>) {
        self.table_steps(index, out);
        if self.routers[index].writing.is_none() {
            for back in 0..=usize::from(self.faults_left > 0) {
                let mut next = self.clone();
                next.faults_left -= u8::from(back > 0);
                next.routers[index].lease.observe(self.row(back).as_ref(), self.now);
                out.push(next);
            }
            for suspected in [false, true] {
                let mut next = self.clone();
                let write = next.routers[index].lease.write(suspected, self.now);
                let Some(write) = write else { continue };
                if next.writes_left > 0 {
                    next.writes_left -= 1;
                    next.routers[index].writing = Some(single(&write));
                    out.push(next);
                }
            }
        }
    }

    /// Notes the orders that could be sent in this state.
    fn with_orders(mut self) -> Self {
        let assumed = self.endpoint_checks || self.mutation == Mutation::NoWaitForUncheckedEndpoint;
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(number) = router.lease.authorize(assumed, self.now) {
                router.order = Some((number, self.now + MAX_WAY));
                if !self.numbers.iter().any(|(known, _)| *known == number) {
                    self.numbers.push((number, index));
                }
            }
            router.order = router.order.filter(|(_, latest)| *latest >= self.now);
        }
        self
    }
}

impl System for World {
    fn successors(&self) -> Vec<Self> {
        let mut out = Vec::new();
        for index in 0..self.routers.len() {
            self.router_steps(index, &mut out);
        }
        for at in 0..self.delayed.len() {
            let mut next = self.clone();
            let (over, value) = next.delayed.remove(at);
            next.apply(over, &value);
            out.push(next);
        }
        if self.now < HORIZON {
            let mut next = self.clone();
            next.now = next.now + TICK;
            out.push(next);
        }
        out.into_iter().map(Self::with_orders).collect()
    }

    fn violation(&self) -> Option<String> {
        let valid = |r: &Router| r.lease.authorize(false, self.now).is_some();
        if self.routers.iter().all(valid) {
            return Some("two holders at once".to_owned());
        }
        for (index, router) in self.routers.iter().enumerate() {
            let Some((number, _)) = router.order else { continue };
            if self.numbers.iter().any(|(known, owner)| *known == number && *owner != index) {
                return Some("one number for two holders".to_owned());
            }
        }
        let refuses = self.endpoint_checks && self.mutation != Mutation::EndpointForgetsNumber;
        let both = self.routers.iter().all(|router| router.order.is_some());
        (both && !refuses).then(|| "an old order may arrive after a new one".to_owned())
    }
}

fn single(transaction: &Transaction) -> (Option<u64>, String) {
    let over = match &transaction.checks[..] {
        [Check::Absent(_)] => None,
        [Check::Revision(_, revision)] => Some(*revision),
        checks => panic!("one check expected: {checks:?}"),
    };
    let [Write::Put(_, value)] = &transaction.writes[..] else { panic!("one put expected") };
    (over, value.clone())
}
