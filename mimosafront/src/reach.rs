//! Checks whether this router reaches the endpoints of each service.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Hop, Member, name_key};
use mimosashift::reach::{Change, Sample};
use mimosashift::time::Instant;
use tokio::sync::OnceCell;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::state::{RouterState, millis};
use crate::{clock, probe};

/// Interval of the checks whether the paths to a service are in doubt.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for opening a connection: a hundred round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A check of the paths to a service that is shared by all that need its result.
pub type SharedCheck = (Instant, Rc<OnceCell<()>>);

/// Checks services whose paths are in doubt or lost until the router exits.
pub async fn watch(state: Rc<RouterState>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = clock::now();
        let due = {
            let fleet = state.fleet.borrow();
            state.reach.borrow_mut().due(|service| fleet.ready_count(service), now)
        };
        for service in due {
            let state = state.clone();
            tokio::task::spawn_local(async move { check(&state, &service).await });
        }
    }
}

/// Whether this router reaches endpoints of a service, by a check that began at `since` or
/// later. A failure at that time was then not that of the paths to all endpoints.
pub async fn is_reached(state: &Rc<RouterState>, service: &Arc<str>, since: Instant) -> bool {
    let shared = {
        let mut checks = state.reach_checks.borrow_mut();
        checks.retain(|_, (began, _)| *began >= since);
        let entry = checks.entry(service.clone());
        entry.or_insert_with(|| (clock::now(), Rc::default())).1.clone()
    };
    shared.get_or_init(|| check(state, service)).await;
    !state.reach.borrow().is_lost(service)
}

/// Opens a new connection to each endpoint of a sample and applies the result.
async fn check(state: &Rc<RouterState>, service: &Arc<str>) {
    let zone = state.node().zone.clone();
    let hops = state.fleet.borrow().sample(service, &zone, &mut *state.rng.borrow_mut());
    let sample = try_connections(state, &hops).await;
    let is_back = state.reach.borrow().is_lost(service) && sample.reached > 0;
    if is_back {
        // Endpoints that seemed dead are usable again once they have reported.
        probe_dead(state, service).await;
        state.fleet.borrow_mut().end_ejections(service);
    }
    let change = state.reach.borrow_mut().apply(service, sample, clock::now());
    match change {
        Some(Change::Lost) => {
            let relays = state.peers.borrow().reaching(name_key(service), clock::now()).count();
            emit!(state.log, Event::ServiceUnreachable, "service" => &**service, "tried" => sample.tried, "relays" => relays, "directory_age_ms" => state.directory_age_ms());
            state.peers.borrow_mut().expedite(clock::now());
            state.faults.notify_waiters();
        }
        Some(Change::Regained(lost_for)) => {
            emit!(state.log, Event::ServiceReachable, "service" => &**service, "reached" => sample.reached, "tried" => sample.tried, "lost_ms" => millis(lost_for));
            state.peers.borrow_mut().expedite(clock::now());
            state.memory_released.notify_waiters();
        }
        None => {}
    }
}

async fn try_connections(state: &Rc<RouterState>, hops: &[Hop]) -> Sample {
    let mut connecting = JoinSet::new();
    for hop in hops {
        let (pool, address) = (state.pool.clone(), hop.address);
        connecting.spawn_local(async move { pool.reaches(address, CONNECT_TIMEOUT).await });
    }
    let results = connecting.join_all().await;
    Sample { reached: results.iter().filter(|reached| **reached).count(), tried: results.len() }
}

async fn probe_dead(state: &Rc<RouterState>, service: &str) {
    let dead: Vec<_> = {
        let fleet = state.fleet.borrow();
        let dead = fleet.dead().filter(|member| &*member.endpoint.service == service);
        dead.filter_map(Member::hop).collect()
    };
    let mut probes = JoinSet::new();
    for hop in dead {
        let state = state.clone();
        // The result is recorded in the fleet.
        probes.spawn_local(async move { drop(probe::check_still_alive(&state, &hop).await) });
    }
    probes.join_all().await;
}
