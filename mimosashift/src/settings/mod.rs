//! Settings of the daemon, from flags and environment variables.
//!
//! [`Raw`] holds the text of each setting, a flag going before its variable;
//! `TryFrom` turns it into [`Settings`] and reports all wrong values at once.
//! `docs/SETTINGS.md` is printed from the same table.

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
    /// Why one setting was not accepted.
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
        /// The value of a secret setting is not allowed; it is not repeated.
        Secret { flag: &'static str, rule: &'static str } {
            display("--{} ({}) is wrong, must be {}", flag, table::env_name(flag), rule)
        }
    }
}

/// Every setting that was not accepted, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub Vec<Problem>);

/// All settings, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who and where this router is.
    pub node: Node,
    /// The callers' surface.
    pub caller: Caller,
    /// The operators' surface.
    pub operator: Operator,
    /// Other routers.
    pub peer: Peer,
    /// The platform.
    pub platform: Platform,
    /// Logs.
    pub log: Log,
}

/// Who and where this router is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name, unique among routers.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Longest time to finish accepted requests at shutdown.
    pub drain: Duration,
}

/// The callers' surface and its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Most requests in progress.
    pub max_concurrent: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Most bytes of queued requests.
    pub queue_bytes: usize,
}

/// The operators' surface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// SHA-256 digest of a token that may change resources before any team
    /// exists.
    pub bootstrap_digest: Option<Digest>,
}

/// Other routers and how to reach them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address for UDP and TCP, by which peers reach this router.
    pub address: SocketAddr,
    /// Peers to greet first; the rest are learnt from them.
    pub peers: Vec<SocketAddr>,
    /// Authentication keys: the first signs, all are accepted.
    pub keys: Vec<Key>,
    /// One-way latency to another failure domain.
    pub cross_domain_latency: Duration,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL, without a slash at the end.
    pub url: String,
}

/// How events are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Form of each line.
    pub form: Form,
    /// Least severe level that is logged.
    pub level: slog::Level,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Text for people.
    Terminal,
    /// One JSON object a line.
    Json,
}

/// A SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(pub [u8; 32]);

/// A key that authenticates messages between routers; never displayed.
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
