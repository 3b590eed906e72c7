//! Periodic background tasks.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{Error, Node};

/// Time between two polls of the admission queue.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two updates of the queue metrics and of outlier ejection.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks, each on a thread of its own.
pub fn start(node: &Arc<Node>) -> Result<(), Error> {
    spawn(node, "queue", QUEUE_INTERVAL, |node| node.gate.poll())?;
    let mut rng = Pcg64Mcg::seed_from_u64(rand::random());
    spawn(node, "sweep", SWEEP_INTERVAL, move |node| {
        update_queue_metrics(node);
        node.lock_health().eject_outliers(node.clock.now(), &mut rng);
    })
}

fn update_queue_metrics(node: &Node) {
    let (queued, bytes, running, slots, teams) = node.gate.with(|admission| {
        let (queue, slots) = (admission.queue(), admission.slots());
        (queue.len(), queue.bytes(), slots.used(), slots.limit(), admission.limited_teams())
    });
    node.meter.queue_requests(queued as u64);
    node.meter.queue_bytes(bytes as u64);
    node.meter.running(running as u64);
    node.meter.slots(slots as u64);
    node.meter.active_teams(teams as u64);
}

/// Starts a thread that calls `act` periodically until the router is dropped.
pub fn spawn(
    node: &Arc<Node>,
    name: &str,
    interval: Duration,
    mut act: impl FnMut(&Node) + Send + 'static,
) -> Result<(), Error> {
    // A weak reference lets the thread end when the router is dropped.
    let node = Arc::downgrade(node);
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        while let Some(node) = node.upgrade() {
            act(&node);
            drop(node);
            thread::sleep(interval);
        }
    })?;
    Ok(())
}
