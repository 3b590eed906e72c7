//! Latency between failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::resource::Name;

/// One-way latency from a router's failure domain to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distances {
    own: Name,
    usual: Duration,
    special: BTreeMap<Name, Duration>,
}

impl Distances {
    /// Distances from `own`: `usual` to every domain not named in `special`.
    pub const fn new(own: Name, usual: Duration, special: BTreeMap<Name, Duration>) -> Self {
        Self { own, usual, special }
    }

    /// The router's own failure domain.
    pub const fn own(&self) -> &Name {
        &self.own
    }

    /// One-way latency to `domain`, zero to the own one.
    pub fn to(&self, domain: &Name) -> Duration {
        if *domain == self.own {
            return Duration::ZERO;
        }
        self.special.get(domain).copied().unwrap_or(self.usual)
    }
}
