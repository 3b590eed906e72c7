//! Reports on endpoints and on demand that routers exchange.

use std::time::Duration;

use crate::admit;
use crate::health::{Report, ReportBatch};
use crate::node::Node;
use crate::resource::Name;
use crate::time::Instant;
use crate::wire::message::{MAX_PAYLOAD_BYTES, Payload};

/// Payload tag of reports on endpoints.
const HEALTH_TAG: u8 = 1;

/// Payload tag of reports on the demand of teams.
const DEMAND_TAG: u8 = 2;

/// Time between two updates of the reports on endpoints.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum age of a report on an endpoint that is sent.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Maximum size of the reports on endpoints in one heartbeat, in bytes.
const MAX_HEALTH_BYTES: usize = MAX_PAYLOAD_BYTES - 32;

/// The payloads of the next heartbeat.
#[derive(Default)]
pub struct Reports {
    payloads: Vec<Payload>,
    refreshed_at: Instant,
    /// Endpoint after which the next batch starts, so that all are sent in rotation.
    last_sent: Option<Name>,
}

impl Reports {
    /// The payloads for a heartbeat at `now`.
    pub fn payloads(&mut self, node: &Node, now: Instant) -> Vec<Payload> {
        if now.since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.refreshed_at = now;
            let batch = node.lock_health().reports_since(now - MAX_REPORT_AGE);
            self.payloads = self.health(batch).into_iter().collect();
        }
        self.payloads.clone()
    }

    /// As many reports as fit: leaving endpoints first, the others in rotation.
    fn health(&mut self, batch: ReportBatch) -> Option<Payload> {
        let last_sent = self.last_sent.take();
        let mut reports = batch.reports;
        reports.sort_by_key(|r| {
            (!r.leaving_state.is_leaving(), Some(&r.endpoint) <= last_sent.as_ref())
        });
        let mut chosen: Vec<Report> = Vec::new();
        let mut bytes = 0;
        for report in reports {
            bytes += encode(&report).len();
            if bytes > MAX_HEALTH_BYTES {
                break;
            }
            chosen.push(report);
        }
        self.last_sent = chosen.last().map(|report| report.endpoint.clone());
        let batch = ReportBatch { reports: chosen };
        (!batch.reports.is_empty()).then(|| Payload { tag: HEALTH_TAG, bytes: encode(&batch) })
    }
}

/// The report of this router's demand to `peers` others; `None` if there is
/// nothing to report.
///
/// Also refills the shares and removes idle teams and silent peers.
pub fn demand(node: &Node, peers: usize) -> Option<Payload> {
    let report = node.gate.report(peers);
    let limited = node.gate.with(|admission| admission.limited_teams());
    let idle = peers == 0 || (report.entries.is_empty() && limited == 0);
    (!idle).then(|| Payload { tag: DEMAND_TAG, bytes: encode(&report) })
}

/// Merges the reports of another router. Unreadable ones are skipped; another
/// release may use another format.
pub fn merge(node: &Node, peer: &Name, payloads: &[Payload]) {
    let now = node.clock.now();
    for payload in payloads {
        match payload.tag {
            HEALTH_TAG => {
                if let Ok(batch) = postcard::from_bytes::<ReportBatch>(&payload.bytes) {
                    // Reports on endpoints not installed here yet will be repeated.
                    let _ = node.lock_health().merge(&batch, now);
                }
            }
            DEMAND_TAG => {
                if let Ok(report) = postcard::from_bytes::<admit::share::Report>(&payload.bytes) {
                    node.gate.with(|admission| admission.merge(now, peer, &report));
                }
            }
            _ => {}
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("reports have a fixed form")
}
