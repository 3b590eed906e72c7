//! Streams of configuration changes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use serde_json::{Value, json};

use super::parse_number;
use crate::config::store::Gone;
use crate::config::{AuditEntry, Record};
use crate::http::problem::Problem;
use crate::http::{Request, Responder, Stream};
use crate::node::{MAX_OPERATOR_REQUESTS, Node};

/// Maximum number of concurrent watches, so that workers remain for other requests.
const MAX_WATCHES: usize = MAX_OPERATOR_REQUESTS / 2;

/// Time between two checks for changes, a drain or a disconnected client.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time without changes after which an empty line is sent as a keep-alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Number of open watches.
#[derive(Default)]
pub struct WatchSlots(AtomicUsize);

/// Counts one open watch until it is dropped.
struct WatchSlot<'a>(&'a WatchSlots);

impl WatchSlots {
    fn acquire(&self) -> Option<WatchSlot<'_>> {
        let increment = |open: usize| (open < MAX_WATCHES).then_some(open + 1);
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
            .ok()
            .map(|_| WatchSlot(self))
    }
}

impl Drop for WatchSlot<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Streams changes until the client disconnects, the router drains or the
/// changes are no longer in the log.
pub fn run(node: &Node, slots: &WatchSlots, request: &Request, responder: Responder) {
    let (_slot, after) = match validate(node, slots, request) {
        Ok(validated) => validated,
        Err(problem) => return responder.problem(&problem),
    };
    let stream = responder.stream(&[(CONTENT_TYPE, "application/x-ndjson")]);
    stream_changes(node, after, stream);
}

fn validate<'a>(
    node: &Node,
    slots: &'a WatchSlots,
    request: &Request,
) -> Result<(WatchSlot<'a>, u64), Problem> {
    let installed = node.installed().snapshot().revision();
    let after = parse_number(request, "after")?.unwrap_or(installed);
    if let Err(Gone { current }) = node.cluster.watch(after) {
        let detail = format!("changes after {after} are no longer kept, the current is {current}");
        return Err(Problem::not_run(StatusCode::GONE, "gone", detail));
    }
    let slot = slots.acquire().ok_or_else(|| {
        let detail = format!("{MAX_WATCHES} watches are open, which is the most");
        Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", detail)
    })?;
    Ok((slot, after))
}

fn stream_changes(node: &Node, mut after: u64, mut stream: Stream) {
    let mut last_write = Instant::now();
    while !stream.is_disconnected() && !node.drain.is_requested() {
        // The client repeats the request, gets status 410 and has to list again.
        let Ok(records) = node.cluster.watch(after) else { break };
        let mut lines: String =
            records.iter().map(|record| format!("{}\n", change_json(record))).collect();
        if lines.is_empty() && last_write.elapsed() >= KEEPALIVE_INTERVAL {
            lines.push('\n');
        }
        if let Some(last) = records.last() {
            after = last.revision;
        }
        if lines.is_empty() {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        if stream.write(lines).is_err() {
            return;
        }
        last_write = Instant::now();
    }
    stream.finish();
}

fn change_json(record: &Record) -> Value {
    let entry = AuditEntry::from(record);
    json!({
        "revision": entry.revision,
        "change": entry.id,
        "operator": entry.operator,
        "kind": entry.kind,
        "name": entry.name,
        "spec": entry.after,
    })
}
