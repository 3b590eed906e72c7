//! Orders to endpoints: which router may send them, which layers to load, and
//! when. Routers use only `lease`; the rest is used by benchmarks and tests.
//!
//! The design is described in `docs/design/orders.md`.

use serde::{Deserialize, Serialize};

use crate::resource::{ModelLayers, Name};

pub mod dispatch;
pub mod lease;
pub mod pace;
pub mod placement;

/// Fencing token of a lease. It increases each time the lease is acquired, but
/// not when it is renewed. An endpoint that checks it refuses orders with a lower
/// number than the highest it has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingNumber(pub u64);

/// State that an endpoint is ordered to reach; orders are idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// Load these layers of this model version.
    Load(ModelLayers),
    /// Unload these layers.
    Unload(ModelLayers),
    /// Load this adapter.
    Adapter(Name),
    /// Serve in this role, such as `decode`.
    Role(Name),
}

/// An order sent under a lease; [`exchange::Order`](crate::exchange::Order) is
/// the one that routers send to model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which it is sent.
    pub number: FencingNumber,
    /// The state to reach.
    pub target: Target,
}
