//! Limits a router's calls to its share of the platform's rate limit.
//!
//! All live routers have equal shares. A share is a token bucket, in which less
//! important calls leave a reserve for more important ones.

use crate::time::Instant;

/// Purpose of a call, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Reading and changing the configuration.
    Config,
    /// Claiming and recording postings, and leases.
    Posting,
    /// Deleting old rows.
    Cleanup,
}

/// Token bucket of a router.
///
/// Tokens are counted in millionths, so that a small share is not rounded to 0.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    platform_per_second: u64,
    routers: u64,
    burst: u64,
    micro_tokens: u64,
    refilled_at: Instant,
}

const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

impl Class {
    /// Percentage of the bucket that this class reserves for more important ones.
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
    /// All routers together make up to `platform_per_second` calls per second and,
    /// when their buckets are full, a burst of `routers * burst` calls.
    pub fn new(platform_per_second: u32, routers: u32, burst: u32, now: Instant) -> Self {
        let burst = u64::from(burst.max(4));
        Self {
            platform_per_second: u64::from(platform_per_second),
            routers: u64::from(routers.max(1)),
            burst,
            micro_tokens: burst * MICRO_TOKENS_PER_TOKEN,
            refilled_at: now,
        }
    }

    /// Changes the number of live routers.
    pub fn set_routers(&mut self, routers: u32, now: Instant) {
        self.refill(now);
        self.routers = u64::from(routers.max(1));
    }

    /// Takes the token for one call, or returns `false` if too few are left.
    pub fn take(&mut self, class: Class, now: Instant) -> bool {
        self.refill(now);
        let reserve = self.burst * MICRO_TOKENS_PER_TOKEN * class.reserve_percent() / 100;
        if self.micro_tokens < reserve + MICRO_TOKENS_PER_TOKEN {
            return false;
        }
        self.micro_tokens -= MICRO_TOKENS_PER_TOKEN;
        true
    }

    fn refill(&mut self, now: Instant) {
        let micros = u64::try_from(now.since(self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let rate = self.platform_per_second;
        let capacity = self.burst * MICRO_TOKENS_PER_TOKEN;
        let added = micros.saturating_mul(rate) / self.routers;
        if added == 0 {
            return;
        }
        self.micro_tokens = capacity.min(self.micro_tokens.saturating_add(added));
        self.refilled_at = now;
    }
}
