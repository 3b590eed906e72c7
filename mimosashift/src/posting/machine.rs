//! Decides when one try of a call is claimed, sent, recorded or withdrawn.

use smallvec::{SmallVec, smallvec};

use super::{Answer, Delivery, Entry, Reply, Request, Settings, State};
use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::time::Instant;

/// One try of a call that may not be repeated.
///
/// It has at most one commit and one send outstanding, and answers the caller
/// exactly once. Work may go on after the answer until
/// [`is_finished`](Self::is_finished). See `docs/design/postings.md`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    settings: Settings,
    request: Request,
    phase: Phase,
    /// End of the window of the current phase.
    until: Instant,
    /// When to repeat a commit of which nothing is outstanding.
    retry_at: Option<Instant>,
    answered: bool,
}

/// What the shell does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Commit and hand back the outcome through [`Machine::committed`].
    Commit {
        /// The write with its precondition.
        transaction: Transaction,
        /// Whether the same write was committed before with an unknown outcome.
        repeat: bool,
    },
    /// Send the call and hand back the result through [`Machine::delivered`].
    Send {
        /// No byte may leave from then on; the result is then
        /// [`Delivery::NotConnected`].
        before: Instant,
    },
    /// Answer the caller.
    Answer(Answer),
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 2]>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The claim is being written.
    Claiming {
        /// Revision of the released row that it takes over.
        over: Option<u64>,
        /// Whether an earlier write of the claim may have taken effect.
        uncertain: bool,
        /// Whether the try was given up.
        cancelled: bool,
    },
    /// The call is with the service.
    Sending { claim: Option<u64>, connects: u8 },
    /// The answer is being recorded.
    Recording { claim: u64, reply: Reply },
    /// The claim is being withdrawn; the call is never sent after this.
    Releasing { claim: u64 },
    /// Nothing is left to do.
    Finished,
}

impl Machine {
    /// Starts a try at `now` and returns its first actions.
    pub fn new(settings: Settings, request: Request, now: Instant) -> (Self, Actions) {
        let keyed = request.key.is_some();
        let phase = if keyed {
            Phase::Claiming { over: None, uncertain: false, cancelled: false }
        } else {
            Phase::Sending { claim: None, connects: 1 }
        };
        let until = now + settings.send_window;
        let machine = Self { settings, request, phase, until, retry_at: None, answered: false };
        let first =
            if keyed { machine.commit(false) } else { smallvec![Action::Send { before: until }] };
        (machine, first)
    }

    /// Takes in the outcome of the outstanding commit.
    pub fn committed(&mut self, outcome: &Outcome<u64>, now: Instant) -> Actions {
        match self.phase.clone() {
            Phase::Claiming { over, uncertain, cancelled } => {
                self.claimed(outcome, over, uncertain, cancelled, now)
            }
            Phase::Recording { .. } | Phase::Releasing { .. } => self.settled(outcome, now),
            Phase::Sending { .. } | Phase::Finished => Actions::new(),
        }
    }

    /// Takes in what the service did with the call.
    pub fn delivered(&mut self, delivery: Delivery, now: Instant) -> Actions {
        let Phase::Sending { claim, connects } = self.phase else {
            return Actions::new();
        };
        match delivery {
            Delivery::NotConnected if connects < self.settings.connects && now < self.until => {
                self.phase = Phase::Sending { claim, connects: connects + 1 };
                smallvec![Action::Send { before: self.until }]
            }
            Delivery::NotConnected => self.give_up(claim, now),
            Delivery::Replied(reply) => self.record(claim, reply, now),
            Delivery::Lost => self.finish(Answer::Unknown),
        }
    }

    /// Repeats a commit that is due and ends windows that have passed.
    pub fn tick(&mut self, now: Instant) -> Actions {
        let mut actions = Actions::new();
        if now >= self.until && matches!(self.phase, Phase::Claiming { .. }) {
            actions.extend(self.cancel());
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            actions.extend(self.commit(true));
        }
        actions
    }

    /// Gives the try up if it has not been sent, and says so to the caller.
    ///
    /// A claim that may have been written is still settled and withdrawn.
    pub fn cancel(&mut self) -> Actions {
        let Phase::Claiming { cancelled, .. } = &mut self.phase else {
            return Actions::new();
        };
        *cancelled = true;
        self.answer(Answer::NotRun)
    }

