//! A fleet of two zones, each with a complete copy of the model.

#![allow(dead_code)] // Each test program uses only some of the fixtures.

use mimosashift::deployment::{Card, Endpoint, Engine};
use mimosashift::fleet::{Allowance, Chain, Demand, Fleet, Query, Read, Shortage};

use super::deployment::{MODEL, at, endpoint, engine, layers};

pub const DEMAND: Demand = Demand { prompt: 775.0, output: 220.0 };

/// A read of the directory without an outage before it.
pub fn read(ms: u64) -> Read {
    Read { began: at(ms), outage: None }
}

pub fn fleet(entries: Vec<Endpoint>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_directory(entries, read(0), at(0));
    fleet
}

/// Two zones, each with a complete copy in two halves.
pub fn two_zones() -> Vec<Endpoint> {
    let halves = [(1, "a", 0, 40), (2, "a", 40, 80), (3, "b", 0, 40), (4, "b", 40, 80)];
    let half = |(n, zone, from, to)| endpoint(n, zone, "large", Some(layers(from, to)));
    let mut entries: Vec<_> = halves.into_iter().map(half).collect();
    // On the other cards half of the model leaves no memory for requests.
    entries.iter_mut().for_each(|e| e.card = Some("huge".into()));
    entries
}

pub fn huge() -> Engine {
    let mut engine = engine();
    let card = engine.cards["large"];
    engine.cards.insert("huge".into(), Card { memory_mb: 150_000.0, ..card });
    engine
}

pub fn query<'a>(engine: &'a Engine, demand: &'a Demand) -> Query<'a> {
    Query {
        service: MODEL,
        engine,
        zone: "a",
        demand,
        first: None,
        avoid: &[],
        allowance: Allowance::default(),
    }
}

pub fn choose(fleet: &Fleet, demand: &Demand) -> Result<Chain, Shortage> {
    fleet.chain(&query(&huge(), demand), at(100))
}

pub fn ids(chain: &Chain) -> Vec<&str> {
    chain.iter().map(|hop| &*hop.id).collect()
}
