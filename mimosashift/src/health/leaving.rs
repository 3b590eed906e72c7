//! LeavingState that an endpoint is shutting down; they merge in any order.

use serde::{Deserialize, Serialize};

/// What is known about an endpoint leaving, from all sources.
///
/// Both parts only ever rise, so routers that exchange them agree in the end
/// whatever the order of the messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingState {
    listed: Listed,
    own: Own,
}

/// The newest statement of the VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Listed {
    generation: u64,
    leaving: bool,
    /// Incarnation that the statement was made about.
    incarnation: u64,
}

/// The newest statement of the endpoint itself; incarnation 0 stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Own {
    incarnation: u64,
    leaving: bool,
}

impl LeavingState {
    /// Takes in a statement of the VM list.
    pub(super) fn list(&mut self, generation: u64, leaving: bool) {
        let incarnation = self.own.incarnation;
        self.listed = self.listed.max(Listed { generation, leaving, incarnation });
    }

    /// Takes in a statement of the endpoint at `incarnation`.
    pub(super) fn report(&mut self, incarnation: u64, leaving: bool) {
        self.own = self.own.max(Own { incarnation, leaving });
    }

    /// Takes in a refusal of the present incarnation; false when that is not
    /// known.
    pub(super) fn refuse(&mut self) -> bool {
        let known = self.own.incarnation > 0;
        self.own.leaving |= known;
        known
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.listed = self.listed.max(other.listed);
        self.own = self.own.max(other.own);
    }

    /// Whether the endpoint is shutting down.
    pub fn is_leaving(&self) -> bool {
        let listed = self.listed.leaving && self.listed.incarnation >= self.own.incarnation;
        listed || self.own.leaving
    }

    /// Generation of the newest VM list taken in.
    pub(super) const fn generation(&self) -> u64 {
        self.listed.generation
    }

    pub(super) const fn incarnation(&self) -> u64 {
        self.own.incarnation
    }
}
