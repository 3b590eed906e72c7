//! Asks endpoints for their reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosaplatform::engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::Report;
use mimosashift::fleet::Hop;
use mimosashift::time::Instant;
use tokio::sync::OnceCell;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::front::Front;

/// Time for a report: some round trips between zones and a busy endpoint.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two reports of each engine of the own zone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a kept connection, which may have gone silent, is tried
/// alone: several times what a report takes.
const KEPT_HEAD_START: Duration = Duration::from_millis(40);

/// Time for a new connection and a report over it before an endpoint counts as
/// dead: a hundred round trips within a zone.
const FIND_TIMEOUT: Duration = Duration::from_millis(120);

/// Time in which an answer that has arrived is read.
const GRACE: Duration = Duration::from_millis(15);

/// Time between two looks for endpoints that fell silent: a fraction of the
/// usual time between two events.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which what an endpoint answered holds for all requests that wait
/// for it.
const FINDING_LIFE: Duration = Duration::from_millis(400);

/// Largest report that is read.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// What asking an endpoint found.
#[derive(Clone, Debug)]
pub enum Finding {
    /// It answers.
    Alive(Report),
    /// It does not, for this reason.
    Dead(String),
}

/// Findings by endpoint, with the time when it was asked.
pub type Findings = HashMap<Arc<str>, (Instant, Rc<OnceCell<Finding>>)>;

/// Asks an endpoint for its report and takes it in.
pub async fn report(front: &Rc<Front>, hop: &Hop) -> Result<Report, String> {
    ask(front, hop, false, REPORT_TIMEOUT).await
}

/// Asks whether an endpoint is alive, once for all requests that want to know
/// at the same time.
pub async fn examine(front: &Rc<Front>, hop: &Hop) -> Finding {
    let now = clock::now();
    let cell = {
        let mut findings = front.findings.borrow_mut();
        findings.retain(|_, (at, _)| now.since(*at) < FINDING_LIFE);
        let entry = findings.entry(hop.id.clone());
        entry.or_insert_with(|| (now, Rc::default())).1.clone()
    };
    cell.get_or_init(|| find(front, hop)).await.clone()
}

/// A kept connection is tried first; soon a new one is tried beside it, and
/// when neither brings an answer, the endpoint is dead.
async fn find(front: &Rc<Front>, hop: &Hop) -> Finding {
    let kept = ask(front, hop, false, REPORT_TIMEOUT);
    let fresh = async {
        sleep(KEPT_HEAD_START).await;
        ask(front, hop, true, FIND_TIMEOUT).await
    };
    let (mut kept, mut fresh) = (std::pin::pin!(kept), std::pin::pin!(fresh));
    let found = tokio::select! {
        Ok(report) = &mut kept => Ok(report),
        found = &mut fresh => found,
    };
    match found {
        Ok(report) => Finding::Alive(report),
        Err(reason) => {
            front.pool.forget(hop.address);
            front.bury(&hop.id, &reason);
            Finding::Dead(reason)
        }
    }
}

/// Asks endpoints that fall silent, those that close a connection, and from
/// time to time those that gave no answer.
pub async fn watch(front: Rc<Front>) {
    loop {
        let closed = tokio::select! {
            () = sleep(WATCH_INTERVAL) => Vec::new(),
            closed = front.pool.closed() => closed,
        };
        let hops = {
            let fleet = front.fleet.borrow();
            let mut hops = fleet.stalled(clock::now());
            hops.extend(fleet.due_for_probe(clock::now()));
            let closed = closed.iter().filter_map(|address| fleet.member_at(*address));
            hops.extend(closed.filter_map(|member| member.hop()));
            hops
        };
        for hop in hops {
            let front = front.clone();
            // What it finds is noted with the endpoint.
            tokio::task::spawn_local(async move { drop(examine(&front, &hop).await) });
        }
    }
}

async fn ask(front: &Rc<Front>, hop: &Hop, fresh: bool, time: Duration) -> Result<Report, String> {
    let call = engine::report_call(hop.address);
    let exchange = async {
        let mut exchange =
            front.pool.send(hop.address, call, fresh).await.map_err(|e| e.to_string())?;
        let body = exchange.collect(MAX_REPORT_BYTES).await.map_err(|e| e.to_string())?;
        engine::report(&body).map_err(|e| e.to_string())
    };
    let mut exchange = std::pin::pin!(exchange);
    let report = match timeout(time, &mut exchange).await {
        Ok(report) => report?,
        // On a router that was held up itself, an answer may lie unread.
        Err(_) => match timeout(GRACE, &mut exchange).await {
            Ok(report) => report?,
            Err(_) => return Err("report timed out".to_owned()),
        },
    };
    front.take_report(&hop.id, &report);
    Ok(report)
}

/// Asks the engines of the own zone for their pace, so that slow ones are
/// known; routers of one zone share them.
pub async fn sweep(front: Rc<Front>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        for hop in share(&front) {
            if let Err(reason) = report(&front, &hop).await {
                // A later request finds out whether it is gone.
                emit!(front.log, Event::ReportMissing, "endpoint" => &*hop.id, "reason" => reason);
            }
        }
    }
}

/// The engines that this router asks.
fn share(front: &Front) -> Vec<Hop> {
    let node = front.node();
    let now = clock::now();
    let peers = front.peers.borrow();
    let near = peers.alive(now).filter(|peer| peer.digest.zone == node.zone);
    let mut names: Vec<_> = near.map(|peer| peer.digest.node.clone()).collect();
    names.push(node.name.clone());
    names.sort();
    let rank = names.iter().position(|name| *name == node.name).unwrap_or_default();
    let fleet = front.fleet.borrow();
    let engines = fleet.members().filter(|m| m.endpoint.zone == node.zone);
    let engines = engines.filter_map(|member| member.hop());
    engines.enumerate().filter(|(i, _)| i % names.len() == rank).map(|(_, hop)| hop).collect()
}
