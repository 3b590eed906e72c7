//! Another router as last heard.

use std::time::Duration;

use crate::time::Instant;
use crate::wire::message::Heartbeat;

/// Silence after which a router counts as suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(3_500);

/// Silence after which a router counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_millis(6_500);

/// How alive a router seems.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Heard from recently.
    Alive,
    /// Silent for a few heartbeats.
    Suspect,
    /// Silent for long.
    Dead,
    /// Shutting down by its own announcement.
    Leaving,
}

/// Another router as last heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When that arrived.
    pub heard: Instant,
    /// When it last read the table's head.
    pub polled: Option<Instant>,
    /// Whether it counts as dead until it is heard from again, because this
    /// process was paused.
    pub(super) doubted: bool,
}

/// What a heartbeat led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The router was not known.
    Joined,
    /// The router was known and is still alive.
    Renewed,
    /// A later process took the place of the known one.
    Replaced,
    /// The router has announced that it leaves.
    Left,
    /// The heartbeat comes from a replaced process or is out of order.
    Outdated,
    /// Too many routers are known.
    Full,
    /// The heartbeat is this router's own.
    Own,
}

impl Member {
    /// How alive the router seems at `now`.
    pub fn liveness(&self, now: Instant) -> Liveness {
        let silence = now.since(self.heard);
        if self.heartbeat.leaving {
            return Liveness::Leaving;
        }
        if self.doubted || silence >= DEAD_AFTER {
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
