//! State machine of one attempt at a call: claim, send, then record or release.

use smallvec::{SmallVec, smallvec};

use super::{CallResult, Delivery, Entry, Reply, Request, Settings, State};
use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::time::Instant;

/// Maximum number of times that the pause between retries of a write doubles.
const MAX_RETRY_PAUSE_DOUBLINGS: u8 = 6;

/// One attempt at a call that must not be repeated.
///
/// It has at most one commit and one send outstanding, and answers the caller
/// exactly once. Work may continue after the answer until
/// [`is_finished`](Self::is_finished). See `docs/design/postings.md`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    settings: Settings,
    request: Request,
    phase: Phase,
    /// When the call may no longer be sent (claiming, sending), or when retries of
    /// the write stop (recording, releasing).
    deadline: Instant,
    /// When to retry the commit; no commit is outstanding until then.
    retry_at: Option<Instant>,
    /// Number of retries of the claim, or of the write that records or releases it,
    /// capped at `MAX_RETRY_PAUSE_DOUBLINGS + 1`.
    retries: u8,
    answered: bool,
}

/// What the caller of the machine has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Commit and return the outcome through [`Machine::committed`].
    Commit {
        /// The write with its precondition.
        transaction: Transaction,
        /// Whether the same write was committed before with an unknown outcome.
        repeat: bool,
    },
    /// Send the call and return the result through [`Machine::delivered`].
    Send {
        /// No byte may be sent at or after this time; the result is
        /// [`Delivery::NotConnected`] instead.
        before: Instant,
    },
    /// Answer the caller.
    Answer(CallResult),
}

/// The actions after one input.
pub type Actions = SmallVec<[Action; 2]>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The claim is being written.
    Claiming {
        /// Revision of the released row that the claim replaces.
        replaced: Option<u64>,
        /// Whether an earlier write of the claim may have taken effect.
        uncertain: bool,
        /// Whether the attempt was cancelled.
        cancelled: bool,
    },
    /// The call is being sent to the service.
    Sending { claim_revision: Option<u64>, connect_attempts: u8 },
    /// The reply is being recorded.
    Recording { claim_revision: u64, reply: Reply },
    /// The claim is being released; the call is not sent any more.
    Releasing { claim_revision: u64 },
    /// Nothing is left to do.
    Finished,
}

impl Machine {
    /// Starts an attempt at `now` and returns its first actions.
    pub fn new(settings: Settings, request: Request, now: Instant) -> (Self, Actions) {
        let has_key = request.key.is_some();
        let phase = if has_key {
            Phase::Claiming { replaced: None, uncertain: false, cancelled: false }
        } else {
            Phase::Sending { claim_revision: None, connect_attempts: 1 }
        };
        let deadline = now + settings.send_window;
        let machine = Self {
            settings,
            request,
            phase,
            deadline,
            retry_at: None,
            retries: 0,
            answered: false,
        };
        let first_actions = if has_key {
            machine.commit_actions(false)
        } else {
            smallvec![Action::Send { before: deadline }]
        };
        (machine, first_actions)
    }

    /// Handles the outcome of the outstanding commit.
    pub fn committed(&mut self, outcome: &Outcome<u64>, now: Instant) -> Actions {
        match self.phase.clone() {
            Phase::Claiming { replaced, uncertain, cancelled } => {
                self.on_claim_outcome(outcome, replaced, uncertain, cancelled, now)
            }
            Phase::Recording { .. } | Phase::Releasing { .. } => {
                self.on_record_or_release_outcome(outcome, now)
            }
            Phase::Sending { .. } | Phase::Finished => Actions::new(),
        }
    }

