//! Checks whether this router reaches the endpoints of each service.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosaplatform::engine;
use mimosashift::connection_pool::Reuse;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Hop, Member, name_key};
use mimosashift::reach::{Change, Sample};
use mimosashift::time::Instant;
use tokio::sync::OnceCell;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::state::{RouterState, millis};
use crate::{clock, probe};

/// Interval of the checks whether the paths to a service are in doubt.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for an answer over a new connection: sound endpoints answer within some
/// round trips, plain ones that are busy within a few requests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without any answer after which as many endpoints again are asked, since those of
/// the first sample may happen to be mute.
const SECOND_SAMPLE_DELAY: Duration = Duration::from_millis(100);

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

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

/// Asks a sample of endpoints over new connections and applies the result.
async fn check(state: &Rc<RouterState>, service: &Arc<str>) {
    let sample = ask_sample(state, service).await;
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
            state.waiting.wake();
        }
        None => {}
    }
}

/// Asks a sample of endpoints. One answer is enough for a service whose paths are in use;
/// for one whose paths are lost all answers count.
async fn ask_sample(state: &Rc<RouterState>, service: &Arc<str>) -> Sample {
    let is_lost = state.reach.borrow().is_lost(service);
    let mut asked = Vec::new();
    let mut answers = JoinSet::new();
    ask_more(state, service, &mut asked, &mut answers);
    let mut reached = 0;
    let mut second_sample = std::pin::pin!(sleep(SECOND_SAMPLE_DELAY));
    let mut is_extended = is_lost;
    while !answers.is_empty() && (is_lost || reached == 0) {
        tokio::select! {
            Some(answer) = answers.join_next() => reached += usize::from(answer.is_ok_and(|a| a)),
            () = &mut second_sample, if !is_extended => {
                is_extended = true;
                ask_more(state, service, &mut asked, &mut answers);
            }
        }
        if answers.is_empty() && reached == 0 && !is_extended {
            is_extended = true;
            ask_more(state, service, &mut asked, &mut answers);
        }
    }
    // The connections of the others are kept once they have answered.
    answers.detach_all();
    Sample { reached, tried: asked.len() }
}

/// Asks endpoints that are not in `asked`.
fn ask_more(
    state: &Rc<RouterState>,
    service: &Arc<str>,
    asked: &mut Vec<Arc<str>>,
    answers: &mut JoinSet<bool>,
) {
    let zone = state.node().zone.clone();
    let hops = {
        let rng = &mut *state.rng.borrow_mut();
        state.fleet.borrow().sample(service, &zone, asked, clock::now(), rng)
    };
    for hop in hops {
        asked.push(hop.id.clone());
        let (state, service) = (state.clone(), service.clone());
        answers.spawn_local(async move { answers_anew(&state, &service, &hop).await });
    }
}

/// Whether an endpoint answers over a new connection: an engine with a report, another one
/// to a health check, whatever that says.
async fn answers_anew(state: &Rc<RouterState>, service: &str, hop: &Hop) -> bool {
    let spec = state.deployment().and_then(|deployment| deployment.service(service).cloned());
    let request = match spec {
        Some(spec) if spec.engine.is_none() => {
            engine::health_request(hop.address, &spec.health_path)
        }
        Some(_) | None => engine::report_request(hop.address),
    };
    let exchange = async {
        let mut exchange = state.call(hop, request, Reuse::Never).await.ok()?;
        // A whole answer leaves the connection for later requests.
        exchange.collect(MAX_ANSWER_BYTES).await.ok()
    };
    timeout(ANSWER_TIMEOUT, exchange).await.is_ok_and(|body| body.is_some())
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
