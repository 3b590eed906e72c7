//! When contents were last served.

use std::collections::HashMap;

use super::Content;
use crate::time::Instant;

/// Maximum number of prompt parts in each generation.
const MAX_PARTS: usize = 2048;

/// Maximum number of requests in each generation.
const MAX_REQUESTS: usize = 2048;

/// Last successes of prompt parts and of whole requests, which do not displace each
/// other.
#[derive(Debug, Default)]
pub(super) struct Served {
    parts: Generations,
    requests: Generations,
}

/// Two generations of entries: the older one is dropped once the newer one is full, so
/// that an entry which is not renewed is forgotten.
#[derive(Debug, Default)]
struct Generations {
    recent: HashMap<Content, Instant>,
    older: HashMap<Content, Instant>,
}

impl Served {
    pub(super) fn insert(&mut self, content: Content, at: Instant) {
        let at = self.last(content).max(Some(at)).expect("the maximum is at least `at`");
        let (generations, limit) = match content {
            Content::Part(_) => (&mut self.parts, MAX_PARTS),
            Content::Request(_) => (&mut self.requests, MAX_REQUESTS),
        };
        if generations.recent.len() >= limit {
            generations.older = std::mem::take(&mut generations.recent);
        }
        generations.recent.insert(content, at);
    }

    pub(super) fn last(&self, content: Content) -> Option<Instant> {
        let generations = match content {
            Content::Part(_) => &self.parts,
            Content::Request(_) => &self.requests,
        };
        generations.recent.get(&content).or_else(|| generations.older.get(&content)).copied()
    }
}
