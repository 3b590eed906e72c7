//! Accepts the one reply that is expected next and drops all others.

use std::fmt;

use crate::engine::Label;
use crate::resource::Name;

/// Why a reply or failure was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// No step is in flight: the reply is late or a duplicate.
    Idle,
    /// It belongs to another request.
    Request,
    /// Its label names another pipeline or version.
    Version,
    /// It carries another attempt.
    Attempt,
    /// It carries another position or token count.
    Position,
    /// It carries another layer range.
    Layers,
    /// It comes from an endpoint to which the step was not sent.
    Endpoint,
}

impl DropReason {
    /// Every reason, in the order in which it is checked.
    pub const ALL: [Self; 7] = [
        Self::Idle,
        Self::Request,
        Self::Version,
        Self::Attempt,
        Self::Position,
        Self::Layers,
        Self::Endpoint,
    ];

    /// Label value in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Request => "request",
            Self::Version => "version",
            Self::Attempt => "attempt",
            Self::Position => "position",
            Self::Layers => "layers",
            Self::Endpoint => "endpoint",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Number of dropped replies for each reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts([u32; DropReason::ALL.len()]);

impl DropCounts {
    /// Replies dropped for `reason`.
    pub const fn count(&self, reason: DropReason) -> u32 {
        self.0[reason as usize]
    }

    /// Replies dropped for any reason.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    const fn add(&mut self, reason: DropReason) {
        self.0[reason as usize] += 1;
    }
}

/// The one reply, failure or import result that may be accepted next, and
/// counts of those dropped.
///
/// An accepted reply clears the expectation, so a duplicate never matches.
#[derive(Clone, Debug, Default)]
pub struct ReplyFilter {
    expected: Option<(Name, Label)>,
    drops: DropCounts,
}

impl ReplyFilter {
    /// Replaces the expected reply.
    pub fn expect(&mut self, endpoint: Name, label: Label) {
        self.expected = Some((endpoint, label));
    }

    /// Expects no reply: whatever arrives from now on is late.
    pub fn clear(&mut self) {
        self.expected = None;
    }

    /// Accepts the expected reply once; drops and counts any other.
    pub fn accept(&mut self, endpoint: &Name, label: &Label) -> Result<(), DropReason> {
        let result = self.check(endpoint, label);
        match result {
            Ok(()) => self.expected = None,
            Err(reason) => self.drops.add(reason),
        }
        result
    }

    /// Counts a reply that is no longer expected.
    pub const fn count_unexpected(&mut self) {
        self.drops.add(DropReason::Idle);
    }

    /// Whether a reply is expected.
    pub const fn is_waiting(&self) -> bool {
        self.expected.is_some()
    }

    /// Counts of the replies dropped so far.
    pub const fn drops(&self) -> &DropCounts {
        &self.drops
    }

    fn check(&self, endpoint: &Name, label: &Label) -> Result<(), DropReason> {
        let Some((expected_endpoint, expected)) = &self.expected else {
            return Err(DropReason::Idle);
        };
        let same_version = label.pipeline == expected.pipeline && label.version == expected.version;
        let same_position = label.position == expected.position && label.count == expected.count;
        let checks = [
            (label.request == expected.request, DropReason::Request),
            (same_version, DropReason::Version),
            (label.attempt == expected.attempt, DropReason::Attempt),
            (same_position, DropReason::Position),
            (label.layers == expected.layers, DropReason::Layers),
            (endpoint == expected_endpoint, DropReason::Endpoint),
        ];
        match checks.iter().find(|(matches, _)| !matches) {
            Some((_, reason)) => Err(*reason),
            None => Ok(()),
        }
    }
}
