//! Tests of the format of digests, which routers of different builds exchange.
//!
//! The recorded digests were written by the named builds. They must be read for as long
//! as such builds may run beside this one; a change of the format gets a new part number
//! and a recording of its own.

use std::time::Duration;

use mimosashift::exchange::PromptPart;
use mimosashift::fleet::{LimitRecord, LinkRecord, Observation, Usage, name_key};
use mimosashift::peer::wire::{self, Error, Part, decode, encode};
use mimosashift::peer::{Config, Digest, Directory, Event, Format, MAX_DIGEST_BYTES, Peers};
use mimosashift::platform::{Key, Row};
use mimosashift::quarantine::{Content, Fingerprint, Record};
use mimosashift::resource::Layers;
use mimosashift::time::Instant;

use test_case::test_case;

/// The sample as written by the build 4d2b44d.
const BY_4D2B44D: &str = "0966726f6e742d622d32067a6f6e652d6281c0ffbe8fba9803ac028095f52a0180bbb02100010111010080e9c9d6010100809c9c39000188ef99abc5e88c91110080c096b102020b0080bb4400807a43030c0000a0420000000000010bfbd8a28ea4340104090000c03f008084af5f010dc1daa28ea43402000506010bfbd8a28ea4340080cee4cd020001bbf9e9e9e9f39eec180001008087a70e010cded9a28ea434010000000000002940008095f52a000080400000204002000a010028ac39000a02001dac39";

/// The sample as written by the build 1d5f05c.
const BY_1D5F05C: &str = "0966726f6e742d622d32067a6f6e652d6281c0ffbe8fba9803ac028095f52a0180bbb02100010111010080e9c9d6010100809c9c39000188ef99abc5e88c91110080c096b102020b0080bb4400807a43030c0000a0420000000000010bfbd8a28ea4340104090000c03f008084af5f010dc1daa28ea434021516010ebcdba28ea43402000506010bfbd8a28ea4340080cee4cd020001bbf9e9e9e9f39eec180001008087a70e010cded9a28ea434010000000000002940008095f52a000080400000204002000a010028ac39000a02001dac39";

/// The sample in parts, with the part of the build, as the first builds with parts
/// write it.
const IN_PARTS: &str = "0966726f6e742d622d32067a6f6e652d6281c0ffbe8fba9803ac028095f52a0180bbb02100010111010080e9c9d6010100809c9c39000188ef99abc5e88c91110080c096b10200000000000000000117020b000000000000001804030c000000000000000200000214010bfbd8a28ea4340104090000c03f008084af5f0308010dc1daa28ea43404030215160508010ebcdba28ea434062402000506010bfbd8a28ea4340080cee4cd020001bbf9e9e9e9f39eec180001008087a70e071e010cded9a28ea434010000000000002940008095f52a0000804000002040080f02000a010028ac39000a02001dac39090c303132333435363738396162";

/// The build that the recording in parts names.
const BUILD: &str = "0123456789ab";

fn bytes(hex: &str) -> Vec<u8> {
    hex::decode(hex).unwrap()
}

/// A digest with an entry in each list.
fn sample(format: Format) -> Digest {
    let ms = Duration::from_millis;
    let part = PromptPart { model: 5, id: 6 };
    let request = Fingerprint::new(Some("officers"), "POST", "Front.example", "/post/1", b"body");
    Digest {
        node: "front-b-2".into(),
        zone: "zone-b".into(),
        incarnation: 1_796_400_000_000_001,
        sequence: 300,
        sent_at: Instant::from_millis(90_000),
        echo: Some(Instant::from_millis(70_000)),
        leaving: false,
        holds_placement_lease: true,
        config: Some(Config { revision: 17, age: Some(ms(450)) }),
        store_age: Some(ms(120)),
        store_lost: false,
        directory: Some(Directory { fingerprint: 0x1122_3344_5566_7788, age: ms(640) }),
        usage: vec![
            (11, Usage { cache: 1500.0, prefill: 250.5, requests: 3 }),
            (12, Usage { cache: 80.0, prefill: 0.0, requests: 0 }),
        ],
        observed: vec![Observation {
            endpoint: 11,
            incarnation: 1_796_400_000_123,
            layers: Some(Layers::try_from((4, 9)).unwrap()),
            pace: 1.5,
            age: ms(200),
        }],
        dead: vec![(13, 1_796_400_000_321)],
        unreachable: vec![21, 22],
        leaving_endpoints: vec![(14, 1_796_400_000_444)],
        suspects: vec![
            Record {
                content: Content::Part(part),
                crashes: vec![((11, 1_796_400_000_123), ms(700))],
                success_age: None,
            },
            Record {
                content: Content::Request(request),
                crashes: Vec::new(),
                success_age: Some(ms(30)),
            },
        ],
        limits: vec![LimitRecord {
            endpoint: (12, 1_796_400_000_222),
            rate: Some(12.5.try_into().unwrap()),
            age: ms(90),
            demand: 4.0,
            sent: 2.5,
        }],
        link: None,
        peers: vec!["10.1.0.40:7340".parse().unwrap(), "10.2.0.29:7340".parse().unwrap()],
        build: None,
        format,
    }
}

