//! Model of two routers, one table row and a service, for checking the claim
//! protocol.

use std::time::Duration;

use mimosashift::platform::{Check, Key, Outcome, Refusal, Row, Write};
use mimosashift::posting::resolve::{MIN_RESOLVE_AGE, Resolution, resolve};
use mimosashift::posting::{
    Action, Actions, Body, CallResult, Delivery, Digest, Entry, Machine, Nonce, Reply, Request,
    Settings, State, TABLE,
};
use mimosashift::time::Instant;

use super::explore::System;

/// A mistake injected into the protocol to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    None,
    SendBeforeClaim,
    SharedNonce,
    ReleaseAfterSend,
    TrustStaleAbsent,
    DeleteOnRelease,
    ResolveRecentClaim,
}

/// How many more events of each kind may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EventLimits {
    pub attempts: u8,
    pub faults: u8,
    pub crashes: u8,
    pub resolves: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    replaced: Option<u64>,
    value: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    machine: Machine,
    nonce: u64,
    now: Instant,
    pending: Option<Pending>,
    send_before: Option<Instant>,
    answered: bool,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    mistake: Mistake,
    pub left: EventLimits,
    routers: [Option<Router>; 2],
    row: Option<(u64, String)>,
    revision: u64,
    delayed_writes: Vec<Pending>,
    delayed_calls: Vec<u64>,
    pub executed: Vec<u64>,
    pub answers: Vec<(u64, CallResult)>,
    next_nonce: u64,
    outcome_lost: bool,
}

pub const SETTINGS: Settings = Settings {
    send_window: Duration::from_millis(10),
    settle_window: Duration::from_millis(1_000),
    retry_pause: Duration::from_millis(4),
    max_connect_attempts: 2,
};

impl World {
    pub fn new(mistake: Mistake, left: EventLimits) -> Self {
        Self {
            mistake,
            left,
            routers: [None, None],
            row: None,
            revision: 0,
            delayed_writes: Vec::new(),
            delayed_calls: Vec::new(),
            executed: Vec::new(),
            answers: Vec::new(),
            next_nonce: 1,
            outcome_lost: false,
        }
    }

    /// The entry in the table row.
    pub fn entry(&self) -> Option<Entry> {
        let (revision, value) = self.row.as_ref()?;
        let row = Row { key: key(), revision: *revision, value: value.clone() };
        Some(Entry::try_from(&row).unwrap())
    }

    fn start(&self, index: usize) -> Self {
        let mut next = self.clone();
        let nonce = next.next_nonce;
        next.next_nonce += 1;
        next.left.attempts -= 1;
        let used_nonce = if self.mistake == Mistake::SharedNonce { 1 } else { nonce };
        let digest = Digest::new("POST", "/charges", b"{}");
        let request = Request { key: Some(key()), nonce: Nonce(used_nonce), digest, unix_ms: 0 };
        let (machine, actions) = Machine::new(SETTINGS, request, Instant::ZERO);
        if self.mistake == Mistake::SendBeforeClaim {
            next.executed.push(nonce);
        }
        next.routers[index] = Some(Router {
            machine,
            nonce,
            now: Instant::ZERO,
            pending: None,
            send_before: None,
            answered: false,
        });
        next.act(index, actions);
        next
    }

    fn act(&mut self, index: usize, actions: Actions) {
        let mistake = self.mistake;
        let router = self.routers[index].as_mut().unwrap();
        for action in actions {
            match action {
                Action::Commit { transaction, .. } => {
                    assert!(router.pending.is_none(), "one commit at a time");
                    let replaced = match &transaction.checks[..] {
                        [Check::Absent(_)] => None,
                        [Check::Revision(_, revision)] => Some(*revision),
                        checks => panic!("one check expected: {checks:?}"),
                    };
                    let [Write::Put(_, value)] = &transaction.writes[..] else {
                        panic!("one put expected")
                    };
                    let released = value.contains("\"released\"");
                    let delete = released && mistake == Mistake::DeleteOnRelease;
                    router.pending =
                        Some(Pending { replaced, value: (!delete).then(|| value.clone()) });
                }
                Action::Send { before } => router.send_before = Some(before),
                Action::Answer(answer) => {
                    assert!(!router.answered, "one answer per attempt");
                    router.answered = true;
                    self.answers.push((router.nonce, answer));
                }
            }
        }
    }

