//! The limits on client connections over time.

use std::time::Duration;

use mimosashift::deployment::Limits;
use mimosashift::time::Instant;
use smallvec::SmallVec;

/// Time for which clients may follow a configuration that has been replaced.
pub const CLIENT_LAG: Duration = Duration::from_secs(2);

/// The limits in force, and earlier ones on which an open connection may still rely.
#[derive(Clone, Debug)]
pub struct LimitHistory {
    current: Limits,
    replaced: SmallVec<[Replaced; 2]>,
}

/// Limits that are no longer in force.
#[derive(Clone, Copy, Debug)]
struct Replaced {
    limits: Limits,
    at: Instant,
}

impl Default for LimitHistory {
    fn default() -> Self {
        Self { current: Limits::default(), replaced: SmallVec::new() }
    }
}

impl LimitHistory {
    /// Puts new limits in force.
    pub fn replace(&mut self, limits: Limits, now: Instant) {
        let earlier = std::mem::replace(&mut self.current, limits);
        self.replaced.push(Replaced { limits: earlier, at: now });
        self.replaced.retain(|replaced| {
            let Limits { idle_timeout, read_timeout, .. } = replaced.limits;
            let is_relied_on = replaced.at + CLIENT_LAG + idle_timeout.max(read_timeout) >= now;
            // Limits that are nowhere larger never count beside those that replace them.
            is_relied_on && largest(&replaced.limits, &limits) != limits
        });
    }

    /// The limits in force.
    pub fn current(&self) -> &Limits {
        &self.current
    }

    /// The largest of each limit that was in force at any time since `since`.
    pub fn largest_since(&self, since: Instant) -> Limits {
        let replaced = self.replaced.iter().filter(|replaced| replaced.at >= since);
        replaced.fold(self.current, |limits, replaced| largest(&limits, &replaced.limits))
    }
}

fn largest(a: &Limits, b: &Limits) -> Limits {
    Limits {
        head_bytes: a.head_bytes.max(b.head_bytes),
        body_bytes: a.body_bytes.max(b.body_bytes),
        read_timeout: a.read_timeout.max(b.read_timeout),
        idle_timeout: a.idle_timeout.max(b.idle_timeout),
    }
}
