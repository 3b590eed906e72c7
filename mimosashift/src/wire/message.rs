//! Messages between routers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Error;
use crate::config::transfer::{Chunk, Reply, Request};
use crate::config::{Record, Version};
use crate::resource::{Name, Resource};

/// Most bytes of payloads in one heartbeat.
pub const MAX_PAYLOAD_BYTES: usize = 512;

/// What one router tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// The sender asks for configuration.
    Request(Request),
    /// Configuration asked for or pushed.
    Reply(Bundle),
    /// Small reports that are due more often than heartbeats.
    Reports(Vec<Payload>),
}

/// What a router tells about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the router.
    pub node: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Address on which it hears.
    pub address: SocketAddr,
    /// Start of the process in microseconds of Unix time, made unique.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Configuration installed.
    pub version: Version,
    /// Milliseconds since it last read the table's head.
    pub polled_ms_ago: Option<u32>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Addresses of other routers, a few at random.
    pub peers: SmallVec<[SocketAddr; 2]>,
    /// What the sender knows of failure domains.
    pub domains: Vec<Summary>,
    /// Small reports of other parts.
    pub payloads: Vec<Payload>,
}

/// What the live routers of a failure domain have installed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The domain.
    pub domain: Name,
    /// Number of live routers.
    pub live: u16,
    /// Lowest revision that one of them has installed.
    pub lowest: u64,
    /// Highest revision that one of them has installed.
    pub highest: u64,
    /// Number of routers that have installed `highest`.
    pub at_highest: u16,
    /// Milliseconds since the summary was made.
    pub ms_ago: u32,
}

/// A small report of another part, opaque here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Which part reports.
    pub tag: u8,
    /// Its report.
    pub bytes: Vec<u8>,
}

/// A [`Reply`] as it is sent: records and resources travel as JSON, as they
/// stand in the table, so that routers of two versions understand each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Bundle {
    /// Records in order.
    Records(Vec<String>),
    /// Part of a snapshot.
    Chunk {
        /// Version of the whole snapshot.
        version: Version,
        /// Resources in order.
        resources: Vec<String>,
        /// Whether more follow.
        more: bool,
    },
}

impl From<&Reply> for Bundle {
    fn from(reply: &Reply) -> Self {
        match reply {
            Reply::Records(records) => Self::Records(records.iter().map(encode).collect()),
            Reply::Chunk(chunk) => Self::Chunk {
                version: chunk.version,
                resources: chunk.resources.iter().map(encode).collect(),
                more: chunk.more,
            },
        }
    }
}

impl TryFrom<&Bundle> for Reply {
    type Error = Error;

    fn try_from(bundle: &Bundle) -> Result<Self, Error> {
        Ok(match bundle {
            Bundle::Records(records) => Self::Records(decode::<Record>(records)?),
            Bundle::Chunk { version, resources, more } => {
                let resources = decode::<Resource>(resources)?;
                Self::Chunk(Chunk { version: *version, resources, more: *more })
            }
        })
    }
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("records and resources have only string keys")
}

fn decode<T: serde::de::DeserializeOwned>(texts: &[String]) -> Result<Vec<T>, Error> {
    let values = texts.iter().map(|text| serde_json::from_str(text));
    values.collect::<Result<_, _>>().map_err(|_| Error::Malformed)
}
