//! Tests of the explanations of choices.

use std::time::Duration;

use mimosashift::exchange::Rest;
use mimosashift::fleet::{Fleet, Obstacle, Query, Shortage};
use test_case::test_case;

use common::deployment::{PLAIN, at, plain};
use common::fleet::{DEMAND, choose, fleet, huge, ids, query, two_zones};

#[path = "common"]
mod common {
    pub mod deployment;
    pub mod fleet;
}

#[test]
fn chosen_chain_is_the_one_of_requests_at_any_load() {
    let mut fleet = fleet(two_zones());
    let mut chains = 0;
    loop {
        let engine = huge();
        let query = query(&engine, &DEMAND);
        let explanation = fleet.explain_chain(&query, at(100));
        let chosen = choose(&fleet, &DEMAND);
        assert_eq!(explanation.chosen.map(|offer| offer.chain()), chosen.clone());
        let Ok(chain) = chosen else { break };
        let avoid = [chain[0].clone()];
        let next = fleet.chain(&Query { avoid: &avoid, ..query }, at(100));
        assert_eq!(explanation.next.unwrap().map(|offer| offer.chain()), next);
        drop(fleet.claim(chain, &DEMAND));
        chains += 1;
    }
    assert!(chains > 10, "{chains}");
}

#[test]
fn next_chain_costs_more_and_hops_add_up() {
    let fleet = fleet(two_zones());
    let explanation = fleet.explain_chain(&query(&huge(), &DEMAND), at(100));
    let (chosen, next) = (explanation.chosen.unwrap(), explanation.next.unwrap().unwrap());
    assert!(chosen.cost_ms() < next.cost_ms());
    assert!(chosen.legs.iter().chain(&next.legs).all(|leg| leg.cost_ms > 0.0));
    assert_eq!(ids(&chosen.chain()), ["e1", "e2"]);
    assert_eq!(explanation.holders.len(), 2);
}

fn without(ids: &[&str]) -> Fleet {
    fleet(two_zones().into_iter().filter(|entry| !ids.contains(&&*entry.id)).collect())
}

#[test_case(&["e2", "e4"] => (Shortage::Uncovered(40), 0); "layer without a holder")]
#[test_case(&["e1", "e3"] => (Shortage::Uncovered(0), 0); "no first hop")]
fn shortage_names_layer_and_holders(missing: &[&str]) -> (Shortage, usize) {
    let explanation = without(missing).explain_chain(&query(&huge(), &DEMAND), at(100));
    assert!(explanation.next.is_none());
    (explanation.chosen.unwrap_err(), explanation.holders.len())
}

fn plain_fleet() -> Fleet {
    fleet(vec![plain(1, "a"), plain(2, "a"), plain(3, "b")])
}

#[test]
fn endpoint_is_the_one_of_requests_at_any_load() {
    let mut fleet = plain_fleet();
    for _ in 0..40 {
        let explanation = fleet.explain_endpoint(PLAIN, "a", at(100));
        let chosen = fleet.choose_endpoint(PLAIN, "a", &[], at(100));
        assert_eq!(explanation.chosen, chosen);
        let free = explanation.alternatives.iter().find(|other| other.obstacle.is_none());
        assert_eq!(free.map(|other| &other.holder.id), chosen.as_ref().map(|hop| &hop.id));
        let Some(hop) = chosen else {
            let is_full = |other: &_| matches!(other, Some(Obstacle::Full));
            assert!(explanation.alternatives.iter().all(|other| is_full(&other.obstacle)));
            return;
        };
        fleet.add_request(&hop);
    }
    panic!("endpoints take any number of requests");
}

#[test]
fn rest_is_named_with_the_time_left() {
    let mut fleet = plain_fleet();
    let hop = fleet.choose_endpoint(PLAIN, "a", &[], at(100)).unwrap();
    fleet.record_rest(&hop, Rest::try_from("2").unwrap(), at(100));
    let explanation = fleet.explain_endpoint(PLAIN, "a", at(600));
    let resting = explanation.alternatives.iter().find(|other| other.holder.id == hop.id).unwrap();
    assert_eq!(resting.obstacle, Some(Obstacle::Resting));
    assert_eq!(resting.holder.rest, Some(Duration::from_millis(1_500)));
}
