//! Whether an endpoint is shutting down, merged from several sources in any
//! order.

use serde::{Deserialize, Serialize};

/// Whether an endpoint is leaving, according to the VM list and the endpoint.
///
/// Merging takes the greater value of each part, so routers that exchange them
/// converge whatever the order of the messages.
///
/// An incarnation is a number that increases with each start of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingState {
    vm_list: VmListEntry,
    endpoint: EndpointState,
}

/// The endpoint's entry in the newest VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct VmListEntry {
    generation: u64,
    leaving: bool,
    /// Newest incarnation known when the entry was received.
    incarnation: u64,
}

/// The newest state reported by the endpoint; incarnation 0 means that none
/// is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct EndpointState {
    incarnation: u64,
    leaving: bool,
}

impl LeavingState {
    /// Applies an entry of the VM list.
    pub(super) fn apply_vm_list(&mut self, generation: u64, leaving: bool) {
        let incarnation = self.endpoint.incarnation;
        self.vm_list = self.vm_list.max(VmListEntry { generation, leaving, incarnation });
    }

    /// Applies a state reported by incarnation `incarnation` of the endpoint.
    pub(super) fn apply_report(&mut self, incarnation: u64, leaving: bool) {
        self.endpoint = self.endpoint.max(EndpointState { incarnation, leaving });
    }

    /// Records that the current incarnation is leaving; returns false if no
    /// incarnation is known.
    pub(super) fn record_leaving(&mut self) -> bool {
        let known = self.endpoint.incarnation > 0;
        self.endpoint.leaving |= known;
        known
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.vm_list = self.vm_list.max(other.vm_list);
        self.endpoint = self.endpoint.max(other.endpoint);
    }

    /// Whether the endpoint is shutting down.
    pub fn is_leaving(&self) -> bool {
        let listed_as_leaving =
            self.vm_list.leaving && self.vm_list.incarnation >= self.endpoint.incarnation;
        listed_as_leaving || self.endpoint.leaving
    }

    /// Generation of the newest VM list applied.
    pub(super) const fn generation(&self) -> u64 {
        self.vm_list.generation
    }

    pub(super) const fn incarnation(&self) -> u64 {
        self.endpoint.incarnation
    }
}
