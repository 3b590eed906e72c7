//! Endpoint health: load estimates, ejection and return, leaving endpoints, report
//! exchange between routers, and the assignment of pollers.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosashift::engine::{Failure, Load};
use mimosashift::health::probe::{Router, poller};
use mimosashift::health::{
    Availability, Exchange, HealthView, Registry, Report, ReportBatch, Settings,
};
use mimosashift::resource::{Kind, Name, Resource, Snapshot, Spec};
use mimosashift::route::Distances;
use mimosashift::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use test_case::test_case;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

fn endpoints(count: usize) -> Vec<Name> {
    (0..count).map(|index| name(&format!("e{index}"))).collect()
}

/// A registry of `count` identical endpoints in one group.
fn registry(count: usize) -> Registry {
    let body = json!({
        "address": "127.0.0.1:9000", "domain": "a",
        "role": {"engine": {"accelerator": "x", "layer_us": 100, "link_us": 200,
            "holds": [{"pipeline": "p", "version": 1, "layers": [0, 4]}]}},
    });
    let spec = Spec::decode(Kind::Endpoint, body.to_string().as_bytes()).unwrap();
    let resources =
        endpoints(count).into_iter().map(|name| Resource { name, revision: 1, spec: spec.clone() });
    let mut registry = Registry::new(Settings::default());
    let distances = Distances::new(name("a"), Duration::ZERO, BTreeMap::new());
    registry.install(&Snapshot::new(1, resources), &distances);
    registry
}

fn running(running: u32) -> Load {
    Load { running, ..Load::default() }
}

fn silent() -> Failure {
    Failure::Silent(Duration::from_secs(1))
}

fn step(link_us: u64) -> Exchange {
    let service = Duration::from_micros(400);
    let total = service + Duration::from_micros(link_us);
    Exchange { layers: 4, tokens: 1, bytes: 0, total, service: Some(service) }
}

#[test]
fn own_work_since_the_report_is_added() {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.begin(&e, at(1));
    registry.record_poll(&e, 1, &running(5), 1, at(2));
    registry.begin(&e, at(3));
    assert_eq!(registry.condition(&e, at(3)).sequences, 6);
    registry.end(&e, at(1));
    assert_eq!(registry.condition(&e, at(3)).sequences, 5);
    registry.end(&e, at(3));
    assert_eq!(registry.condition(&e, at(3)).sequences, 4);
}

#[test]
fn work_of_other_routers_since_the_report_is_estimated() {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.set_routers(8);
    registry.record_poll(&e, 1, &running(5), 1, at(2));
    registry.begin(&e, at(3));
    assert_eq!(registry.condition(&e, at(3)).sequences, 13);
    registry.record_poll(&e, 1, &running(6), 2, at(4));
    assert_eq!(registry.condition(&e, at(4)).sequences, 6);
}

#[test]
fn hundredfold_link_slowdown_is_detected_within_three_exchanges() {
    let (mut registry, e) = (registry(1), name("e0"));
    for _ in 0..20 {
        registry.record_success(&e, &step(400), at(1));
    }
    let before = registry.condition(&e, at(1));
    for _ in 0..3 {
        registry.record_success(&e, &step(40_000), at(1));
    }
    let after = registry.condition(&e, at(1));
    assert!((before.link_factor - 1.0).abs() < 0.01, "{before:?}");
    assert!(after.link_factor > 50.0, "{after:?}");
    assert!((after.service_factor - 1.0).abs() < 0.01, "{after:?}");
}

#[test]
fn slowness_decays_without_new_observations() {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.record_success(&e, &step(40_000), at(1));
    assert!(registry.condition(&e, at(1)).link_factor > 20.0);
    assert!(registry.condition(&e, at(121)).link_factor < 1.1);
}

#[test_case(&silent(), true; "silent")]
#[test_case(&Failure::Unreachable("refused".to_owned()), true; "unreachable")]
#[test_case(&Failure::Malformed("label".to_owned()), true; "malformed")]
#[test_case(&Failure::NoCache, false; "no cache")]
#[test_case(&Failure::Refused("adapter".to_owned()), false; "refused")]
#[test_case(&Failure::Overloaded, false; "overloaded")]
fn only_failures_without_a_valid_answer_eject(failure: &Failure, ejects: bool) {
    let (mut registry, e, mut rng) = (registry(1), name("e0"), rng());
    for _ in 0..2 {
        registry.record_failure(&e, failure, at(1), at(1), &mut rng);
    }
    assert_eq!(registry.condition(&e, at(1)).availability, Availability::Live);
    registry.record_failure(&e, failure, at(1), at(1), &mut rng);
    assert_eq!(registry.condition(&e, at(1)).availability == Availability::Unreachable, ejects);
}

#[test]
fn success_between_failures_prevents_ejection() {
    let (mut registry, e, mut rng) = (registry(1), name("e0"), rng());
    for _ in 0..10 {
        registry.record_failure(&e, &silent(), at(1), at(1), &mut rng);
        registry.record_failure(&e, &silent(), at(1), at(1), &mut rng);
        registry.record_success(&e, &step(400), at(1));
    }
    assert_eq!(registry.condition(&e, at(1)).availability, Availability::Live);
}

