//! Cost of postings, whose claims and records are written in batched
//! transactions.

use mimosashift::platform::{Outcome, Transaction};
use mimosashift::posting::batch::{BatchMember, LINGER, Queue};
use mimosashift::posting::{
    Action, Actions, Body, Delivery, Digest, Machine, Nonce, Reply, Request, Settings, claim_key,
};
use mimosashift::time::Instant;

use super::series::series;
use super::{Series, cpu, fleet, memory};

const ROLE: &str = "postings";
const BATCHES: [usize; 5] = [1, 4, 16, 32, 64];
const IN_FLIGHT: [usize; 4] = [16, 64, 256, 1_024];
const NOW: Instant = Instant::from_millis(1);

/// Size of a service's response body in bytes.
const ANSWER_BYTES: usize = 256;

/// Measures the cost by batch size and by postings in flight.
pub fn measure() -> Vec<Series> {
    vec![
        series(
            [ROLE, "batch, claimed and recorded", "µs", "postings in the batch"],
            &BATCHES,
            |n| cpu::micros_per_call(|| run(n)),
        ),
        series([ROLE, "transactions of a batch", "1", "postings in the batch"], &BATCHES, |n| {
            run(n).transactions as f64
        }),
        series(
            [ROLE, "bytes written of a batch", "bytes", "postings in the batch"],
            &BATCHES,
            |n| run(n).bytes as f64,
        ),
        series([ROLE, "state", "bytes", "postings in flight"], &IN_FLIGHT, |count| {
            memory::retained(|| (0..count).map(|n| start(n).0).collect::<Vec<_>>()).1
        }),
    ]
}

/// Platform writes made for a set of postings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Number of batched transactions; each is one platform write.
    pub transactions: usize,
    /// Total size of the transactions as JSON, in bytes.
    pub bytes: usize,
}

/// Claims, sends and records `count` simultaneous postings.
pub fn run(count: usize) -> Cost {
    let (mut machines, claims): (Vec<_>, Vec<_>) = (0..count).map(start).unzip();
    let mut cost = Cost::default();
    commit(&mut machines, claims, &mut cost);
    let reply = |machine: &mut Machine| machine.delivered(Delivery::Replied(reply()), NOW);
    let records: Vec<_> = machines.iter_mut().map(reply).collect();
    commit(&mut machines, records, &mut cost);
    assert!(machines.iter().all(Machine::is_finished), "every outcome is recorded");
    cost
}

/// Commits one write per state machine in batches and passes back the outcomes.
fn commit(machines: &mut [Machine], actions: Vec<Actions>, cost: &mut Cost) {
    let mut queue = Queue::default();
    for (tag, actions) in actions.into_iter().enumerate() {
        queue.push(BatchMember { tag, transaction: transaction(actions), repeat: false }, NOW);
    }
    while let Some(batch) = queue.take(NOW + LINGER) {
        let grouped = serde_json::to_string(&batch.transaction());
        cost.bytes += grouped.expect("a transaction has only string keys").len();
        cost.transactions += 1;
        for (tag, outcome) in batch.settle(Outcome::Done(1)).outcomes {
            machines[tag].committed(&outcome, NOW);
        }
    }
}

fn transaction(actions: Actions) -> Transaction {
    let commit = actions.into_iter().find_map(|action| match action {
        Action::Commit { transaction, .. } => Some(transaction),
        _ => None,
    });
    commit.expect("the machine asks for a write")
}

fn start(number: usize) -> (Machine, Actions) {
    let (team, service) = (fleet::name("team-00001"), fleet::name("register"));
    let key = claim_key(&team, &service, &format!("charge-{number:08}"));
    let request = Request {
        key: Some(key.expect("the key is printable")),
        nonce: Nonce(number as u64),
        digest: Digest::new("POST", "/charges", b"one adjustment"),
        unix_ms: 1_700_000_000_000,
    };
    Machine::new(Settings::default(), request, NOW)
}

fn reply() -> Reply {
    Reply { status: 201, headers: Vec::new(), body: Body::Whole(vec![1; ANSWER_BYTES]) }
}
