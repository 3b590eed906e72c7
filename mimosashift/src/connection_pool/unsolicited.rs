//! Keeps what servers send on idle connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use super::Id;

/// Maximum number of bytes that are kept of a connection: the head of an answer.
const MAX_BYTES: usize = 2 * 1024;

/// Bytes that a server has sent on an idle connection, which was closed for that. They may be
/// a copy of an earlier answer, or the answer to a request that a copy has been taken for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unsolicited {
    /// The server.
    pub address: SocketAddr,
    /// The connection.
    pub connection: Id,
    /// The first bytes.
    pub bytes: Vec<u8>,
}

/// Watches a connection while it is idle.
#[derive(Debug, Default)]
pub(super) struct Watch {
    is_idle: Cell<bool>,
    bytes: RefCell<Vec<u8>>,
}

impl Watch {
    pub(super) fn set_idle(&self, is_idle: bool) {
        self.is_idle.set(is_idle);
    }

    pub(super) fn on_read(&self, bytes: &[u8]) {
        if self.is_idle.get() {
            let mut kept = self.bytes.borrow_mut();
            let room = MAX_BYTES - kept.len();
            kept.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    /// The bytes that were read while the connection was idle, if there were any.
    pub(super) fn take(&self) -> Option<Vec<u8>> {
        Some(self.bytes.take()).filter(|bytes| !bytes.is_empty())
    }
}