#[test]
fn ejection_time_backs_off_and_weight_ramps_up() {
    let (mut registry, e, mut rng) = (registry(1), name("e0"), rng());
    let mut now = at(1);
    let mut ejection_times = Vec::new();
    for _ in 0..4 {
        for _ in 0..3 {
            registry.record_failure(&e, &silent(), now, now, &mut rng);
        }
        let start = now;
        while registry.condition(&e, now).availability != Availability::Live {
            now = now + Duration::from_millis(10);
        }
        ejection_times.push(now.since(start));
    }
    assert!(ejection_times.windows(2).all(|pair| pair[1] > pair[0]), "{ejection_times:?}");
    assert!(ejection_times[3] >= ejection_times[0] * 4, "{ejection_times:?}");
    let weight = |seconds| registry.condition(&e, now + Duration::from_secs(seconds)).weight;
    assert!(weight(0) < 0.15, "{}", weight(0));
    assert!(weight(0) < weight(10) && weight(10) < weight(20));
    assert_eq!(weight(30), 1.0);
}

#[test]
fn slow_outliers_are_ejected_up_to_max_ejected_share() {
    let (mut registry, mut rng) = (registry(20), rng());
    for (index, e) in endpoints(20).iter().enumerate() {
        for _ in 0..10 {
            registry.record_success(e, &step(if index < 9 { 40_000 } else { 400 }), at(1));
        }
    }
    for second in 1..4 {
        registry.eject_outliers(at(second), &mut rng);
    }
    let availability = |e: &Name| registry.condition(e, at(3)).availability;
    let slow = endpoints(20).iter().filter(|e| availability(e) == Availability::Slow).count();
    assert_eq!(slow, 6, "30% of 20");
    assert!(endpoints(20)[9..].iter().all(|e| availability(e) == Availability::Live));
}

#[test]
fn beyond_max_ejected_share_only_unreachable_endpoints_are_ejected() {
    let (mut registry, mut rng) = (registry(10), rng());
    for e in &endpoints(10)[..5] {
        for _ in 0..3 {
            registry.record_failure(e, &silent(), at(1), at(1), &mut rng);
        }
    }
    for _ in 0..10 {
        registry.record_success(&name("e9"), &step(40_000), at(1));
    }
    registry.eject_outliers(at(1), &mut rng);
    let availability = |e: &Name| registry.condition(e, at(1)).availability;
    assert!(endpoints(10)[..5].iter().all(|e| availability(e) == Availability::Unreachable));
    assert_eq!(availability(&name("e9")), Availability::Live);
}

/// How a registry learns that `e0`, polled at incarnation 1, is leaving.
#[derive(Clone, Copy, Debug)]
enum Source {
    VmList,
    OwnPoll,
    Refusal,
    PeerReport,
}

fn report_leaving(registry: &mut Registry, source: Source) {
    let e = name("e0");
    let leaving = Load { leaving: true, ..Load::default() };
    match source {
        Source::VmList => registry.apply_vm_list(5, |_| true),
        Source::OwnPoll => registry.record_poll(&e, 1, &leaving, 2, at(2)),
        Source::Refusal => registry.record_failure(&e, &Failure::Leaving, at(2), at(2), &mut rng()),
        Source::PeerReport => {
            let mut peer = self::registry(1);
            peer.record_poll(&e, 1, &leaving, 2, at(2));
            assert!(registry.merge(&peer.reports_since(at(0)), at(2)).is_empty());
        }
    }
}

#[test_case(Source::VmList)]
#[test_case(Source::OwnPoll)]
#[test_case(Source::Refusal)]
#[test_case(Source::PeerReport)]
fn leaving_persists_until_a_newer_incarnation(source: Source) {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.record_poll(&e, 1, &running(0), 1, at(1));
    report_leaving(&mut registry, source);
    assert_eq!(registry.condition(&e, at(2)).availability, Availability::Leaving);
    registry.record_poll(&e, 1, &running(0), 3, at(3));
    registry.apply_vm_list(4, |_| false);
    registry.record_success(&e, &step(400), at(3));
    assert_eq!(registry.condition(&e, at(3)).availability, Availability::Leaving);
    registry.record_poll(&e, 2, &running(0), 4, at(4));
    assert_eq!(registry.condition(&e, at(4)).availability, Availability::Live);
}

#[test]
fn newer_vm_list_withdraws_the_leaving_state_of_an_older_one() {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.apply_vm_list(5, |_| true);
    registry.apply_vm_list(6, |_| false);
    registry.apply_vm_list(5, |_| true);
    assert_eq!(registry.condition(&e, at(1)).availability, Availability::Live);
}

