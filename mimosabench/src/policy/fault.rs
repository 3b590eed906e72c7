//! The faults of the recovery measure.

use super::engine::Health;
use super::fleet::{Fleet, ROUTERS, STAGES, router_domain};

/// How many times slower a degraded link is.
const DEGRADED: u32 = 100;

/// What is lost or gets worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of one stage ends.
    Stage,
    /// The VM of one engine is gone, with all requests that it worked for.
    Engine,
    /// A third of the endpoints are gone, spread over the failure domains.
    Third,
    /// A failure domain is gone, with its endpoints and routers.
    Domain,
    /// One link gets a hundred times slower.
    Link,
    /// Four endpoints leave.
    Leave,
}

/// What a fault does to whom.
#[derive(Clone, Debug, Default)]
pub struct Hit {
    /// Numbers of the endpoints.
    pub endpoints: Vec<usize>,
    /// How they behave from then on.
    pub health: Option<Health>,
    /// How many times slower their links are from then on.
    pub slower: Option<u32>,
    /// Routers that are gone.
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

    /// What it does in a fleet.
    pub fn hits(self, fleet: &Fleet) -> Hit {
        let all = 0..fleet.endpoints.len();
        let stages = usize::from(STAGES);
        // Not on the edge of the fleet, and on a fast accelerator.
        let one = stages * (fleet.endpoints.len() / stages / 2) + 1;
        let silent = Some(Health::Silent);
        match self {
            Self::Stage => {
                Hit { endpoints: vec![one], health: Some(Health::Crashed), ..Hit::default() }
            }
            Self::Engine => Hit { endpoints: vec![one], health: silent, ..Hit::default() },
            Self::Third => {
                let hit = |at: &usize| (at / stages / 3 + at % stages).is_multiple_of(3);
                Hit { endpoints: all.filter(hit).collect(), health: silent, ..Hit::default() }
            }
            Self::Domain => Hit {
                endpoints: all.filter(|&at| fleet.domain(at) == 1).collect(),
                health: silent,
                slower: None,
                routers: (0..ROUTERS).filter(|&at| router_domain(at) == 1).collect(),
            },
            Self::Link => Hit { endpoints: vec![one], slower: Some(DEGRADED), ..Hit::default() },
            Self::Leave => Hit {
                endpoints: (one..one + 4).collect(),
                health: Some(Health::Leaving),
                ..Hit::default()
            },
        }
    }
}
