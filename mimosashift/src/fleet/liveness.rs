//! Tracks the liveness of endpoints from stream progress, failures and missing events.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use smallvec::SmallVec;

use super::{Fleet, Hop, Member};
use crate::time::Instant;

/// Ejection time after a first failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(400);

/// Longest ejection time. The endpoint is then tried again, since one that is gone
/// leaves the directory anyway.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Time without progress after which an endpoint in use counts as silent; a
/// stream normally has at least one event in this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which an endpoint that refused a request for lack of memory gets no
/// new work; some of its streams end in the meantime.
const INITIAL_CACHE_FULL_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after repeated refusals for lack of memory. Streams last seconds, so
/// several of them have ended by then.
const MAX_CACHE_FULL_PAUSE: Duration = Duration::from_millis(1_600);

/// Smallest number of endpoints of a zone that must be ejected at the same time
/// before the whole zone is.
const ZONE_EJECTION_MIN_ENDPOINTS: usize = 3;

/// One in this many endpoints of a zone must be ejected before the whole zone is.
const ZONE_EJECTION_DIVISOR: usize = 4;

/// Ejection time of a zone.
const ZONE_EJECTION: Duration = Duration::from_secs(1);

/// Weight of the latest answer in an endpoint's failure rate (an exponentially
/// weighted average).
const FAILURE_RATE_WEIGHT: f64 = 0.2;

/// Streams that must pass through an endpoint before its silence alone makes it
/// count as stalled.
const STALL_MIN_STREAMS: u32 = 3;

/// Assumed time between two events before any was measured.
const INITIAL_INTERVAL: Duration = Duration::from_millis(80);

/// Longer intervals are taken as faults and left out of the average.
const MAX_NORMAL_INTERVAL: Duration = Duration::from_millis(300);

/// Weight of the latest interval in the average, which thus covers about a
/// hundred events.
const INTERVAL_WEIGHT: f64 = 0.01;

/// Stall timeout of an endpoint, in average event intervals. Streams on the same chain
/// advance together, so that a short timeout suffices.
const STALL_TIMEOUT_INTERVALS: f64 = 1.5;

/// Time for which an endpoint must be dead before its layers are assigned to others.
/// It exceeds the first ejection, after which the endpoint is probed again.
const REASSIGN_AFTER: Duration = Duration::from_millis(600);

/// If one in this many endpoints of a zone is dead at once, the zone counts as
/// partitioned from this router.
const PARTITION_DEAD_DIVISOR: usize = 3;

/// Endpoints of the own zone, and of others, in a sample. With a zone cut off, those of
/// the own zone are still reached.
const SAMPLE_PER_SIDE: usize = 3;

/// Average time between two events of a stream, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct EventInterval(f64);

impl Default for EventInterval {
    fn default() -> Self {
        Self(INITIAL_INTERVAL.as_secs_f64())
    }
}

impl EventInterval {
    fn add(&mut self, interval: Duration) {
        if interval <= MAX_NORMAL_INTERVAL {
            self.0 += INTERVAL_WEIGHT * (interval.as_secs_f64() - self.0);
        }
    }

    /// Silence after which an endpoint counts as stalled.
    fn stall_timeout(self) -> Duration {
        Duration::from_secs_f64(self.0 * STALL_TIMEOUT_INTERVALS)
    }
}

impl Fleet {
    /// Records an event of a stream on a chain, with the time since the previous
    /// one.
    pub fn record_progress(&mut self, chain: &[Hop], interval: Option<Duration>, now: Instant) {
        if let Some(interval) = interval {
            self.mean_interval.add(interval);
        }
        for hop in chain {
            if let Some(member) = self.members.get_mut(&hop.id) {
                member.last_progress = now;
                member.consecutive_failures = 0;
                member.dead_since = None;
            }
        }
    }

    /// The endpoints with several active streams, none of which has made progress
    /// within the stall timeout.
    pub fn stalled(&self, now: Instant) -> SmallVec<[Hop; 4]> {
        let timeout = self.mean_interval.stall_timeout();
        let stalled = |m: &&Member| {
            m.active_streams >= STALL_MIN_STREAMS
                && now.since(m.last_progress) >= timeout
                && m.dead_since.is_none()
        };
        self.members.values().filter(stalled).filter_map(Member::hop).collect()
    }

