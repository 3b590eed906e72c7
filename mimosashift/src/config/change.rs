//! Commits one change.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Error;
use super::call::{Call, Response, StateMachine, Step};
use super::catchup::{CatchUp, Progress};
use super::record::{Record, with_truncated_digests};
use super::row;
use super::state::{State, Version};
use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::resource::{Kind, Name, Resource, Spec};

/// Maximum number of transactions sent for one change.
const MAX_TRANSACTIONS: u32 = 8;

/// Maximum size of a specification as JSON. A record holds the specification
/// before and after the change and must fit into one frame between routers, see
/// [`MAX_STREAM_BYTES`](crate::wire::MAX_STREAM_BYTES).
const MAX_SPEC_BYTES: usize = 64 * 1_024;

/// Identifies a change across all attempts. A client may choose it, so that it
/// can safely retry a change whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

/// Condition on the resource that must hold for the change to be applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// No condition, except that a deleted resource must exist.
    #[default]
    Any,
    /// The resource does not exist.
    Absent,
    /// The resource was last changed at this revision.
    Revision(u64),
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Identifier, random unless the client chose one.
    pub id: ChangeId,
    /// The operator that requests the change.
    pub operator: String,
    /// Where the request came from.
    pub origin: String,
    /// Time of the request as a Unix timestamp in milliseconds, for the audit
    /// trail.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: Name,
    /// The new specification; `None` deletes the resource.
    pub spec: Option<Spec>,
    /// Condition that must hold before the change.
    pub precondition: Precondition,
    /// Whether to validate the change without committing it.
    pub dry_run: bool,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Committed {
    /// Revision that the change created, or would create in a dry run.
    pub revision: u64,
    /// The records read and committed on top of the initial state, to install
    /// and to push to peers. They may end before `revision`: in a dry run, or
    /// when the lookup finds an earlier attempt.
    pub progress: Progress,
}

/// Commits one [`Change`] with conditional transactions.
///
/// Each transaction checks that the row `head` is unchanged, so at most one
/// change creates a given revision, and that the row of the change identifier
/// does not exist, so the change takes effect at most once over all attempts.
#[derive(Debug)]
pub struct Commit {
    change: Change,
    phase: Phase,
    /// What has been read so far; the next transaction builds on its state.
    read_progress: Progress,
    attempts: u32,
    /// Table revision of the row `head` checked by the last transaction.
    base_head_revision: u64,
    /// Whether a transaction sent for this change, by this or an earlier
    /// attempt, may have taken effect or may still do so.
    in_doubt: bool,
    /// A read of the row `head` at this table revision or higher shows whether
    /// the last transaction took effect.
    min_head_revision: u64,
    /// The last change by another request that was read.
    last_other_change: Option<Record>,
}

#[derive(Debug)]
enum Phase {
    /// Reads the row of the change identifier, to find an earlier attempt.
    Lookup,
    /// Reads the record of an earlier attempt.
    EarlierAttempt(u64),
    /// Reads the row `head` and the records up to it.
    CatchUp(CatchUp),
    /// Waits for the response to the transaction that writes this record.
    Commit { transaction: Transaction, record: Record },
}

type StepResult = Result<Step<Committed>, Error>;

impl Commit {
    /// Prepares `change` on top of the installed state.
    pub fn new(change: Change, installed: State) -> Self {
        Self {
            change,
            phase: Phase::Lookup,
            read_progress: Progress::from(installed),
            attempts: 0,
            base_head_revision: 0,
            in_doubt: false,
            min_head_revision: 0,
            last_other_change: None,
        }
    }

    fn advance(&mut self, response: Response) -> StepResult {
        match (&mut self.phase, response) {
            (Phase::Lookup, Response::Read(outcome)) => {
                let row = row::read_result(outcome)?;
                self.on_lookup(row.as_ref())
            }
            (Phase::EarlierAttempt(revision), Response::Read(outcome)) => {
                let revision = *revision;
                self.on_earlier_attempt(revision, row::read_result(outcome)?.as_ref())
            }
            (Phase::CatchUp(machine), response @ (Response::Read(_) | Response::Scan(_))) => {
                match machine.on_response(response) {
                    Step::Call(call) => Ok(Step::Call(call)),
                    Step::Done(progress) => self.on_caught_up(progress?),
                }
            }
            (Phase::Commit { .. }, Response::Commit(outcome)) => self.on_commit(outcome),
            (phase, response) => unreachable!("phase {phase:?} does not expect {response:?}"),
        }
    }

