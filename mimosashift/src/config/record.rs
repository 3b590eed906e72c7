//! One accepted change, as stored in the log and as shown to operators.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::ChangeId;
use crate::resource::{Kind, Name, Snapshot, Spec};

/// Characters of a token digest that are shown.
const SHOWN_DIGEST_CHARS: usize = 8;

/// Field of a team that holds token digests.
const DIGESTS_FIELD: &str = "token_digests";

/// One accepted change: a delta for routers and the base of the audit trail.
///
/// A record exists exactly when the change took effect; both are written by
/// the same transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Configuration revision that the change made.
    pub revision: u64,
    /// Lineage of the configuration after the change, see
    /// [`Version`](super::Version).
    pub lineage: u64,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: String,
    /// Where the request came from.
    pub origin: String,
    /// When it was committed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: Name,
    /// Specification before, with token digests shortened.
    pub before: Option<Value>,
    /// Specification after; `None` when the resource was deleted.
    pub after: Option<Spec>,
}

/// A line of the audit trail, safe to show.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AuditEntry<'a> {
    /// Configuration revision that the change made.
    pub revision: u64,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: &'a str,
    /// Where the request came from.
    pub origin: &'a str,
    /// When it was committed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: &'a Name,
    /// Specification before, with token digests shortened.
    pub before: Option<&'a Value>,
    /// Specification after, with token digests shortened.
    pub after: Option<Value>,
}

impl Record {
    /// The snapshot that follows `snapshot` by this change.
    pub fn apply(&self, snapshot: &Snapshot) -> Snapshot {
        snapshot.with(self.revision, self.kind, &self.name, self.after.clone())
    }
}

impl<'a> From<&'a Record> for AuditEntry<'a> {
    fn from(record: &'a Record) -> Self {
        Self {
            revision: record.revision,
            id: record.id,
            operator: &record.operator,
            origin: &record.origin,
            at_unix_ms: record.at_unix_ms,
            kind: record.kind,
            name: &record.name,
            before: record.before.as_ref(),
            after: record.after.as_ref().map(shortened),
        }
    }
}

/// The specification as JSON, with token digests shortened.
pub(super) fn shortened(spec: &Spec) -> Value {
    let mut value = spec.to_json();
    let digests = value.get_mut(DIGESTS_FIELD).and_then(Value::as_array_mut);
    for digest in digests.into_iter().flatten() {
        let shown: String =
            digest.as_str().unwrap_or_default().chars().take(SHOWN_DIGEST_CHARS).collect();
        *digest = Value::String(shown);
    }
    value
}