    fn apply(&mut self, write: &Pending) -> Outcome<u64> {
        let found = self.row.as_ref().map(|(revision, _)| *revision);
        if found != write.replaced {
            let row = self.row.clone();
            let row = row.map(|(revision, value)| Row { key: key(), revision, value });
            return Outcome::NotDone(Refusal::Conflict(row));
        }
        self.revision += 1;
        self.row = write.value.clone().map(|value| (self.revision, value));
        Outcome::Done(self.revision)
    }

    fn commit_steps(&self, index: usize, write: &Pending, out: &mut Vec<Self>) {
        let mut step = |applied: bool, answered: bool, delayed: bool| {
            let mut next = self.clone();
            let mut outcome = Outcome::NotDone(Refusal::Unavailable);
            if applied {
                outcome = next.apply(write);
            }
            if !answered {
                outcome = Outcome::Unknown;
                let absent = next.row.is_none() && write.replaced.is_none();
                if self.mistake == Mistake::TrustStaleAbsent && absent {
                    outcome = Outcome::NotDone(Refusal::Unavailable);
                }
            }
            if delayed {
                next.delayed_writes.push(write.clone());
            }
            if !(applied && answered) {
                next.left.faults -= 1;
            }
            let router = next.routers[index].as_mut().unwrap();
            router.pending = None;
            let actions = router.machine.committed(&outcome, router.now);
            next.act(index, actions);
            out.push(next);
        };
        step(true, true, false);
        if self.left.faults > 0 {
            step(true, false, false);
            step(false, false, true);
            step(false, false, false);
            step(false, true, false);
        }
    }

    fn send_steps(&self, index: usize, before: Instant, out: &mut Vec<Self>) {
        let router = self.routers[index].as_ref().unwrap();
        let nonce = router.nonce;
        let late = router.now >= before;
        let mut step = |runs: bool, delayed: bool, delivery: Delivery| {
            let mut next = self.clone();
            if runs && self.mistake != Mistake::SendBeforeClaim {
                next.executed.push(nonce);
            }
            if delayed {
                next.delayed_calls.push(nonce);
            }
            if !matches!(delivery, Delivery::Replied(_)) && !late {
                next.left.faults -= 1;
            }
            let mut delivery = delivery;
            if delivery == Delivery::Lost {
                next.outcome_lost = true;
                if self.mistake == Mistake::ReleaseAfterSend {
                    delivery = Delivery::NotConnected;
                }
            }
            let router = next.routers[index].as_mut().unwrap();
            router.send_before = None;
            let actions = router.machine.delivered(delivery, router.now);
            next.act(index, actions);
            out.push(next);
        };
        if late {
            step(false, false, Delivery::NotConnected);
            return;
        }
        step(true, false, Delivery::Replied(reply(nonce)));
        if self.left.faults > 0 {
            step(true, false, Delivery::Lost);
            step(false, true, Delivery::Lost);
            step(false, false, Delivery::Lost);
            step(false, false, Delivery::NotConnected);
        }
    }

    fn router_steps(&self, index: usize, router: &Router, out: &mut Vec<Self>) {
        if let Some(write) = &router.pending {
            self.commit_steps(index, write, out);
        }
        if let Some(before) = router.send_before {
            self.send_steps(index, before, out);
        }
        if self.left.crashes > 0 && !router.machine.is_finished() {
            let mut next = self.clone();
            next.left.crashes -= 1;
            next.outcome_lost = true;
            next.delayed_writes.extend(router.pending.clone());
            next.routers[index] = None;
            out.push(next);
        }
        if self.left.faults > 0 && !router.machine.is_finished() {
            out.push(self.with_time(index, router.now + SETTINGS.send_window, 1));
            let mut next = self.clone();
            next.left.faults -= 1;
            let actions = next.routers[index].as_mut().unwrap().machine.cancel();
            next.act(index, actions);
            out.push(next);
        }
        if let Some(at) = router.machine.wake_at()
            && router.pending.is_none()
        {
            out.push(self.with_time(index, at.max(router.now), 0));
        }
    }

