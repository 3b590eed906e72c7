//! Signals, settings that change, and the way out.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mimosashift::emit;
use mimosashift::event::Event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use tokio::sync::watch;

use crate::front::Front;
use crate::settings::File;

/// Time between two looks at the signals.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two looks at the settings file, which may change without a
/// signal.
const TICKS_PER_RELOAD: u32 = 20;

/// Time after SIGTERM in which connections are still taken: the balancer asks
/// each second and turns away after two answers.
const TURN_AWAY: Duration = Duration::from_millis(2_600);

/// Time before the platform's kill by which the router ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Time for the last bytes of an answer to leave.
const FLUSH: Duration = Duration::from_millis(150);

/// Signals that have arrived.
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Signals that arrive from here on are kept.
    pub fn register() -> io::Result<Self> {
        let signals = Self { stop: Arc::default(), reload: Arc::default() };
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }
}

/// Follows signals and settings until the router may end; returns the number
/// of requests that could not be finished.
pub async fn wait(
    front: Rc<Front>,
    signals: Signals,
    mut file: File,
    closing: watch::Sender<bool>,
) -> usize {
    let mut ticks = 0;
    while !signals.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(TICK).await;
        ticks += 1;
        if signals.reload.swap(false, Ordering::Relaxed) || ticks % TICKS_PER_RELOAD == 0 {
            reload(&front, &mut file);
            front.pool.sweep();
        }
    }
    front.stopping.set(true);
    let grace = front.node().bounds.grace;
    let in_flight = front.in_flight.get();
    emit!(front.log, Event::FrontStopping, "in_flight" => in_flight, "grace_ms" => crate::front::millis(grace));
    let end = tokio::time::Instant::now() + grace.saturating_sub(END_MARGIN);
    tokio::time::sleep(TURN_AWAY.min(grace / 2)).await;
    // The receivers live in the accepting task and the connections.
    let _ = closing.send(true);
    while front.in_flight.get() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(TICK).await;
    }
    tokio::time::sleep(FLUSH).await;
    front.in_flight.get()
}

fn reload(front: &Front, file: &mut File) {
    match file.reload() {
        None => {}
        Some(Ok(node)) => {
            emit!(front.log, Event::SettingsReloaded, "node" => &*node.name, "zone" => &*node.zone);
            *front.node.borrow_mut() = Rc::new(node);
        }
        Some(Err(error)) => {
            emit!(front.log, Event::SettingsInvalid, "error" => error.to_string());
        }
    }
}
