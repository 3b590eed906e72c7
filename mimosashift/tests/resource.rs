//! Validation and lookup of declared resources.

use std::collections::BTreeMap;

use mimosashift::resource::{Kind, Name, Resource, Snapshot, Spec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Defines one test per resource that must be rejected, with the text that its
/// error must contain.
macro_rules! rejected {
    ($($case:ident: $kind:ident $body:literal => $message:literal;)*) => {$(
        #[test]
        fn $case() {
            let error = Spec::decode(Kind::$kind, $body.as_bytes()).unwrap_err().to_string();
            assert!(error.contains($message), "{error}");
        }
    )*};
}

rejected! {
    route_without_model: Route r#"{"model":"","pipeline":"p"}"# => "\"model\"";
    route_unknown_field: Route r#"{"model":"m","pipeline":"p","x":1}"# => "unknown field `x`";
    team_without_weight: Team r#"{"priority":"p","weight":0}"# => "greater than 0";
    team_bad_digest: Team r#"{"priority":"p","token_digests":["ab"]}"# => "64 lower-case";
    pipeline_without_layers: Pipeline r#"{"layers":0,"version":1}"# => "1 to 1024";
    endpoint_bad_name: Endpoint r#"{"address":"127.0.0.1:1","domain":"A","role":{"service":"s"}}"# => "\"name\"";
    service_without_timeout: Service r#"{"timeout_ms":0}"# => "timeout_ms";
}

#[test]
fn error_does_not_contain_digest() {
    let body = br#"{"priority":"p","token_digests":["secret"]}"#;
    let error = Spec::decode(Kind::Team, body).unwrap_err().to_string();
    assert!(!error.contains("secret"), "{error}");
}

#[test]
fn reference_must_exist_and_blocks_deletion() {
    let priority = Name::try_from("urgent").unwrap();
    let team = Name::try_from("counter").unwrap();
    let team_spec = Spec::decode(Kind::Team, br#"{"priority":"urgent"}"#).unwrap();
    let empty = Snapshot::default();
    assert!(empty.check(&team_spec).is_err());
    let level = Spec::decode(Kind::Priority, br#"{"level":0}"#).unwrap();
    let one = empty.with(1, Kind::Priority, &priority, Some(level));
    assert_eq!(one.check(&team_spec), Ok(()));
    assert_eq!(one.check_delete(Kind::Priority, &priority), Ok(()));
    let two = one.with(2, Kind::Team, &team, Some(team_spec));
    assert!(two.check_delete(Kind::Priority, &priority).is_err());
}

/// Applies random changes to a snapshot and to a plain map; lookups and lists
/// must agree.
#[test]
fn snapshot_agrees_with_a_plain_map() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut snapshot = Snapshot::default();
    let mut reference = BTreeMap::<Name, (u64, Spec)>::new();
    for revision in 1..4_000 {
        let name = Name::try_from(format!("t{}", rng.random_range(0..900))).unwrap();
        let digest = format!("{:064x}", rng.random_range(0..50));
        let body = format!(r#"{{"priority":"p","token_digests":["{digest}"]}}"#);
        let spec = Spec::decode(Kind::Team, body.as_bytes()).unwrap();
        let spec = rng.random_bool(0.7).then_some(spec);
        snapshot = snapshot.with(revision, Kind::Team, &name, spec.clone());
        match spec {
            Some(spec) => reference.insert(name, (revision, spec)),
            None => reference.remove(&name),
        };
        let mut sought = [0; 32];
        sought[31] = rng.random_range(0..50);
        let holds = |spec: &Spec| matches!(spec, Spec::Team(t) if t.token_digests[0] == hex::encode(sought));
        let expected = reference.iter().find(|(_, (_, spec))| holds(spec)).map(|(name, _)| name);
        assert_eq!(snapshot.team_of_token(&sought).map(|(name, _)| name), expected);
    }
    let listed: Vec<_> = snapshot.list(Kind::Team).cloned().collect();
    let expected: Vec<_> = reference
        .into_iter()
        .map(|(name, (revision, spec))| Resource { name, revision, spec })
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn route_is_found_by_model() {
    let name = |text: &str| Name::try_from(text).unwrap();
    let route = |model: &str| {
        let body = format!(r#"{{"model":"{model}","pipeline":"p"}}"#);
        Some(Spec::decode(Kind::Route, body.as_bytes()).unwrap())
    };
    let one = Snapshot::default().with(1, Kind::Route, &name("b"), route("draft"));
    let two = one.with(2, Kind::Route, &name("a"), route("draft"));
    let found = |snapshot: &Snapshot, model| {
        snapshot.route(model).map(|(name, _)| name.as_str().to_owned())
    };
    assert_eq!(found(&two, "draft").as_deref(), Some("a"));
    assert_eq!(
        found(&two.with(3, Kind::Route, &name("a"), route("x")), "draft").as_deref(),
        Some("b")
    );
    assert_eq!(found(&one.with(2, Kind::Route, &name("b"), None), "draft"), None);
    assert_eq!(found(&two, "draf"), None);
}
