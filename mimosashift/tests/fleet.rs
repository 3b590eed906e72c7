//! Tests of the endpoint state, the choice of chains and the choice of plain
//! endpoints.

use std::time::Duration;

use mimosashift::deployment::{Endpoint, EndpointStatus};
use mimosashift::exchange::Report;
use mimosashift::fleet::{
    Chain, Fleet, Incarnation, Observation, Outage, Query, Read, Shortage, fingerprint, name_key,
};

use test_case::test_case;

use common::deployment::{MODEL, PLAIN, at, endpoint, engine, layers, plain};
use common::fleet::{DEMAND, choose, fleet, huge, ids, query, read, two_zones};

#[path = "common"]
mod common {
    pub mod deployment;
    pub mod fleet;
}

/// Time without a heartbeat after which an entry lapses.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

fn covers(chain: &Chain, total: u16) -> bool {
    let mut next = 0;
    for hop in chain {
        if hop.layers.start() != next {
            return false;
        }
        next = hop.layers.end();
    }
    next == total
}

#[test]
fn chain_runs_every_layer_once_and_stays_in_a_zone() {
    let fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    assert!(covers(&chain, 80));
    assert!(ids(&chain) == ["e1", "e2"] || ids(&chain) == ["e3", "e4"], "{:?}", ids(&chain));
}

#[test]
fn chain_begins_in_the_own_zone_while_it_has_room() {
    let mut fleet = fleet(two_zones());
    let begins = |fleet: &Fleet, zone| {
        let chain = fleet.chain(&Query { zone, ..query(&huge(), &DEMAND) }, at(100)).unwrap();
        chain[0].id.to_string()
    };
    for _ in 0..20 {
        assert_eq!((begins(&fleet, "a"), begins(&fleet, "b")), ("e1".into(), "e3".into()));
        drop(fleet.claim(choose(&fleet, &DEMAND).unwrap(), &DEMAND));
    }
    while begins(&fleet, "a") == "e1" {
        drop(fleet.claim(choose(&fleet, &DEMAND).unwrap(), &DEMAND));
    }
    assert!(choose(&fleet, &DEMAND).is_ok(), "a chain is still found");
}

#[test]
fn failed_endpoint_is_replaced_by_one_of_another_zone() {
    let mut fleet = fleet(two_zones());
    fleet.record_failure("e2", at(50));
    fleet.record_failure("e3", at(50));
    let chain = choose(&fleet, &DEMAND).unwrap();
    assert_eq!(ids(&chain), ["e1", "e4"]);
}

#[test]
fn uncovered_layer_is_reported() {
    let mut entries = two_zones();
    entries.retain(|entry| !["e2", "e4"].contains(&&*entry.id));
    let fleet = fleet(entries);
    assert_eq!(choose(&fleet, &DEMAND), Err(Shortage::Uncovered(40)));
}

#[test]
fn load_is_balanced_until_memory_is_full() {
    let mut fleet = fleet(two_zones());
    let mut served = 0;
    let shortage = loop {
        match choose(&fleet, &DEMAND) {
            Ok(chain) => drop(fleet.claim(chain, &DEMAND)),
            Err(shortage) => break shortage,
        }
        served += 1;
        assert!(served < 10_000);
    };
    assert_eq!(shortage, Shortage::Full(0));
    let used: Vec<_> = fleet.members().map(|member| fleet.cache(member, at(0))).collect();
    let (least, most) = used.iter().fold((f64::MAX, 0.0_f64), |(l, m), u| (l.min(*u), m.max(*u)));
    assert!(least > 0.9 * most, "{used:?}");
}

#[test]
fn chain_in_progress_keeps_its_first_hop() {
    let mut fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    fleet.record_failure(&chain[1].id, at(50));
    let moved =
        fleet.chain(&Query { first: Some(&chain[0]), ..query(&huge(), &DEMAND) }, at(100)).unwrap();
    assert_eq!(moved[0], chain[0]);
    assert_ne!(moved[1].id, chain[1].id);
    assert!(covers(&moved, 80));
}

