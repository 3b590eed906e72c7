//! End-to-end tests: router processes between test clients and stand-in
//! endpoints.

mod cluster;

use std::time::{Duration, Instant};

use hyper::Method;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use cluster::client::{Connection, TestRequest, TestResponse};
use cluster::endpoints::Health;
use cluster::proxy::LinkState;
use cluster::router::REVOCATION_BOUND;
use cluster::store::StoreMode;
use cluster::{ClusterOptions, HOST, KEY, OTHER_KEY, TEAM, TestCluster, WAIT_TIMEOUT};

fn send(cluster: &TestCluster, router: usize, request: &TestRequest) -> Option<TestResponse> {
    cluster.runtime.block_on(request.send(cluster.routers[router].clients))
}

/// Sends requests until one succeeds.
fn send_until_served(
    cluster: &TestCluster,
    router: usize,
    request: impl Fn() -> TestRequest,
) -> TestResponse {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let request = request();
        let response = send(cluster, router, &request);
        if let Some(response) =
            response.filter(|response| response.status == 200 && response.complete)
        {
            assert_eq!(response.protocol_error(&request), None);
            return response;
        }
        assert!(Instant::now() < end, "no request was served within the time limit");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn assert_no_violations(cluster: &TestCluster) {
    assert_eq!(*cluster.endpoints.violations.lock().unwrap(), Vec::<String>::new());
}

#[test]
fn every_route_kind_is_served_by_every_router() {
    let cluster = TestCluster::start(ClusterOptions::default());
    for router in 0..2 {
        for request in [TestRequest::draft(12), TestRequest::post(), TestRequest::read()] {
            let response = send(&cluster, router, &request).unwrap();
            assert_eq!(
                (response.status, response.complete, response.protocol_error(&request)),
                (200, true, None)
            );
            let trace = cluster.endpoints.trace(&request.id);
            assert_eq!((trace.runs, trace.team.as_deref()), (1, Some(TEAM)));
            assert!(!trace.key_leaked);
        }
    }
    let read = TestRequest::read();
    send(&cluster, 0, &read).unwrap();
    assert_eq!(cluster.endpoints.trace(&read.id).call, "GET /read/x?a=1 ");
    assert_no_violations(&cluster);
}

#[test]
fn disallowed_requests_are_denied_and_not_executed() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let key = TestRequest { key: "unknown".into(), ..TestRequest::post() };
    let route = TestRequest::new(Method::GET, "/nowhere/x");
    let large = TestRequest { body: vec![b'x'; 70_000], ..TestRequest::post() };
    for (request, status) in [(key, 401), (route, 404), (large, 413)] {
        assert_eq!(send(&cluster, 0, &request).unwrap().status, status);
        assert_eq!(cluster.endpoints.trace(&request.id).runs, 0);
    }
}

/// Sends raw bytes and returns what the router sends back within 800 ms or until
/// it closes the connection.
fn send_raw(cluster: &TestCluster, bytes: &str) -> String {
    cluster.runtime.block_on(async {
        let mut stream = TcpStream::connect(cluster.routers[0].clients).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        drop(tokio::time::timeout(Duration::from_millis(800), reading).await);
        String::from_utf8_lossy(&answer).into_owned()
    })
}

#[test]
fn request_smuggled_by_conflicting_framing_is_not_executed() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let head = |id: &str, framing: &str| {
        format!(
            "POST /post/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
            Request-Deadline: 3000\r\nAuthorization: Bearer {KEY}\r\n{framing}\r\n"
        )
    };
    let hidden = head("hidden", "Content-Length: 0\r\n");
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", hidden.len() + 5),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", hidden.len() + 5),
    ] {
        send_raw(&cluster, &format!("{}0\r\n\r\n{hidden}", head("outer", &framing)));
        assert_eq!(cluster.endpoints.trace("hidden").runs, 0, "{framing}");
    }
}

