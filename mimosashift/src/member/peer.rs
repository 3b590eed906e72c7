//! State of another router according to its last heartbeat.

use std::time::Duration;

use crate::time::Instant;
use crate::wire::message::Heartbeat;

/// Time without a heartbeat after which a router counts as suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(3_500);

/// Time without a heartbeat after which a router counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(6_500);

/// Liveness of a router as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// A heartbeat arrived recently.
    Alive,
    /// No heartbeat for [`SUSPECT_AFTER`].
    Suspect,
    /// No heartbeat for [`DEAD_AFTER`], or presumed dead.
    Dead,
    /// Has announced that it is shutting down.
    Leaving,
}

/// Another router according to its last heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// Arrival time of the last heartbeat.
    pub last_heartbeat_at: Instant,
    /// When the router last polled the head of the configuration table.
    pub polled: Option<Instant>,
    /// Set when this process was paused: the router counts as dead until its
    /// next heartbeat.
    pub(super) presumed_dead: bool,
}

/// Effect of a received heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The router was unknown.
    Joined,
    /// The router was known and is still alive.
    Renewed,
    /// A newer process of the router has replaced the known one.
    Replaced,
    /// The router has announced that it is shutting down.
    Left,
    /// The heartbeat is from a replaced process or out of order; ignored.
    Outdated,
    /// The member table is full; ignored.
    Full,
    /// The heartbeat was sent by this router itself; ignored.
    Own,
}

impl Member {
    /// Liveness of the router at `now`.
    pub fn liveness(&self, now: Instant) -> Liveness {
        let silence = now.since(self.last_heartbeat_at);
        if self.heartbeat.leaving {
            return Liveness::Leaving;
        }
        if self.presumed_dead || silence >= DEAD_AFTER {
            return Liveness::Dead;
        }
        if silence >= SUSPECT_AFTER { Liveness::Suspect } else { Liveness::Alive }
    }

    pub(super) fn compare(&self, next: &Heartbeat) -> Event {
        let known = &self.heartbeat;
        if (next.incarnation, next.sequence) <= (known.incarnation, known.sequence) {
            return Event::Outdated;
        }
        if next.incarnation > known.incarnation { Event::Replaced } else { Event::Renewed }
    }
}
