//! Size of audit records; each configuration change writes one.

use mimosashift::config::Record;
use mimosashift::config::transfer::Reply;
use mimosashift::resource::{Kind, Resource};
use serde_json::json;
use sha2::{Digest, Sha256};

use super::config::{commit, frame_bytes, unlimited_table};
use super::series::series;
use super::{Series, fleet, memory};

const ROLE: &str = "audit";
const TOKENS: [usize; 4] = [1, 4, 16, 64];

/// Measures record sizes by the size of the changed resource.
pub fn measure() -> Vec<Series> {
    let record = |tokens| record(tokens);
    vec![
        series([ROLE, "record, as stored", "bytes", "tokens of the team"], &TOKENS, |tokens| {
            stored_bytes(&record(tokens)) as f64
        }),
        series(
            [ROLE, "record, pushed to a peer", "bytes", "tokens of the team"],
            &TOKENS,
            |tokens| pushed_bytes(record(tokens)) as f64,
        ),
        series(
            [ROLE, "record, kept in the log", "bytes", "tokens of the team"],
            &TOKENS,
            |tokens| {
                let record = record(tokens);
                memory::retained(|| record.clone()).1 + size_of::<Record>() as f64
            },
        ),
    ]
}

/// Size of a stored record in bytes.
pub fn stored_bytes(record: &Record) -> usize {
    serde_json::to_string(record).expect("a record has only string keys").len()
}

/// Size in bytes of the frame that replicates a record to one peer.
pub fn pushed_bytes(record: Record) -> usize {
    frame_bytes(&Reply::Records(vec![record])).expect("a record fits a frame")
}

/// Record of a change to a team that has `tokens` tokens before and after it.
pub fn record(tokens: usize) -> Record {
    let table = unlimited_table().expect("no free loopback port");
    let mut state = Default::default();
    let mut last = Vec::new();
    for resource in fleet::base().into_iter().chain([team(tokens, 1), team(tokens, 2)]) {
        let committed =
            commit(&table, state, resource).expect("the table has no concurrent writers");
        (state, last) = committed;
    }
    last.pop().expect("a change has a record")
}

fn team(tokens: usize, weight: u32) -> Resource {
    let digest = |token: usize| hex::encode(Sha256::digest(token.to_le_bytes()));
    let digests: Vec<_> = (0..tokens).map(digest).collect();
    let body = json!({"priority": "standard", "token_digests": digests, "weight": weight});
    fleet::resource(Kind::Team, "team-00001", &body)
}
