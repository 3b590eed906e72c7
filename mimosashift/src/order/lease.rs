//! The lease that permits sending orders to one group of endpoints.
//!
//! The holder counts the lease duration from the start of its write; every other
//! router counts it from its first observation of that write. Clocks of
//! different routers are never compared.
//!
//! A row that cannot be decoded counts as the lease of an unknown holder. Every
//! record has a fencing number of at most the revision of its row, since each
//! acquisition raises both and a renewal only the revision. So the number after
//! the revision of such a row is higher than any that was given before, also by
//! that row.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::FencingNumber;
use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::resource::Name;
use crate::time::Instant;

/// Table that holds the leases.
pub const TABLE: &str = "lease";

/// Timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time from the start of the write to the end of the lease.
    pub duration: Duration,
    /// Time before the end of the lease in which nothing is sent. It covers a
    /// pause of the process between the check and the send, and the network
    /// delay.
    pub margin: Duration,
    /// Maximum difference in rate between two clocks, in parts per million.
    pub drift_ppm: u32,
}

/// The value stored in the row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The router that holds the lease.
    pub holder: Name,
    /// Random number drawn at each start of the router.
    pub incarnation: u64,
    /// The fencing number.
    pub number: FencingNumber,
}

/// The view that one router has of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    settings: Settings,
    key: Key,
    holder: Name,
    incarnation: u64,
    observed: Option<Observed>,
    pending: Option<Pending>,
    held: Option<Held>,
}

/// The newest write of the row that has been observed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Observed {
    revision: u64,
    /// `None` if the row cannot be decoded.
    holder: Option<Name>,
    /// No higher fencing number has been given.
    highest_number: FencingNumber,
    at: Instant,
}

/// A write that has no known outcome yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    base_revision: Option<u64>,
    number: FencingNumber,
    started_at: Instant,
    /// When the leases of all earlier holders have certainly expired.
    exclusive_from: Instant,
    outcome_unknown: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    revision: u64,
    number: FencingNumber,
    started_at: Instant,
    /// When the leases of all earlier holders have certainly expired.
    exclusive_from: Instant,
}

impl Default for Settings {
    fn default() -> Self {
        Self { duration: Duration::from_secs(15), margin: Duration::from_secs(3), drift_ppm: 1_000 }
    }
}

impl Settings {
    fn max_drift(&self) -> Duration {
        self.duration * self.drift_ppm / 1_000_000
    }

    /// Time after the first observation of a write when its lease has certainly
    /// expired.
    fn expire_after(&self) -> Duration {
        self.duration + self.max_drift()
    }

    /// Time after the start of a write when the holder renews the lease, early
    /// enough for two more attempts.
    fn renew_after(&self) -> Duration {
        self.send_window() / 3
    }

    /// Time after the start of a write during which the holder may send.
    fn send_window(&self) -> Duration {
        self.duration.saturating_sub(self.margin + self.max_drift())
    }
}

impl Lease {
    /// A lease on `group`, the key of its row, that this router does not hold.
    pub fn new(settings: Settings, group: &Name, holder: Name, incarnation: u64) -> Self {
        let key = Key { table: TABLE.to_owned(), key: group.to_string() };
        Self { settings, key, holder, incarnation, observed: None, pending: None, held: None }
    }

    /// The row to read before [`next_transaction`](Self::next_transaction).
    pub const fn key(&self) -> &Key {
        &self.key
    }

