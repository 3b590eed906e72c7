//! Brings a state up to date from the log rows of the table.

use super::call::{Call, Response, StateMachine, Step};
use super::row::{self, HeadRow};
use super::{Error, Record, State};
use crate::platform::Page;

/// The state read from the table and the records that lead to it from an earlier
/// state; a full load yields no records.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// The state at the version in the row `head`.
    pub state: State,
    /// The records from the given state up to `state`, in order.
    pub records: Vec<Record>,
    /// The row `head`, with its table revision; set only by [`CatchUp`].
    pub(super) head: HeadRow,
}

/// Reads the row `head`, then the records that follow the state.
#[derive(Debug)]
pub struct CatchUp {
    progress: Progress,
}

impl CatchUp {
    /// Starts from `state`.
    pub fn new(state: State) -> Self {
        Self { progress: Progress::from(state) }
    }

    fn on_head(&mut self, head: HeadRow) -> Result<Option<Call>, Error> {
        let installed = self.progress.state.version();
        let head_version = head.version;
        if head_version.revision < installed.revision {
            return Err(Error::Stale {
                installed: installed.revision,
                table: head_version.revision,
            });
        }
        if head_version.revision == installed.revision && head_version != installed {
            return Err(Error::Diverged(head_version.revision));
        }
        self.progress.head = head;
        Ok(self.next_page())
    }

    fn on_page(&mut self, page: Page) -> Result<Option<Call>, Error> {
        let target = self.progress.head.version;
        let before = self.progress.state.version().revision;
        for row in &page.rows {
            if self.progress.state.version().revision == target.revision {
                break;
            }
            let record: Record = row::decode(row)?;
            self.progress.state = self.progress.state.apply(&record)?;
            self.progress.records.push(record);
        }
        let reached = self.progress.state.version();
        if reached.revision == before {
            return Err(Error::missing_record(before + 1));
        }
        if reached.revision == target.revision && reached != target {
            return Err(Error::Diverged(target.revision));
        }
        Ok(self.next_page())
    }

    /// The call that reads the next log page, or `None` when the state has
    /// reached the row `head`.
    fn next_page(&self) -> Option<Call> {
        let reached = self.progress.state.version().revision;
        (reached < self.progress.head.version.revision).then(|| row::scan_log(reached))
    }
}

impl StateMachine for CatchUp {
    type Output = Result<Progress, Error>;

    fn start(&mut self) -> Step<Self::Output> {
        Step::Call(Call::Read(row::head()))
    }

    fn on_response(&mut self, response: Response) -> Step<Self::Output> {
        let next = match response {
            Response::Read(outcome) => row::read_result(outcome)
                .and_then(|row| row::decode_head(row.as_ref()))
                .and_then(|head| self.on_head(head)),
            Response::Scan(outcome) => {
                row::read_result(outcome).and_then(|page| self.on_page(page))
            }
            Response::Commit(_) => unreachable!("CatchUp sends no commits"),
        };
        match next {
            Ok(Some(call)) => Step::Call(call),
            Ok(None) => Step::Done(Ok(self.progress.clone())),
            Err(error) => Step::Done(Err(error)),
        }
    }
}

impl From<State> for Progress {
    fn from(state: State) -> Self {
        Self { state, records: Vec::new(), head: HeadRow::default() }
    }
}