#[test]
fn no_endpoint_occurs_twice_in_a_chain() {
    // e2 is fastest for the middle layers; only e1 holds the first ones.
    let entries = vec![
        endpoint(1, "a", "slow", Some(layers(0, 80))),
        endpoint(2, "a", "large", Some(layers(20, 60))),
        endpoint(3, "a", "slow", Some(layers(50, 80))),
    ];
    let mut engine = engine();
    engine.layer_mb = 100.0;
    let fleet = fleet(entries);
    let chain = fleet.chain(&query(&engine, &DEMAND), at(100)).unwrap();
    let mut names = ids(&chain);
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), chain.len());
    assert!(covers(&chain, 80));
}

#[test]
fn draining_endpoints_get_no_work() {
    let mut entries = two_zones();
    entries[0].status = EndpointStatus::Draining;
    let fleet = fleet(entries);
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap())[0], "e3");
}

#[test]
fn hop_is_silent_though_another_stream_progressed_just_before_it_died() {
    let mut fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    // An event of another stream at 1,030 ms counts as progress of its endpoints.
    fleet.record_progress(&chain, None, at(1_030));
    assert_eq!(fleet.silent(&chain, at(1_300)).len(), chain.len());
    assert!(fleet.silent(&chain, at(1_060)).is_empty());
}

#[test]
fn missing_entry_is_kept_after_an_outage_of_the_store_and_then_removed() {
    let mut fleet = fleet(two_zones());
    let outage = Outage::ending(at(5_000), ENTRY_LIFETIME);
    let after = |ms| Read { began: at(ms), outage: Some(outage) };
    let first = fleet.apply_directory(Vec::new(), after(4_990), at(5_000));
    assert_eq!((first.gone.len(), first.kept.len()), (0, 4));
    assert!(choose(&fleet, &DEMAND).is_ok());
    // The answer is from before the end of the time to register again.
    let late = fleet.apply_directory(Vec::new(), after(7_199), at(7_250));
    assert_eq!((late.gone.len(), late.kept.len()), (0, 0));
    assert!(fleet.keeps_missing());
    let end = fleet.apply_directory(Vec::new(), after(7_200), at(7_250));
    assert_eq!(end.gone.len(), 4);
}

#[test]
fn kept_endpoint_is_gone_when_a_peer_confirms_the_entries_after_its_time() {
    let mut fleet = fleet(two_zones());
    let outage = Outage::ending(at(5_000), ENTRY_LIFETIME);
    let after = |ms| Read { began: at(ms), outage: Some(outage) };
    fleet.apply_directory(two_zones()[1..].to_vec(), after(5_000), at(5_000));
    assert_eq!(fleet.confirm_directory(after(7_199), at(7_300)).gone.len(), 0);
    assert_eq!(fleet.confirm_directory(after(7_200), at(7_300)).gone, ["e1".into()]);
}

#[test]
fn outage_ends_when_the_first_of_two_routers_noticed_it() {
    let lifetime = Duration::from_secs(1);
    let own = Outage::ending(at(5_000), ENTRY_LIFETIME);
    let of_peer = Outage::of_peer(Duration::from_millis(2_000), lifetime, at(5_000)).unwrap();
    let earlier = Outage::ending(at(4_800), lifetime);
    assert_eq!((own.merge(of_peer), of_peer.merge(own)), (earlier, earlier));
    assert_eq!(Outage::of_peer(Duration::ZERO, lifetime, at(5_000)), None);
}

/// The first endpoint is listed with these heartbeats by reads at these times.
#[test_case(&[(1_000, 1), (4_000, 2)], 4_599, true; "written after the first read, too young to lapse")]
#[test_case(&[(1_000, 1), (4_000, 2)], 4_600, false; "written after the first read, may have lapsed")]
#[test_case(&[(1_000, 1), (2_000, 2), (4_000, 3)], 5_599, true; "written after the second read, too young to lapse")]
#[test_case(&[(1_000, 1), (4_000, 1)], 4_100, false; "not seen to be written")]
fn endpoint_that_was_written_too_recently_to_lapse_is_not_kept(
    listed: &[(u64, u64)],
    missing_ms: u64,
    is_gone: bool,
) {
    let mut entries = two_zones();
    let mut fleet = fleet(entries.clone());
    let outage = Some(Outage::ending(at(4_000), ENTRY_LIFETIME));
    for (ms, heartbeat) in listed {
        entries[0].heartbeat = *heartbeat;
        fleet.apply_directory(entries.clone(), Read { began: at(*ms), outage }, at(*ms));
    }
    let missing = Read { began: at(missing_ms), outage };
    let change = fleet.apply_directory(entries[1..].to_vec(), missing, at(missing_ms));
    assert_eq!(change.gone == ["e1".into()], is_gone, "{change:?}");
    assert_eq!(change.kept == ["e1".into()], !is_gone, "{change:?}");
}

