//! Tests of the daemon's settings.

use std::time::Duration;

use mimosashift::settings::{Format, Raw, SETTINGS, Setting, Settings};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn minimal_settings() -> Raw {
    let mut raw = Raw::default();
    for (flag, value) in [
        ("node", "r1"),
        ("domain", "a"),
        ("region", "lk-west"),
        ("platform-url", "http://127.0.0.1:9000/"),
    ] {
        raw.set(flag, value.to_owned()).unwrap();
    }
    raw
}

fn error_for(flag: &str, value: &str) -> String {
    let mut raw = minimal_settings();
    raw.set(flag, value.to_owned()).unwrap();
    Settings::try_from(raw).unwrap_err().to_string()
}

/// Declares one test per setting value that must be rejected.
macro_rules! rejected {
    ($($case:ident: $flag:literal $value:literal;)*) => {$(
        #[test]
        fn $case() {
            let error = error_for($flag, $value);
            let setting = Setting::find($flag).unwrap();
            assert_eq!(error.lines().count(), 1, "{error}");
            assert!(error.contains(concat!("--", $flag, " (")), "{error}");
            assert!(error.contains(&setting.env()) && error.contains(setting.rule), "{error}");
            let shown = error.contains(concat!(" is \"", $value, "\", "));
            assert_eq!(shown, !setting.secret, "{error}");
            assert!(!setting.secret || !error.contains($value), "{error}");
        }
    )*};
}

rejected! {
    node_empty: "node" "";
    node_upper_case: "node" "R1";
    domain_with_space: "domain" "a b";
    region_with_slash: "region" "a/b";
    listen_without_port: "listen" "127.0.0.1";
    listen_with_host_name: "listen" "localhost:80";
    listen_port_zero: "listen" "127.0.0.1:0";
    operator_listen_port_too_large: "operator-listen" "127.0.0.1:65536";
    peer_address_unspecified: "peer-address" "0.0.0.0:8082";
    peers_with_empty_entry: "peers" "127.0.0.1:1,,127.0.0.1:2";
    peers_not_addresses: "peers" "a,b";
    peer_keys_without_id: "peer-keys" "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    peer_keys_short: "peer-keys" "1:0011";
    peer_keys_id_too_large: "peer-keys" "256:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    peer_keys_not_hex: "peer-keys" "1:zz112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    latency_negative: "cross-domain-latency-us" "-1";
    latency_too_long: "cross-domain-latency-us" "1000001";
    platform_without_scheme: "platform-url" "127.0.0.1:9000";
    platform_without_host: "platform-url" "http://";
    platform_other_scheme: "platform-url" "ftp://127.0.0.1";
    digest_short: "bootstrap-token-digest" "0011";
    log_form_unknown: "log-form" "xml";
    log_level_unknown: "log-level" "loud";
    drain_zero: "drain-ms" "0";
    drain_with_unit: "drain-ms" "5s";
    drain_too_long: "drain-ms" "3600001";
    concurrent_zero: "max-concurrent" "0";
    body_zero: "max-body-bytes" "0";
    body_too_large: "max-body-bytes" "1073741825";
    queue_smaller_than_body: "queue-bytes" "1048575";
}

#[test]
fn duplicate_peer_key_ids_are_rejected() {
    let error = error_for("peer-keys", &format!("1:{KEY},1:{KEY}"));
    assert!(error.contains("--peer-keys") && !error.contains(KEY), "{error}");
}

#[test]
fn peers_without_key_are_rejected() {
    let error = error_for("peers", "127.0.0.1:8083");
    assert!(error.contains("at least one with --peers"), "{error}");
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let mut raw = Raw::default();
    raw.set("log-form", "xml".to_owned()).unwrap();
    let error = Settings::try_from(raw).unwrap_err().to_string();
    let flags = ["--node ", "--domain ", "--region ", "--platform-url ", "--log-form "];
    assert_eq!(error.lines().count(), flags.len(), "{error}");
    assert!(flags.iter().all(|flag| error.contains(flag)), "{error}");
}

#[test]
fn defaults_apply() {
    let settings = Settings::try_from(minimal_settings()).unwrap();
    assert_eq!(settings.platform.url, "http://127.0.0.1:9000");
    assert_eq!(settings.log.format, Format::Terminal);
    assert_eq!(settings.node.drain, Duration::from_secs(120));
    assert_eq!(settings.caller.max_concurrent, 4_096);
    assert!(settings.peer.peers.is_empty() && settings.operator.bootstrap_digest.is_none());
}

#[test]
fn flag_takes_precedence_over_variable() {
    let env = |name: &str| match name {
        "MIMOSASHIFT_NODE" => Some("from-env".to_owned()),
        "MIMOSASHIFT_DRAIN_MS" => Some("7".to_owned()),
        _ => None,
    };
    let settings = Settings::try_from(minimal_settings().fill_from_env(env)).unwrap();
    assert_eq!(settings.node.name.as_str(), "r1");
    assert_eq!(settings.node.drain, Duration::from_millis(7));
}

#[test]
fn peers_and_keys_keep_their_order() {
    let mut raw = minimal_settings();
    raw.set("peers", "127.0.0.1:1, [::1]:2".to_owned()).unwrap();
    raw.set("peer-keys", format!("9:{KEY},4:{KEY}")).unwrap();
    let peer = Settings::try_from(raw).unwrap().peer;
    assert_eq!(peer.peers.len(), 2);
    assert_eq!(peer.keys.iter().map(|key| key.id).collect::<Vec<_>>(), [9, 4]);
    assert!(!format!("{peer:?}").contains("secret:"));
}

#[test]
fn unknown_flag_returns_the_value() {
    assert_eq!(Raw::default().set("nodes", "x".to_owned()), Err("x".to_owned()));
}

#[test]
fn help_and_docs_contain_every_setting() {
    let docs = include_str!("../../docs/SETTINGS.md");
    assert!(docs.contains(&Setting::markdown()), "expected table:\n{}", Setting::markdown());
    let help = Setting::help_text();
    assert!(SETTINGS.iter().all(|s| help.contains(&s.env()) && help.contains(s.help)), "{help}");
}
