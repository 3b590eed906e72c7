//! Requests reports from endpoints and checks whether they are alive.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use mimosaplatform::{engine, header};
use mimosashift::connection_pool::{Failure, Reuse, Witness};
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::exchange::Report;
use mimosashift::fleet::{Hop, Member};
use mimosashift::time::Instant;
use tokio::sync::OnceCell;
use tokio::time::{sleep, timeout};

use crate::call::CallError;
use crate::clock;
use crate::state::RouterState;

/// Time limit for a report: allows for several round trips between zones and for
/// a busy endpoint.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which each engine of the own zone is asked for a report.
const REPORT_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Delay after which a probe also tries a new connection, since the pooled one
/// may be dead: several times the usual response time of a report.
const NEW_CONNECTION_DELAY: Duration = Duration::from_millis(40);

/// Time limit for a new connection and a report over it, after which an
/// endpoint counts as dead: a hundred round trips within a zone.
const FRESH_PROBE_TIMEOUT: Duration = Duration::from_millis(120);

/// Time limit for the health check of an endpoint that ended an answer: a busy one lets it wait.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Extra time for reading a response that has already arrived.
const LATE_READ_GRACE: Duration = Duration::from_millis(15);

/// Interval of the checks for endpoints whose streams have stalled: a fraction of
/// the usual time between two events of a stream.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which the result of a probe is shared by all requests that need it.
const PROBE_RESULT_TTL: Duration = Duration::from_millis(400);

/// Largest report that is accepted.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Result of a liveness probe.
#[derive(Clone, Debug)]
pub enum ProbeResult {
    /// The endpoint answered.
    Alive(Report),
    /// The endpoint did not answer.
    Dead(NoReport),
}

/// Why an endpoint gave no report.
#[derive(Clone, Debug)]
pub struct NoReport {
    /// The error, for logs.
    pub reason: String,
    /// Whether it refused or closed the connection, as the system does for a process
    /// that has ended, instead of staying silent.
    pub closed: bool,
}

impl From<Failure> for NoReport {
    fn from(failure: Failure) -> Self {
        let is_unknown =
            matches!(failure, Failure::NotSent { refused: false, .. } | Failure::Exhausted);
        let closed = !is_unknown;
        Self { reason: failure.to_string(), closed }
    }
}

impl From<CallError> for NoReport {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Failed(failure) => failure.into(),
            CallError::Stray => error.to_string().into(),
        }
    }
}

impl From<String> for NoReport {
    fn from(reason: String) -> Self {
        Self { reason, closed: false }
    }
}

/// Probe results by endpoint, with the time when the probe started.
pub type ProbeResults = HashMap<Arc<str>, (Instant, Rc<OnceCell<ProbeResult>>)>;

/// Requests a report from an endpoint and applies it.
pub async fn fetch_report(state: &Rc<RouterState>, hop: &Hop) -> Result<Report, NoReport> {
    request_report(state, hop, Reuse::Any, REPORT_TIMEOUT).await
}

/// Checks whether an endpoint is alive; callers within [`PROBE_RESULT_TTL`]
/// share one probe.
pub async fn check_alive(state: &Rc<RouterState>, hop: &Hop) -> ProbeResult {
    let now = clock::now();
    let result = {
        let mut results = state.probe_results.borrow_mut();
        results.retain(|_, (at, _)| now.since(*at) < PROBE_RESULT_TTL);
        let entry = results.entry(hop.id.clone());
        entry.or_insert_with(|| (now, Rc::default())).1.clone()
    };
    result.get_or_init(|| probe_liveness(state, hop)).await.clone()
}

/// Checks whether an endpoint is alive now, with a probe of its own.
pub async fn check_still_alive(state: &Rc<RouterState>, hop: &Hop) -> ProbeResult {
    state.probe_results.borrow_mut().remove(&hop.id);
    check_alive(state, hop).await
}

/// Whether an endpoint of a plain service, which has closed a connection, has crashed: it
/// accepts no new one, or another incarnation answers its health check.
pub async fn has_crashed(state: &Rc<RouterState>, hop: &Hop, health_path: &str) -> bool {
    let check = async {
        let mut exchange =
            state.call(hop, engine::health_request(hop.address, health_path), Reuse::Never).await?;
        exchange.collect(MAX_REPORT_BYTES).await?;
        Ok::<_, NoReport>(header::response(exchange.head.headers()).endpoint)
    };
    match timeout(FRESH_PROBE_TIMEOUT, check).await {
        Ok(Ok(endpoint)) => {
            let fleet = state.fleet.borrow();
            let listed = fleet.get(&hop.id).and_then(Member::hop);
            endpoint.is_some_and(|id| *id != *hop.id)
                || listed.is_some_and(|listed| listed.incarnation != hop.incarnation)
        }
        Ok(Err(error)) => error.closed,
        // A silent endpoint may be cut off.
        Err(_) => false,
    }
}

