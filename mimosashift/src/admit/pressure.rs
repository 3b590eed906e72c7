//! Waiting and retry delays when the engines are short of memory.
//!
//! A request may wait for at most [`MAX_WAIT`], and only as many requests of its rank
//! and of more urgent ones may wait as are admitted in that time at the recent rate.
//! They are tried in the order of rank, then arrival. The larger the fraction of
//! requests of a rank being refused, the longer the retry delay returned to a refused
//! client of that rank.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::deployment::Rank;
use crate::time::Instant;

/// Maximum time for which a request may wait for engine memory. It leaves enough
/// of the shortest latency objective, 500 ms, for the usual time to the first
/// event.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// Time constant of the decaying counts of admitted and refused requests.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Minimum retry delay, short enough that a client admitted on its first retry
/// is still answered in time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Fraction of requests that may be refused without lengthening the retry delay,
/// since single endpoints can be full without a general shortage.
const IGNORED_REFUSED_FRACTION: f64 = 0.02;

/// Upper bound of the retry delay: a third of 20 s, the usual deadline after which
/// clients stop waiting.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(6_500);

/// Number of requests that may always wait, whatever the recent admission rate.
const MIN_WAITING_REQUESTS: f64 = 2.0;

/// A place among the waiting requests; more urgent ranks come first, then earlier arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    rank: Rank,
    number: u64,
}

/// Recent admissions and refusals of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: f64,
    refused: f64,
}

/// Recent admissions and refusals by rank, and the waiting requests.
#[derive(Clone, Debug, Default)]
pub struct MemoryPressure {
    counts: [Counts; Rank::COUNT],
    updated_at: Instant,
    waiting: BTreeSet<Ticket>,
    next_number: u64,
}

impl MemoryPressure {
    /// Lets one more request wait if it is likely to be served in time, given how many
    /// of its rank and of more urgent ones wait; returns its place.
    pub fn begin_wait(&mut self, rank: Rank, now: Instant) -> Option<Ticket> {
        self.decay(now);
        let admitted: f64 = self.counts.iter().map(|counts| counts.admitted).sum();
        let admitted_per_second = admitted / AVERAGING_TIME.as_secs_f64();
        let capacity = (admitted_per_second * MAX_WAIT.as_secs_f64()).max(MIN_WAITING_REQUESTS);
        if self.ahead_of(rank) as f64 >= capacity {
            return None;
        }
        let ticket = Ticket { rank, number: self.next_number };
        self.next_number += 1;
        self.waiting.insert(ticket);
        Some(ticket)
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, ticket: &Ticket) {
        self.waiting.remove(ticket);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of waiting requests that come before a new one of this rank.
    pub fn ahead_of(&self, rank: Rank) -> usize {
        self.waiting.iter().take_while(|ticket| ticket.rank <= rank).count()
    }

    /// The waiting request that is tried first.
    pub fn first(&self) -> Option<Ticket> {
        self.waiting.first().copied()
    }

    /// The waiting request that is tried after `ticket`, which may no longer wait.
    pub fn after(&self, ticket: &Ticket) -> Option<Ticket> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.waiting.range((Excluded(ticket), Unbounded)).next().copied()
    }

    /// Records an admitted request.
    pub fn record_admitted(&mut self, rank: Rank, now: Instant) {
        self.decay(now);
        self.counts[usize::from(rank.level())].admitted += 1.0;
    }

    /// Records a refused request.
    pub fn record_refused(&mut self, rank: Rank, now: Instant) {
        self.decay(now);
        self.counts[usize::from(rank.level())].refused += 1.0;
    }

    /// Retry delay for a refused client of a rank; `random` from `0.0..1.0` spreads the
    /// retries over time.
    pub fn retry_after(&self, rank: Rank, random: f64) -> Duration {
        let Counts { admitted, refused } = self.counts[usize::from(rank.level())];
        let total = admitted + refused;
        let share = if total > 0.0 { refused / total } else { 0.0 };
        let spread = MAX_RETRY_AFTER
            .saturating_sub(MIN_RETRY_AFTER)
            .mul_f64((share - IGNORED_REFUSED_FRACTION).max(0.0).sqrt() * random);
        MIN_RETRY_AFTER + spread
    }

    fn decay(&mut self, now: Instant) {
        let factor =
            (-now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        for counts in &mut self.counts {
            counts.admitted *= factor;
            counts.refused *= factor;
        }
        self.updated_at = self.updated_at.max(now);
    }
}
