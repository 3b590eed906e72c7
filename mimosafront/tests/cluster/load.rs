//! Requests at a constant rate.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::TestCluster;
use super::client::{TestRequest, TestResponse};

/// A request, when it was sent, and its response.
pub type Sent = (Instant, TestRequest, Option<TestResponse>);

/// The requests that have ended.
pub type Results = Arc<Mutex<Vec<Sent>>>;

/// Sends requests to the routers in turn, one every `interval`, for `duration`;
/// `request` is passed their number.
pub fn send_requests(
    cluster: &TestCluster,
    interval: Duration,
    duration: Duration,
    request: impl Fn(usize) -> TestRequest + Send + 'static,
) -> Results {
    let all: Vec<_> = (0..cluster.routers.len()).collect();
    send_requests_to(cluster, &all, interval, duration, request)
}

/// Sends requests like [`send_requests`], to these routers only.
pub fn send_requests_to(
    cluster: &TestCluster,
    routers: &[usize],
    interval: Duration,
    duration: Duration,
    request: impl Fn(usize) -> TestRequest + Send + 'static,
) -> Results {
    let results = Results::default();
    let routers: Vec<_> = routers.iter().map(|router| cluster.routers[*router].clients).collect();
    let ended = results.clone();
    cluster.runtime.spawn(async move {
        let mut ticks = tokio::time::interval(interval);
        let start = Instant::now();
        for number in 0.. {
            ticks.tick().await;
            if start.elapsed() >= duration {
                return;
            }
            let (to, ended) = (routers[number % routers.len()], ended.clone());
            let request = request(number);
            tokio::spawn(async move {
                let sent = Instant::now();
                let response = request.send(to).await;
                ended.lock().unwrap().push((sent, request, response));
            });
        }
    });
    results
}

/// Share of the requests sent after `from` that were served.
pub fn served_share(results: &Results, from: Instant) -> f64 {
    served_share_between(results, from, from + Duration::from_secs(3_600))
}

/// Share of the requests sent from `from` to `to` that were served.
pub fn served_share_between(results: &Results, from: Instant, to: Instant) -> f64 {
    let results = results.lock().unwrap();
    let sent: Vec<_> = results.iter().filter(|(sent, ..)| (from..to).contains(sent)).collect();
    let served = sent.iter().filter(|(_, request, response)| {
        response.as_ref().is_some_and(|response| {
            assert_eq!(response.protocol_error(request), None);
            response.status == 200 && response.complete
        })
    });
    served.count() as f64 / sent.len().max(1) as f64
}
