//! Crashes and the last success of one content.

use std::time::Duration;

use smallvec::SmallVec;

use super::{CRASHES_TO_BLOCK, Content, MIN_CRASH_SPACING, Record, count_spaced};
use crate::fleet::Incarnation;
use crate::time::Instant;

/// Maximum number of crashes that are remembered of a content, the latest ones.
pub const MAX_CRASHES: usize = 8;

/// Crashes and the last success of a content.
#[derive(Clone, Debug)]
pub(super) struct History {
    /// Endpoints that crashed since the last success, in order of time.
    crashes: SmallVec<[(Instant, Incarnation); MAX_CRASHES]>,
    last_success: Option<Instant>,
    /// When a trial began that has not ended.
    pub(super) trial: Option<Instant>,
}

impl History {
    pub(super) fn new(last_success: Option<Instant>) -> Self {
        Self { crashes: SmallVec::new(), last_success, trial: None }
    }

    /// Adds the crash of an endpoint, unless it is known or earlier than the last
    /// success.
    pub(super) fn add_crash(&mut self, endpoint: Incarnation, at: Instant) {
        if self.contains(endpoint) || self.last_success.is_some_and(|success| at <= success) {
            return;
        }
        let index = self.crashes.partition_point(|(earlier, _)| *earlier <= at);
        self.crashes.insert(index, (at, endpoint));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    pub(super) fn add_success(&mut self, at: Instant) {
        self.last_success = self.last_success.max(Some(at));
        self.crashes.retain(|(crash, _)| *crash > at);
        self.trial = None;
    }

    pub(super) fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    pub(super) fn crashes(&self) -> impl Iterator<Item = Incarnation> {
        self.crashes.iter().map(|(_, endpoint)| *endpoint)
    }

    pub(super) fn contains(&self, endpoint: Incarnation) -> bool {
        self.crashes().any(|crash| crash == endpoint)
    }

    /// Times of the crashes that pass `filter`, in order.
    pub(super) fn times_of(
        &self,
        filter: impl Fn(Incarnation) -> bool,
    ) -> SmallVec<[Instant; MAX_CRASHES]> {
        self.crashes.iter().filter(|(_, endpoint)| filter(*endpoint)).map(|(at, _)| *at).collect()
    }

    /// Whether there were enough crashes to block the content.
    pub(super) fn is_suspicious(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_BLOCK
            && count_spaced(self.times_of(|_| true), MIN_CRASH_SPACING) >= CRASHES_TO_BLOCK
    }

    /// Whether this content is a better explanation than `other` of a crash under
    /// both: it was served longer ago or never, or crashed more endpoints.
    pub(super) fn explains_better(&self, other: &Self) -> bool {
        let rank =
            |history: &Self| (std::cmp::Reverse(history.last_success), history.crashes.len());
        rank(self) > rank(other)
    }

    /// Time of the last crash; zero without one.
    pub(super) fn last_crash(&self) -> Instant {
        self.crashes.last().map_or(Instant::ZERO, |(at, _)| *at)
    }

    pub(super) fn last_change(&self) -> Instant {
        self.last_crash().max(self.last_success.unwrap_or(Instant::ZERO))
    }

    pub(super) fn record(&self, content: Content, now: Instant) -> Record {
        let age = |at: Instant| now.since(at);
        Record {
            content,
            crashes: self.crashes.iter().map(|(at, endpoint)| (*endpoint, age(*at))).collect(),
            success_age: self.last_success.map(age),
        }
    }

    pub(super) fn merge(&mut self, record: &Record, now: Instant) {
        let at = |age: Duration| now - age.min(now.since(Instant::ZERO));
        if let Some(age) = record.success_age {
            self.add_success_of_peer(at(age));
        }
        for (endpoint, age) in &record.crashes {
            self.add_crash(*endpoint, at(*age));
        }
    }

    fn add_success_of_peer(&mut self, at: Instant) {
        if self.last_success.is_none_or(|last| at > last) {
            self.add_success(at);
        }
    }
}
