//! Endpoint resources in use: by this router, by its peers according to their
//! digests, and beyond that according to the endpoints' reports.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Fleet, Member, name_key};
use crate::exchange::Report;
use crate::time::Instant;

/// Time after which a peer's digest expires.
const PEER_DIGEST_TTL: Duration = Duration::from_secs(3);

/// Share of an endpoint's KV cache by which the reported usage must exceed the known
/// usage to count as untracked. Reports are a few hundred milliseconds old, in which the
/// usage changes by some percent.
const MIN_UNTRACKED_SHARE: f64 = 0.1;

/// Time in which untracked usage decays to zero: most streams end within it.
const UNTRACKED_DECAY: Duration = Duration::from_secs(3);

/// Resources of one endpoint that requests use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// KV cache, tokens x layers.
    pub cache: f32,
    /// Pending prefill, tokens x layers.
    pub prefill: f32,
    /// Requests in progress of which it is the first hop or, in a plain service, the
    /// endpoint.
    pub requests: u32,
}

/// Usage by all peers, from their latest digests.
#[derive(Debug, Default)]
pub(super) struct PeerUsage {
    digests: HashMap<Arc<str>, PeerDigest>,
    /// Sums over the digests, by endpoint key. They are updated by what a digest changes,
    /// since summing up all digests for each one received takes too long with hundreds
    /// of peers.
    totals: HashMap<u64, Total>,
    /// When the first of the digests expires.
    next_expiry: Instant,
}

/// Usage in the latest digest of a peer.
#[derive(Debug)]
struct PeerDigest {
    received_at: Instant,
    usage: Vec<(u64, Usage)>,
}

/// Usage of an endpoint, summed over digests.
#[derive(Debug, Default)]
struct Total {
    cache: f64,
    prefill: f64,
    requests: u32,
    /// Digests that contain the endpoint.
    digests: u32,
}

/// KV cache that an endpoint reported in use beyond the known usage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UntrackedCache {
    /// Tokens x layers at the time of the report.
    initial: f32,
    reported_at: Instant,
}

impl Usage {
    pub(super) fn add(&mut self, other: &Self) {
        self.cache += other.cache;
        self.prefill += other.prefill;
        self.requests += other.requests;
    }

    pub(super) fn subtract(&mut self, other: &Self) {
        self.cache = (self.cache - other.cache).max(0.0);
        self.prefill = (self.prefill - other.prefill).max(0.0);
        self.requests = self.requests.saturating_sub(other.requests);
    }
}

impl PeerUsage {
    /// Replaces the digest of a peer and drops expired ones.
    fn replace(&mut self, peer: &Arc<str>, usage: &[(u64, Usage)], now: Instant) {
        let digest = PeerDigest { received_at: now, usage: usage.to_vec() };
        for (endpoint, usage) in &digest.usage {
            self.totals.entry(*endpoint).or_default().add(usage);
        }
        if let Some(previous) = self.digests.insert(peer.clone(), digest) {
            self.subtract(&previous);
        }
        let is_expired = |digest: &PeerDigest| now.since(digest.received_at) >= PEER_DIGEST_TTL;
        let expired: Vec<_> = self.digests.extract_if(|_, digest| is_expired(digest)).collect();
        for (_, digest) in expired {
            self.subtract(&digest);
        }
        let oldest = self.digests.values().map(|digest| digest.received_at).min();
        self.next_expiry = oldest.unwrap_or(now) + PEER_DIGEST_TTL;
    }

    fn subtract(&mut self, digest: &PeerDigest) {
        for (endpoint, usage) in &digest.usage {
            let Some(total) = self.totals.get_mut(endpoint) else { continue };
            total.subtract(usage);
            // Dropping the entry also drops the rounding error of the sums.
            if total.digests == 0 {
                self.totals.remove(endpoint);
            }
        }
    }

