//! Configuration changes and loading under table faults.

mod fake;

use fake::{FakeTable, Fault, Rows, change};
use mimosashift::config::call::{self, Call, StateMachine, Step};
use mimosashift::config::catchup::CatchUp;
use mimosashift::config::change::Commit;
use mimosashift::config::load::Load;
use mimosashift::config::{AuditEntry, Change, ChangeId, Error, Precondition, Record, State};
use mimosashift::resource::{Kind, Spec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn commit(table: &FakeTable, change: Change, state: &State) -> Result<u64, Error> {
    call::run(table, Commit::new(change, state.clone())).map(|committed| committed.revision)
}

fn load(table: &FakeTable) -> State {
    call::run(table, Load::new(0)).unwrap()
}

fn records(table: &FakeTable) -> Vec<Record> {
    call::run(table, CatchUp::new(State::default())).unwrap().records
}

/// `Err(true)` means that the change is known not to have been applied,
/// `Err(false)` that its outcome is unknown. Eight faults are as many as
/// `MAX_TRANSACTIONS`.
#[test_case(&[], Ok(1); "no fault")]
#[test_case(&[Fault::LostAfterEffect], Ok(1); "response lost after commit")]
#[test_case(&[Fault::LostBeforeEffect], Ok(1); "request lost before commit")]
#[test_case(&[Fault::LostBeforeEffect, Fault::LostAfterEffect], Ok(1); "request lost then response lost")]
#[test_case(&[Fault::Down], Err(true); "refused")]
#[test_case(&[Fault::LostAfterEffect, Fault::Down], Err(false); "response lost then down")]
#[test_case(&[Fault::LostBeforeEffect, Fault::Down], Err(false); "request lost then down")]
#[test_case(&[Fault::LostAfterEffect; 8], Ok(1); "every response lost")]
#[test_case(&[Fault::LostBeforeEffect; 8], Err(false); "every request lost")]
fn reported_outcome_matches_the_table(faults: &[Fault], expected: Result<u64, bool>) {
    let table = FakeTable::default();
    table.with(|inner| inner.commits = faults.to_vec());
    let outcome = commit(&table, change(7, "urgent", 0), &State::default());
    assert_eq!(outcome.clone().map_err(|e| e.not_run()), expected, "{outcome:?}");
    table.with(|inner| inner.commits.clear());
    let records = records(&table);
    assert!(records.len() <= 1, "{records:?}");
    if expected == Err(true) {
        assert!(records.is_empty(), "reported as not run: {records:?}");
    }
    // Committing again with the same identifier never creates a second
    // revision.
    assert_eq!(commit(&table, change(7, "urgent", 0), &State::default()), Ok(1));
}

#[test]
fn reused_change_id_is_rejected() {
    let table = FakeTable::default();
    commit(&table, change(7, "urgent", 0), &State::default()).unwrap();
    let other = commit(&table, change(7, "urgent", 1), &State::default());
    assert_eq!(other, Err(Error::ChangeIdReused(ChangeId(7))));
}

#[test]
fn concurrent_changes_commit_once_per_revision() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let table = FakeTable::default();
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
        // Interleaves the calls of three operators in random order.
        while machines.iter().any(|(_, step)| matches!(step, Step::Call(_))) {
            let picked = rng.random_range(0..machines.len());
            let (machine, step) = &mut machines[picked];
            if let Step::Call(call) = step {
                *step = machine.on_response(call::execute(&table, call));
            }
        }
        let results: Vec<_> = machines
            .into_iter()
            .map(|(_, step)| match step {
                Step::Done(result) => result.map(|committed| committed.revision),
                Step::Call(_) => unreachable!(),
            })
            .collect();
        let committed = records(&table).pop().unwrap();
        assert_eq!(results.iter().filter(|r| **r == Ok(2)).count(), 1, "seed {seed}: {results:?}");
        for rejected in results.iter().filter(|r| r.is_err()) {
            let Err(Error::Precondition { found: Some(2), changed_by: Some(changed_by), .. }) =
                rejected
            else {
                panic!("seed {seed}: {rejected:?}");
            };
            assert_eq!(*changed_by, committed.operator, "seed {seed}");
        }
    }
}

#[test]
fn contended_change_reports_the_last_operator() {
    let table = FakeTable::default();
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
                step = machine.on_response(call::execute(&table, &call));
            }
            Step::Done(result) => break result,
        }
    };
    let expected =
        Error::Contended { attempts: 8, last_operator: format!("operator-{id}"), revision: 9 };
    assert_eq!(result, Err(expected));
}

#[test]
fn dry_run_changes_nothing() {
    let table = FakeTable::default();
    let mut wanted = change(1, "urgent", 0);
    wanted.dry_run = true;
    assert_eq!(commit(&table, wanted, &State::default()), Ok(1));
    assert_eq!(table.rows(), Rows::new());
}

