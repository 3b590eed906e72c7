//! Signs of life of endpoints: progress, failures, silence.

use std::time::Duration;

use smallvec::SmallVec;

use super::{Fleet, Hop, Member};
use crate::time::Instant;

/// Time for which an endpoint is left out after a first failure.
const FIRST_DOUBT: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is left out after a failure; it then
/// gets one more try, as an endpoint that is gone leaves the directory anyway.
const MAX_DOUBT: Duration = Duration::from_secs(3);

/// Time without progress after which an endpoint in use counts as silent:
/// some events of any one stream.
const QUIET: Duration = Duration::from_millis(150);

/// Time for which an endpoint that refused work for want of memory gets no
/// new work: some streams end there meanwhile.
const FIRST_CROWDED: Duration = Duration::from_millis(100);

/// Longest such time, when it refuses again each time: streams of some seconds
/// leave a good part of the memory free by then.
const MAX_CROWDED: Duration = Duration::from_millis(1_600);

/// Endpoints of a zone that fail at the same time before the zone is doubted.
const MIN_DOUBTED: usize = 3;

/// One of this many endpoints of a zone must fail before the zone is doubted.
const DOUBTED_DIVISOR: usize = 4;

/// Time for which a zone is left out.
const ZONE_DOUBT: Duration = Duration::from_secs(1);

/// Weight of the latest answer in an endpoint's share of failures.
const FAILURE_GAIN: f64 = 0.2;

/// Streams that must pass through an endpoint before its silence says
/// anything by itself.
const MIN_PASSING: u32 = 3;

/// Pause between two events that is assumed before any was seen.
const FIRST_PAUSE: Duration = Duration::from_millis(80);

/// Pauses longer than this are faults and do not count as usual.
const MAX_USUAL_PAUSE: Duration = Duration::from_millis(300);

/// Weight of the latest pause in the usual one: some hundred events, a few
/// seconds of a busy router.
const PAUSE_GAIN: f64 = 0.01;

/// Silence of an endpoint in use, in usual pauses, after which it is asked for
/// a report: streams that share their chain move together.
const STALLED_PAUSES: f64 = 1.5;

/// Time for which an endpoint must be found dead, twice at least, before its
/// layers are placed elsewhere.
const LOST_AFTER: Duration = Duration::from_millis(600);

/// One of this many endpoints of a zone that are dead at once mean a cut.
const CUT_DIVISOR: usize = 3;

/// The usual time between two events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Pause(f64);

impl Default for Pause {
    fn default() -> Self {
        Self(FIRST_PAUSE.as_secs_f64())
    }
}

impl Pause {
    fn add(&mut self, pause: Duration) {
        if pause <= MAX_USUAL_PAUSE {
            self.0 += PAUSE_GAIN * (pause.as_secs_f64() - self.0);
        }
    }

    /// Silence that is longer than usual.
    fn limit(self) -> Duration {
        Duration::from_secs_f64(self.0 * STALLED_PAUSES)
    }
}

impl Fleet {
    /// Notes that work made progress through a chain, with the time since it
    /// last did.
    pub fn record_progress(&mut self, chain: &[Hop], pause: Option<Duration>, now: Instant) {
        if let Some(pause) = pause {
            self.usual_pause.add(pause);
        }
        for hop in chain {
            if let Some(member) = self.members.get_mut(&hop.id) {
                member.progress = now;
                member.strikes = 0;
                member.dead_since = None;
            }
        }
    }

    /// The endpoints through which several streams pass and nothing has come
    /// for longer than any one stream usually pauses.
    pub fn stalled(&self, now: Instant) -> SmallVec<[Hop; 4]> {
        let limit = self.usual_pause.limit();
        let stalled = |m: &&Member| {
            m.passing >= MIN_PASSING && now.since(m.progress) >= limit && m.dead_since.is_none()
        };
        self.members.values().filter(stalled).filter_map(Member::hop).collect()
    }

