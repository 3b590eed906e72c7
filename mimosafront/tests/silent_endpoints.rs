//! Tests of endpoints, and of routers that relay to them, whose processes stop for a while
//! and go on where they were. Their connections stay open all the while.

mod cluster;

use std::time::Duration;

use nix::sys::signal::Signal;

use cluster::client::{TestRequest, TestResponse};
use cluster::engine::Hop;
use cluster::load::{Results, send_requests, send_requests_to};
use cluster::proxy::LinkState;
use cluster::{ClusterOptions, KEY, LAYERS, OTHER_KEY, TEAM, TestCluster};

/// Time between two requests, and for which they are sent before the silence.
const INTERVAL: Duration = Duration::from_millis(40);
const LEAD_TIME: Duration = Duration::from_millis(600);

/// Silences of a sound endpoint.
const SHORT_SILENCE: Duration = Duration::from_millis(800);
const SILENCE: Duration = Duration::from_millis(1_700);
const LONG_SILENCE: Duration = Duration::from_millis(2_300);

/// Time within which a router that is cut off relays its requests.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time by which all requests have ended.
const END_TIME: Duration = Duration::from_secs(9);

/// Events of a stream that outlasts `LEAD_TIME`.
const EVENTS: u64 = 60;

/// One chain in the only zone.
fn one_chain() -> ClusterOptions {
    ClusterOptions { routers: 1, zones: 1, engines_per_zone: 2, ..ClusterOptions::default() }
}

fn two_zones() -> ClusterOptions {
    ClusterOptions { routers: 1, ..ClusterOptions::default() }
}

/// Stops the endpoints that `selects` names for a time.
fn stop(cluster: &TestCluster, silence: Duration, selects: impl Fn(&str) -> bool) {
    let members = || cluster.endpoints.members.iter().filter(|member| selects(&member.id));
    assert!(members().count() > 0);
    members().for_each(|member| member.proxy.set(LinkState::Stopped));
    std::thread::sleep(silence);
    members().for_each(|member| member.proxy.set(LinkState::Up));
}

fn is_served(response: Option<&TestResponse>) -> bool {
    response.is_some_and(|response| response.status == 200 && response.complete)
}

/// Checks that every request was answered in full, or refused without having run.
fn assert_none_lost(cluster: &TestCluster, results: &Results) {
    let results = results.lock().unwrap();
    let (mut lost, mut refused) = (0, 0);
    for (_, request, response) in results.iter() {
        let error = response.as_ref().and_then(|response| response.protocol_error(request));
        assert_eq!(error, None);
        let runs = cluster.endpoints.trace(&request.id).runs;
        let is_idempotent = ["/draft/", "/read/"].iter().any(|at| request.path.starts_with(at));
        assert!(runs <= 1 || is_idempotent, "{} ran {runs} times", request.id);
        let is_refused = response.as_ref().is_some_and(|response| response.status == 503);
        assert!(!is_refused || runs == 0, "{} was refused and ran", request.id);
        refused += usize::from(is_refused);
        if !is_refused && !is_served(response.as_ref()) {
            lost += 1;
            let got = response.as_ref().map(|r| (r.status, r.complete, r.events().len()));
            println!("lost: {} {}, got {got:?}", request.id, request.path);
            let logs = cluster.routers.iter().flat_map(|router| router.log_lines(&request.id));
            logs.for_each(|line| println!("    {line}"));
        }
    }
    println!("{lost} of {} lost, {refused} refused", results.len());
    assert!(results.len() > 20, "{} requests", results.len());
    assert_eq!(lost, 0, "lost, of {}", results.len());
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
}

/// Sends requests before and during a silence of the endpoints that `selects` names.
fn assert_silence_loses_none(
    options: ClusterOptions,
    silence: Duration,
    request: impl Fn(usize) -> TestRequest + Send + 'static,
    selects: impl Fn(&str) -> bool,
) {
    let cluster = TestCluster::start(options);
    let results = send_requests(&cluster, INTERVAL, LEAD_TIME + silence, request);
    std::thread::sleep(LEAD_TIME);
    stop(&cluster, silence, selects);
    std::thread::sleep(END_TIME);
    assert_none_lost(&cluster, &results);
}

fn is_engine(id: &str) -> bool {
    id.starts_with("engine")
}

#[test]
fn streams_that_may_not_be_resumed_outlast_silence_of_all_engines() {
    let request = |_| TestRequest::note(EVENTS);
    assert_silence_loses_none(two_zones(), SILENCE, request, is_engine);
}

#[test]
fn streams_that_may_not_be_resumed_outlast_silence_of_one_zone() {
    let request = |_| TestRequest::note(EVENTS);
    assert_silence_loses_none(two_zones(), LONG_SILENCE, request, |id| id.starts_with("engine-0"));
}

#[test]
fn resumable_streams_without_another_chain_outlast_silence() {
    let request = |_| TestRequest::draft(EVENTS);
    assert_silence_loses_none(one_chain(), SILENCE, request, is_engine);
}

#[test]
fn resumable_streams_outlast_silence_of_all_chains() {
    let request = |_| TestRequest::draft(EVENTS);
    assert_silence_loses_none(two_zones(), LONG_SILENCE, request, is_engine);
}

