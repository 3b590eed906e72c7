//! Tests of the usage of endpoints: by claims, digests of peers and reports.

use std::collections::BTreeMap;

use mimosashift::exchange::Report;
use mimosashift::fleet::{Shortage, Usage, name_key};

use proptest::collection::vec;
use proptest::prelude::*;

use common::deployment::{at, layers};
use common::fleet::{DEMAND, choose, fleet, huge, ids, query, read, two_zones};

#[path = "common"]
mod common {
    pub mod deployment;
    pub mod fleet;
}

#[test]
fn released_claim_frees_its_usage() {
    let mut fleet = fleet(two_zones());
    let mut claim = fleet.claim(choose(&fleet, &DEMAND).unwrap(), &DEMAND);
    fleet.finish_prefill(&mut claim);
    fleet.release(&claim);
    assert!(fleet.digest().is_empty());
}

#[test]
fn claims_on_an_earlier_incarnation_are_not_subtracted_from_the_next() {
    let mut fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    let first = chain[0].id.clone();
    let claim = fleet.claim(chain, &DEMAND);
    let mut entries = two_zones();
    let entry = entries.iter_mut().find(|entry| entry.id == first).unwrap();
    entry.incarnation = 2;
    fleet.apply_directory(entries, read(100), at(100));
    let next = fleet.claim(choose(&fleet, &DEMAND).unwrap(), &DEMAND);
    fleet.release(&claim);
    fleet.release(&next);
    assert!(fleet.digest().is_empty(), "{:?}", fleet.digest());
}

#[test]
fn peer_usage_counts_until_its_digest_expires() {
    let mut fleet = fleet(two_zones());
    let full = Usage { cache: 1e9, ..Usage::default() };
    let usage: Vec<_> = ["e1", "e2", "e3", "e4"].iter().map(|id| (name_key(id), full)).collect();
    fleet.merge_digest(&"peer".into(), &usage, at(100));
    assert_eq!(choose(&fleet, &DEMAND), Err(Shortage::Full(0)));
    fleet.merge_digest(&"other".into(), &[], at(10_000));
    assert!(choose(&fleet, &DEMAND).is_ok());
}

#[test]
fn usage_of_peers_expires_although_no_further_digest_arrives() {
    let mut fleet = fleet(two_zones());
    let full = Usage { cache: 1e9, requests: 1_000, ..Usage::default() };
    let usage: Vec<_> = ["e1", "e2", "e3", "e4"].iter().map(|id| (name_key(id), full)).collect();
    fleet.merge_digest(&"lost".into(), &usage, at(100));
    fleet.merge_digest(&"peer".into(), &[(name_key("e1"), full)], at(1_000));
    let fills = |ms| ["e1", "e2"].map(|id| fleet.cache(fleet.get(id).unwrap(), at(ms)));
    assert_eq!(fills(3_000), [2e9, 1e9]);
    assert_eq!(fills(3_500), [1e9, 0.0]);
    assert_eq!(fills(4_000), [0.0, 0.0]);
    assert!(fleet.chain(&query(&huge(), &DEMAND), at(4_000)).is_ok());
}

#[test]
fn endpoint_that_reports_a_full_cache_gets_no_work_although_no_peer_is_known() {
    let mut fleet = fleet(two_zones());
    let full = huge().kv_capacity(&huge().cards["huge"], 40);
    let report = Report {
        incarnation: 1,
        layers: Some(layers(0, 40)),
        kv_used: full,
        kv_total: full,
        ..Report::default()
    };
    assert_eq!(fleet.record_reported_usage("e1", &report, at(50)), Some(0.0));
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap()), ["e3", "e4"]);
    // The streams behind it end in time.
    let later = fleet.chain(&query(&huge(), &DEMAND), at(3_050)).unwrap();
    assert_eq!(ids(&later), ["e1", "e2"]);
}

#[test]
fn usage_known_from_digests_is_not_counted_twice_when_it_is_reported() {
    let mut fleet = fleet(two_zones());
    let half = huge().kv_capacity(&huge().cards["huge"], 40) / 2.0;
    let usage = Usage { cache: half as f32, ..Usage::default() };
    fleet.merge_digest(&"peer".into(), &[(name_key("e1"), usage)], at(0));
    let report = Report {
        incarnation: 1,
        layers: Some(layers(0, 40)),
        kv_used: half * 1.1,
        kv_total: half * 2.0,
        ..Report::default()
    };
    assert_eq!(fleet.record_reported_usage("e1", &report, at(50)), None);
    assert!((fleet.fill(&huge(), "e1", at(50)).unwrap() - 0.5).abs() < 0.001);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// The sums are updated by differences; the reference sums up all digests each time.
    #[test]
    fn usage_of_peers_equals_the_sum_of_their_latest_digests(
        digests in vec((0_usize..4, 0_u64..1_500, vec((1_u8..=4, 0_u32..1_000_000), 0..4)), 1..40)
    ) {
        let mut fleet = fleet(two_zones());
        let mut reference = BTreeMap::new();
        let mut ms = 0;
        for (peer, pause, usage) in digests {
            ms += pause;
            let usage: BTreeMap<_, _> = usage.into_iter().collect();
            let entry = |(n, cache): (&u8, &u32)| {
                let usage = Usage { cache: *cache as f32, ..Usage::default() };
                (name_key(&format!("e{n}")), usage)
            };
            let entries: Vec<_> = usage.iter().map(entry).collect();
            fleet.merge_digest(&format!("peer-{peer}").into(), &entries, at(ms));
            reference.insert(peer, (ms, usage));
            reference.retain(|_, (sent, _)| ms - *sent < 3_000);
            for n in 1..=4_u8 {
                let sum: u32 = reference.values().filter_map(|(_, usage)| usage.get(&n)).sum();
                let member = fleet.get(&format!("e{n}")).unwrap();
                prop_assert!((fleet.cache(member, at(ms)) - f64::from(sum)).abs() < 1.0);
            }
        }
    }
}

#[test]
fn load_is_described_with_the_age_of_the_usage_of_peers() {
    let mut fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    let half = huge().kv_capacity(&huge().cards["huge"], 40) / 2.0;
    let usage = Usage { cache: half as f32, ..Usage::default() };
    fleet.merge_digest(&"peer".into(), &[(name_key(&chain[1].id), usage)], at(1_000));
    fleet.merge_digest(&"other".into(), &[], at(1_800));
    let load = fleet.describe_load(&huge(), &chain, at(2_000));
    assert_eq!(load, "fill=0.50 peers=2 peers_age_ms=1000");
}
