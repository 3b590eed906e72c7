//! Reads the configuration and the endpoint directory from the store.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::store::{Changes, Rows};
use mimosaplatform::{config, endpoint};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::meter::{CallOutcome, PlatformCall};
use mimosashift::platform::{Outcome, Refusal, Row};
use mimosashift::time::Instant;

use crate::clock;
use crate::state::{RouterState, millis};

/// Interval of configuration reads: a change is in force well within the bound
/// of two seconds, even if one read is lost.
const CONFIG_INTERVAL: Duration = Duration::from_millis(800);

/// Interval of endpoint reads: about half of the time within which an endpoint
/// that leaves must get no new work.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(900);

/// Interval of the checks whether the peer that reads the store on behalf of
/// this router has the same state.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a router reads the store itself, whatever its peers have
/// seen: bounds the effect of a lost gossip datagram.
const DIRECT_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Delay before a failed read is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two reads that requests trigger.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which the store counts as unavailable.
const STORE_OUTAGE_AFTER: Duration = Duration::from_millis(1_500);

/// Time after the store comes back within which endpoints register again.
const REREGISTRATION_PERIOD: Duration = Duration::from_millis(2_200);

/// Keeps the configuration up to date until the router exits.
pub async fn watch_config(state: Rc<RouterState>) {
    let mut position = None;
    let mut last_direct_read = Instant::ZERO;
    loop {
        let started = clock::now();
        if started < last_direct_read + DIRECT_READ_INTERVAL
            && reader_has_same_config(&state, started)
        {
            tokio::select! {
                () = tokio::time::sleep(READER_CHECK_INTERVAL) => continue,
                () = state.config_refresh.notified() => {}
            }
        }
        last_direct_read = started;
        let read = match position {
            None => match state.store.read(config::TABLE).await {
                Outcome::Done(rows) => Outcome::Done(Some(rows)),
                Outcome::NotDone(refusal) => Outcome::NotDone(refusal),
                Outcome::Unknown => Outcome::Unknown,
            },
            Some(after) => match state.store.changes(config::TABLE, after).await {
                Outcome::Done(Changes::Since(rows)) => Outcome::Done(Some(rows)),
                Outcome::Done(Changes::HistoryExpired) => Outcome::Done(None),
                Outcome::NotDone(refusal) => Outcome::NotDone(refusal),
                Outcome::Unknown => Outcome::Unknown,
            },
        };
        record_store_call(&state, PlatformCall::Read, &read);
        let interval = match read {
            Outcome::Done(Some(rows)) => {
                position = Some(rows.position);
                apply_config(&state, &rows, started);
                CONFIG_INTERVAL
            }
            Outcome::Done(None) => {
                // The store has truncated its change history, or come back from a
                // copy: read the whole table.
                position = None;
                continue;
            }
            Outcome::NotDone(_) | Outcome::Unknown => RETRY_INTERVAL,
        };
        tokio::time::sleep(MIN_REFRESH_INTERVAL).await;
        let remaining = tokio::time::sleep(interval.saturating_sub(MIN_REFRESH_INTERVAL));
        tokio::select! {
            () = remaining => {}
            () = state.config_refresh.notified() => {}
        }
    }
}

/// Whether the peer that reads the store on behalf of this router has the same
/// configuration, so that its digests confirm it.
fn reader_has_same_config(state: &RouterState, now: Instant) -> bool {
    let peers = state.peers.borrow();
    let reader_config =
        peers.store_reader(&state.node().name, now).and_then(|peer| peer.digest.config);
    reader_config.is_some_and(|reader_config| reader_config.revision == state.revision())
}

/// Whether the peer that reads the store on behalf of this router has recently
/// read the same directory; if so, its read counts as a read of this router.
fn reader_has_same_directory(state: &RouterState, now: Instant) -> bool {
    let peers = state.peers.borrow();
    let Some(peer) = peers.store_reader(&state.node().name, now) else { return false };
    let Some(seen) = peer.digest.directory else { return false };
    let age = seen.age + now.since(peer.last_digest_at);
    let same = seen.fingerprint == state.fleet.borrow().fingerprint();
    if same && age < STORE_OUTAGE_AFTER {
        state.last_directory_read.set(state.last_directory_read.get().max(Some(now - age)));
    }
    same && age < STORE_OUTAGE_AFTER
}

fn apply_config(state: &RouterState, rows: &Rows, started: Instant) {
    let row = rows.rows.iter().rev().find(|row| row.key.key == config::KEY);
    if let Some(row) = row {
        match config::decode(&row.value) {
            Ok(deployment) => state.install(deployment, &row.value, "store"),
            Err(error) => {
                let error = error.to_string();
                emit!(state.log, Event::ConfigUnreadable, "revision" => row.revision, "error" => error);
                return;
            }
        }
    }
    if state.active_config.borrow().is_some() {
        state.confirm(started);
    }
}

