//! Format of digests on the network, which routers of other builds read as well.
//!
//! A digest is a head, which never changes, the lists that builds without parts expect,
//! and parts. A part is a number, a length and a body; a router skips parts whose numbers
//! it does not know. See `docs/design/peers.md`, "Format".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Digest;
use crate::fleet::{Incarnation, LinkRecord};
use crate::time::Instant;

mod directory;
mod entry;

pub use directory::{CONFIG_REQUEST, DIRECTORY_REQUEST, Directory};

/// Maximum number of parts that are read of a digest: far more than there are numbers.
const MAX_PARTS: usize = 64;

/// Maximum number of characters of the name of a build.
const MAX_BUILD_CHARS: usize = 64;

quick_error! {
    /// Reason why a digest was ignored.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro does not accept doc comments on fields.
    pub enum Error {
        /// The head cannot be decoded.
        Head {
            display("head is malformed")
        }
        /// The lists after the head are those of no known build.
        Lists {
            display("lists after the head are malformed")
        }
    }
}

/// Which digests a router writes and reads.
///
/// A router of an older build reads the digests of a newer one up to where its own end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Head and lists without those of unreachable services and of leaving endpoints,
    /// which builds up to 4d2b44d wrote.
    ShortLists,
    /// Head and lists, which builds up to 1d5f05c wrote. All builds read them.
    #[default]
    Lists,
    /// Head and parts.
    Parts,
}

/// Numbers of the parts. The body of a number never changes; what is told in another
/// way gets a number of its own, and a number is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Part {
    /// Resources of endpoints that the sender uses.
    Usage = 1,
    /// Changes of endpoints that the sender has observed.
    Observed = 2,
    /// Endpoints that did not answer the sender.
    Dead = 3,
    /// Services whose endpoints the sender does not reach.
    Unreachable = 4,
    /// Endpoints that have said that they are leaving.
    LeavingEndpoints = 5,
    /// Contents of requests that may crash endpoints.
    Suspects = 6,
    /// Limits that endpoints name.
    Limits = 7,
    /// Addresses of other routers.
    Routers = 8,
    /// Commit from which the sender was built.
    Build = 9,
    /// The sender's use of the link between zones.
    Link = 10,
}

/// A decoded digest.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// What could be decoded; a list whose part is malformed is empty.
    pub digest: Digest,
    /// Numbers of the malformed parts.
    pub malformed: SmallVec<[u32; 2]>,
}

#[derive(Serialize, Deserialize)]
struct Head<'a> {
    node: &'a str,
    zone: &'a str,
    incarnation: u64,
    sequence: u64,
    sent_at_us: u64,
    echo_us: Option<u64>,
    leaving: bool,
    holds_placement_lease: bool,
    config: Option<entry::Config>,
    store_age: Option<Duration>,
    store_lost: bool,
    directory: Option<entry::Directory>,
}

/// The lists after the head; empty if parts take their place.
#[derive(Default, Serialize, Deserialize)]
struct Lists {
    usage: Vec<entry::Usage>,
    observed: Vec<entry::Observation>,
    dead: Vec<Incarnation>,
    unreachable: Vec<u64>,
    leaving_endpoints: Vec<Incarnation>,
    suspects: Vec<entry::Suspect>,
    limits: Vec<entry::Limit>,
    routers: Vec<SocketAddr>,
}

/// The lists after the head in [`Format::ShortLists`].
#[derive(Serialize, Deserialize)]
struct ShortLists {
    usage: Vec<entry::Usage>,
    observed: Vec<entry::Observation>,
    dead: Vec<Incarnation>,
    suspects: Vec<entry::Suspect>,
    limits: Vec<entry::Limit>,
    routers: Vec<SocketAddr>,
}

impl From<ShortLists> for Lists {
    fn from(short: ShortLists) -> Self {
        let ShortLists { usage, observed, dead, suspects, limits, routers } = short;
        Self { usage, observed, dead, suspects, limits, routers, ..Self::default() }
    }
}

impl From<&Digest> for Lists {
    fn from(digest: &Digest) -> Self {
        Self {
            usage: digest.usage.iter().map(entry::Usage::from).collect(),
            observed: digest.observed.iter().map(entry::Observation::from).collect(),
            dead: digest.dead.clone(),
            unreachable: digest.unreachable.clone(),
            leaving_endpoints: digest.leaving_endpoints.clone(),
            suspects: digest.suspects.iter().map(entry::Suspect::from).collect(),
            limits: digest.limits.iter().map(entry::Limit::from).collect(),
            routers: digest.peers.clone(),
        }
    }
}

