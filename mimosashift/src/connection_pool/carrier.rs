//! Names connections, and keeps a request from going over one of them twice.

use std::cell::{Cell, RefCell};
use std::fmt;

use smallvec::SmallVec;

/// Number of a connection, unique within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Id(pub(super) u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The connections that have carried one request, in order.
///
/// An answer names its request and not the send that it belongs to, so that a copy of an earlier
/// answer cannot be told from the answer to a later send over the same connection; see
/// `docs/design/http.md`, "Stray answers".
#[derive(Debug, Default)]
pub struct Carriers {
    ids: RefCell<SmallVec<[Id; 4]>>,
    last: Cell<Option<Id>>,
}

impl Carriers {
    /// The connection of the last send; `None` if there was none.
    pub fn last(&self) -> Option<Id> {
        self.last.get()
    }
}

/// The connection that a request is sent over.
#[derive(Clone, Copy, Debug)]
pub enum Reuse<'a> {
    /// A new one.
    Never,
    /// An idle one, if there is any: for calls without an id, whose answers cannot be told from
    /// copies of earlier ones.
    Any,
    /// An idle one, if there is any, other than those that have carried the request.
    Request(&'a Carriers),
}

impl Reuse<'_> {
    pub(super) fn allows(self, connection: Id) -> bool {
        match self {
            Self::Never => false,
            Self::Any => true,
            Self::Request(carriers) => !carriers.ids.borrow().contains(&connection),
        }
    }

    /// Begins a send, which has no connection yet.
    pub(super) fn begin(self) {
        if let Self::Request(carriers) = self {
            carriers.last.set(None);
        }
    }

    pub(super) fn record(self, connection: Id) {
        if let Self::Request(carriers) = self {
            carriers.ids.borrow_mut().push(connection);
            carriers.last.set(Some(connection));
        }
    }
}