#[test]
fn entry_older_than_a_report_does_not_restore_its_layers() {
    let mut fleet = fleet(two_zones());
    let report = Report { incarnation: 1, layers: Some(layers(0, 50)), ..Report::default() };
    fleet.apply_report("e1", &report, at(5));
    fleet.apply_directory(two_zones(), read(10), at(10));
    assert_eq!(fleet.get("e1").unwrap().endpoint.layers, Some(layers(0, 50)));
    let mut later = two_zones();
    later[0].heartbeat = 2;
    fleet.apply_directory(later, read(20), at(20));
    assert_eq!(fleet.get("e1").unwrap().endpoint.layers, Some(layers(0, 40)));
}

#[test_case(|e| e.service = "other".into() => true; "service")]
#[test_case(|e| e.address.set_port(9) => true; "address")]
#[test_case(|e| e.zone = "z".into() => true; "zone")]
#[test_case(|e| e.status = EndpointStatus::Draining => true; "status")]
#[test_case(|e| e.slots += 1 => true; "slots")]
#[test_case(|e| e.incarnation += 1 => true; "incarnation")]
#[test_case(|e| e.layers = None => true; "layers")]
#[test_case(|e| e.card = None => true; "card")]
#[test_case(|e| e.id = "e9".into() => true; "id")]
fn directories_that_differ_do_not_have_the_same_fingerprint(change: fn(&mut Endpoint)) -> bool {
    let mut entries = two_zones();
    change(&mut entries[2]);
    fingerprint(&entries) != fingerprint(&two_zones())
}

#[test]
fn directories_with_an_entry_less_do_not_have_the_same_fingerprint() {
    assert_ne!(fingerprint(&two_zones()[1..]), fingerprint(&two_zones()));
}

#[test]
fn heartbeats_do_not_change_the_fingerprint() {
    let mut entries = two_zones();
    entries[2].heartbeat += 1;
    assert_eq!(fingerprint(&entries), fingerprint(&two_zones()));
}

#[test]
fn entry_is_contradicted_by_reports_of_other_layers_of_the_same_incarnation() {
    let mut fleet = fleet(two_zones());
    assert!(!fleet.contradicts(&two_zones()));
    let report = Report { incarnation: 1, layers: Some(layers(0, 50)), ..Report::default() };
    fleet.apply_report("e1", &report, at(5));
    assert!(fleet.contradicts(&two_zones()));
    let mut restarted = two_zones();
    restarted[0].incarnation += 1;
    assert!(!fleet.contradicts(&restarted));
}

#[test]
fn plain_request_goes_to_the_least_loaded_endpoint_that_does_not_fail() {
    let mut fleet = fleet(vec![plain(1, "a"), plain(2, "b"), plain(3, "b")]);
    let first = fleet.choose_endpoint(PLAIN, "a", &[], at(10)).unwrap();
    assert_eq!(&*first.id, "e1");
    fleet.add_request(&first);
    fleet.record_answer("e2", false);
    assert_eq!(&*fleet.choose_endpoint(PLAIN, "a", &[], at(10)).unwrap().id, "e3");
    fleet.remove_request(&first);
    assert_eq!(&*fleet.choose_endpoint(PLAIN, "a", &[], at(10)).unwrap().id, "e1");
}

