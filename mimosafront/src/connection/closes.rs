//! The log of connections that the router has closed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use mimosashift::emit;
use mimosashift::event::Event;

use crate::state::{RouterState, millis};

/// Interval of the log lines, each of which sums up the closes of one reason.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why the router has closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No request arrived within the idle limit.
    Idle,
    /// The client did not read its response within the idle limit.
    UnreadResponse,
    /// A head was not complete within its time limit.
    SlowHead,
    /// A head exceeded the size limit.
    LargeHead,
    /// The router stops, and the connection was idle.
    Stop,
}

/// A connection that the router closes.
#[derive(Clone, Copy, Debug)]
pub struct Close {
    /// The reason.
    pub reason: Reason,
    /// Time since the connection became idle, or since the head began.
    pub waited: Duration,
    /// The limit on that time.
    pub limit: Duration,
    /// Requests that were served on it.
    pub requests: u64,
}

/// Connections closed since the last report, by reason.
#[derive(Debug, Default)]
pub struct Closes(BTreeMap<Reason, Sum>);

#[derive(Debug)]
struct Sum {
    connections: u64,
    requests: u64,
    shortest: Close,
    longest: Close,
}

impl Reason {
    const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::UnreadResponse => "response not read",
            Self::SlowHead => "head too slow",
            Self::LargeHead => "head too large",
            Self::Stop => "stop",
        }
    }
}

impl Closes {
    /// Counts a connection.
    pub fn record(&mut self, close: Close) {
        let sum = self.0.entry(close.reason).or_insert(Sum {
            connections: 0,
            requests: 0,
            shortest: close,
            longest: close,
        });
        sum.connections += 1;
        sum.requests += close.requests;
        if close.waited < sum.shortest.waited {
            sum.shortest = close;
        }
        if close.waited > sum.longest.waited {
            sum.longest = close;
        }
    }
}

/// Logs the connections closed since the last report.
pub fn report(state: &RouterState) {
    let closes = std::mem::take(&mut *state.closes.borrow_mut());
    for (reason, sum) in closes.0 {
        emit!(
            state.log, Event::ConnectionsClosed,
            "reason" => reason.name(), "connections" => sum.connections, "requests" => sum.requests,
            "shortest_ms" => millis(sum.shortest.waited), "shortest_limit_ms" => millis(sum.shortest.limit),
            "longest_ms" => millis(sum.longest.waited), "longest_limit_ms" => millis(sum.longest.limit),
            "revision" => state.revision(), "config_age_ms" => state.config_age_ms(),
        );
    }
}

/// Reports closes until the router exits.
pub async fn watch(state: Rc<RouterState>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        report(&state);
    }
}
