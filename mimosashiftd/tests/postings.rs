//! Tests of postings while the platform, the service and router processes fail.
//!
//! Run with `--nocapture` to print the counts of each scenario.

use std::thread;
use std::time::{Duration, Instant};

use common::{Cluster, Counts, History, Load, Reply, classify, post_without_claims};
use hyper::Method;
use mimosashift::http::client::Response;
use mimosashift::platform::{Check, Key, Outcome, Table, Transaction, Write};
use mimosashift::posting::{Entry, TABLE, resolve};
use mimosastandin::{platform, service};
use serde_json::{Value, json};

mod common;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Longer than the time within which a router may send a claimed posting.
const PAUSE_TIME: Duration = Duration::from_secs(6);

/// Longer than a shutdown with no requests in flight.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// Approximate duration of one call to the slow service.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Time limit for each awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn same_key_on_two_routers_runs_once_and_replays() {
    let cluster = Cluster::start(2);
    assert_eq!(post(&cluster, 0, "k1", "a"), Reply::Success);
    wait_for_replay(&cluster, 1, Reply::Unknown);
    assert_eq!(cluster.service.runs()["a"], 1);
}

#[test]
fn same_key_with_another_body_is_a_mismatch() {
    let cluster = Cluster::start(2);
    assert_eq!(post(&cluster, 0, "k1", "a"), Reply::Success);
    assert_eq!(post(&cluster, 1, "k1", "b"), Reply::Mismatch);
    assert!(!cluster.service.runs().contains_key("b"));
}

#[test]
fn drain_waits_for_open_claims() {
    let mut cluster = Cluster::start(2);
    cluster.service.set_fault(service::Fault::Slow(300));
    thread::scope(|scope| {
        let posted = scope.spawn(|| post(&cluster, 0, "k1", "a"));
        wait_for(|| claim(&cluster, "k1").is_some());
        cluster.platform.set_fault(platform::Fault::Down);
        assert_eq!(posted.join().unwrap(), Reply::Success);
    });
    cluster.routers[0].signal("TERM");
    // A router that did not wait for its claim would have exited by now.
    thread::sleep(DRAIN_TIME);
    cluster.platform.set_fault(platform::Fault::None);
    assert_eq!(cluster.routers[0].exit_code(), Some(0));
    wait_for_replay(&cluster, 1, Reply::NotRun);
}

#[test]
fn table_outage_refuses_keyed_and_runs_unkeyed_postings() {
    let cluster = Cluster::start(2);
    cluster.platform.set_fault(platform::Fault::Down);
    let load = Load { callers: 8, postings: 4, max_attempts: 1, timeout: TIMEOUT };
    let refused = cluster.load(load, || {});
    for history in &refused {
        assert_eq!(history.replies, [Reply::NotRun]);
    }
    let answer = cluster.post(0, Some("k1"), "keyed", TIMEOUT).unwrap();
    assert_eq!(problem(&answer)["code"], "platform-unavailable");
    assert_eq!((answer.status.as_u16(), answer.header("retry-after")), (503, Some("1")));
    assert_eq!(cluster.run_count(), 0);
    let unkeyed = cluster.post(0, None, "unkeyed", TIMEOUT);
    assert_eq!(classify(&unkeyed), Reply::Success);
    assert_eq!(cluster.service.runs()["unkeyed"], 1);
    report("table down", &cluster, &refused).assert_consistent();

    cluster.platform.set_fault(platform::Fault::None);
    let load = Load { max_attempts: 400, ..load };
    let served = cluster.load(load, || {});
    let counts = report("table back", &cluster, &served);
    counts.assert_consistent();
    assert_eq!(counts.run, counts.posted);
}

#[test]
fn lost_table_answers_cause_no_duplicate_runs() {
    let cluster = Cluster::start(2);
    let load = Load { callers: 8, postings: 10, max_attempts: 400, timeout: TIMEOUT };
    let histories = cluster.load(load, || {
        for _ in 0..6 {
            cluster.platform.set_fault(platform::Fault::LoseAnswers);
            thread::sleep(Duration::from_millis(200));
            cluster.platform.set_fault(platform::Fault::None);
            thread::sleep(Duration::from_millis(200));
        }
    });
    let counts = report("table loses answers", &cluster, &histories);
    counts.assert_consistent();
    assert_eq!(counts.run, counts.posted);
}

