//! Tests of the client's output and exit codes against a running system.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};

use mimosastandin::testbed::{OPERATOR_TOKEN, Testbed};
use serde_json::Value;
use slog::{Discard, Logger, o};
use test_case::test_case;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");

/// Runs the client against the first router of `world`.
fn mimosactl(world: &Testbed, args: &[&str], input: &str) -> Output {
    let server = world.routers[0].operators().to_string();
    run(&server, args, input)
}

fn run(server: &str, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mimosactl"))
        .args(["--server", server])
        .args(args)
        .env("MIMOSACTL_TOKEN", OPERATOR_TOKEN)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The client may exit before it reads its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn start_world() -> Testbed {
    Testbed::start(&Logger::root(Discard, o!())).unwrap()
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", text(&output.stdout)))
}

#[test]
fn examples_apply_and_are_in_force() {
    let world = start_world();
    for user in ["board", "aksu"] {
        let folder = format!("{EXAMPLES}/{user}");
        let applied = mimosactl(&world, &["apply", "--file", &folder, "--wait"], "");
        assert_eq!(exit_code(&applied), Some(0), "{}", text(&applied.stderr));
    }
    let teams = json(&mimosactl(&world, &["--output", "json", "list", "team"], ""));
    assert_eq!(teams["items"].as_array().map(Vec::len), Some(7));
    let table = text(&mimosactl(&world, &["list", "route"], "").stdout);
    assert!(table.starts_with("NAME") && table.contains("drafting"), "{table}");
}

#[test]
fn changes_appear_in_get_audit_and_status() {
    let world = start_world();
    let spec = r#"{"kind":"priority","name":"urgent","spec":{"level":3}}"#;
    assert_eq!(exit_code(&mimosactl(&world, &["apply", "-f", "-"], spec)), Some(0));
    let got = json(&mimosactl(&world, &["-o", "json", "get", "priority", "urgent"], ""));
    assert_eq!((&got["spec"]["level"], &got["revision"]), (&3.into(), &1.into()));
    let audit = json(&mimosactl(&world, &["-o", "json", "audit", "--kind", "priority"], ""));
    assert_eq!(audit["items"][0]["name"], "urgent");
    assert_eq!(audit["items"][0]["operator"], "bootstrap");
    let status = json(&mimosactl(&world, &["-o", "json", "status"], ""));
    assert_eq!(status["revision"], 1);
    let table = text(&mimosactl(&world, &["status"], "").stdout);
    assert!(table.lines().any(|line| line.starts_with("revision") && line.ends_with('1')));
    assert!(!table.contains(['{', '[', '"']), "{table}");
}

#[test]
fn dry_run_changes_nothing() {
    let world = start_world();
    let spec = r#"{"kind":"priority","name":"urgent","spec":{"level":3}}"#;
    assert_eq!(exit_code(&mimosactl(&world, &["apply", "-f", "-", "--dry-run"], spec)), Some(0));
    assert_eq!(exit_code(&mimosactl(&world, &["get", "priority", "urgent"], "")), Some(3));
}

#[test]
fn delete_with_old_revision_is_refused() {
    let world = start_world();
    for level in [1, 2] {
        let spec = format!(r#"{{"kind":"priority","name":"urgent","spec":{{"level":{level}}}}}"#);
        assert_eq!(exit_code(&mimosactl(&world, &["apply", "-f", "-"], &spec)), Some(0));
    }
    let old = mimosactl(&world, &["delete", "priority", "urgent", "--revision", "1"], "");
    assert_eq!(exit_code(&old), Some(4), "{}", text(&old.stderr));
    let new = mimosactl(&world, &["delete", "priority", "urgent", "--revision", "2"], "");
    assert_eq!(exit_code(&new), Some(0), "{}", text(&new.stderr));
}

#[test]
fn every_invalid_resource_of_a_file_is_reported() {
    let invalid = r#"[{"kind":"team","name":"a","spec":{"priority":"p","weight":0}},
        {"kind":"nothing","name":"b","spec":{}},
        {"kind":"priority","name":"C","spec":{"level":1}}]"#;
    let output = run("127.0.0.1:1", &["apply", "-f", "-"], invalid);
    assert_eq!(exit_code(&output), Some(2));
    let errors = text(&output.stderr);
    for part in ["item 0", "weight", "item 1", "\"nothing\"", "item 2", "\"C\""] {
        assert!(errors.contains(part), "{part} is missing: {errors}");
    }
}

/// Runs a command against a server that sends `answer` to each call and closes
/// the connection.
fn run_against(answer: &'static str, args: &[&str]) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    run(&server, args, r#"{"kind":"priority","name":"urgent","spec":{"level":3}}"#)
}

#[test_case(&["get", "priority", "urgent"], 1; "of a read is a failure")]
#[test_case(&["watch", "--after", "1"], 1; "of a watch is a failure")]
#[test_case(&["apply", "-f", "-"], 5; "of a change leaves it unknown")]
fn truncated_success(args: &[&str], code: i32) {
    let output = run_against("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"name\":\"ur", args);
    assert_eq!(exit_code(&output), Some(code), "{}", text(&output.stderr));
}

/// An explanation as a router gives it.
const EXPLANATION: &str = r#"{"router":{"revision":7},"refusal":null,"services":[{"name":"model","outcome":"sent","chosen":{"cost":12.5}}]}"#;

/// Explains a request at a server that answers [`EXPLANATION`]; returns what the server read
/// as well.
fn explain(args: &[&str], head: &str) -> (Output, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap().to_string();
    let length = EXPLANATION.len();
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut read = String::new();
        let is_complete = |read: &str| {
            let (head, body) = read.split_once("\r\n\r\n")?;
            let line = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            Some(body.len() >= line.map_or(0, |length| length.parse::<usize>().unwrap()))
        };
        while is_complete(&read) != Some(true) {
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes).unwrap();
            read.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all((head + EXPLANATION).as_bytes()).unwrap();
        read
    });
    (run(&server, args, head), serving.join().unwrap())
}

