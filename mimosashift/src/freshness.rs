//! How long the keys of the installed configuration may be accepted.
//!
//! A key may be revoked at any time. A read of the store proves that the key
//! had not been revoked when the read began, so the key may be accepted until
//! the revocation bound, the maximum time from the revocation of a key until
//! every router refuses it, has passed since then. See
//! `docs/design/deployment.md`, "Staleness".

use std::time::Duration;

use crate::time::Instant;

/// The revocation bound divided by this is subtracted from it, to allow for clock
/// drift.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// When the installed configuration was last confirmed to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
}

/// A confirmation forwarded by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConfirmation {
    /// When this router sent the message whose timestamp the peer returned with the
    /// confirmation.
    pub request_sent: Instant,
    /// Revision installed at the peer.
    pub revision: u64,
    /// Age of the peer's own confirmation when it answered.
    pub age: Duration,
}

impl Freshness {
    /// Records a read of the store that started at `read_started` and found the
    /// installed configuration to be the newest.
    pub fn confirm(&mut self, read_started: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(read_started));
    }

    /// Records a peer's confirmation; returns false, without recording it, if
    /// the peer has a newer revision than `installed`.
    pub fn confirm_from_peer(&mut self, confirmation: &PeerConfirmation, installed: u64) -> bool {
        if confirmation.revision > installed {
            return false;
        }
        self.confirm(confirmation.request_sent - confirmation.age);
        true
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether keys may be accepted under the revocation bound `bound`.
    pub fn is_fresh(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound - bound / CLOCK_DRIFT_DIVISOR)
    }
}
