//! Checks of declared resources.

use mimosashift::resource::{Kind, Name, Snapshot, Spec};

/// Names each case of a resource that must be refused, one per line, with the
/// text that its error must contain.
macro_rules! refused {
    ($($case:ident: $kind:ident $body:literal => $message:literal;)*) => {$(
        #[test]
        fn $case() {
            let error = Spec::decode(Kind::$kind, $body.as_bytes()).unwrap_err().to_string();
            assert!(error.contains($message), "{error}");
        }
    )*};
}

refused! {
    route_without_model: Route r#"{"model":"","pipeline":"p"}"# => "\"model\"";
    route_unknown_field: Route r#"{"model":"m","pipeline":"p","x":1}"# => "unknown field `x`";
    team_without_weight: Team r#"{"priority":"p","weight":0}"# => "greater than 0";
    team_bad_digest: Team r#"{"priority":"p","token_digests":["ab"]}"# => "64 lower-case";
    pipeline_without_layers: Pipeline r#"{"layers":0,"version":1}"# => "1 to 1024";
    endpoint_bad_name: Endpoint r#"{"address":"127.0.0.1:1","domain":"A","role":{"service":"s"}}"# => "\"name\"";
    service_without_timeout: Service r#"{"timeout_ms":0}"# => "timeout_ms";
}

#[test]
fn digest_is_not_repeated_in_error() {
    let body = br#"{"priority":"p","token_digests":["secret"]}"#;
    let error = Spec::decode(Kind::Team, body).unwrap_err().to_string();
    assert!(!error.contains("secret"), "{error}");
}

#[test]
fn reference_must_exist_and_is_protected() {
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