    /// Handles the result of sending the call.
    pub fn delivered(&mut self, delivery: Delivery, now: Instant) -> Actions {
        let Phase::Sending { claim_revision, connect_attempts } = self.phase else {
            return Actions::new();
        };
        match delivery {
            Delivery::NotConnected
                if connect_attempts < self.settings.max_connect_attempts && now < self.deadline =>
            {
                self.phase =
                    Phase::Sending { claim_revision, connect_attempts: connect_attempts + 1 };
                smallvec![Action::Send { before: self.deadline }]
            }
            Delivery::NotConnected => self.release_claim(claim_revision, now),
            Delivery::Replied(reply) => self.record(claim_revision, reply, now),
            Delivery::Lost => self.finish(CallResult::Unknown),
        }
    }

    /// Retries the commit if its pause has passed. Cancels the attempt if the claim
    /// was not confirmed by the deadline.
    pub fn tick(&mut self, now: Instant) -> Actions {
        let mut actions = Actions::new();
        if now >= self.deadline && matches!(self.phase, Phase::Claiming { .. }) {
            actions.extend(self.cancel());
        }
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            actions.extend(self.commit_actions(true));
        }
        actions
    }

    /// Cancels the attempt if it has not been sent, and tells the caller so.
    ///
    /// A claim whose write may have taken effect is still released.
    pub fn cancel(&mut self) -> Actions {
        let Phase::Claiming { cancelled, .. } = &mut self.phase else {
            return Actions::new();
        };
        *cancelled = true;
        self.answer(CallResult::NotRun)
    }

    /// When [`tick`](Self::tick) must be called next, or `None` if no timer is set.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::Claiming { cancelled: false, .. } => {
                Some(self.retry_at.map_or(self.deadline, |at| at.min(self.deadline)))
            }
            _ => self.retry_at,
        }
    }

    /// Whether nothing is left to do.
    pub const fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    fn on_claim_outcome(
        &mut self,
        outcome: &Outcome<u64>,
        replaced: Option<u64>,
        uncertain: bool,
        cancelled: bool,
        now: Instant,
    ) -> Actions {
        match outcome {
            Outcome::Done(revision) => self.on_claim_written(*revision, cancelled, now),
            Outcome::NotDone(Refusal::Conflict(Some(row))) => {
                self.on_claim_conflict(row, cancelled, now)
            }
            Outcome::NotDone(Refusal::Conflict(None)) if replaced.is_some() => {
                // The released row was deleted by the clean-up.
                self.phase = Phase::Claiming { replaced: None, uncertain: false, cancelled };
                if cancelled { self.finish(CallResult::NotRun) } else { self.commit_actions(false) }
            }
            Outcome::NotDone(Refusal::Conflict(None)) if !uncertain => {
                self.finish(CallResult::Unknown)
            }
            Outcome::NotDone(_) if !uncertain => self.finish(CallResult::NotRun),
            Outcome::NotDone(_) | Outcome::Unknown => {
                self.phase = Phase::Claiming { replaced, uncertain: true, cancelled };
                self.schedule_retry(now)
            }
        }
    }

    /// Handles the existing row that the claim conflicts with.
    fn on_claim_conflict(&mut self, row: &Row, cancelled: bool, now: Instant) -> Actions {
        let Ok(entry) = Entry::try_from(row) else {
            return self.finish(CallResult::Unknown);
        };
        let is_own = entry.nonce == self.request.nonce;
        match entry.state {
            State::Claimed if is_own => self.on_claim_written(row.revision, cancelled, now),
            State::Released if cancelled || now >= self.deadline => self.finish(CallResult::NotRun),
            State::Released => {
                let replaced = Some(row.revision);
                self.phase = Phase::Claiming { replaced, uncertain: false, cancelled };
                self.commit_actions(false)
            }
            _ if entry.digest != self.request.digest => self.finish(CallResult::Mismatch),
            State::Replied(reply) => self.finish(CallResult::Recorded(reply)),
            State::Ran => self.finish(CallResult::Ran),
            State::Claimed => self.finish(CallResult::Unknown),
        }
    }

    fn on_claim_written(&mut self, claim_revision: u64, cancelled: bool, now: Instant) -> Actions {
        if cancelled || now >= self.deadline {
            return self.release_claim(Some(claim_revision), now);
        }
        self.phase = Phase::Sending { claim_revision: Some(claim_revision), connect_attempts: 1 };
        smallvec![Action::Send { before: self.deadline }]
    }

    /// Releases the claim of a call that was not sent; finishes if there is none.
    fn release_claim(&mut self, claim_revision: Option<u64>, now: Instant) -> Actions {
        let Some(claim_revision) = claim_revision else {
            return self.finish(CallResult::NotRun);
        };
        self.deadline = now + self.settings.settle_window;
        self.retries = 0;
        self.phase = Phase::Releasing { claim_revision };
        let mut actions = self.answer(CallResult::NotRun);
        actions.extend(self.commit_actions(false));
        actions
    }

    fn record(&mut self, claim_revision: Option<u64>, reply: Reply, now: Instant) -> Actions {
        let Some(claim_revision) = claim_revision else {
            return self.finish(CallResult::Replied(reply));
        };
        self.deadline = now + self.settings.settle_window;
        self.retries = 0;
        self.phase = Phase::Recording { claim_revision, reply: reply.to_record() };
        let mut actions = self.answer(CallResult::Replied(reply));
        actions.extend(self.commit_actions(false));
        actions
    }

    /// Finishes recording or releasing once the outcome of its write is known.
    fn on_record_or_release_outcome(&mut self, outcome: &Outcome<u64>, now: Instant) -> Actions {
        match outcome {
            Outcome::Done(_) | Outcome::NotDone(Refusal::Conflict(_) | Refusal::Invalid(_)) => {
                self.phase = Phase::Finished;
                Actions::new()
            }
            Outcome::NotDone(_) | Outcome::Unknown => self.schedule_retry(now),
        }
    }

    /// Schedules a retry of the same write. Finishes once the retry time has passed;
    /// a row that is still claimed is left for an operator to resolve.
    fn schedule_retry(&mut self, now: Instant) -> Actions {
        let retry_deadline = match self.phase {
            Phase::Claiming { .. } => self.deadline + self.settings.settle_window,
            _ => self.deadline,
        };
        if now >= retry_deadline {
            return self.finish(CallResult::NotRun);
        }
        let doublings = self.retries.min(MAX_RETRY_PAUSE_DOUBLINGS);
        self.retry_at = Some(now + self.settings.retry_pause * (1 << doublings));
        self.retries = doublings + 1;
        Actions::new()
    }

    fn finish(&mut self, answer: CallResult) -> Actions {
        self.phase = Phase::Finished;
        self.retry_at = None;
        self.answer(answer)
    }

    fn answer(&mut self, answer: CallResult) -> Actions {
        if std::mem::replace(&mut self.answered, true) {
            return Actions::new();
        }
        smallvec![Action::Answer(answer)]
    }

    /// The write of the current phase; every retry has the same content.
    fn commit_actions(&self, repeat: bool) -> Actions {
        let Some(key) = &self.request.key else {
            return Actions::new();
        };
        let (check, state) = match &self.phase {
            Phase::Claiming { replaced: None, .. } => (Check::Absent(key.clone()), State::Claimed),
            Phase::Claiming { replaced: Some(replaced), .. } => {
                (revision_check(key, *replaced), State::Claimed)
            }
            Phase::Recording { claim_revision, reply } => {
                (revision_check(key, *claim_revision), State::Replied(reply.clone()))
            }
            Phase::Releasing { claim_revision } => {
                (revision_check(key, *claim_revision), State::Released)
            }
            Phase::Sending { .. } | Phase::Finished => return Actions::new(),
        };
        let Request { nonce, digest, unix_ms, .. } = self.request;
        let value = Entry { nonce, digest, unix_ms, state }.encode();
        let write = Write::Put(key.clone(), value);
        let transaction = Transaction { checks: vec![check], writes: vec![write] };
        smallvec![Action::Commit { transaction, repeat }]
    }
}

fn revision_check(key: &Key, revision: u64) -> Check {
    Check::Revision(key.clone(), revision)
}
