//! Orders to endpoints: who may give them, which loads to order, and when.
//!
//! Described in `docs/design/orders.md`.

use serde::{Deserialize, Serialize};

use crate::resource::{ModelLayers, Name};

pub mod dispatch;
pub mod lease;
pub mod pace;
pub mod placement;

/// Grows with every change of the lease holder; an endpoint that checks it
/// refuses an order whose number is lower than one it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingNumber(pub u64);

/// State that an endpoint is told to reach; reaching it twice changes nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// Hold these layers of this model and version.
    Load(ModelLayers),
    /// Do not hold them.
    Unload(ModelLayers),
    /// Hold this adapter.
    Adapter(Name),
    /// Serve in this role.
    Role(Name),
}

/// An order as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the lease under which it is given.
    pub number: FencingNumber,
    /// The state to reach.
    pub target: Target,
}
