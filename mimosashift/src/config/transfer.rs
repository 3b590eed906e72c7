//! Configuration passed between two routers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Error, Record, State, Store, Version};
use crate::resource::{Kind, Name, Resource, Snapshot, Spec};

/// Most bytes of records or resources in one reply, by estimate of their
/// JSON; one more entry may exceed it.
const REPLY_BYTES: usize = 64 * 1_024;

/// Bytes of a record or resource beside its specification, as an estimate.
const ENTRY_BYTES: usize = 256;

/// Recent states kept for transfers in progress.
const KEPT_STATES: usize = 16;

/// A request for configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// What the asking router has installed.
    pub have: Version,
    /// The snapshot in transfer and the last resource received of it.
    pub part: Option<SnapshotCursor>,
}

/// How far the transfer of a snapshot has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// Version of the snapshot.
    pub version: Version,
    /// Kind of the last resource received.
    pub kind: Kind,
    /// Name of the last resource received.
    pub name: Name,
}

/// The answer to a [`Request`], or records pushed.
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
    /// Whether more follow.
    pub more: bool,
}

/// Answers requests.
#[derive(Debug, Default)]
pub(super) struct Source {
    /// States installed of late, for transfers that began with them.
    recent: VecDeque<State>,
}

/// Puts the chunks of one snapshot together.
#[derive(Debug, Default)]
pub(super) struct Sink {
    version: Version,
    resources: Vec<Resource>,
}

impl Source {
    /// Keeps a state that has just been installed.
    pub(super) fn keep(&mut self, state: State) {
        self.recent.push_back(state);
        if self.recent.len() > KEPT_STATES {
            self.recent.pop_front();
        }
    }

    /// Answers with records where the log reaches back far enough, otherwise
    /// with a part of a snapshot.
    pub(super) fn answer(&self, store: &Store, request: &Request) -> Reply {
        if request.part.is_none()
            && let Ok(records) = store.watch(request.have.revision)
        {
            return Reply::Records(bounded(records, record_bytes).0);
        }
        Reply::Chunk(self.chunk(store, request.part.as_ref()))
    }

    fn chunk(&self, store: &Store, part: Option<&SnapshotCursor>) -> Chunk {
        let kept = part.and_then(|part| {
            let state = self.recent.iter().find(|state| state.version() == part.version)?;
            Some((state, part))
        });
        // A snapshot no longer kept is sent from its start at the new version.
        let state = kept.map_or(store.state(), |(state, _)| state);
        let sent = |resource: &&Resource| {
            kept.is_some_and(|(_, part)| {
                (resource.spec.kind(), &resource.name) <= (part.kind, &part.name)
            })
        };
        let rest = state.snapshot().iter().skip_while(sent);
        let (resources, more) = bounded(rest, |resource| spec_bytes(&resource.spec));
        Chunk { version: state.version(), resources, more }
    }
}

impl Sink {
    /// Takes in a chunk; returns the part to ask for next, or the state when
    /// the snapshot is whole.
    pub(super) fn take_in(&mut self, chunk: Chunk) -> Result<Received, Error> {
        if self.version != chunk.version {
            self.resources.clear();
            self.version = chunk.version;
        }
        self.resources.extend(chunk.resources);
        if let Some(last) = self.resources.last().filter(|_| chunk.more) {
            let (kind, name) = (last.spec.kind(), last.name.clone());
            return Ok(Received::Partial(SnapshotCursor { version: self.version, kind, name }));
        }
        let resources = std::mem::take(&mut self.resources);
        let snapshot = Snapshot::new(self.version.revision, resources);
        State::new(self.version, snapshot).map(Received::Complete)
    }
}

/// What a chunk led to.
pub(super) enum Received {
    /// More is to be asked for.
    Partial(SnapshotCursor),
    /// The snapshot is whole and adds up.
    Complete(State),
}

/// Entries up to the bound of a reply, and whether more follow.
fn bounded<'a, T: Clone + 'a>(
    entries: impl Iterator<Item = &'a T>,
    size: impl Fn(&T) -> usize,
) -> (Vec<T>, bool) {
    let mut taken = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        if bytes >= REPLY_BYTES {
            return (taken, true);
        }
        bytes += ENTRY_BYTES + size(entry);
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
