//! Tests of endpoints that run a request and fail it with a status that promises that they have
//! not.

mod cluster;

use std::time::Duration;

use test_case::test_case;

use cluster::client::TestRequest;
use cluster::proxy::LinkState;
use cluster::{ClusterOptions, TestCluster};

/// Statuses by which a router promises that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Statuses of endpoints that say nothing of whether the request has run.
const FAILURES: [u16; 3] = [408, 429, 503];

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(150);

/// Guards against a promise that is taken from the status of an endpoint: sends each kind of
/// request to endpoints that run and fail it, and returns what was promised of those that ran.
fn false_promises(cluster: &TestCluster, is_signed: bool) -> Vec<String> {
    let mut promised = Vec::new();
    for status in FAILURES {
        for member in &cluster.endpoints.members {
            member.state().failure = Some((status, is_signed));
        }
        let requests = [
            TestRequest::post(),
            TestRequest::read(),
            TestRequest::feed(),
            TestRequest::note(4),
            TestRequest::draft(4),
        ];
        for request in requests {
            // The endpoints ask for rests with their failures.
            std::thread::sleep(PAUSE);
            let to = cluster.routers[0].clients;
            let response = cluster.runtime.block_on(request.send(to)).unwrap();
            let runs = cluster.endpoints.trace(&request.id).runs;
            assert!(runs > 0 && response.status >= 400, "{request:?} {response:?}");
            let error = response.protocol_error(&request);
            if error.is_some() || PROMISES.contains(&response.status) {
                let (path, answer) = (&request.path, response.status);
                promised.push(format!("{path} run and failed with {status}: {answer} {error:?}"));
            }
        }
    }
    promised
}

#[test_case(true; "signed")]
#[test_case(false; "unsigned")]
fn failure_after_a_run_promises_nothing(is_signed: bool) {
    let cluster = TestCluster::start(ClusterOptions::default());
    let promised = false_promises(&cluster, is_signed);
    assert!(promised.is_empty(), "{promised:#?}");
}

#[test_case(true; "signed")]
#[test_case(false; "unsigned")]
fn failure_after_a_run_at_another_router_promises_nothing(is_signed: bool) {
    let cluster = TestCluster::start(ClusterOptions {
        separate_links: true,
        router_zones: Some(2),
        ..ClusterOptions::default()
    });
    cluster.set_links(&[0], LinkState::Unreachable);
    cluster.wait_until("requests are relayed", |cluster| {
        [TestRequest::read(), TestRequest::draft(2)].iter().all(|request| {
            let sending = request.send(cluster.routers[0].clients);
            let response = cluster.runtime.block_on(sending);
            response.is_some_and(|response| response.status == 200)
                && !cluster.routers[0].log_lines(&request.id).iter().all(|l| !l.contains("MS0622"))
        })
    });
    let promised = false_promises(&cluster, is_signed);
    assert!(promised.is_empty(), "{promised:#?}");
}
