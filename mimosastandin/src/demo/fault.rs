//! Faults that the demo can inject.

use std::fmt;
use std::str::FromStr;

use crate::testbed::Testbed;
use crate::{engine, platform};

/// Fault to inject while the sample workload runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The busiest engine closes every connection.
    KillStage,
    /// The open connections of the busiest engine get no response; new ones
    /// work.
    SilenceConnections,
    /// Every engine of one failure domain closes every connection.
    LoseDomain,
    /// The platform closes every connection.
    StopTable,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 4] =
        [Self::KillStage, Self::SilenceConnections, Self::LoseDomain, Self::StopTable];

    /// Name of the fault on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::KillStage => "kill-stage",
            Self::SilenceConnections => "silence-connections",
            Self::LoseDomain => "lose-domain",
            Self::StopTable => "stop-table",
        }
    }

    /// Injects the fault into the testbed.
    pub(super) fn inject(self, testbed: &Testbed) {
        let busiest = || testbed.engines.iter().max_by_key(|engine| engine.instance.steps());
        match self {
            Self::KillStage => {
                busiest()
                    .into_iter()
                    .for_each(|engine| engine.instance.set_fault(engine::Fault::Dead));
            }
            Self::SilenceConnections => {
                busiest()
                    .into_iter()
                    .for_each(|engine| engine.instance.set_fault(engine::Fault::Silent));
            }
            Self::LoseDomain => testbed
                .engines
                .iter()
                .filter(|engine| engine.domain == testbed.engines[0].domain)
                .for_each(|engine| engine.instance.set_fault(engine::Fault::Dead)),
            Self::StopTable => testbed.platform.set_fault(platform::Fault::Down),
        }
    }

    /// Clears all faults of the testbed.
    pub(super) fn clear(testbed: &Testbed) {
        testbed.platform.set_fault(platform::Fault::None);
        for engine in &testbed.engines {
            engine.instance.set_fault(engine::Fault::None);
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
