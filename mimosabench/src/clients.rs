//! HTTP clients and servers compared over loopback.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mimosashift::http::client::{Call, Client, Settings};
use mimosashift::http::{Handler, Request, Responder, Server};
use mimosastandin::testbed::{LOOPBACK, free_address};
use ureq::http::{Method, StatusCode};

/// Bytes of each body, there and back: the activations of one token.
const BODY_BYTES: usize = 8_192;

/// Calls of each thread.
const CALLS: usize = 2_000;

/// Events of a stream, and the time between two.
const EVENTS: usize = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 10_000_000;

/// What one client took.
struct Line {
    name: &'static str,
    threads: usize,
    seconds: f64,
    failed: usize,
    latency: Histogram<u64>,
}

/// Answers every call with the body that it got, and streams events.
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

/// Compares the clients and prints a table.
pub fn run() -> std::io::Result<()> {
    let server = Server::start("echo", LOOPBACK, Default::default(), std::sync::Arc::new(Echo))?;
    let address = server.address();
    let kept = Client::new(Settings::default());
    println!("client                 threads  calls/s  p50 us  p95 us  p99 us  failed");
    for threads in [1, 8, 32] {
        print(&measure("kept connections", threads, || call_kept(&kept, address, false)));
        print(&measure("fresh connections", threads, || call_kept(&kept, address, true)));
        print(&measure("oxhttp", threads, || call_oxhttp(address)));
    }
    println!("\nserver                 first event ms  last event ms");
    print_stream("hyper", address)?;
    let oxhttp = free_address()?;
    let _listening = oxhttp_server(oxhttp)?;
    print_stream("oxhttp", oxhttp)
}

fn measure(name: &'static str, threads: usize, call: impl Fn() -> bool + Sync) -> Line {
    let start = Instant::now();
    let results: Vec<(Histogram<u64>, usize)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(|| work(&call))).collect();
        workers.into_iter().map(|w| w.join().expect("workers do not panic")).collect()
    });
    let seconds = start.elapsed().as_secs_f64();
    let mut latency = histogram();
    let mut failed = 0;
    for (part, part_failed) in results {
        latency.add(part).expect("both histograms have the same bounds");
        failed += part_failed;
    }
    Line { name, threads, seconds, failed, latency }
}

fn work(call: &impl Fn() -> bool) -> (Histogram<u64>, usize) {
    let mut latency = histogram();
    let mut failed = 0;
    for _ in 0..CALLS {
        let start = Instant::now();
        if !call() {
            failed += 1;
        }
        latency.saturating_record(start.elapsed().as_micros() as u64);
    }
    (latency, failed)
}

fn call_kept(client: &Client, address: SocketAddr, fresh: bool) -> bool {
    let call = Call {
        address,
        method: Method::POST,
        path: "/",
        headers: &[],
        body: &[7; BODY_BYTES],
        timeout: Duration::from_secs(5),
        fresh,
    };
    client.call(&call).is_ok_and(|answer| answer.body.len() == BODY_BYTES)
}

fn call_oxhttp(address: SocketAddr) -> bool {
    use oxhttp::model::{Body, Request};
    let client = oxhttp::Client::new().with_global_timeout(Duration::from_secs(5));
    let request = Request::post(format!("http://{address}/"))
        .body(Body::from(vec![7; BODY_BYTES]))
        .expect("the request is valid");
    let answer = client.request(request).and_then(|response| response.into_body().to_vec());
    answer.is_ok_and(|body| body.len() == BODY_BYTES)
}

fn print(line: &Line) {
    let rate = (line.threads * CALLS) as f64 / line.seconds;
    let at = |quantile| line.latency.value_at_quantile(quantile);
    println!(
        "{:22} {:7} {:8.0} {:7} {:7} {:7} {:7}",
        line.name,
        line.threads,
        rate,
        at(0.5),
        at(0.95),
        at(0.99),
        line.failed
    );
}

/// Reads a stream of events and prints when its first and last arrived.
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

fn oxhttp_server(address: SocketAddr) -> std::io::Result<oxhttp::ListeningServer> {
    use oxhttp::model::{Body, Response};
    oxhttp::Server::new(|_| {
        Response::builder().body(Body::from_read(Events(0))).expect("the response is valid")
    })
    .bind(address)
    .spawn()
}

/// A body of events, one a read, with time between.
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
    Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid")
}
