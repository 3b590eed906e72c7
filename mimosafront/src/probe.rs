//! Asks endpoints for their reports.

use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::Report;
use mimosashift::fleet::Hop;

use crate::clock;
use crate::front::Front;

/// Time for a report: some round trips between zones and a busy endpoint.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two reports of each engine of the own zone.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3);

/// Largest report that is read.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Asks an endpoint for its report and takes it in.
///
/// A `fresh` report comes over a new connection, as a kept one may have gone
/// silent.
pub async fn report(front: &Rc<Front>, hop: &Hop, fresh: bool) -> Result<Report, String> {
    let call = engine::report_call(hop.address);
    let exchange = async {
        let mut exchange =
            front.pool.send(hop.address, call, fresh).await.map_err(|e| e.to_string())?;
        let body = exchange.collect(MAX_REPORT_BYTES).await.map_err(|e| e.to_string())?;
        engine::report(&body).map_err(|e| e.to_string())
    };
    let report = match tokio::time::timeout(REPORT_TIMEOUT, exchange).await {
        Ok(report) => report?,
        Err(_) => return Err("report timed out".to_owned()),
    };
    front.fleet.borrow_mut().report(&hop.id, &report);
    Ok(report)
}

/// Asks the engines of the own zone for their pace, so that slow ones are
/// known; routers of one zone share them.
pub async fn sweep(front: Rc<Front>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        for hop in share(&front) {
            if let Err(reason) = report(&front, &hop, false).await {
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
