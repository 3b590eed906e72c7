//! Resolution of claims by an operator, and expiry of old rows.

use std::time::Duration;

use quick_error::quick_error;

use super::{Entry, State};
use crate::platform::{Check, Row, Transaction, Write};

/// Minimum age of a claim that may be resolved. It must exceed
/// [`Settings::send_window`](super::Settings::send_window), so that a call resolved
/// as not run is not sent later.
pub const MIN_RESOLVE_AGE: Duration = Duration::from_secs(600);

/// How an operator resolves a claim whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The call ran; its key cannot be reused.
    Ran,
    /// The call did not run; its key may be reused.
    NotRun,
}

quick_error! {
    /// Why a claim cannot be resolved.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The row does not hold a claim.
        Entry(e: super::Error) {
            from()
            display("{}", e)
        }
        /// The outcome is already known.
        AlreadySettled(key: String) {
            display("claim {:?} is settled already", key)
        }
        /// The router that wrote the claim may still send the call.
        TooRecent(key: String, age: Duration) {
            display("claim {:?} is {} s old, must be {} s", key, age.as_secs(), MIN_RESOLVE_AGE.as_secs())
        }
    }
}

/// Returns the transaction that resolves the claim in `row` at `unix_ms` and
/// appends the `audit` record.
pub fn resolve(
    row: &Row,
    resolution: Resolution,
    audit: Write,
    unix_ms: u64,
) -> Result<Transaction, Error> {
    let entry = Entry::try_from(row)?;
    if entry.state != State::Claimed {
        return Err(Error::AlreadySettled(row.key.key.clone()));
    }
    let claim_age = age(&entry, unix_ms);
    if claim_age < MIN_RESOLVE_AGE {
        return Err(Error::TooRecent(row.key.key.clone(), claim_age));
    }
    let state = match resolution {
        Resolution::Ran => State::Ran,
        Resolution::NotRun => State::Released,
    };
    let value = Entry { state, ..entry }.encode();
    Ok(Transaction {
        checks: vec![Check::Revision(row.key.clone(), row.revision)],
        writes: vec![Write::Put(row.key.clone(), value), audit],
    })
}

/// The claims among `rows` that an operator has to resolve, as of `unix_ms`.
pub fn unresolved(rows: &[Row], unix_ms: u64) -> impl Iterator<Item = (&Row, Entry)> {
    rows.iter().filter_map(move |row| {
        let entry = Entry::try_from(row).ok()?;
        let is_unresolved =
            entry.state == State::Claimed && age(&entry, unix_ms) >= MIN_RESOLVE_AGE;
        is_unresolved.then_some((row, entry))
    })
}

/// Returns the transaction that deletes at most `limit` settled claims among
/// `rows` that are at least `retention` old at `unix_ms`, or `None` if there
/// are none.
///
/// A claim whose outcome is unknown never expires.
pub fn expire(
    rows: &[Row],
    unix_ms: u64,
    retention: Duration,
    limit: usize,
) -> Option<Transaction> {
    let expired = |row: &&Row| {
        Entry::try_from(*row)
            .is_ok_and(|entry| entry.state != State::Claimed && age(&entry, unix_ms) >= retention)
    };
    let mut transaction = Transaction::default();
    for row in rows.iter().filter(expired).take(limit) {
        transaction.checks.push(Check::Revision(row.key.clone(), row.revision));
        transaction.writes.push(Write::Delete(row.key.clone()));
    }
    (!transaction.writes.is_empty()).then_some(transaction)
}

const fn age(entry: &Entry, unix_ms: u64) -> Duration {
    Duration::from_millis(unix_ms.saturating_sub(entry.unix_ms))
}
