//! How far each failure domain has installed the configuration.
//!
//! A router hears every other of its own domain, but only a few of the other
//! domains. Those pass on a summary of each domain that they know of.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::resource::Name;
use crate::time::Instant;
use crate::wire::message::Summary;

/// Age at which a summary is dropped.
const MAX_AGE: Duration = Duration::from_secs(20);

/// Most failure domains remembered.
const MAX_DOMAINS: usize = 64;

/// Most bytes of summaries in one heartbeat.
const MAX_SUMMARY_BYTES: usize = 400;

/// Most bytes of a summary beside its domain's name.
const SUMMARY_BYTES: usize = 32;

/// Live routers of a failure domain that have installed a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Routers known to have installed it; there may be more.
    pub installed: usize,
    /// Live routers.
    pub live: usize,
}

/// The latest summary of each other failure domain.
#[derive(Debug, Default)]
pub(super) struct Domains {
    summaries: BTreeMap<Name, (Summary, Instant)>,
}

impl Domains {
    /// Takes in summaries from a heartbeat; the later made one stays.
    pub(super) fn take_in(&mut self, now: Instant, own: &Name, summaries: Vec<Summary>) {
        for summary in summaries {
            let made = now - Duration::from_millis(u64::from(summary.ms_ago));
            let known = self.summaries.get(&summary.domain);
            let full = known.is_none() && self.summaries.len() >= MAX_DOMAINS;
            let later = known.is_none_or(|(_, known)| made > *known);
            if later && !full && summary.domain != *own {
                self.summaries.insert(summary.domain.clone(), (summary, made));
            }
        }
    }

    /// Drops what is too old.
    pub(super) fn forget(&mut self, now: Instant) {
        self.summaries.retain(|_, (_, made)| now.since(*made) < MAX_AGE);
    }

    /// What is known of each other domain about `revision`.
    pub(super) fn in_force(&self, revision: u64) -> BTreeMap<Name, InForce> {
        let count = |(domain, (summary, _)): (&Name, &(Summary, Instant))| {
            (domain.clone(), summary.in_force(revision))
        };
        self.summaries.iter().map(count).collect()
    }

    /// The own domain's summary and as many others, at random, as fit.
    pub(super) fn sample(&self, now: Instant, own: Summary, rng: &mut Pcg64Mcg) -> Vec<Summary> {
        let known: Vec<_> = self.summaries.values().collect();
        let mut bytes = SUMMARY_BYTES + own.domain.as_str().len();
        let mut sample = vec![own];
        for (summary, made) in known.sample(rng, known.len()) {
            bytes += SUMMARY_BYTES + summary.domain.as_str().len();
            if bytes > MAX_SUMMARY_BYTES {
                break;
            }
            let ms_ago = u32::try_from(now.since(*made).as_millis()).unwrap_or(u32::MAX);
            sample.push(Summary { ms_ago, ..summary.clone() });
        }
        sample
    }
}

impl Summary {
    /// Sums up the revisions that the live routers of a domain have installed.
    pub fn new(domain: Name, revisions: &[u64]) -> Self {
        let highest = revisions.iter().copied().max().unwrap_or_default();
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        Self {
            domain,
            live: count(revisions.len()),
            lowest: revisions.iter().copied().min().unwrap_or_default(),
            highest,
            at_highest: count(revisions.iter().filter(|r| **r == highest).count()),
            ms_ago: 0,
        }
    }

    /// How many routers are certain to have installed `revision`.
    pub fn in_force(&self, revision: u64) -> InForce {
        let installed = match revision {
            r if r <= self.lowest => self.live,
            r if r <= self.highest => self.at_highest,
            _ => 0,
        };
        InForce { installed: usize::from(installed), live: usize::from(self.live) }
    }
}
