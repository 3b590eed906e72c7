//! Frames between routers: encoded, authenticated and bounded.
//!
//! A frame is a version byte, a key id, a postcard body and a truncated
//! HMAC-SHA-256 over all of it. See `docs/design/membership.md`.

use hmac::{Hmac, KeyInit, Mac};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::resource::Name;

pub mod message;
pub mod replay;

pub use message::Message;
pub use replay::{Seen, Window};

/// Version of the encoding.
const VERSION: u8 = 1;

/// Bytes of the truncated authentication code.
const CODE_BYTES: usize = 16;

/// Bytes before the body: version and key id.
const HEADER_BYTES: usize = 2;

/// Most bytes of a datagram, below the usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Most bytes of a frame on a stream.
pub const MAX_STREAM_BYTES: usize = 256 * 1_024;

/// Least bytes of a secret.
pub const MIN_SECRET_BYTES: usize = 16;

quick_error! {
    /// Why a frame was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The frame exceeds the bound of its transport.
        TooLong { bytes: usize, limit: usize } {
            display("frame has {} bytes, at most {} are allowed", bytes, limit)
        }
        /// The frame ends before its code.
        Truncated {
            display("frame is too short")
        }
        /// The encoding is not known.
        Version(found: u8) {
            display("frame has version {}, expected {}", found, VERSION)
        }
        /// Neither the current nor the previous key has this id.
        Key(id: u8) {
            display("frame is signed with unknown key {}", id)
        }
        /// The code does not match.
        Forged {
            display("frame fails its authentication")
        }
        /// The body is not a frame.
        Malformed {
            display("frame body is malformed")
        }
        /// A secret is too short.
        Secret { bytes: usize } {
            display("secret has {} bytes, at least {} are needed", bytes, MIN_SECRET_BYTES)
        }
    }
}

/// A message with what its receiver needs against replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Name of the sending router.
    pub sender: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Number of the frame within the incarnation, rising from 1.
    pub sequence: u64,
    /// The message.
    pub message: Message,
}

/// A secret shared by all routers.
#[derive(Clone)]
pub struct Key {
    id: u8,
    secret: Vec<u8>,
}

/// The keys in use: frames are signed with the current one, and the previous
/// one is accepted while a new key is rolled out.
#[derive(Clone, Debug)]
pub struct Ring {
    current: Key,
    previous: Option<Key>,
}

impl Key {
    /// A key with the id under which all routers know it.
    pub fn new(id: u8, secret: impl Into<Vec<u8>>) -> Result<Self, Error> {
        let secret = secret.into();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(Error::Secret { bytes: secret.len() });
        }
        Ok(Self { id, secret })
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        mac.expect("HMAC takes keys of any length").chain_update(bytes)
    }
}

impl Ring {
    /// Signs with `current` and accepts both.
    pub const fn new(current: Key, previous: Option<Key>) -> Self {
        Self { current, previous }
    }

    /// Encodes and signs a frame of at most `limit` bytes.
    pub fn seal(&self, frame: &Frame, limit: usize) -> Result<Vec<u8>, Error> {
        let header = vec![VERSION, self.current.id];
        let mut bytes = postcard::to_extend(frame, header).map_err(|_| Error::Malformed)?;
        let code = self.current.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..CODE_BYTES]);
        within(&bytes, limit)?;
        Ok(bytes)
    }

    /// Checks and decodes a frame of at most `limit` bytes.
    ///
    /// The caller still has to check the sequence against a [`Window`].
    pub fn open(&self, bytes: &[u8], limit: usize) -> Result<Frame, Error> {
        within(bytes, limit)?;
        let end = bytes.len().checked_sub(CODE_BYTES).ok_or(Error::Truncated)?;
        let (signed, code) = bytes.split_at(end);
        let body = signed.get(HEADER_BYTES..).ok_or(Error::Truncated)?;
        if signed[0] != VERSION {
            return Err(Error::Version(signed[0]));
        }
        let key = self.key(signed[1])?;
        key.mac(signed).verify_truncated_left(code).map_err(|_| Error::Forged)?;
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

fn within(bytes: &[u8], limit: usize) -> Result<(), Error> {
    if bytes.len() > limit {
        return Err(Error::TooLong { bytes: bytes.len(), limit });
    }
    Ok(())
}
