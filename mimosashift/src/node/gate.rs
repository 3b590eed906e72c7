//! Holds each request's thread until admission lets it run.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use crossbeam::channel::{self, RecvTimeoutError, Sender};

use super::clock::Clock;
use crate::admit::share::Report;
use crate::admit::{Action, Admission, Bounds, Refusal, Request, Ticket, Usage};

/// Time between two looks whether a waiting caller is still there.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a request does not run; none of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Admission refused it.
    Refused {
        /// Why.
        refusal: Refusal,
        /// When another try may succeed.
        retry_after: Duration,
    },
    /// The caller went away while it waited.
    Gone,
}

/// The admission with the threads that wait for it.
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

/// The right to run one request; dropping it gives the slot back.
pub struct Permit<'a> {
    gate: &'a Gate,
    ticket: Ticket,
    /// What the request took, known at its end.
    pub usage: Usage,
}

struct State {
    admission: Admission,
    waiting: HashMap<Ticket, Sender<Result<(), Denied>>>,
}

impl Gate {
    /// A gate without requests.
    pub fn new(bounds: Bounds, clock: Clock) -> Self {
        let admission = Admission::new(bounds);
        Self { clock, state: Mutex::new(State { admission, waiting: HashMap::new() }) }
    }

    /// Waits until the request may run; `is_gone` says whether its caller has
    /// left.
    pub fn enter(
        &self,
        request: &Request<'_>,
        is_disconnected: impl Fn() -> bool,
    ) -> Result<Permit<'_>, Denied> {
        let (sender, verdict) = channel::bounded(1);
        let ticket = self.step(|admission, waiting, out| {
            let ticket = admission.submit(self.clock.now(), request, out);
            waiting.insert(ticket, sender);
            ticket
        });
        loop {
            match verdict.recv_timeout(LOOK_INTERVAL) {
                Ok(Ok(())) => return Ok(self.permit(ticket)),
                Ok(Err(denied)) => return Err(denied),
                Err(RecvTimeoutError::Disconnected) => {
                    unreachable!("a waiting request keeps its sender until its verdict")
                }
                Err(RecvTimeoutError::Timeout) if is_disconnected() && self.withdraw(ticket) => {
                    return Err(Denied::Gone);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Refuses what has become too late; to be called often.
    pub fn poll(&self) {
        self.step(|admission, _, out| admission.poll(self.clock.now(), out));
    }

    /// The demand to report to each of `peers` routers; forgets idle teams
    /// and silent peers.
    pub fn report(&self, peers: usize) -> Report {
        let now = self.clock.now();
        self.lock().admission.report(now, peers)
    }

    /// Reads or changes what is shared with other routers.
    pub fn with<T>(&self, act: impl FnOnce(&mut Admission) -> T) -> T {
        act(&mut self.lock().admission)
    }

    fn permit(&self, ticket: Ticket) -> Permit<'_> {
        Permit { gate: self, ticket, usage: Usage { tokens: 0, overloaded: false } }
    }

    /// Takes a queued request back; false when its verdict is on the way.
    fn withdraw(&self, ticket: Ticket) -> bool {
        let mut state = self.lock();
        let queued = state.admission.cancel(ticket);
        if queued {
            state.waiting.remove(&ticket);
        }
        queued
    }

    /// Runs one input and passes the verdicts on.
    fn step<T>(
        &self,
        input: impl FnOnce(
            &mut Admission,
            &mut HashMap<Ticket, Sender<Result<(), Denied>>>,
            &mut Vec<Action>,
        ) -> T,
    ) -> T {
        let mut out = Vec::new();
        let mut state = self.lock();
        let State { admission, waiting } = &mut *state;
        let result = input(admission, waiting, &mut out);
        for action in out {
            let (ticket, verdict) = match action {
                Action::Dispatch(ticket) => (ticket, Ok(())),
                Action::Refuse { ticket, refusal, retry_after } => {
                    (ticket, Err(Denied::Refused { refusal, retry_after }))
                }
            };
            if let Some(waiter) = waiting.remove(&ticket) {
                waiter.send(verdict).expect("a waiting thread holds its receiver");
            }
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        self.gate.step(|admission, _, out| admission.release(now, self.ticket, self.usage, out));
    }
}
