//! Keys and values of the rows in table `config`.
//!
//! `head` holds the configuration version, `resource/KIND/NAME` a resource,
//! `log/REVISION` the record of a change and `change/ID` the revision created
//! by a change.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Error;
use super::call::Call;
use super::change::ChangeId;
use super::state::Version;
use crate::platform::{Key, Outcome, Refusal, Row};
use crate::resource::{Kind, Name};

/// Name of the table that stores the configuration.
pub(super) const TABLE: &str = "config";

/// Key prefix of the rows that hold resources.
pub(super) const RESOURCE_PREFIX: &str = "resource/";

/// Key prefix of the rows that hold records.
pub(super) const LOG_PREFIX: &str = "log/";

/// Maximum number of rows in one page.
pub(super) const MAX_PAGE_ROWS: usize = 500;

/// The decoded row `head`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HeadRow {
    /// The configuration version after the last accepted change.
    pub(super) version: Version,
    /// The table revision of the row, `None` if it does not exist.
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

/// The call that reads a page of resources after `key`.
pub(super) fn scan_resources(key: &str) -> Call {
    Call::Scan {
        table: TABLE.to_owned(),
        prefix: RESOURCE_PREFIX.to_owned(),
        after: key.to_owned(),
        limit: MAX_PAGE_ROWS,
    }
}

/// The call that reads a page of records after `revision`.
pub(super) fn scan_log(revision: u64) -> Call {
    Call::Scan {
        table: TABLE.to_owned(),
        prefix: LOG_PREFIX.to_owned(),
        after: log(revision).key,
        limit: MAX_PAGE_ROWS,
    }
}

/// Decodes the row `head`; a missing row means revision 0.
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
    serde_json::to_string(value).expect("the value is always serializable as JSON")
}

/// The result of a read. A read without a known outcome has no effect, so it
/// counts as refused because the platform was unavailable.
pub(super) fn read_result<T>(outcome: Outcome<T>) -> Result<T, Error> {
    match outcome {
        Outcome::Done(value) => Ok(value),
        Outcome::NotDone(refusal) => Err(Error::Platform(refusal)),
        Outcome::Unknown => Err(Error::Platform(Refusal::Unavailable)),
    }
}

fn key(key: String) -> Key {
    Key { table: TABLE.to_owned(), key }
}
