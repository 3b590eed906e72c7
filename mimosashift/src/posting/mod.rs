//! Calls to services that may not be repeated.
//!
//! A call with an idempotency key is claimed by one conditional write before
//! it is sent, so that no other router sends it too. The protocol and what
//! must hold are described in `docs/design/postings.md`.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::platform::Key;
use crate::resource::Name;

pub mod batch;
mod entry;
mod machine;
mod reply;
pub mod resolve;

pub use entry::{Entry, State};
pub use machine::{Action, Actions, Machine};
pub use reply::{Body, MAX_RECORDED_BODY_BYTES, Reply};

/// Table that holds the claims.
pub const TABLE: &str = "posting";

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

quick_error! {
    /// Why a call could not be claimed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The idempotency key is empty, too long or not printable ASCII.
        InvalidKey(length: usize) {
            display("idempotency key of {} bytes must be 1 to {} printable ASCII characters", length, MAX_KEY_BYTES)
        }
        /// The row does not hold an entry.
        InvalidEntry(key: String, reason: String) {
            display("row {:?} holds no claim: {}", key, reason)
        }
    }
}

/// Distinguishes the tries of one call; drawn at random for each try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// SHA-256 of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

/// Limits on the time and number of tries of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time after the start in which the call may be sent.
    pub send_window: Duration,
    /// Time in which an outcome is recorded or a claim withdrawn.
    pub settle_window: Duration,
    /// Time between two tries of the same write.
    pub retry_pause: Duration,
    /// Most connection attempts to the service.
    pub connects: u8,
}

/// One try of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Row of the claim, see [`claim_key`]; `None` for a call without an
    /// idempotency key.
    pub key: Option<Key>,
    /// Identifies this try.
    pub nonce: Nonce,
    /// What the call asks for.
    pub digest: Digest,
    /// Wall clock time of the try, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// What the service did with the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// No connection was made: not one byte can have reached the service.
    NotConnected,
    /// The service answered.
    Replied(Reply),
    /// Bytes were sent but no whole answer came: it may have run.
    Lost,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The service's answer to this try.
    Replied(Reply),
    /// The recorded answer to an earlier try of the same call.
    Recorded(Reply),
    /// An operator resolved an earlier try as run; its answer is not known.
    Ran,
    /// The key was used before for a different call; nothing was run.
    Mismatch,
    /// This or an earlier try may have run or is still running.
    Unknown,
    /// This try did not run and will not run.
    NotRun,
}

impl Digest {
    /// The digest of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            send_window: Duration::from_secs(5),
            settle_window: Duration::from_secs(600),
            retry_pause: Duration::from_millis(200),
            connects: 3,
        }
    }
}

/// The row that claims `idempotency_key` of `team` at `service`.
///
/// Names hold no `/`, so that two scopes never share a row.
pub fn claim_key(team: &Name, service: &Name, idempotency_key: &str) -> Result<Key, Error> {
    let printable = idempotency_key.bytes().all(|b| b.is_ascii_graphic());
    if idempotency_key.is_empty() || idempotency_key.len() > MAX_KEY_BYTES || !printable {
        return Err(Error::InvalidKey(idempotency_key.len()));
    }
    Ok(Key { table: TABLE.to_owned(), key: format!("{team}/{service}/{idempotency_key}") })
}
