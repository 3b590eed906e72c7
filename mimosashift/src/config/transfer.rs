//! Transfer of the configuration between two routers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Error, Record, State, Store, Version};
use crate::resource::{Kind, Name, Resource, Snapshot, Spec};

/// Estimated JSON size at which no more records or resources are added to a
/// reply; the last entry may exceed it.
const REPLY_TARGET_BYTES: usize = 64 * 1_024;

/// Estimated JSON size of a record or resource without its specification.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Number of recent states retained for snapshot transfers in progress.
const MAX_RETAINED_STATES: usize = 16;

/// A request for configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The version that the requesting router has installed.
    pub have: Version,
    /// Position in the snapshot being transferred, `None` at the start.
    pub part: Option<SnapshotCursor>,
}

/// Position in the transfer of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// Version of the snapshot being transferred.
    pub version: Version,
    /// Kind of the last resource received.
    pub kind: Kind,
    /// Name of the last resource received.
    pub name: Name,
}

/// The answer to a [`Request`], or pushed records.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Records in order.
    Records(Vec<Record>),
    /// Part of a snapshot.
    Chunk(Chunk),
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Version of the whole snapshot.
    pub version: Version,
    /// Resources in order of kind and name.
    pub resources: Vec<Resource>,
    /// Whether more chunks follow.
    pub more: bool,
}

/// Answers requests for configuration.
#[derive(Debug, Default)]
pub(super) struct ReplyBuilder {
    /// Recently installed states, for transfers that started with them.
    recent: VecDeque<State>,
}

/// Assembles the chunks of one snapshot.
#[derive(Debug, Default)]
pub(super) struct SnapshotReceiver {
    version: Version,
    resources: Vec<Resource>,
}

impl ReplyBuilder {
    /// Retains a state that has just been installed.
    pub(super) fn retain(&mut self, state: State) {
        self.recent.push_back(state);
        if self.recent.len() > MAX_RETAINED_STATES {
            self.recent.pop_front();
        }
    }

    /// Answers with records if the log reaches back far enough, otherwise with
    /// a chunk of a snapshot.
    pub(super) fn answer(&self, store: &Store, request: &Request) -> Reply {
        if request.part.is_none()
            && let Ok(records) = store.watch(request.have.revision)
        {
            return Reply::Records(take_until_full(records, record_bytes).0);
        }
        Reply::Chunk(self.chunk(store, request.part.as_ref()))
    }

    fn chunk(&self, store: &Store, cursor: Option<&SnapshotCursor>) -> Chunk {
        let retained = cursor.and_then(|cursor| {
            let state = self.recent.iter().find(|state| state.version() == cursor.version)?;
            Some((state, cursor))
        });
        // If the snapshot is no longer retained, the transfer restarts with the
        // current version.
        let state = retained.map_or(store.state(), |(state, _)| state);
        let sent = |resource: &&Resource| {
            retained.is_some_and(|(_, cursor)| {
                (resource.spec.kind(), &resource.name) <= (cursor.kind, &cursor.name)
            })
        };
        let rest = state.snapshot().iter().skip_while(sent);
        let (resources, more) = take_until_full(rest, |resource| spec_bytes(&resource.spec));
        Chunk { version: state.version(), resources, more }
    }
}

impl SnapshotReceiver {
    /// Adds a chunk. Returns the position from which to request the next chunk,
    /// or the state once the snapshot is complete.
    pub(super) fn add_chunk(&mut self, chunk: Chunk) -> Result<ReceiveProgress, Error> {
        if self.version != chunk.version {
            self.resources.clear();
            self.version = chunk.version;
        }
        self.resources.extend(chunk.resources);
        if let Some(last) = self.resources.last().filter(|_| chunk.more) {
            let (kind, name) = (last.spec.kind(), last.name.clone());
            return Ok(ReceiveProgress::Partial(SnapshotCursor {
                version: self.version,
                kind,
                name,
            }));
        }
        let resources = std::mem::take(&mut self.resources);
        let snapshot = Snapshot::new(self.version.revision, resources);
        State::new(self.version, snapshot).map(ReceiveProgress::Complete)
    }
}

/// Progress of a snapshot transfer after a chunk.
pub(super) enum ReceiveProgress {
    /// More chunks must be requested from this position.
    Partial(SnapshotCursor),
    /// The snapshot is complete and matches its version.
    Complete(State),
}

/// Collects entries up to the size limit of a reply; the flag says whether more
/// entries follow.
fn take_until_full<'a, T: Clone + 'a>(
    entries: impl Iterator<Item = &'a T>,
    size: impl Fn(&T) -> usize,
) -> (Vec<T>, bool) {
    let mut taken = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        if bytes >= REPLY_TARGET_BYTES {
            return (taken, true);
        }
        bytes += ENTRY_OVERHEAD_BYTES + size(entry);
        taken.push(entry.clone());
    }
    (taken, false)
}

fn record_bytes(record: &Record) -> usize {
    let before = record.before.as_ref().map_or(0, |before| before.to_string().len());
    before + record.after.as_ref().map_or(0, spec_bytes)
}

fn spec_bytes(spec: &Spec) -> usize {
    spec.to_json().to_string().len()
}
