//! Gives one endpoint its orders and observes what became of them.

use std::time::Duration;

use super::{Order, Target, lease::Lease};
use crate::time::Instant;

/// Time after a send before a report may show that the order was not carried
/// out; above the lag of reports and the longest load.
pub const MIN_REPEAT: Duration = Duration::from_secs(120);

/// The orders for one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderQueue {
    checks_fencing: bool,
    observed: bool,
    open: Vec<Open>,
}

#[derive(Clone, Debug, PartialEq)]
struct Open {
    target: Target,
    sent_at: Option<Instant>,
}

impl OrderQueue {
    /// No orders for an endpoint that does or does not check fencing numbers.
    pub const fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, observed: false, open: Vec::new() }
    }

    /// Asks for `target` to be reached, unless it is asked for already.
    pub fn enqueue(&mut self, target: Target) {
        if !self.open.iter().any(|open| open.target == target) {
            self.open.push(Open { target, sent_at: None });
        }
    }

    /// Takes in the endpoint's report, asked for at `asked_at`, of whether it
    /// has reached each target.
    ///
    /// An order is given again only when a report asked for `MIN_REPEAT` after
    /// it shows its target still not reached.
    pub fn observe(&mut self, asked_at: Instant, reached: impl Fn(&Target) -> bool) {
        self.observed = true;
        self.open.retain(|open| !reached(&open.target));
        for open in &mut self.open {
            open.sent_at = open.sent_at.filter(|sent| asked_at < *sent + MIN_REPEAT);
        }
    }

    /// The next order to send, if `lease` allows one right now; none before
    /// the first report, since an earlier holder may have given the order.
    pub fn next(&mut self, lease: &Lease, now: Instant) -> Option<Order> {
        if !self.observed {
            return None;
        }
        let number = lease.authorize(self.checks_fencing, now)?;
        let open = self.open.iter_mut().find(|open| open.sent_at.is_none())?;
        open.sent_at = Some(now);
        Some(Order { number, target: open.target.clone() })
    }

    /// Number of targets that have not been reached.
    pub const fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether every target has been reached.
    pub const fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
