//! Which routers of a zone read the store, and how often.
//!
//! The calls of a zone must not grow with its routers: one reads for the others, which
//! take from it what has changed. See `docs/design/peers.md`, "Reading the store".

use std::time::Duration;

use super::{Format, Peer, Peers};
use crate::time::Instant;

/// Minimum time after which a router reads the store itself, whatever its peers have seen.
const MIN_DIRECT_READ_INTERVAL: Duration = Duration::from_secs(5);

/// That time for each live router of the zone: of all of them one reads this often.
const DIRECT_READ_INTERVAL_PER_ROUTER: Duration = Duration::from_secs(2);

/// Time after a failed call before the next one, as long as few routers of the zone try.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// That time for each live router of the zone, so that their calls stay few while the
/// store is away, and one of them finds it back soon after its return.
const RETRY_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(125);

/// Age up to which a configuration counts as fresh enough to deny a request by it, for each
/// live router of the zone; the bound is what it usually is at routers that rely on a peer.
const FRESH_CONFIG_AGE_PER_ROUTER: Duration = Duration::from_millis(250);
const MAX_FRESH_CONFIG_AGE: Duration = Duration::from_secs(1);

/// Age up to which a peer's directory is taken in place of one read from the store.
pub const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(1_500);

/// Number of routers that try to acquire a lease without a holder at the same time.
const LEASE_CANDIDATES: usize = 3;

/// Time after which as many further routers try.
const LEASE_CANDIDATE_DELAY: Duration = Duration::from_millis(700);

/// Upper bound of that delay, for deployments with many routers.
const MAX_LEASE_DELAY: Duration = Duration::from_millis(3_500);

impl Peers {
    /// Number of live routers of the own zone, this one included.
    pub fn zone_size(&self, now: Instant) -> u32 {
        let peers = self.alive(now).filter(|peer| peer.digest.zone == self.zone);
        u32::try_from(peers.count() + 1).unwrap_or(u32::MAX)
    }

    /// Time after a direct read of the store after which the next one is due even if the
    /// reader of the zone knows the same: bounds the effect of what digests do not tell.
    pub fn direct_read_interval(&self, now: Instant) -> Duration {
        (DIRECT_READ_INTERVAL_PER_ROUTER * self.zone_size(now)).max(MIN_DIRECT_READ_INTERVAL)
    }

    /// Time after a failed call to the store before the next one; `random` is from
    /// `0.0..1.0`.
    pub fn store_retry_interval(&self, random: f64, now: Instant) -> Duration {
        let interval = (RETRY_INTERVAL_PER_ROUTER * self.zone_size(now)).max(MIN_RETRY_INTERVAL);
        match interval {
            MIN_RETRY_INTERVAL => interval,
            // Routers that lost the store together do not return together.
            _ => interval.mul_f64(0.5 + random),
        }
    }

    /// Age of a configuration above which a request that it does not allow triggers a read
    /// of the store.
    pub fn fresh_config_age(&self, now: Instant) -> Duration {
        (FRESH_CONFIG_AGE_PER_ROUTER * self.zone_size(now)).min(MAX_FRESH_CONFIG_AGE)
    }

    /// The peer whose directory `node` follows: the reader, since others may have theirs from
    /// it. If the reader has read none lately, or there is none while `node` has lost the
    /// store, the first of the zone by name that has.
    pub fn directory_source(&self, node: &str, store_lost: bool, now: Instant) -> Option<&Peer> {
        let is_source = |peer: &&Peer| {
            peer.digest.zone == self.zone
                && peer.digest.format == Format::Parts
                && peer.directory_age(now).is_some_and(|age| age < MAX_DIRECTORY_AGE)
        };
        let reader = self.store_reader(node, now);
        let may_follow = reader.is_some() || store_lost;
        let other = || self.alive(now).find(is_source).filter(|_| may_follow);
        reader.filter(is_source).or_else(other).or(reader)
    }

    /// Time for which a router leaves a lease without a holder to those before it by name
    /// that reach the store.
    pub fn lease_delay(&self, node: &str, now: Instant) -> Duration {
        let ahead = self.alive(now).filter(|peer| !peer.digest.store_lost);
        let rank = ahead.filter(|peer| &*peer.digest.node < node).count();
        let turns = u32::try_from(rank / LEASE_CANDIDATES).unwrap_or(u32::MAX);
        LEASE_CANDIDATE_DELAY.saturating_mul(turns).min(MAX_LEASE_DELAY)
    }
}

impl Peer {
    /// Time since the peer's directory was read from the store.
    pub fn directory_age(&self, now: Instant) -> Option<Duration> {
        let directory = self.digest.directory?;
        Some(directory.age + now.since(self.last_digest_at))
    }
}
