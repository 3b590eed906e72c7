//! Configuration: changes, loading and spreading under faults.

use std::collections::BTreeMap;
use std::sync::Mutex;

use mimosashift::config::call::{self, Call, Machine, Step};
use mimosashift::config::catchup::CatchUp;
use mimosashift::config::change::Commit;
use mimosashift::config::load::Load;
use mimosashift::config::{Change, ChangeId, Entry, Error, Precondition, Record, State};
use mimosashift::platform::{Check, Key, Outcome, Page, Refusal, Row, Table, Transaction, Write};
use mimosashift::resource::{Kind, Name, Spec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// What the next calls of the fake suffer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Fault {
    #[default]
    None,
    Down,
    LostAfterEffect,
    LostBeforeEffect,
}

type Rows = BTreeMap<(String, String), (u64, String)>;

/// A table service in memory.
#[derive(Default)]
struct Fake(Mutex<Inner>);

#[derive(Clone, Default)]
struct Inner {
    rows: Rows,
    revision: u64,
    /// Faults of the next commits, then of every commit.
    commits: Vec<Fault>,
    down: bool,
    /// Rows that reads are answered from instead of the live ones.
    stale: Option<Rows>,
}

impl Fake {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }

    fn rows(&self) -> Rows {
        self.with(|inner| inner.rows.clone())
    }

    fn restore(&self, rows: Rows) {
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

impl Table for Fake {
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

/// A change that sets priority `target` to `level`.
fn change(id: u128, target: &str, level: u8) -> Change {
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

fn commit(table: &Fake, change: Change, state: &State) -> Result<u64, Error> {
    call::run(table, Commit::new(change, state.clone())).map(|committed| committed.revision)
}

fn load(table: &Fake) -> State {
    call::run(table, Load::new(0)).unwrap()
}

fn records(table: &Fake) -> Vec<Record> {
    call::run(table, CatchUp::new(State::default())).unwrap().records
}

#[test_case(&[], Ok(1); "answered")]
#[test_case(&[Fault::LostAfterEffect], Ok(1); "answer lost after effect")]
#[test_case(&[Fault::LostBeforeEffect], Ok(1); "call lost before effect")]
#[test_case(&[Fault::LostBeforeEffect, Fault::LostAfterEffect], Ok(1); "lost twice")]
#[test_case(&[Fault::Down], Err(true); "refused outright")]
#[test_case(&[Fault::LostAfterEffect, Fault::Down], Err(false); "lost after effect then down")]
#[test_case(&[Fault::LostBeforeEffect, Fault::Down], Err(false); "lost before effect then down")]
#[test_case(&[Fault::LostAfterEffect; 8], Ok(1); "every answer lost")]
#[test_case(&[Fault::LostBeforeEffect; 8], Err(false); "every call lost")]
fn outcome_is_true(faults: &[Fault], expected: Result<u64, bool>) {
    let table = Fake::default();
    table.with(|inner| inner.commits = faults.to_vec());
    let outcome = commit(&table, change(7, "urgent", 0), &State::default());
    assert_eq!(outcome.clone().map_err(|e| e.not_run()), expected, "{outcome:?}");
    table.with(|inner| inner.commits.clear());
    let records = records(&table);
    assert!(records.len() <= 1, "{records:?}");
    if expected == Err(true) {
        assert!(records.is_empty(), "reported as not run: {records:?}");
    }
    // The same identifier again never makes a second revision.
    assert_eq!(commit(&table, change(7, "urgent", 0), &State::default()), Ok(1));
}

#[test]
fn reused_identifier_is_refused() {
    let table = Fake::default();
    commit(&table, change(7, "urgent", 0), &State::default()).unwrap();
    let other = commit(&table, change(7, "urgent", 1), &State::default());
    assert_eq!(other, Err(Error::Reused(ChangeId(7))));
}

#[test]
fn race_has_one_winner_per_revision() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let table = Fake::default();
        commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
        let base = load(&table);
        let mut machines: Vec<_> = (2..5)
            .map(|id| {
                let mut wanted = change(id, "urgent", u8::try_from(id).unwrap());
                wanted.precondition = Precondition::Revision(1);
                let mut machine = Commit::new(wanted, base.clone());
                let step = machine.start();
                (machine, step)
            })
            .collect();
        // Interleaves the calls of the three operators at random.
        while machines.iter().any(|(_, step)| matches!(step, Step::Call(_))) {
            let picked = rng.random_range(0..machines.len());
            let (machine, step) = &mut machines[picked];
            if let Step::Call(call) = step {
                *step = machine.answer(call::perform(&table, call));
            }
        }
        let results: Vec<_> = machines
            .into_iter()
            .map(|(_, step)| match step {
                Step::Done(result) => result.map(|committed| committed.revision),
                Step::Call(_) => unreachable!(),
            })
            .collect();
        let winner = records(&table).pop().unwrap();
        assert_eq!(results.iter().filter(|r| **r == Ok(2)).count(), 1, "seed {seed}: {results:?}");
        for lost in results.iter().filter(|r| r.is_err()) {
            let Err(Error::Precondition { found: Some(2), by: Some(by), .. }) = lost else {
                panic!("seed {seed}: {lost:?}");
            };
            assert_eq!(*by, winner.operator, "seed {seed}");
        }
    }
}

#[test]
fn endless_race_names_the_winner() {
    let table = Fake::default();
    commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
    let mut machine = Commit::new(change(2, "batch", 1), load(&table));
    let mut step = machine.start();
    let mut id = 100;
    let result = loop {
        match step {
            Step::Call(call) => {
                if matches!(call, Call::Commit(_)) {
                    id += 1;
                    commit(&table, change(id, "urgent", 0), &State::default()).unwrap();
                }
                step = machine.answer(call::perform(&table, &call));
            }
            Step::Done(result) => break result,
        }
    };
    let expected = Error::Contended { tries: 8, winner: format!("operator-{id}"), revision: 9 };
    assert_eq!(result, Err(expected));
}

#[test]
fn dry_run_changes_nothing() {
    let table = Fake::default();
    let mut wanted = change(1, "urgent", 0);
    wanted.dry_run = true;
    assert_eq!(commit(&table, wanted, &State::default()), Ok(1));
    assert_eq!(table.rows(), Rows::new());
}

#[test]
fn references_are_checked_on_the_current_state() {
    let table = Fake::default();
    let old = State::default();
    commit(&table, change(1, "urgent", 0), &old).unwrap();
    let mut team = change(2, "counter", 0);
    team.kind = Kind::Team;
    team.spec = Some(Spec::decode(Kind::Team, br#"{"priority":"urgent"}"#).unwrap());
    assert_eq!(commit(&table, team, &old), Ok(2));
    let mut delete = change(3, "urgent", 0);
    delete.spec = None;
    assert!(matches!(commit(&table, delete, &old), Err(Error::Resource(_))));
}

#[test]
fn audit_shortens_digests() {
    let table = Fake::default();
    commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
    let digest = "ab".repeat(32);
    for (id, weight) in [(2, 1), (3, 2)] {
        let body =
            format!(r#"{{"priority":"urgent","weight":{weight},"token_digests":["{digest}"]}}"#);
        let mut team = change(id, "counter", 0);
        team.kind = Kind::Team;
        team.spec = Some(Spec::decode(Kind::Team, body.as_bytes()).unwrap());
        commit(&table, team, &State::default()).unwrap();
    }
    let record = records(&table).pop().unwrap();
    let shown = serde_json::to_string(&Entry::from(&record)).unwrap();
    assert!(!shown.contains(&digest) && shown.contains("\"abababab\""), "{shown}");
    let mut bytes = [0; 32];
    hex::decode_to_slice(&digest, &mut bytes).unwrap();
    let state = load(&table);
    assert_eq!(state.snapshot().team_of_token(&bytes).unwrap().0.as_str(), "counter");
}

#[test]
fn older_table_is_never_followed() {
    let table = Fake::default();
    commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
    let backup = table.rows();
    commit(&table, change(2, "urgent", 1), &State::default()).unwrap();
    let installed = load(&table);
    table.restore(backup);
    let stale = Error::Stale { installed: 2, table: 1 };
    assert_eq!(commit(&table, change(3, "urgent", 2), &installed), Err(stale.clone()));
    assert_eq!(call::run(&table, Load::new(2)), Err(stale));
    // Someone without the newer revision writes on; the history has split.
    commit(&table, change(4, "urgent", 3), &State::default()).unwrap();
    let split = call::run(&table, CatchUp::new(installed.clone()));
    assert_eq!(split.map(|p| p.records), Err(Error::Diverged(2)));
    commit(&table, change(5, "urgent", 4), &State::default()).unwrap();
    let split = call::run(&table, CatchUp::new(installed));
    assert_eq!(split.map(|p| p.records), Err(Error::Diverged(3)));
}

#[test]
fn load_during_changes_is_consistent() {
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let table = Fake::default();
        let mut id = 0;
        let mut installed = State::default();
        let mut edit = |rng: &mut Pcg64Mcg| {
            id += 1;
            let target = format!("p{}", rng.random_range(0..1_200));
            let mut wanted = change(id, &target, 0);
            if rng.random_bool(0.2) {
                wanted.spec = None;
            }
            if let Ok(committed) = call::run(&table, Commit::new(wanted, installed.clone())) {
                installed = committed.progress.state;
            }
        };
        (0..300).for_each(|_| edit(&mut rng));
        let mut machine = Load::new(0);
        let mut step = machine.start();
        let state = loop {
            match step {
                Step::Call(call) => {
                    edit(&mut rng);
                    step = machine.answer(call::perform(&table, &call));
                }
                Step::Done(state) => break state.unwrap(),
            }
        };
        let reference = records(&table)
            .iter()
            .take(usize::try_from(state.version().revision).unwrap())
            .fold(State::default(), |state, record| state.apply(record).unwrap());
        assert_eq!(state, reference, "seed {seed}");
    }
}

#[test]
fn load_of_stale_pages_is_refused() {
    let table = Fake::default();
    commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
    let old = table.rows();
    commit(&table, change(2, "urgent", 1), &State::default()).unwrap();
    let mut machine = Load::new(0);
    let mut step = machine.start();
    let result = loop {
        match step {
            Step::Call(call) => {
                let stale = matches!(call, Call::Scan { .. }).then(|| old.clone());
                table.with(|inner| inner.stale = stale);
                step = machine.answer(call::perform(&table, &call));
            }
            Step::Done(result) => break result,
        }
    };
    assert_eq!(result, Err(Error::Incomplete(2)));
}