/// What the build 4d2b44d tells.
fn short_sample() -> Digest {
    let sample = sample(Format::ShortLists);
    Digest { unreachable: Vec::new(), leaving_endpoints: Vec::new(), ..sample }
}

/// What a digest in parts tells, in which usage is in units of 64.
fn sample_in_parts() -> Digest {
    let usage = vec![
        (11, Usage { cache: 1536.0, prefill: 256.0, requests: 3 }),
        (12, Usage { cache: 128.0, prefill: 0.0, requests: 0 }),
    ];
    Digest { usage, build: Some(BUILD.into()), ..sample(Format::Parts) }
}

#[test_case(BY_4D2B44D => short_sample(); "4d2b44d")]
#[test_case(BY_1D5F05C => sample(Format::Lists); "1d5f05c")]
#[test_case(IN_PARTS => sample_in_parts(); "in parts")]
fn digests_of_earlier_builds_are_read(hex: &str) -> Digest {
    let received = decode(&bytes(hex)).unwrap();
    assert!(received.malformed.is_empty(), "{:?}", received.malformed);
    received.digest
}

/// Each format must be written as it was when it landed.
#[test_case(Format::Parts, IN_PARTS, 0; "in parts")]
#[test_case(Format::Lists, BY_1D5F05C, 14; "for 1d5f05c")]
fn formats_do_not_change(format: Format, recorded: &str, build_part: usize) {
    let digest = Digest { build: Some(BUILD.into()), ..sample(Format::Parts) };
    let written = encode(&digest, format);
    assert_eq!(hex::encode(&written[..written.len() - build_part]), recorded);
}

/// The part of the link, as the first builds that know it write it.
const LINK_PART: &str = "0a03a00601";

#[test]
fn use_of_the_link_is_written_and_read_as_by_earlier_builds() {
    let link = Some(LinkRecord { used: 52_428_800.0, unmet: 65_536.0 });
    let written = encode(&Digest { link, ..sample_in_parts() }, Format::Parts);
    assert!(hex::encode(&written).contains(LINK_PART));
    assert_eq!(decode(&written).unwrap().digest.link, link);
    // Older builds get no parts.
    assert_eq!(
        decode(&encode(&Digest { link, ..sample_in_parts() }, Format::Lists)).unwrap().digest.link,
        None
    );
}

/// The build 4d2b44d reads six lists after the head, where later ones write eight, and
/// ignores what follows.
#[test]
fn digest_for_4d2b44d_has_only_lists_that_it_knows() {
    let digest = Digest { build: Some(BUILD.into()), ..sample(Format::Parts) };
    let written = encode(&digest, Format::ShortLists);
    let sample = short_sample();
    let known = Digest { suspects: Vec::new(), limits: Vec::new(), peers: Vec::new(), ..sample };
    let as_lists = encode(&Digest { build: None, ..known.clone() }, Format::Lists);
    // The eight lists end with five empty ones, of which that build takes three for its own.
    assert_eq!(written[..as_lists.len() - 2], as_lists[..as_lists.len() - 2]);
    assert_eq!(decode(&written).unwrap().digest.usage, known.usage);
}

/// Keys that routers of different builds compare are hashes that must not change with
/// the compiler.
#[test]
fn hashes_are_those_of_earlier_builds() {
    assert_eq!(name_key("i-7f3a91c2"), 0xf8ad7eb4e3348599);
}

#[test]
fn unknown_parts_are_skipped() {
    let mut written = encode(&sample_in_parts(), Format::Parts);
    written.extend(postcard::to_stdvec(&(4_000_u32, [1_u8, 2, 3].as_slice())).unwrap());
    written.extend(postcard::to_stdvec(&(Part::Unreachable as u32, [1_u8, 9].as_slice())).unwrap());
    let received = decode(&written).unwrap();
    assert!(received.malformed.is_empty());
    assert_eq!(received.digest, Digest { unreachable: vec![9], ..sample_in_parts() });
}