#[test]
fn posting_is_not_repeated_after_a_lost_service_answer() {
    let cluster = Cluster::start(2);
    cluster.service.set_fault(service::Fault::LoseAnswers);
    let load = Load { callers: 4, postings: 5, max_attempts: 4, timeout: TIMEOUT };
    let histories = cluster.load(load, || {});
    let counts = report("service loses answers", &cluster, &histories);
    counts.assert_consistent();
    assert_eq!((counts.run, counts.unknown), (counts.posted, counts.posted));
    let baseline = post_without_claims(&cluster.service, load, || {});
    let duplicated = report("service loses answers, naive", &cluster, &baseline).duplicated;
    assert!(duplicated > 0, "the fault causes no duplicate run even without claims");
}

#[test]
fn idempotent_call_that_ends_each_endpoint_reaches_few_of_them() {
    let cluster = Cluster::start(1);
    let spec = r#"{"idempotent":["PUT"]}"#;
    let path = "/api/v1/service/register";
    cluster.call_operator_api(&cluster.routers[0], Method::PUT, path, spec);
    cluster.service.set_fault(service::Fault::LoseAnswers);
    let others: Vec<_> = (2..=8).map(|n| cluster.add_endpoint(n)).collect();
    others.iter().for_each(|other| other.set_fault(service::Fault::LoseAnswers));
    let answer = cluster.put("a", TIMEOUT).unwrap();
    assert_eq!(problem(&answer)["code"], "answer-lost");
    let runs = |instance: &service::Instance| instance.runs().values().sum::<u64>();
    let total = runs(&cluster.service) + others.iter().map(runs).sum::<u64>();
    assert_eq!(total, 3);
}

#[test]
fn idempotent_call_that_may_have_run_is_not_reported_as_not_run() {
    let cluster = Cluster::start(1);
    let spec = r#"{"idempotent":["PUT"]}"#;
    let path = "/api/v1/service/register";
    cluster.call_operator_api(&cluster.routers[0], Method::PUT, path, spec);
    cluster.service.set_fault(service::Fault::LoseAnswers);
    let answer = cluster.put("a", TIMEOUT).unwrap();
    assert_eq!(cluster.service.runs()["a"], 1);
    assert_eq!(problem(&answer)["effect"], "failed");
}

#[test]
fn operator_resolves_an_unknown_posting() {
    let cluster = Cluster::start(2);
    let path = "/api/v1/postings/resolve";
    cluster.service.set_fault(service::Fault::LoseAnswers);
    assert_eq!(post(&cluster, 0, "ran", "a"), Reply::Unknown);
    cluster.service.set_fault(service::Fault::Dead);
    assert_eq!(post(&cluster, 0, "not-run", "b"), Reply::Unknown);
    cluster.service.set_fault(service::Fault::None);
    assert_eq!(post(&cluster, 1, "ran", "a"), Reply::Unknown);
    assert_eq!(post(&cluster, 1, "not-run", "b"), Reply::Unknown);
    let finding = |key: &str, ran: bool| json!({"key": row_key(key), "ran": ran}).to_string();
    let router = &cluster.routers[0];
    let too_early = cluster.call_operator_api(router, Method::POST, path, &finding("ran", true));
    assert_eq!(
        (too_early.status.as_u16(), &problem(&too_early)["effect"]),
        (409, &"not-run".into())
    );
    assert!(unknown_postings(&cluster).is_empty());

    backdate_claim(&cluster, "ran");
    backdate_claim(&cluster, "not-run");
    assert_eq!(unknown_postings(&cluster), [row_key("not-run"), row_key("ran")]);
    for (key, ran) in [("ran", true), ("not-run", false)] {
        let answer = cluster.call_operator_api(router, Method::POST, path, &finding(key, ran));
        assert_eq!(answer.status.as_u16(), 200, "{}", problem(&answer));
    }
    assert!(unknown_postings(&cluster).is_empty());
    let audit = cluster.platform.scan("posting-audit", "", "", 10);
    assert!(matches!(audit, Outcome::Done(page) if page.rows.len() == 2));
    let answer = cluster.post(1, Some("ran"), "a", TIMEOUT).unwrap();
    assert_eq!(problem(&answer)["code"], "posting-ran");
    assert_eq!(post(&cluster, 1, "not-run", "b"), Reply::Success);
    let runs = cluster.service.runs();
    assert_eq!((runs["a"], runs["b"]), (1, 1));
}

