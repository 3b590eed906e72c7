//! Sends orders to one endpoint and tracks whether they were carried out.

use std::time::Duration;

use super::{Order, Target, lease::Lease};
use crate::time::Instant;

/// Minimum time between the sending of an order and the request of a report that
/// can cause a resend. It exceeds the delay of reports and the longest load.
pub const MIN_RESEND_DELAY: Duration = Duration::from_secs(120);

/// The outstanding orders for one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderQueue {
    /// Whether the endpoint checks fencing numbers.
    checks_fencing: bool,
    /// Whether the endpoint has reported since the queue was created.
    report_received: bool,
    pending: Vec<PendingOrder>,
}

#[derive(Clone, Debug, PartialEq)]
struct PendingOrder {
    target: Target,
    sent_at: Option<Instant>,
}

impl OrderQueue {
    /// An empty queue; `checks_fencing` says whether the endpoint checks
    /// fencing numbers.
    pub const fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, report_received: false, pending: Vec::new() }
    }

    /// Adds an order to reach `target`, unless one is already pending.
    pub fn enqueue(&mut self, target: Target) {
        if !self.pending.iter().any(|order| order.target == target) {
            self.pending.push(PendingOrder { target, sent_at: None });
        }
    }

    /// Processes the report of the endpoint, requested at `asked_at`, on which
    /// targets it has reached.
    ///
    /// An order is sent again only if a report requested at least
    /// `MIN_RESEND_DELAY` after it shows that its target has not been reached.
    pub fn observe(&mut self, asked_at: Instant, reached: impl Fn(&Target) -> bool) {
        self.report_received = true;
        self.pending.retain(|order| !reached(&order.target));
        for order in &mut self.pending {
            order.sent_at = order.sent_at.filter(|sent| asked_at < *sent + MIN_RESEND_DELAY);
        }
    }

    /// The next order to send, if `lease` permits one now. Returns `None` before
    /// the first report, since an earlier lease holder may have sent the order.
    pub fn next(&mut self, lease: &Lease, now: Instant) -> Option<Order> {
        if !self.report_received {
            return None;
        }
        let number = lease.authorize(self.checks_fencing, now)?;
        let order = self.pending.iter_mut().find(|order| order.sent_at.is_none())?;
        order.sent_at = Some(now);
        Some(Order { number, target: order.target.clone() })
    }

    /// Number of targets that have not been reached.
    pub const fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether every target has been reached.
    pub const fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
