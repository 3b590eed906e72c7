//! Frames between routers over loopback sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc;
use std::time::Duration;

use mimosashift::config::Version;
use mimosashift::config::transfer::Request;
use mimosashift::member::transport::Transport;
use mimosashift::resource::Name;
use mimosashift::wire::message::Bundle;
use mimosashift::wire::{Frame, Key, MAX_DATAGRAM_BYTES, Message, Ring};

/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(20);

fn ring(secret: u8) -> Ring {
    Ring::new(Key::new(1, vec![secret; 32]).unwrap(), None)
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A router that answers each request with one record and passes on what it
/// got.
fn router(name: &str) -> (Transport, SocketAddr, mpsc::Receiver<Frame>) {
    let (sender, receiver) = mpsc::channel();
    let handler = move |frame: Frame| {
        let asked = matches!(frame.message, Message::Request(_));
        sender.send(frame).ok()?;
        asked.then(|| records(100_000))
    };
    loop {
        let address = free_address();
        let name = Name::try_from(name).unwrap();
        let bound = Transport::bind(address, ring(1), name, 1, Box::new(handler.clone()));
        if let Ok(transport) = bound {
            return (transport, address, receiver);
        }
    }
}

fn request() -> Message {
    Message::Request(Request { have: Version::default(), part: None })
}

fn records(bytes: usize) -> Message {
    Message::Reply(Bundle::Records(vec!["x".repeat(bytes)]))
}

#[test]
fn datagram_arrives() {
    let (a, _, _inbox) = router("a");
    let (_b, address, inbox) = router("b");
    a.send(address, request()).unwrap();
    let frame = inbox.recv_timeout(LIMIT).unwrap();
    assert_eq!((frame.sender.as_str(), frame.message), ("a", request()));
}

#[test]
fn request_gets_a_long_answer() {
    let (a, _, _inbox) = router("a");
    let (_b, address, _inbox_b) = router("b");
    let answer = a.request(address, request()).unwrap().unwrap();
    assert_eq!((answer.sender.as_str(), answer.message), ("b", records(100_000)));
}

#[test]
fn pushed_records_have_no_answer() {
    let (a, _, _inbox) = router("a");
    let (_b, address, inbox) = router("b");
    assert_eq!(a.request(address, records(5_000)).unwrap(), None);
    assert_eq!(inbox.recv_timeout(LIMIT).unwrap().message, records(5_000));
}

#[test]
fn forged_replayed_and_long_frames_are_refused() {
    let (b, address, inbox) = router("b");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let sender = Name::try_from("a").unwrap();
    let frame =
        |sequence| Frame { sender: sender.clone(), incarnation: 1, sequence, message: request() };
    let forged = ring(2).seal(&frame(1), MAX_DATAGRAM_BYTES).unwrap();
    let valid = ring(1).seal(&frame(2), MAX_DATAGRAM_BYTES).unwrap();
    let last = ring(1).seal(&frame(3), MAX_DATAGRAM_BYTES).unwrap();
    for bytes in [&forged, &valid, &valid, &last] {
        socket.send_to(bytes, address).unwrap();
    }
    let got: Vec<_> = (0..2).map(|_| inbox.recv_timeout(LIMIT).unwrap().sequence).collect();
    assert_eq!(got, [2, 3]);
    assert_eq!(b.refused(), 2);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    // Closed at once, without waiting for four gigabytes.
    assert!(matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_)));
    assert!(inbox.try_recv().is_err());
}

#[test]
fn request_to_a_silent_peer_ends() {
    let (a, _, _inbox) = router("a");
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(a.request(silent.local_addr().unwrap(), request()).is_err());
}
