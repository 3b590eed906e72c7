//! Tests of endpoints that begin an error and do not end it.

mod cluster;

use std::sync::Arc;
use std::time::{Duration, Instant};

use test_case::test_case;

use cluster::client::TestRequest;
use cluster::proxy::{BrokenAnswer, Ending};
use cluster::{ClusterOptions, TestCluster};

/// Time that clients wait.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time after that in which a final answer must have arrived.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The head and a part of the body of an error, to requests of clients.
fn hanging_error(request: &str, status: u16, ending: Ending) -> Option<BrokenAnswer> {
    let id = request.lines().find_map(|line| line.strip_prefix("request-id: "))?;
    let head = format!(
        "HTTP/1.1 {status} Error\r\nrequest-id: {id}\r\nresponse-signature: sig-{id}\r\n\
         content-length: 4000\r\n\r\nfailed"
    );
    Some(BrokenAnswer { bytes: head.into_bytes(), ending })
}

/// Guards against errors that are waited for without a limit.
#[test_case(500, Ending::Silence; "server error that falls silent")]
#[test_case(500, Ending::Trickle; "server error that trickles")]
#[test_case(404, Ending::Silence; "client error that falls silent")]
#[test_case(404, Ending::Trickle; "client error that trickles")]
fn error_that_hangs_is_answered_at_the_timeout(status: u16, ending: Ending) {
    let cluster = TestCluster::start(ClusterOptions::default());
    cluster.break_answers(
        &(Arc::new(move |request: &str| hanging_error(request, status, ending)) as _),
    );
    let to = cluster.routers[0].clients;
    let requests = (0..4).flat_map(|_| {
        [TestRequest::note(4), TestRequest::draft(4), TestRequest::read(), TestRequest::post()]
    });
    let sending: Vec<_> = requests
        .map(|request| TestRequest { timeout: TIMEOUT, ..request })
        .map(|request| {
            cluster.runtime.spawn(async move {
                let sent = Instant::now();
                let response = request.send(to).await;
                (request.path, response.map(|response| response.status), sent.elapsed())
            })
        })
        .collect();
    let ended: Vec<_> =
        sending.into_iter().map(|sent| cluster.runtime.block_on(sent).unwrap()).collect();
    let late = ended.iter().filter(|(_, status, took)| {
        status.is_none_or(|status| status < 500) || *took > TIMEOUT + ANSWER_MARGIN
    });
    let late: Vec<_> = late.collect();
    assert!(late.is_empty(), "{} of {} late: {late:?}", late.len(), ended.len());
}

/// Guards against a stream that waits for the rest of an error where another engine serves it.
#[test]
fn stream_that_may_be_resumed_goes_elsewhere_when_an_error_hangs() {
    let cluster = TestCluster::start(ClusterOptions::default());
    let to = cluster.routers[0].clients;
    let first = TestRequest::draft(4);
    assert!(cluster.runtime.block_on(first.send(to)).is_some_and(|answer| answer.status == 200));
    // The router prefers this engine to all others.
    let (engine, ..) = cluster.endpoints.chains.lock().unwrap()[&first.id][0];
    let hangs = |request: &str| hanging_error(request, 404, Ending::Silence);
    cluster.endpoints.at(engine).unwrap().proxy.break_answers(Arc::new(hangs));
    for _ in 0..8 {
        let request = TestRequest { timeout: 2 * TIMEOUT, ..TestRequest::draft(4) };
        let sent = Instant::now();
        let response = cluster.runtime.block_on(request.send(to)).unwrap();
        assert_eq!((response.status, response.complete), (200, true), "{response:?}");
        assert!(sent.elapsed() < TIMEOUT, "{:?}", sent.elapsed());
    }
}
