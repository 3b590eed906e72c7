//! The value of a claim's row.

use serde::{Deserialize, Serialize};

use super::{Digest, Error, Nonce, Reply};
use crate::platform::Row;

/// A claim and what became of the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The try that wrote the claim.
    pub nonce: Nonce,
    /// What the call asked for.
    pub digest: Digest,
    /// Wall clock time of the claim, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// What became of the call.
    pub state: State,
}

/// What became of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It may be sent, running or lost.
    Claimed,
    /// It ran and the service gave this answer.
    Replied(Reply),
    /// It was not sent; the next try may take the row over.
    Released,
    /// An operator resolved it as run.
    Ran,
}

impl Entry {
    /// The row value.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("an entry has only string keys")
    }
}

impl TryFrom<&Row> for Entry {
    type Error = Error;

    fn try_from(row: &Row) -> Result<Self, Error> {
        serde_json::from_str(&row.value)
            .map_err(|e| Error::InvalidEntry(row.key.key.clone(), e.to_string()))
    }
}
