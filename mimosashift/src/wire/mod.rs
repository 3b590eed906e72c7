//! Wire format of frames between routers, with authentication and size limits.
//!
//! A frame is a version byte, a key id, a postcard body and a truncated
//! HMAC-SHA-256 tag over all of these. See `docs/design/membership.md`.

use hmac::{Hmac, KeyInit, Mac};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::resource::Name;

pub mod message;
pub mod replay;

pub use message::Message;
pub use replay::{ReplayFilter, ReplayWindow};

/// Version of the wire format.
const VERSION: u8 = 1;

/// Size of the truncated authentication tag.
const TAG_BYTES: usize = 16;

/// Size of the header: version and key id.
const HEADER_BYTES: usize = 2;

/// Maximum size of a datagram, below the usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum size of a frame on a stream.
pub const MAX_STREAM_BYTES: usize = 256 * 1_024;

/// Minimum size of a secret.
pub const MIN_SECRET_BYTES: usize = 16;

quick_error! {
    /// Reason why a frame was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro does not accept doc comments on fields.
    pub enum Error {
        /// The frame exceeds the size limit of its transport.
        TooLong { bytes: usize, limit: usize } {
            display("frame of {} bytes exceeds the limit of {} bytes", bytes, limit)
        }
        /// The frame is too short to hold header and tag.
        Truncated {
            display("frame is truncated")
        }
        /// The version of the wire format is not supported.
        Version(found: u8) {
            display("frame has version {}, expected {}", found, VERSION)
        }
        /// Neither the current nor the previous key has this id.
        Key(id: u8) {
            display("frame is signed with unknown key {}", id)
        }
        /// The authentication tag does not match.
        Forged {
            display("frame authentication failed")
        }
        /// The body cannot be decoded.
        Malformed {
            display("frame body is malformed")
        }
        /// A secret is too short.
        Secret { bytes: usize } {
            display("secret has {} bytes, at least {} are needed", bytes, MIN_SECRET_BYTES)
        }
    }
}

/// Message with the fields that protect it against replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Name of the sending router.
    pub sender: Name,
    /// Incarnation number of the sending process.
    pub incarnation: u64,
    /// Sequence number of the frame within the incarnation, starting at 1.
    pub sequence: u64,
    /// The message.
    pub message: Message,
}

/// Key shared by all routers.
#[derive(Clone)]
pub struct Key {
    id: u8,
    secret: Vec<u8>,
}

/// Keys in use. Frames are signed with the current key; the previous one is
/// still accepted while a new key is rolled out.
#[derive(Clone, Debug)]
pub struct KeyRing {
    current: Key,
    previous: Option<Key>,
}

impl Key {
    /// Creates a key; its id must be the same on all routers.
    pub fn new(id: u8, secret: impl Into<Vec<u8>>) -> Result<Self, Error> {
        let secret = secret.into();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(Error::Secret { bytes: secret.len() });
        }
        Ok(Self { id, secret })
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        mac.expect("HMAC accepts keys of any length").chain_update(bytes)
    }
}

impl KeyRing {
    /// Creates a key ring that signs with `current` and accepts both keys.
    pub const fn new(current: Key, previous: Option<Key>) -> Self {
        Self { current, previous }
    }

    /// Encodes and signs a frame of at most `limit` bytes.
    pub fn seal(&self, frame: &Frame, limit: usize) -> Result<Vec<u8>, Error> {
        let header = vec![VERSION, self.current.id];
        let mut bytes = postcard::to_extend(frame, header).map_err(|_| Error::Malformed)?;
        let tag = self.current.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        check_length(&bytes, limit)?;
        Ok(bytes)
    }

    /// Authenticates and decodes a frame of at most `limit` bytes.
    ///
    /// The caller must check the sequence number against a [`ReplayWindow`].
    pub fn open(&self, bytes: &[u8], limit: usize) -> Result<Frame, Error> {
        check_length(bytes, limit)?;
        let end = bytes.len().checked_sub(TAG_BYTES).ok_or(Error::Truncated)?;
        let (signed, tag) = bytes.split_at(end);
        let body = signed.get(HEADER_BYTES..).ok_or(Error::Truncated)?;
        if signed[0] != VERSION {
            return Err(Error::Version(signed[0]));
        }
        let key = self.key(signed[1])?;
        key.mac(signed).verify_truncated_left(tag).map_err(|_| Error::Forged)?;
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(Error::Malformed),
        }
    }

    fn key(&self, id: u8) -> Result<&Key, Error> {
        let keys = std::iter::once(&self.current).chain(&self.previous);
        keys.into_iter().find(|key| key.id == id).ok_or(Error::Key(id))
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

fn check_length(bytes: &[u8], limit: usize) -> Result<(), Error> {
    if bytes.len() > limit {
        return Err(Error::TooLong { bytes: bytes.len(), limit });
    }
    Ok(())
}
