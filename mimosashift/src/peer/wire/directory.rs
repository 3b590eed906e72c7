//! The endpoint directory as routers hand it to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::platform::{Key, Row};

/// First byte of a request for the configuration.
pub const CONFIG_REQUEST: u8 = b'c';

/// First byte of a request for the directory.
pub const DIRECTORY_REQUEST: u8 = b'd';

/// The endpoint directory, as one router has read it from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Number of times that the store had come back from a copy, and its revision.
    pub position: (u64, u64),
    /// Time since the read.
    pub age: Duration,
    /// Time for which endpoints without a row are kept, since they may register again.
    pub keep_missing: Duration,
    /// Its rows.
    pub rows: Vec<Row>,
}

#[derive(Serialize, Deserialize)]
struct Encoded<'a> {
    position: (u64, u64),
    age: Duration,
    keep_missing: Duration,
    table: &'a str,
    #[serde(borrow)]
    rows: Vec<(&'a str, u64, &'a str)>,
}

impl<'a> From<&'a Directory> for Vec<u8> {
    fn from(directory: &'a Directory) -> Self {
        let Directory { position, age, keep_missing, rows } = directory;
        let table = rows.first().map_or("", |row| &row.key.table);
        let row = |row: &'a Row| (&*row.key.key, row.revision, &*row.value);
        let encoded = Encoded {
            position: *position,
            age: *age,
            keep_missing: *keep_missing,
            table,
            rows: rows.iter().map(row).collect(),
        };
        super::to_bytes(&encoded)
    }
}

impl TryFrom<&[u8]> for Directory {
    type Error = postcard::Error;

    fn try_from(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let Encoded { position, age, keep_missing, table, rows } = postcard::from_bytes(bytes)?;
        let row = |(key, revision, value): (&str, u64, &str)| Row {
            key: Key { table: table.to_owned(), key: key.to_owned() },
            revision,
            value: value.to_owned(),
        };
        Ok(Self { position, age, keep_missing, rows: rows.into_iter().map(row).collect() })
    }
}