/// Whether the process of a plain endpoint that held `witness` before a request was sent, and so
/// answered it, still lives after the end of the answer. Without an answer it is not known.
pub async fn is_same_process(
    state: &Rc<RouterState>,
    hop: &Hop,
    witness: Option<&Witness>,
    health_path: &str,
) -> bool {
    let Some(witness) = witness else { return false };
    let is_own = |head: &Response<()>| {
        let info = header::response(head.headers());
        let is_named = info.endpoint.map_or(!head.status().is_success(), |id| *id == *hop.id);
        info.id.is_none() && is_named
    };
    let request = engine::health_request(hop.address, health_path);
    let confirming = witness.confirm(&state.pool, request, is_own);
    timeout(WITNESS_TIMEOUT, confirming).await.unwrap_or(false)
}

/// Tries a pooled connection and, after a delay, a new one in parallel. The
/// endpoint is marked dead if the new one fails before either returns a report.
async fn probe_liveness(state: &Rc<RouterState>, hop: &Hop) -> ProbeResult {
    let pooled = request_report(state, hop, Reuse::Any, REPORT_TIMEOUT);
    let fresh = async {
        sleep(NEW_CONNECTION_DELAY).await;
        request_report(state, hop, Reuse::Never, FRESH_PROBE_TIMEOUT).await
    };
    let (mut pooled, mut fresh) = (std::pin::pin!(pooled), std::pin::pin!(fresh));
    let outcome = tokio::select! {
        Ok(report) = &mut pooled => Ok(report),
        outcome = &mut fresh => outcome,
    };
    match outcome {
        Ok(report) => ProbeResult::Alive(report),
        Err(error) => {
            state.pool.close_idle(hop.address);
            state.mark_dead(&hop.id, &error.reason);
            ProbeResult::Dead(error)
        }
    }
}

/// Probes endpoints whose streams stall, those that close a connection, and
/// periodically those that are marked dead.
pub async fn watch_liveness(state: Rc<RouterState>) {
    loop {
        let closed = tokio::select! {
            () = sleep(STALL_CHECK_INTERVAL) => Vec::new(),
            closed = state.pool.closed_addresses() => closed,
        };
        let hops = {
            let fleet = state.fleet.borrow();
            let mut hops = fleet.stalled(clock::now());
            hops.extend(fleet.due_for_probe(clock::now()));
            let closed = closed.iter().filter_map(|address| fleet.member_at(*address));
            hops.extend(closed.filter_map(|member| member.hop()));
            hops
        };
        for hop in hops {
            let state = state.clone();
            // The result is recorded in the fleet.
            tokio::task::spawn_local(async move { drop(check_alive(&state, &hop).await) });
        }
    }
}

async fn request_report(
    state: &Rc<RouterState>,
    hop: &Hop,
    reuse: Reuse<'_>,
    time_limit: Duration,
) -> Result<Report, NoReport> {
    let call = engine::report_request(hop.address);
    let exchange = async {
        let mut exchange = state.call(hop, call, reuse).await?;
        let status = exchange.head.status();
        if status != StatusCode::OK {
            // All fields of a report are optional, so that any JSON object decodes as one.
            return Err(format!("report has status {}", status.as_u16()).into());
        }
        let body = exchange.collect(MAX_REPORT_BYTES).await?;
        Ok::<_, NoReport>(engine::decode_report(&body).map_err(|e| e.to_string())?)
    };
    let mut exchange = std::pin::pin!(exchange);
    let report = match timeout(time_limit, &mut exchange).await {
        Ok(report) => report?,
        // If this router itself was delayed, a response may be waiting unread.
        Err(_) => match timeout(LATE_READ_GRACE, &mut exchange).await {
            Ok(report) => report?,
            Err(_) => return Err("report timed out".to_owned().into()),
        },
    };
    state.apply_report(&hop.id, &report);
    Ok(report)
}

/// Polls the engines of the own zone for their speed, so that slow ones are
/// known; the routers of a zone divide the engines among them.
pub async fn poll_reports(state: Rc<RouterState>) {
    loop {
        sleep(REPORT_POLL_INTERVAL).await;
        for hop in assigned_engines(&state) {
            if let Err(error) = fetch_report(&state, &hop).await {
                // A later request detects whether the endpoint is gone.
                emit!(state.log, Event::ReportMissing, "endpoint" => &*hop.id, "reason" => error.reason);
            }
        }
    }
}

/// The engines that this router polls.
fn assigned_engines(state: &RouterState) -> Vec<Hop> {
    let node = state.node();
    let now = clock::now();
    let peers = state.peers.borrow();
    let zone_peers = peers.alive(now).filter(|peer| peer.digest.zone == node.zone);
    let mut names: Vec<_> = zone_peers.map(|peer| peer.digest.node.clone()).collect();
    names.push(node.name.clone());
    names.sort();
    let rank = names.iter().position(|name| *name == node.name).unwrap_or_default();
    let fleet = state.fleet.borrow();
    let engines = fleet.members().filter(|m| m.endpoint.zone == node.zone);
    let engines = engines.filter(|m| !fleet.is_resting(&m.endpoint.id, now));
    let engines = engines.filter_map(|member| member.hop());
    engines.enumerate().filter(|(i, _)| i % names.len() == rank).map(|(_, hop)| hop).collect()
}
