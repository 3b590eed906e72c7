//! Configuration: committing changes, loading and spreading them.
//!
//! A change is one transaction on the platform's table; every router installs
//! the revisions in rising order and never goes back. The reasons are in
//! `docs/design/configuration.md`.

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
    /// Why a change did not happen or a table could not be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The platform refused the call; nothing changed.
        Platform(refusal: Refusal) {
            display("table `config` refused the call, nothing changed: {:?}", refusal)
        }
        /// A row cannot be read.
        InvalidRow { key: String, reason: String } {
            display("row {:?} of table `config`: {}", key, reason)
        }
        /// The table answers from before what is installed: it lags or was
        /// restored.
        Stale { installed: u64, table: u64 } {
            display(
                "table `config` answers revision {}, revision {} is installed: it lags or was restored",
                table, installed
            )
        }
        /// A read answers from before a conflict that the table reported.
        StaleRead { seen: u64, read: u64 } {
            display("row `head` reads at table revision {}, {} was seen before", read, seen)
        }
        /// A record does not follow what is installed.
        Gap { installed: u64, next: u64 } {
            display("record {} does not follow revision {}", next, installed)
        }
        /// The table holds another history than the one installed: it was
        /// restored and changed since.
        Diverged(revision: u64) {
            display("revision {} has another history than the one installed", revision)
        }
        /// Resources read do not add up to the revision.
        Incomplete(revision: u64) {
            display("the resources read do not add up to revision {}", revision)
        }
        /// The resource is not as the operator's precondition says.
        Precondition { kind: Kind, name: Name, found: Option<u64>, changed_by: Option<String> } {
            display(
                "{} {:?} {}{}",
                kind, name.as_str(), found_text(*found), changed_by_text(changed_by.as_deref())
            )
        }
        /// The change breaks a rule on resources.
        Resource(error: resource::Error) {
            from()
            display("{}", error)
        }
        /// The specification is too large to be spread.
        TooLarge { limit: usize } {
            display("the specification has more than {} bytes", limit)
        }
        /// Other operators' changes came first in every try.
        Contended { attempts: u32, last_operator: String, revision: u64 } {
            display(
                "lost to other changes in {} tries, last to {:?} at revision {}",
                attempts, last_operator, revision
            )
        }
        /// The change's identifier already stands for a different change.
        ChangeIdReused(id: ChangeId) {
            display("change id {} already belongs to another change", id)
        }
        /// The change may or may not have taken effect; its identifier finds
        /// out later.
        Unknown(id: ChangeId) {
            display("outcome of change {} is unknown", id)
        }
    }
}

/// States at which revision a resource was found, if any.
fn found_text(found: Option<u64>) -> String {
    found.map_or("does not exist".to_owned(), |revision| format!("stands at revision {revision}"))
}

/// Names the operator of the last change, if this router read its record.
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

    /// Whether the change certainly did not take effect.
    pub const fn not_run(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}
