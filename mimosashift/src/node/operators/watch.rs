//! Streams of changes.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use serde_json::{Value, json};

use super::number;
use crate::config::store::Gone;
use crate::config::{AuditEntry, Record};
use crate::http::problem::Problem;
use crate::http::{Request, Responder, Stream};
use crate::node::{MAX_OPERATOR_REQUESTS, Node};

/// Most watches at once, so that workers are left for other calls.
const MAX_WATCHES: usize = MAX_OPERATOR_REQUESTS / 2;

/// Time between two looks for changes, a drain or a client that has gone.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which an empty line shows that the stream lives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// The watches under way.
#[derive(Default)]
pub struct Slots(AtomicUsize);

/// One of the watches under way.
struct Slot<'a>(&'a Slots);

impl Slots {
    fn take(&self) -> Option<Slot<'_>> {
        let next = |taken: usize| (taken < MAX_WATCHES).then_some(taken + 1);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, next).ok().map(|_| Slot(self))
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Streams changes until the client goes, the router drains or the changes
/// are no longer at hand.
pub fn run(node: &Node, slots: &Slots, request: &Request, responder: Responder) {
    let (_slot, after) = match start(node, slots, request) {
        Ok(started) => started,
        Err(problem) => return responder.problem(&problem),
    };
    let stream = responder.stream(&[(CONTENT_TYPE, "application/x-ndjson")]);
    follow(node, after, stream);
}

fn start<'a>(node: &Node, slots: &'a Slots, request: &Request) -> Result<(Slot<'a>, u64), Problem> {
    let installed = node.installed().snapshot().revision();
    let after = number(request, "after")?.unwrap_or(installed);
    if let Err(Gone { current }) = node.cluster.watch(after) {
        let detail = format!("changes after {after} are no longer kept, the current is {current}");
        return Err(Problem::not_run(StatusCode::GONE, "gone", detail));
    }
    let slot = slots.take().ok_or_else(|| {
        let detail = format!("{MAX_WATCHES} watches are open, which is the most");
        Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue-full", detail)
    })?;
    Ok((slot, after))
}

fn follow(node: &Node, mut after: u64, mut stream: Stream) {
    let mut written = Instant::now();
    while !stream.is_disconnected() && !node.drain.is_requested() {
        // The client asks again and learns that it has to list.
        let Ok(records) = node.cluster.watch(after) else { break };
        let mut lines: String =
            records.iter().map(|record| format!("{}\n", line(record))).collect();
        if lines.is_empty() && written.elapsed() >= KEEPALIVE_INTERVAL {
            lines.push('\n');
        }
        if let Some(last) = records.last() {
            after = last.revision;
        }
        if lines.is_empty() {
            thread::sleep(LOOK_INTERVAL);
            continue;
        }
        if stream.write(lines).is_err() {
            return;
        }
        written = Instant::now();
    }
    stream.finish();
}

fn line(record: &Record) -> Value {
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
