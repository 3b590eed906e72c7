//! An in-memory table without fault injection.

use std::collections::BTreeMap;

use mimosashift::platform::{Check, Key, Outcome, Refusal, Row, Transaction, Write};

/// The rows of all tables.
#[derive(Default)]
pub struct Rows {
    rows: BTreeMap<Key, Row>,
    revision: u64,
}

impl Rows {
    pub fn commit(&mut self, transaction: &Transaction) -> Outcome<u64> {
        for check in &transaction.checks {
            let (key, wanted) = match check {
                Check::Absent(key) => (key, None),
                Check::Revision(key, revision) => (key, Some(*revision)),
            };
            let row = self.rows.get(key);
            if row.map(|row| row.revision) != wanted {
                return Outcome::NotDone(Refusal::Conflict(row.cloned()));
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            let Write::Put(key, value) = write else { panic!("claim rows are never deleted") };
            let row = Row { key: key.clone(), revision: self.revision, value: value.clone() };
            self.rows.insert(key.clone(), row);
        }
        Outcome::Done(self.revision)
    }
}