#[test]
fn killed_router_causes_no_duplicate_or_lost_postings() {
    let cluster = Cluster::start(3);
    cluster.service.set_fault(service::Fault::Slow(20));
    let load = Load { callers: 9, postings: 20, max_attempts: 6, timeout: TIMEOUT };
    let histories = cluster.load(load, || {
        wait_for(|| cluster.run_count() >= 60);
        cluster.routers[0].signal("KILL");
    });
    report("router killed", &cluster, &histories).assert_consistent();
    let served = cluster.run_count();
    assert!(served >= 150, "only {served} postings ran, with two of three routers left");
    let baseline = post_without_claims(&cluster.service, load, || {
        wait_for(|| cluster.run_count() >= served + 60);
        cluster.service.set_fault(service::Fault::LoseAnswers);
        thread::sleep(CALL_TIME);
        cluster.service.set_fault(service::Fault::Slow(20));
    });
    report("calls in flight lost, naive", &cluster, &baseline);
}

#[test]
fn resumed_router_causes_no_duplicate_postings() {
    let cluster = Cluster::start(2);
    cluster.service.set_fault(service::Fault::Slow(10));
    let load = Load { callers: 8, postings: 40, max_attempts: 30, timeout: Duration::from_secs(2) };
    let histories = cluster.load(load, || {
        for _ in 0..2 {
            let before = cluster.run_count();
            wait_for(|| cluster.run_count() >= before + 30);
            cluster.routers[0].signal("STOP");
            thread::sleep(PAUSE_TIME);
            cluster.routers[0].signal("CONT");
        }
    });
    report("router paused", &cluster, &histories).assert_consistent();
    let served = cluster.run_count();
    let baseline = post_without_claims(&cluster.service, load, || {
        wait_for(|| cluster.run_count() >= served + 30);
        cluster.service.set_fault(service::Fault::Slow(PAUSE_TIME.as_millis() as u64));
        thread::sleep(PAUSE_TIME);
        cluster.service.set_fault(service::Fault::Slow(10));
    });
    // Calls that timed out still run at the service.
    thread::sleep(PAUSE_TIME);
    report("calls paused, naive", &cluster, &baseline);
}

fn post(cluster: &Cluster, router: usize, key: &str, body: &str) -> Reply {
    classify(&cluster.post(router, Some(key), body, TIMEOUT))
}

/// Repeats the posting until the recorded response is replayed; every earlier
/// attempt must get `expected`.
fn wait_for_replay(cluster: &Cluster, router: usize, expected: Reply) {
    wait_for(|| match post(cluster, router, "k1", "a") {
        Reply::Replayed => true,
        reply => {
            assert_eq!(reply, expected);
            false
        }
    });
}

fn report(scenario: &str, cluster: &Cluster, histories: &[History]) -> Counts {
    let counts = Counts::new(histories, &cluster.service.runs());
    println!("{scenario}: {counts:?}");
    counts
}

fn wait_for(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for the condition");
        thread::sleep(Duration::from_millis(5));
    }
}

fn problem(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn unknown_postings(cluster: &Cluster) -> Vec<String> {
    let path = "/api/v1/postings?state=unknown";
    let answer = cluster.call_operator_api(&cluster.routers[1], Method::GET, path, "");
    let items = problem(&answer)["items"].as_array().unwrap().clone();
    items.iter().map(|item| item["key"].as_str().unwrap().to_owned()).collect()
}

fn row_key(key: &str) -> String {
    format!("officers/register/{key}")
}

fn claim(cluster: &Cluster, key: &str) -> Option<(u64, Entry)> {
    let key = Key { table: TABLE.to_owned(), key: row_key(key) };
    let Outcome::Done(Some(row)) = cluster.platform.read(&key) else { return None };
    Some((row.revision, Entry::try_from(&row).unwrap()))
}

/// Backdates a claim so that it is old enough to be resolved.
fn backdate_claim(cluster: &Cluster, key: &str) {
    let (revision, mut entry) = claim(cluster, key).unwrap();
    entry.unix_ms -= resolve::MIN_RESOLVE_AGE.as_millis() as u64;
    let key = Key { table: TABLE.to_owned(), key: row_key(key) };
    let transaction = Transaction {
        checks: vec![Check::Revision(key.clone(), revision)],
        writes: vec![Write::Put(key, entry.encode())],
    };
    assert!(matches!(cluster.platform.commit(&transaction), Outcome::Done(_)));
}
