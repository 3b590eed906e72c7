//! One request of a run, from its arrival to its end.

use mimosashift::admit::Ticket;
use mimosashift::engine::Label;
use mimosashift::pipeline::{Machine, Request};
use mimosashift::time::Instant;

use super::engine::Oracle;
use super::naive::Naive;
use super::router::{Held, Sent};

/// What drives a request.
#[derive(Debug)]
pub enum Driver {
    /// It waits for admission.
    Waiting,
    /// The decision code under measure.
    Machine { machine: Box<Machine>, held: Held, ticket: Ticket },
    /// The baseline.
    Naive(Naive),
    /// It is over.
    Done,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It has not.
    Open,
    /// Every token reached its caller in time.
    Whole,
    /// It was refused before anything ran.
    Refused,
    /// It was given up after it was admitted.
    Lost,
    /// Its router's VM was lost.
    CutOff,
}

/// A request with all that is checked about it.
#[derive(Debug)]
pub struct Call {
    /// What was asked.
    pub request: Request,
    /// The router that it came to.
    pub router: usize,
    /// When it came.
    pub arrived: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
    /// What drives it.
    pub driver: Driver,
    /// The step in flight.
    pub flight: Option<Flight>,
    /// Earliest timer that is set.
    pub timer: Option<Instant>,
    /// Steps that engines ran for it.
    pub ran: u32,
    /// Tokens that its caller has.
    pub emitted: u32,
    /// When the last of them came.
    pub last_token: Instant,
    /// Longest pause between two tokens that spans the fault.
    pub pause: Option<std::time::Duration>,
    /// Whether an engine refused a step for load.
    pub overloaded: bool,
    /// Tokens of the present try.
    pub tried: u32,
    /// The answer that it must get.
    pub oracle: Oracle,
}

/// A step in flight.
#[derive(Debug)]
pub struct Flight {
    /// Number of the endpoint.
    pub to: usize,
    /// What the answer must carry.
    pub label: Label,
    /// When and what was sent.
    pub sent: Sent,
    /// When it counts as lost.
    pub until: Instant,
}

impl Call {
    /// A request that has just arrived.
    pub fn new(request: Request, router: usize, now: Instant) -> Self {
        let oracle = Oracle::new(&request.prompt);
        Self {
            request,
            router,
            arrived: now,
            ended: now,
            end: End::Open,
            driver: Driver::Waiting,
            flight: None,
            timer: None,
            ran: 0,
            emitted: 0,
            last_token: now,
            pause: None,
            overloaded: false,
            tried: 0,
            oracle,
        }
    }
}
