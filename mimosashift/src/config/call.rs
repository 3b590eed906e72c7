//! Calls to the table service as values, for state machines without I/O.
//!
//! A state machine requests one call at a time and receives its response, so a
//! test or a model checker can run it against any order of events.

use crate::platform::{Key, Outcome, Page, Row, Table, Transaction};

/// A call requested by a state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads one row.
    Read(Key),
    /// Reads a page of rows.
    Scan {
        /// Table to read.
        table: String,
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the page starts.
        after: String,
        /// Maximum number of rows in the page.
        limit: usize,
    },
    /// Applies a transaction.
    Commit(Transaction),
}

/// The response to the [`Call`] variant of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The row, `None` if it does not exist.
    Read(Outcome<Option<Row>>),
    /// The page of rows.
    Scan(Outcome<Page>),
    /// The outcome of the transaction, with the new table revision.
    Commit(Outcome<u64>),
}

/// The next step of a state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<T> {
    /// Make this call and pass the response to [`StateMachine::on_response`].
    Call(Call),
    /// The state machine has finished with this result.
    Done(T),
}

/// A state machine that finishes after a bounded number of calls.
pub trait StateMachine {
    /// The result.
    type Output;

    /// Returns the first step.
    fn start(&mut self) -> Step<Self::Output>;

    /// Returns the step that follows the response to the last call.
    fn on_response(&mut self, response: Response) -> Step<Self::Output>;
}

/// Makes one call to `table`.
pub fn execute(table: &dyn Table, call: &Call) -> Response {
    match call {
        Call::Read(key) => Response::Read(table.read(key)),
        Call::Scan { table: table_name, prefix, after, limit } => {
            Response::Scan(table.scan(table_name, prefix, after, *limit))
        }
        Call::Commit(transaction) => Response::Commit(table.commit(transaction)),
    }
}

/// Runs a state machine to completion against a table.
pub fn run<M: StateMachine>(table: &dyn Table, mut machine: M) -> M::Output {
    let mut step = machine.start();
    loop {
        match step {
            Step::Call(call) => step = machine.on_response(execute(table, &call)),
            Step::Done(output) => return output,
        }
    }
}