/// A part whose body is malformed costs what it says, and no more.
#[test_case(Part::Usage, &[200]; "list without entries")]
#[test_case(Part::Observed, &[1, 11, 1, 1, 9, 4, 0, 0, 0, 0, 0, 0]; "layers in reverse order")]
#[test_case(Part::Limits, &[1, 1, 1, 1, 0, 0, 0, 0, 0, 0, 0xf0, 0xbf, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]; "negative rate")]
#[test_case(Part::Build, &[0xff]; "build that is no text")]
#[test_case(Part::Link, &[4]; "link without unmet demand")]
#[test_case(Part::Link, &[0xff, 0xff, 0xff, 0xff, 0xff, 1, 0]; "use of the link out of range")]
fn malformed_part_is_absent_and_named(part: Part, body: &[u8]) {
    let empty = Digest {
        usage: Vec::new(),
        observed: Vec::new(),
        limits: Vec::new(),
        build: None,
        ..sample_in_parts()
    };
    let mut written = encode(&empty, Format::Parts);
    written.extend(postcard::to_stdvec(&(part as u32, body)).unwrap());
    written.extend(postcard::to_stdvec(&(Part::Unreachable as u32, [1_u8, 9].as_slice())).unwrap());
    let received = decode(&written).unwrap();
    assert_eq!(received.malformed.as_slice(), [part as u32]);
    let build = received.digest.build.clone().filter(|build| !build.is_empty());
    let expected = Digest { unreachable: vec![9], ..empty };
    assert_eq!(Digest { build, ..received.digest }, expected);
}

/// A datagram that was cut off, or is no digest, must not be taken for something else.
#[test]
fn cut_off_digests_lose_parts_or_are_refused() {
    let written = encode(&sample_in_parts(), Format::Parts);
    let head = encode(&Digest { build: None, ..sample(Format::Lists) }, Format::Lists).len();
    for length in 0..written.len() {
        match decode(&written[..length]) {
            Ok(received) => {
                assert_eq!(received.digest.node, sample_in_parts().node);
                assert!(received.digest.usage.is_empty() || received.digest.usage.len() == 2);
            }
            Err(error) => assert!(length < head && matches!(error, Error::Head | Error::Lists)),
        }
    }
    assert_eq!(decode(&[0xff; 40]), Err(Error::Head));
}

#[test]
fn largest_number_of_parts_is_limited() {
    let mut written = encode(&sample_in_parts(), Format::Parts);
    while written.len() < MAX_DIGEST_BYTES {
        written.extend(postcard::to_stdvec(&(4_000_u32, b"".as_slice())).unwrap());
    }
    written.extend(postcard::to_stdvec(&(Part::Unreachable as u32, [1_u8, 9].as_slice())).unwrap());
    assert_eq!(decode(&written).unwrap().digest.unreachable, [21, 22]);
}

fn peers() -> Peers {
    let own = "10.1.0.1:7340".parse().unwrap();
    let seed = "10.1.0.2:7340".parse().unwrap();
    Peers::new(own, "zone-b".into(), &[seed], Instant::ZERO)
}

/// A router is sent what all builds read until it has shown what it reads, also after it
/// was replaced by another build.
#[test]
fn each_peer_is_sent_a_format_that_it_reads() {
    let mut peers = peers();
    let address = "10.1.0.2:7340".parse().unwrap();
    let at = Instant::from_millis;
    assert_eq!(peers.due(at(0))[0].format, Format::Lists);
    for (incarnation, ms, format) in
        [(1, 500, Format::Parts), (2, 1_000, Format::ShortLists), (3, 1_500, Format::Lists)]
    {
        let digest = Digest { incarnation, format, ..sample(format) };
        assert_eq!(peers.on_digest(address, digest, at(ms)), Event::Joined);
        peers.expedite(at(ms));
        assert_eq!(peers.due(at(ms))[0].format, format);
    }
}

/// Builds up to 4d2b44d have no port for the requests of other routers.
#[test_case(Format::ShortLists => 0; "4d2b44d")]
#[test_case(Format::Lists => 1; "1d5f05c")]
#[test_case(Format::Parts => 1; "with parts")]
fn relayed_requests_go_only_to_builds_that_take_them(format: Format) -> usize {
    let mut peers = peers();
    let address = "10.1.0.2:7340".parse().unwrap();
    let digest = Digest { unreachable: Vec::new(), ..sample(format) };
    peers.on_digest(address, digest, Instant::ZERO);
    peers.reaching(5, Instant::ZERO).count()
}

fn directory() -> wire::Directory {
    let row = |key: &str, revision, value: &str| Row {
        key: Key { table: "endpoints".to_owned(), key: key.to_owned() },
        revision,
        value: value.to_owned(),
    };
    wire::Directory {
        position: (1, 320),
        age: Duration::from_millis(400),
        keep_missing: Duration::from_millis(2_200),
        rows: vec![row("i-1", 300, "{}"), row("i-2", 310, "{\"a\":1}")],
    }
}

/// The directory as the first build that hands it over writes it.
const DIRECTORY: &str = "01c002008088debe01028084af5f09656e64706f696e74730203692d31ac02027b7d03692d32b602077b2261223a317d";

#[test]
fn directory_is_written_and_read_as_by_earlier_builds() {
    assert_eq!(hex::encode(Vec::from(&directory())), DIRECTORY);
    assert_eq!(wire::Directory::try_from(&*bytes(DIRECTORY)).unwrap(), directory());
    assert!(wire::Directory::try_from(b"{\"version\":3}".as_slice()).is_err());
    assert_eq!((wire::CONFIG_REQUEST, wire::DIRECTORY_REQUEST), (b'c', b'd'));
}
