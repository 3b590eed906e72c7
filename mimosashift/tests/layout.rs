//! Tests of the assignment of layers to endpoints.

use std::collections::BTreeMap;

use mimosashift::deployment::{Card, Engine};
use mimosashift::layout::{Assignment, EndpointState, plan};
use mimosashift::resource::Layers;
use proptest::prelude::*;

use common::deployment::{engine, layers};

#[path = "common"]
mod common {
    pub mod deployment;
}

const KINDS: [&str; 3] = ["large", "small", "slow"];

fn endpoint_state(number: usize, zone: &str, card: &str, held: Option<Layers>) -> EndpointState {
    EndpointState {
        id: format!("e{number:03}").into(),
        zone: zone.into(),
        card: engine().cards[card],
        layers: held,
        used: 0.0,
        busy: false,
    }
}

/// Empty endpoints of one zone, with `counts` cards of each kind.
fn zone(name: &str, counts: [usize; 3], from: usize) -> Vec<EndpointState> {
    let kinds = KINDS.iter().zip(counts).flat_map(|(kind, n)| std::iter::repeat_n(*kind, n));
    kinds.enumerate().map(|(n, kind)| endpoint_state(from + n, name, kind, None)).collect()
}

/// Three zones with different mixes of cards, each with room for a complete copy.
fn three_zones() -> Vec<EndpointState> {
    let mut endpoints = zone("a", [2, 4, 4], 0);
    endpoints.extend(zone("b", [1, 6, 6], 100));
    endpoints.extend(zone("c", [1, 10, 4], 200));
    endpoints
}

fn apply(endpoints: &mut [EndpointState], assignments: &[Assignment]) {
    for planned in assignments {
        let endpoint = endpoints.iter_mut().find(|endpoint| endpoint.id == planned.id).unwrap();
        endpoint.layers = Some(planned.layers);
    }
}

/// Plans and applies assignments until no further one is made; returns the rounds.
fn converge(engine: &Engine, endpoints: &mut [EndpointState]) -> usize {
    for round in 0..200 {
        let assignments = plan(engine, endpoints);
        if assignments.is_empty() {
            return round;
        }
        apply(endpoints, &assignments);
    }
    panic!("the plan does not converge");
}

/// KV cache capacity of each layer's holders in tokens, by zone.
fn tokens(engine: &Engine, endpoints: &[EndpointState]) -> BTreeMap<String, Vec<f64>> {
    let mut zones: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for endpoint in endpoints {
        let zone_capacity = zones.entry(endpoint.zone.to_string()).or_insert_with(|| vec![0.0; 80]);
        let Some(held) = endpoint.layers else { continue };
        let each = engine.kv_capacity(&endpoint.card, held.count()) / f64::from(held.count());
        for layer in held.start()..held.end() {
            zone_capacity[usize::from(layer)] += each.max(1.0);
        }
    }
    zones
}

fn least(tokens: &[f64]) -> f64 {
    tokens.iter().copied().fold(f64::MAX, f64::min)
}

fn fits(engine: &Engine, card: &Card, layers: Layers) -> bool {
    f64::from(layers.count()) * engine.layer_mb <= card.memory_mb
}

#[test]
fn each_zone_gets_a_whole_copy_with_memory_for_requests() {
    let (engine, mut endpoints) = (engine(), three_zones());
    converge(&engine, &mut endpoints);
    for (zone, tokens) in tokens(&engine, &endpoints) {
        assert!(least(&tokens) >= 130_000.0, "{zone}: {}", least(&tokens));
    }
}

#[test]
fn converged_layout_is_not_changed() {
    let (engine, mut endpoints) = (engine(), three_zones());
    converge(&engine, &mut endpoints);
    assert_eq!(plan(&engine, &endpoints), []);
}

/// A small gap in a zone is accepted, because chains can use another zone for
/// those layers. A new layout of the zone would have to wait until all requests on
/// its endpoints have ended.
#[test]
fn lost_endpoint_leaves_a_small_gap_at_most() {
    let (engine, mut endpoints) = (engine(), three_zones());
    converge(&engine, &mut endpoints);
    for lost in 0..endpoints.len() {
        let mut left = endpoints.clone();
        let zone = left.remove(lost).zone;
        converge(&engine, &mut left);
        let mut tokens = tokens(&engine, &left)[&*zone].clone();
        let gap = tokens.iter().filter(|tokens| **tokens == 0.0).count();
        assert!(gap <= 10, "after loss of endpoint {lost}: {gap} layers missing");
        tokens.retain(|tokens| *tokens > 0.0);
        assert!(least(&tokens) >= 40_000.0, "after loss of endpoint {lost}: {}", least(&tokens));
    }
}

