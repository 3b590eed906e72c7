//! Explores the protocols' own code over all short fault sequences.

#[path = "common/explore.rs"]
mod explore;
#[path = "common/posting_world.rs"]
mod posting_world;

use explore::explore;
use posting_world::{Allowance, Mistake, World};

const MAX_STATES: usize = 3_000_000;

fn posting(mistake: Mistake, left: Allowance) -> explore::Report {
    let report = explore(World::new(mistake, left), MAX_STATES);
    eprintln!("posting {mistake:?} {left:?}: {report:?}");
    report
}

/// Names each mistake and the violation by which it must be caught.
macro_rules! caught {
    ($($case:ident: $mistake:ident => $violation:literal;)*) => {$(
        #[test]
        fn $case() {
            let left = Allowance { tries: 2, faults: 2, crashes: 0 };
            let violation = posting(Mistake::$mistake, left).violation.unwrap();
            assert!(violation.contains($violation), "{violation}");
        }
    )*};
}

caught! {
    send_before_claim: SendBeforeClaim => "said not run";
    shared_nonce: SharedNonce => "executed twice";
    withdraw_after_send: WithdrawAfterSend => "executed twice";
    trust_stale_absent: TrustStaleAbsent => "stays claimed";
    delete_on_withdraw: DeleteOnWithdraw => "stays claimed";
}

#[test]
fn posting_holds_with_faults() {
    let report = posting(Mistake::None, Allowance { tries: 2, faults: 3, crashes: 0 });
    assert_eq!(report.violation, None);
    assert!(report.complete);
}

#[test]
fn posting_holds_with_crash() {
    let report = posting(Mistake::None, Allowance { tries: 3, faults: 2, crashes: 1 });
    assert_eq!(report.violation, None);
    assert!(report.complete);
}
