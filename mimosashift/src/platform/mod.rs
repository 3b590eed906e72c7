//! The platform's services as the router uses them.
//!
//! The traits are the boundary: an adapter turns them into one protocol each,
//! and tests put small fakes behind them. A call has three outcomes, see
//! [`Outcome`]; `docs/PLATFORM.md` describes the exchange over HTTP.

use serde::{Deserialize, Serialize};

use self::http::VmList;

pub mod breaker;
pub mod budget;
pub mod http;

/// How a call that may change something ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It took effect.
    Done(T),
    /// It took no effect, for the given reason.
    NotDone(Refusal),
    /// It may or may not have taken effect: read back before relying on it.
    Unknown,
}

/// Why a call took no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A precondition did not hold; the row found instead, if any.
    Conflict(Option<Row>),
    /// The platform cannot be reached or is failing.
    Unavailable,
    /// This router's share of the platform's rate is used up.
    OverBudget,
    /// The platform did not understand the call.
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
    /// Where it stands.
    pub key: Key,
    /// Revision of its last write, unique and rising within the table service.
    pub revision: u64,
    /// The value, JSON text.
    pub value: String,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Check {
    /// The row does not exist.
    Absent(Key),
    /// The row's revision is this one.
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

/// All checks hold and all writes happen, or nothing does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// Part of a table, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one.
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
    /// Reads the list; it lags behind the truth.
    fn vms(&self) -> Outcome<VmList>;
}