#[test]
fn lost_endpoint_takes_no_layer_from_all_zones() {
    let (engine, mut endpoints) = (engine(), three_zones());
    converge(&engine, &mut endpoints);
    for lost in 0..endpoints.len() {
        let mut left = endpoints.clone();
        left.remove(lost);
        let zones = tokens(&engine, &left);
        for layer in 0..80 {
            let zones = zones.values().filter(|tokens| tokens[layer] >= 130_000.0).count();
            assert!(zones >= 2, "after loss of endpoint {lost}: layer {layer}");
        }
    }
}

#[test]
fn empty_endpoint_gets_the_missing_layers_first() {
    let engine = engine();
    let mut endpoints = zone("a", [2, 0, 2], 0);
    endpoints[0].layers = Some(layers(0, 35));
    endpoints[1].layers = Some(layers(45, 80));
    endpoints[2].layers = Some(layers(0, 10));
    let assignments = plan(&engine, &endpoints);
    assert_eq!(assignments.len(), 1, "{assignments:?}");
    assert!(assignments[0].layers.contains(layers(35, 42)), "{assignments:?}");
}

#[test]
fn zones_that_cannot_hold_a_copy_alone_share_one() {
    let engine = engine();
    let mut endpoints = zone("a", [1, 1, 0], 0);
    endpoints.extend(zone("b", [1, 2, 1], 100));
    converge(&engine, &mut endpoints);
    let zones = tokens(&engine, &endpoints);
    let both: Vec<_> = zones["a"].iter().zip(&zones["b"]).map(|(a, b)| a + b).collect();
    // A capacity of 1 marks a holder without memory for requests.
    assert!(least(&both) > 1.0, "{both:?}");
}

#[test]
fn full_endpoint_is_not_widened() {
    let engine = engine();
    let mut endpoints = zone("a", [2, 4, 4], 0);
    converge(&engine, &mut endpoints);
    for endpoint in &mut endpoints {
        let held = endpoint.layers.unwrap().count();
        endpoint.used = engine.kv_capacity(&endpoint.card, held);
    }
    endpoints.remove(0);
    for planned in plan(&engine, &endpoints) {
        let endpoint = endpoints.iter().find(|endpoint| endpoint.id == planned.id).unwrap();
        assert!(planned.layers.count() <= endpoint.layers.unwrap().count(), "{planned:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Holds for any cards, zones, held layers and busy endpoints.
    #[test]
    fn no_order_exceeds_a_card_or_opens_a_gap(
        cards in prop::collection::vec((0..3_usize, 0..3_usize, 0..80_u16, 1..12_u16, any::<bool>()), 1..24),
    ) {
        let engine = engine();
        let zones = ["a", "b", "c"];
        let mut endpoints = Vec::new();
        for (number, (kind, zone, start, count, busy)) in cards.into_iter().enumerate() {
            let end = (start + count).min(80);
            let held = (number % 3 != 0 && start < end).then(|| layers(start, end));
            let held = held.filter(|held| fits(&engine, &engine.cards[KINDS[kind]], *held));
            endpoints.push(EndpointState {
                busy,
                ..endpoint_state(number, zones[zone], KINDS[kind], held)
            });
        }
        let missing_layers = |endpoints: &[EndpointState]| -> Vec<usize> {
            let zones = tokens(&engine, endpoints);
            (0..80).filter(|layer| zones.values().all(|zone| zone[*layer] == 0.0)).collect()
        };
        let before = missing_layers(&endpoints);
        let assignments = plan(&engine, &endpoints);
        for planned in &assignments {
            let endpoint = endpoints.iter().find(|endpoint| endpoint.id == planned.id).unwrap();
            prop_assert!(fits(&engine, &endpoint.card, planned.layers), "{planned:?}");
            prop_assert!(!endpoint.busy, "{planned:?}");
        }
        apply(&mut endpoints, &assignments);
        let gaps = missing_layers(&endpoints);
        prop_assert!(gaps.iter().all(|layer| before.contains(layer)), "{before:?} {gaps:?}");
    }
}

#[test]
fn gap_is_closed_by_an_endpoint_with_unused_memory() {
    let engine = engine();
    let mut endpoints = vec![
        endpoint_state(1, "a", "large", Some(layers(0, 25))),
        endpoint_state(2, "a", "large", Some(layers(25, 50))),
        endpoint_state(3, "a", "large", Some(layers(50, 75))),
        endpoint_state(4, "a", "small", Some(layers(0, 5))),
        endpoint_state(5, "a", "small", Some(layers(5, 10))),
    ];
    for (used, idle) in [(3, 4), (4, 3)] {
        for index in [3, 4] {
            endpoints[index].used = if index == used { 600_000.0 } else { 0.0 };
        }
        let assignments = plan(&engine, &endpoints);
        assert_eq!(assignments.len(), 1, "{assignments:?}");
        assert_eq!(assignments[0].id, endpoints[idle].id);
    }
}
