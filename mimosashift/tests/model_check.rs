//! Model checks of the posting and lease protocols: runs the production code
//! under all short sequences of faults.

#[path = "common/explore.rs"]
mod explore;
#[path = "common/lease_world.rs"]
mod lease_world;
#[path = "common/posting_world.rs"]
mod posting_world;

use explore::explore;
use posting_world::{EventLimits, Mistake, World};

const MAX_STATES: usize = 1_500_000;

fn posting(mistake: Mistake, left: EventLimits) -> explore::Report {
    let report = explore(World::new(mistake, left), MAX_STATES);
    eprintln!("posting {mistake:?} {left:?}: {report:?}");
    report
}

fn lease(
    mistake: lease_world::Mutation,
    checks: bool,
    faults: u8,
    unreadable: u8,
) -> explore::Report {
    let world = lease_world::World::new(mistake, checks, faults, unreadable);
    let report = explore(world, MAX_STATES);
    eprintln!(
        "lease {mistake:?}, endpoint checks {checks}, {faults} faults, \
         {unreadable} unreadable rows: {report:?}"
    );
    report
}

/// Lists each injected mistake and the violation that must reveal it.
macro_rules! caught {
    ($($case:ident: $mistake:ident => $violation:literal;)*) => {$(
        #[test]
        fn $case() {
            let left = EventLimits { attempts: 2, faults: 2, crashes: 0, resolves: 1 };
            let violation = posting(Mistake::$mistake, left).violation.unwrap();
            assert!(violation.contains($violation), "{violation}");
        }
    )*};
}

caught! {
    send_before_claim: SendBeforeClaim => "reported as not run";
    shared_nonce: SharedNonce => "executed twice";
    release_after_send: ReleaseAfterSend => "executed twice";
    trust_stale_absent: TrustStaleAbsent => "stays claimed";
    resolve_recent_claim: ResolveRecentClaim => "executed twice";
    delete_on_release: DeleteOnRelease => "stays claimed";
}

#[test]
fn posting_holds_with_faults() {
    let report =
        posting(Mistake::None, EventLimits { attempts: 2, faults: 3, crashes: 0, resolves: 0 });
    assert_eq!(report.violation, None);
    assert!(report.complete);
}

#[test]
fn posting_holds_with_crash_and_operator() {
    let report =
        posting(Mistake::None, EventLimits { attempts: 3, faults: 2, crashes: 1, resolves: 1 });
    assert_eq!(report.violation, None);
    assert!(report.complete);
}

/// Lists each mistake injected into the lease protocol, whether the endpoint
/// checks the number, the number of unreadable rows, and the expected violation.
macro_rules! lease_caught {
    ($($case:ident: $mistake:ident, $checks:literal, $unreadable:literal => $violation:literal;)*) => {$(
        #[test]
        fn $case() {
            let report = lease(lease_world::Mutation::$mistake, $checks, 0, $unreadable);
            let violation = report.violation.unwrap();
            assert!(violation.contains($violation), "{violation}");
        }
    )*};
}

lease_caught! {
    lease_without_wait: NoWaitForUncheckedEndpoint, false, 0 => "old order may arrive after";
    lease_without_margin: NoMargin, false, 0 => "old order may arrive after";
    lease_forgetful_endpoint: EndpointForgetsNumber, true, 0 => "old order may arrive after";
    lease_number_above_revision: NumberAboveRevision, true, 1 => "given twice or went back";
}

/// Lists the cases in which the lease protocol must hold.
macro_rules! lease_holds {
    ($($case:ident: $checks:literal, $faults:literal, $unreadable:literal;)*) => {$(
        #[test]
        fn $case() {
            let report = lease(lease_world::Mutation::None, $checks, $faults, $unreadable);
            assert_eq!(report.violation, None);
            assert!(report.complete);
        }
    )*};
}

lease_holds! {
    lease_holds_at_unchecked_endpoint: false, 1, 0;
    lease_holds_at_checking_endpoint: true, 1, 0;
    lease_holds_after_unreadable_row_at_unchecked_endpoint: false, 0, 1;
    lease_holds_after_unreadable_row_at_checking_endpoint: true, 0, 1;
}
