//! Whether an endpoint is shutting down, merged from several sources in any
//! order.

use serde::{Deserialize, Serialize};

/// Whether an endpoint is leaving, according to the VM list and the endpoint.
///
/// Both parts only ever increase in their ordering, so routers that exchange
/// them converge whatever the order of the messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingState {
    vm_list: VmListStatement,
    endpoint: EndpointStatement,
}

/// The newest entry of the VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct VmListStatement {
    generation: u64,
    leaving: bool,
    /// Newest incarnation known when the entry was received.
    incarnation: u64,
}

/// The newest state reported by the endpoint; incarnation 0 means none yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct EndpointStatement {
    incarnation: u64,
    leaving: bool,
}

impl LeavingState {
    /// Applies an entry of the VM list.
    pub(super) fn apply_vm_list(&mut self, generation: u64, leaving: bool) {
        let incarnation = self.endpoint.incarnation;
        self.vm_list = self.vm_list.max(VmListStatement { generation, leaving, incarnation });
    }

    /// Applies a state reported by the endpoint at `incarnation`.
    pub(super) fn apply_report(&mut self, incarnation: u64, leaving: bool) {
        self.endpoint = self.endpoint.max(EndpointStatement { incarnation, leaving });
    }

    /// Records a refusal by the current incarnation; false if that is unknown.
    pub(super) fn record_refusal(&mut self) -> bool {
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
