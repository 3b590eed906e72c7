//! Loads the whole configuration from the table.

use super::call::{Call, Response, StateMachine, Step};
use super::row;
use super::state::{State, Version};
use super::{Error, Record};
use crate::platform::{Page, Row};
use crate::resource::{Resource, Snapshot};

/// Maximum number of attempts when the rows read are inconsistent.
const MAX_LOAD_ATTEMPTS: u32 = 4;

/// Reads the row `head`, all resources, and the records of changes made while
/// the resources were read.
///
/// Pages are not read in one transaction. The version in the row `head` shows
/// whether the resources read are consistent; if not, the load starts over.
#[derive(Debug)]
pub struct Load {
    min_revision: u64,
    attempts: u32,
    phase: Phase,
    resources: Vec<Resource>,
    snapshot: Snapshot,
    target: Version,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Waits for the row `head` before the resources are read.
    HeadBefore,
    /// Waits for a page of resources.
    Resources,
    /// Waits for the row `head` after the resources were read.
    HeadAfter,
    /// Waits for a page of the log.
    Log,
}

impl Load {
    /// Rejects a table whose configuration revision is lower than `min_revision`.
    pub fn new(min_revision: u64) -> Self {
        Self {
            min_revision,
            attempts: 1,
            phase: Phase::HeadBefore,
            resources: Vec::new(),
            snapshot: Snapshot::default(),
            target: Version::default(),
        }
    }

    fn advance(&mut self, response: Response) -> Result<Step<State>, Error> {
        match (self.phase, response) {
            (Phase::HeadBefore, Response::Read(outcome)) => {
                self.on_head_before(row::read_result(outcome)?.as_ref())
            }
            (Phase::Resources, Response::Scan(outcome)) => {
                self.on_resources(&row::read_result(outcome)?)
            }
            (Phase::HeadAfter, Response::Read(outcome)) => {
                self.on_head_after(row::read_result(outcome)?.as_ref())
            }
            (Phase::Log, Response::Scan(outcome)) => self.on_log(&row::read_result(outcome)?),
            (phase, response) => unreachable!("phase {phase:?} does not expect {response:?}"),
        }
    }

    fn on_head_before(&mut self, row: Option<&Row>) -> Result<Step<State>, Error> {
        self.target = self.checked_head(row)?;
        self.resources.clear();
        self.phase = Phase::Resources;
        Ok(Step::Call(row::scan_resources("")))
    }

    fn on_resources(&mut self, page: &Page) -> Result<Step<State>, Error> {
        for row in &page.rows {
            self.resources.push(row::decode(row)?);
        }
        if let Some(last) = page.rows.last().filter(|_| page.more) {
            return Ok(Step::Call(row::scan_resources(&last.key.key)));
        }
        let resources = std::mem::take(&mut self.resources);
        self.snapshot = Snapshot::new(self.target.revision, resources);
        self.phase = Phase::HeadAfter;
        Ok(Step::Call(Call::Read(row::head())))
    }

    fn on_head_after(&mut self, row: Option<&Row>) -> Result<Step<State>, Error> {
        self.target = self.checked_head(row)?;
        self.phase = Phase::Log;
        self.continue_log()
    }

    fn on_log(&mut self, page: &Page) -> Result<Step<State>, Error> {
        let before = self.snapshot.revision();
        for row in &page.rows {
            let record: Record = row::decode(row)?;
            if record.revision == self.snapshot.revision() + 1
                && record.revision <= self.target.revision
            {
                self.snapshot = record.apply(&self.snapshot);
            }
        }
        if self.snapshot.revision() == before {
            return self.start_over(Error::missing_record(before + 1));
        }
        self.continue_log()
    }

    /// Reads the next log page, or finishes at the target revision.
    fn continue_log(&mut self) -> Result<Step<State>, Error> {
        let reached = self.snapshot.revision();
        if reached < self.target.revision {
            return Ok(Step::Call(row::scan_log(reached)));
        }
        match State::new(self.target, std::mem::take(&mut self.snapshot)) {
            Ok(state) => Ok(Step::Done(state)),
            Err(error) => self.start_over(error),
        }
    }

    fn start_over(&mut self, error: Error) -> Result<Step<State>, Error> {
        if self.attempts == MAX_LOAD_ATTEMPTS {
            return Err(error);
        }
        self.attempts += 1;
        self.phase = Phase::HeadBefore;
        Ok(Step::Call(Call::Read(row::head())))
    }

    fn checked_head(&self, row: Option<&Row>) -> Result<Version, Error> {
        let version = row::decode_head(row)?.version;
        if version.revision < self.min_revision {
            return Err(Error::Stale { installed: self.min_revision, table: version.revision });
        }
        Ok(version)
    }
}

impl StateMachine for Load {
    type Output = Result<State, Error>;

    fn start(&mut self) -> Step<Self::Output> {
        self.phase = Phase::HeadBefore;
        Step::Call(Call::Read(row::head()))
    }

    fn on_response(&mut self, response: Response) -> Step<Self::Output> {
        match self.advance(response) {
            Ok(Step::Call(call)) => Step::Call(call),
            Ok(Step::Done(state)) => Step::Done(Ok(state)),
            Err(error) => Step::Done(Err(error)),
        }
    }
}
