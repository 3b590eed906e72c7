//! Deletes settled claims whose retention has ended.

use std::sync::Weak;
use std::thread;
use std::time::{Duration, Instant};

use crate::node::Node;
use crate::node::platform::Guard;
use crate::platform::budget::Class;
use crate::platform::{Outcome, Table};
use crate::posting::{TABLE, resolve};

/// Time for which the response to a key is kept.
const RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Time between two pages, over all routers together.
const PAGE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of rows in a page.
const PAGE_ROWS: usize = 500;

/// Maximum number of rows deleted per page.
const MAX_DELETES: usize = 100;

/// Time between two checks whether the router has been dropped.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Scans the table repeatedly, one page at a time.
///
/// Two routers may scan the same page; the second delete then only fails its
/// condition.
pub fn run(node: &Weak<Node>) {
    let mut after = String::new();
    let mut last = Instant::now();
    loop {
        thread::sleep(POLL_INTERVAL);
        let Some(node) = node.upgrade() else { return };
        if last.elapsed() < PAGE_INTERVAL * node.platform.routers() {
            continue;
        }
        last = Instant::now();
        let guard = node.platform.with_class(Class::Cleanup);
        after = expire_page(&guard, &after, node.clock.unix_ms());
    }
}

/// Deletes the expired rows of the page after `after`; returns the key after
/// which the next page starts.
fn expire_page(guard: &Guard, after: &str, unix_ms: u64) -> String {
    let Outcome::Done(page) = guard.scan(TABLE, "", after, PAGE_ROWS) else {
        return after.to_owned();
    };
    if let Some(transaction) = resolve::expire(&page.rows, unix_ms, RETENTION, MAX_DELETES) {
        // Rows that a failed delete leaves are found in the next scan.
        let _ = guard.commit(&transaction);
    }
    match page.rows.last() {
        Some(row) if page.more => row.key.key.clone(),
        _ => String::new(),
    }
}