#[test_case(false; "polled")]
#[test_case(true; "shared by a peer")]
fn refusal_by_the_previous_incarnation_does_not_affect_the_next(shared: bool) {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.record_poll(&e, 1, &running(0), 1, at(1));
    let mut peer = self::registry(1);
    let poller = if shared { &mut peer } else { &mut registry };
    poller.record_poll(&e, 2, &running(0), 2, at(5));
    registry.merge(&peer.reports_since(at(0)), at(5));
    registry.record_failure(&e, &Failure::Leaving, at(2), at(6), &mut rng());
    assert_eq!(registry.condition(&e, at(6)).availability, Availability::Live);
}

#[test]
fn refusal_by_an_unknown_incarnation_applies_to_the_first_learned() {
    let (mut registry, e) = (registry(1), name("e0"));
    let mut peer = self::registry(1);
    peer.record_poll(&e, 1, &running(0), 1, at(2));
    registry.record_failure(&e, &Failure::Leaving, at(1), at(1), &mut rng());
    assert_eq!(registry.condition(&e, at(1)).availability, Availability::Leaving);
    registry.merge(&peer.reports_since(at(0)), at(2));
    assert_eq!(registry.condition(&e, at(2)).availability, Availability::Leaving);
    peer.record_poll(&e, 2, &running(0), 2, at(3));
    registry.merge(&peer.reports_since(at(0)), at(3));
    assert_eq!(registry.condition(&e, at(3)).availability, Availability::Live);
}

#[test]
fn newer_vm_list_withdraws_a_refusal_by_an_unknown_incarnation() {
    let (mut registry, e) = (registry(1), name("e0"));
    registry.apply_vm_list(5, |_| false);
    registry.record_failure(&e, &Failure::Leaving, at(1), at(1), &mut rng());
    registry.apply_vm_list(5, |_| false);
    assert_eq!(registry.condition(&e, at(1)).availability, Availability::Leaving);
    registry.apply_vm_list(6, |_| false);
    assert_eq!(registry.condition(&e, at(1)).availability, Availability::Live);
}

#[test]
fn report_too_far_in_the_future_is_rejected() {
    let mut registry = registry(1);
    let mut peer = self::registry(1);
    peer.record_poll(&name("e0"), 1, &running(9), 1, at(100));
    assert_eq!(registry.merge(&peer.reports_since(at(0)), at(1)).len(), 1);
    assert_eq!(registry.condition(&name("e0"), at(1)).sequences, 0);
}

#[test]
fn each_endpoint_has_one_poller_and_a_lost_router_reassigns_only_its_endpoints() {
    let (a, b) = (name("a"), name("b"));
    let names: Vec<String> = (0..8).map(|index| format!("r{index}")).collect();
    let domain = |index| if index < 4 { &a } else { &b };
    let routers: Vec<Router<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| Router { name, domain: domain(index) })
        .collect();
    let mut endpoints_per_router = BTreeMap::new();
    for e in endpoints(400) {
        let before = poller(&e, &a, &routers).unwrap().name;
        let after = poller(&e, &a, &routers[1..]).unwrap().name;
        assert!(before == "r0" || before == after);
        assert!(["r0", "r1", "r2", "r3"].contains(&before));
        *endpoints_per_router.entry(before).or_insert(0) += 1;
    }
    assert!(
        endpoints_per_router.values().all(|&count| (50..200).contains(&count)),
        "{endpoints_per_router:?}"
    );
    assert!(poller(&name("e0"), &name("c"), &routers).is_some());
    assert!(poller(&name("e0"), &a, &[]).is_none());
}

fn reports() -> impl Strategy<Value = Vec<Report>> {
    let report = (0..3_usize, 0..5_u64, 0..3_u64, 0..4_u64, any::<bool>());
    let reports = proptest::collection::vec(report, 1..12);
    reports.prop_map(|parts| {
        let build =
            |(index, second, sequence, incarnation, leaving): (usize, u64, u64, u64, bool)| {
                let mut source = registry(3);
                let e = &endpoints(3)[index];
                // Two reports of the same poll must carry the same load, so it is
                // computed from the poll's time and sequence number.
                let running = (second * 10 + sequence) as u32;
                let load = Load { running, leaving, ..Load::default() };
                source.record_poll(e, incarnation, &load, sequence + 1, at(second + 1));
                let mut shared = source.reports_since(at(0));
                // For the same reason the load must not contain the random `leaving`;
                // `leaving_state` still does.
                shared.reports[0].load.leaving = false;
                shared.reports.remove(0)
            };
        parts.into_iter().map(build).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    #[test]
    fn merge_is_commutative_and_idempotent(reports in reports()) {
        let mut forward = registry(3);
        let mut backward = registry(3);
        forward.merge(&ReportBatch { reports: reports.clone() }, at(9));
        for _ in 0..2 {
            let reversed = reports.iter().rev().cloned().collect();
            backward.merge(&ReportBatch { reports: reversed }, at(9));
        }
        prop_assert_eq!(forward.reports_since(at(0)), backward.reports_since(at(0)));
    }
}
