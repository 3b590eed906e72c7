//! Tests that the kind of a route decides how an answer is read, whichever service gives it.

mod cluster;

use std::sync::Arc;

use test_case::test_case;

use cluster::client::{TestRequest, TestResponse};
use cluster::proxy::{BrokenAnswer, Ending};
use cluster::{ClusterOptions, KEY, TEAM, TestCluster};

/// Requests of a case.
const REQUESTS: usize = 12;

/// Names of the services.
const ENGINES: &str = "model";
const PLAIN: &str = "register";

fn draft() -> TestRequest {
    TestRequest::draft(4)
}

fn note() -> TestRequest {
    TestRequest::note(4)
}

/// A cluster in which a service serves the routes of these requests.
fn start(service: &str) -> TestCluster {
    let mut cluster =
        TestCluster::start(ClusterOptions { registers_per_zone: 2, ..ClusterOptions::default() });
    cluster.configure_with(&[(TEAM, &[KEY])], |config| {
        for route in config["routes"].as_array_mut().unwrap() {
            route["service"] = service.into();
        }
    });
    cluster.wait_for_configuration();
    cluster
}

/// Sends requests one after another.
fn send(cluster: &TestCluster, request: impl Fn() -> TestRequest) -> Vec<TestResponse> {
    let send = |_| cluster.runtime.block_on(request().send(cluster.routers[0].clients)).unwrap();
    (0..REQUESTS).map(send).collect()
}

/// A signed answer to a request of a client.
fn signed(request: &str, fields: &str, body: &str) -> Option<BrokenAnswer> {
    let id = request.lines().find_map(|line| line.strip_prefix("request-id: "))?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: sig-{id}\r\n{fields}\r\n"
    );
    Some(BrokenAnswer { bytes: (head + body).into_bytes(), ending: Ending::Close })
}

fn length_field(body: &str) -> String {
    format!("content-length: {}\r\n", body.len())
}

/// Guards against answers with a content encoding, which are not those of the endpoint.
#[test_case(ENGINES, TestRequest::read; "read from engines")]
#[test_case(ENGINES, TestRequest::post; "posting to engines")]
#[test_case(ENGINES, draft; "resumable stream from engines")]
#[test_case(ENGINES, note; "stream from engines")]
#[test_case(PLAIN, TestRequest::read; "read from a plain service")]
#[test_case(PLAIN, TestRequest::post; "posting to a plain service")]
#[test_case(PLAIN, draft; "resumable stream from a plain service")]
#[test_case(PLAIN, note; "stream from a plain service")]
fn encoded_answer_is_not_passed_on(service: &str, request: fn() -> TestRequest) {
    let cluster = start(service);
    let body = "id: 1\ndata: a\n\n";
    let fields = length_field(body) + "content-encoding: gzip\r\n";
    cluster.break_answers(&(Arc::new(move |request: &str| signed(request, &fields, body)) as _));
    let statuses: Vec<_> = send(&cluster, request).iter().map(|response| response.status).collect();
    assert_eq!(statuses, [502; REQUESTS]);
}
