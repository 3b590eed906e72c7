//! Reads the directory again before a request is refused for lack of an endpoint.

use std::time::Duration;

use tokio::time::timeout;

use crate::clock;
use crate::state::RouterState;

/// Time for which a request waits for such a read: a few round trips to the store.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Minimum time between two such reads of a router, for each live router of its zone: all
/// of them together read the store this often.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(250);

/// Upper bound of the age up to which a directory counts as fresh; in a small zone it is the
/// time between two reads.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);

/// Waits for a read of the directory if the known one is not fresh; returns whether there
/// was one. While the store is away, only the regular attempts go on.
pub async fn directory(state: &RouterState) -> bool {
    let now = clock::now();
    let interval = INTERVAL_PER_ROUTER * state.peers.borrow().zone_size(now);
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
