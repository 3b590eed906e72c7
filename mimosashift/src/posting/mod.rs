//! Postings: calls to services that must not be executed twice.
//!
//! A call with an idempotency key is claimed by one conditional write before
//! it is sent, so that no other router sends it too. The protocol and its
//! invariants are described in `docs/design/postings.md`.

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

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

quick_error! {
    /// Why an idempotency key or a stored claim is invalid.
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

/// Distinguishes the attempts at one call; drawn at random for each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// SHA-256 of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

/// Limits on the duration and the retries of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time from the start of the attempt until which the call may be sent.
    pub send_window: Duration,
    /// Time for which the write that records a reply or releases a claim is retried.
    /// A claim whose write has an unknown outcome is retried until this time after
    /// the send window.
    pub settle_window: Duration,
    /// Pause before the first retry of a write; it doubles on each retry,
    /// to at most 64 times this value.
    pub retry_pause: Duration,
    /// Maximum number of connection attempts to the service.
    pub max_connect_attempts: u8,
}

/// One attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Row of the claim, see [`claim_key`]; `None` for a call without an
    /// idempotency key.
    pub key: Option<Key>,
    /// Identifies this attempt.
    pub nonce: Nonce,
    /// Digest of the HTTP request.
    pub digest: Digest,
    /// Wall clock time of the attempt, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Result of sending a call to the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Delivery {
    /// No connection was established: no byte can have reached the service.
    NotConnected,
    /// The service sent a complete reply.
    Replied(Reply),
    /// Bytes were sent, but no complete reply arrived: the call may have run.
    Lost,
}

/// Result of a call, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// The service's reply to this attempt.
    Replied(Reply),
    /// The recorded reply to an earlier attempt at the same call.
    Recorded(Reply),
    /// An operator resolved an earlier attempt as executed; its reply is not
    /// known.
    Ran,
    /// The key was used before for a different call; nothing was run.
    Mismatch,
    /// This or an earlier attempt may have run or may still be running.
    Unknown,
    /// This attempt did not run and will not run.
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
            settle_window: Duration::from_secs(7_200),
            retry_pause: Duration::from_millis(200),
            max_connect_attempts: 3,
        }
    }
}

/// The row that holds the claim for `idempotency_key` of `team` at `service`.
///
/// Names contain no `/`, so keys of different teams or services never share a
/// row.
pub fn claim_key(team: &Name, service: &Name, idempotency_key: &str) -> Result<Key, Error> {
    let printable = idempotency_key.bytes().all(|b| b.is_ascii_graphic());
    if idempotency_key.is_empty() || idempotency_key.len() > MAX_KEY_BYTES || !printable {
        return Err(Error::InvalidKey(idempotency_key.len()));
    }
    Ok(Key { table: TABLE.to_owned(), key: format!("{team}/{service}/{idempotency_key}") })
}
