//! Tests of the ranks of requests that engines are told.

mod cluster;

use cluster::client::TestRequest;
use cluster::{ClusterOptions, KEY, OTHER_KEY, TEAM, TestCluster};

/// Rank of the team that has one of its own, and that of the routes.
const TEAM_RANK: u8 = 3;
const ROUTE_RANK: u8 = 1;

fn cluster() -> TestCluster {
    TestCluster::start(ClusterOptions { routers: 1, zones: 1, ..ClusterOptions::default() })
}

/// The rank that engines are told of a request with this key, whose client names another.
fn rank_at_engines(cluster: &TestCluster, key: &str) -> Option<String> {
    let mut request = TestRequest { key: key.to_owned(), ..TestRequest::draft(2) };
    request.headers.push(("request-priority", "0".to_owned()));
    let id = request.id.clone();
    let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients));
    assert_eq!(response.map(|response| response.status), Some(200));
    cluster.endpoints.trace(&id).priority
}

#[test]
fn engines_are_told_the_rank_of_the_team_or_else_of_the_route() {
    let mut cluster = cluster();
    cluster.configure_with(&[(TEAM, &[KEY]), ("liaison", &[OTHER_KEY])], |config| {
        config["tenants"][0]["priority"] = TEAM_RANK.into();
        for route in config["routes"].as_array_mut().unwrap() {
            route["priority"] = ROUTE_RANK.into();
        }
    });
    cluster.wait_for_configuration();
    assert_eq!(rank_at_engines(&cluster, KEY), Some(TEAM_RANK.to_string()));
    assert_eq!(rank_at_engines(&cluster, OTHER_KEY), Some(ROUTE_RANK.to_string()));
}

#[test]
fn engines_are_told_no_rank_if_all_requests_have_the_same() {
    assert_eq!(rank_at_engines(&cluster(), KEY), None);
}