    fn on_lookup(&mut self, row: Option<&Row>) -> StepResult {
        let Some(row) = row else { return Ok(self.catch_up()) };
        self.in_doubt = true;
        let revision = row::decode(row)?;
        self.phase = Phase::EarlierAttempt(revision);
        Ok(Step::Call(Call::Read(row::log(revision))))
    }

    fn on_earlier_attempt(&mut self, revision: u64, row: Option<&Row>) -> StepResult {
        let Some(row) = row else { return Err(Error::missing_record(revision)) };
        let record: Record = row::decode(row)?;
        let same = record.kind == self.change.kind
            && record.name == self.change.name
            && record.after == self.change.spec;
        if !same {
            self.in_doubt = false;
            return Err(Error::ChangeIdReused(self.change.id));
        }
        Ok(Step::Done(Committed { revision, progress: self.read_progress.clone() }))
    }

    fn catch_up(&mut self) -> Step<Committed> {
        let mut machine = CatchUp::new(self.read_progress.state.clone());
        let Step::Call(call) = machine.start() else { unreachable!("CatchUp starts with a call") };
        self.phase = Phase::CatchUp(machine);
        Step::Call(call)
    }

    fn on_caught_up(&mut self, progress: Progress) -> StepResult {
        let table_revision = progress.head.table_revision.unwrap_or_default();
        if table_revision < self.min_head_revision {
            return Err(Error::StaleRead {
                expected_min: self.min_head_revision,
                read: table_revision,
            });
        }
        self.read_progress.state = progress.state;
        self.read_progress.records.extend(progress.records.iter().cloned());
        if let Some(own) = progress.records.iter().find(|record| record.id == self.change.id) {
            let revision = own.revision;
            return Ok(Step::Done(Committed { revision, progress: self.read_progress.clone() }));
        }
        // If a transaction was in doubt, the row `head` has changed since and
        // the log has no record of the transaction, so it can no longer apply.
        self.in_doubt = false;
        self.last_other_change =
            progress.records.into_iter().next_back().or(self.last_other_change.take());
        self.base_head_revision = table_revision;
        if self.attempts == MAX_TRANSACTIONS {
            return Err(self.contended());
        }
        self.check()?;
        let (transaction, record) = self.transaction(progress.head.table_revision)?;
        if self.change.dry_run {
            let revision = record.revision;
            return Ok(Step::Done(Committed { revision, progress: self.read_progress.clone() }));
        }
        self.phase = Phase::Commit { transaction, record };
        Ok(self.send())
    }

    fn send(&mut self) -> Step<Committed> {
        let Phase::Commit { transaction, .. } = &self.phase else {
            unreachable!("only the commit phase sends")
        };
        self.attempts += 1;
        Step::Call(Call::Commit(transaction.clone()))
    }

    fn on_commit(&mut self, outcome: Outcome<u64>) -> StepResult {
        match outcome {
            Outcome::Done(_) => {
                let Phase::Commit { record, .. } = &self.phase else {
                    unreachable!("only the commit phase commits")
                };
                self.read_progress.state = self.read_progress.state.apply(record)?;
                self.read_progress.records.push(record.clone());
                let revision = record.revision;
                Ok(Step::Done(Committed { revision, progress: self.read_progress.clone() }))
            }
            Outcome::Unknown if self.attempts < MAX_TRANSACTIONS => {
                // Resends the same transaction; its checks let it apply only
                // once.
                self.in_doubt = true;
                Ok(self.send())
            }
            Outcome::Unknown => {
                // The transaction may still apply until the row `head` has
                // changed.
                self.in_doubt = true;
                self.min_head_revision = self.base_head_revision + 1;
                Ok(self.catch_up())
            }
            Outcome::NotDone(Refusal::Conflict(found)) => self.on_conflict(found),
            Outcome::NotDone(refusal) => Err(Error::Platform(refusal)),
        }
    }