    /// Marks an endpoint that does not respond at all as dead.
    pub fn mark_dead(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.dead_since.get_or_insert(now);
        }
        self.record_failure(id, now);
    }

    /// The endpoints marked dead.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.dead_since.is_some())
    }

    /// The dead endpoints whose ejection has ended, which are to be probed again.
    pub fn due_for_probe(&self, now: Instant) -> Vec<Hop> {
        self.dead().filter(|member| now >= member.ejected_until).filter_map(Member::hop).collect()
    }

    /// The endpoints with these keys and incarnations, except those already marked
    /// dead.
    pub fn hops_by_key(&self, keys: &[(u64, u64)]) -> Vec<Hop> {
        let matches = |m: &&Member| m.dead_since.is_none() && keys.contains(&m.key());
        if keys.is_empty() {
            return Vec::new();
        }
        self.members.values().filter(matches).filter_map(Member::hop).collect()
    }

    /// A random sample of a service's endpoints, up to `SAMPLE_PER_SIDE` of `zone` and as
    /// many of other zones, to check whether this router reaches any. Endpoints in
    /// `excluded` and those that rest are left out.
    pub fn sample(
        &self,
        service: &str,
        zone: &str,
        excluded: &[Arc<str>],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<Hop> {
        let members = || {
            let listed = self.members.values().filter(|member| member.takes_work());
            let active = listed.filter(|member| !member.is_resting(now));
            let others = active.filter(|member| !excluded.contains(&member.endpoint.id));
            others.filter(|member| &*member.endpoint.service == service)
        };
        let is_local = |member: &&Member| &*member.endpoint.zone == zone;
        let mut sample = members().filter(is_local).sample(rng, SAMPLE_PER_SIDE);
        let remote = members().filter(|member| !is_local(member));
        sample.extend(remote.sample(rng, SAMPLE_PER_SIDE));
        sample.into_iter().map(Member::address_hop).collect()
    }

    /// Number of a service's endpoints that are listed as ready.
    pub fn ready_count(&self, service: &str) -> usize {
        let listed = self.members.values().filter(|member| member.takes_work());
        listed.filter(|member| &*member.endpoint.service == service).count()
    }

    /// Ends the ejections of a service's endpoints, whose failures were those of the
    /// paths to them.
    pub fn end_ejections(&mut self, service: &str) {
        let members = self.members.values_mut();
        for member in members.filter(|member| &*member.endpoint.service == service) {
            member.ejected_until = Instant::ZERO;
            member.consecutive_failures = 0;
        }
    }

    /// Whether an endpoint is marked dead.
    pub fn is_dead(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.dead_since.is_some())
    }

    /// Whether an endpoint has been dead for so long that its layers are to be
    /// assigned to others. If a large part of a zone is dead at once, the network is
    /// probably partitioned and the endpoints are probably healthy.
    pub fn is_lost(&self, member: &Member, now: Instant) -> bool {
        let lost = member.dead_since.is_some_and(|since| now.since(since) >= REASSIGN_AFTER);
        let same_zone = |m: &&Member| {
            m.endpoint.zone == member.endpoint.zone && m.endpoint.service == member.endpoint.service
        };
        let (total, dead) =
            self.members.values().filter(same_zone).fold((0, 0), |(total, dead), m| {
                (total + 1, dead + usize::from(m.dead_since.is_some()))
            });
        lost && dead * PARTITION_DEAD_DIVISOR < total
    }

    /// The hops of a chain whose endpoints are unknown or made no progress within
    /// `SILENCE_TIMEOUT`.
    pub fn silent(&self, chain: &[Hop], now: Instant) -> SmallVec<[Hop; 4]> {
        let progressing = |m: &Member| now < m.last_progress + SILENCE_TIMEOUT;
        let silent = |hop: &&Hop| !self.members.get(&hop.id).is_some_and(progressing);
        chain.iter().filter(silent).cloned().collect()
    }

    /// Records a failure of an endpoint and ejects it, for longer with each
    /// consecutive failure.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        let Some(member) = self.members.get_mut(id) else { return };
        let ejection = INITIAL_EJECTION
            .saturating_mul(1 << member.consecutive_failures.min(8))
            .min(MAX_EJECTION);
        member.consecutive_failures += 1;
        member.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - member.failure_rate);
        member.ejected_until = now + ejection;
        let (service, zone) = (member.endpoint.service.clone(), member.endpoint.zone.clone());
        self.eject_zone(&service, &zone, now);
    }

    /// Records that a healthy endpoint refused a request for lack of memory. One
    /// that refuses again soon gets no work for longer, since many routers may be
    /// sending to it.
    pub fn record_cache_full(&mut self, id: &str, now: Instant) {
        let Some(member) = self.members.get_mut(id) else { return };
        if now < member.cache_full_until {
            return;
        }
        let again = now < member.cache_full_until + member.cache_full_pause;
        let next = if again { member.cache_full_pause * 2 } else { INITIAL_CACHE_FULL_PAUSE };
        member.cache_full_pause = next.min(MAX_CACHE_FULL_PAUSE);
        member.cache_full_until = now + member.cache_full_pause;
    }

    /// Ejects a service's endpoints in a zone if many of them failed and none makes
    /// progress. The zone is then probably unreachable, and detecting this
    /// separately for each endpoint would make a request fail at each.
    fn eject_zone(&mut self, service: &str, zone: &str, now: Instant) {
        let mut members: SmallVec<[&mut Member; 32]> = self
            .members
            .values_mut()
            .filter(|m| &*m.endpoint.service == service && &*m.endpoint.zone == zone)
            .collect();
        let ejected = members.iter().filter(|m| now < m.ejected_until).count();
        let progressing = members.iter().any(|m| now < m.last_progress + SILENCE_TIMEOUT);
        if ejected >= ZONE_EJECTION_MIN_ENDPOINTS
            && ejected * ZONE_EJECTION_DIVISOR >= members.len()
            && !progressing
        {
            for member in &mut members {
                member.ejected_until = member.ejected_until.max(now + ZONE_EJECTION);
            }
        }
    }

    /// Records whether an endpoint answered without an error.
    pub fn record_answer(&mut self, id: &str, succeeded: bool) {
        let Some(member) = self.members.get_mut(id) else { return };
        let failed = if succeeded { 0.0 } else { 1.0 };
        member.failure_rate += FAILURE_RATE_WEIGHT * (failed - member.failure_rate);
        if succeeded {
            member.consecutive_failures = 0;
        }
    }
}
