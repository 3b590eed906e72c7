//! Which reply may be accepted next.

use std::fmt;

use crate::engine::Label;
use crate::resource::Name;

/// Why a reply or failure was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No step is in flight: a doubled or late answer.
    Idle,
    /// It answers another request.
    Request,
    /// It carries another model or version.
    Version,
    /// It carries another attempt.
    Attempt,
    /// It carries another position or token count.
    Position,
    /// It carries another layer range.
    Layers,
    /// It comes from an endpoint that was not asked.
    Endpoint,
}

impl Reason {
    /// Every reason, in the order in which labels are compared.
    pub const ALL: [Self; 7] = [
        Self::Idle,
        Self::Request,
        Self::Version,
        Self::Attempt,
        Self::Position,
        Self::Layers,
        Self::Endpoint,
    ];

    /// Name for metrics.
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

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Number of dropped answers for each reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops([u32; Reason::ALL.len()]);

impl Drops {
    /// Answers dropped for `reason`.
    pub const fn count(&self, reason: Reason) -> u32 {
        self.0[reason as usize]
    }

    /// Answers dropped for any reason.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    const fn add(&mut self, reason: Reason) {
        self.0[reason as usize] += 1;
    }
}

/// The one answer that may be accepted, and a count of those that were not.
///
/// An expectation is used up by the answer that meets it, so a doubled answer
/// never matches.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    expected: Option<(Name, Label)>,
    drops: Drops,
}

impl Ledger {
    /// Replaces the expectation.
    pub fn expect(&mut self, endpoint: Name, label: Label) {
        self.expected = Some((endpoint, label));
    }

    /// Expects nothing: whatever arrives now is late.
    pub fn clear(&mut self) {
        self.expected = None;
    }

    /// Accepts an answer at most once; otherwise counts why it was dropped.
    pub fn accept(&mut self, endpoint: &Name, label: &Label) -> Result<(), Reason> {
        let checked = self.check(endpoint, label);
        match checked {
            Ok(()) => self.expected = None,
            Err(reason) => self.drops.add(reason),
        }
        checked
    }

    /// Counts an answer to something that is no longer awaited.
    pub const fn reject_idle(&mut self) {
        self.drops.add(Reason::Idle);
    }

    /// Whether an answer is awaited.
    pub const fn is_waiting(&self) -> bool {
        self.expected.is_some()
    }

    /// The answers dropped so far.
    pub const fn drops(&self) -> &Drops {
        &self.drops
    }

    fn check(&self, endpoint: &Name, label: &Label) -> Result<(), Reason> {
        let Some((asked, expected)) = &self.expected else { return Err(Reason::Idle) };
        let same_version = label.pipeline == expected.pipeline && label.version == expected.version;
        let same_position = label.position == expected.position && label.count == expected.count;
        let checks = [
            (label.request == expected.request, Reason::Request),
            (same_version, Reason::Version),
            (label.attempt == expected.attempt, Reason::Attempt),
            (same_position, Reason::Position),
            (label.layers == expected.layers, Reason::Layers),
            (endpoint == asked, Reason::Endpoint),
        ];
        match checks.iter().find(|(same, _)| !same) {
            Some((_, reason)) => Err(*reason),
            None => Ok(()),
        }
    }
}
