//! Names connections, and remembers which of them have carried a request.

use std::cell::RefCell;
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
#[derive(Debug, Default)]
pub struct Carriers(RefCell<SmallVec<[Id; 4]>>);

impl Carriers {
    /// The connection of the last send.
    pub fn last(&self) -> Option<Id> {
        self.0.borrow().last().copied()
    }

    pub(super) fn push(&self, connection: Id) {
        self.0.borrow_mut().push(connection);
    }
}

/// The connection that a request is sent over.
#[derive(Clone, Copy, Debug)]
pub enum Reuse<'a> {
    /// A new one.
    Never,
    /// An idle one, if there is any: for calls that no id tells apart.
    Any,
    /// An idle one, if there is any, for the request that these have carried.
    Request(&'a Carriers),
}

impl Reuse<'_> {
    pub(super) fn record(self, connection: Id) {
        if let Self::Request(carriers) = self {
            carriers.push(connection);
        }
    }
}
