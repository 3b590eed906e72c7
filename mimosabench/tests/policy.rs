//! Short policy benchmark runs that must meet the throughput and recovery targets.

use std::time::Duration;

use mimosabench::policy::measure::{self, OVERLOAD_TARGET, Recovery, SERVED_TARGET, Scale};
use mimosabench::policy::{AKSU, BOARD, Fault, Mix, Policy};

const SCALE: Scale = Scale { replicas: 12, measured: Duration::from_secs(10), seed: 1 };

/// Shortens the answers and the warm-up of a mix to keep test runs short.
fn short(mix: Mix) -> Mix {
    let answer = (mix.answer.0.min(40), mix.answer.1.min(80));
    Mix { answer, warm_up: Duration::from_secs(15), ..mix }
}

fn check_served(mix: Mix, load: f64) {
    let row = measure::throughput(SCALE, &short(mix), load, Policy::Library);
    assert!(row.tally.violations.is_empty(), "{:?}", row.tally.violations);
    assert!(row.served >= SERVED_TARGET, "served {:.3} of the offered load", row.served);
}

fn check_overload(mix: Mix) {
    let row = measure::throughput(SCALE, &short(mix), 1.2, Policy::Library);
    assert!(row.tally.violations.is_empty(), "{:?}", row.tally.violations);
    assert!(row.of_bound >= OVERLOAD_TARGET, "served {:.3} of the bound", row.of_bound);
}

fn check_recovery(mix: Mix, fault: Fault) {
    let row = measure::recovery(SCALE, &short(mix), fault, Policy::Library);
    assert!(row.tally.violations.is_empty(), "{:?}", row.tally.violations);
    assert_eq!(row.lost, 0, "requests lost: {:?}", row.tally.lost);
    let target = Recovery::target(fault);
    assert!(
        row.flow.is_some_and(|time| time <= target),
        "token throughput recovered after {:?}",
        row.flow
    );
}

macro_rules! policy_tests {
    ($($name:ident => $check:expr;)*) => {
        $(#[test]
        fn $name() {
            $check;
        })*
    };
}

policy_tests! {
    board_is_served_at_half_load => check_served(BOARD, 0.5);
    board_is_served_near_the_bound => check_served(BOARD, 0.95);
    board_keeps_the_bound_in_overload => check_overload(BOARD);
    board_recovers_from_loss_of_stage => check_recovery(BOARD, Fault::Stage);
    board_recovers_from_loss_of_engine => check_recovery(BOARD, Fault::Engine);
    board_recovers_from_loss_of_third => check_recovery(BOARD, Fault::Third);
    board_recovers_from_loss_of_domain => check_recovery(BOARD, Fault::Domain);
    board_recovers_from_slow_link => check_recovery(BOARD, Fault::Link);
    board_goes_on_while_endpoints_leave => check_recovery(BOARD, Fault::Leave);
    aksu_is_served_at_half_load => check_served(AKSU, 0.5);
    aksu_is_served_near_the_bound => check_served(AKSU, 0.95);
    aksu_keeps_the_bound_in_overload => check_overload(AKSU);
    aksu_recovers_from_loss_of_stage => check_recovery(AKSU, Fault::Stage);
    aksu_recovers_from_loss_of_engine => check_recovery(AKSU, Fault::Engine);
    aksu_recovers_from_loss_of_third => check_recovery(AKSU, Fault::Third);
    aksu_recovers_from_loss_of_domain => check_recovery(AKSU, Fault::Domain);
    aksu_recovers_from_slow_link => check_recovery(AKSU, Fault::Link);
    aksu_goes_on_while_endpoints_leave => check_recovery(AKSU, Fault::Leave);
}

#[test]
fn runs_are_deterministic() {
    let row = || measure::throughput(SCALE, &short(AKSU), 0.8, Policy::Library);
    let (first, second) = (row(), row());
    assert_eq!(first.tally.flow, second.tally.flow);
    assert_eq!(first.tally.steps, second.tally.steps);
}

#[test]
fn baseline_sends_new_work_to_leaving_endpoints() {
    let row = measure::recovery(SCALE, &short(AKSU), Fault::Leave, Policy::Naive);
    let first = row.tally.violations.first().expect("round-robin includes leaving replicas");
    assert!(first.starts_with("new work for a leaving endpoint"), "{first}");
}
