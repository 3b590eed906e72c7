//! Runs the state machines of all postings of a router.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender};
use crossbeam::select;

use super::committer::Committed;
use crate::emit;
use crate::event::{Event, Logger};
use crate::node::clock::Clock;
use crate::platform::{Outcome, Refusal};
use crate::posting::batch::BatchMember;
use crate::posting::{Action, Actions, CallResult, Delivery, Machine, Request, Settings};
use crate::time::Instant;

/// Time to wait for an input while no timer is set.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Message from a handler thread to the driver.
pub enum Input {
    /// Starts an attempt.
    Start {
        /// Id of the attempt, unique within this router.
        id: u64,
        /// The request.
        request: Request,
        /// Channel to the handler thread.
        steps: Sender<Step>,
    },
    /// The result of sending a call.
    Delivered {
        /// The attempt.
        id: u64,
        /// The result.
        delivery: Delivery,
    },
}

/// The next step of a handler thread.
pub enum Step {
    /// Send the call, unless this instant has passed.
    Send(Instant),
    /// Respond to the caller; this is the last step.
    Answer(CallResult),
}

/// Runs all unfinished postings, including those whose caller has its response.
pub struct Driver {
    clock: Clock,
    log: Logger,
    attempts: HashMap<u64, Attempt>,
    /// Timers of the attempts, in order.
    timers: BTreeSet<(Instant, u64)>,
    writes: Sender<BatchMember<u64>>,
    unsettled: Arc<AtomicUsize>,
}

struct Attempt {
    machine: Machine,
    key: Option<String>,
    steps: Sender<Step>,
    timer: Option<Instant>,
    answer: Option<CallResult>,
}

impl Driver {
    /// A driver without postings; it decrements `unsettled` for each that finishes.
    pub fn new(
        clock: Clock,
        log: Logger,
        writes: Sender<BatchMember<u64>>,
        unsettled: Arc<AtomicUsize>,
    ) -> Self {
        let (attempts, timers) = (HashMap::new(), BTreeSet::new());
        Self { clock, log, attempts, timers, writes, unsettled }
    }

    /// Runs until the senders of either channel are dropped.
    pub fn run(mut self, inputs: &Receiver<Input>, outcomes: &Receiver<Committed>) {
        loop {
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => self.on_input(input),
                    Err(_) => return,
                },
                recv(outcomes) -> committed => match committed {
                    Ok(committed) => self.on_committed(&committed),
                    Err(_) => return,
                },
                default(self.time_to_next_timer()) => {}
            }
            self.tick();
        }
    }

    fn time_to_next_timer(&self) -> Duration {
        let now = self.clock.now();
        self.timers.first().map_or(IDLE_INTERVAL, |(at, _)| at.since(now))
    }

    fn on_input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Start { id, request, steps } => {
                let key = request.key.as_ref().map(|key| key.key.clone());
                let (machine, actions) = Machine::new(Settings::default(), request, now);
                self.attempts
                    .insert(id, Attempt { machine, key, steps, timer: None, answer: None });
                self.perform(id, actions);
            }
            Input::Delivered { id, delivery } => {
                let Some(attempt) = self.attempts.get_mut(&id) else { return };
                let actions = attempt.machine.delivered(delivery, now);
                self.perform(id, actions);
            }
        }
    }

    fn on_committed(&mut self, committed: &Committed) {
        let Committed { id, outcome } = committed;
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let actions = attempt.machine.committed(outcome, self.clock.now());
        if attempt.machine.is_finished() {
            attempt.log_settled(outcome, &self.log);
        }
        self.perform(*id, actions);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            attempt.timer = None;
            let actions = attempt.machine.tick(now);
            self.perform(id, actions);
        }
    }

    /// Performs the actions of a state machine and updates its timer.
    fn perform(&mut self, id: u64, actions: Actions) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        for action in actions {
            match action {
                Action::Commit { transaction, repeat } => {
                    let _ = self.writes.send(BatchMember { tag: id, transaction, repeat });
                }
                Action::Send { before } => {
                    attempt.log_claimed(&self.log);
                    let _ = attempt.steps.send(Step::Send(before));
                }
                Action::Answer(answer) => {
                    attempt.log_answer(&answer, &self.log);
                    attempt.answer = Some(answer.clone());
                    let _ = attempt.steps.send(Step::Answer(answer));
                }
            }
        }
        let timer = attempt.machine.wake_at();
        if let Some(old) = std::mem::replace(&mut attempt.timer, timer) {
            self.timers.remove(&(old, id));
        }
        if attempt.machine.is_finished() {
            self.attempts.remove(&id);
            self.unsettled.fetch_sub(1, Ordering::AcqRel);
        } else if let Some(at) = timer {
            self.timers.insert((at, id));
        }
    }
}

impl Attempt {
    fn log_claimed(&self, log: &Logger) {
        if let Some(key) = &self.key {
            emit!(log, Event::PostingClaimed, "key" => key);
        }
    }

    fn log_answer(&self, answer: &CallResult, log: &Logger) {
        let Some(key) = &self.key else { return };
        match answer {
            CallResult::Unknown => emit!(log, Event::PostingUnknown, "key" => key),
            CallResult::Mismatch => emit!(log, Event::PostingMismatch, "key" => key),
            _ => {}
        }
    }

    /// Logs the result of the write that follows a response.
    fn log_settled(&self, outcome: &Outcome<u64>, log: &Logger) {
        let (Some(key), Some(answer)) = (&self.key, &self.answer) else { return };
        // A conflict shows that an earlier copy of the same write was committed.
        let was_committed =
            matches!(outcome, Outcome::Done(_) | Outcome::NotDone(Refusal::Conflict(Some(_))));
        match answer {
            CallResult::Replied(_) if was_committed => {
                emit!(log, Event::PostingRecorded, "key" => key)
            }
            CallResult::Replied(_) => emit!(log, Event::PostingUnknown, "key" => key),
            CallResult::NotRun if was_committed => {
                emit!(log, Event::PostingWithdrawn, "key" => key)
            }
            _ => {}
        }
    }
}
