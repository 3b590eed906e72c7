//! Interface to the platform's services.
//!
//! An adapter implements the traits for a protocol, and tests implement them with
//! small fakes. A call has three outcomes, see [`Outcome`]. The protocol over HTTP
//! is described in `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};

use self::http::VmList;

pub mod breaker;
pub mod budget;
pub mod http;

/// Result of a call that may have side effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It took effect.
    Done(T),
    /// It took no effect, for the given reason.
    NotDone(Refusal),
    /// It may or may not have taken effect: read the state back to find out.
    Unknown,
}

/// Why a call took no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A precondition did not hold; holds the row that was found, if any.
    Conflict(Option<Row>),
    /// The platform cannot be reached or is failing.
    Unavailable,
    /// This router's share of the platform's rate limit is used up.
    OverBudget,
    /// The platform rejected the call as invalid, or its response could not be
    /// decoded.
    Invalid(String),
}

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Table, for example `config`.
    pub table: String,
    /// Key within the table, ordered bytewise.
    pub key: String,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Revision of its last write, unique and increasing within the table service.
    pub revision: u64,
    /// The value, as JSON text.
    pub value: String,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Check {
    /// The row does not exist.
    Absent(Key),
    /// The row has this revision.
    Revision(Key, u64),
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Write {
    /// Sets the value.
    Put(Key, String),
    /// Removes the row.
    Delete(Key),
}

/// An atomic change: all writes are applied if all checks hold, and otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// A page of rows, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether there are more rows after the last one.
    pub more: bool,
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Applies a transaction and returns the revision of its writes.
    fn commit(&self, transaction: &Transaction) -> Outcome<u64>;

    /// Reads one row; `Done(None)` when it does not exist.
    ///
    /// A read never returns [`Outcome::Unknown`].
    fn read(&self, key: &Key) -> Outcome<Option<Row>>;

    /// Reads up to `limit` rows of `table` whose key is greater than `after`
    /// and starts with `prefix`.
    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome<Page>;
}

/// The platform's list of virtual machines.
pub trait Machines: Send + Sync {
    /// Reads the list, which may be out of date.
    fn vms(&self) -> Outcome<VmList>;
}
