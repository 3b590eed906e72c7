//! Remembers which requests were lately taken for not run, so that an answer which shows the
//! opposite is noticed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Instant;

/// Maximum number of entries, the oldest of which are dropped.
const MAX_ENTRIES: usize = 1_024;

/// Time after which entries are dropped: longer than the deadline of most requests.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Who took a request for not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// This router, since the endpoint or router at this address refused it.
    Refusal(SocketAddr),
    /// Its client, whom this router told so.
    Promise,
}

/// Requests that were lately taken for not run, although they had been sent.
#[derive(Debug, Default)]
pub struct Recent {
    entries: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    request: u64,
    basis: Basis,
    at: Instant,
}

impl Basis {
    /// Name in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Refusal(_) => "refused",
            Self::Promise => "client told",
        }
    }
}

impl Recent {
    /// Records that a request, by its key, is taken for not run.
    pub fn record(&mut self, request: u64, basis: Basis, now: Instant) {
        self.drop_expired(now);
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry { request, basis, at: now });
    }

    /// Forgets that the endpoint or router at an address refused a request, which is sent there
    /// again.
    pub fn withdraw(&mut self, request: u64, by: SocketAddr) {
        let basis = Basis::Refusal(by);
        self.entries.retain(|entry| (entry.request, entry.basis) != (request, basis));
    }

    /// What an answer from an address to a request contradicts, and since when that has been
    /// held; preferably what its client was told.
    pub fn contradicted(
        &self,
        request: u64,
        by: SocketAddr,
        now: Instant,
    ) -> Option<(Basis, Duration)> {
        let held = self.entries.iter().filter(|entry| entry.request == request);
        let held = held.filter(|entry| now.since(entry.at) < MAX_AGE);
        let held = held.filter(|e| e.basis == Basis::Promise || e.basis == Basis::Refusal(by));
        let first = held.max_by_key(|entry| entry.basis == Basis::Promise);
        first.map(|entry| (entry.basis, now.since(entry.at)))
    }

    fn drop_expired(&mut self, now: Instant) {
        while self.entries.front().is_some_and(|entry| now.since(entry.at) >= MAX_AGE) {
            self.entries.pop_front();
        }
    }
}
