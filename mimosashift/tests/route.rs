//! Tests of the choice of chains: cost relative to the reference, invariants and
//! bounds on the work.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mimosashift::health::{Availability, Condition, HealthView};
use mimosashift::resource::{Kind, Layers, Name, Resource, Snapshot, Spec};
use mimosashift::route::affinity::{self, Affinity, Event};
use mimosashift::route::{
    Choice, Distances, Prefix, Refusal, RouteRequest, Settings, Sources, Stage, Table, naive,
};
use mimosashift::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use test_case::test_case;

/// Maximum mean ratio of the cost of a choice to that of the best chain.
const MAX_MEAN_COST_RATIO: f64 = 1.10;

const NOW: Instant = Instant::from_millis(1_000);

/// Endpoint health set by the test.
#[derive(Debug, Default)]
struct Health(HashMap<Name, Condition>);

impl HealthView for Health {
    fn condition(&self, endpoint: &Name, _now: Instant) -> Condition {
        self.0.get(endpoint).copied().unwrap_or(Condition::IDLE)
    }
}

/// A configuration and the state of its endpoints, seen from domain `d0`.
struct Scenario {
    layers: u16,
    resources: Vec<Resource>,
    health: Health,
    affinity: Affinity,
    settings: Settings,
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

fn resource(kind: Kind, key: &str, body: &serde_json::Value) -> Resource {
    let spec = Spec::decode(kind, body.to_string().as_bytes()).unwrap();
    Resource { name: name(key), revision: 1, spec }
}

fn route_request<'a>(pipeline: &'a Name) -> RouteRequest<'a> {
    RouteRequest {
        pipeline,
        version: 1,
        prompt_tokens: 512,
        output_tokens: 128,
        adapter: None,
        prefixes: &[],
        avoid: &[],
        avoid_domains: &[],
        kept: &[],
    }
}

impl Scenario {
    fn new(layers: u16) -> Self {
        let body = json!({"layers": layers, "version": 1, "adapters": ["known"]});
        Self {
            layers,
            resources: vec![resource(Kind::Pipeline, "p", &body)],
            health: Health::default(),
            affinity: Affinity::default(),
            settings: Settings::default(),
        }
    }

    fn engine(&mut self, key: &str, domain: u32, layers: (u16, u16), layer_us: u32, link_us: u32) {
        let body = json!({
            "address": "127.0.0.1:9000", "domain": format!("d{domain}"),
            "role": {"engine": {"accelerator": "x", "layer_us": layer_us, "link_us": link_us,
                "link_bytes_per_second": 1_000_000_000_000_u64 / (u64::from(link_us) * 40),
                "holds": [{"pipeline": "p", "version": 1, "layers": [layers.0, layers.1]}]}},
        });
        self.resources.push(resource(Kind::Endpoint, key, &body));
    }

    /// Adds an engine of one of five kinds of accelerator, with a random load and a link
    /// latency that varies by a factor of 100.
    fn mixed_engine(&mut self, domains: u32, layers: (u16, u16), rng: &mut Pcg64Mcg) {
        let key = format!("e{}", self.resources.len());
        let layer_us = [40, 80, 120, 200, 400][rng.random_range(0..5)];
        let link_us = (25.0 * 100_f64.powf(rng.random::<f64>())) as u32;
        self.engine(&key, rng.random_range(0..domains), layers, layer_us, link_us);
        let sequences = rng.random_range(0..40);
        let service_factor = rng.random_range(0.8..1.5);
        self.health
            .0
            .insert(name(&key), Condition { sequences, service_factor, ..Condition::IDLE });
    }

    fn aligned(stages: u16, replicas: usize, domains: u32, rng: &mut Pcg64Mcg) -> Self {
        let mut scenario = Self::new(stages);
        for index in 0..usize::from(stages) * replicas {
            let start = index as u16 % stages;
            scenario.mixed_engine(domains, (start, start + 1), rng);
        }
        scenario
    }

    fn overlapping(layers: u16, endpoints: usize, rng: &mut Pcg64Mcg) -> Self {
        let mut scenario = Self::new(layers);
        for _ in 0..endpoints {
            let start = rng.random_range(0..layers);
            scenario.mixed_engine(3, (start, rng.random_range(start + 1..=layers)), rng);
        }
        scenario
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot::new(1, self.resources.iter().cloned())
    }