    /// The fencing number, if an order may be sent now; `endpoint_checks` says
    /// whether the endpoint checks fencing numbers.
    ///
    /// Must be called directly before each send.
    pub fn authorize(&self, endpoint_checks: bool, now: Instant) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        let in_time = now < held.started_at + self.settings.send_window();
        let exclusive = endpoint_checks || now >= held.exclusive_from;
        (in_time && exclusive).then_some(held.number)
    }

    /// The router that held the lease when its row was last observed, if it is
    /// known.
    pub fn holder(&self) -> Option<&Name> {
        self.observed.as_ref()?.holder.as_ref()
    }

    /// The revision of the row last observed, if that row cannot be decoded.
    pub fn unreadable_revision(&self) -> Option<u64> {
        let observed = self.observed.as_ref()?;
        observed.holder.is_none().then_some(observed.revision)
    }

    /// Whether the holder has not renewed the lease in time: it is dead,
    /// partitioned from the table or no longer needs the lease. When an unknown
    /// holder renews is unknown too, so that it is never overdue.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let overdue_after = self.settings.renew_after() + self.settings.margin;
        self.observed
            .as_ref()
            .is_some_and(|observed| observed.holder.is_some() && now >= observed.at + overdue_after)
    }

    /// Processes the row as read. A missing row is ignored, and so is one that is
    /// not newer than the one observed.
    pub fn observe(&mut self, row: Option<&Row>, now: Instant) {
        let Some(row) = row else {
            return;
        };
        if self.observed.as_ref().is_some_and(|observed| observed.revision >= row.revision) {
            return;
        }
        let (holder, highest_number) = match serde_json::from_str::<Record>(&row.value) {
            Ok(record) => (Some(record.holder), record.number),
            Err(_) => {
                let known = self.observed.as_ref().map(|observed| observed.highest_number);
                let possible = FencingNumber(row.revision);
                (None, known.map_or(possible, |known| known.max(possible)))
            }
        };
        self.observed = Some(Observed { revision: row.revision, holder, highest_number, at: now });
    }

    /// The transaction that renews the lease, repeats a write with an unknown
    /// outcome, or takes the lease over if it has expired or its holder is
    /// `suspected` to be dead. An unknown holder cannot be suspected. Returns `None`
    /// if no write is due.
    pub fn next_transaction(&mut self, suspected: bool, now: Instant) -> Option<Transaction> {
        if self.pending.is_none() {
            self.pending = Some(self.next_write(suspected, now)?);
        }
        self.pending.as_ref().map(|pending| self.transaction(pending))
    }

    /// Processes the outcome of the write.
    pub fn on_write_result(&mut self, outcome: &Outcome<u64>, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match outcome {
            Outcome::Done(revision) => self.acquire(pending, *revision),
            Outcome::NotDone(Refusal::Conflict(row)) => {
                self.on_conflict(pending, row.as_ref(), now)
            }
            Outcome::NotDone(_) if !pending.outcome_unknown => {}
            Outcome::NotDone(_) | Outcome::Unknown => {
                self.pending = Some(Pending { outcome_unknown: true, ..pending });
            }
        }
    }

    fn next_write(&self, suspected: bool, now: Instant) -> Option<Pending> {
        if let Some(held) = &self.held
            && now < held.started_at + self.settings.duration
        {
            let renewal_due = now >= held.started_at + self.settings.renew_after();
            return renewal_due.then_some(Pending {
                base_revision: Some(held.revision),
                number: held.number,
                started_at: now,
                exclusive_from: held.exclusive_from,
                outcome_unknown: false,
            });
        }
        let Some(observed) = &self.observed else {
            let number = FencingNumber(1);
            let exclusive_from = now;
            return Some(Pending {
                base_revision: None,
                number,
                started_at: now,
                exclusive_from,
                outcome_unknown: false,
            });
        };
        let expires_at = observed.at + self.settings.expire_after();
        let suspected = suspected && observed.holder.is_some();
        (suspected || now >= expires_at).then_some(Pending {
            base_revision: Some(observed.revision),
            number: FencingNumber(observed.highest_number.0 + 1),
            started_at: now,
            exclusive_from: expires_at,
            outcome_unknown: false,
        })
    }

    fn on_conflict(&mut self, pending: Pending, row: Option<&Row>, now: Instant) {
        let is_own_write = |record: &Record| {
            record.holder == self.holder
                && record.incarnation == self.incarnation
                && record.number == pending.number
        };
        if let Some(row) = row
            && pending.outcome_unknown
            && serde_json::from_str(&row.value).is_ok_and(|record| is_own_write(&record))
        {
            return self.acquire(pending, row.revision);
        }
        self.held = None;
        self.observe(row, now);
    }

    fn acquire(&mut self, pending: Pending, revision: u64) {
        let Pending { number, started_at, exclusive_from, .. } = pending;
        let holder = Some(self.holder.clone());
        self.observed = Some(Observed { revision, holder, highest_number: number, at: started_at });
        self.held = Some(Held { revision, number, started_at, exclusive_from });
    }

    fn record(&self, number: FencingNumber) -> Record {
        Record { holder: self.holder.clone(), incarnation: self.incarnation, number }
    }

    fn transaction(&self, pending: &Pending) -> Transaction {
        let check = match pending.base_revision {
            None => Check::Absent(self.key.clone()),
            Some(revision) => Check::Revision(self.key.clone(), revision),
        };
        let value = serde_json::to_string(&self.record(pending.number))
            .expect("a lease record is always serializable as JSON");
        let write = Write::Put(self.key.clone(), value);
        Transaction { checks: vec![check], writes: vec![write] }
    }
}
