//! Reads the configuration and the endpoints from the store.

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
use crate::front::{Front, millis};

/// Time between two readings of the configuration: a change is in force well
/// within the bound of two seconds, also when one reading is lost.
const CONFIG_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two readings of the endpoints: half of the time within which
/// an endpoint that leaves must get no new work.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two looks at whether the router that reads the store for this
/// one has seen the same.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a router reads the store itself, whatever others have
/// seen: a lost datagram is made good by then.
const OWN_INTERVAL: Duration = Duration::from_secs(5);

/// Time before a failed reading is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two readings that requests ask for.
const MIN_REFRESH: Duration = Duration::from_millis(100);

/// Time without an answer after which the store counts as away.
const AWAY_AFTER: Duration = Duration::from_millis(1_500);

/// Time after the store's return in which endpoints register again.
const LAPSE: Duration = Duration::from_millis(2_200);

/// Keeps the configuration up to date.
pub async fn watch_config(front: Rc<Front>) {
    let mut revision = None;
    let mut own = Instant::ZERO;
    loop {
        let began = clock::now();
        if began < own + OWN_INTERVAL && config_is_followed(&front, began) {
            tokio::select! {
                () = tokio::time::sleep(FOLLOW_INTERVAL) => continue,
                () = front.refresh.notified() => {}
            }
        }
        own = began;
        let read = match revision {
            None => match front.store.read(config::TABLE).await {
                Outcome::Done(rows) => Outcome::Done(Some(rows)),
                Outcome::NotDone(refusal) => Outcome::NotDone(refusal),
                Outcome::Unknown => Outcome::Unknown,
            },
            Some(after) => match front.store.changes(config::TABLE, after).await {
                Outcome::Done(Changes::Since(rows)) => Outcome::Done(Some(rows)),
                Outcome::Done(Changes::Forgotten) => Outcome::Done(None),
                Outcome::NotDone(refusal) => Outcome::NotDone(refusal),
                Outcome::Unknown => Outcome::Unknown,
            },
        };
        note(&front, PlatformCall::Read, &read);
        let pause = match read {
            Outcome::Done(Some(rows)) => {
                revision = Some(rows.revision);
                take_config(&front, &rows, began);
                CONFIG_INTERVAL
            }
            Outcome::Done(None) => {
                // The history was forgotten: read the whole table.
                revision = None;
                continue;
            }
            Outcome::NotDone(_) | Outcome::Unknown => RETRY_INTERVAL,
        };
        tokio::time::sleep(MIN_REFRESH).await;
        let rest = tokio::time::sleep(pause.saturating_sub(MIN_REFRESH));
        tokio::select! {
            () = rest => {}
            () = front.refresh.notified() => {}
        }
    }
}

/// Whether the router that reads the store for this one holds the same
/// configuration, so that its digests confirm it.
fn config_is_followed(front: &Front, now: Instant) -> bool {
    let peers = front.peers.borrow();
    let held = peers.reader(&front.node().name, now).and_then(|peer| peer.digest.config);
    held.is_some_and(|held| held.revision == front.revision())
}

/// Whether that router has lately seen the same directory.
fn directory_is_followed(front: &Front, now: Instant) -> bool {
    let peers = front.peers.borrow();
    let Some(peer) = peers.reader(&front.node().name, now) else { return false };
    let Some(seen) = peer.digest.directory else { return false };
    let age = seen.age + now.since(peer.heard);
    let same = seen.fingerprint == front.fleet.borrow().fingerprint();
    if same && age < AWAY_AFTER {
        front.directory_read.set(front.directory_read.get().max(Some(now - age)));
    }
    same && age < AWAY_AFTER
}

fn take_config(front: &Front, rows: &Rows, began: Instant) {
    let row = rows.rows.iter().rev().find(|row| row.key.key == config::KEY);
    if let Some(row) = row {
        match config::decode(&row.value) {
            Ok(deployment) => front.install(deployment, &row.value, "store"),
            Err(error) => {
                let error = error.to_string();
                emit!(front.log, Event::ConfigUnreadable, "revision" => row.revision, "error" => error);
                return;
            }
        }
    }
    if front.deployment.borrow().is_some() {
        front.confirm(began);
    }
}