    fn choose(&self, request: &RouteRequest<'_>, rng: &mut Pcg64Mcg) -> Result<Choice, Refusal> {
        self.choose_many(request, 1, rng).remove(0)
    }

    fn choose_many(
        &self,
        request: &RouteRequest<'_>,
        count: usize,
        rng: &mut Pcg64Mcg,
    ) -> Vec<Result<Choice, Refusal>> {
        let table = Table::new(&self.snapshot(), &distances(), self.settings);
        let sources = Sources { health: &self.health, affinity: &self.affinity };
        (0..count).map(|_| table.choose(request, &sources, NOW, rng)).collect()
    }

    fn naive(&self, request: &RouteRequest<'_>) -> Option<f64> {
        let snapshot = self.snapshot();
        let best =
            naive::choose(&snapshot, &distances(), &self.settings, request, &self.health, NOW);
        best.map(|(_, cost)| cost)
    }

    /// Turns off sampling and cost jitter.
    fn exact(mut self) -> Self {
        self.settings = Settings { candidates: usize::MAX, cost_jitter: 0.0, ..self.settings };
        self
    }

    fn held(&self, endpoint: &Name) -> Layers {
        match self.snapshot().endpoints().find(|(key, _)| *key == endpoint).unwrap().1.role {
            mimosashift::resource::Role::Engine(ref engine) => engine.holds[0].layers,
            mimosashift::resource::Role::Service(_) => panic!("these scenarios have no services"),
        }
    }
}

fn distances() -> Distances {
    let overrides = BTreeMap::from([(name("d2"), Duration::from_millis(20))]);
    Distances::new(name("d0"), Duration::from_micros(500), overrides)
}

fn random_request<'a>(pipeline: &'a Name, rng: &mut Pcg64Mcg) -> RouteRequest<'a> {
    let (prompt_tokens, output_tokens) = (rng.random_range(1..4_000), rng.random_range(1..500));
    RouteRequest { prompt_tokens, output_tokens, ..route_request(pipeline) }
}

/// Prints the ratios of estimated to best completion time and checks their bounds.
fn report(what: &str, ratios: &[f64]) {
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    let worst = ratios.iter().copied().fold(0.0, f64::max);
    let text = format!(
        "{what}: {} scenarios, cost ratio mean {mean:.4}, worst {worst:.4}\n",
        ratios.len()
    );
    std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes()).unwrap();
    assert!(mean <= MAX_MEAN_COST_RATIO, "{text}");
    assert!(ratios.iter().all(|&ratio| ratio > 0.9999), "cheaper than the best chain: {text}");
}

fn ratio(scenario: &Scenario, seed: u64) -> f64 {
    let (pipeline, mut rng) = (name("p"), rng(seed));
    let request = random_request(&pipeline, &mut rng);
    let best = scenario.naive(&request).expect("the scenario covers every layer");
    scenario.choose(&request, &mut rng).unwrap().estimate.as_secs_f64() * 1e6 / best
}

fn with_full_coverage(scenario: Scenario) -> Option<Scenario> {
    let pipeline = name("p");
    scenario.naive(&route_request(&pipeline)).is_some().then_some(scenario)
}

#[test]
fn search_without_sampling_finds_the_best_of_all_chains() {
    let scenarios = (0..100).filter_map(|seed| {
        Some((seed, with_full_coverage(Scenario::overlapping(6, 9, &mut rng(seed)))?.exact()))
    });
    let ratios: Vec<f64> = scenarios.map(|(seed, scenario)| ratio(&scenario, seed)).collect();
    assert!(ratios.len() > 50, "{}", ratios.len());
    assert!(ratios.iter().all(|ratio| (ratio - 1.0).abs() < 1e-4), "{ratios:?}");
}

#[test]
fn sampled_cost_is_near_that_of_best_chain_with_overlaps() {
    let scenarios = (0..60).filter_map(|seed| {
        Some((seed, with_full_coverage(Scenario::overlapping(5, 24, &mut rng(seed)))?))
    });
    let ratios: Vec<f64> = scenarios.map(|(seed, scenario)| ratio(&scenario, seed)).collect();
    report("24 overlapping endpoints", &ratios);
}

