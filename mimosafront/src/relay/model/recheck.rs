//! Reads the directory again before a request is refused for lack of an endpoint.

use std::time::Duration;

use mimosashift::time::Instant;
use tokio::time::timeout;

use crate::clock;
use crate::state::RouterState;

/// Time for which a request waits for such a read: a few round trips to the store.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Minimum time between two such reads of a router, for each live router of its zone: all
/// of them together read the store this often. A directory that is no older than that, or
/// than `MAX_FRESH_AGE` in a large zone, is fresh.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(250);
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);

/// Waits for a read of the directory if the known one is not fresh; returns whether there
/// was one. While the store is away, only the regular attempts go on.
pub async fn directory(state: &RouterState) -> bool {
    let now = clock::now();
    let interval = INTERVAL_PER_ROUTER * zone_size(state, now);
    let age = state.directory_read_at().map(|read_at| now.since(read_at));
    let is_fresh = age.is_some_and(|age| age < interval.min(MAX_FRESH_AGE));
    if is_fresh || state.store_lost.get() {
        return false;
    }
    let last = state.last_directory_recheck.get();
    let is_due = last.is_none_or(|last| now >= last + interval);
    if is_due {
        state.last_directory_recheck.set(Some(now));
        state.directory_refresh.notify_one();
    }
    // Requests that arrive meanwhile wait for the same read.
    let started = if is_due { now } else { last.unwrap_or(now) };
    let left = (started + RECHECK_TIMEOUT).since(now);
    !left.is_zero() && timeout(left, state.directory_read.notified()).await.is_ok()
}

/// Number of live routers of the own zone, this one included.
fn zone_size(state: &RouterState, now: Instant) -> u32 {
    let (peers, node) = (state.peers.borrow(), state.node());
    let others = peers.alive(now).filter(|peer| peer.digest.zone == node.zone).count();
    u32::try_from(others + 1).unwrap_or(u32::MAX)
}