    fn of(&self, endpoint: u64, now: Instant) -> Usage {
        if now < self.next_expiry {
            return self.totals.get(&endpoint).map_or_else(Usage::default, Usage::from);
        }
        // The sums still contain expired digests, since none has arrived lately.
        let valid = |digest: &&PeerDigest| now.since(digest.received_at) < PEER_DIGEST_TTL;
        let usage = self.digests.values().filter(valid).flat_map(|digest| &digest.usage);
        let mut total = Total::default();
        usage.filter(|(key, _)| *key == endpoint).for_each(|(_, usage)| total.add(usage));
        Usage::from(&total)
    }

    /// Number of peers whose usage is included, and the age of the oldest digest.
    pub(super) fn sources(&self, now: Instant) -> (usize, Duration) {
        let ages = self.digests.values().map(|digest| now.since(digest.received_at));
        let ages = ages.filter(|age| *age < PEER_DIGEST_TTL);
        ages.fold((0, Duration::ZERO), |(count, oldest), age| (count + 1, oldest.max(age)))
    }
}

impl Total {
    fn add(&mut self, usage: &Usage) {
        self.cache += f64::from(usage.cache);
        self.prefill += f64::from(usage.prefill);
        self.requests += usage.requests;
        self.digests += 1;
    }

    fn subtract(&mut self, usage: &Usage) {
        self.cache = (self.cache - f64::from(usage.cache)).max(0.0);
        self.prefill = (self.prefill - f64::from(usage.prefill)).max(0.0);
        self.requests -= usage.requests;
        self.digests -= 1;
    }
}

impl From<&Total> for Usage {
    fn from(total: &Total) -> Self {
        let Total { cache, prefill, requests, .. } = total;
        Self { cache: *cache as f32, prefill: *prefill as f32, requests: *requests }
    }
}

impl UntrackedCache {
    /// Tokens x layers that still count at `now`.
    fn at(self, now: Instant) -> f32 {
        let age = now.since(self.reported_at).as_secs_f32() / UNTRACKED_DECAY.as_secs_f32();
        self.initial * (1.0 - age).max(0.0)
    }
}

impl Fleet {
    /// Usage by this router and its peers.
    pub(super) fn known_usage(&self, member: &Member, now: Instant) -> Usage {
        let mut usage = member.own_usage;
        usage.add(&self.peer_usage.of(name_key(&member.endpoint.id), now));
        usage
    }

    /// Known usage and untracked KV cache.
    pub(super) fn usage(&self, member: &Member, now: Instant) -> Usage {
        let mut usage = self.known_usage(member, now);
        usage.cache += member.untracked_cache.at(now);
        usage
    }

    /// KV cache of an endpoint in use, tokens x layers.
    pub fn cache(&self, member: &Member, now: Instant) -> f64 {
        f64::from(self.usage(member, now).cache)
    }

    /// Compares the KV cache usage in a report with the usage known to this router, which
    /// lacks that of routers whose digests do not arrive, and counts the difference.
    /// Returns the known usage, in tokens x layers, if the endpoint is much fuller.
    pub fn record_reported_usage(
        &mut self,
        id: &str,
        report: &Report,
        now: Instant,
    ) -> Option<f64> {
        let member = self.members.get(id)?;
        if member.endpoint.incarnation != report.incarnation {
            return None;
        }
        let known = f64::from(self.known_usage(member, now).cache);
        let untracked = report.kv_used - known;
        let is_untracked = untracked > report.kv_total * MIN_UNTRACKED_SHARE;
        let initial = if is_untracked { untracked as f32 } else { 0.0 };
        let member = self.members.get_mut(id)?;
        member.untracked_cache = UntrackedCache { initial, reported_at: now };
        is_untracked.then_some(known)
    }

    /// Usage by this router, for digests; unused endpoints are left out.
    pub fn digest(&self) -> Vec<(u64, Usage)> {
        let used = self.members.values().filter(|member| member.own_usage != Usage::default());
        used.map(|member| (name_key(&member.endpoint.id), member.own_usage)).collect()
    }

    /// Replaces a peer's usage and drops expired digests.
    pub fn merge_digest(&mut self, peer: &Arc<str>, usage: &[(u64, Usage)], now: Instant) {
        self.peer_usage.replace(peer, usage, now);
    }
}