#[test]
fn sampled_cost_is_near_that_of_best_chain_with_replicas() {
    let scenarios = (0..60).map(|seed| (seed, Scenario::aligned(3, 50, 3, &mut rng(seed))));
    let ratios: Vec<f64> = scenarios.map(|(seed, scenario)| ratio(&scenario, seed)).collect();
    report("50 replicas of 3 stages", &ratios);
}

#[test]
fn sampled_cost_is_near_that_of_exact_search_at_1000_replicas() {
    let mut ratios = Vec::new();
    for seed in 0..20 {
        let (pipeline, mut rng) = (name("p"), rng(seed));
        let scenario = Scenario::aligned(4, 1_000, 11, &mut rng);
        let request = random_request(&pipeline, &mut rng);
        let sampled = scenario.choose_many(&request, 50, &mut rng);
        let best = scenario.exact().choose(&request, &mut rng).unwrap().estimate.as_secs_f64();
        ratios.extend(sampled.iter().map(|c| c.as_ref().unwrap().estimate.as_secs_f64() / best));
    }
    report("1000 replicas of 4 stages", &ratios);
}

#[test]
fn sampled_cost_is_near_that_of_exact_search_with_individual_ranges() {
    let mut ratios = Vec::new();
    for seed in 0..10 {
        let (pipeline, mut rng) = (name("p"), rng(seed));
        let mut scenario = Scenario::new(40);
        for _ in 0..1_000 {
            let start = rng.random_range(0..40_u16);
            let end = rng.random_range(start + 1..=(start + 15).min(40));
            scenario.mixed_engine(11, (start, end), &mut rng);
        }
        let request = random_request(&pipeline, &mut rng);
        let sampled = scenario.choose_many(&request, 10, &mut rng);
        let best = scenario.exact().choose(&request, &mut rng).unwrap().estimate.as_secs_f64();
        ratios.extend(sampled.iter().map(|c| c.as_ref().unwrap().estimate.as_secs_f64() / best));
    }
    report("1000 endpoints with individual ranges", &ratios);
}

#[test_case(40, 0.0)]
#[test_case(1_000, 0.0)]
#[test_case(1_000, 0.8; "most of 1000 leaving")]
fn evaluations_are_bounded(replicas: usize, leaving: f64) {
    let pipeline = name("p");
    for seed in 0..20 {
        let mut rng = rng(seed);
        let mut scenario = Scenario::aligned(4, replicas, 11, &mut rng);
        for condition in scenario.health.0.values_mut() {
            if rng.random_bool(leaving) {
                condition.availability = Availability::Leaving;
            }
        }
        // 4 stages, with 2 draws per candidate.
        let bound = 4 * scenario.settings.candidates as u32 * 2;
        for choice in scenario.choose_many(&route_request(&pipeline), 200, &mut rng) {
            let evaluations = choice.unwrap().stats.evaluations;
            assert!(
                evaluations <= bound,
                "{evaluations} evaluations, at most {bound}, seed {seed}"
            );
        }
    }
}

#[test]
fn equal_endpoints_share_the_choices() {
    let (pipeline, mut rng) = (name("p"), rng(1));
    let mut scenario = Scenario::new(1);
    for index in 0..10 {
        scenario.engine(&format!("e{index}"), 0, (0, 1), 100, 100);
    }
    let mut counts: HashMap<Name, u32> = HashMap::new();
    for choice in scenario.choose_many(&route_request(&pipeline), 1_000, &mut rng) {
        *counts.entry(choice.unwrap().chain.stages()[0].endpoint.clone()).or_default() += 1;
    }
    assert!(counts.len() == 10 && counts.values().all(|&n| n < 200), "{counts:?}");
}

#[test_case(0, "local"; "stays in its own domain when idle")]
#[test_case(15, "local"; "stays while a slot is free")]
#[test_case(60, "remote"; "uses another domain when the queue costs more than the domain latency")]
fn own_domain_is_preferred(sequences: u32, expected: &str) {
    let (pipeline, mut rng) = (name("p"), rng(1));
    let mut scenario = Scenario::new(1);
    scenario.engine("local", 0, (0, 1), 1_000, 100);
    scenario.engine("remote", 1, (0, 1), 1_000, 100);
    scenario.health.0.insert(name("local"), Condition { sequences, ..Condition::IDLE });
    for choice in scenario.choose_many(&route_request(&pipeline), 50, &mut rng) {
        assert_eq!(choice.unwrap().chain.stages()[0].endpoint, name(expected));
    }
}