    /// Notes that an endpoint gives no answer at all.
    pub fn mark_dead(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.dead_since.get_or_insert(now);
        }
        self.record_failure(id, now);
    }

    /// The endpoints that gave no answer.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.dead_since.is_some())
    }

    /// The dead endpoints that are to be asked again.
    pub fn due_for_probe(&self, now: Instant) -> Vec<Hop> {
        self.dead().filter(|member| now >= member.doubted_until).filter_map(Member::hop).collect()
    }

    /// Endpoints by their short names and incarnations, without those that are
    /// known to be dead.
    pub fn hops_by_key(&self, names: &[(u64, u64)]) -> Vec<Hop> {
        let named = |m: &&Member| m.dead_since.is_none() && names.contains(&m.key());
        if names.is_empty() {
            return Vec::new();
        }
        self.members.values().filter(named).filter_map(Member::hop).collect()
    }

    /// Whether an endpoint gave no answer when it was last asked.
    pub fn is_dead(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.dead_since.is_some())
    }

    /// How long ago an endpoint that is dead was first found to be.
    pub fn dead_for(&self, id: &str, now: Instant) -> Option<Duration> {
        self.members.get(id)?.dead_since.map(|since| now.since(since))
    }

    /// Whether an endpoint has been dead for so long that its layers are to be
    /// placed elsewhere. Where a large part of a zone is dead at once, the way
    /// there is cut and its endpoints are likely to be well.
    pub fn is_lost(&self, member: &Member, now: Instant) -> bool {
        let lost = member.dead_since.is_some_and(|since| now.since(since) >= LOST_AFTER);
        let near = |m: &&Member| {
            m.endpoint.zone == member.endpoint.zone && m.endpoint.service == member.endpoint.service
        };
        let (of, dead) = self
            .members
            .values()
            .filter(near)
            .fold((0, 0), |(of, dead), m| (of + 1, dead + usize::from(m.dead_since.is_some())));
        lost && dead * CUT_DIVISOR < of
    }

    /// The endpoints of a chain through which nothing has passed for a while.
    pub fn silent(&self, chain: &[Hop], now: Instant) -> SmallVec<[Hop; 4]> {
        let passing = |m: &Member| now < m.progress + QUIET;
        let silent = |hop: &&Hop| !self.members.get(&hop.id).is_some_and(passing);
        chain.iter().filter(silent).cloned().collect()
    }

    /// Notes that an endpoint failed; it is left out for a while.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        let Some(member) = self.members.get_mut(id) else { return };
        let doubt = FIRST_DOUBT.saturating_mul(1 << member.strikes.min(8)).min(MAX_DOUBT);
        member.strikes += 1;
        member.failures += FAILURE_GAIN * (1.0 - member.failures);
        member.doubted_until = now + doubt;
        let (service, zone) = (member.endpoint.service.clone(), member.endpoint.zone.clone());
        self.doubt_zone(&service, &zone, now);
    }

    /// Notes that an endpoint had no memory for a request; it is well otherwise.
    /// One that refuses soon after it was tried again is left for longer, as
    /// many routers may press it.
    pub fn record_cache_full(&mut self, id: &str, now: Instant) {
        let Some(member) = self.members.get_mut(id) else { return };
        if now < member.crowded_until {
            return;
        }
        let again = now < member.crowded_until + member.crowded_for;
        let next = if again { member.crowded_for * 2 } else { FIRST_CROWDED };
        member.crowded_for = next.min(MAX_CROWDED);
        member.crowded_until = now + member.crowded_for;
    }

    /// Leaves out a service's endpoints in a zone through which nothing passes
    /// while many of them fail: it is likely to be cut off, and to find that
    /// out for each one would cost a request each.
    fn doubt_zone(&mut self, service: &str, zone: &str, now: Instant) {
        let mut of: SmallVec<[&mut Member; 32]> = self
            .members
            .values_mut()
            .filter(|m| &*m.endpoint.service == service && &*m.endpoint.zone == zone)
            .collect();
        let doubted = of.iter().filter(|m| now < m.doubted_until).count();
        let passing = of.iter().any(|m| now < m.progress + QUIET);
        if doubted >= MIN_DOUBTED && doubted * DOUBTED_DIVISOR >= of.len() && !passing {
            for member in &mut of {
                member.doubted_until = member.doubted_until.max(now + ZONE_DOUBT);
            }
        }
    }

    /// Notes how an endpoint answered.
    pub fn record_answer(&mut self, id: &str, well: bool) {
        let Some(member) = self.members.get_mut(id) else { return };
        let failed = if well { 0.0 } else { 1.0 };
        member.failures += FAILURE_GAIN * (failed - member.failures);
        if well {
            member.strikes = 0;
        }
    }
}