#[test]
fn ejected_endpoint_returns_and_is_ejected_for_longer() {
    let mut fleet = fleet(vec![plain(1, "a"), plain(2, "b")]);
    let chosen = |fleet: &Fleet, ms| fleet.choose_endpoint(PLAIN, "a", &[], at(ms)).unwrap().id;
    fleet.record_failure("e1", at(0));
    fleet.record_answer("e1", true);
    assert_eq!(&*chosen(&fleet, 399), "e2");
    // After the ejection only its failure rate counts.
    fleet.record_failure("e2", at(390));
    assert_eq!(&*chosen(&fleet, 400), "e1");
    fleet.record_failure("e1", at(400));
    fleet.record_failure("e1", at(400));
    assert_eq!(&*chosen(&fleet, 1_199), "e2");
}

#[test]
fn last_endpoint_is_used_though_it_failed() {
    let mut plain = fleet(vec![plain(1, "a")]);
    plain.record_failure("e1", at(0));
    assert!(plain.choose_endpoint(PLAIN, "a", &[], at(1)).is_some());
    let mut fleet = fleet(two_zones());
    fleet.record_failure("e1", at(99));
    fleet.record_failure("e3", at(99));
    assert!(choose(&fleet, &DEMAND).is_ok());
}

#[test]
fn slow_endpoint_gets_work_only_for_layers_that_no_other_holds() {
    let mut fleet = fleet(two_zones());
    let slow = |layers| Report {
        incarnation: 1,
        layers: Some(layers),
        slowdown: 12.0,
        ..Report::default()
    };
    assert!(fleet.apply_report("e1", &slow(layers(0, 40)), at(1)).is_some());
    assert!(fleet.apply_report("e1", &slow(layers(0, 40)), at(2)).is_none(), "nothing changed");
    assert_eq!(ids(&choose(&fleet, &DEMAND).unwrap())[0], "e3");
    fleet.apply_report("e3", &slow(layers(0, 40)), at(3));
    assert!(choose(&fleet, &DEMAND).is_ok());
}

const OBSERVATION: Observation =
    Observation { endpoint: 0, incarnation: 1, layers: None, pace: 1.0, age: Duration::ZERO };

#[test]
fn peer_observation_applies_to_the_same_incarnation_only() {
    let mut fleet = fleet(two_zones());
    let mut observation = Observation { endpoint: name_key("e1"), incarnation: 2, ..OBSERVATION };
    assert_eq!(fleet.apply_observation(&observation, at(1)), None);
    observation.incarnation = 1;
    assert_eq!(fleet.apply_observation(&observation, at(1)).as_deref(), Some("e1"));
    assert_eq!(fleet.get("e1").unwrap().endpoint.layers, None);
}

#[test]
fn older_peer_observation_does_not_override_a_report() {
    let mut fleet = fleet(two_zones());
    let report = Report { incarnation: 1, layers: Some(layers(0, 50)), ..Report::default() };
    fleet.apply_report("e1", &report, at(1_000));
    let age = Duration::from_millis(100);
    let observation = Observation { endpoint: name_key("e1"), age, ..OBSERVATION };
    assert_eq!(fleet.apply_observation(&observation, at(1_050)), None, "observed at 950 ms");
    assert_eq!(fleet.get("e1").unwrap().endpoint.layers, Some(layers(0, 50)));
    assert!(fleet.apply_observation(&observation, at(1_150)).is_some(), "observed at 1,050 ms");
}

#[test]
fn zone_is_ejected_when_many_of_its_endpoints_fail_and_none_progresses() {
    let zone = |n, zone| endpoint(n, zone, "large", Some(layers(0, 10)));
    let entries: Vec<_> =
        (1..=12).map(|n| zone(n, "a")).chain((13..=24).map(|n| zone(n, "b"))).collect();
    let mut fleet = fleet(entries);
    let usable = |fleet: &Fleet| fleet.usable_count(MODEL, at(1_001));
    for id in ["e1", "e2"] {
        fleet.record_failure(id, at(1_000));
    }
    assert_eq!(usable(&fleet), 22);
    fleet.record_failure("e3", at(1_000));
    assert_eq!(usable(&fleet), 12, "a quarter of the zone failed");
}

/// A fleet with active streams, all on the same chain.
fn with_active_streams(streams: usize) -> (Fleet, Chain) {
    let mut fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    for _ in 0..streams {
        let mut claim = fleet.claim(chain.clone(), &DEMAND);
        fleet.finish_prefill(&mut claim);
    }
    (fleet, chain)
}