#[test]
fn returning_endpoint_gets_little_work_unless_the_other_is_slow() {
    let (pipeline, mut rng) = (name("p"), rng(1));
    let mut scenario = Scenario::new(1);
    scenario.engine("fast", 0, (0, 1), 50, 100);
    scenario.engine("slow", 0, (0, 1), 100, 100);
    scenario.health.0.insert(name("fast"), Condition { weight: 0.1, ..Condition::IDLE });
    let choices = scenario.choose_many(&route_request(&pipeline), 1_000, &mut rng);
    let is_fast = |c: &Choice| c.chain.stages()[0].endpoint == name("fast");
    let fast = choices.iter().filter(|c| is_fast(c.as_ref().unwrap())).count();
    assert!((50..200).contains(&fast), "{fast}");
    scenario
        .health
        .0
        .insert(name("slow"), Condition { availability: Availability::Slow, ..Condition::IDLE });
    assert!(
        scenario
            .choose_many(&route_request(&pipeline), 50, &mut rng)
            .iter()
            .all(|c| is_fast(c.as_ref().unwrap()))
    );
}

#[test]
fn single_live_endpoint_is_found_among_many() {
    let (pipeline, mut rng) = (name("p"), rng(1));
    for availability in [Availability::Slow, Availability::Unreachable, Availability::Leaving] {
        let mut scenario = Scenario::aligned(2, 500, 3, &mut rng);
        for (key, condition) in &mut scenario.health.0 {
            if !["e7", "e8"].contains(&key.as_str()) {
                condition.availability = availability;
            }
        }
        let choice = scenario.choose(&route_request(&pipeline), &mut rng).unwrap();
        let names: Vec<&str> = choice.chain.stages().iter().map(|s| s.endpoint.as_str()).collect();
        assert_eq!(names, ["e7", "e8"]);
    }
}

/// Three stages of four layers, with two endpoints each: `a0` to `c1`.
fn three_stages() -> Scenario {
    let mut scenario = Scenario::new(12);
    for (index, stage) in ["a", "b", "c"].iter().enumerate() {
        let start = index as u16 * 4;
        scenario.engine(&format!("{stage}0"), 0, (start, start + 4), 100, 100);
        scenario.engine(&format!("{stage}1"), 1, (start, start + 4), 100, 100);
    }
    scenario
}

fn stage(endpoint: &str, start: u16, end: u16) -> Stage {
    Stage { endpoint: name(endpoint), layers: Layers::try_from((start, end)).unwrap() }
}

#[test]
fn kept_stages_stay_and_only_the_gap_is_replaced() {
    let (pipeline, mut rng) = (name("p"), rng(1));
    let kept = [stage("gone", 0, 3), stage("c1", 8, 12)];
    let avoid = [name("b0")];
    let request = RouteRequest { kept: &kept, avoid: &avoid, ..route_request(&pipeline) };
    let choice = three_stages().choose(&request, &mut rng).unwrap();
    let expected = [kept[0].clone(), stage("a0", 3, 4), stage("b1", 4, 8), kept[1].clone()];
    assert_eq!(choice.chain.stages(), expected);
}

#[test]
fn wider_holder_does_not_run_kept_layers() {
    let (pipeline, mut rng) = (name("p"), rng(1));
    let mut scenario = Scenario::new(12);
    scenario.engine("wide", 0, (0, 12), 10, 10);
    let kept = [stage("b0", 4, 8)];
    let choice = scenario
        .choose(&RouteRequest { kept: &kept, ..route_request(&pipeline) }, &mut rng)
        .unwrap();
    let expected = [stage("wide", 0, 4), kept[0].clone(), stage("wide", 8, 12)];
    assert_eq!(choice.chain.stages(), expected);
}

#[test]
fn refusal_names_the_layers_without_holder() {
    let (pipeline, mut rng) = (name("p"), rng(1));
    let mut scenario = three_stages();
    let avoid = [name("b1"), name("c0"), name("c1")];
    let leaving = Condition { availability: Availability::Leaving, ..Condition::IDLE };
    scenario.health.0.insert(name("b0"), leaving);
    let refusal = scenario
        .choose(&RouteRequest { avoid: &avoid, ..route_request(&pipeline) }, &mut rng)
        .unwrap_err();
    let layers = Layers::try_from((4, 12)).unwrap();
    assert_eq!(refusal, Refusal::NoHolder { pipeline: pipeline.clone(), version: 1, layers });
}

