//! Configuration revisions installed in each failure domain.
//!
//! A router receives heartbeats from every router of its own domain but only
//! from a few of the others. Heartbeats therefore carry summaries of the
//! domains that the sender knows.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::resource::Name;
use crate::time::Instant;
use crate::wire::message::DomainSummary;

/// Age at which a summary is discarded.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(20);

/// Maximum number of failure domains stored.
const MAX_DOMAINS: usize = 64;

/// Maximum size of the summaries in one heartbeat.
const MAX_SUMMARIES_BYTES: usize = 400;

/// Maximum size of a summary without the name of its domain.
const SUMMARY_OVERHEAD_BYTES: usize = 32;

/// Number of live routers of a failure domain that have installed a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Routers known to have installed it; a lower bound.
    pub installed: usize,
    /// All live routers of the domain.
    pub live: usize,
}

/// Latest summary of each other failure domain.
#[derive(Debug, Default)]
pub(super) struct DomainSummaries {
    summaries: BTreeMap<Name, (DomainSummary, Instant)>,
}

impl DomainSummaries {
    /// Merges summaries from a heartbeat; the newest one of each domain wins.
    pub(super) fn merge(&mut self, now: Instant, own: &Name, summaries: Vec<DomainSummary>) {
        for summary in summaries {
            let created = now - Duration::from_millis(u64::from(summary.age_ms));
            let known = self.summaries.get(&summary.domain);
            let full = known.is_none() && self.summaries.len() >= MAX_DOMAINS;
            let newer = known.is_none_or(|(_, known)| created > *known);
            if newer && !full && summary.domain != *own {
                self.summaries.insert(summary.domain.clone(), (summary, created));
            }
        }
    }

    /// Removes summaries older than [`MAX_SUMMARY_AGE`].
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.summaries.retain(|_, (_, created)| now.since(*created) < MAX_SUMMARY_AGE);
    }

    /// Installation counts of `revision` in each other domain.
    pub(super) fn in_force(&self, revision: u64) -> BTreeMap<Name, InForce> {
        let count = |(domain, (summary, _)): (&Name, &(DomainSummary, Instant))| {
            (domain.clone(), summary.in_force(revision))
        };
        self.summaries.iter().map(count).collect()
    }

    /// Returns the summary of the own domain and a random selection of the
    /// others, limited to [`MAX_SUMMARIES_BYTES`].
    pub(super) fn sample(
        &self,
        now: Instant,
        own: DomainSummary,
        rng: &mut Pcg64Mcg,
    ) -> Vec<DomainSummary> {
        let known: Vec<_> = self.summaries.values().collect();
        let mut bytes = SUMMARY_OVERHEAD_BYTES + own.domain.as_str().len();
        let mut sample = vec![own];
        for (summary, created) in known.sample(rng, known.len()) {
            bytes += SUMMARY_OVERHEAD_BYTES + summary.domain.as_str().len();
            if bytes > MAX_SUMMARIES_BYTES {
                break;
            }
            let age_ms = u32::try_from(now.since(*created).as_millis()).unwrap_or(u32::MAX);
            sample.push(DomainSummary { age_ms, ..summary.clone() });
        }
        sample
    }
}

impl DomainSummary {
    /// Summarizes the revisions that the live routers of a domain have
    /// installed.
    pub fn new(domain: Name, revisions: &[u64]) -> Self {
        let highest = revisions.iter().copied().max().unwrap_or_default();
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        Self {
            domain,
            live: count(revisions.len()),
            lowest: revisions.iter().copied().min().unwrap_or_default(),
            highest,
            at_highest: count(revisions.iter().filter(|r| **r == highest).count()),
            age_ms: 0,
        }
    }

    /// Lower bound on the number of routers that have installed `revision`.
    pub fn in_force(&self, revision: u64) -> InForce {
        let installed = match revision {
            r if r <= self.lowest => self.live,
            r if r <= self.highest => self.at_highest,
            _ => 0,
        };
        InForce { installed: usize::from(installed), live: usize::from(self.live) }
    }
}