#[test_case(2, 300 => 0; "one or two streams may pause")]
#[test_case(3, 100 => 0; "shorter than the stall timeout")]
#[test_case(3, 130 => 2; "every hop of the chain")]
fn stalled_endpoints_are_detected(streams: usize, silent_ms: u64) -> usize {
    let (mut fleet, chain) = with_active_streams(streams);
    fleet.record_progress(&chain, Some(Duration::from_millis(80)), at(1_000));
    fleet.stalled(at(1_000 + silent_ms)).len()
}

#[test]
fn slower_streams_get_a_longer_stall_timeout() {
    let (mut fleet, chain) = with_active_streams(3);
    for event in 0..600 {
        fleet.record_progress(&chain, Some(Duration::from_millis(160)), at(1_000 + event));
    }
    assert!(fleet.stalled(at(1_800)).is_empty());
    assert_eq!(fleet.stalled(at(1_900)).len(), 2);
}

#[test]
fn dead_endpoint_gets_no_work_until_it_reports() {
    let mut fleet = fleet(two_zones());
    fleet.mark_dead("e1", at(10));
    assert!(fleet.is_dead("e1"));
    // Also long after the ejection has ended.
    let begins = |fleet: &Fleet| {
        fleet.chain(&query(&huge(), &DEMAND), at(60_000)).map(|chain| chain[0].id.to_string())
    };
    assert_eq!(begins(&fleet).unwrap(), "e3");
    assert_eq!(fleet.due_for_probe(at(11)).len(), 0);
    assert_eq!(fleet.due_for_probe(at(60_000)).len(), 1);
    fleet.mark_dead("e3", at(20));
    assert_eq!(begins(&fleet), Err(Shortage::Uncovered(0)));
    let report = Report { incarnation: 1, layers: Some(layers(0, 40)), ..Report::default() };
    fleet.apply_report("e1", &report, at(30));
    assert!(!fleet.is_dead("e1"));
    assert_eq!(begins(&fleet).unwrap(), "e1");
}

#[test]
fn dead_endpoint_is_lost_after_a_while_unless_its_zone_is_partitioned() {
    let zone = |n| endpoint(n, "a", "large", Some(layers(0, 10)));
    let mut fleet = fleet((1..=6).map(zone).collect());
    let lost = |fleet: &Fleet, ms| fleet.is_lost(fleet.get("e1").unwrap(), at(ms));
    fleet.mark_dead("e1", at(1_000));
    fleet.mark_dead("e1", at(1_400));
    assert!(!lost(&fleet, 1_599));
    assert!(lost(&fleet, 1_600));
    fleet.mark_dead("e2", at(1_600));
    assert!(!lost(&fleet, 2_000), "a third of the zone is dead");
}

#[test]
fn endpoint_without_memory_gets_no_work_for_a_while() {
    let mut fleet = fleet(two_zones());
    fleet.record_cache_full("e1", at(50));
    let begins = |fleet: &Fleet, ms| {
        fleet.chain(&query(&huge(), &DEMAND), at(ms)).unwrap()[0].id.to_string()
    };
    assert_eq!(begins(&fleet, 149), "e3");
    assert_eq!(begins(&fleet, 150), "e1");
    // A refusal of a request sent before it was known to be full has no effect.
    fleet.record_cache_full("e1", at(200));
    fleet.record_cache_full("e1", at(210));
    assert_eq!(begins(&fleet, 399), "e3");
    assert_eq!(begins(&fleet, 400), "e1");
    fleet.record_cache_full("e1", at(5_000));
    assert_eq!(begins(&fleet, 5_100), "e1");
}

#[test]
fn only_new_hops_of_a_rerouted_request_prefill_its_tokens() {
    let mut fleet = fleet(two_zones());
    let chain = choose(&fleet, &DEMAND).unwrap();
    let mut claim = fleet.claim(chain.clone(), &DEMAND);
    fleet.finish_prefill(&mut claim);
    let mut moved = chain.clone();
    moved[1].id = "e4".into();
    fleet.reroute(&mut claim, moved);
    let prefill: Vec<_> =
        fleet.digest().into_iter().filter(|(_, usage)| usage.prefill > 0.0).collect();
    assert_eq!(prefill.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [name_key("e4")]);
    fleet.finish_prefill(&mut claim);
    fleet.release(&claim);
    assert!(fleet.digest().is_empty());
}

