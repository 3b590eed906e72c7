//! Faults injected by the recovery benchmark.

use super::engine::Health;
use super::fleet::{Fleet, ROUTERS, STAGES, router_domain};

/// Slowdown factor of a degraded link.
const DEGRADED: u32 = 100;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The engine process of one stage exits.
    Stage,
    /// The VM of one engine is lost, with the caches of its requests.
    Engine,
    /// A third of the endpoints is lost, spread over the failure domains.
    Third,
    /// A failure domain is lost, with its endpoints and routers.
    Domain,
    /// One link becomes a hundred times slower.
    Link,
    /// Four endpoints are drained.
    Leave,
}

/// Endpoints and routers affected by a fault.
#[derive(Clone, Debug, Default)]
pub struct Impact {
    /// Indices of the affected endpoints.
    pub endpoints: Vec<usize>,
    /// New state of these endpoints, if it changes.
    pub health: Option<Health>,
    /// Slowdown factor of their links, if it changes.
    pub slowdown: Option<u32>,
    /// Indices of the lost routers.
    pub routers: Vec<usize>,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 6] =
        [Self::Stage, Self::Engine, Self::Third, Self::Domain, Self::Link, Self::Leave];

    /// Name in tables and plots.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stage => "stage",
            Self::Engine => "engine",
            Self::Third => "third",
            Self::Domain => "domain",
            Self::Link => "link",
            Self::Leave => "leave",
        }
    }

    /// Returns the endpoints and routers that the fault affects in `fleet`.
    pub fn impact(self, fleet: &Fleet) -> Impact {
        let all = 0..fleet.endpoints.len();
        let stages = usize::from(STAGES);
        // Picks an endpoint in the middle of the fleet with a fast accelerator.
        let one = stages * (fleet.endpoints.len() / stages / 2) + 1;
        let silent = Some(Health::Silent);
        match self {
            Self::Stage => {
                Impact { endpoints: vec![one], health: Some(Health::Crashed), ..Impact::default() }
            }
            Self::Engine => Impact { endpoints: vec![one], health: silent, ..Impact::default() },
            Self::Third => {
                let hit = |at: &usize| (at / stages / 3 + at % stages).is_multiple_of(3);
                Impact { endpoints: all.filter(hit).collect(), health: silent, ..Impact::default() }
            }
            Self::Domain => Impact {
                endpoints: all.filter(|&at| fleet.domain(at) == 1).collect(),
                health: silent,
                slowdown: None,
                routers: (0..ROUTERS).filter(|&at| router_domain(at) == 1).collect(),
            },
            Self::Link => {
                Impact { endpoints: vec![one], slowdown: Some(DEGRADED), ..Impact::default() }
            }
            Self::Leave => Impact {
                endpoints: (one..one + 4).collect(),
                health: Some(Health::Leaving),
                ..Impact::default()
            },
        }
    }
}
