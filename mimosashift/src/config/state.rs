//! A snapshot with the version that identifies it and its history.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Error, Record};
use crate::resource::{Kind, Name, Snapshot};

/// Identifies a configuration by its revision and its history.
///
/// Two routers with equal revisions but different versions have installed
/// different histories, which happens only after the table was restored from a
/// backup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number of accepted changes.
    pub revision: u64,
    /// Hash of the identifiers of all changes, in order.
    pub lineage: u64,
    /// Wrapping sum over all resources of a hash of kind, name and revision. It
    /// shows whether a set of resources is the complete set of this version.
    pub checksum: u64,
}

/// The configuration at one version; clones share unchanged data.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    version: Version,
    snapshot: Snapshot,
}

impl State {
    /// Combines a snapshot with the version that it should have.
    ///
    /// Fails if the resources are not the complete set of that version.
    pub fn new(version: Version, snapshot: Snapshot) -> Result<Self, Error> {
        let checksum = snapshot.iter().fold(0_u64, |sum, r| {
            sum.wrapping_add(resource_hash(r.spec.kind(), &r.name, r.revision))
        });
        if snapshot.revision() != version.revision || checksum != version.checksum {
            return Err(Error::Incomplete(version.revision));
        }
        Ok(Self { version, snapshot })
    }

    /// The version that identifies this state.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// The resources.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns this state with one change applied.
    ///
    /// Fails if the record is not the successor of this state or belongs to a
    /// different history.
    pub fn apply(&self, record: &Record) -> Result<Self, Error> {
        let version = self.version_after(record);
        if record.revision != version.revision {
            return Err(Error::Gap { installed: self.version.revision, next: record.revision });
        }
        if record.lineage != version.lineage {
            return Err(Error::Diverged(record.revision));
        }
        Ok(Self { version, snapshot: record.apply(&self.snapshot) })
    }

    /// The version after `record` is applied as the next change.
    pub(super) fn version_after(&self, record: &Record) -> Version {
        let revision = self.version.revision + 1;
        let (kind, name) = (record.kind, &record.name);
        let old =
            self.snapshot.get(kind, name).map_or(0, |r| resource_hash(kind, name, r.revision));
        let new = record.after.as_ref().map_or(0, |_| resource_hash(kind, name, revision));
        Version {
            revision,
            lineage: lineage_after(self.version.lineage, record.id.0),
            checksum: self.version.checksum.wrapping_sub(old).wrapping_add(new),
        }
    }
}

fn lineage_after(lineage: u64, id: u128) -> u64 {
    let hash = Sha256::new().chain_update(lineage.to_le_bytes()).chain_update(id.to_le_bytes());
    first_u64(hash)
}

fn resource_hash(kind: Kind, name: &Name, revision: u64) -> u64 {
    let hash = Sha256::new()
        .chain_update(kind.as_str())
        .chain_update("/")
        .chain_update(name.as_str())
        .chain_update("@")
        .chain_update(revision.to_le_bytes());
    first_u64(hash)
}

fn first_u64(hash: Sha256) -> u64 {
    let bytes = hash.finalize();
    let first = bytes.first_chunk().expect("a SHA-256 digest has more than 8 bytes");
    u64::from_le_bytes(*first)
}
