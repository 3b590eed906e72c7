//! Requests that wait for engine memory, the most urgent first.

use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;

use mimosashift::admit::pressure::{MemoryPressure, Ticket};
use mimosashift::deployment::Rank;
use mimosashift::time::Instant;
use tokio::sync::Notify;

/// The waiting requests, and recent admissions and refusals.
#[derive(Default)]
pub struct Waiting {
    pressure: RefCell<MemoryPressure>,
    /// What wakes each request.
    wakers: RefCell<HashMap<Ticket, Rc<Notify>>>,
}

/// The place of a request that waits until it is dropped. The next one then tries.
pub struct Place<'a> {
    waiting: &'a Waiting,
    ticket: Ticket,
    released: Rc<Notify>,
}

impl Waiting {
    /// Lets a request wait if it is likely to be served in time.
    pub fn begin(&self, rank: Rank, now: Instant) -> Option<Place<'_>> {
        let ticket = self.pressure.borrow_mut().begin_wait(rank, now)?;
        let released = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(ticket, released.clone());
        Some(Place { waiting: self, ticket, released })
    }

    /// Recent admissions and refusals, and the number of requests that wait.
    pub fn pressure(&self) -> RefMut<'_, MemoryPressure> {
        self.pressure.borrow_mut()
    }

    /// Wakes the most urgent request, since memory may be free. The others follow in turn.
    pub fn wake(&self) {
        self.wake_one(self.pressure.borrow().first());
    }

    fn wake_one(&self, ticket: Option<Ticket>) {
        let wakers = self.wakers.borrow();
        if let Some(released) = ticket.and_then(|ticket| wakers.get(&ticket)) {
            released.notify_one();
        }
    }
}

impl Place<'_> {
    /// Waits until it is this request's turn to look for memory.
    pub async fn turn(&self) {
        self.released.notified().await;
    }

    /// Lets the next request look for memory, since this one has found none.
    pub fn pass_on(&self) {
        self.waiting.wake_one(self.waiting.pressure.borrow().after(&self.ticket));
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.waiting.pressure.borrow_mut().end_wait(&self.ticket);
        self.waiting.wakers.borrow_mut().remove(&self.ticket);
        self.pass_on();
    }
}
