//! Comparison of HTTP clients and servers over loopback.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mimosashift::http::client::{Call, Client, Settings};
use mimosashift::http::{Handler, Request, Responder, Server};
use mimosastandin::testbed::{LOOPBACK, free_address};
use ureq::http::{Method, StatusCode};

/// Size of each request and response body: the activations of one token.
const BODY_BYTES: usize = 8_192;

/// Calls made by each thread.
const CALLS_PER_THREAD: usize = 2_000;

/// Number of events of a stream, and the time between two events.
const EVENTS: usize = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Upper bound of the latency histograms, in microseconds; higher values are
/// clamped to it.
const MAX_LATENCY_MICROS: u64 = 10_000_000;

/// Latencies and failures of one client at one number of threads.
struct Measurement {
    name: &'static str,
    threads: usize,
    seconds: f64,
    failed: usize,
    latency: Histogram<u64>,
}

/// Streams events in response to a GET, and echoes the body of other requests.
struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request, responder: Responder) {
        if request.method == Method::GET {
            let mut stream = responder.stream(&[]);
            for _ in 0..EVENTS {
                if stream.write("data: x\n\n").is_err() {
                    return;
                }
                thread::sleep(EVENT_INTERVAL);
            }
            return stream.finish();
        }
        responder.send(StatusCode::OK, &[], request.body.to_vec());
    }
}

/// Compares the clients and servers, and prints a table of each.
pub fn run() -> std::io::Result<()> {
    let server = Server::start("echo", LOOPBACK, Default::default(), std::sync::Arc::new(Echo))?;
    let address = server.address();
    let client = Client::new(Settings::default());
    println!("client                 threads  calls/s  p50 us  p95 us  p99 us  failed");
    for threads in [1, 8, 32] {
        print_row(&measure("pooled connections", threads, || call_client(&client, address, false)));
        print_row(&measure("fresh connections", threads, || call_client(&client, address, true)));
        print_row(&measure("oxhttp", threads, || call_oxhttp(address)));
    }
    println!("\nserver                 first event ms  last event ms");
    print_stream("hyper", address)?;
    let oxhttp_address = free_address()?;
    let _oxhttp_server = start_oxhttp_server(oxhttp_address)?;
    print_stream("oxhttp", oxhttp_address)
}

fn measure(name: &'static str, threads: usize, call: impl Fn() -> bool + Sync) -> Measurement {
    let start = Instant::now();
    let results: Vec<(Histogram<u64>, usize)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(|| run_calls(&call))).collect();
        workers.into_iter().map(|w| w.join().expect("workers do not panic")).collect()
    });
    let seconds = start.elapsed().as_secs_f64();
    let mut latency = histogram();
    let mut failed = 0;
    for (thread_latency, thread_failed) in results {
        latency.add(thread_latency).expect("both histograms have the same bounds");
        failed += thread_failed;
    }
    Measurement { name, threads, seconds, failed, latency }
}

fn run_calls(call: &impl Fn() -> bool) -> (Histogram<u64>, usize) {
    let mut latency = histogram();
    let mut failed = 0;
    for _ in 0..CALLS_PER_THREAD {
        let start = Instant::now();
        if !call() {
            failed += 1;
        }
        latency.saturating_record(start.elapsed().as_micros() as u64);
    }
    (latency, failed)
}

fn call_client(client: &Client, address: SocketAddr, fresh: bool) -> bool {
    let call = Call {
        address,
        method: Method::POST,
        path: "/",
        headers: &[],
        body: &[7; BODY_BYTES],
        timeout: Duration::from_secs(5),
        fresh,
    };
    client.call(&call).is_ok_and(|response| response.body.len() == BODY_BYTES)
}

fn call_oxhttp(address: SocketAddr) -> bool {
    use oxhttp::model::{Body, Request};
    let client = oxhttp::Client::new().with_global_timeout(Duration::from_secs(5));
    let request = Request::post(format!("http://{address}/"))
        .body(Body::from(vec![7; BODY_BYTES]))
        .expect("the request is valid");
    let body = client.request(request).and_then(|response| response.into_body().to_vec());
    body.is_ok_and(|body| body.len() == BODY_BYTES)
}

fn print_row(measurement: &Measurement) {
    let rate = (measurement.threads * CALLS_PER_THREAD) as f64 / measurement.seconds;
    let micros_at = |quantile| measurement.latency.value_at_quantile(quantile);
    println!(
        "{:22} {:7} {:8.0} {:7} {:7} {:7} {:7}",
        measurement.name,
        measurement.threads,
        rate,
        micros_at(0.5),
        micros_at(0.95),
        micros_at(0.99),
        measurement.failed
    );
}

/// Reads a stream of events and prints the arrival times of the first and the
/// last one.
fn print_stream(name: &str, address: SocketAddr) -> std::io::Result<()> {
    let start = Instant::now();
    let response = ureq::get(format!("http://{address}/")).call().map_err(std::io::Error::other)?;
    let mut first = None;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        line?;
        first.get_or_insert_with(|| start.elapsed());
    }
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let first = first.unwrap_or_default();
    println!("{name:22} {:14.1} {:14.1}", millis(first), millis(start.elapsed()));
    Ok(())
}

fn start_oxhttp_server(address: SocketAddr) -> std::io::Result<oxhttp::ListeningServer> {
    use oxhttp::model::{Body, Response};
    oxhttp::Server::new(|_| {
        Response::builder().body(Body::from_read(Events(0))).expect("the response is valid")
    })
    .bind(address)
    .spawn()
}

/// A response body that yields one event per read, at [`EVENT_INTERVAL`].
///
/// Holds the number of events yielded so far.
struct Events(usize);

impl Read for Events {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == EVENTS {
            return Ok(0);
        }
        if self.0 > 0 {
            thread::sleep(EVENT_INTERVAL);
        }
        self.0 += 1;
        let event = b"data: x\n\n";
        buffer[..event.len()].copy_from_slice(event);
        Ok(event.len())
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("the bounds are valid")
}
