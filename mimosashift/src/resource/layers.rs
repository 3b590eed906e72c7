//! Ranges of model layers.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Error;

/// A non-empty half-open range of model layers, `start..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "(u16, u16)", into = "(u16, u16)")]
pub struct Layers {
    start: u16,
    end: u16,
}

impl Layers {
    /// First layer of the range.
    pub const fn start(self) -> u16 {
        self.start
    }

    /// One past the last layer of the range.
    pub const fn end(self) -> u16 {
        self.end
    }

    /// Number of layers, at least one.
    pub const fn count(self) -> u16 {
        self.end - self.start
    }

    /// Whether every layer of `other` lies in this range.
    pub const fn contains(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}

impl TryFrom<(u16, u16)> for Layers {
    type Error = Error;

    fn try_from((start, end): (u16, u16)) -> Result<Self, Error> {
        if start >= end {
            return Err(Error::Invalid {
                field: "layers",
                value: format!("[{start}, {end}]"),
                rule: "start less than end",
            });
        }
        Ok(Self { start, end })
    }
}

impl From<Layers> for (u16, u16) {
    fn from(layers: Layers) -> Self {
        (layers.start, layers.end)
    }
}

impl fmt::Display for Layers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}
