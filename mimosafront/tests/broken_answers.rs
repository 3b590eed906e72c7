//! Tests of answers that endpoints break off, end without a mark, or never end.

mod cluster;

use cluster::client::TestRequest;
use cluster::endpoints::Health;
use cluster::{ClusterOptions, TestCluster};

/// Requests for streams of each route.
const REQUESTS: u64 = 40;

/// Two routers before ten engines and two services, all of this health.
fn cluster_of(health: Health) -> TestCluster {
    let options = ClusterOptions { engines_per_zone: 5, ..ClusterOptions::default() };
    let cluster = TestCluster::start(options);
    for member in &cluster.endpoints.members {
        member.state().health = health;
    }
    cluster
}

/// Number of requests whose answers were framed as complete; each such answer
/// has all events.
fn count_complete(cluster: &TestCluster, request: impl Fn() -> TestRequest) -> usize {
    let mut complete = 0;
    for number in 0..REQUESTS {
        let request = request();
        let to = cluster.routers[number as usize % cluster.routers.len()].clients;
        let Some(response) = cluster.runtime.block_on(request.send(to)) else { continue };
        assert_eq!(response.protocol_error(&request), None, "{response:?}");
        assert!(response.status != 200 || response.body.ends_with("\n\n"), "{response:?}");
        complete += usize::from(response.status == 200 && response.complete);
    }
    complete
}

macro_rules! stream_end_tests {
    ($($name:ident: $health:ident, $request:expr => $complete:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = cluster_of(Health::$health);
            assert_eq!(count_complete(&cluster, || $request), $complete);
        }
    )*};
}

stream_end_tests! {
    resumable_stream_closed_inside_an_event_is_not_complete: ClosesInsideEvent, TestRequest::draft(12) => 0;
    stream_closed_inside_an_event_is_not_complete: ClosesInsideEvent, TestRequest::note(12) => 0;
    plain_stream_closed_inside_an_event_is_not_complete: ClosesInsideEvent, TestRequest::feed() => 0;
    plain_stream_ended_by_close_is_complete: Unframed, TestRequest::feed() => 40;
    resumable_stream_ended_by_close_is_complete: Unframed, TestRequest::draft(12) => 40;
    stream_ended_by_close_is_complete: Unframed, TestRequest::note(12) => 40;
}

#[test]
fn stream_of_an_engine_that_crashes_between_events_is_not_complete() {
    let cluster = cluster_of(Health::CrashesAfterEvent);
    let request = TestRequest::note(12);
    let response = cluster.runtime.block_on(request.send(cluster.routers[0].clients)).unwrap();
    assert_eq!((response.status, response.events()), (200, vec![1, 2]));
    assert!(!response.complete);
}