#[test_case(|_, request| RouteRequest { version: 2, ..request }, "version 2"; "version")]
#[test_case(|_, request| RouteRequest { adapter: Some(Box::leak(Box::new(name("other")))), ..request }, "no adapter \"other\""; "adapter")]
#[test_case(|_, request| RouteRequest { pipeline: Box::leak(Box::new(name("q"))), ..request }, "\"q\" does not exist"; "pipeline")]
#[test_case(|_, request| RouteRequest { avoid_domains: Box::leak(Box::new([name("d0"), name("d1")])), ..request }, "no live endpoint holds layers 0..12"; "domains")]
#[test_case(|_, request| RouteRequest { kept: Box::leak(Box::new([stage("x", 4, 13)])), ..request }, "stage to keep with layers 4..13"; "kept")]
#[test_case(overload_last_stage, "overloaded"; "overloaded")]
fn refusal_gives_the_reason(
    change: fn(&mut Scenario, RouteRequest<'static>) -> RouteRequest<'static>,
    message: &str,
) {
    let mut scenario = three_stages();
    let request = change(&mut scenario, route_request(Box::leak(Box::new(name("p")))));
    let refusal = scenario.choose(&request, &mut rng(1)).unwrap_err().to_string();
    assert!(refusal.contains(message), "{refusal}");
}

fn overload_last_stage(
    scenario: &mut Scenario,
    request: RouteRequest<'static>,
) -> RouteRequest<'static> {
    let overloaded = Condition { overloaded: true, ..Condition::IDLE };
    scenario.health.0 = ["c0", "c1"].map(|key| (name(key), overloaded)).into();
    request
}

#[test]
fn explanation_lists_every_holder_cheapest_first() {
    let (scenario, pipeline) = (three_stages(), name("p"));
    let table = Table::new(&scenario.snapshot(), &distances(), scenario.settings);
    let sources = Sources { health: &scenario.health, affinity: &scenario.affinity };
    let avoid = [name("a0")];
    let request = RouteRequest { avoid: &avoid, ..route_request(&pipeline) };
    let lines = table.explain(&request, &sources, NOW, 10).unwrap();
    let names: Vec<&str> = lines.iter().map(|line| line.endpoint.as_str()).collect();
    assert_eq!(names, ["a1", "a0", "b0", "b1", "c0", "c1"]);
    assert!(lines[0].estimate.is_some() && lines[1].estimate.is_none());
}

const PREFIXES: [Prefix; 2] = [Prefix { hash: 1, tokens: 200 }, Prefix { hash: 2, tokens: 400 }];

#[test_case(&["a1", "b1", "c1"], 0, true; "all stages cache it")]
#[test_case(&["a1", "b1"], 0, false; "one stage does not cache it")]
#[test_case(&["a1", "b1", "c1"], 600, false; "cached but its queue is long")]
fn cached_prefix_is_preferred(holders: &[&str], sequences: u32, preferred: bool) {
    let (mut scenario, pipeline) = (three_stages(), name("p"));
    for holder in holders {
        scenario.affinity.event(&name(holder), 1, Event::Stored(&[1, 2]), NOW);
        scenario.health.0.insert(name(holder), Condition { sequences, ..Condition::IDLE });
    }
    let request =
        RouteRequest { prefixes: &PREFIXES, output_tokens: 2, ..route_request(&pipeline) };
    let choice = scenario.choose(&request, &mut rng(1)).unwrap();
    assert_eq!(choice.cached_tokens, if preferred { 400 } else { 0 });
    assert_eq!(choice.chain.stages()[0].endpoint, name(if preferred { "a1" } else { "a0" }));
}

