//! Watches how late the timers of this process run.

use std::rc::Rc;
use std::time::Duration;

use mimosashift::delay::Delays;
use mimosashift::emit;
use mimosashift::event::Event;
use tokio::time::sleep;

use crate::clock;
use crate::state::{RouterState, millis};

/// Interval of the timer that is watched.
const INTERVAL: Duration = Duration::from_millis(100);

/// Measures delays until the router exits.
pub async fn watch(state: Rc<RouterState>) {
    let mut delays = Delays::default();
    loop {
        let due = clock::now() + INTERVAL;
        sleep(INTERVAL).await;
        let now = clock::now();
        state.meter.loop_delay(now.since(due).as_secs_f64());
        if let Some(report) = delays.record(due, now) {
            emit!(state.log, Event::RouterDelayed, "longest_ms" => millis(report.longest), "delays" => report.count, "in_flight" => state.in_flight.get());
        }
    }
}