    fn on_conflict(&mut self, found: Option<Row>) -> StepResult {
        match found {
            Some(row) if row.key == row::change(self.change.id) => self.on_lookup(Some(&row)),
            Some(row) if row.key == row::head() => {
                self.min_head_revision = row.revision;
                Ok(self.catch_up())
            }
            _ => Err(Error::Platform(Refusal::Conflict(found))),
        }
    }

    /// Checks the precondition, the size limit and the references against the
    /// state.
    fn check(&self) -> Result<(), Error> {
        let Change { kind, name, .. } = &self.change;
        let snapshot = self.read_progress.state.snapshot();
        let found = snapshot.get(*kind, name).map(|resource| resource.revision);
        let holds = match self.change.precondition {
            Precondition::Any => found.is_some() || self.change.spec.is_some(),
            Precondition::Absent => found.is_none() && self.change.spec.is_some(),
            Precondition::Revision(revision) => found == Some(revision),
        };
        if !holds {
            let last =
                self.last_other_change.as_ref().filter(|r| r.kind == *kind && r.name == *name);
            let changed_by = last.map(|record| record.operator.clone());
            return Err(Error::Precondition { kind: *kind, name: name.clone(), found, changed_by });
        }
        match &self.change.spec {
            Some(spec) if spec.to_json().to_string().len() > MAX_SPEC_BYTES => {
                return Err(Error::TooLarge { limit: MAX_SPEC_BYTES });
            }
            Some(spec) => snapshot.check(spec)?,
            None => snapshot.check_delete(*kind, name)?,
        }
        Ok(())
    }

    fn transaction(&self, head: Option<u64>) -> Result<(Transaction, Record), Error> {
        let Change { id, kind, name, spec, .. } = &self.change;
        let before = self
            .read_progress
            .state
            .snapshot()
            .get(*kind, name)
            .map(|r| with_truncated_digests(&r.spec));
        let mut record = Record {
            revision: self.read_progress.state.version().revision + 1,
            lineage: 0,
            id: *id,
            operator: self.change.operator.clone(),
            origin: self.change.origin.clone(),
            at_unix_ms: self.change.at_unix_ms,
            kind: *kind,
            name: name.clone(),
            before,
            after: spec.clone(),
        };
        record.lineage = self.read_progress.state.version_after(&record).lineage;
        let next = self.read_progress.state.apply(&record)?;
        let checks = vec![Check::Absent(row::change(*id)), head_check(head)];
        let writes = vec![
            self.resource_write(record.revision),
            Write::Put(row::head(), row::encode::<Version>(&next.version())),
            Write::Put(row::log(record.revision), row::encode(&record)),
            Write::Put(row::change(*id), row::encode(&record.revision)),
        ];
        Ok((Transaction { checks, writes }, record))
    }

    fn resource_write(&self, revision: u64) -> Write {
        let Change { kind, name, spec, .. } = &self.change;
        let key: Key = row::resource(*kind, name);
        match spec {
            Some(spec) => {
                let resource = Resource { name: name.clone(), revision, spec: spec.clone() };
                Write::Put(key, row::encode(&resource))
            }
            None => Write::Delete(key),
        }
    }

    fn contended(&self) -> Error {
        let last = self.last_other_change.as_ref();
        Error::Contended {
            attempts: self.attempts,
            last_operator: last.map(|record| record.operator.clone()).unwrap_or_default(),
            revision: last.map(|record| record.revision).unwrap_or_default(),
        }
    }
}

impl StateMachine for Commit {
    type Output = Result<Committed, Error>;

    fn start(&mut self) -> Step<Self::Output> {
        Step::Call(Call::Read(row::change(self.change.id)))
    }

    fn on_response(&mut self, response: Response) -> Step<Self::Output> {
        match self.advance(response) {
            Ok(Step::Call(call)) => Step::Call(call),
            Ok(Step::Done(committed)) => Step::Done(Ok(committed)),
            Err(_) if self.in_doubt => Step::Done(Err(Error::Unknown(self.change.id))),
            Err(error) => Step::Done(Err(error)),
        }
    }
}

impl TryFrom<&str> for ChangeId {
    type Error = std::num::ParseIntError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for ChangeId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::try_from(text.as_str()).map_err(serde::de::Error::custom)
    }
}

fn head_check(table_revision: Option<u64>) -> Check {
    match table_revision {
        Some(revision) => Check::Revision(row::head(), revision),
        None => Check::Absent(row::head()),
    }
}
