//! In-memory table service with fault injection.

#![allow(dead_code)] // No test binary uses all of it.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mimosashift::config::{Change, ChangeId, Precondition};
use mimosashift::platform::{Check, Key, Outcome, Page, Refusal, Row, Table, Transaction, Write};
use mimosashift::resource::{Kind, Name, Spec};

pub mod cluster;

/// Fault injected into a commit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    Down,
    LostAfterEffect,
    LostBeforeEffect,
}

pub type Rows = BTreeMap<(String, String), (u64, String)>;

/// In-memory table service.
#[derive(Default)]
pub struct FakeTable(Mutex<Inner>);

#[derive(Clone, Default)]
pub struct Inner {
    /// Rows by table and key.
    pub rows: Rows,
    revision: u64,
    /// Faults of the next commits, in order; later commits succeed.
    pub commits: Vec<Fault>,
    /// Whether every call is refused as unavailable.
    pub down: bool,
    /// If set, reads return these rows instead of the current ones.
    pub stale: Option<Rows>,
}

impl FakeTable {
    pub fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }

    pub fn rows(&self) -> Rows {
        self.with(|inner| inner.rows.clone())
    }

    pub fn restore(&self, rows: Rows) {
        self.with(|inner| inner.rows = rows);
    }
}

impl Inner {
    fn apply(&mut self, transaction: &Transaction) -> Outcome<u64> {
        for check in &transaction.checks {
            let (key, wanted) = match check {
                Check::Absent(key) => (key, None),
                Check::Revision(key, revision) => (key, Some(*revision)),
            };
            let found = self.rows.get(&(key.table.clone(), key.key.clone()));
            if found.map(|(revision, _)| *revision) != wanted {
                let row = found.map(|(revision, value)| row(key.clone(), *revision, value));
                return Outcome::NotDone(Refusal::Conflict(row));
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            match write {
                Write::Put(key, value) => {
                    let at = (key.table.clone(), key.key.clone());
                    self.rows.insert(at, (self.revision, value.clone()));
                }
                Write::Delete(key) => {
                    self.rows.remove(&(key.table.clone(), key.key.clone()));
                }
            }
        }
        Outcome::Done(self.revision)
    }
}

impl Table for FakeTable {
    fn commit(&self, transaction: &Transaction) -> Outcome<u64> {
        self.with(|inner| {
            if inner.down {
                return Outcome::NotDone(Refusal::Unavailable);
            }
            let fault =
                if inner.commits.is_empty() { Fault::None } else { inner.commits.remove(0) };
            match fault {
                Fault::None => inner.apply(transaction),
                Fault::Down => Outcome::NotDone(Refusal::Unavailable),
                Fault::LostBeforeEffect => Outcome::Unknown,
                Fault::LostAfterEffect => {
                    let _ = inner.apply(transaction);
                    Outcome::Unknown
                }
            }
        })
    }

    fn read(&self, key: &Key) -> Outcome<Option<Row>> {
        self.with(|inner| {
            if inner.down {
                return Outcome::NotDone(Refusal::Unavailable);
            }
            let rows = inner.stale.as_ref().unwrap_or(&inner.rows);
            let found = rows.get(&(key.table.clone(), key.key.clone()));
            Outcome::Done(found.map(|(revision, value)| row(key.clone(), *revision, value)))
        })
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome<Page> {
        self.with(|inner| {
            if inner.down {
                return Outcome::NotDone(Refusal::Unavailable);
            }
            let rows = inner.stale.as_ref().unwrap_or(&inner.rows);
            let matching = rows.iter().filter(|((t, key), _)| {
                t == table && key.starts_with(prefix) && key.as_str() > after
            });
            let mut rows: Vec<_> = matching
                .take(limit + 1)
                .map(|((table, key), (revision, value))| {
                    row(Key { table: table.clone(), key: key.clone() }, *revision, value)
                })
                .collect();
            let more = rows.len() > limit;
            rows.truncate(limit);
            Outcome::Done(Page { rows, more })
        })
    }
}

fn row(key: Key, revision: u64, value: &str) -> Row {
    Row { key, revision, value: value.to_owned() }
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Returns a change that sets priority `target` to `level`.
pub fn change(id: u128, target: &str, level: u8) -> Change {
    Change {
        id: ChangeId(id),
        operator: format!("operator-{id}"),
        origin: "127.0.0.1".to_owned(),
        at_unix_ms: 1,
        kind: Kind::Priority,
        name: name(target),
        spec: Some(
            Spec::decode(Kind::Priority, format!(r#"{{"level":{level}}}"#).as_bytes()).unwrap(),
        ),
        precondition: Precondition::Any,
        dry_run: false,
    }
}
