//! Outages of the store, in which entries of living endpoints lapse.
//!
//! See `docs/design/peers.md`, "Entries that lapse".

use std::time::Duration;

use crate::time::Instant;

/// Time without a read after which entries may have lapsed.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Time after the store comes back within which endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2_200);

/// Time from the begin of a read to its answer at most, and the difference of the ages that
/// routers know of one read; together below [`MIN_OUTAGE`].
const TOLERANCE: Duration = Duration::from_millis(1_200);

/// A time without reads of the directory that may have been an outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    ended: Instant,
}

impl Outage {
    /// The outage after which the directory was first read at `ended`.
    pub const fn ending(ended: Instant) -> Self {
        Self { ended }
    }

    /// The outage of a peer that keeps missing endpoints for `remaining` after `now`.
    pub fn of_peer(remaining: Duration, now: Instant) -> Option<Self> {
        (!remaining.is_zero()).then(|| Self::ending(now + remaining - REREGISTRATION_PERIOD))
    }

    /// Time from which an endpoint without an entry is gone.
    pub fn registered_until(self) -> Instant {
        self.ended + REREGISTRATION_PERIOD
    }

    /// Whether an endpoint that a read at `read_at` does not list may live. One that was listed
    /// after the outage did not lapse in it: it has left.
    pub(super) fn may_hide(self, listed_at: Instant, read_at: Instant) -> bool {
        read_at < self.registered_until() && listed_at + TOLERANCE < self.ended
    }
}