#[test]
fn prefixes_that_only_one_stage_caches_cost_few_searches() {
    let (mut scenario, pipeline) = (three_stages(), name("p"));
    let prefixes: Vec<Prefix> = (1..200).map(|n| Prefix { hash: n, tokens: n as u32 }).collect();
    let hashes: Vec<u64> = prefixes.iter().map(|prefix| prefix.hash).collect();
    scenario.affinity.event(&name("a1"), 1, Event::Stored(&hashes), NOW);
    let choice = scenario
        .choose(&RouteRequest { prefixes: &prefixes, ..route_request(&pipeline) }, &mut rng(1))
        .unwrap();
    // 6 in the search without cache, and 1 in each of the 4 searches for a prefix.
    assert!(choice.stats.evaluations <= 6 + 4, "{:?}", choice.stats);
}

#[test]
fn affinity_confidence_drops_with_age_and_after_a_gap() {
    let mut affinity =
        Affinity::new(affinity::Settings { max_prefixes: 8, expiry: Duration::from_secs(100) });
    let e = name("e");
    let confidence = |affinity: &Affinity, hash, second: u64| {
        let now = Instant::from_millis(second * 1_000);
        affinity.holders(hash, now).first().map(|found| found.confidence)
    };
    let at = |second: u64| Instant::from_millis(second * 1_000);
    affinity.event(&e, 1, Event::Stored(&[1]), at(0));
    assert_eq!(confidence(&affinity, 1, 0), Some(1.0));
    assert_eq!(confidence(&affinity, 1, 50), Some(0.5));
    assert_eq!(confidence(&affinity, 1, 100), None);
    affinity.event(&e, 4, Event::Stored(&[2]), at(50));
    assert_eq!(confidence(&affinity, 1, 50), Some(0.25));
    assert_eq!(confidence(&affinity, 2, 50), Some(1.0));
    affinity.event(&e, 3, Event::Removed(&[2]), at(50));
    assert_eq!(confidence(&affinity, 2, 50), Some(1.0), "out of order");
    affinity.event(&e, 5, Event::Cleared, at(51));
    assert_eq!(confidence(&affinity, 2, 51), None);
}

#[test]
fn affinity_memory_is_bounded() {
    let mut affinity =
        Affinity::new(affinity::Settings { max_prefixes: 100, expiry: Duration::from_secs(100) });
    for round in 0..5_000_u64 {
        affinity.store(&name(&format!("e{}", round % 50)), &[round / 50, round], NOW);
        assert!(affinity.len() <= 100, "{}", affinity.len());
        assert!(affinity.holders(round / 50, NOW).len() <= affinity::MAX_HOLDERS);
    }
    assert!(!affinity.holders(4_999, NOW).is_empty());
}

fn conditions() -> impl Strategy<Value = Condition> {
    let availability = prop_oneof![
        Just(Availability::Live),
        Just(Availability::Slow),
        Just(Availability::Unreachable),
        Just(Availability::Leaving)
    ];
    (availability, 0..60_u32, any::<bool>()).prop_map(|(availability, sequences, overloaded)| {
        Condition { availability, sequences, overloaded, ..Condition::IDLE }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default()
    })]

    #[test]
    fn choice_is_valid_and_exists_if_any_chain_does(
        seed in any::<u64>(),
        conditions in proptest::collection::vec(conditions(), 12),
        avoided_index in 1..13_usize,
        candidates in 1..13_usize,
    ) {
        let (pipeline, mut rng) = (name("p"), rng(seed));
        let mut scenario = Scenario::overlapping(5, 12, &mut rng);
        scenario.settings.candidates = candidates;
        scenario.health.0 = (1..).map(|index| name(&format!("e{index}"))).zip(conditions).collect();
        let avoid = [name(&format!("e{avoided_index}"))];
        let request = RouteRequest { avoid: &avoid, ..route_request(&pipeline) };
        let best = scenario.naive(&request);
        let choice = scenario.choose(&request, &mut rng);
        prop_assert_eq!(choice.is_ok(), best.is_some(), "{:?} {:?}", choice, best);
        for stage in choice.iter().flat_map(|choice| choice.chain.stages()) {
            let condition = scenario.health.condition(&stage.endpoint, NOW);
            prop_assert!(condition.availability != Availability::Leaving && !condition.overloaded);
            prop_assert!(stage.endpoint != avoid[0]);
            prop_assert!(scenario.held(&stage.endpoint).contains(stage.layers));
        }
        prop_assert_eq!(choice.map_or(0, |choice| choice.chain.stages().last().unwrap().layers.end()),
            if best.is_some() { scenario.layers } else { 0 });
    }
}