/// Keeps the endpoint directory up to date until the router exits.
pub async fn watch_endpoints(state: Rc<RouterState>) {
    let mut unavailable_since: Option<Instant> = None;
    let mut reregistration_until = Instant::ZERO;
    let mut logged_invalid = HashMap::new();
    let mut last_direct_read = Instant::ZERO;
    loop {
        let started = clock::now();
        if started < last_direct_read + DIRECT_READ_INTERVAL
            && reader_has_same_directory(&state, started)
        {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        last_direct_read = started;
        let read = state.store.read(endpoint::TABLE).await;
        record_store_call(&state, PlatformCall::Scan, &read);
        let interval = match read {
            Outcome::Done(rows) => {
                let now = clock::now();
                if unavailable_since
                    .take()
                    .is_some_and(|since| now.since(since) >= STORE_OUTAGE_AFTER)
                {
                    reregistration_until = now + REREGISTRATION_PERIOD;
                }
                apply_endpoints(&state, &rows.rows, reregistration_until, &mut logged_invalid);
                state.last_directory_read.set(Some(started));
                DIRECTORY_INTERVAL
            }
            Outcome::NotDone(_) | Outcome::Unknown => {
                unavailable_since.get_or_insert(state.last_directory_read.get().unwrap_or(started));
                RETRY_INTERVAL
            }
        };
        tokio::time::sleep(interval).await;
    }
}

fn apply_endpoints(
    state: &RouterState,
    rows: &[Row],
    reregistration_until: Instant,
    logged_invalid: &mut HashMap<String, u64>,
) {
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        match endpoint::decode(&row.key.key, &row.value) {
            Ok(entry) => entries.push(entry),
            // Each version of an invalid entry is logged once.
            Err(error) => {
                if logged_invalid.insert(row.key.key.clone(), row.revision) != Some(row.revision) {
                    let (id, error) = (&row.key.key, error.to_string());
                    emit!(state.log, Event::EndpointUnreadable, "endpoint" => id, "revision" => row.revision, "error" => error);
                }
            }
        }
    }
    logged_invalid.retain(|id, _| rows.iter().any(|row| row.key.key == *id));
    let change =
        state.fleet.borrow_mut().apply_directory(entries, reregistration_until, clock::now());
    let fleet = state.fleet.borrow();
    for id in &change.joined {
        let endpoint = fleet.get(id).map(|member| &member.endpoint);
        let Some(e) = endpoint else { continue };
        let (address, layers) = (e.address.to_string(), e.layers.map(|layers| layers.to_string()));
        emit!(state.log, Event::EndpointJoined, "endpoint" => &**id, "service" => &*e.service, "zone" => &*e.zone, "address" => address, "incarnation" => e.incarnation, "layers" => layers);
    }
    for id in &change.layers_changed {
        let layers = fleet.get(id).and_then(|member| member.endpoint.layers);
        emit!(state.log, Event::EndpointLayersChanged, "endpoint" => &**id, "source" => "store", "layers" => layers.map(|layers| layers.to_string()));
    }
    for id in &change.leaving {
        emit!(state.log, Event::EndpointLeaving, "endpoint" => &**id, "source" => "store");
    }
    for id in &change.gone {
        emit!(state.log, Event::EndpointGone, "endpoint" => &**id);
    }
}

/// Counts a call to the store and logs when the store becomes unreachable or
/// reachable again. A call that ends in neither success nor conflict counts as a
/// failure.
pub fn record_store_call<T>(state: &RouterState, call: PlatformCall, outcome: &Outcome<T>) {
    let now = clock::now();
    let label = match outcome {
        Outcome::Done(_) => CallOutcome::Done,
        Outcome::NotDone(Refusal::Conflict(_)) => CallOutcome::Conflict,
        Outcome::NotDone(Refusal::Unavailable) => CallOutcome::Unavailable,
        Outcome::NotDone(Refusal::OverBudget) => CallOutcome::OverBudget,
        Outcome::NotDone(Refusal::Invalid(_)) => CallOutcome::Invalid,
        Outcome::Unknown => CallOutcome::Unknown,
    };
    state.meter.table_calls(1, call, label);
    let is_success = matches!(label, CallOutcome::Done | CallOutcome::Conflict);
    let last_answer = state.last_store_answer.get();
    if is_success {
        if state.store_lost.replace(false) {
            let outage_ms = last_answer.map(|at| millis(now.since(at)));
            emit!(state.log, Event::StoreAvailable, "away_ms" => outage_ms);
        }
        state.last_store_answer.set(Some(now));
    } else if !state.store_lost.replace(true) {
        let reason = match outcome {
            Outcome::NotDone(refusal) => format!("{refusal:?}"),
            _ => "no answer".to_owned(),
        };
        emit!(state.log, Event::StoreUnavailable, "reason" => reason);
    }
}