impl<'a> From<&'a Digest> for Head<'a> {
    fn from(digest: &'a Digest) -> Self {
        Self {
            node: &digest.node,
            zone: &digest.zone,
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            sent_at_us: digest.sent_at.as_micros(),
            echo_us: digest.echo.map(Instant::as_micros),
            leaving: digest.leaving,
            holds_placement_lease: digest.holds_placement_lease,
            config: digest.config.map(entry::Config::from),
            store_age: digest.store_age,
            store_lost: digest.store_lost,
            directory: digest.directory.map(entry::Directory::from),
        }
    }
}

impl Head<'_> {
    /// The digest without its lists.
    fn to_digest(&self, format: Format) -> Digest {
        Digest {
            node: self.node.into(),
            zone: self.zone.into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            sent_at: Instant::from_micros(self.sent_at_us),
            echo: self.echo_us.map(Instant::from_micros),
            leaving: self.leaving,
            holds_placement_lease: self.holds_placement_lease,
            config: self.config.map(Into::into),
            store_age: self.store_age,
            store_lost: self.store_lost,
            directory: self.directory.map(Into::into),
            usage: Vec::new(),
            observed: Vec::new(),
            dead: Vec::new(),
            unreachable: Vec::new(),
            leaving_endpoints: Vec::new(),
            suspects: Vec::new(),
            limits: Vec::new(),
            link: None,
            peers: Vec::new(),
            build: None,
            format,
        }
    }
}

/// Encodes a digest for a router that reads `format`.
pub fn encode(digest: &Digest, format: Format) -> Vec<u8> {
    let mut bytes = to_bytes(&Head::from(digest));
    let lists = Lists::from(digest);
    match format {
        Format::Parts => {
            bytes.extend(to_bytes(&Lists::default()));
            let usage: Vec<_> = digest.usage.iter().map(entry::CompactUsage::from).collect();
            push_part(&mut bytes, Part::Usage, &usage);
            push_part(&mut bytes, Part::Observed, &lists.observed);
            push_part(&mut bytes, Part::Dead, &lists.dead);
            push_part(&mut bytes, Part::Unreachable, &lists.unreachable);
            push_part(&mut bytes, Part::LeavingEndpoints, &lists.leaving_endpoints);
            push_part(&mut bytes, Part::Suspects, &lists.suspects);
            push_part(&mut bytes, Part::Limits, &lists.limits);
            push_part(&mut bytes, Part::Routers, &lists.routers);
            if let Some(link) = &digest.link {
                push_body(&mut bytes, Part::Link, &to_bytes(&entry::Link::from(link)));
            }
        }
        Format::Lists => bytes.extend(to_bytes(&lists)),
        // Such a router would take the lists that it does not know for others.
        Format::ShortLists => {
            let Lists { usage, observed, dead, .. } = lists;
            bytes.extend(to_bytes(&Lists { usage, observed, dead, ..Lists::default() }));
        }
    }
    let build = digest.build.as_deref().unwrap_or_default();
    push_body(&mut bytes, Part::Build, build.as_bytes());
    bytes
}

fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("parts of a digest are serializable")
}

/// Appends a part; an empty list is left out.
fn push_part<T: Serialize>(bytes: &mut Vec<u8>, part: Part, list: &[T]) {
    if !list.is_empty() {
        push_body(bytes, part, &to_bytes(&list));
    }
}

fn push_body(bytes: &mut Vec<u8>, part: Part, body: &[u8]) {
    bytes.extend(to_bytes(&(part as u32, body)));
}

/// Decodes a digest of any build.
pub fn decode(bytes: &[u8]) -> Result<Received, Error> {
    let (head, rest) = postcard::take_from_bytes::<Head<'_>>(bytes).map_err(|_| Error::Head)?;
    let (lists, mut rest, format) = take_lists(rest)?;
    let mut received = Received { digest: head.to_digest(format), malformed: SmallVec::new() };
    received.apply_lists(lists);
    for _ in 0..MAX_PARTS {
        if rest.is_empty() {
            break;
        }
        let Ok(((number, body), after)) = postcard::take_from_bytes::<(u32, &[u8])>(rest) else {
            // Without its length the parts after it cannot be found either.
            received.malformed.push(0);
            break;
        };
        received.apply_part(number, body);
        rest = after;
    }
    Ok(received)
}

