//! Runs the machines of all postings of a router.

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

/// Time between two looks while nothing waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// What a caller's thread tells the driver.
pub enum Input {
    /// A new try.
    Start {
        /// Names the try within this router.
        id: u64,
        /// The try.
        request: Request,
        /// Tells the caller's thread what to do.
        steps: Sender<Step>,
    },
    /// What the service did with a call.
    Delivered {
        /// The try.
        id: u64,
        /// What the service did.
        delivery: Delivery,
    },
}

/// What a caller's thread does next.
pub enum Step {
    /// Send the call, unless this instant has passed.
    Send(Instant),
    /// Answer the caller; nothing follows.
    Answer(CallResult),
}

/// All postings that are not finished, also those already answered.
pub struct Driver {
    clock: Clock,
    log: Logger,
    tries: HashMap<u64, Try>,
    /// When each try wants to be woken.
    wakes: BTreeSet<(Instant, u64)>,
    writes: Sender<BatchMember<u64>>,
    unsettled: Arc<AtomicUsize>,
}

struct Try {
    machine: Machine,
    key: Option<String>,
    steps: Sender<Step>,
    wake: Option<Instant>,
    answer: Option<CallResult>,
}

impl Driver {
    /// A driver without postings; it keeps their number in `unsettled`.
    pub fn new(
        clock: Clock,
        log: Logger,
        writes: Sender<BatchMember<u64>>,
        unsettled: Arc<AtomicUsize>,
    ) -> Self {
        let (tries, wakes) = (HashMap::new(), BTreeSet::new());
        Self { clock, log, tries, wakes, writes, unsettled }
    }

    /// Runs until no caller's thread is left.
    pub fn run(mut self, inputs: &Receiver<Input>, outcomes: &Receiver<Committed>) {
        loop {
            select! {
                recv(inputs) -> input => match input {
                    Ok(input) => self.take(input),
                    Err(_) => return,
                },
                recv(outcomes) -> committed => match committed {
                    Ok(committed) => self.committed(&committed),
                    Err(_) => return,
                },
                default(self.pause()) => {}
            }
            self.tick();
        }
    }

    fn pause(&self) -> Duration {
        let now = self.clock.now();
        self.wakes.first().map_or(IDLE_INTERVAL, |(at, _)| at.since(now))
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Start { id, request, steps } => {
                let key = request.key.as_ref().map(|key| key.key.clone());
                let (machine, actions) = Machine::new(Settings::default(), request, now);
                self.tries.insert(id, Try { machine, key, steps, wake: None, answer: None });
                self.act(id, actions);
            }
            Input::Delivered { id, delivery } => {
                let Some(posting) = self.tries.get_mut(&id) else { return };
                let actions = posting.machine.delivered(delivery, now);
                self.act(id, actions);
            }
        }
    }

    fn committed(&mut self, committed: &Committed) {
        let Committed { id, outcome } = committed;
        let Some(posting) = self.tries.get_mut(id) else { return };
        let actions = posting.machine.committed(outcome, self.clock.now());
        if posting.machine.is_finished() {
            posting.note_settled(outcome, &self.log);
        }
        self.act(*id, actions);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        while let Some((at, id)) = self.wakes.first().copied() {
            if at > now {
                return;
            }
            self.wakes.pop_first();
            let Some(posting) = self.tries.get_mut(&id) else { continue };
            posting.wake = None;
            let actions = posting.machine.tick(now);
            self.act(id, actions);
        }
    }

    /// Carries out a step's actions and notes when the next is due.
    fn act(&mut self, id: u64, actions: Actions) {
        let Some(posting) = self.tries.get_mut(&id) else { return };
        for action in actions {
            match action {
                Action::Commit { transaction, repeat } => {
                    let _ = self.writes.send(BatchMember { tag: id, transaction, repeat });
                }
                Action::Send { before } => {
                    posting.note_claimed(&self.log);
                    let _ = posting.steps.send(Step::Send(before));
                }
                Action::Answer(answer) => {
                    posting.note_answer(&answer, &self.log);
                    posting.answer = Some(answer.clone());
                    let _ = posting.steps.send(Step::Answer(answer));
                }
            }
        }
        let wake = posting.machine.wake_at();
        if let Some(old) = std::mem::replace(&mut posting.wake, wake) {
            self.wakes.remove(&(old, id));
        }
        if posting.machine.is_finished() {
            self.tries.remove(&id);
            self.unsettled.fetch_sub(1, Ordering::AcqRel);
        } else if let Some(at) = wake {
            self.wakes.insert((at, id));
        }
    }
}

impl Try {
    fn note_claimed(&self, log: &Logger) {
        if let Some(key) = &self.key {
            emit!(log, Event::PostingClaimed, "key" => key);
        }
    }

    fn note_answer(&self, answer: &CallResult, log: &Logger) {
        let Some(key) = &self.key else { return };
        match answer {
            CallResult::Unknown => emit!(log, Event::PostingUnknown, "key" => key),
            CallResult::Mismatch => emit!(log, Event::PostingMismatch, "key" => key),
            _ => {}
        }
    }

    /// Notes how the write that follows an answer ended.
    fn note_settled(&self, outcome: &Outcome<u64>, log: &Logger) {
        let (Some(key), Some(answer)) = (&self.key, &self.answer) else { return };
        // A conflict shows that an earlier copy of the same write has landed.
        let landed =
            matches!(outcome, Outcome::Done(_) | Outcome::NotDone(Refusal::Conflict(Some(_))));
        match answer {
            CallResult::Replied(_) if landed => emit!(log, Event::PostingRecorded, "key" => key),
            CallResult::Replied(_) => emit!(log, Event::PostingUnknown, "key" => key),
            CallResult::NotRun if landed => emit!(log, Event::PostingWithdrawn, "key" => key),
            _ => {}
        }
    }
}