#[test]
fn http_1_0_client_can_tell_a_broken_stream_from_a_complete_one() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let request = |id: &str| {
        format!(
            "POST /note/x HTTP/1.0\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nToken-Counts: 100,16\r\n\
            Request-Deadline: 3000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let complete = send_raw(&cluster, &request("whole"));
    assert!(complete.starts_with("HTTP/1.0 200") && complete.ends_with("4/4\n\n"), "{complete}");
    for engine in cluster.endpoints.engines() {
        engine.state().health = Health::DropsResponses;
    }
    let broken = send_raw(&cluster, &request("broken"));
    assert!(!broken.starts_with("HTTP/1.0 200"), "{broken}");
}

#[test]
fn content_length_over_the_limit_is_rejected_before_the_body() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let answer = send_raw(
        &cluster,
        &format!(
            "POST /post/x HTTP/1.1\r\nHost: {HOST}\r\n\
        Request-Id: long\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99999999\r\n\r\nx"
        ),
    );
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn unsafe_request_is_not_retried_after_a_lost_response() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    for member in cluster.endpoints.members.iter().filter(|m| m.service == "register") {
        member.state().health = Health::DropsResponses;
    }
    let request = TestRequest::post();
    let response = send(&cluster, 0, &request).unwrap();
    assert_eq!((response.status, cluster.endpoints.trace(&request.id).runs), (502, 1));
}

#[test]
fn failed_safe_request_is_retried_at_another_endpoint() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    cluster.endpoints.get("register-0").state().health = Health::Failing;
    for _ in 0..5 {
        let request = TestRequest::read();
        // Each request adds to the retry budget.
        send_until_served(&cluster, 0, TestRequest::post);
        let response = send(&cluster, 0, &request).unwrap();
        assert_eq!(response.protocol_error(&request), None);
    }
    let request = TestRequest::read();
    assert_eq!(send(&cluster, 0, &request).unwrap().status, 200);
}

