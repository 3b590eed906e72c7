//! Faults of the local run.

use std::fmt;
use std::str::FromStr;

use crate::testbed::Testbed;
use crate::{engine, platform};

/// What to break while the sample runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One engine closes every connection.
    KillStage,
    /// The open connections of one engine go silent; new ones work.
    SilenceConnections,
    /// Every engine of one failure domain is gone.
    LoseDomain,
    /// The platform answers nothing.
    StopTable,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 4] =
        [Self::KillStage, Self::SilenceConnections, Self::LoseDomain, Self::StopTable];

    /// The name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::KillStage => "kill-stage",
            Self::SilenceConnections => "silence-connections",
            Self::LoseDomain => "lose-domain",
            Self::StopTable => "stop-table",
        }
    }

    /// Breaks the testbed so.
    pub(super) fn set(self, testbed: &Testbed) {
        let busiest = || testbed.engines.iter().max_by_key(|placed| placed.instance.steps());
        match self {
            Self::KillStage => {
                busiest().into_iter().for_each(|p| p.instance.set_fault(engine::Fault::Dead));
            }
            Self::SilenceConnections => {
                busiest().into_iter().for_each(|p| p.instance.set_fault(engine::Fault::Silent));
            }
            Self::LoseDomain => testbed
                .engines
                .iter()
                .filter(|placed| placed.domain == testbed.engines[0].domain)
                .for_each(|placed| placed.instance.set_fault(engine::Fault::Dead)),
            Self::StopTable => testbed.platform.set_fault(platform::Fault::Down),
        }
    }

    /// Repairs the testbed.
    pub(super) fn clear(testbed: &Testbed) {
        testbed.platform.set_fault(platform::Fault::None);
        for placed in &testbed.engines {
            placed.instance.set_fault(engine::Fault::None);
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|fault| fault.as_str() == text);
        found.ok_or_else(|| {
            format!("fault {text:?} must be one of {}", Self::ALL.map(Self::as_str).join(", "))
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
