//! Active health probes of endpoints.
//!
//! Each endpoint is probed by one live router about once a second; the others
//! receive the result with heartbeats. One router of each failure domain reads
//! the platform's list of VMs every second, the others less often.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender};
use hyper::Method;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{Error, Node, upkeep};
use crate::engine::Failure;
use crate::health::{Exchange, probe};
use crate::http::client::Call;
use crate::platform::Outcome;
use crate::resource::{Name, Role};

/// Time between two probes of an endpoint.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a probe of a plain service.
const SERVICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of intervals between two reads of the list by a router that is not
/// its domain's reader.
const INTERVALS_PER_BACKUP_READ: u32 = 10;

/// Threads that make probes.
const PROBE_THREADS: usize = 8;

/// Maximum number of probes queued while endpoints are slow.
const MAX_QUEUED_PROBES: usize = 1_024;

/// Path of a probe of a plain service; any response counts as success.
const SERVICE_PATH: &str = "/healthz";

/// One endpoint to probe.
struct Target {
    name: Name,
    address: SocketAddr,
    engine: bool,
    /// Number of the probe round, increasing within this process.
    sequence: u64,
}

/// Endpoints whose probe is queued or running; never locked during a probe.
type Pending = Arc<Mutex<HashSet<Name>>>;

/// Starts the probe threads and the periodic tasks that feed them.
pub fn start(node: &Arc<Node>) -> Result<(), Error> {
    let (sender, receiver) = channel::bounded(MAX_QUEUED_PROBES);
    let pending = Pending::default();
    for _ in 0..PROBE_THREADS {
        let (node, receiver, pending) =
            (Arc::downgrade(node), receiver.clone(), Arc::clone(&pending));
        thread::Builder::new().name("probe".to_owned()).spawn(move || {
            let receiver: Receiver<Target> = receiver;
            for target in receiver {
                let Some(node) = node.upgrade() else { return };
                probe(&node, &target);
                lock(&pending).remove(&target.name);
            }
        })?;
    }
    let mut sequence = 0;
    upkeep::spawn(node, "probes", PROBE_INTERVAL, move |node| {
        sequence += 1;
        queue_probes(node, sequence, &sender, &pending);
    })?;
    let mut intervals = 0;
    upkeep::spawn(node, "machines", VM_LIST_INTERVAL, move |node| {
        intervals = (intervals + 1) % INTERVALS_PER_BACKUP_READ;
        if intervals == 0 || is_list_reader(node) {
            update_vm_list(node);
        }
    })
}

/// Queues probes of the endpoints that this router is responsible for, except
/// those whose last probe has not finished.
fn queue_probes(node: &Node, sequence: u64, sender: &Sender<Target>, pending: &Pending) {
    for target in targets(node, sequence) {
        let name = target.name.clone();
        if lock(pending).insert(name.clone()) && sender.try_send(target).is_err() {
            lock(pending).remove(&name);
        }
    }
}

fn targets(node: &Node, sequence: u64) -> Vec<Target> {
    let installed = node.installed();
    let own = node.settings.node.name.as_str();
    node.cluster.with_routers(node.clock.now(), |routers| {
        let is_own = |name: &Name, domain: &Name| {
            probe::poller(name, domain, routers).is_some_and(|router| router.name == own)
        };
        let endpoints = installed.snapshot().endpoints();
        endpoints
            .filter(|(name, endpoint)| is_own(name, &endpoint.domain))
            .map(|(name, endpoint)| Target {
                name: name.clone(),
                address: endpoint.address,
                engine: matches!(endpoint.role, Role::Engine(_)),
                sequence,
            })
            .collect()
    })
}

fn probe(node: &Node, target: &Target) {
    if target.engine { probe_engine(node, target) } else { probe_service(node, target) }
}

/// An engine that reports its load may still fail at steps, so a response does
/// not reset its consecutive failures.
fn probe_engine(node: &Node, target: &Target) {
    let sent = node.clock.now();
    let result = node.engines.load(target.address);
    let now = node.clock.now();
    let mut health = node.lock_health();
    match result {
        Ok(load) => health.record_poll(&target.name, load.incarnation, &load, target.sequence, now),
        Err(failure) => health.record_failure(&target.name, &failure, sent, now, &mut rng()),
    }
}

fn probe_service(node: &Node, target: &Target) {
    let sent = node.clock.now();
    let result = node.client.call(&Call {
        address: target.address,
        method: Method::GET,
        path: SERVICE_PATH,
        headers: &[],
        body: &[],
        timeout: SERVICE_TIMEOUT,
        fresh: false,
    });
    let now = node.clock.now();
    let mut health = node.lock_health();
    match result {
        Ok(response) => {
            let bytes = response.body.len() as u64;
            let total = now.since(sent);
            let exchange = Exchange { layers: 0, tokens: 0, bytes, total, service: None };
            health.record_success(&target.name, &exchange, now);
        }
        Err(failure) => {
            health.record_failure(&target.name, &Failure::from(failure), sent, now, &mut rng());
        }
    }
}

/// Whether this router is the one that reads the VM list for its failure domain.
fn is_list_reader(node: &Node) -> bool {
    let domain = node.settings.domain();
    let own = node.settings.node.name.as_str();
    node.cluster.with_routers(node.clock.now(), |routers| {
        probe::poller(domain, domain, routers).is_some_and(|router| router.name == own)
    })
}

/// Reads the list of VMs and marks the endpoints on those that leave.
fn update_vm_list(node: &Node) {
    let Some(machines) = &node.settings.machines else { return };
    let Outcome::Done(list) = machines.vms() else { return };
    let leaving: HashSet<SocketAddr> =
        list.vms.iter().filter(|vm| vm.leaving).map(|vm| vm.address).collect();
    let installed = node.installed();
    let is_leaving =
        |name: &Name| installed.address(name).is_some_and(|address| leaving.contains(&address));
    node.lock_health().apply_vm_list(list.generation, is_leaving);
}

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(rand::random())
}

fn lock(pending: &Pending) -> std::sync::MutexGuard<'_, HashSet<Name>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
