//! Prompt parts that crash engines.
//!
//! Routers record which parts were in the prompts that an engine had just begun
//! to run when it crashed, and share this. A part under which several engines
//! have crashed, and no request has been served since, is blocked for a while.
//! See `docs/design/quarantine.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::exchange::PromptPart;
use crate::time::Instant;

mod content;
mod history;
mod record;

pub use content::Fingerprint;
pub use record::Record;

use self::history::History;

/// Crashes after which a part is blocked. Two may be a coincidence.
const CRASHES_TO_BLOCK: usize = 3;

/// Crashes that follow each other faster than this count as one: a rack or a
/// failure domain that goes down takes many engines at the same moment.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(100);

/// Time after its last crash for which a part is blocked before a request with it
/// is tried again.
const BLOCK_TIME: Duration = Duration::from_secs(60);

/// Additional block time for each other router that tries before this one.
const TRIAL_STAGGER: Duration = Duration::from_secs(5);

/// Time after which the outcome of a trial is no longer waited for.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after its last crash for which a part is remembered that is not blocked.
const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// Time after its last crash for which a blocked part is remembered.
const BLOCK_TTL: Duration = Duration::from_secs(600);

/// Time for which peers are told that a part was served.
const CLEARED_TTL: Duration = Duration::from_secs(10);

/// Maximum number of parts with crashes.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of parts whose last success is remembered.
const MAX_SERVED: usize = 4096;

/// Added to each time, so that crashes from before the boot of this machine, of
/// which peers tell, have a time as well.
const EPOCH_OFFSET: Duration = BLOCK_TTL;

/// An incarnation of an endpoint: the key of its id, and its start.
pub type Incarnation = (u64, u64);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No part of it is blocked.
    Admitted,
    /// One part is blocked, and this request tries it.
    Trial(PromptPart),
    /// It contains this blocked part, which is not tried before this time has
    /// passed.
    Blocked(PromptPart, Duration),
}

/// Crashes and successes by prompt part, as known to one router.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<PromptPart, History>,
    /// Last success of each part.
    served: BTreeMap<PromptPart, Instant>,
}

impl Quarantine {
    /// Records that an endpoint crashed when it began to run a request with these
    /// parts.
    pub fn record_crash(&mut self, parts: &[PromptPart], endpoint: Incarnation, now: Instant) {
        let now = now + EPOCH_OFFSET;
        for part in parts {
            let suspect = self.suspect(*part, now);
            suspect.add_crash(endpoint, now);
            suspect.trial = None;
        }
    }

