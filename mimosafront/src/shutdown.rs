//! Handles signals, settings reloads and graceful shutdown.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mimosashift::emit;
use mimosashift::event::Event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::sync::watch;

use crate::clock;
use crate::settings::SettingsFile;
use crate::state::RouterState;

/// Interval at which signals, and open connections during shutdown, are polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls between two checks of the settings file, which may change without a
/// signal.
const POLLS_PER_RELOAD: u32 = 20;

/// Time after SIGTERM before which the router does not exit, at most half of the grace
/// period: the load balancer polls readiness every second and removes a router after two
/// failed checks.
const MIN_STOP_PERIOD: Duration = Duration::from_millis(2_600);

/// Part of the grace period kept for flushing and exit before the platform sends
/// SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Part of that margin in which what arrives last is answered and responses are flushed.
const CLOSE_PERIOD: Duration = Duration::from_millis(300);

/// Interval at which open connections are counted while the router closes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signals that have been received.
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Set by the signal handler.
#[derive(Clone)]
pub struct StopFlag(Arc<AtomicBool>);

impl Signals {
    /// Installs the handlers; signals received from here on are recorded.
    pub fn register() -> io::Result<Self> {
        let signals = Self { stop: Arc::default(), reload: Arc::default() };
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// The flag of SIGTERM and SIGINT, for what must not wait for the next poll.
    pub fn stop(&self) -> StopFlag {
        StopFlag(self.stop.clone())
    }
}

impl StopFlag {
    /// Whether SIGTERM or SIGINT has arrived.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Handles signals and settings changes until the router may exit; returns the
/// number of requests still in flight.
pub async fn run_until_stopped(
    state: Rc<RouterState>,
    signals: Signals,
    mut file: SettingsFile,
    closing: watch::Sender<bool>,
) -> usize {
    let mut polls = 0;
    while !state.stopping.is_set() {
        tokio::time::sleep(SIGNAL_POLL_INTERVAL).await;
        polls += 1;
        if signals.reload.swap(false, Ordering::Relaxed) || polls % POLLS_PER_RELOAD == 0 {
            reload(&state, &mut file);
            // Done here because this branch runs about once a second.
            state.pool.close_expired();
        }
    }
    let grace = state.node().bounds.shutdown_grace;
    state.stop_deadline.set(Some(clock::now() + grace.saturating_sub(EXIT_MARGIN)));
    let in_flight = state.in_flight.get();
    emit!(state.log, Event::FrontStopping, "in_flight" => in_flight, "grace_ms" => crate::state::millis(grace));
    let deadline = tokio::time::Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    tokio::time::sleep(MIN_STOP_PERIOD.min(grace / 2)).await;
    state.is_balanced_away.set(true);
    let connections = &state.connections;
    // Each response closes its connection, so clients leave as they use theirs. Other routers
    // have learned from digests that this one is leaving.
    while (connections.of_clients() > 0 || state.in_flight.get() > 0)
        && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
    emit!(state.log, Event::FrontClosing, "open" => connections.open(), "idle" => connections.idle());
    // The receivers are held by the accept loops and by the connections; with
    // none left there is nobody to notify.
    let _ = closing.send(true);
    let end = deadline.max(tokio::time::Instant::now()) + CLOSE_PERIOD;
    let mut has_expired = false;
    // The accept loops run in the first interval.
    loop {
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        let now = tokio::time::Instant::now();
        if !has_expired && now >= deadline {
            has_expired = true;
            state.stop_deadline_passed.notify_waiters();
        }
        if connections.open() == 0 || now >= end {
            return state.in_flight.get();
        }
    }
}

fn reload(state: &RouterState, file: &mut SettingsFile) {
    match file.reload() {
        None => {}
        Some(Ok(node)) => {
            emit!(state.log, Event::SettingsReloaded, "node" => &*node.name, "zone" => &*node.zone);
            state.apply_settings(node);
        }
        Some(Err(error)) => {
            emit!(state.log, Event::SettingsInvalid, "error" => error.to_string());
        }
    }
}
