//! The daemon's command line.

use std::process::{Command, Output};

const REQUIRED: [&str; 8] = [
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

/// Names each command line with its exit code and a part of what it says.
macro_rules! says {
    ($($case:ident: $args:expr, $env:expr => $code:literal $part:literal;)*) => {$(
        #[test]
        fn $case() {
            let output = run(&$args, &$env);
            let said = [output.stdout, output.stderr].concat();
            let said = String::from_utf8_lossy(&said);
            assert_eq!(output.status.code(), Some($code), "{said}");
            assert!(said.contains($part), "{said}");
        }
    )*};
}

says! {
    help: ["--help"], [] => 0 "MIMOSASHIFT_PEER_KEYS";
    nothing_set: [""; 0], [] => 2 "--node (MIMOSASHIFT_NODE) is not set";
    unknown_flag: ["--nod", "x"], [] => 2 "--nod";
    flag_without_value: ["--node"], [] => 2 "--node";
    flag_twice: ["--node", "a", "--node", "b"], [] => 2 "--node";
    bad_variable: [""; 0], [("MIMOSASHIFT_LISTEN", "here")] => 2 "--listen (MIMOSASHIFT_LISTEN) is \"here\"";
}

#[test]
fn check_accepts_good_settings_and_names_every_bad_one() {
    let good = [&["--check"], &REQUIRED[..]].concat();
    assert_eq!(run(&good, &[]).status.code(), Some(0));
    let bad = [&good[..], &["--log-form", "xml", "--drain-ms", "0"]].concat();
    let output = run(&bad, &[]);
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(said.contains("--log-form") && said.contains("--drain-ms"), "{said}");
}

#[test]
fn wrong_secret_is_not_repeated() {
    let args = [&["--check", "--peer-keys", "1:topsecret"], &REQUIRED[..]].concat();
    let output = run(&args, &[]);
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(said.contains("--peer-keys") && !said.contains("topsecret"), "{said}");
}