/// Takes the lists of the build that wrote them. Those of the oldest builds are recognised
/// by their end, since nothing followed them.
fn take_lists(bytes: &[u8]) -> Result<(Lists, &[u8], Format), Error> {
    let lists = postcard::take_from_bytes::<Lists>(bytes).ok();
    if let Some((lists, rest)) = lists {
        let format = if rest.is_empty() { Format::Lists } else { Format::Parts };
        return Ok((lists, rest, format));
    }
    match postcard::take_from_bytes::<ShortLists>(bytes) {
        Ok((short, [])) => Ok((short.into(), &[], Format::ShortLists)),
        Ok(_) | Err(_) => Err(Error::Lists),
    }
}

impl Received {
    fn apply_lists(&mut self, lists: Lists) {
        let digest = &mut self.digest;
        digest.usage = lists.usage.into_iter().map(Into::into).collect();
        digest.dead = lists.dead;
        digest.unreachable = lists.unreachable;
        digest.leaving_endpoints = lists.leaving_endpoints;
        digest.suspects = lists.suspects.into_iter().map(Into::into).collect();
        digest.peers = lists.routers;
        match checked(lists.observed) {
            Some(observed) => digest.observed = observed,
            None => self.malformed.push(Part::Observed as u32),
        }
        match checked(lists.limits) {
            Some(limits) => digest.limits = limits,
            None => self.malformed.push(Part::Limits as u32),
        }
    }

    /// Applies a part; one whose number is unknown is left to newer builds.
    fn apply_part(&mut self, number: u32, body: &[u8]) {
        let Ok(part) = Part::try_from(number) else { return };
        let digest = &mut self.digest;
        let is_applied = match part {
            Part::Usage => replace(&mut digest.usage, converted::<entry::CompactUsage, _>(body)),
            Part::Observed => {
                replace(&mut digest.observed, checked_list::<entry::Observation, _>(body))
            }
            Part::Dead => replace(&mut digest.dead, list(body)),
            Part::Unreachable => replace(&mut digest.unreachable, list(body)),
            Part::LeavingEndpoints => replace(&mut digest.leaving_endpoints, list(body)),
            Part::Suspects => replace(&mut digest.suspects, converted::<entry::Suspect, _>(body)),
            Part::Limits => replace(&mut digest.limits, checked_list::<entry::Limit, _>(body)),
            Part::Routers => replace(&mut digest.peers, list(body)),
            Part::Build => replace(&mut digest.build, build(body).map(Some)),
            Part::Link => replace(&mut digest.link, link(body).map(Some)),
        };
        if !is_applied {
            self.malformed.push(number);
        }
    }
}

impl TryFrom<u32> for Part {
    type Error = u32;

    /// Fails with the number if it is that of no known part.
    fn try_from(number: u32) -> Result<Self, u32> {
        let all = [
            Self::Usage,
            Self::Observed,
            Self::Dead,
            Self::Unreachable,
            Self::LeavingEndpoints,
            Self::Suspects,
            Self::Limits,
            Self::Routers,
            Self::Build,
            Self::Link,
        ];
        all.into_iter().find(|part| *part as u32 == number).ok_or(number)
    }
}

/// Sets a field to a decoded part; returns false if the part was malformed.
fn replace<T>(field: &mut T, decoded: Option<T>) -> bool {
    match decoded {
        Some(value) => {
            *field = value;
            true
        }
        None => false,
    }
}

fn list<T: DeserializeOwned>(body: &[u8]) -> Option<Vec<T>> {
    postcard::from_bytes(body).ok()
}

fn converted<E: DeserializeOwned + Into<T>, T>(body: &[u8]) -> Option<Vec<T>> {
    Some(list::<E>(body)?.into_iter().map(Into::into).collect())
}

fn checked_list<E: DeserializeOwned, T: TryFrom<E>>(body: &[u8]) -> Option<Vec<T>> {
    checked(list::<E>(body)?)
}

/// The entries of a list if all of them are valid.
fn checked<E, T: TryFrom<E>>(entries: Vec<E>) -> Option<Vec<T>> {
    entries.into_iter().map(|entry| T::try_from(entry).ok()).collect()
}

fn link(body: &[u8]) -> Option<LinkRecord> {
    postcard::from_bytes::<entry::Link>(body).ok().map(Into::into)
}

/// The commit from which the sender was built, as it appears in logs.
fn build(body: &[u8]) -> Option<Arc<str>> {
    let text = str::from_utf8(body).ok()?;
    let is_valid = text.len() <= MAX_BUILD_CHARS && text.chars().all(|c| c.is_ascii_graphic());
    is_valid.then(|| text.into())
}
