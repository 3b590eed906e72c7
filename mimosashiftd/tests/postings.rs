//! Postings through router processes while the platform, the service and the
//! routers fail.
//!
//! Run with `--nocapture` to see what became of the postings.

use std::thread;
use std::time::{Duration, Instant};

use common::{Cluster, Counts, History, Load, Said, naive, told};
use hyper::Method;
use mimosashift::http::client::Response;
use mimosashift::platform::{Check, Key, Outcome, Table, Transaction, Write};
use mimosashift::posting::{Entry, TABLE, resolve};
use mimosastandin::{platform, service};
use serde_json::{Value, json};

mod common;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Longer than the time in which a router may send a claimed call.
const PAUSE: Duration = Duration::from_secs(6);

/// Longer than a shutdown with nothing in flight.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// About the time of one call at the slow service.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Bounds every wait for something that must come.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

#[test]
fn same_key_at_two_routers_runs_once_and_replays() {
    let cluster = Cluster::start(2);
    assert_eq!(post(&cluster, 0, "k1", "a"), Said::Success);
    replays(&cluster, 1, Said::Unknown);
    assert_eq!(cluster.service.runs()["a"], 1);
}

#[test]
fn same_key_with_another_body_is_a_mismatch() {
    let cluster = Cluster::start(2);
    assert_eq!(post(&cluster, 0, "k1", "a"), Said::Success);
    assert_eq!(post(&cluster, 1, "k1", "b"), Said::Mismatch);
    assert!(!cluster.service.runs().contains_key("b"));
}

#[test]
fn drain_waits_until_claims_are_settled() {
    let mut cluster = Cluster::start(2);
    cluster.service.set_fault(service::Fault::Slow(300));
    thread::scope(|scope| {
        let posted = scope.spawn(|| post(&cluster, 0, "k1", "a"));
        wait_for(|| claim(&cluster, "k1").is_some());
        cluster.platform.set_fault(platform::Fault::Down);
        assert_eq!(posted.join().unwrap(), Said::Success);
    });
    cluster.routers[0].signal("TERM");
    // The router would have stopped by then if it did not wait for its claim.
    thread::sleep(DRAIN_TIME);
    cluster.platform.set_fault(platform::Fault::None);
    assert_eq!(cluster.routers[0].exit_code(), Some(0));
    replays(&cluster, 1, Said::NotRun);
}

#[test]
fn table_down_refuses_keyed_and_runs_unkeyed() {
    let cluster = Cluster::start(2);
    cluster.platform.set_fault(platform::Fault::Down);
    let load = Load { callers: 8, postings: 4, tries: 1, timeout: TIMEOUT };
    let refused = cluster.load(load, || {});
    for history in &refused {
        assert_eq!(history.said, [Said::NotRun]);
    }
    let answer = cluster.post(0, Some("k1"), "keyed", TIMEOUT).unwrap();
    assert_eq!(problem(&answer)["code"], "platform-unavailable");
    assert_eq!((answer.status.as_u16(), answer.header("retry-after")), (503, Some("1")));
    assert_eq!(cluster.run_count(), 0);
    let unkeyed = cluster.post(0, None, "unkeyed", TIMEOUT);
    assert_eq!(told(&unkeyed), Said::Success);
    assert_eq!(cluster.service.runs()["unkeyed"], 1);
    report("table down", &cluster, &refused).assert_true();

    cluster.platform.set_fault(platform::Fault::None);
    let load = Load { tries: 400, ..load };
    let served = cluster.load(load, || {});
    let counts = report("table back", &cluster, &served);
    counts.assert_true();
    assert_eq!(counts.run, counts.posted);
}

#[test]
fn table_that_loses_answers_doubles_nothing() {
    let cluster = Cluster::start(2);
    let load = Load { callers: 8, postings: 10, tries: 400, timeout: TIMEOUT };
    let histories = cluster.load(load, || {
        for _ in 0..6 {
            cluster.platform.set_fault(platform::Fault::LoseAnswers);
            thread::sleep(Duration::from_millis(200));
            cluster.platform.set_fault(platform::Fault::None);
            thread::sleep(Duration::from_millis(200));
        }
    });
    let counts = report("table loses answers", &cluster, &histories);
    counts.assert_true();
    assert_eq!(counts.run, counts.posted);
}

#[test]
fn service_that_loses_answers_is_never_sent_again() {
    let cluster = Cluster::start(2);
    cluster.service.set_fault(service::Fault::LoseAnswers);
    let load = Load { callers: 4, postings: 5, tries: 4, timeout: TIMEOUT };
    let histories = cluster.load(load, || {});
    let counts = report("service loses answers", &cluster, &histories);
    counts.assert_true();
    assert_eq!((counts.run, counts.unknown), (counts.posted, counts.posted));
    let baseline = naive(&cluster.service, load, || {});
    let doubled = report("service loses answers, naive", &cluster, &baseline).doubled;
    assert!(doubled > 0, "the fault doubles nothing without claims");
}

