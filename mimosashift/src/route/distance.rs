//! Network latency between failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::resource::Name;

/// One-way latency from a router's failure domain to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distances {
    own: Name,
    default: Duration,
    overrides: BTreeMap<Name, Duration>,
}

impl Distances {
    /// Creates the latencies from `own`: `default` to every domain without an entry in
    /// `overrides`.
    pub const fn new(own: Name, default: Duration, overrides: BTreeMap<Name, Duration>) -> Self {
        Self { own, default, overrides }
    }

    /// The router's own failure domain.
    pub const fn own(&self) -> &Name {
        &self.own
    }

    /// One-way latency to `domain`; zero to the router's own.
    pub fn to(&self, domain: &Name) -> Duration {
        if *domain == self.own {
            return Duration::ZERO;
        }
        self.overrides.get(domain).copied().unwrap_or(self.default)
    }
}
