//! Keeps one router's calls within its share of the platform's rate.
//!
//! Each router takes an equal share by the number of live routers. The share
//! is a token bucket, of which less important calls leave a reserve.

use crate::time::Instant;

/// What a call is for, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Reading and changing the configuration.
    Config,
    /// Claiming and recording postings, and leases.
    Posting,
    /// Deleting old rows.
    Cleanup,
}

/// A token bucket of one router.
///
/// Tokens are counted in millionths, so that a small share is not rounded away.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    platform_per_second: u64,
    routers: u64,
    burst: u64,
    micro_tokens: u64,
    filled_at: Instant,
}

const MICRO: u64 = 1_000_000;

impl Class {
    /// Percent of the bucket that this class leaves to more important ones.
    const fn reserve_percent(self) -> u64 {
        match self {
            Self::Config => 0,
            Self::Posting => 25,
            Self::Cleanup => 75,
        }
    }
}

impl Budget {
    /// A full bucket of `burst` calls; at least 4, so that every class can
    /// make a call while the bucket is full.
    ///
    /// All routers together make up to `platform_per_second` calls a second
    /// and, after a pause, `routers * burst` at once.
    pub fn new(platform_per_second: u32, routers: u32, burst: u32, now: Instant) -> Self {
        let burst = u64::from(burst.max(4));
        Self {
            platform_per_second: u64::from(platform_per_second),
            routers: u64::from(routers.max(1)),
            burst,
            micro_tokens: burst * MICRO,
            filled_at: now,
        }
    }

    /// Changes the number of live routers.
    pub fn set_routers(&mut self, routers: u32, now: Instant) {
        self.fill(now);
        self.routers = u64::from(routers.max(1));
    }

    /// Takes the token for one call, or returns `false` without a change.
    pub fn take(&mut self, class: Class, now: Instant) -> bool {
        self.fill(now);
        let reserve = self.burst * MICRO * class.reserve_percent() / 100;
        if self.micro_tokens < reserve + MICRO {
            return false;
        }
        self.micro_tokens -= MICRO;
        true
    }

    fn fill(&mut self, now: Instant) {
        let micros = u64::try_from(now.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let rate = self.platform_per_second;
        let full = self.burst * MICRO;
        let added = micros.saturating_mul(rate) / self.routers;
        if added == 0 {
            return;
        }
        self.micro_tokens = full.min(self.micro_tokens.saturating_add(added));
        self.filled_at = now;
    }
}
