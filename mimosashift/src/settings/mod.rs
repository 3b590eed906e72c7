//! Settings of the daemon, from flags and environment variables.
//!
//! [`Raw`] holds the text of each setting; a flag takes precedence over its
//! environment variable. `TryFrom` converts it to [`Settings`] and reports all
//! invalid values together. `docs/SETTINGS.md` is generated from the same table.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;

use crate::resource::Name;

mod check;
mod table;

pub use table::{Raw, SETTINGS, Setting};

/// Length of a peer key, in bytes.
pub const KEY_BYTES: usize = 32;

quick_error! {
    /// Why a setting is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Problem {
        /// A required setting has no value.
        Missing { flag: &'static str, rule: &'static str } {
            display("--{} ({}) is not set, must be {}", flag, table::env_name(flag), rule)
        }
        /// The value is not allowed.
        Invalid { flag: &'static str, value: String, rule: &'static str } {
            display("--{} ({}) is {:?}, must be {}", flag, table::env_name(flag), value, rule)
        }
        /// The value of a secret setting is not allowed; the message omits it.
        InvalidSecret { flag: &'static str, rule: &'static str } {
            display("--{} ({}) is wrong, must be {}", flag, table::env_name(flag), rule)
        }
    }
}

/// All invalid settings, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub Vec<Problem>);

/// All settings, validated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name and location of this router.
    pub node: Node,
    /// The API for callers.
    pub caller: Caller,
    /// The API for operators.
    pub operator: Operator,
    /// Communication with other routers.
    pub peer: Peer,
    /// Platform services.
    pub platform: Platform,
    /// Logging.
    pub log: Log,
}

/// Name and location of this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name, unique among routers.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Maximum time to finish accepted requests at shutdown.
    pub drain: Duration,
}

/// The API for callers and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of requests in progress.
    pub max_concurrent: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum total size of queued requests, in bytes.
    pub queue_bytes: usize,
}

/// The API for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// SHA-256 digest of the token that may change resources before any team
    /// exists.
    pub bootstrap_digest: Option<Digest>,
}

/// Communication with other routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// UDP and TCP address at which peers reach this router.
    pub address: SocketAddr,
    /// Peers contacted at start; they report the other members.
    pub peers: Vec<SocketAddr>,
    /// Authentication keys: the first one signs messages, and all of them verify.
    pub keys: Vec<Key>,
    /// One-way latency to another failure domain.
    pub cross_domain_latency: Duration,
}

/// Access to the platform services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL, without a trailing slash.
    pub url: String,
}

/// How events are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of each line.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: slog::Level,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Terminal,
    /// One JSON object per line.
    Json,
}

/// A SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(pub [u8; 32]);

/// A key that authenticates messages between routers; `Debug` omits the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Identifies the key in messages.
    pub id: u8,
    /// The shared secret.
    pub secret: [u8; KEY_BYTES],
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for problem in &self.0 {
            write!(f, "{separator}{problem}")?;
            separator = "\n";
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
