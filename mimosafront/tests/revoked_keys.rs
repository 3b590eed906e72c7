//! Tests of API keys when a configuration holds few or none.

mod cluster;

use serde_json::{Value, json};

use cluster::client::TestRequest;
use cluster::{ClusterOptions, KEY, TEAM, TestCluster};

/// A key that no configuration ever held.
const FOREIGN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

/// Status of a posting and a read with each of these keys at each router, and how many of them
/// have run.
fn send_with_keys(cluster: &TestCluster, keys: &[&str]) -> (Vec<u16>, usize) {
    let (mut statuses, mut runs) = (Vec::new(), 0);
    for router in &cluster.routers {
        for key in keys {
            for request in [TestRequest::post(), TestRequest::read(), TestRequest::note(2)] {
                let request = TestRequest { key: (*key).to_owned(), ..request };
                let response = cluster.runtime.block_on(request.send(router.clients)).unwrap();
                statuses.push(response.status);
                runs += cluster.endpoints.trace(&request.id).runs;
            }
        }
    }
    (statuses, runs)
}

/// Checks that no key is accepted under a configuration without any, at routers that knew an
/// earlier one and at one that starts.
fn assert_no_key_is_accepted(teams: &[(&str, &[&str])]) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    assert!(send_with_keys(&cluster, &[KEY]).0.iter().all(|status| *status == 200));
    cluster.configure(teams);
    cluster.wait_for_configuration();
    cluster.start_router(2, 0);
    cluster.wait_for_configuration();
    cluster.wait_until("the new router is ready", |cluster| {
        cluster.runtime.block_on(cluster.routers[2].is_ready())
    });
    let (statuses, runs) = send_with_keys(&cluster, &[KEY, FOREIGN_KEY, ""]);
    assert!(statuses.iter().all(|status| *status == 401) && runs == 0, "{runs} run, {statuses:?}");
    cluster.configure(&[(TEAM, &[KEY])]);
    cluster.wait_for_configuration();
    assert!(send_with_keys(&cluster, &[KEY]).0.iter().all(|status| *status == 200));
    assert!(send_with_keys(&cluster, &[FOREIGN_KEY]).0.iter().all(|status| *status == 401));
}

/// Guards against keys that are accepted again when the last one of all has been taken away.
#[test]
fn no_key_is_accepted_when_the_last_one_has_been_taken_away() {
    assert_no_key_is_accepted(&[(TEAM, &[])]);
}

/// Guards against the same when the teams have been taken away with their keys.
#[test]
fn no_key_is_accepted_when_the_last_team_has_been_taken_away() {
    assert_no_key_is_accepted(&[]);
}

/// Checks that all requests are served under a configuration with this change.
fn assert_open(change: impl FnOnce(&mut Value)) {
    let mut cluster = TestCluster::start(ClusterOptions::default());
    cluster.configure_with(&[(TEAM, &[])], change);
    cluster.wait_for_configuration();
    let (statuses, _) = send_with_keys(&cluster, &[KEY, FOREIGN_KEY, ""]);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn configuration_without_teams_needs_no_key() {
    assert_open(|config| drop(config.as_object_mut().unwrap().remove("tenants")));
}

#[test]
fn public_routes_need_no_key_when_there_is_none() {
    assert_open(|config| {
        for route in config["routes"].as_array_mut().unwrap() {
            route["public"] = json!(true);
        }
    });
}
