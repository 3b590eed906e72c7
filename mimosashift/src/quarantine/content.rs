//! What requests may have in common that crashes endpoints.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

use smallvec::SmallVec;

use crate::exchange::PromptPart;

/// Content that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Content {
    /// A part of their prompts.
    Part(PromptPart),
    /// All of it: they are repeats of one request.
    Request(Fingerprint),
}

/// The contents of one request.
pub type Contents = SmallVec<[Content; 4]>;

/// Hash of a request's caller, method, target and body; the same for repeats of a
/// request, which have ids of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request to `path` at `host`; the same on every router.
    pub fn new(caller: Option<&str>, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        (caller, method, host.to_ascii_lowercase(), path, body).hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl From<u64> for Fingerprint {
    /// The fingerprint with this hash.
    fn from(hash: u64) -> Self {
        Self(hash)
    }
}

impl From<Fingerprint> for u64 {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.0
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part}"),
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
