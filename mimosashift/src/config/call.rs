//! Calls of the table service as values.
//!
//! A machine asks for one call at a time and is handed its answer, so that a
//! test or a model check can run it against any order of events.

use crate::platform::{Key, Outcome, Page, Row, Table, Transaction};

/// A call that a machine asks for.
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
        /// Most rows of the page.
        limit: usize,
    },
    /// Applies a transaction.
    Commit(Transaction),
}

/// The answer to a [`Call`] of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Row read.
    Read(Outcome<Option<Row>>),
    /// Page read.
    Scan(Outcome<Page>),
    /// Outcome of the transaction.
    Commit(Outcome<u64>),
}

/// What a machine wants next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<T> {
    /// Make this call and hand its answer in.
    Call(Call),
    /// The machine has ended with this result.
    Done(T),
}

/// A machine that ends after a bounded number of calls.
pub trait StateMachine {
    /// Its result.
    type Output;

    /// The first call.
    fn start(&mut self) -> Step<Self::Output>;

    /// What follows from the answer to the last call.
    fn on_response(&mut self, response: Response) -> Step<Self::Output>;
}

/// Makes one call.
pub fn execute(table: &dyn Table, call: &Call) -> Response {
    match call {
        Call::Read(key) => Response::Read(table.read(key)),
        Call::Scan { table: name, prefix, after, limit } => {
            Response::Scan(table.scan(name, prefix, after, *limit))
        }
        Call::Commit(transaction) => Response::Commit(table.commit(transaction)),
    }
}

/// Runs a machine to its end against a table.
pub fn run<M: StateMachine>(table: &dyn Table, mut machine: M) -> M::Output {
    let mut step = machine.start();
    loop {
        match step {
            Step::Call(call) => step = machine.on_response(execute(table, &call)),
            Step::Done(output) => return output,
        }
    }
}