#[test]
fn request_is_explained_by_its_sizes() {
    let args = ["explain", "--host", "a.example", "--path", "/x/", "--team", "clerks"];
    let sizes = ["--prompt", "100", "--max-output", "8", "--json"];
    let (output, read) = explain(&[&args[..], &sizes[..]].concat(), "");
    assert_eq!(exit_code(&output), Some(0), "{}", text(&output.stderr));
    assert_eq!(json(&output), serde_json::from_str::<Value>(EXPLANATION).unwrap());
    let query = "host=a%2Eexample&path=%2Fx%2F&team=clerks&prompt=100&max_output=8";
    assert!(read.starts_with(&format!("GET /api/v1/explain?{query} ")), "{read}");
}

#[test]
fn request_is_explained_by_its_head() {
    let head = "GET /x/ HTTP/1.1\r\nhost: a.example\r\n\r\n";
    let (output, read) = explain(&["explain", "--head", "-"], head);
    assert_eq!(exit_code(&output), Some(0), "{}", text(&output.stderr));
    assert!(read.starts_with("POST /api/v1/explain? ") && read.ends_with(head), "{read}");
    let table = text(&output.stdout);
    let has_row = |name: &str, value: &str| {
        table.lines().any(|line| line.starts_with(name) && line.ends_with(value))
    };
    assert!(has_row("router.revision", " 7") && has_row("services", ""), "{table}");
    assert!(table.contains("cost=12.5") && !table.contains(['{', '[', '"']), "{table}");
}

/// Declares one test per command line, with its exit code.
macro_rules! exit_codes {
    ($($case:ident: $args:expr => $code:literal;)*) => {$(
        #[test]
        fn $case() {
            let output = run("127.0.0.1:1", &$args, "");
            assert_eq!(exit_code(&output), Some($code), "{}", text(&output.stderr));
        }
    )*};
}

exit_codes! {
    unreachable_router: ["status"] => 1;
    unknown_format: ["--output", "xml", "status"] => 2;
    apply_without_file: ["apply"] => 2;
    missing_file: ["apply", "-f", "/nonexistent.json"] => 2;
    resolve_without_outcome: ["resolve", "key"] => 2;
    explain_without_request: ["explain", "--team", "clerks"] => 2;
    explain_by_model: ["explain", "model-a", "--prompt-tokens", "5"] => 1;
    completions: ["completions"] => 0;
}
