//! Messages between routers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::Error;
use crate::config::transfer::{Chunk, Reply, Request};
use crate::config::{Record, Version};
use crate::resource::{Name, Resource};

/// Maximum size of the payloads in one heartbeat.
pub const MAX_PAYLOAD_BYTES: usize = 512;

/// Message from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Announces that the sender is alive.
    Heartbeat(Heartbeat),
    /// Requests configuration.
    Request(Request),
    /// Configuration that was requested or is pushed.
    Reply(EncodedReply),
    /// Small reports that are sent more often than heartbeats.
    Reports(Vec<Payload>),
}

/// State that a router announces about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the router.
    pub node: Name,
    /// Failure domain of the router.
    pub domain: Name,
    /// Address on which it receives heartbeats.
    pub address: SocketAddr,
    /// Incarnation number of the process, derived from its start time.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Version of the installed configuration.
    pub version: Version,
    /// Milliseconds since the router last polled the head of the configuration
    /// table.
    pub polled_ms_ago: Option<u32>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Addresses of a few randomly chosen routers.
    pub peers: SmallVec<[SocketAddr; 2]>,
    /// Summaries of failure domains known to the sender.
    pub domains: Vec<DomainSummary>,
    /// Small reports of other modules.
    pub payloads: Vec<Payload>,
}

/// Configuration revisions that the live routers of a failure domain have
/// installed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// Name of the domain.
    pub domain: Name,
    /// Number of live routers.
    pub live: u16,
    /// Lowest revision installed on any of them.
    pub lowest: u64,
    /// Highest revision installed on any of them.
    pub highest: u64,
    /// Number of routers that have installed `highest`.
    pub at_highest: u16,
    /// Milliseconds since the summary was created.
    pub age_ms: u32,
}

/// Small report of another module, opaque to membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Identifies the reporting module.
    pub tag: u8,
    /// Encoded report.
    pub bytes: Vec<u8>,
}

/// Wire form of a [`Reply`]. Records and resources are encoded as JSON, as in
/// the table, so that routers of two versions can exchange them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EncodedReply {
    /// Records in order.
    Records(Vec<String>),
    /// Chunk of a snapshot.
    Chunk {
        /// Version of the whole snapshot.
        version: Version,
        /// Resources in order.
        resources: Vec<String>,
        /// Whether more follow.
        more: bool,
    },
}

impl From<&Reply> for EncodedReply {
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

impl TryFrom<&EncodedReply> for Reply {
    type Error = Error;

    fn try_from(encoded: &EncodedReply) -> Result<Self, Error> {
        Ok(match encoded {
            EncodedReply::Records(records) => Self::Records(decode::<Record>(records)?),
            EncodedReply::Chunk { version, resources, more } => {
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