#[test]
fn operator_resolves_an_unknown_posting() {
    let cluster = Cluster::start(2);
    let path = "/api/v1/postings/resolve";
    cluster.service.set_fault(service::Fault::LoseAnswers);
    assert_eq!(post(&cluster, 0, "ran", "a"), Said::Unknown);
    cluster.service.set_fault(service::Fault::Dead);
    assert_eq!(post(&cluster, 0, "not-run", "b"), Said::Unknown);
    cluster.service.set_fault(service::Fault::None);
    assert_eq!(post(&cluster, 1, "ran", "a"), Said::Unknown);
    assert_eq!(post(&cluster, 1, "not-run", "b"), Said::Unknown);
    let finding = |key: &str, ran: bool| json!({"key": row_key(key), "ran": ran}).to_string();
    let router = &cluster.routers[0];
    let young = cluster.operate(router, Method::POST, path, &finding("ran", true));
    assert_eq!((young.status.as_u16(), &problem(&young)["effect"]), (409, &"not-run".into()));
    assert!(listed(&cluster).is_empty());

    age(&cluster, "ran");
    age(&cluster, "not-run");
    assert_eq!(listed(&cluster), [row_key("not-run"), row_key("ran")]);
    for (key, ran) in [("ran", true), ("not-run", false)] {
        let answer = cluster.operate(router, Method::POST, path, &finding(key, ran));
        assert_eq!(answer.status.as_u16(), 200, "{}", problem(&answer));
    }
    assert!(listed(&cluster).is_empty());
    let audit = cluster.platform.scan("posting-audit", "", "", 10);
    assert!(matches!(audit, Outcome::Done(page) if page.rows.len() == 2));
    let answer = cluster.post(1, Some("ran"), "a", TIMEOUT).unwrap();
    assert_eq!(problem(&answer)["code"], "posting-ran");
    assert_eq!(post(&cluster, 1, "not-run", "b"), Said::Success);
    let runs = cluster.service.runs();
    assert_eq!((runs["a"], runs["b"]), (1, 1));
}

#[test]
fn killed_router_doubles_and_loses_nothing() {
    let cluster = Cluster::start(3);
    cluster.service.set_fault(service::Fault::Slow(20));
    let load = Load { callers: 9, postings: 20, tries: 6, timeout: TIMEOUT };
    let histories = cluster.load(load, || {
        wait_for(|| cluster.run_count() >= 60);
        cluster.routers[0].signal("KILL");
    });
    report("router killed", &cluster, &histories).assert_true();
    let served = cluster.run_count();
    assert!(served >= 150, "only {served} ran with two of three routers left");
    let baseline = naive(&cluster.service, load, || {
        wait_for(|| cluster.run_count() >= served + 60);
        cluster.service.set_fault(service::Fault::LoseAnswers);
        thread::sleep(CALL_TIME);
        cluster.service.set_fault(service::Fault::Slow(20));
    });
    report("calls in flight lost, naive", &cluster, &baseline);
}

#[test]
fn paused_router_doubles_nothing_when_it_goes_on() {
    let cluster = Cluster::start(2);
    cluster.service.set_fault(service::Fault::Slow(10));
    let load = Load { callers: 8, postings: 40, tries: 30, timeout: Duration::from_secs(2) };
    let histories = cluster.load(load, || {
        for _ in 0..2 {
            let before = cluster.run_count();
            wait_for(|| cluster.run_count() >= before + 30);
            cluster.routers[0].signal("STOP");
            thread::sleep(PAUSE);
            cluster.routers[0].signal("CONT");
        }
    });
    report("router paused", &cluster, &histories).assert_true();
    let served = cluster.run_count();
    let baseline = naive(&cluster.service, load, || {
        wait_for(|| cluster.run_count() >= served + 30);
        cluster.service.set_fault(service::Fault::Slow(PAUSE.as_millis() as u64));
        thread::sleep(PAUSE);
        cluster.service.set_fault(service::Fault::Slow(10));
    });
    // Calls that were given up still run.
    thread::sleep(PAUSE);
    report("calls paused, naive", &cluster, &baseline);
}

fn post(cluster: &Cluster, router: usize, key: &str, body: &str) -> Said {
    told(&cluster.post(router, Some(key), body, TIMEOUT))
}

/// Posts again until the recorded answer comes; `meanwhile` is told before.
fn replays(cluster: &Cluster, router: usize, meanwhile: Said) {
    wait_for(|| match post(cluster, router, "k1", "a") {
        Said::Replayed => true,
        said => {
            assert_eq!(said, meanwhile);
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
        assert!(start.elapsed() < WAIT_LIMIT, "it did not come about");
        thread::sleep(Duration::from_millis(5));
    }
}

fn problem(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn listed(cluster: &Cluster) -> Vec<String> {
    let path = "/api/v1/postings?state=unknown";
    let answer = cluster.operate(&cluster.routers[1], Method::GET, path, "");
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

/// Makes a claim old enough to be resolved.
fn age(cluster: &Cluster, key: &str) {
    let (revision, mut entry) = claim(cluster, key).unwrap();
    entry.unix_ms -= resolve::MIN_RESOLVE_AGE.as_millis() as u64;
    let key = Key { table: TABLE.to_owned(), key: row_key(key) };
    let transaction = Transaction {
        checks: vec![Check::Revision(key.clone(), revision)],
        writes: vec![Write::Put(key, entry.encode())],
    };
    assert!(matches!(cluster.platform.commit(&transaction), Outcome::Done(_)));
}
