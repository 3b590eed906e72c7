//! Outages of the store, in which entries of living endpoints lapse.
//!
//! A router cannot tell an outage from its own cut off the store, in which endpoints leave as
//! usual. See `docs/design/peers.md`, "Entries that lapse".

use std::time::Duration;

use super::Member;
use crate::time::Instant;

/// Time after the store comes back within which endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2_200);

/// A time without reads of the directory that may have been an outage of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    ended: Instant,
    entry_lifetime: Duration,
}

/// When and after what the directory was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read {
    /// Begin of the read.
    pub began: Instant,
    /// The outage before it, if entries may still be missing because of one.
    pub outage: Option<Outage>,
}

impl Outage {
    /// The outage after which the store first answered at `ended`. An entry lapses when it has
    /// not been written for `entry_lifetime`.
    pub const fn ending(ended: Instant, entry_lifetime: Duration) -> Self {
        Self { ended, entry_lifetime }
    }

    /// The outage of a peer that keeps endpoints for `remaining` after `now`, if it keeps any.
    pub fn of_peer(remaining: Duration, entry_lifetime: Duration, now: Instant) -> Option<Self> {
        let remaining = remaining.min(REREGISTRATION_PERIOD);
        let ended = now - (REREGISTRATION_PERIOD - remaining);
        (!remaining.is_zero()).then(|| Self::ending(ended, entry_lifetime))
    }

    /// What two routers know of one outage: the earlier notice of its end, and the least that
    /// entries are known to last.
    pub fn merge(self, other: Self) -> Self {
        Self {
            ended: self.ended.min(other.ended),
            entry_lifetime: self.entry_lifetime.min(other.entry_lifetime),
        }
    }

    /// Time from which an endpoint without an entry is gone.
    pub fn registered_until(self) -> Instant {
        self.ended + REREGISTRATION_PERIOD
    }
}

impl Read {
    /// Whether an endpoint without an entry in this read, which was answered by `now`, may
    /// live. One that was written so recently that its entry could not have lapsed has left.
    pub(super) fn may_miss(&self, member: &Member, now: Instant) -> bool {
        self.outage.is_some_and(|outage| {
            self.began < outage.registered_until()
                && now >= member.written_after + outage.entry_lifetime
        })
    }
}