#[test]
fn holders_of_a_layer_are_described_with_their_state() {
    let mut fleet = fleet(two_zones());
    fleet.record_cache_full("e1", at(50));
    fleet.record_failure("e3", at(50));
    let text = fleet.describe_holders(&query(&huge(), &DEMAND), 7, at(60));
    assert_eq!(text, "e1 0.00 crowded, e3 0.00 doubted");
}

/// The incarnation of an endpoint of `two_zones`.
fn incarnation(entry: &Endpoint) -> Incarnation {
    (name_key(&entry.id), entry.incarnation)
}

#[test]
fn leaving_endpoint_gets_no_work_after_its_entry_came_back() {
    let entries = two_zones();
    let mut fleet = fleet(entries.clone());
    let leaving = [incarnation(&entries[0])];
    assert_eq!(fleet.record_leaving(&leaving, at(10)), ["e1".into()]);
    fleet.apply_directory(entries[1..].to_vec(), read(20), at(20));
    assert_eq!(fleet.leaving(at(30)), leaving, "peers are told");
    fleet.apply_directory(entries, read(40), at(40));
    assert!(!fleet.get("e1").unwrap().takes_work());
    assert_eq!(fleet.leaving(at(50)), leaving);
}

#[test]
fn endpoint_that_peers_know_to_leave_gets_no_work_once_listed() {
    let mut entries = two_zones();
    let mut fleet = fleet(entries[1..].to_vec());
    let leaving = [incarnation(&entries[0])];
    assert_eq!(fleet.record_leaving(&leaving, at(10)).len(), 1);
    assert_eq!(fleet.record_leaving(&leaving, at(11)).len(), 0, "it is no longer new");
    fleet.apply_directory(entries.clone(), read(20), at(20));
    assert!(!fleet.get("e1").unwrap().takes_work());
    entries[0].incarnation += 1;
    fleet.apply_directory(entries, read(30), at(30));
    assert!(fleet.get("e1").unwrap().takes_work(), "it has restarted");
}

#[test]
fn entry_older_than_a_draining_one_does_not_make_an_endpoint_ready() {
    let mut entries = two_zones();
    let mut fleet = fleet(entries.clone());
    let old = entries.clone();
    entries[0].status = EndpointStatus::Draining;
    entries[0].heartbeat += 1;
    fleet.apply_directory(entries.clone(), read(10), at(10));
    fleet.apply_directory(entries[1..].to_vec(), read(20), at(20));
    fleet.apply_directory(old, read(30), at(30));
    assert!(!fleet.get("e1").unwrap().takes_work());
}

#[test]
fn entry_of_a_process_that_has_been_replaced_does_not_return() {
    let old = two_zones();
    let mut fleet = fleet(old.clone());
    // The new process is heard of before its entry is read.
    let report = Report { incarnation: 2, ..Report::default() };
    fleet.apply_report("e1", &report, at(10));
    fleet.apply_directory(old[1..].to_vec(), read(20), at(20));
    let change = fleet.apply_directory(old.clone(), read(30), at(30));
    assert!(change.joined.is_empty() && fleet.get("e1").is_none());
    let mut new = old;
    new[0].incarnation = 2;
    fleet.apply_directory(new, read(40), at(40));
    assert!(fleet.get("e1").unwrap().takes_work());
}

#[test]
fn memory_of_endpoints_without_an_entry_is_bounded_and_ends() {
    let mut fleet = fleet(two_zones());
    for key in 0..3_000 {
        fleet.record_leaving(&[(key, 1)], at(key));
    }
    assert_eq!(fleet.leaving(at(3_000)).len(), 1_024);
    assert_eq!(fleet.leaving(at(70_000)).len(), 0, "peers are not told for ever");
    // Known for some time longer, so that what peers repeat is not new.
    assert!(fleet.record_leaving(&[(2_999, 1)], at(70_000)).is_empty());
    assert_eq!(fleet.record_leaving(&[(2_999, 1)], at(130_000)).len(), 1);
}
