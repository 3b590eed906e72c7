//! A bounded breadth-first model checker.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A system whose reachable states are all checked.
pub trait System: Sized + Hash {
    /// The states that are reachable in one step.
    fn successors(&self) -> Vec<Self>;

    /// The property that this state violates, if any.
    fn violation(&self) -> Option<String>;
}

/// Result of an exploration.
#[derive(Debug)]
pub struct Report {
    /// Number of distinct states.
    pub states: usize,
    /// Number of steps to the deepest of them.
    pub depth: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// The first violation found.
    pub violation: Option<String>,
}

/// Visits up to `limit` states in breadth-first order until one violates a
/// property. Visited states are recorded by a 128-bit hash.
pub fn explore<S: System>(initial: S, limit: usize) -> Report {
    let mut seen = HashSet::from([fingerprint(&initial)]);
    let mut level = vec![initial];
    let mut report = Report { states: 0, depth: 0, complete: true, violation: None };
    loop {
        let mut next = Vec::new();
        for state in level {
            report.states += 1;
            if let Some(text) = state.violation() {
                report.violation = Some(text);
                return report;
            }
            for successor in state.successors() {
                if seen.len() >= limit {
                    report.complete = false;
                } else if seen.insert(fingerprint(&successor)) {
                    next.push(successor);
                }
            }
        }
        if next.is_empty() {
            return report;
        }
        level = next;
        report.depth += 1;
    }
}

fn fingerprint<S: Hash>(state: &S) -> (u64, u64) {
    let hash = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        hasher.finish()
    };
    (hash(1), hash(2))
}
