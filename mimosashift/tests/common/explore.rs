//! A bounded breadth-first explorer of state machines.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A system whose every reachable state is checked.
pub trait System: Sized + Hash {
    /// The states that one step may lead to.
    fn successors(&self) -> Vec<Self>;

    /// The property that this state breaks.
    fn violation(&self) -> Option<String>;
}

/// What an exploration saw.
#[derive(Debug)]
pub struct Report {
    /// Number of distinct states.
    pub states: usize,
    /// Steps to the deepest of them.
    pub depth: usize,
    /// Whether no state was left out.
    pub complete: bool,
    /// The first violation found.
    pub violation: Option<String>,
}

/// Visits up to `limit` states in breadth-first order until one breaks a
/// property. States are remembered by a 128-bit hash.
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