/// Sends streaming requests, runs `during` meanwhile, and returns the
/// responses.
fn stream_during(
    cluster: &TestCluster,
    events: u64,
    during: impl FnOnce(),
) -> Vec<(TestRequest, Option<TestResponse>)> {
    let requests: Vec<_> = (0..12).map(|_| TestRequest::draft(events)).collect();
    let sending: Vec<_> = requests
        .into_iter()
        .map(|request| {
            let to = cluster.routers[0].clients;
            cluster.runtime.spawn(async move {
                let response = request.send(to).await;
                (request, response)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    during();
    sending.into_iter().map(|sent| cluster.runtime.block_on(sent).unwrap()).collect()
}

/// Engines that are the first hop of a recorded chain, or a later one.
fn engines_in_use(cluster: &TestCluster, first: bool) -> Vec<String> {
    let chains = cluster.endpoints.chains.lock().unwrap();
    let hops = chains.values().flat_map(|hops| {
        let (head, tail) = hops.split_at(1);
        if first { head.to_vec() } else { tail.to_vec() }
    });
    let mut ids: Vec<_> =
        hops.map(|(address, ..)| cluster.endpoints.at(address).unwrap().id.clone()).collect();
    ids.sort();
    ids.dedup();
    ids
}

#[test]
fn streams_survive_an_engine_that_stops_responding() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    // Each request adds to the retry budget.
    (0..40).for_each(|_| drop(send_until_served(&cluster, 0, TestRequest::post)));
    for first in [false, true] {
        let mut lost = String::new();
        let ended = stream_during(&cluster, 60, || {
            lost = engines_in_use(&cluster, first)[0].clone();
            cluster.endpoints.get(&lost).state().health = Health::Unresponsive;
        });
        let complete = ended.iter().filter(|(request, response)| {
            let response = response.as_ref().unwrap();
            assert_eq!(response.protocol_error(request), None);
            response.status == 200 && response.complete
        });
        assert!(complete.count() >= 10, "first {first}: {ended:?}");
        cluster.endpoints.get(&lost).restart();
        cluster.wait_until("layers are placed again", |cluster| cluster.endpoints.is_placed(2));
        cluster.endpoints.chains.lock().unwrap().clear();
    }
    assert_no_violations(&cluster);
}

#[test]
fn paused_stream_is_kept_when_no_other_chain_exists() {
    let cluster =
        TestCluster::start(ClusterOptions { routers: 1, zones: 1, ..ClusterOptions::default() });
    send_until_served(&cluster, 0, TestRequest::post);
    for engine in cluster.endpoints.engines() {
        engine.state().health = Health::Stuck;
    }
    for (request, response) in stream_during(&cluster, 40, || {}) {
        let response = response.unwrap();
        assert_eq!(
            (response.status, response.complete, response.protocol_error(&request)),
            (200, true, None)
        );
    }
    assert_no_violations(&cluster);
}

#[test]
fn layers_of_an_unresponsive_endpoint_are_placed_while_its_entry_remains() {
    // Ten engines of one layer each; the model has eight layers.
    let options = ClusterOptions {
        routers: 2,
        zones: 1,
        engines_per_zone: 10,
        engine_memory_mb: 280,
        ..ClusterOptions::default()
    };
    let cluster = TestCluster::start(options);
    let mut lost = String::new();
    stream_during(&cluster, 60, || {
        let used = engines_in_use(&cluster, false);
        let alone = |id: &&String| {
            let (from, to) = cluster.endpoints.get(id).state().layers.unwrap();
            cluster.endpoints.engines().filter(|e| e.holds(from, to)).count() == 1
        };
        lost = used.iter().find(alone).unwrap().clone();
        cluster.endpoints.get(&lost).state().health = Health::Unresponsive;
    });
    cluster.wait_until("its layers are placed", |cluster| {
        drop(send(cluster, 0, &TestRequest::draft(2)));
        let (from, to) = cluster.endpoints.get(&lost).state().layers.unwrap();
        let holds = |layer| cluster.endpoints.engines().any(|e| e.holds(layer, layer + 1));
        (from..to).all(holds)
    });
    send_until_served(&cluster, 1, || TestRequest::draft(4));
    assert_no_violations(&cluster);
}

#[test]
fn endpoint_that_closes_its_connections_is_probed_immediately() {
    let cluster =
        TestCluster::start(ClusterOptions { routers: 1, zones: 1, ..ClusterOptions::default() });
    send_until_served(&cluster, 0, || TestRequest::draft(2));
    let first = engines_in_use(&cluster, true)[0].clone();
    cluster.endpoints.get(&first).proxy.set(LinkState::Reset);
    let is_reported = |line: &&str| {
        // MS0515 is the code of the event "endpoint suspect".
        line.contains("MS0515") && line.contains("\"dead\":true") && line.contains(&first)
    };
    cluster.wait_until("the endpoint is known to be dead", |cluster| {
        cluster.routers[0].log().lines().any(|line| is_reported(&line))
    });
}

#[test]
fn interrupted_stream_resumes_at_another_endpoint() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    send_until_served(&cluster, 0, TestRequest::post);
    // Finds the first engine of the chains; the route allows one more attempt
    // at another engine.
    send_until_served(&cluster, 0, || TestRequest::draft(2));
    let first =
        engines_in_use(&cluster, true).into_iter().find(|id| id.starts_with("engine-0")).unwrap();
    cluster.endpoints.get(&first).state().health = Health::DropsResponses;
    for _ in 0..4 {
        let request = TestRequest::draft(12);
        let response = send(&cluster, 0, &request).unwrap();
        assert_eq!(
            (response.status, response.complete, response.protocol_error(&request)),
            (200, true, None)
        );
    }
    assert_no_violations(&cluster);
}

#[test]
fn request_is_cancelled_when_the_client_disconnects() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let request = TestRequest::draft(200);
    let sending = {
        let (request, to) = (request.clone(), cluster.routers[0].clients);
        cluster.runtime.spawn(async move { request.send(to).await })
    };
    cluster
        .wait_until("the stream runs", |cluster| cluster.endpoints.trace(&request.id).events > 3);
    sending.abort();
    std::thread::sleep(Duration::from_millis(500));
    let events = cluster.endpoints.trace(&request.id).events;
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(cluster.endpoints.trace(&request.id).events, events);
}

#[test]
fn router_finishes_in_flight_requests_on_sigterm() {
    let mut cluster =
        TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let (requests, sending): (Vec<_>, Vec<_>) = (0..4)
        .map(|_| {
            let request = TestRequest::draft(120);
            let (sent, to) = (request.clone(), cluster.routers[0].clients);
            (request, cluster.runtime.spawn(async move { sent.send(to).await }))
        })
        .unzip();
    cluster.wait_until("the streams run", |cluster| {
        requests.iter().all(|request| cluster.endpoints.trace(&request.id).events > 3)
    });
    cluster.routers[0].signal(Signal::SIGTERM);
    cluster.wait_until("the router is not ready", |cluster| {
        !cluster.runtime.block_on(cluster.routers[0].is_ready())
    });
    for (request, sending) in requests.iter().zip(sending) {
        let response = cluster.runtime.block_on(sending).unwrap().unwrap();
        assert_eq!(
            (response.status, response.complete, response.protocol_error(request)),
            (200, true, None)
        );
    }
    // SIGCONT has no effect here: this only waits for the exit.
    assert_eq!(cluster.routers[0].stop(Signal::SIGCONT), Some(0));
}

#[test]
fn draining_endpoint_gets_no_new_requests() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let leaving = cluster.endpoints.get("register-0");
    leaving.state().draining = true;
    std::thread::sleep(Duration::from_secs(2));
    for _ in 0..10 {
        let request = TestRequest::post();
        assert_eq!(send(&cluster, 0, &request).unwrap().status, 200);
    }
    let log = cluster.routers[0].log();
    assert!(log.contains("endpoint leaving"));
    // The last request sent to register-0.
    let last = log.rfind("register-0\",\"attempt").unwrap_or(0);
    assert!(last < log.find("endpoint leaving").unwrap(), "{}", &log[last..]);
}

