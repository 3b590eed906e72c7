//! Requests and prompt contents that crash endpoints.
//!
//! Routers record the contents of the requests that an endpoint had just begun to
//! run when it crashed, and share this. A content under which several endpoints
//! have crashed, and no request has been served since, is blocked for a while.
//! See `docs/design/quarantine.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::fleet::Incarnation;
use crate::time::Instant;

mod content;
mod history;
mod record;
mod served;

pub use content::{Content, Contents, Fingerprint};
pub use record::Record;

use self::history::History;
use self::served::Served;

/// Crashes after which a content is blocked. Two may be a coincidence.
const CRASHES_TO_BLOCK: usize = 3;

/// Crashes from which a repeated request counts as their likely cause.
const CRASHES_OF_LIKELY_CAUSE: usize = 2;

/// Crashes that follow each other faster than this count as one: a rack or a
/// failure domain that goes down takes many engines at the same moment.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(25);

/// Time after its last crash for which a content is blocked before a request with it
/// is tried again.
const BLOCK_TIME: Duration = Duration::from_secs(60);

/// Additional block time for each other router that tries before this one.
const TRIAL_STAGGER: Duration = Duration::from_secs(5);

/// Time after which the outcome of a trial is no longer waited for.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after its last crash for which a content is remembered that is not blocked.
const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// Time after its last crash for which a blocked content is remembered.
const BLOCK_TTL: Duration = Duration::from_secs(600);

/// Time for which peers are told that a content was served.
const CLEARED_TTL: Duration = Duration::from_secs(10);

/// Maximum number of contents with crashes.
const MAX_SUSPECTS: usize = 512;

/// Added to each time, so that crashes from before the boot of this machine, of
/// which peers tell, have a time as well.
const EPOCH_OFFSET: Duration = BLOCK_TTL;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing of it is blocked.
    Admitted,
    /// One content is blocked, and this request tries it.
    Trial(Content),
    /// It has this blocked content, which is not tried before this time has
    /// passed.
    Blocked(Content, Duration),
}

/// Crashes and successes by content, as known to one router.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Content, History>,
    /// Last successes.
    served: Served,
}

impl Quarantine {
    /// Records that an endpoint crashed when it began to run a request with these
    /// contents.
    pub fn record_crash(&mut self, contents: &[Content], endpoint: Incarnation, now: Instant) {
        let now = now + EPOCH_OFFSET;
        for content in contents {
            let suspect = self.suspect(*content, now);
            suspect.add_crash(endpoint, now);
            suspect.trial = None;
        }
    }

