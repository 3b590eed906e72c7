//! The lease on ordering one group of endpoints.
//!
//! A holder counts its lease from before it wrote the row; every other router
//! counts from when it first saw that write. No two clocks are compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::FencingNumber;
use crate::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};
use crate::resource::Name;
use crate::time::Instant;

/// Table that holds the leases.
pub const TABLE: &str = "lease";

/// Durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time from the start of the write to the end of the lease.
    pub duration: Duration,
    /// Time before the end in which nothing is sent, for a pause of the
    /// process between the check and the send, and for the way.
    pub margin: Duration,
    /// Largest difference in rate between two clocks, in parts per million.
    pub drift_ppm: u32,
}

/// The value of a lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The router that holds the lease.
    pub holder: Name,
    /// Drawn at random each time that the router starts.
    pub incarnation: u64,
    /// The fencing number.
    pub number: FencingNumber,
}

/// One router's side of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    settings: Settings,
    key: Key,
    holder: Name,
    incarnation: u64,
    seen: Option<Seen>,
    pending: Option<Pending>,
    held: Option<Held>,
}

/// The newest write of the row that was seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    revision: u64,
    record: Record,
    at: Instant,
}

/// A write without a certain outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    over: Option<u64>,
    number: FencingNumber,
    begun: Instant,
    unfenced_from: Instant,
    uncertain: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    revision: u64,
    number: FencingNumber,
    begun: Instant,
    unfenced_from: Instant,
}

impl Default for Settings {
    fn default() -> Self {
        Self { duration: Duration::from_secs(15), margin: Duration::from_secs(3), drift_ppm: 1_000 }
    }
}

impl Settings {
    fn drift(&self) -> Duration {
        self.duration * self.drift_ppm / 1_000_000
    }

    /// Time after which a lease that was seen has ended for certain.
    fn wait(&self) -> Duration {
        self.duration + self.drift()
    }

    /// Time after the start of a write when its holder renews the lease: early
    /// enough for two more tries.
    fn renewal(&self) -> Duration {
        self.usable() / 3
    }

    /// Time after the start of a write in which its holder may send.
    fn usable(&self) -> Duration {
        self.duration.saturating_sub(self.margin + self.drift())
    }
}

impl Lease {
    /// A lease on `group` that is not held.
    pub fn new(settings: Settings, group: &Name, holder: Name, incarnation: u64) -> Self {
        let key = Key { table: TABLE.to_owned(), key: group.to_string() };
        Self { settings, key, holder, incarnation, seen: None, pending: None, held: None }
    }

    /// The row to read before [`write`](Self::write).
    pub const fn key(&self) -> &Key {
        &self.key
    }

    /// The fencing number, if an order may be sent right now to an endpoint
    /// that does or does not check it.
    ///
    /// Call it directly before each send.
    pub fn authorize(&self, endpoint_checks: bool, now: Instant) -> Option<FencingNumber> {
        let held = self.held.as_ref()?;
        let in_time = now < held.begun + self.settings.usable();
        let unopposed = endpoint_checks || now >= held.unfenced_from;
        (in_time && unopposed).then_some(held.number)
    }

    /// The router that held the lease when its row was last seen.
    pub fn holder(&self) -> Option<&Name> {
        self.seen.as_ref().map(|seen| &seen.record.holder)
    }

    /// Whether the holder has not renewed the lease when it should have: it is
    /// dead, cut off or no longer interested.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let due = self.settings.renewal() + self.settings.margin;
        self.seen.as_ref().is_some_and(|seen| now >= seen.at + due)
    }

    /// Takes in the row as read; an older one than seen before is ignored.
    pub fn observe(&mut self, row: Option<&Row>, now: Instant) {
        let Some(row) = row else {
            return;
        };
        let newer = self.seen.as_ref().is_none_or(|seen| seen.revision < row.revision);
        let Ok(record) = serde_json::from_str::<Record>(&row.value) else {
            return;
        };
        if newer {
            self.seen = Some(Seen { revision: row.revision, record, at: now });
        }
    }

    /// The write that renews the lease, repeats an uncertain write, or takes
    /// the lease over if it has ended or its holder is `suspected` dead.
    pub fn write(&mut self, suspected: bool, now: Instant) -> Option<Transaction> {
        if self.pending.is_none() {
            self.pending = Some(self.next_write(suspected, now)?);
        }
        self.pending.as_ref().map(|pending| self.transaction(pending))
    }

    /// Takes in the outcome of the write.
    pub fn on_write_result(&mut self, outcome: &Outcome<u64>, now: Instant) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        match outcome {
            Outcome::Done(revision) => self.hold(pending, *revision),
            Outcome::NotDone(Refusal::Conflict(row)) => self.conflict(pending, row.as_ref(), now),
            Outcome::NotDone(_) if !pending.uncertain => {}
            Outcome::NotDone(_) | Outcome::Unknown => {
                self.pending = Some(Pending { uncertain: true, ..pending });
            }
        }
    }

    fn next_write(&self, suspected: bool, now: Instant) -> Option<Pending> {
        if let Some(held) = &self.held
            && now < held.begun + self.settings.duration
        {
            let due = now >= held.begun + self.settings.renewal();
            return due.then_some(Pending {
                over: Some(held.revision),
                number: held.number,
                begun: now,
                unfenced_from: held.unfenced_from,
                uncertain: false,
            });
        }
        let Some(seen) = &self.seen else {
            let number = FencingNumber(1);
            let unfenced_from = now;
            return Some(Pending {
                over: None,
                number,
                begun: now,
                unfenced_from,
                uncertain: false,
            });
        };
        let ended_at = seen.at + self.settings.wait();
        (suspected || now >= ended_at).then_some(Pending {
            over: Some(seen.revision),
            number: FencingNumber(seen.record.number.0 + 1),
            begun: now,
            unfenced_from: ended_at,
            uncertain: false,
        })
    }

    fn conflict(&mut self, pending: Pending, row: Option<&Row>, now: Instant) {
        let own = |record: &Record| {
            record.holder == self.holder
                && record.incarnation == self.incarnation
                && record.number == pending.number
        };
        if let Some(row) = row
            && pending.uncertain
            && serde_json::from_str(&row.value).is_ok_and(|record| own(&record))
        {
            return self.hold(pending, row.revision);
        }
        self.held = None;
        self.observe(row, now);
    }

    fn hold(&mut self, pending: Pending, revision: u64) {
        let Pending { number, begun, unfenced_from, .. } = pending;
        let record = self.record(number);
        self.seen = Some(Seen { revision, record, at: begun });
        self.held = Some(Held { revision, number, begun, unfenced_from });
    }

    fn record(&self, number: FencingNumber) -> Record {
        Record { holder: self.holder.clone(), incarnation: self.incarnation, number }
    }

    fn transaction(&self, pending: &Pending) -> Transaction {
        let check = match pending.over {
            None => Check::Absent(self.key.clone()),
            Some(revision) => Check::Revision(self.key.clone(), revision),
        };
        let value = serde_json::to_string(&self.record(pending.number))
            .expect("a record has only string keys");
        let write = Write::Put(self.key.clone(), value);
        Transaction { checks: vec![check], writes: vec![write] }
    }
}