/// Sends streams of both kinds while one engine of the only chain is stopped: the one that
/// holds the first layers, or the one that holds the last.
fn assert_part_of_chain_may_be_silent(head_delay: Duration, selects: impl Fn(&Hop) -> bool) {
    let cluster = TestCluster::start(one_chain());
    cluster.endpoints.engines().for_each(|engine| engine.state().head_delay = head_delay);
    let request = |number| match number % 2 {
        0 => TestRequest::note(EVENTS),
        _ => TestRequest::draft(EVENTS),
    };
    let results = send_requests(&cluster, INTERVAL, LEAD_TIME + SILENCE, request);
    std::thread::sleep(LEAD_TIME);
    let chains = cluster.endpoints.chains.lock().unwrap();
    let hop = chains.values().flatten().find(|hop| selects(hop)).copied().unwrap();
    drop(chains);
    let id = cluster.endpoints.at(hop.0).unwrap().id.clone();
    stop(&cluster, SILENCE, |stopped| stopped == id);
    std::thread::sleep(END_TIME);
    assert_none_lost(&cluster, &results);
}

#[test]
fn streams_outlast_silence_of_the_first_engine_of_their_chain() {
    assert_part_of_chain_may_be_silent(Duration::ZERO, |(_, from, _)| *from == 0);
}

#[test]
fn streams_outlast_silence_of_the_last_engine_of_their_chain() {
    assert_part_of_chain_may_be_silent(Duration::ZERO, |(_, _, to)| *to == LAYERS);
}

/// No stream has had its head when the engine goes silent.
#[test]
fn streams_without_a_head_outlast_silence_of_the_last_engine_of_their_chain() {
    assert_part_of_chain_may_be_silent(LONG_SILENCE, |(_, _, to)| *to == LAYERS);
}

#[test]
fn postings_and_reads_outlast_silence_of_the_only_endpoint() {
    let request = |number| match number % 2 {
        0 => TestRequest::post(),
        _ => TestRequest::read(),
    };
    assert_silence_loses_none(one_chain(), SILENCE, request, |id| !is_engine(id));
}

#[test]
fn postings_and_reads_outlast_silence_of_all_endpoints() {
    let request = |number| match number % 2 {
        0 => TestRequest::post(),
        _ => TestRequest::read(),
    };
    assert_silence_loses_none(two_zones(), SILENCE, request, |id| !is_engine(id));
}

#[test]
fn overlapping_silences_beside_new_configurations_lose_no_request() {
    let mut cluster = TestCluster::start(ClusterOptions { routers: 2, ..two_zones() });
    let request = |number| match number % 4 {
        0 => TestRequest::note(EVENTS),
        1 => TestRequest::post(),
        2 => TestRequest::draft(EVENTS),
        _ => TestRequest::read(),
    };
    let duration = LEAD_TIME + 4 * LONG_SILENCE;
    let results = send_requests(&cluster, INTERVAL, duration, request);
    std::thread::sleep(LEAD_TIME);
    let members = cluster.endpoints.members.clone();
    let silences = [SHORT_SILENCE, SILENCE, LONG_SILENCE];
    let stopping = members.into_iter().enumerate().map(|(number, member)| {
        cluster.runtime.spawn(async move {
            tokio::time::sleep(SHORT_SILENCE / 2 * number as u32).await;
            member.proxy.set(LinkState::Stopped);
            tokio::time::sleep(silences[number % silences.len()]).await;
            member.proxy.set(LinkState::Up);
        })
    });
    let stopping: Vec<_> = stopping.collect();
    for _ in 0..8 {
        cluster.configure(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])]);
        std::thread::sleep(SHORT_SILENCE / 2);
    }
    for stopped in stopping {
        cluster.runtime.block_on(stopped).unwrap();
    }
    std::thread::sleep(duration.max(END_TIME));
    assert_none_lost(&cluster, &results);
}

#[test]
fn relayed_requests_outlast_silence_of_the_router_that_serves_them() {
    let cluster =
        TestCluster::start(ClusterOptions { separate_links: true, ..ClusterOptions::default() });
    cluster.set_links(&[0], LinkState::Unreachable);
    let probes = send_requests_to(&cluster, &[0], INTERVAL, SETTLE_TIME, TestRequest::mixed);
    std::thread::sleep(SETTLE_TIME);
    drop(probes);
    let request = |number| match number % 4 {
        0 => TestRequest::note(EVENTS),
        1 => TestRequest::post(),
        2 => TestRequest::draft(EVENTS),
        _ => TestRequest::read(),
    };
    let results = send_requests_to(&cluster, &[0], INTERVAL, LEAD_TIME + SILENCE, request);
    std::thread::sleep(LEAD_TIME);
    cluster.routers[1].signal(Signal::SIGSTOP);
    std::thread::sleep(LONG_SILENCE);
    cluster.routers[1].signal(Signal::SIGCONT);
    std::thread::sleep(END_TIME);
    assert!(!cluster.routers[0].log_lines("MS0622").is_empty(), "no request was relayed");
    assert_none_lost(&cluster, &results);
}
