//! Group commit: combines the writes of many calls into one transaction.
//!
//! See "Group commit" in `docs/design/postings.md`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::time::Instant;

/// Maximum number of writes in one batch.
pub const MAX_BATCH_MEMBERS: usize = 64;

/// Maximum time that a write waits to be grouped with others while the write
/// budget allows a commit.
pub const LINGER: Duration = Duration::from_millis(3);

/// The write of one call; `T` identifies the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchMember<T> {
    /// Identifies the call that the write belongs to.
    pub tag: T,
    /// The write with its precondition.
    pub transaction: Transaction,
    /// Whether the same write was committed before with an unknown outcome.
    pub repeat: bool,
}

/// Writes that wait for the next batch.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    waiting: VecDeque<(Instant, BatchMember<T>)>,
    max_members: usize,
    linger: Duration,
}

/// Writes that are committed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    members: Vec<BatchMember<T>>,
    /// Whether a transaction with all members may have taken effect.
    may_have_committed: bool,
    retries_left: u8,
}

/// Result of a grouped commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchOutcome<T> {
    /// Outcomes of the members that are finished.
    pub outcomes: Vec<(T, Outcome<u64>)>,
    /// Batches that still have to be committed.
    pub remaining: Vec<Batch<T>>,
}

impl<T> Queue<T> {
    /// Maximum number of retries of a batch after an unknown outcome.
    const MAX_RETRIES: u8 = 2;

    /// Creates a queue that groups up to `max_members`, waiting at most `linger`.
    pub const fn new(max_members: usize, linger: Duration) -> Self {
        Self { waiting: VecDeque::new(), max_members, linger }
    }

    /// Adds a write.
    pub fn push(&mut self, member: BatchMember<T>, now: Instant) {
        self.waiting.push_back((now, member));
    }

    /// When the next batch is due.
    pub fn due_at(&self) -> Option<Instant> {
        let (since, _) = self.waiting.front()?;
        Some(if self.waiting.len() >= self.max_members { *since } else { *since + self.linger })
    }

    /// Takes the next batch if it is due.
    ///
    /// The caller takes one write from the write budget first. While none is
    /// available, writes accumulate here, so batches grow when the budget is used up.
    ///
    /// Two writes of the same row never share a batch: both preconditions
    /// would hold although only one of the writes may succeed.
    pub fn take(&mut self, now: Instant) -> Option<Batch<T>> {
        if self.due_at()? > now {
            return None;
        }
        let mut members: Vec<BatchMember<T>> = Vec::new();
        let mut deferred = VecDeque::new();
        for (since, member) in self.waiting.drain(..) {
            let shares_row = members.iter().any(|m| m.shares_row(&member));
            if shares_row || members.len() >= self.max_members {
                deferred.push_back((since, member));
            } else {
                members.push(member);
            }
        }
        self.waiting = deferred;
        Some(Batch { members, may_have_committed: false, retries_left: Self::MAX_RETRIES })
    }
}

impl<T> BatchMember<T> {
    fn shares_row(&self, other: &Self) -> bool {
        self.rows().any(|key| other.rows().any(|k| k == key))
    }

    fn rows(&self) -> impl Iterator<Item = &Key> {
        let checks = self.transaction.checks.iter().map(|check| match check {
            Check::Absent(key) | Check::Revision(key, _) => key,
        });
        let writes = self.transaction.writes.iter().map(|write| match write {
            Write::Put(key, _) | Write::Delete(key) => key,
        });
        checks.chain(writes)
    }

    /// Whether `row` holds the value that this member writes.
    fn matches_written_value(&self, row: &Row) -> bool {
        let puts =
            |write: &Write| matches!(write, Write::Put(k, v) if *k == row.key && *v == row.value);
        self.transaction.writes.iter().any(puts)
    }
}

impl<T> Batch<T> {
    /// The grouped transaction.
    pub fn transaction(&self) -> Transaction {
        let mut grouped = Transaction::default();
        for member in &self.members {
            grouped.checks.extend_from_slice(&member.transaction.checks);
            grouped.writes.extend_from_slice(&member.transaction.writes);
        }
        grouped
    }

    /// Number of members.
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Assigns the outcome of the grouped commit to its members, or returns the
    /// batch, whole or in halves, to be committed again.
    pub fn settle(mut self, outcome: Outcome<u64>) -> BatchOutcome<T> {
        match outcome {
            Outcome::NotDone(Refusal::Conflict(Some(row))) => self.settle_conflict(row),
            Outcome::NotDone(Refusal::Conflict(None) | Refusal::Invalid(_))
                if self.members.len() > 1 =>
            {
                let second = self.members.split_off(self.members.len() / 2);
                let second = Self { members: second, ..self };
                BatchOutcome { outcomes: Vec::new(), remaining: vec![self, second] }
            }
            Outcome::Done(_) => self.settle_all(&outcome),
            Outcome::NotDone(_) if !self.may_have_committed => self.settle_all(&outcome),
            Outcome::NotDone(_) | Outcome::Unknown if self.retries_left == 0 => {
                self.settle_all(&Outcome::Unknown)
            }
            Outcome::NotDone(_) | Outcome::Unknown => {
                self.retries_left -= 1;
                self.may_have_committed = true;
                BatchOutcome { outcomes: Vec::new(), remaining: vec![self] }
            }
        }
    }

    /// Removes the conflicting member, so that the others can be committed.
    ///
    /// A transaction is atomic: when the row shows that an earlier commit of
    /// this batch wrote it, that commit wrote the rows of all members.
    fn settle_conflict(mut self, row: Row) -> BatchOutcome<T> {
        let conflicts = |m: &BatchMember<T>| m.rows().any(|key| *key == row.key);
        let Some(index) = self.members.iter().position(conflicts) else {
            return self.settle_all(&Outcome::Unknown);
        };
        let matches_written_value = self.members[index].matches_written_value(&row);
        if matches_written_value && self.may_have_committed && !self.members[index].repeat {
            return self.settle_all(&Outcome::Done(row.revision));
        }
        let member = self.members.remove(index);
        // Another value in the row shows that no earlier commit of this batch took
        // effect.
        self.may_have_committed &= matches_written_value;
        let outcome = Outcome::NotDone(Refusal::Conflict(Some(row)));
        let remaining = if self.members.is_empty() { Vec::new() } else { vec![self] };
        BatchOutcome { outcomes: vec![(member.tag, outcome)], remaining }
    }

    fn settle_all(self, outcome: &Outcome<u64>) -> BatchOutcome<T> {
        let outcomes = self.members.into_iter().map(|m| (m.tag, outcome.clone())).collect();
        BatchOutcome { outcomes, remaining: Vec::new() }
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new(MAX_BATCH_MEMBERS, LINGER)
    }
}