#[test]
fn references_are_checked_on_the_current_state() {
    let table = FakeTable::default();
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
fn audit_truncates_digests() {
    let table = FakeTable::default();
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
    let shown = serde_json::to_string(&AuditEntry::from(&record)).unwrap();
    assert!(!shown.contains(&digest) && shown.contains("\"abababab\""), "{shown}");
    let mut bytes = [0; 32];
    hex::decode_to_slice(&digest, &mut bytes).unwrap();
    let state = load(&table);
    assert_eq!(state.snapshot().team_of_token(&bytes).unwrap().0.as_str(), "counter");
}

#[test]
fn restored_table_is_rejected() {
    let table = FakeTable::default();
    commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
    let backup = table.rows();
    commit(&table, change(2, "urgent", 1), &State::default()).unwrap();
    let installed = load(&table);
    table.restore(backup);
    let stale = Error::Stale { installed: 2, table: 1 };
    assert_eq!(commit(&table, change(3, "urgent", 2), &installed), Err(stale.clone()));
    assert_eq!(call::run(&table, Load::new(2)), Err(stale));
    // A router without the newer revision commits another change, so the
    // histories diverge.
    commit(&table, change(4, "urgent", 3), &State::default()).unwrap();
    let diverged = call::run(&table, CatchUp::new(installed.clone()));
    assert_eq!(diverged.map(|p| p.records), Err(Error::Diverged(2)));
    commit(&table, change(5, "urgent", 4), &State::default()).unwrap();
    let diverged = call::run(&table, CatchUp::new(installed));
    assert_eq!(diverged.map(|p| p.records), Err(Error::Diverged(3)));
}

#[test]
fn load_during_changes_is_consistent() {
    for seed in 0..50 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let table = FakeTable::default();
        let mut id = 0;
        let mut installed = State::default();
        let mut commit_random_change = |rng: &mut Pcg64Mcg| {
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
        (0..300).for_each(|_| commit_random_change(&mut rng));
        let mut machine = Load::new(0);
        let mut step = machine.start();
        let state = loop {
            match step {
                Step::Call(call) => {
                    commit_random_change(&mut rng);
                    step = machine.on_response(call::execute(&table, &call));
                }
                Step::Done(state) => break state.unwrap(),
            }
        };
        let expected = records(&table)
            .iter()
            .take(usize::try_from(state.version().revision).unwrap())
            .fold(State::default(), |state, record| state.apply(record).unwrap());
        assert_eq!(state, expected, "seed {seed}");
    }
}

#[test]
fn load_of_stale_pages_is_rejected() {
    let table = FakeTable::default();
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
                step = machine.on_response(call::execute(&table, &call));
            }
            Step::Done(result) => break result,
        }
    };
    assert_eq!(result, Err(Error::Incomplete(2)));
}

#[test]
fn oversized_specification_is_rejected() {
    let table = FakeTable::default();
    let teams: Vec<_> = (0..2_000).map(|n| format!("\"{n:040}\"")).collect();
    let body = format!(r#"{{"model":"m","pipeline":"p","teams":[{}]}}"#, teams.join(","));
    let mut wanted = change(1, "r", 0);
    wanted.kind = Kind::Route;
    wanted.spec = Some(Spec::decode(Kind::Route, body.as_bytes()).unwrap());
    let result = commit(&table, wanted, &State::default());
    assert_eq!(result, Err(Error::TooLarge { limit: 65_536 }));
}

/// Guards against applying a change twice when the lookup of its identifier is
/// answered with rows from before the earlier attempt.
#[test]
fn stale_lookup_does_not_apply_a_change_twice() {
    let table = FakeTable::default();
    let before = table.rows();
    commit(&table, change(7, "urgent", 0), &State::default()).unwrap();
    let mut machine = Commit::new(change(7, "urgent", 0), load(&table));
    let mut step = machine.start();
    table.with(|inner| inner.stale = Some(before));
    let result = loop {
        match step {
            Step::Call(call) => {
                step = machine.on_response(call::execute(&table, &call));
                table.with(|inner| inner.stale = None);
            }
            Step::Done(result) => break result.map(|committed| committed.revision),
        }
    };
    assert_eq!(result, Ok(1));
    assert_eq!(records(&table).len(), 1);
}

#[test]
fn record_of_another_history_is_rejected() {
    let table = FakeTable::default();
    commit(&table, change(1, "urgent", 0), &State::default()).unwrap();
    let installed = load(&table);
    let other = FakeTable::default();
    commit(&other, change(2, "urgent", 0), &State::default()).unwrap();
    commit(&other, change(3, "urgent", 1), &State::default()).unwrap();
    let next = records(&other).pop().unwrap();
    assert_eq!(installed.apply(&next), Err(Error::Diverged(2)));
}
