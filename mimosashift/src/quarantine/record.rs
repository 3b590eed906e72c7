//! What routers tell each other about contents.

use std::time::Duration;

use super::Content;
use crate::fleet::Incarnation;

/// What a router knows of a content.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The content.
    pub content: Content,
    /// Endpoints that crashed under it since the last success, and how long ago.
    pub crashes: Vec<(Incarnation, Duration)>,
    /// Time since a request with it was last served.
    pub success_age: Option<Duration>,
}
