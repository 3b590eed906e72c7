//! Small reports on endpoints and demand that routers exchange.

use std::time::Duration;

use crate::admit;
use crate::health::{Report, ReportBatch};
use crate::node::Node;
use crate::resource::Name;
use crate::time::Instant;
use crate::wire::message::{MAX_PAYLOAD_BYTES, Payload};

/// Tag of the state of endpoints.
const HEALTH_TAG: u8 = 1;

/// Tag of the demand of teams.
const DEMAND_TAG: u8 = 2;

/// Time between two looks at what is to be shared.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Age up to which a report on an endpoint is passed on.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Most bytes of reports on endpoints in one heartbeat.
const MAX_HEALTH_BYTES: usize = MAX_PAYLOAD_BYTES - 32;

/// What goes with the next heartbeat.
#[derive(Default)]
pub struct Reports {
    payloads: Vec<Payload>,
    refreshed: Instant,
    /// Endpoint after which the next reports start, so that each has its turn.
    last: Option<Name>,
}

impl Reports {
    /// The reports for a heartbeat at `now`.
    pub fn payloads(&mut self, node: &Node, now: Instant) -> Vec<Payload> {
        if now.since(self.refreshed) >= REFRESH_INTERVAL {
            self.refreshed = now;
            let share = node.lock_health().reports_since(now - MAX_REPORT_AGE);
            self.payloads = self.health(share).into_iter().collect();
        }
        self.payloads.clone()
    }

    /// As many reports as fit: endpoints that leave first, then in turn.
    fn health(&mut self, share: ReportBatch) -> Option<Payload> {
        let last = self.last.take();
        let mut reports = share.reports;
        reports
            .sort_by_key(|r| (!r.leaving_state.is_leaving(), Some(&r.endpoint) <= last.as_ref()));
        let mut chosen: Vec<Report> = Vec::new();
        let mut bytes = 0;
        for report in reports {
            bytes += encode(&report).len();
            if bytes > MAX_HEALTH_BYTES {
                break;
            }
            chosen.push(report);
        }
        self.last = chosen.last().map(|report| report.endpoint.clone());
        let share = ReportBatch { reports: chosen };
        (!share.reports.is_empty()).then(|| Payload { tag: HEALTH_TAG, bytes: encode(&share) })
    }
}

/// This router's demand for `peers` others; `None` when there is none to tell.
///
/// Also refills its shares and forgets idle teams and silent peers.
pub fn demand(node: &Node, peers: usize) -> Option<Payload> {
    let report = node.gate.report(peers);
    let limited = node.gate.with(|admission| admission.limited_teams());
    let idle = peers == 0 || (report.entries.is_empty() && limited == 0);
    (!idle).then(|| Payload { tag: DEMAND_TAG, bytes: encode(&report) })
}

/// Takes in the reports of another router; those that cannot be read, as
/// from another release, are left out.
pub fn merge(node: &Node, peer: &Name, payloads: &[Payload]) {
    let now = node.clock.now();
    for payload in payloads {
        match payload.tag {
            HEALTH_TAG => {
                if let Ok(share) = postcard::from_bytes::<ReportBatch>(&payload.bytes) {
                    // Endpoints that are not installed here yet come again.
                    let _ = node.lock_health().merge(&share, now);
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
