//! Configuration: commits changes, loads them and replicates them to every
//! router.
//!
//! A change is one transaction on the table of the platform. Every router
//! installs revisions in increasing order and never rolls back; the rationale
//! is in `docs/design/configuration.md`.

use quick_error::quick_error;

use crate::platform::Refusal;
use crate::resource::{self, Kind, Name};

pub mod audit;
pub mod call;
pub mod catchup;
pub mod change;
pub mod load;
pub mod phase;
pub mod poll;
pub mod record;
pub mod replication;
mod row;
pub mod state;
pub mod store;
pub mod transfer;

pub use change::{Change, ChangeId, Committed, Precondition};
pub use record::{AuditEntry, Record};
pub use replication::Replicator;
pub use state::{State, Version};
pub use store::Store;

quick_error! {
    /// Why a change was not made or the table could not be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The platform refused the call; nothing changed.
        Platform(refusal: Refusal) {
            display("table `config` refused the call, nothing changed: {:?}", refusal)
        }
        /// A row is missing or cannot be decoded.
        InvalidRow { key: String, reason: String } {
            display("row {:?} of table `config`: {}", key, reason)
        }
        /// The row `head` holds a lower configuration revision than the one
        /// installed: the read was stale or the table was restored from a backup.
        Stale { installed: u64, table: u64 } {
            display(
                "table `config` answers revision {}, revision {} is installed: it lags or was restored",
                table, installed
            )
        }
        /// A read of the row `head` returned a lower table revision than
        /// required after a conflict or an unknown outcome.
        StaleRead { expected_min: u64, read: u64 } {
            display("row `head` reads at table revision {}, {} was seen before", read, expected_min)
        }
        /// A record is not the successor of the installed revision.
        Gap { installed: u64, next: u64 } {
            display("record {} does not follow revision {}", next, installed)
        }
        /// The table, a peer or a record has a different history than the
        /// installed configuration: the table was restored from a backup and
        /// changed afterwards.
        Diverged(revision: u64) {
            display("revision {} has another history than the one installed", revision)
        }
        /// The resources read are not the complete set of the revision.
        Incomplete(revision: u64) {
            display("the resources read do not add up to revision {}", revision)
        }
        /// The resource does not meet the precondition of the change.
        Precondition { kind: Kind, name: Name, found: Option<u64>, changed_by: Option<String> } {
            display(
                "{} {:?} {}{}",
                kind, name.as_str(), found_text(*found), changed_by_text(changed_by.as_deref())
            )
        }
        /// The change violates a validation rule for resources.
        Resource(error: resource::Error) {
            from()
            display("{}", error)
        }
        /// The specification is too large to be replicated.
        TooLarge { limit: usize } {
            display("the specification has more than {} bytes", limit)
        }
        /// The change was not committed within the maximum number of
        /// transactions because of concurrent changes.
        Contended { attempts: u32, last_operator: String, revision: u64 } {
            display(
                "lost to other changes in {} tries, last to {:?} at revision {}",
                attempts, last_operator, revision
            )
        }
        /// The change identifier already belongs to a different change.
        ChangeIdReused(id: ChangeId) {
            display("change id {} already belongs to another change", id)
        }
        /// The change may or may not have taken effect; its identifier can be
        /// used to find out later.
        Unknown(id: ChangeId) {
            display("outcome of change {} is unknown", id)
        }
    }
}

/// Describes whether a resource exists and at which revision.
fn found_text(found: Option<u64>) -> String {
    found.map_or("does not exist".to_owned(), |revision| format!("stands at revision {revision}"))
}

/// Names the operator of the last change, if its record was read.
fn changed_by_text(by: Option<&str>) -> String {
    by.map_or("; the audit trail says by whom".to_owned(), |by| format!(", changed by {by:?}"))
}

impl Error {
    fn missing_record(revision: u64) -> Self {
        Self::InvalidRow {
            key: row::log(revision).key,
            reason: "the row does not exist".to_owned(),
        }
    }

    /// Whether the change is known not to have taken effect.
    pub const fn not_run(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}
