//! Blocks each request's thread until admission dispatches the request.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use crossbeam::channel::{self, RecvTimeoutError, Sender};

use super::clock::Clock;
use crate::admit::share::Report;
use crate::admit::{Action, Admission, Bounds, Refusal, Request, Ticket, Usage};

/// Time between two checks whether the caller of a waiting request is connected.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a request was not run at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Admission refused it.
    Refused {
        /// The reason.
        refusal: Refusal,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The caller disconnected while the request waited.
    Disconnected,
}

/// Admission, with the threads that wait for its decisions.
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

/// Permission to run one request; dropping it releases the slot.
pub struct Permit<'a> {
    gate: &'a Gate,
    ticket: Ticket,
    /// What the request used; set at its end.
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

    /// Waits until the request may run; `is_disconnected` tells whether its
    /// caller has disconnected.
    pub fn admit(
        &self,
        request: &Request<'_>,
        is_disconnected: impl Fn() -> bool,
    ) -> Result<Permit<'_>, Denied> {
        let (sender, decision) = channel::bounded(1);
        let ticket = self.apply(|admission, waiting, actions| {
            let ticket = admission.submit(self.clock.now(), request, actions);
            waiting.insert(ticket, sender);
            ticket
        });
        loop {
            match decision.recv_timeout(POLL_INTERVAL) {
                Ok(Ok(())) => return Ok(self.permit(ticket)),
                Ok(Err(denied)) => return Err(denied),
                Err(RecvTimeoutError::Disconnected) => {
                    unreachable!(
                        "the sender of a waiting request is dropped only after its decision"
                    )
                }
                Err(RecvTimeoutError::Timeout)
                    if is_disconnected() && self.cancel_queued(ticket) =>
                {
                    return Err(Denied::Disconnected);
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Refuses requests whose deadline can no longer be met; to be called often.
    pub fn poll(&self) {
        self.apply(|admission, _, actions| admission.poll(self.clock.now(), actions));
    }

    /// The demand to report to each of `peers` routers; removes idle teams
    /// and silent peers.
    pub fn report(&self, peers: usize) -> Report {
        let now = self.clock.now();
        self.lock().admission.report(now, peers)
    }

    /// Calls `act` with the admission state, under its lock.
    pub fn with<T>(&self, act: impl FnOnce(&mut Admission) -> T) -> T {
        act(&mut self.lock().admission)
    }

    fn permit(&self, ticket: Ticket) -> Permit<'_> {
        Permit { gate: self, ticket, usage: Usage { tokens: 0, overloaded: false } }
    }

    /// Cancels a queued request; returns false if it has already been decided.
    fn cancel_queued(&self, ticket: Ticket) -> bool {
        let mut state = self.lock();
        let queued = state.admission.cancel(ticket);
        if queued {
            state.waiting.remove(&ticket);
        }
        queued
    }

    /// Applies one input to admission and sends its decisions to the waiting threads.
    fn apply<T>(
        &self,
        input: impl FnOnce(
            &mut Admission,
            &mut HashMap<Ticket, Sender<Result<(), Denied>>>,
            &mut Vec<Action>,
        ) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let mut state = self.lock();
        let State { admission, waiting } = &mut *state;
        let result = input(admission, waiting, &mut actions);
        for action in actions {
            let (ticket, decision) = match action {
                Action::Dispatch(ticket) => (ticket, Ok(())),
                Action::Refuse { ticket, refusal, retry_after } => {
                    (ticket, Err(Denied::Refused { refusal, retry_after }))
                }
            };
            if let Some(waiter) = waiting.remove(&ticket) {
                waiter.send(decision).expect("a waiting thread keeps its receiver");
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
        self.gate.apply(|admission, _, actions| {
            admission.release(now, self.ticket, self.usage, actions)
        });
    }
}
