//! Commits the writes of many calls as one transaction.
//!
//! See "Group commit" in `docs/design/postings.md`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::time::Instant;

/// One call's write; `T` tells whose it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<T> {
    /// Whose write it is.
    pub tag: T,
    /// The write with its precondition.
    pub transaction: Transaction,
    /// Whether the same write was committed before with an unknown outcome.
    pub repeat: bool,
}

/// Writes that wait to be grouped.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    waiting: VecDeque<(Instant, Member<T>)>,
    max_members: usize,
    linger: Duration,
}

/// Writes that are committed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch<T> {
    members: Vec<Member<T>>,
    /// Whether a transaction with all members may have taken effect.
    uncertain: bool,
    repeats_left: u8,
}

/// What a grouped commit came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled<T> {
    /// Outcomes of single members.
    pub outcomes: Vec<(T, Outcome<u64>)>,
    /// Batches to commit next.
    pub rest: Vec<Batch<T>>,
}

impl<T> Queue<T> {
    /// Times that a batch is repeated after an unknown outcome.
    const REPEATS: u8 = 2;

    /// A queue that groups up to `max_members`, waiting at most `linger`.
    pub const fn new(max_members: usize, linger: Duration) -> Self {
        Self { waiting: VecDeque::new(), max_members, linger }
    }

    /// Adds a write.
    pub fn push(&mut self, member: Member<T>, now: Instant) {
        self.waiting.push_back((now, member));
    }

    /// When the next batch is due.
    pub fn due_at(&self) -> Option<Instant> {
        let (since, _) = self.waiting.front()?;
        Some(if self.waiting.len() >= self.max_members { *since } else { *since + self.linger })
    }

    /// Takes the next batch if it is due.
    ///
    /// Two writes of the same row never share a batch: both preconditions
    /// would hold although only one may win.
    pub fn take(&mut self, now: Instant) -> Option<Batch<T>> {
        if self.due_at()? > now {
            return None;
        }
        let mut members: Vec<Member<T>> = Vec::new();
        let mut kept = VecDeque::new();
        for (since, member) in self.waiting.drain(..) {
            let shares_row = members.iter().any(|m| m.shares_row(&member));
            if shares_row || members.len() >= self.max_members {
                kept.push_back((since, member));
            } else {
                members.push(member);
            }
        }
        self.waiting = kept;
        Some(Batch { members, uncertain: false, repeats_left: Self::REPEATS })
    }
}

impl<T> Member<T> {
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

    /// Whether `row` is as this member writes it.
    fn wrote(&self, row: &Row) -> bool {
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

    /// Divides the outcome of the grouped commit among the members.
    pub fn settle(mut self, outcome: Outcome<u64>) -> Settled<T> {
        match outcome {
            Outcome::NotDone(Refusal::Conflict(Some(row))) => self.settle_conflict(row),
            Outcome::NotDone(Refusal::Conflict(None) | Refusal::Invalid(_))
                if self.members.len() > 1 =>
            {
                let second = self.members.split_off(self.members.len() / 2);
                let second = Self { members: second, ..self.empty() };
                Settled { outcomes: Vec::new(), rest: vec![self, second] }
            }
            Outcome::Done(_) | Outcome::NotDone(Refusal::Conflict(None) | Refusal::Invalid(_)) => {
                self.settle_all(&outcome)
            }
            Outcome::NotDone(_) if !self.uncertain => self.settle_all(&outcome),
            Outcome::NotDone(_) | Outcome::Unknown if self.repeats_left == 0 => {
                self.settle_all(&Outcome::Unknown)
            }
            Outcome::NotDone(_) | Outcome::Unknown => {
                self.repeats_left -= 1;
                self.uncertain = true;
                Settled { outcomes: Vec::new(), rest: vec![self] }
            }
        }
    }

    /// Takes the conflicting member out, so that the others can go on.
    ///
    /// A transaction is atomic: when the row shows that an earlier commit of
    /// this batch wrote it, that commit wrote the rows of all members.
    fn settle_conflict(mut self, row: Row) -> Settled<T> {
        let in_way = |m: &Member<T>| m.rows().any(|key| *key == row.key);
        let Some(index) = self.members.iter().position(in_way) else {
            return self.settle_all(&Outcome::Unknown);
        };
        let wrote = self.members[index].wrote(&row);
        if wrote && self.uncertain && !self.members[index].repeat {
            return self.settle_all(&Outcome::Done(row.revision));
        }
        let member = self.members.remove(index);
        self.uncertain &= wrote;
        let outcome = Outcome::NotDone(Refusal::Conflict(Some(row)));
        let rest = if self.members.is_empty() { Vec::new() } else { vec![self] };
        Settled { outcomes: vec![(member.tag, outcome)], rest }
    }

    fn settle_all(self, outcome: &Outcome<u64>) -> Settled<T> {
        let outcomes = self.members.into_iter().map(|m| (m.tag, outcome.clone())).collect();
        Settled { outcomes, rest: Vec::new() }
    }

    const fn empty(&self) -> Self {
        Self { members: Vec::new(), uncertain: self.uncertain, repeats_left: self.repeats_left }
    }
}
