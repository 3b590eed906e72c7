//! Tests of the connection pool: where the body of a response ends, and servers that
//! pause.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use mimosashift::connection_pool::{Carriers, Framing, Pool, Reuse, Settings, Unsolicited};
use mimosashift::memory::Budget;
use socket2::SockRef;
use test_case::test_case;

/// How the server ends the connection after its bytes.
#[derive(Clone, Copy)]
enum End {
    Close,
    Reset,
}

/// Answers one request with `bytes` and ends the connection.
fn serve_once(bytes: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(bytes.as_bytes()).unwrap();
        if let End::Reset = end {
            // The client must have read the bytes before: a reset discards them.
            std::thread::sleep(Duration::from_millis(100));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    address
}

/// Answers one request, of which it reads nothing for a while.
fn serve_after_pause(pause: Duration, body_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        std::thread::sleep(pause);
        read_request(&mut stream);
        let body = std::io::copy(&mut (&stream).take(body_bytes as u64), &mut std::io::sink());
        assert_eq!(body.unwrap(), body_bytes as u64);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab").unwrap();
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let (mut request, mut buffer) = (Vec::new(), [0; 1]);
    while !request.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut buffer).unwrap();
        request.extend_from_slice(&buffer[..length]);
    }
}

/// More memory than any test needs.
fn budget() -> Budget {
    Budget::new(64 << 20)
}

/// Framing of the response and its body; `None` if the body is incomplete.
fn fetch(address: SocketAddr) -> (Framing, Option<Bytes>) {
    let second = Duration::from_secs(1);
    let pool = Pool::new(Settings { connect_timeout: second, unacked_timeout: second }, budget());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let request = Request::builder().uri("/").header("host", "x").body(Full::default());
        let mut exchange = pool.send(address, request.unwrap(), Reuse::Any).await.unwrap();
        let body = exchange.collect(1 << 20).await.ok();
        (exchange.framing, body)
    })
}

#[test_case("content-length: 2\r\n\r\nab", End::Close, Framing::Delimited, true; "whole length")]
#[test_case("content-length: 3\r\n\r\nab", End::Close, Framing::Delimited, false; "short of its length")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", End::Close, Framing::Delimited, true; "last chunk")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\nab\r\n", End::Close, Framing::Delimited, false; "no last chunk")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\na", End::Close, Framing::Delimited, false; "inside a chunk")]
#[test_case("\r\nab", End::Close, Framing::UntilClose, true; "closed")]
#[test_case("\r\nab", End::Reset, Framing::UntilClose, false; "reset")]
fn body_ends(rest: &'static str, end: End, framing: Framing, is_complete: bool) {
    let bytes = format!("HTTP/1.1 200 OK\r\n{rest}");
    let body = is_complete.then(|| Bytes::from("ab"));
    assert_eq!(fetch(serve_once(bytes.leak(), end)), (framing, body));
}

#[test]
fn server_that_pauses_for_over_a_second_gets_the_whole_request() {
    // More than the system buffers, so that data stays unacknowledged during the pause.
    let body = vec![0; 32 << 20];
    let address = serve_after_pause(Duration::from_millis(1_800), body.len());
    let pool = Pool::new(Settings::default(), budget());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let status = tokio::task::LocalSet::new().block_on(&runtime, async {
        let request = Request::post("/").header("host", "x").body(Full::from(body));
        let exchange = pool.send(address, request.unwrap(), Reuse::Any).await;
        exchange.map(|exchange| exchange.head.status().as_u16())
    });
    assert_eq!(status.map_err(|failure| failure.to_string()), Ok(200));
}

/// Answers all requests, on any number of connections.
fn serve_kept() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                // Until the client closes the connection.
                while stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0) {
                    read_request(&mut stream);
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab").unwrap();
                }
            });
        }
    });
    address
}

#[test]
fn request_goes_over_a_connection_once() {
    let address = serve_kept();
    let pool = Pool::new(Settings::default(), budget());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (first, second) = (Carriers::default(), Carriers::default());
    let send = async |reuse: Reuse<'_>| {
        let request = Request::builder().uri("/").header("host", "x").body(Full::default());
        let mut exchange = pool.send(address, request.unwrap(), reuse).await.unwrap();
        exchange.collect(1 << 20).await.unwrap();
        exchange.connection_id().to_string()
    };
    let used = tokio::task::LocalSet::new().block_on(&runtime, async {
        [
            send(Reuse::Request(&first)).await,
            send(Reuse::Request(&first)).await,
            send(Reuse::Request(&second)).await,
            send(Reuse::Request(&second)).await,
            send(Reuse::Request(&first)).await,
            send(Reuse::Any).await,
            send(Reuse::Never).await,
        ]
    });
    assert_eq!(used, ["1", "2", "2", "1", "3", "3", "4"]);
    assert_eq!(first.last().map(|id| id.to_string()).as_deref(), Some("3"));
}

#[test]
fn answer_on_an_idle_connection_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let second = b"HTTP/1.1 200 OK\r\nx: y\r\n\r\n";
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\nab").unwrap();
        std::thread::sleep(Duration::from_millis(50));
        stream.write_all(second).unwrap();
    });
    let pool = Pool::new(Settings::default(), budget());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let unsolicited = tokio::task::LocalSet::new().block_on(&runtime, async {
        let request = Request::builder().uri("/").header("host", "x").body(Full::default());
        let mut exchange = pool.send(address, request.unwrap(), Reuse::Any).await.unwrap();
        exchange.collect(1 << 20).await.unwrap();
        assert_eq!(pool.closed_addresses().await, [address]);
        pool.take_unsolicited()
    });
    let [Unsolicited { address: from, bytes, .. }] = &unsolicited[..] else {
        panic!("{unsolicited:?}");
    };
    assert_eq!((*from, &bytes[..]), (address, &second[..]));
}

#[test]
fn send_that_was_not_connected_is_not_logged_with_the_connection_before() {
    let (address, closed) = (serve_kept(), {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    });
    let pool = Pool::new(Settings::default(), budget());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let carriers = Carriers::default();
    let send = async |address| {
        let request = Request::builder().uri("/").header("host", "x").body(Full::default());
        pool.send(address, request.unwrap(), Reuse::Request(&carriers)).await.is_ok()
    };
    let (first, used, second) = tokio::task::LocalSet::new()
        .block_on(&runtime, async { (send(address).await, carriers.last(), send(closed).await) });
    assert!(first && !second);
    assert_ne!(carriers.last(), used, "MS0627 names this connection for the second send");
}

// Bytes that a partition holds up are delivered after a close, but not after a reset.
#[test]
fn request_that_is_given_up_without_an_answer_is_not_delivered_later() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.read(&mut [0]).map_err(|error| error.kind())
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let pool = Pool::new(Settings::default(), budget());
        let request = Request::builder().uri("/").header("host", "x").body(Full::default());
        let request = request.unwrap();
        let limit = Duration::from_millis(100);
        let answer = tokio::time::timeout(limit, pool.send(address, request, Reuse::Any)).await;
        assert!(answer.is_err(), "the server does not answer");
        tokio::task::yield_now().await;
    });
    assert_eq!(server.join().unwrap(), Err(ErrorKind::ConnectionReset));
}