/// Keeps the endpoints up to date.
pub async fn watch_endpoints(front: Rc<Front>) {
    let mut away_since: Option<Instant> = None;
    let mut lapsed_until = Instant::ZERO;
    let mut unreadable = HashMap::new();
    let mut own = Instant::ZERO;
    loop {
        let began = clock::now();
        if began < own + OWN_INTERVAL && directory_is_followed(&front, began) {
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            continue;
        }
        own = began;
        let read = front.store.read(endpoint::TABLE).await;
        note(&front, PlatformCall::Scan, &read);
        let pause = match read {
            Outcome::Done(rows) => {
                let now = clock::now();
                if away_since.take().is_some_and(|since| now.since(since) >= AWAY_AFTER) {
                    lapsed_until = now + LAPSE;
                }
                take_endpoints(&front, &rows.rows, lapsed_until, &mut unreadable);
                front.directory_read.set(Some(began));
                DIRECTORY_INTERVAL
            }
            Outcome::NotDone(_) | Outcome::Unknown => {
                away_since.get_or_insert(front.directory_read.get().unwrap_or(began));
                RETRY_INTERVAL
            }
        };
        tokio::time::sleep(pause).await;
    }
}

fn take_endpoints(
    front: &Front,
    rows: &[Row],
    lapsed_until: Instant,
    unreadable: &mut HashMap<String, u64>,
) {
    let mut entries = Vec::with_capacity(rows.len());
    for row in rows {
        match endpoint::decode(&row.key.key, &row.value) {
            Ok(entry) => entries.push(entry),
            // Each version of a wrong entry is logged once.
            Err(error) => {
                if unreadable.insert(row.key.key.clone(), row.revision) != Some(row.revision) {
                    let (id, error) = (&row.key.key, error.to_string());
                    emit!(front.log, Event::EndpointUnreadable, "endpoint" => id, "revision" => row.revision, "error" => error);
                }
            }
        }
    }
    unreadable.retain(|id, _| rows.iter().any(|row| row.key.key == *id));
    let change = front.fleet.borrow_mut().apply_directory(entries, lapsed_until, clock::now());
    let fleet = front.fleet.borrow();
    for id in &change.joined {
        let endpoint = fleet.get(id).map(|member| &member.endpoint);
        let Some(e) = endpoint else { continue };
        let (address, layers) = (e.address.to_string(), e.layers.map(|layers| layers.to_string()));
        emit!(front.log, Event::EndpointJoined, "endpoint" => &**id, "service" => &*e.service, "zone" => &*e.zone, "address" => address, "incarnation" => e.incarnation, "layers" => layers);
    }
    for id in &change.layers_changed {
        let layers = fleet.get(id).and_then(|member| member.endpoint.layers);
        emit!(front.log, Event::EndpointPlaced, "endpoint" => &**id, "source" => "store", "layers" => layers.map(|layers| layers.to_string()));
    }
    for id in &change.leaving {
        emit!(front.log, Event::EndpointLeaving, "endpoint" => &**id);
    }
    for id in &change.gone {
        emit!(front.log, Event::EndpointGone, "endpoint" => &**id);
    }
}

/// Counts a call to the store and logs when it is lost and regained.
pub fn note<T>(front: &Front, call: PlatformCall, outcome: &Outcome<T>) {
    let now = clock::now();
    let label = match outcome {
        Outcome::Done(_) => CallOutcome::Done,
        Outcome::NotDone(Refusal::Conflict(_)) => CallOutcome::Conflict,
        Outcome::NotDone(Refusal::Unavailable) => CallOutcome::Unavailable,
        Outcome::NotDone(Refusal::OverBudget) => CallOutcome::OverBudget,
        Outcome::NotDone(Refusal::Invalid(_)) => CallOutcome::Invalid,
        Outcome::Unknown => CallOutcome::Unknown,
    };
    front.meter.table_calls(1, call, label);
    let answered = matches!(label, CallOutcome::Done | CallOutcome::Conflict);
    let reached = front.store_reached.get();
    if answered {
        if front.store_lost.replace(false) {
            let away = reached.map(|at| millis(now.since(at)));
            emit!(front.log, Event::StoreRegained, "away_ms" => away);
        }
        front.store_reached.set(Some(now));
    } else if !front.store_lost.replace(true) {
        let reason = match outcome {
            Outcome::NotDone(refusal) => format!("{refusal:?}"),
            _ => "no answer".to_owned(),
        };
        emit!(front.log, Event::StoreLost, "reason" => reason);
    }
}
