//! Frames: size limits, authentication, key rotation and replay protection.

use std::collections::HashSet;

use mimosashift::config::transfer::{Request, SnapshotCursor};
use mimosashift::config::{Version, transfer::Reply};
use mimosashift::resource::{Kind, Name};
use mimosashift::wire::message::{DomainSummary, EncodedReply, Heartbeat, Payload};
use mimosashift::wire::{
    Error, Frame, Key, KeyRing, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Message, ReplayFilter,
    ReplayWindow,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn key(id: u8) -> Key {
    Key::new(id, vec![id; 32]).unwrap()
}

fn key_ring(current: u8, previous: Option<u8>) -> KeyRing {
    KeyRing::new(key(current), previous.map(key))
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn heartbeat() -> Message {
    Message::Heartbeat(Heartbeat {
        node: name("a"),
        domain: name("d"),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 5,
        sequence: 6,
        version: Version { revision: 7, lineage: 8, checksum: 9 },
        polled_ms_ago: Some(3),
        leaving: false,
        peers: ["127.0.0.1:2".parse().unwrap()].into_iter().collect(),
        domains: vec![DomainSummary::new(name("e"), &[1, 2, 2])],
        payloads: vec![Payload { tag: 1, bytes: vec![1, 2, 3] }],
    })
}

fn request() -> Message {
    let part = SnapshotCursor { version: Version::default(), kind: Kind::Team, name: name("t") };
    Message::Request(Request { have: Version::default(), part: Some(part) })
}

fn reply() -> Message {
    Message::Reply(EncodedReply::Records(vec!["{}".to_owned()]))
}

fn frame(message: Message) -> Frame {
    Frame { sender: name("a"), incarnation: 1, sequence: 2, message }
}

#[test_case(heartbeat(); "heartbeat")]
#[test_case(request(); "request")]
#[test_case(reply(); "reply")]
fn frame_round_trips(message: Message) {
    let frame = frame(message);
    let bytes = key_ring(1, None).seal(&frame, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(key_ring(1, None).open(&bytes, MAX_DATAGRAM_BYTES), Ok(frame));
}

#[test_case(1, 2, Some(1), None; "previous key is accepted")]
#[test_case(2, 2, Some(1), None; "current key is accepted")]
#[test_case(1, 2, None, Some(Error::Key(1)); "retired key is refused")]
#[test_case(3, 2, Some(1), Some(Error::Key(3)); "unknown key is refused")]
fn keys_rotate(signed: u8, current: u8, previous: Option<u8>, refused: Option<Error>) {
    let bytes = key_ring(signed, None).seal(&frame(request()), MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(key_ring(current, previous).open(&bytes, MAX_DATAGRAM_BYTES).err(), refused);
}

#[test]
fn other_secret_under_the_same_id_is_refused() {
    let bytes = key_ring(1, None).seal(&frame(request()), MAX_DATAGRAM_BYTES).unwrap();
    let other = KeyRing::new(Key::new(1, vec![9; 32]).unwrap(), None);
    assert_eq!(other.open(&bytes, MAX_DATAGRAM_BYTES), Err(Error::Forged));
}

#[test]
fn oversized_frames_are_refused_on_both_sides() {
    let oversized = frame(Message::Reply(EncodedReply::Records(vec!["x".repeat(2_000)])));
    let is_too_long = |result: Result<(), Error>| matches!(result, Err(Error::TooLong { .. }));
    assert!(is_too_long(key_ring(1, None).seal(&oversized, MAX_DATAGRAM_BYTES).map(drop)));
    let bytes = key_ring(1, None).seal(&oversized, MAX_STREAM_BYTES).unwrap();
    assert!(is_too_long(key_ring(1, None).open(&bytes, MAX_DATAGRAM_BYTES).map(drop)));
}

#[test]
fn short_secret_is_refused_and_secrets_are_not_printed() {
    assert!(Key::new(1, *b"short").is_err());
    let printed = format!("{:?}", Key::new(1, *b"0123456789abcdef").unwrap());
    assert!(!printed.contains("48") && !printed.contains("0123"), "{printed}");
}

#[test]
fn malformed_records_are_refused() {
    let encoded = EncodedReply::Records(vec!["{}".to_owned()]);
    assert_eq!(Reply::try_from(&encoded), Err(Error::Malformed));
}

#[test]
fn senders_with_same_incarnation_are_distinguished() {
    let mut seen = ReplayFilter::default();
    assert!(seen.accept(&name("a"), 1, 1));
    assert!(seen.accept(&name("b"), 1, 1));
    assert!(!seen.accept(&name("a"), 1, 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        prop_assert!(key_ring(1, Some(2)).open(&bytes, MAX_DATAGRAM_BYTES).is_err());
    }

    /// Correctly signed random bytes reach the decoder, which must neither panic
    /// nor accept trailing bytes.
    #[test]
    fn signed_random_bytes_are_handled(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let bytes = sign(&body);
        if let Ok(frame) = key_ring(1, None).open(&bytes, MAX_DATAGRAM_BYTES) {
            let reencoded = key_ring(1, None).seal(&frame, MAX_DATAGRAM_BYTES).unwrap();
            prop_assert!(reencoded.len() <= bytes.len());
        }
    }

    #[test]
    fn truncated_frame_is_refused(cut in 1_usize..100) {
        let bytes = key_ring(1, None).seal(&frame(heartbeat()), MAX_DATAGRAM_BYTES).unwrap();
        let kept = &bytes[..bytes.len().saturating_sub(cut)];
        prop_assert!(key_ring(1, None).open(kept, MAX_DATAGRAM_BYTES).is_err());
    }

    #[test]
    fn flipped_bit_is_refused(bit in any::<prop::sample::Index>()) {
        let mut bytes = key_ring(1, None).seal(&frame(heartbeat()), MAX_DATAGRAM_BYTES).unwrap();
        let bit = bit.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(key_ring(1, None).open(&bytes, MAX_DATAGRAM_BYTES).is_err());
    }

    /// Compares the window with a set: a number within the window is accepted
    /// exactly once.
    #[test]
    fn window_accepts_each_number_once(numbers in prop::collection::vec(0_u64..400, 0..500)) {
        let mut window = ReplayWindow::default();
        let mut seen = HashSet::new();
        let mut highest = 0;
        for number in numbers {
            let old = highest >= number + 128;
            let expected = number > 0 && !old && !seen.contains(&number);
            prop_assert_eq!(window.accept(number), expected);
            seen.insert(number);
            highest = highest.max(number);
        }
    }
}

/// Signs arbitrary bytes as the body of a frame, with key 1.
fn sign(body: &[u8]) -> Vec<u8> {
    use hmac::{Hmac, KeyInit, Mac};
    let mut bytes = vec![1, 1];
    bytes.extend_from_slice(body);
    let mac = Hmac::<sha2::Sha256>::new_from_slice(&[1; 32]).unwrap().chain_update(&bytes);
    bytes.extend_from_slice(&mac.finalize().into_bytes()[..16]);
    bytes
}
