//! What routers tell each other about prompt parts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Incarnation;
use crate::exchange::PromptPart;

/// What a router knows of a prompt part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The part.
    pub part: PromptPart,
    /// Endpoints that crashed under it since the last success, and how long ago.
    pub crashes: Vec<(Incarnation, Duration)>,
    /// Time since a request with it was last served.
    pub success_age: Option<Duration>,
}
