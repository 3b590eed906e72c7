//! An accepted change, as stored in the log and as shown to operators.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::ChangeId;
use crate::resource::{Kind, Name, Snapshot, Spec};

/// Number of leading characters of a token digest that are shown.
const SHOWN_DIGEST_CHARS: usize = 8;

/// JSON field of a team that holds its token digests.
const DIGESTS_FIELD: &str = "token_digests";

/// An accepted change: a delta for routers and an entry of the audit trail.
///
/// A record exists if and only if the change took effect, since the record
/// and the change to the resource are written in one transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Configuration revision created by the change.
    pub revision: u64,
    /// Lineage of the configuration after the change, see
    /// [`Version`](super::Version).
    pub lineage: u64,
    /// Identifier of the change.
    pub id: ChangeId,
    /// The operator that requested the change.
    pub operator: String,
    /// Where the request came from.
    pub origin: String,
    /// Time of the request as a Unix timestamp in milliseconds.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: Name,
    /// Specification before the change, with token digests truncated.
    pub before: Option<Value>,
    /// Specification after the change; `None` if the resource was deleted.
    pub after: Option<Spec>,
}

/// An entry of the audit trail, without full token digests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AuditEntry<'a> {
    /// Configuration revision created by the change.
    pub revision: u64,
    /// Identifier of the change.
    pub id: ChangeId,
    /// The operator that requested the change.
    pub operator: &'a str,
    /// Where the request came from.
    pub origin: &'a str,
    /// Time of the request as a Unix timestamp in milliseconds.
    pub at_unix_ms: u64,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: &'a Name,
    /// Specification before the change, with token digests truncated.
    pub before: Option<&'a Value>,
    /// Specification after the change, with token digests truncated.
    pub after: Option<Value>,
}

impl Record {
    /// Returns `snapshot` with this change applied.
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
            after: record.after.as_ref().map(with_truncated_digests),
        }
    }
}

/// The specification as JSON, with token digests truncated.
pub(super) fn with_truncated_digests(spec: &Spec) -> Value {
    let mut value = spec.to_json();
    let digests = value.get_mut(DIGESTS_FIELD).and_then(Value::as_array_mut);
    for digest in digests.into_iter().flatten() {
        let shown: String =
            digest.as_str().unwrap_or_default().chars().take(SHOWN_DIGEST_CHARS).collect();
        *digest = Value::String(shown);
    }
    value
}
