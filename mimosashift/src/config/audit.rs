//! Reads the audit trail from the log rows of the table.

use super::call::{Response, StateMachine, Step};
use super::row;
use super::{ChangeId, Error, Record};
use crate::platform::Page;
use crate::resource::{Kind, Name};

/// Maximum number of log pages read for one query.
const MAX_LOG_PAGES_PER_QUERY: usize = 16;

/// Selects the changes to return; an unset field matches every change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only changes after this revision.
    pub after: u64,
    /// Only changes to resources of this kind.
    pub kind: Option<Kind>,
    /// Only changes to resources with this name.
    pub name: Option<Name>,
    /// Only changes by this operator.
    pub operator: Option<String>,
    /// Only the change with this identifier.
    pub id: Option<ChangeId>,
}

/// One page of the audit trail.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditPage {
    /// Matching changes, oldest first.
    pub records: Vec<Record>,
    /// Value of [`Filter::after`] for the next page, `None` at the end of the
    /// log.
    pub next: Option<u64>,
}

/// Reads the changes that match a filter, up to a limit or for at most
/// `MAX_LOG_PAGES_PER_QUERY` log pages.
#[derive(Debug)]
pub struct Audit {
    filter: Filter,
    limit: usize,
    pages_read: usize,
    result: AuditPage,
}

impl Filter {
    /// Whether the filter selects the change.
    pub fn matches(&self, record: &Record) -> bool {
        record.revision > self.after
            && self.kind.is_none_or(|kind| record.kind == kind)
            && self.name.as_ref().is_none_or(|name| record.name == *name)
            && self.operator.as_ref().is_none_or(|operator| record.operator == *operator)
            && self.id.is_none_or(|id| record.id == id)
    }
}

impl Audit {
    /// Reads up to `limit` changes that match `filter`.
    pub fn new(filter: Filter, limit: usize) -> Self {
        Self { filter, limit, pages_read: 0, result: AuditPage::default() }
    }

    /// Adds the matching records of a log page. Returns the revision after
    /// which the next page starts, or `None` when no more pages are needed.
    fn add_page(&mut self, page: &Page) -> Result<Option<u64>, Error> {
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
        self.pages_read += 1;
        let more = reached.filter(|_| page.more);
        if self.pages_read == MAX_LOG_PAGES_PER_QUERY {
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
        let Response::Scan(outcome) = response else { unreachable!("Audit sends only scans") };
        match row::read_result(outcome).and_then(|page| self.add_page(&page)) {
            Ok(Some(reached)) => Step::Call(row::scan_log(reached)),
            Ok(None) => Step::Done(Ok(std::mem::take(&mut self.result))),
            Err(error) => Step::Done(Err(error)),
        }
    }
}
