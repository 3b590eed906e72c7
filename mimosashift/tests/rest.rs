//! Tests of the rests that endpoints ask for.

use std::time::Duration;

use mimosashift::exchange::Rest;
use mimosashift::fleet::{Fleet, Shortage};
use test_case::test_case;

use common::deployment::at;
use common::fleet::{DEMAND, choose, fleet, ids, read, two_zones};

#[path = "common"]
mod common {
    pub mod deployment;
    pub mod fleet;
}

/// Records rests in seconds that endpoints ask for at a time in ms.
fn record(fleet: &mut Fleet, rests: &[(&str, &str)], ms: u64) {
    for (id, text) in rests {
        let hop = fleet.get(id).unwrap().address_hop();
        fleet.record_rest(&hop, Rest::try_from(*text).unwrap(), at(ms));
    }
}

#[test_case("3" => Ok(3_000); "whole seconds")]
#[test_case("0.25" => Ok(250); "fraction")]
#[test_case(" 2 " => Ok(2_000); "spaces")]
#[test_case("0" => Ok(0); "none")]
#[test_case("1e9" => Ok(3_600_000); "over an hour")]
#[test_case("soon" => Err("a rest is not a number of seconds"); "word")]
#[test_case("" => Err("a rest is not a number of seconds"); "empty")]
#[test_case("-1" => Err("a rest is out of range"); "negative")]
#[test_case("NaN" => Err("a rest is out of range"); "not a number")]
#[test_case("1e400" => Err("a rest is out of range"); "infinite")]
fn rest_is_parsed(text: &str) -> Result<u128, &'static str> {
    Rest::try_from(text).map(|rest| rest.length().as_millis()).map_err(|error| error.0)
}

#[test]
fn resting_endpoint_begins_no_chain_until_its_rest_ends() {
    let mut fleet = fleet(two_zones());
    record(&mut fleet, &[("e1", "3")], 50);
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap()), ["e3", "e4"]);
    assert!(fleet.is_resting("e1", at(3_049)) && !fleet.is_resting("e1", at(3_050)));
}

#[test]
fn resting_endpoint_runs_later_layers() {
    let mut fleet = fleet(two_zones());
    record(&mut fleet, &[("e2", "3")], 50);
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap()), ["e1", "e2"]);
}

#[test]
fn no_chain_while_all_endpoints_that_begin_one_rest() {
    let mut fleet = fleet(two_zones());
    record(&mut fleet, &[("e1", "3"), ("e3", "2")], 50);
    assert_eq!(choose(&fleet, &DEMAND), Err(Shortage::Resting));
    let service = fleet.get("e1").unwrap().endpoint.service.clone();
    assert_eq!(fleet.time_to_end_of_rest(&service, at(550)), Some(Duration::from_millis(1_500)));
}

#[test]
fn ejected_endpoint_is_better_than_resting_ones() {
    let mut fleet = fleet(two_zones());
    record(&mut fleet, &[("e1", "3")], 50);
    fleet.record_failure("e3", at(50));
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap()), ["e3", "e4"]);
}

#[test]
fn later_answer_does_not_shorten_a_rest() {
    let mut fleet = fleet(two_zones());
    record(&mut fleet, &[("e1", "3"), ("e1", "0.1")], 50);
    assert!(fleet.is_resting("e1", at(3_000)));
}

#[test]
fn rest_ends_with_the_incarnation_that_asked_for_it() {
    let mut entries = two_zones();
    let mut fleet = fleet(entries.clone());
    record(&mut fleet, &[("e1", "600")], 50);
    let earlier = fleet.get("e1").unwrap().address_hop();
    entries[0].incarnation += 1;
    fleet.apply_directory(entries, read(60), at(60));
    assert!(!fleet.is_resting("e1", at(61)));
    // An answer of the earlier incarnation arrives late.
    fleet.record_rest(&earlier, Rest::try_from("600").unwrap(), at(62));
    assert!(!fleet.is_resting("e1", at(63)));
}

#[test]
fn rest_outlives_the_entry_of_the_endpoint() {
    let entries = two_zones();
    let mut fleet = fleet(entries.clone());
    record(&mut fleet, &[("e1", "600")], 50);
    fleet.apply_directory(entries[1..].to_vec(), read(60), at(60));
    fleet.apply_directory(entries, read(500_000), at(500_000));
    assert!(fleet.is_resting("e1", at(600_049)) && !fleet.is_resting("e1", at(600_050)));
}

#[test]
fn rest_that_an_endpoint_without_an_entry_asks_for_counts_once_it_has_one() {
    let entries = two_zones();
    let mut fleet = fleet(entries.clone());
    let hop = fleet.get("e1").unwrap().address_hop();
    fleet.apply_directory(entries[1..].to_vec(), read(60), at(60));
    fleet.record_rest(&hop, Rest::try_from("3").unwrap(), at(70));
    fleet.apply_directory(entries, read(80), at(80));
    assert!(fleet.is_resting("e1", at(3_069)) && !fleet.is_resting("e1", at(3_070)));
}