    /// The history of a part, which is new if the part was no suspect.
    fn suspect(&mut self, part: PromptPart, now: Instant) -> &mut History {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            self.expire_at(now);
            self.make_room();
        }
        let served = self.served.get(&part).copied();
        self.suspects.entry(part).or_insert_with(|| History::new(served))
    }

    /// Forgets the least suspicious part if no other one fits.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let by_suspicion = |(_, history): &(&PromptPart, &History)| {
            (history.crashes().count(), history.last_change())
        };
        if let Some((&least, _)) = self.suspects.iter().min_by_key(by_suspicion) {
            self.suspects.remove(&least);
        }
    }

    /// Records that an endpoint has run a request with these parts for some time
    /// without a crash.
    pub fn record_success(&mut self, parts: &[PromptPart], now: Instant) {
        let now = now + EPOCH_OFFSET;
        for part in parts {
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.add_success(now);
            }
            self.remember_success(*part, now);
        }
    }

    fn remember_success(&mut self, part: PromptPart, at: Instant) {
        let last = self.served.entry(part).or_insert(at);
        *last = at.max(*last);
        if self.served.len() > MAX_SERVED {
            let oldest = self.served.iter().min_by_key(|(_, at)| **at).map(|(part, _)| *part);
            self.served.remove(&oldest.expect("the map is not empty"));
        }
    }

    /// Whether every part is known to have been served at some time.
    pub fn are_served(&self, parts: &[PromptPart]) -> bool {
        parts.iter().all(|part| self.served.contains_key(part))
    }

    /// Whether a request with these parts may be sent; `rank` gives the number of
    /// routers that try a blocked part before this one. A trial that is returned
    /// has begun.
    pub fn admit(
        &mut self,
        parts: &[PromptPart],
        rank: impl FnOnce(PromptPart) -> usize,
        now: Instant,
    ) -> Verdict {
        let mut blocked = parts.iter().copied().filter(|part| self.is_blocked(*part));
        let Some(part) = blocked.next() else { return Verdict::Admitted };
        if blocked.any(|other| other != part) {
            // A crash would not tell which of the parts caused it.
            return Verdict::Blocked(part, BLOCK_TIME);
        }
        let now = now + EPOCH_OFFSET;
        let left = self.time_to_trial(part, parts, rank(part), now);
        if !left.is_zero() {
            return Verdict::Blocked(part, left);
        }
        let suspect = self.suspects.get_mut(&part).expect("a blocked part is a suspect");
        suspect.trial = Some(now);
        Verdict::Trial(part)
    }

    /// Time until a request with these parts, of which one is blocked, may try it.
    fn time_to_trial(
        &self,
        part: PromptPart,
        parts: &[PromptPart],
        rank: usize,
        now: Instant,
    ) -> Duration {
        let suspect = &self.suspects[&part];
        if let Some(trial) = suspect.trial.filter(|at| now.since(*at) < TRIAL_TIMEOUT) {
            return (trial + TRIAL_TIMEOUT).since(now);
        }
        // Without the part that was in all the crashes as well, this request is
        // likely to succeed and clear its own.
        let other_cause = |(other, history): (&PromptPart, &History)| {
            !parts.contains(other)
                && history.is_suspicious()
                && suspect.crashes().all(|crash| history.contains(crash))
        };
        if self.suspects.iter().any(other_cause) {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(rank).unwrap_or(u32::MAX);
        let trial_at = suspect.last_crash() + BLOCK_TIME + TRIAL_STAGGER.saturating_mul(ahead);
        trial_at.since(now)
    }

    /// Whether a part is blocked: enough crashes are best explained by it.
    pub fn is_blocked(&self, part: PromptPart) -> bool {
        self.suspects.contains_key(&part) && self.crash_count(part) >= CRASHES_TO_BLOCK
    }

    /// Blocked parts and the number of their crashes.
    pub fn blocked(&self) -> impl Iterator<Item = (PromptPart, usize)> {
        let suspicious = self.suspects.iter().filter(|(_, history)| history.is_suspicious());
        let counts = suspicious.map(|(part, _)| (*part, self.crash_count(*part)));
        counts.filter(|(_, count)| *count >= CRASHES_TO_BLOCK)
    }

    /// Number of crashes under a part that no other part explains better.
    pub fn crash_count(&self, part: PromptPart) -> usize {
        let Some(suspect) = self.suspects.get(&part) else { return 0 };
        let unexplained = suspect.times_of(|crash| {
            !self.suspects.iter().any(|(other, history)| {
                *other != part && history.contains(crash) && history.explains_better(suspect)
            })
        });
        count_spaced(unexplained, MIN_CRASH_SPACING)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.expire_at(now + EPOCH_OFFSET);
    }

    fn expire_at(&mut self, now: Instant) {
        let blocked: SmallVec<[PromptPart; 4]> = self.blocked().map(|(part, _)| part).collect();
        self.suspects.retain(|part, history| {
            let ttl = match (history.crashes().next(), blocked.contains(part)) {
                (None, _) => CLEARED_TTL,
                (Some(_), false) => SUSPICION_TTL,
                (Some(_), true) => BLOCK_TTL,
            };
            now.since(history.last_change()) < ttl
        });
    }

    /// What peers have to know.
    pub fn records(&self, now: Instant) -> Vec<Record> {
        let now = now + EPOCH_OFFSET;
        let record = |(part, history): (&PromptPart, &History)| history.record(*part, now);
        self.suspects.iter().map(record).collect()
    }

    /// Adds what a peer knows.
    pub fn merge(&mut self, records: &[Record], now: Instant) {
        let now = now + EPOCH_OFFSET;
        for record in records {
            let suspect = self.suspect(record.part, now);
            suspect.merge(record, now);
            if let Some(at) = suspect.last_success() {
                self.remember_success(record.part, at);
            }
        }
    }
}

/// Number of times of which each is at least `spacing` after the one counted
/// before; `times` are in order.
fn count_spaced(times: impl IntoIterator<Item = Instant>, spacing: Duration) -> usize {
    let (mut count, mut last) = (0, None);
    for at in times {
        if last.is_none_or(|last| at.since(last) >= spacing) {
            count += 1;
            last = Some(at);
        }
    }
    count
}
