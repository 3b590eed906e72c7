//! Keys and values of the rows of table `config`.
//!
//! `head` holds the configuration revision, `resource/KIND/NAME` a resource,
//! `log/REVISION` the record of a change and `change/ID` the revision that a
//! change made.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;
use super::call::Call;
use super::change::ChangeId;
use super::state::Version;
use crate::platform::{Key, Outcome, Refusal, Row};
use crate::resource::{Kind, Name};

/// The table of the configuration.
pub(super) const TABLE: &str = "config";

/// Prefix of the rows of resources.
pub(super) const RESOURCE_PREFIX: &str = "resource/";

/// Prefix of the rows of records.
pub(super) const LOG_PREFIX: &str = "log/";

/// Most rows of one page.
pub(super) const PAGE_ROWS: usize = 500;

/// The row `head` as read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HeadRow {
    /// The version after the last accepted change.
    pub(super) version: Version,
    /// The table's own revision of the row, `None` when it does not exist.
    pub(super) table_revision: Option<u64>,
}

pub(super) fn head() -> Key {
    key("head".to_owned())
}

pub(super) fn resource(kind: Kind, name: &Name) -> Key {
    key(format!("{RESOURCE_PREFIX}{kind}/{name}"))
}

pub(super) fn log(revision: u64) -> Key {
    key(format!("{LOG_PREFIX}{revision:020}"))
}

pub(super) fn change(id: ChangeId) -> Key {
    key(format!("change/{id}"))
}

/// The call that reads resources after `key`.
pub(super) fn scan_resources(key: &str) -> Call {
    Call::Scan {
        table: TABLE.to_owned(),
        prefix: RESOURCE_PREFIX.to_owned(),
        after: key.to_owned(),
        limit: PAGE_ROWS,
    }
}

/// The call that reads records after `revision`.
pub(super) fn scan_log(revision: u64) -> Call {
    Call::Scan {
        table: TABLE.to_owned(),
        prefix: LOG_PREFIX.to_owned(),
        after: log(revision).key,
        limit: PAGE_ROWS,
    }
}

/// Decodes the row `head`; an absent row stands for revision 0.
pub(super) fn decode_head(row: Option<&Row>) -> Result<HeadRow, Error> {
    let Some(row) = row else { return Ok(HeadRow::default()) };
    Ok(HeadRow { version: decode(row)?, table_revision: Some(row.revision) })
}

/// Decodes the value of a row.
pub(super) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    serde_json::from_str(&row.value)
        .map_err(|e| Error::InvalidRow { key: row.key.key.clone(), reason: e.to_string() })
}

/// Encodes the value of a row.
pub(super) fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have only string keys")
}

/// The result of a read, which has no unknown outcome.
pub(super) fn read<T>(outcome: Outcome<T>) -> Result<T, Error> {
    match outcome {
        Outcome::Done(value) => Ok(value),
        Outcome::NotDone(refusal) => Err(Error::Platform(refusal)),
        Outcome::Unknown => Err(Error::Platform(Refusal::Unavailable)),
    }
}

fn key(key: String) -> Key {
    Key { table: TABLE.to_owned(), key }
}
