//! Tests of the daemon's command line.

use std::process::{Command, Output};

const REQUIRED_FLAGS: [&str; 8] = [
    "--node",
    "r1",
    "--domain",
    "a",
    "--region",
    "lk-west",
    "--platform-url",
    "http://127.0.0.1:7400",
];

fn run(args: &[&str], env: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mimosashiftd"))
        .env_clear()
        .envs(env.iter().copied())
        .args(args)
        .output()
        .unwrap()
}

/// Declares one test per command line, with its exit code and part of its output.
macro_rules! prints {
    ($($case:ident: $args:expr, $env:expr => $code:literal $part:literal;)*) => {$(
        #[test]
        fn $case() {
            let output = run(&$args, &$env);
            let printed = [output.stdout, output.stderr].concat();
            let printed = String::from_utf8_lossy(&printed);
            assert_eq!(output.status.code(), Some($code), "{printed}");
            assert!(printed.contains($part), "{printed}");
        }
    )*};
}

prints! {
    help: ["--help"], [] => 0 "MIMOSASHIFT_PEER_KEYS";
    required_settings_missing: [""; 0], [] => 2 "--node (MIMOSASHIFT_NODE) is not set";
    unknown_flag: ["--nod", "x"], [] => 2 "--nod";
    flag_without_value: ["--node"], [] => 2 "--node";
    duplicate_flag: ["--node", "a", "--node", "b"], [] => 2 "--node";
    invalid_variable: [""; 0], [("MIMOSASHIFT_LISTEN", "here")] => 2 "--listen (MIMOSASHIFT_LISTEN) is \"here\"";
}

#[test]
fn check_accepts_valid_settings_and_reports_every_invalid_one() {
    let valid = [&["--check"], &REQUIRED_FLAGS[..]].concat();
    assert_eq!(run(&valid, &[]).status.code(), Some(0));
    let invalid = [&valid[..], &["--log-form", "xml", "--drain-ms", "0"]].concat();
    let output = run(&invalid, &[]);
    let printed = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(printed.contains("--log-form") && printed.contains("--drain-ms"), "{printed}");
}

#[test]
fn invalid_secret_is_not_printed() {
    let args = [&["--check", "--peer-keys", "1:topsecret"], &REQUIRED_FLAGS[..]].concat();
    let output = run(&args, &[]);
    let printed = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(printed.contains("--peer-keys") && !printed.contains("topsecret"), "{printed}");
}