    /// The history of a content, which is new if it was no suspect.
    fn suspect(&mut self, content: Content, now: Instant) -> &mut History {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&content) {
            self.expire_at(now);
            self.make_room();
        }
        let served = self.served.last(content);
        self.suspects.entry(content).or_insert_with(|| History::new(served))
    }

    /// Forgets the least suspicious content if no other one fits.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let by_suspicion = |(_, history): &(&Content, &History)| {
            (history.crashes().count(), history.last_change())
        };
        if let Some((&least, _)) = self.suspects.iter().min_by_key(by_suspicion) {
            self.suspects.remove(&least);
        }
    }

    /// Records that an endpoint has run a request with these contents for some time
    /// without a crash.
    pub fn record_success(&mut self, contents: &[Content], now: Instant) {
        let now = now + EPOCH_OFFSET;
        for content in contents {
            if let Some(suspect) = self.suspects.get_mut(content) {
                suspect.add_success(now);
            }
            self.served.insert(*content, now);
        }
    }

    /// Whether a request under which an endpoint crashed is a likely cause: it was in an
    /// earlier crash, or a part of its prompt has never been served.
    pub fn is_likely_cause(&self, contents: &[Content]) -> bool {
        contents.iter().any(|content| match content {
            Content::Part(_) => self.served.last(*content).is_none(),
            Content::Request(_) => self.crash_count(*content) >= CRASHES_OF_LIKELY_CAUSE,
        })
    }

    /// Whether a request with these contents may be sent, as [`verdict`](Self::verdict). A
    /// trial that is returned has begun.
    pub fn admit(
        &mut self,
        contents: &[Content],
        rank: impl Fn(Content) -> usize,
        now: Instant,
    ) -> Verdict {
        let verdict = self.verdict(contents, rank, now);
        if matches!(verdict, Verdict::Trial(_)) {
            for content in self.blocked_of(contents) {
                let suspect = self.suspects.get_mut(&content);
                let suspect = suspect.expect("a blocked content is a suspect");
                suspect.trial = Some(now + EPOCH_OFFSET);
            }
        }
        verdict
    }

    /// Whether a request with these contents may be sent; `rank` gives the number of
    /// routers that try a blocked content before this one.
    pub fn verdict(
        &self,
        contents: &[Content],
        rank: impl Fn(Content) -> usize,
        now: Instant,
    ) -> Verdict {
        let blocked = self.blocked_of(contents);
        let Some(&first) = blocked.first() else { return Verdict::Admitted };
        if blocked.iter().filter(|content| matches!(content, Content::Part(_))).count() > 1 {
            // A crash would not tell which of the parts caused it.
            return Verdict::Blocked(first, BLOCK_TIME);
        }
        let now = now + EPOCH_OFFSET;
        let time_left = |content| self.time_to_trial(content, contents, rank(content), now);
        let (left, content) =
            blocked.iter().map(|content| (time_left(*content), *content)).max().expect("not empty");
        if left.is_zero() { Verdict::Trial(content) } else { Verdict::Blocked(content, left) }
    }

    fn blocked_of(&self, contents: &[Content]) -> BTreeSet<Content> {
        contents.iter().copied().filter(|content| self.is_blocked(*content)).collect()
    }

    /// Time until a request with these contents, of which one is blocked, may try it.
    fn time_to_trial(
        &self,
        content: Content,
        contents: &[Content],
        rank: usize,
        now: Instant,
    ) -> Duration {
        let suspect = &self.suspects[&content];
        if let Some(trial) = suspect.trial.filter(|at| now.since(*at) < TRIAL_TIMEOUT) {
            return (trial + TRIAL_TIMEOUT).since(now);
        }
        // Without the content that was in all the crashes as well, this request is
        // likely to succeed and clear its own.
        let other_cause = |(other, history): (&Content, &History)| {
            !contents.contains(other)
                && history.is_suspicious()
                && !suspect.explains_better(history)
                && suspect.crashes().all(|crash| history.contains(crash))
        };
        if self.suspects.iter().any(other_cause) {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(rank).unwrap_or(u32::MAX);
        let trial_at = suspect.last_crash() + BLOCK_TIME + TRIAL_STAGGER.saturating_mul(ahead);
        trial_at.since(now)
    }

    /// Whether a content is blocked: enough crashes are best explained by it.
    pub fn is_blocked(&self, content: Content) -> bool {
        self.suspects.get(&content).is_some_and(History::is_suspicious)
            && self.crash_count(content) >= CRASHES_TO_BLOCK
    }

    /// Blocked contents and the number of their crashes.
    pub fn blocked(&self) -> impl Iterator<Item = (Content, usize)> {
        let suspicious = self.suspects.iter().filter(|(_, history)| history.is_suspicious());
        let counts = suspicious.map(|(content, _)| (*content, self.crash_count(*content)));
        counts.filter(|(_, count)| *count >= CRASHES_TO_BLOCK)
    }

    /// Number of crashes under a content that no other one explains better.
    pub fn crash_count(&self, content: Content) -> usize {
        let Some(suspect) = self.suspects.get(&content) else { return 0 };
        let unexplained = suspect.times_of(|crash| {
            !self.suspects.iter().any(|(other, history)| {
                *other != content
                    && is_cause(*other, history)
                    && history.contains(crash)
                    && history.explains_better(suspect)
            })
        });
        count_spaced(unexplained, MIN_CRASH_SPACING)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        self.expire_at(now + EPOCH_OFFSET);
    }

    fn expire_at(&mut self, now: Instant) {
        let blocked: SmallVec<[Content; 4]> = self.blocked().map(|(content, _)| content).collect();
        self.suspects.retain(|content, history| {
            let ttl = match (history.crashes().next(), blocked.contains(content)) {
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
        let record = |(content, history): (&Content, &History)| history.record(*content, now);
        self.suspects.iter().map(record).collect()
    }

    /// Adds what a peer knows.
    pub fn merge(&mut self, records: &[Record], now: Instant) {
        let now = now + EPOCH_OFFSET;
        for record in records {
            let suspect = self.suspect(record.content, now);
            suspect.merge(record, now);
            if let Some(at) = suspect.last_success() {
                self.served.insert(record.content, at);
            }
        }
    }
}

/// Whether a content can explain crashes under others. Each request that was in one crash
/// only would explain that crash, since it has never been served.
fn is_cause(content: Content, history: &History) -> bool {
    matches!(content, Content::Part(_)) || history.crashes().count() >= CRASHES_OF_LIKELY_CAUSE
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
