//! The stored value of a claim row.

use serde::{Deserialize, Serialize};

use super::{Digest, Error, Nonce, Reply};
use crate::platform::Row;

/// A claim and the state of its call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the attempt that wrote the claim.
    pub nonce: Nonce,
    /// Digest of the request.
    pub digest: Digest,
    /// Wall clock time of the claim, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// State of the call.
    pub state: State,
}

/// State of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The outcome is unknown: the call is unsent or running, or it was interrupted
    /// without a reply.
    Claimed,
    /// The call ran, and the service returned this reply.
    Replied(Reply),
    /// The call was not sent; the next attempt may take over the row.
    Released,
    /// An operator resolved the call as executed.
    Ran,
}

impl Entry {
    /// Serializes the entry as a row value.
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
