//! Reads the audit trail from the table's log.

use super::call::{Response, StateMachine, Step};
use super::row;
use super::{ChangeId, Error, Record};
use crate::platform::Page;
use crate::resource::{Kind, Name};

/// Most pages of the log read for one response.
const MAX_PAGES: usize = 16;

/// Which changes are asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only changes after this revision.
    pub after: u64,
    /// Only changes of this kind of resource.
    pub kind: Option<Kind>,
    /// Only changes of resources of this name.
    pub name: Option<Name>,
    /// Only changes by this operator.
    pub operator: Option<String>,
    /// Only this change.
    pub id: Option<ChangeId>,
}

/// One page of the audit trail.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditPage {
    /// Matching changes, oldest first.
    pub records: Vec<Record>,
    /// Where to ask on, `None` at the end of the log.
    pub next: Option<u64>,
}

/// Reads matching changes, up to a limit.
#[derive(Debug)]
pub struct Audit {
    filter: Filter,
    limit: usize,
    pages: usize,
    result: AuditPage,
}

impl Filter {
    /// Whether the change is asked for.
    pub fn matches(&self, record: &Record) -> bool {
        record.revision > self.after
            && self.kind.is_none_or(|kind| record.kind == kind)
            && self.name.as_ref().is_none_or(|name| record.name == *name)
            && self.operator.as_ref().is_none_or(|operator| record.operator == *operator)
            && self.id.is_none_or(|id| record.id == id)
    }
}

impl Audit {
    /// Reads up to `limit` changes that match.
    pub fn new(filter: Filter, limit: usize) -> Self {
        Self { filter, limit, pages: 0, result: AuditPage::default() }
    }

    /// Takes in a page; returns where the next one starts, if it is wanted.
    fn take_in(&mut self, page: &Page) -> Result<Option<u64>, Error> {
        let mut reached = None;
        for row in &page.rows {
            let record: Record = row::decode(row)?;
            reached = Some(record.revision);
            if self.filter.matches(&record) {
                self.result.records.push(record);
            }
            if self.result.records.len() == self.limit {
                self.result.next = reached;
                return Ok(None);
            }
        }
        self.pages += 1;
        let more = reached.filter(|_| page.more);
        if self.pages == MAX_PAGES {
            self.result.next = more;
            return Ok(None);
        }
        Ok(more)
    }
}

impl StateMachine for Audit {
    type Output = Result<AuditPage, Error>;

    fn start(&mut self) -> Step<Self::Output> {
        Step::Call(row::scan_log(self.filter.after))
    }

    fn on_response(&mut self, response: Response) -> Step<Self::Output> {
        let Response::Scan(outcome) = response else { unreachable!("this machine only scans") };
        match row::read(outcome).and_then(|page| self.take_in(&page)) {
            Ok(Some(reached)) => Step::Call(row::scan_log(reached)),
            Ok(None) => Step::Done(Ok(std::mem::take(&mut self.result))),
            Err(error) => Step::Done(Err(error)),
        }
    }
}