#[test]
fn revoked_key_is_not_accepted_while_the_store_is_unreachable() {
    let mut cluster =
        TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    cluster.store_proxies[0].set(LinkState::Silent);
    cluster.configure(&[("liaison", &[OTHER_KEY])]);
    let revoked = Instant::now();
    let mut last = None;
    while revoked.elapsed() < REVOCATION_BOUND + Duration::from_secs(2) {
        let request = TestRequest::post();
        let sent = Instant::now();
        send(&cluster, 0, &request);
        if cluster.endpoints.trace(&request.id).runs > 0 {
            last = Some(sent);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(last.is_none_or(|last| last.duration_since(revoked) < REVOCATION_BOUND));
    // Once the store is reachable again, the old key is unknown and the new one
    // works.
    cluster.store_proxies[0].set(LinkState::Up);
    cluster.wait_until("the old key is denied", |cluster| {
        send(cluster, 0, &TestRequest::post()).is_some_and(|response| response.status == 401)
    });
    send_until_served(&cluster, 0, || TestRequest { key: OTHER_KEY.into(), ..TestRequest::post() });
}

#[test]
fn router_without_store_access_is_kept_current_by_its_peer() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    send_until_served(&cluster, 1, TestRequest::post);
    cluster.store_proxies[1].set(LinkState::Silent);
    cluster.configure(&[(TEAM, &[OTHER_KEY])]);
    // The key is revoked at the second router as well. The new one is still
    // accepted there after the revocation bound, since the peer confirms the
    // configuration.
    let disconnected_at = Instant::now();
    while disconnected_at.elapsed() < REVOCATION_BOUND + Duration::from_secs(2) {
        std::thread::sleep(Duration::from_millis(200));
    }
    let response =
        send(&cluster, 1, &TestRequest { key: OTHER_KEY.into(), ..TestRequest::post() }).unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(send(&cluster, 1, &TestRequest::post()).unwrap().status, 401);
    assert!(cluster.routers[1].log().contains("configuration fetched from a peer"));
}

#[test]
fn configuration_is_applied_when_the_store_has_no_change_history() {
    let mut cluster =
        TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    cluster.store.set(StoreMode::NoHistory);
    cluster.configure(&[("liaison", &[OTHER_KEY])]);
    cluster.wait_until("the key is unknown", |cluster| {
        send(cluster, 0, &TestRequest::post()).is_some_and(|response| response.status == 401)
    });
}

#[test]
fn configuration_is_applied_that_a_restored_store_holds_under_an_earlier_version() {
    let mut cluster =
        TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let copy = cluster.store.copy();
    std::thread::sleep(Duration::from_secs(1));
    cluster.store_proxies[0].set(LinkState::Silent);
    let known = cluster.store.version();
    cluster.store.restore(copy);
    cluster.configure(&[("liaison", &[OTHER_KEY])]);
    assert!(cluster.store.version() < known);
    cluster.wait_until("versions are higher again", |cluster| cluster.store.version() > known);
    cluster.store_proxies[0].set(LinkState::Up);
    cluster.wait_until("the key is unknown", |cluster| {
        send(cluster, 0, &TestRequest::post()).is_some_and(|response| response.status == 401)
    });
}

#[test]
fn lease_is_acquired_when_store_responses_are_lost() {
    let mut cluster =
        TestCluster::prepare(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    cluster.store.set(StoreMode::DropsResponses);
    cluster.start_router(0, 0);
    cluster.wait_until("the lease is written", |cluster| {
        cluster.store.get("lease", "placement").is_some()
    });
    cluster.store.set(StoreMode::Up);
    cluster.wait_until("layers are placed", |cluster| cluster.endpoints.is_placed(2));
}

#[test]
fn router_restart_does_not_move_layers() {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    std::thread::sleep(Duration::from_secs(1));
    let orders = |cluster: &TestCluster| -> Vec<u64> {
        cluster.endpoints.engines().map(|engine| engine.state().orders).collect()
    };
    let before = orders(&cluster);
    for router in &mut cluster.routers {
        router.stop(Signal::SIGKILL);
    }
    for router in &mut cluster.routers {
        router.spawn();
    }
    send_until_served(&cluster, 0, || TestRequest::draft(5));
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(orders(&cluster), before);
}

#[test]
fn unread_log_does_not_block_requests() {
    let mut cluster =
        TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    cluster.routers[0].restart_with_unread_log();
    send_until_served(&cluster, 0, TestRequest::post);
    // Logs far more lines than a pipe and the log queue hold.
    let (to, tasks, each) = (cluster.routers[0].clients, 20, 200);
    let answered = cluster.runtime.block_on(async {
        let mut sending = Vec::new();
        for _ in 0..tasks {
            sending.push(tokio::spawn(async move {
                let stream = TcpStream::connect(to).await.unwrap();
                let mut connection = Connection::new(stream).await.unwrap();
                let mut answered = 0;
                for _ in 0..each {
                    let request = TestRequest::new(Method::GET, "/nowhere/x");
                    answered += usize::from(connection.send(&request).await.is_some());
                }
                answered
            }));
        }
        let mut total = 0;
        for sent in sending {
            total += sent.await.unwrap();
        }
        total
    });
    assert_eq!(answered, tasks * each);
    send_until_served(&cluster, 0, TestRequest::post);
}

#[test]
fn invalid_settings_are_reported_and_previous_ones_kept() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    let settings = cluster.routers[0].folder().join("settings.conf");
    let text = std::fs::read_to_string(&settings).unwrap();
    std::fs::write(&settings, text.replace("bounds.grace_s=6", "bounds.grace_s=soon")).unwrap();
    cluster.wait_until("the invalid settings are reported", |cluster| {
        cluster.routers[0].log().contains("bounds.grace_s is \\\"soon\\\"")
    });
    std::fs::write(&settings, text.replace("bounds.grace_s=6", "bounds.grace_s=7")).unwrap();
    cluster.routers[0].signal(Signal::SIGHUP);
    cluster.wait_until("the settings are reloaded", |cluster| {
        cluster.routers[0].log().contains("settings reloaded")
    });
    send_until_served(&cluster, 0, TestRequest::post);
}

#[test]
fn metrics_count_served_requests() {
    let cluster = TestCluster::start(ClusterOptions { routers: 1, ..ClusterOptions::default() });
    send_until_served(&cluster, 0, || TestRequest::draft(8));
    let text = cluster.runtime.block_on(cluster.routers[0].metrics());
    assert!(text.contains("mimosashift_requests_total{outcome=\"completed\"}"), "{text}");
    assert!(text.contains("mimosashift_first_token_seconds_bucket"), "{text}");
}

#[test]
fn every_router_counts_all_others_as_alive() {
    const ROUTERS: usize = 14;
    let options = ClusterOptions { routers: ROUTERS, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    let expected = format!("mimosashift_members{{state=\"alive\"}} {}", ROUTERS - 1);
    cluster.wait_until("every router counts all others", |cluster| {
        let mut routers = cluster.routers.iter();
        routers.all(|router| cluster.runtime.block_on(router.metrics()).contains(&expected))
    });
}
