//! Entries of a digest as they are encoded.
//!
//! They stay as they are when the types that they stand for change.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::exchange::{Malformed, PromptPart, RequestRate};
use crate::fleet::{self, Incarnation, LimitRecord, LinkRecord};
use crate::peer;
use crate::quarantine::{self, Fingerprint};
use crate::resource::{self, Layers};

/// Unit of usage in parts, tokens x layers: far below the memory of any engine.
const USAGE_UNIT: f32 = 64.0;

/// Unit of the use of the link, bytes per second: far below what one request sends.
const LINK_UNIT: f32 = 65_536.0;

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Config {
    revision: u64,
    age: Option<Duration>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Directory {
    fingerprint: u64,
    age: Duration,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Usage {
    endpoint: u64,
    cache: f32,
    prefill: f32,
    requests: u32,
}

/// Usage in a part, in little more than half of the bytes.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct CompactUsage {
    /// The key in little-endian order, since a hash gains nothing from a variable length.
    endpoint: [u8; 8],
    /// In units of [`USAGE_UNIT`], rounded up.
    cache: u32,
    /// In the same units.
    prefill: u32,
    requests: u32,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Observation {
    endpoint: u64,
    incarnation: u64,
    layers: Option<(u16, u16)>,
    pace: f32,
    age: Duration,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum Content {
    Part { model: u64, id: u64 },
    Request(u64),
}

#[derive(Clone, Serialize, Deserialize)]
pub(super) struct Suspect {
    content: Content,
    crashes: Vec<(Incarnation, Duration)>,
    success_age: Option<Duration>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Limit {
    endpoint: Incarnation,
    per_second: Option<f64>,
    age: Duration,
    demand: f32,
    sent: f32,
}

/// Use of the link, in units of [`LINK_UNIT`], rounded up.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(super) struct Link {
    used: u32,
    unmet: u32,
}

impl From<peer::Config> for Config {
    fn from(config: peer::Config) -> Self {
        Self { revision: config.revision, age: config.age }
    }
}

impl From<Config> for peer::Config {
    fn from(config: Config) -> Self {
        Self { revision: config.revision, age: config.age }
    }
}

impl From<peer::Directory> for Directory {
    fn from(directory: peer::Directory) -> Self {
        Self { fingerprint: directory.fingerprint, age: directory.age }
    }
}

impl From<Directory> for peer::Directory {
    fn from(directory: Directory) -> Self {
        Self { fingerprint: directory.fingerprint, age: directory.age }
    }
}

impl From<&(u64, fleet::Usage)> for Usage {
    fn from((endpoint, usage): &(u64, fleet::Usage)) -> Self {
        let fleet::Usage { cache, prefill, requests } = *usage;
        Self { endpoint: *endpoint, cache, prefill, requests }
    }
}

impl From<Usage> for (u64, fleet::Usage) {
    fn from(usage: Usage) -> Self {
        let Usage { endpoint, cache, prefill, requests } = usage;
        (endpoint, fleet::Usage { cache, prefill, requests })
    }
}

impl From<&(u64, fleet::Usage)> for CompactUsage {
    fn from((endpoint, usage): &(u64, fleet::Usage)) -> Self {
        let fleet::Usage { cache, prefill, requests } = *usage;
        // The conversion saturates.
        let units = |amount: f32| (amount / USAGE_UNIT).ceil() as u32;
        let endpoint = endpoint.to_le_bytes();
        Self { endpoint, cache: units(cache), prefill: units(prefill), requests }
    }
}

impl From<CompactUsage> for (u64, fleet::Usage) {
    fn from(usage: CompactUsage) -> Self {
        let CompactUsage { endpoint, cache, prefill, requests } = usage;
        let amount = |units: u32| units as f32 * USAGE_UNIT;
        let usage = fleet::Usage { cache: amount(cache), prefill: amount(prefill), requests };
        (u64::from_le_bytes(endpoint), usage)
    }
}

impl From<&fleet::Observation> for Observation {
    fn from(observation: &fleet::Observation) -> Self {
        let fleet::Observation { endpoint, incarnation, layers, pace, age } = *observation;
        let layers = layers.map(|layers| (layers.start(), layers.end()));
        Self { endpoint, incarnation, layers, pace, age }
    }
}

impl TryFrom<Observation> for fleet::Observation {
    type Error = resource::Error;

    fn try_from(observation: Observation) -> Result<Self, resource::Error> {
        let Observation { endpoint, incarnation, layers, pace, age } = observation;
        let layers = layers.map(Layers::try_from).transpose()?;
        Ok(Self { endpoint, incarnation, layers, pace, age })
    }
}

impl From<quarantine::Content> for Content {
    fn from(content: quarantine::Content) -> Self {
        match content {
            quarantine::Content::Part(PromptPart { model, id }) => Self::Part { model, id },
            quarantine::Content::Request(fingerprint) => Self::Request(fingerprint.into()),
        }
    }
}

impl From<Content> for quarantine::Content {
    fn from(content: Content) -> Self {
        match content {
            Content::Part { model, id } => Self::Part(PromptPart { model, id }),
            Content::Request(hash) => Self::Request(Fingerprint::from(hash)),
        }
    }
}

impl From<&quarantine::Record> for Suspect {
    fn from(record: &quarantine::Record) -> Self {
        let quarantine::Record { content, crashes, success_age } = record.clone();
        Self { content: content.into(), crashes, success_age }
    }
}

impl From<Suspect> for quarantine::Record {
    fn from(suspect: Suspect) -> Self {
        let Suspect { content, crashes, success_age } = suspect;
        Self { content: content.into(), crashes, success_age }
    }
}

impl From<&LimitRecord> for Limit {
    fn from(record: &LimitRecord) -> Self {
        let LimitRecord { endpoint, rate, age, demand, sent } = *record;
        Self { endpoint, per_second: rate.map(RequestRate::per_second), age, demand, sent }
    }
}

impl TryFrom<Limit> for LimitRecord {
    type Error = Malformed;

    fn try_from(limit: Limit) -> Result<Self, Malformed> {
        let Limit { endpoint, per_second, age, demand, sent } = limit;
        let rate = per_second.map(RequestRate::try_from).transpose()?;
        Ok(Self { endpoint, rate, age, demand, sent })
    }
}

impl From<&LinkRecord> for Link {
    fn from(record: &LinkRecord) -> Self {
        // The conversion saturates.
        let units = |rate: f32| (rate / LINK_UNIT).ceil() as u32;
        Self { used: units(record.used), unmet: units(record.unmet) }
    }
}

impl From<Link> for LinkRecord {
    fn from(link: Link) -> Self {
        let rate = |units: u32| units as f32 * LINK_UNIT;
        Self { used: rate(link.used), unmet: rate(link.unmet) }
    }
}
