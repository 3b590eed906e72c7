//! Delays of the event loop: whether this process gets the processor when it needs it.
//!
//! A machine that is slowed, suspended or out of its share of the processor delays all of a
//! router's requests at once, and nothing else in its log tells.

use std::time::Duration;

use crate::time::Instant;

/// Delay of a timer from which it is reported: several times what a loaded machine takes.
const MIN_REPORTED: Duration = Duration::from_millis(100);

/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delays since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The longest of them.
    pub longest: Duration,
    /// Number of delays of at least 100 ms.
    pub count: u32,
}

/// Delays of a periodic timer.
#[derive(Debug, Default)]
pub struct Delays {
    since_report: Report,
    last_report: Option<Instant>,
}

impl Delays {
    /// Records that a timer that was due at `due` ran at `now`; returns a report if one is
    /// due.
    pub fn record(&mut self, due: Instant, now: Instant) -> Option<Report> {
        let delay = now.since(due);
        if delay >= MIN_REPORTED {
            self.since_report.count += 1;
            self.since_report.longest = self.since_report.longest.max(delay);
        }
        let may_report = self.last_report.is_none_or(|last| now >= last + REPORT_INTERVAL);
        if self.since_report.count == 0 || !may_report {
            return None;
        }
        self.last_report = Some(now);
        Some(std::mem::take(&mut self.since_report))
    }
}
