//! Chains of stages that together run every layer of a model exactly once.

use quick_error::quick_error;
use smallvec::SmallVec;

use crate::resource::{Layers, Name};

quick_error! {
    /// Reason why stages do not form a chain.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// A layer is skipped, run twice or out of order.
        NotContiguous { expected: u16, found: u16 } {
            display("stage starts at layer {}, must start at layer {}", found, expected)
        }
        /// The last stage does not end with the model's last layer.
        WrongEnd { end: u16, layers: u16 } {
            display("chain ends at layer {}, must end at layer {}", end, layers)
        }
    }
}

/// One endpoint and the layers that it runs for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stage {
    /// The endpoint; it may hold more layers than it runs here.
    pub endpoint: Name,
    /// The layers to run.
    pub layers: Layers,
}

/// Stages that cover the layers of one version of a model exactly once and in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Chain {
    pipeline: Name,
    version: u32,
    stages: SmallVec<[Stage; 8]>,
}

impl Chain {
    /// Creates a chain; fails unless `stages` run the layers `0..layers` exactly once
    /// and in order.
    pub fn new(
        pipeline: Name,
        version: u32,
        layers: u16,
        stages: impl IntoIterator<Item = Stage>,
    ) -> Result<Self, Error> {
        let stages: SmallVec<[Stage; 8]> = stages.into_iter().collect();
        let mut expected = 0;
        for stage in &stages {
            let found = stage.layers.start();
            if found != expected {
                return Err(Error::NotContiguous { expected, found });
            }
            expected = stage.layers.end();
        }
        if expected != layers {
            return Err(Error::WrongEnd { end: expected, layers });
        }
        Ok(Self { pipeline, version, stages })
    }

    /// The pipeline (a model's configuration).
    pub const fn pipeline(&self) -> &Name {
        &self.pipeline
    }

    /// The version that every stage runs.
    pub const fn version(&self) -> u32 {
        self.version
    }

    /// The stages, in layer order.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }
}
