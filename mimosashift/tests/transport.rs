//! Frames between routers over loopback sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc;
use std::time::Duration;

use mimosashift::config::Version;
use mimosashift::config::transfer::Request;
use mimosashift::member::transport::Transport;
use mimosashift::resource::Name;
use mimosashift::wire::message::EncodedReply;
use mimosashift::wire::{Frame, Key, KeyRing, MAX_DATAGRAM_BYTES, Message};

/// Time limit for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

fn key_ring(secret: u8) -> KeyRing {
    KeyRing::new(Key::new(1, vec![secret; 32]).unwrap(), None)
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts a router that answers each request with one record and forwards the
/// received frames to the returned channel.
fn router(name: &str) -> (Transport, SocketAddr, mpsc::Receiver<Frame>) {
    let (sender, receiver) = mpsc::channel();
    let handler = move |frame: Frame| {
        let is_request = matches!(frame.message, Message::Request(_));
        sender.send(frame).ok()?;
        is_request.then(|| records(100_000))
    };
    loop {
        let address = free_address();
        let name = Name::try_from(name).unwrap();
        let bound = Transport::bind(address, key_ring(1), name, 1, Box::new(handler.clone()));
        if let Ok(transport) = bound {
            return (transport, address, receiver);
        }
    }
}

fn request() -> Message {
    Message::Request(Request { have: Version::default(), part: None })
}

fn records(bytes: usize) -> Message {
    Message::Reply(EncodedReply::Records(vec!["x".repeat(bytes)]))
}

#[test]
fn datagram_arrives() {
    let (a, _, _inbox) = router("a");
    let (_b, address, inbox) = router("b");
    a.send(address, request()).unwrap();
    let frame = inbox.recv_timeout(TIMEOUT).unwrap();
    assert_eq!((frame.sender.as_str(), frame.message), ("a", request()));
}

#[test]
fn request_receives_large_response() {
    let (a, _, _inbox) = router("a");
    let (_b, address, _inbox_b) = router("b");
    let response = a.request(address, request()).unwrap().unwrap();
    assert_eq!((response.sender.as_str(), response.message), ("b", records(100_000)));
}

#[test]
fn pushed_records_have_no_response() {
    let (a, _, _inbox) = router("a");
    let (_b, address, inbox) = router("b");
    assert_eq!(a.request(address, records(5_000)).unwrap(), None);
    assert_eq!(inbox.recv_timeout(TIMEOUT).unwrap().message, records(5_000));
}

#[test]
fn forged_replayed_and_oversized_frames_are_refused() {
    let (b, address, inbox) = router("b");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let sender = Name::try_from("a").unwrap();
    let frame =
        |sequence| Frame { sender: sender.clone(), incarnation: 1, sequence, message: request() };
    let forged = key_ring(2).seal(&frame(1), MAX_DATAGRAM_BYTES).unwrap();
    let valid = key_ring(1).seal(&frame(2), MAX_DATAGRAM_BYTES).unwrap();
    let last = key_ring(1).seal(&frame(3), MAX_DATAGRAM_BYTES).unwrap();
    for bytes in [&forged, &valid, &valid, &last] {
        socket.send_to(bytes, address).unwrap();
    }
    let received: Vec<_> = (0..2).map(|_| inbox.recv_timeout(TIMEOUT).unwrap().sequence).collect();
    assert_eq!(received, [2, 3]);
    assert_eq!(b.refused(), 2);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    // The connection must be closed without waiting for the announced 4 GiB.
    assert!(matches!(stream.read(&mut [0; 1]), Ok(0) | Err(_)));
    assert!(inbox.try_recv().is_err());
}

#[test]
fn request_to_unresponsive_peer_fails() {
    let (a, _, _inbox) = router("a");
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(a.request(unresponsive.local_addr().unwrap(), request()).is_err());
}