    /// When [`tick`](Self::tick) has something to do.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::Claiming { cancelled: false, .. } => {
                Some(self.retry_at.map_or(self.until, |at| at.min(self.until)))
            }
            _ => self.retry_at,
        }
    }

    /// Whether nothing is left to do.
    pub const fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    fn claimed(
        &mut self,
        outcome: &Outcome<u64>,
        over: Option<u64>,
        uncertain: bool,
        cancelled: bool,
        now: Instant,
    ) -> Actions {
        match outcome {
            Outcome::Done(revision) => self.own(*revision, cancelled, now),
            Outcome::NotDone(Refusal::Conflict(Some(row))) => self.found(row, cancelled, now),
            Outcome::NotDone(Refusal::Conflict(None)) if over.is_some() => {
                // The released row was cleaned up.
                self.phase = Phase::Claiming { over: None, uncertain: false, cancelled };
                if cancelled { self.finish(Answer::NotRun) } else { self.commit(false) }
            }
            Outcome::NotDone(Refusal::Conflict(None)) if !uncertain => self.finish(Answer::Unknown),
            Outcome::NotDone(_) if !uncertain => self.finish(Answer::NotRun),
            Outcome::NotDone(_) | Outcome::Unknown => {
                self.phase = Phase::Claiming { over, uncertain: true, cancelled };
                self.retry(now)
            }
        }
    }

    /// Acts on the row that stands in the way of the claim.
    fn found(&mut self, row: &Row, cancelled: bool, now: Instant) -> Actions {
        let Ok(entry) = Entry::try_from(row) else {
            return self.finish(Answer::Unknown);
        };
        let own = entry.nonce == self.request.nonce;
        match entry.state {
            State::Claimed if own => self.own(row.revision, cancelled, now),
            State::Released if cancelled || now >= self.until => self.finish(Answer::NotRun),
            State::Released => {
                let over = Some(row.revision);
                self.phase = Phase::Claiming { over, uncertain: false, cancelled };
                self.commit(false)
            }
            _ if entry.digest != self.request.digest => self.finish(Answer::Mismatch),
            State::Replied(reply) => self.finish(Answer::Recorded(reply)),
            State::Ran => self.finish(Answer::Ran),
            State::Claimed => self.finish(Answer::Unknown),
        }
    }

    fn own(&mut self, claim: u64, cancelled: bool, now: Instant) -> Actions {
        if cancelled || now >= self.until {
            return self.give_up(Some(claim), now);
        }
        self.phase = Phase::Sending { claim: Some(claim), connects: 1 };
        smallvec![Action::Send { before: self.until }]
    }

    fn give_up(&mut self, claim: Option<u64>, now: Instant) -> Actions {
        let Some(claim) = claim else {
            return self.finish(Answer::NotRun);
        };
        self.until = now + self.settings.settle_window;
        self.phase = Phase::Releasing { claim };
        let mut actions = self.answer(Answer::NotRun);
        actions.extend(self.commit(false));
        actions
    }

    fn record(&mut self, claim: Option<u64>, reply: Reply, now: Instant) -> Actions {
        let Some(claim) = claim else {
            return self.finish(Answer::Replied(reply));
        };
        self.until = now + self.settings.settle_window;
        self.phase = Phase::Recording { claim, reply: reply.to_record() };
        let mut actions = self.answer(Answer::Replied(reply));
        actions.extend(self.commit(false));
        actions
    }

    /// Ends recording or withdrawing once its write is certain.
    fn settled(&mut self, outcome: &Outcome<u64>, now: Instant) -> Actions {
        match outcome {
            Outcome::Done(_) | Outcome::NotDone(Refusal::Conflict(_) | Refusal::Invalid(_)) => {
                self.phase = Phase::Finished;
                Actions::new()
            }
            Outcome::NotDone(_) | Outcome::Unknown => self.retry(now),
        }
    }

    /// Schedules the same write again, or leaves the claim to an operator.
    fn retry(&mut self, now: Instant) -> Actions {
        let last = match self.phase {
            Phase::Claiming { .. } => self.until + self.settings.settle_window,
            _ => self.until,
        };
        if now >= last {
            return self.finish(Answer::NotRun);
        }
        self.retry_at = Some(now + self.settings.retry_pause);
        Actions::new()
    }

    fn finish(&mut self, answer: Answer) -> Actions {
        self.phase = Phase::Finished;
        self.retry_at = None;
        self.answer(answer)
    }

    fn answer(&mut self, answer: Answer) -> Actions {
        if std::mem::replace(&mut self.answered, true) {
            return Actions::new();
        }
        smallvec![Action::Answer(answer)]
    }

    /// The write of the current phase; the same each time that it is repeated.
    fn commit(&self, repeat: bool) -> Actions {
        let Some(key) = &self.request.key else {
            return Actions::new();
        };
        let (check, state) = match &self.phase {
            Phase::Claiming { over: None, .. } => (Check::Absent(key.clone()), State::Claimed),
            Phase::Claiming { over: Some(over), .. } => (revision(key, *over), State::Claimed),
            Phase::Recording { claim, reply } => {
                (revision(key, *claim), State::Replied(reply.clone()))
            }
            Phase::Releasing { claim } => (revision(key, *claim), State::Released),
            Phase::Sending { .. } | Phase::Finished => return Actions::new(),
        };
        let Request { nonce, digest, unix_ms, .. } = self.request;
        let value = Entry { nonce, digest, unix_ms, state }.encode();
        let write = Write::Put(key.clone(), value);
        let transaction = Transaction { checks: vec![check], writes: vec![write] };
        smallvec![Action::Commit { transaction, repeat }]
    }
}

fn revision(key: &Key, revision: u64) -> Check {
    Check::Revision(key.clone(), revision)
}