    /// Advances a router's clock. Its machine gets a tick unless a commit is
    /// pending, as after a pause of the process.
    fn with_time(&self, index: usize, now: Instant, faults: u8) -> Self {
        let mut next = self.clone();
        next.left.faults -= faults;
        let router = next.routers[index].as_mut().unwrap();
        router.now = now;
        if router.pending.is_none() {
            let actions = router.machine.tick(now);
            next.act(index, actions);
        }
        next
    }

    /// An operator resolves the claim after finding out whether the call ran, and
    /// after the claim's router can no longer send it.
    fn resolved(&self) -> Option<Self> {
        let (revision, value) = self.row.clone()?;
        let row = Row { key: key(), revision, value };
        let owner = self.entry()?.nonce.0;
        let may_send = |r: &Router| {
            r.nonce == owner
                && !r.machine.is_finished()
                && r.now < Instant::ZERO + SETTINGS.send_window
        };
        let recent = self.routers.iter().flatten().any(may_send);
        let call_in_flight = self.delayed_calls.contains(&owner);
        if call_in_flight || (recent && self.mistake != Mistake::ResolveRecentClaim) {
            return None;
        }
        let ran = self.executed.contains(&owner);
        let resolution = if ran { Resolution::Ran } else { Resolution::NotRun };
        let age = u64::try_from(MIN_RESOLVE_AGE.as_millis()).unwrap();
        let audit = Write::Delete(key());
        let transaction = resolve(&row, resolution, audit, age).ok()?;
        let Write::Put(_, value) = &transaction.writes[0] else { panic!("a put expected") };
        let mut next = self.clone();
        next.left.resolves -= 1;
        next.apply(&Pending { replaced: Some(revision), value: Some(value.clone()) });
        Some(next)
    }

    fn is_quiescent(&self) -> bool {
        let finished = |r: &Option<Router>| r.as_ref().is_none_or(|r| r.machine.is_finished());
        self.routers.iter().all(finished)
            && self.delayed_writes.is_empty()
            && self.delayed_calls.is_empty()
    }
}

impl System for World {
    fn successors(&self) -> Vec<Self> {
        let mut out = Vec::new();
        for (index, router) in self.routers.iter().enumerate() {
            let idle = router.as_ref().is_none_or(|r| r.machine.is_finished());
            if idle && self.left.attempts > 0 {
                out.push(self.start(index));
            }
            if let Some(router) = router {
                self.router_steps(index, router, &mut out);
            }
        }
        if self.left.resolves > 0 {
            out.extend(self.resolved());
        }
        for at in 0..self.delayed_writes.len() {
            let mut next = self.clone();
            let write = next.delayed_writes.remove(at);
            next.apply(&write);
            out.push(next);
        }
        for at in 0..self.delayed_calls.len() {
            let mut next = self.clone();
            let nonce = next.delayed_calls.remove(at);
            next.executed.push(nonce);
            out.push(next);
        }
        out
    }

    fn violation(&self) -> Option<String> {
        if self.executed.len() > 1 {
            return Some(format!("executed twice: {:?}", self.executed));
        }
        let ran = |nonce: &u64| self.executed.contains(nonce);
        for (nonce, answer) in &self.answers {
            match answer {
                CallResult::NotRun if ran(nonce) => {
                    return Some(format!("attempt {nonce} ran, but was reported as not run"));
                }
                CallResult::Recorded(r) | CallResult::Replied(r) if !ran(&nonce_of(r)) => {
                    return Some(format!(
                        "attempt {nonce} got an answer that no execution returned"
                    ));
                }
                _ => {}
            }
        }
        let entry = self.entry();
        match entry.as_ref().map(|e| &e.state) {
            Some(State::Replied(r)) if !ran(&nonce_of(r)) => Some("wrong record".to_owned()),
            Some(State::Claimed) if self.is_quiescent() && !self.outcome_lost => {
                Some("the key stays claimed although nothing was lost".to_owned())
            }
            _ => None,
        }
    }
}

fn key() -> Key {
    Key { table: TABLE.to_owned(), key: "team/service/1".to_owned() }
}

fn reply(nonce: u64) -> Reply {
    let body = Body::Whole(nonce.to_be_bytes().to_vec());
    Reply { status: 201, headers: Vec::new(), body }
}

fn nonce_of(reply: &Reply) -> u64 {
    match &reply.body {
        Body::Whole(bytes) => u64::from_be_bytes(bytes[..].try_into().unwrap()),
        Body::Digest(_) => panic!("small bodies are stored in full"),
    }
}
