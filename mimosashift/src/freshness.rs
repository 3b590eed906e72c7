//! How long the installed configuration may be trusted.
//!
//! A key may be taken away at any time. A reading of the store proves that it
//! had not been by the time the reading began, so it may be used until the
//! bound after that. See `docs/design/deployment.md`, "Staleness".

use std::time::Duration;

use crate::time::Instant;

/// Share of the bound that is not used, for clocks that run at unlike rates.
const MARGIN_DIVISOR: u32 = 20;

/// When the installed configuration was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<Instant>,
}

/// A confirmation that a peer passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerConfirmation {
    /// When this router sent the stamp that the peer returned.
    pub request_sent: Instant,
    /// Revision that the peer holds.
    pub revision: u64,
    /// How long ago the peer's confirmation was when it answered.
    pub age: Duration,
}

impl Freshness {
    /// Takes in a reading of the store that began at `began` and showed the
    /// installed configuration to be the newest.
    pub fn confirm(&mut self, began: Instant) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Takes in a peer's confirmation, if it speaks of what is installed;
    /// false when the peer holds a newer revision.
    pub fn confirm_from_peer(&mut self, relayed: &PeerConfirmation, installed: u64) -> bool {
        if relayed.revision > installed {
            return false;
        }
        self.confirm(relayed.request_sent - relayed.age);
        true
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether keys may be used under a bound.
    pub fn is_fresh(&self, bound: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < bound - bound / MARGIN_DIVISOR)
    }
}
