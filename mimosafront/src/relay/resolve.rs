//! Resolves the route and the team of a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use mimosashift::deployment::{Denied, Deployment, Route};
use mimosashift::meter::RefusalReason;

use super::{DEFAULT_RETRY_AFTER, RequestError};
use crate::clock;
use crate::state::RouterState;

/// Time limit for confirming the configuration before a request is rejected: a
/// few round trips to the store.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a request waits until the directory has first been read: several calls
/// to the store.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the configuration up to which a route or key may be rejected as
/// unknown if confirming the configuration fails: within the two seconds in which a configuration must
/// take effect.
const MAX_DENIAL_CONFIG_AGE: Duration = Duration::from_millis(1_500);

/// Waits until a router that has just started has read the endpoint directory: until then
/// it does not know whether a request can be served.
pub(super) async fn wait_for_directory(state: &RouterState) -> Result<(), RequestError> {
    if state.directory_read_at().is_none() {
        // The outcome shows below.
        drop(tokio::time::timeout(DIRECTORY_TIMEOUT, state.directory_read.notified()).await);
    }
    check_directory(state)
}

/// Whether this router knows which endpoints there are.
pub(super) fn check_directory(state: &RouterState) -> Result<(), RequestError> {
    match state.directory_read_at() {
        Some(_) => Ok(()),
        None => Err(RequestError::Refused(
            RefusalReason::NotReady,
            "endpoints not known",
            DEFAULT_RETRY_AFTER,
        )),
    }
}

/// A configuration, the route of a request in it, and the name of its team.
pub(super) type ResolvedRoute = (Rc<Deployment>, Arc<Route>, Option<String>);

/// In whose name a request is sent.
#[derive(Clone, Copy)]
pub(super) enum Caller<'a> {
    /// Whoever has this key.
    Key(Option<&'a str>),
    /// A team, as operators name it.
    Team(&'a str),
}

/// Resolves the route and team of a request against a configuration that is
/// recent enough to deny the request or accept its key.
pub(super) async fn resolve_route(
    state: &RouterState,
    host: &str,
    path: &str,
    caller: Caller<'_>,
) -> Result<ResolvedRoute, RequestError> {
    if let Some(resolved) = resolve_if_confirmed(state, host, path, caller) {
        return resolved;
    }
    state.config_refresh.notify_one();
    // If this times out, the installed configuration is used unless it is
    // too old.
    drop(tokio::time::timeout(CONFIRMATION_TIMEOUT, state.config_confirmed.notified()).await);
    resolve_by_installed(state, host, path, caller)
}

/// Resolves a request if the configuration is recent enough for the outcome; `None` if it has
/// to be confirmed first.
pub(super) fn resolve_if_confirmed(
    state: &RouterState,
    host: &str,
    path: &str,
    caller: Caller<'_>,
) -> Option<Result<ResolvedRoute, RequestError>> {
    match lookup(state, host, path, caller) {
        Some(Ok(resolved)) if resolved.1.public || state.keys_are_current() => Some(Ok(resolved)),
        resolved => {
            let now = clock::now();
            let max_age = state.peers.borrow().fresh_config_age(now);
            let is_fresh = state.config_freshness.get().age(now).is_some_and(|age| age < max_age);
            is_fresh.then(|| judge(state, resolved))
        }
    }
}

/// Resolves a request after an attempt to confirm the configuration.
pub(super) fn resolve_by_installed(
    state: &RouterState,
    host: &str,
    path: &str,
    caller: Caller<'_>,
) -> Result<ResolvedRoute, RequestError> {
    let age = state.config_freshness.get().age(clock::now());
    let is_old = age.is_none_or(|age| age > MAX_DENIAL_CONFIG_AGE);
    if is_old || state.active_config.borrow().is_none() {
        return Err(not_ready("configuration not confirmed"));
    }
    judge(state, lookup(state, host, path, caller))
}

/// The outcome of a lookup that is not to be repeated.
fn judge(
    state: &RouterState,
    resolved: Option<Result<ResolvedRoute, Denied>>,
) -> Result<ResolvedRoute, RequestError> {
    match resolved {
        Some(Ok(resolved)) if resolved.1.public || state.keys_are_current() => Ok(resolved),
        Some(Ok(_)) => Err(not_ready("keys not confirmed")),
        Some(Err(Denied::NoRoute)) => Err(RequestError::Denied(StatusCode::NOT_FOUND, "no route")),
        Some(Err(Denied::InvalidKey)) => {
            Err(RequestError::Denied(StatusCode::UNAUTHORIZED, "unknown key"))
        }
        None => Err(not_ready("no configuration")),
    }
}

const fn not_ready(reason: &'static str) -> RequestError {
    RequestError::Refused(RefusalReason::NotReady, reason, DEFAULT_RETRY_AFTER)
}

fn lookup(
    state: &RouterState,
    host: &str,
    path: &str,
    caller: Caller<'_>,
) -> Option<Result<ResolvedRoute, Denied>> {
    let deployment = state.deployment()?;
    let Some(route) = deployment.route(host, path).cloned() else {
        return Some(Err(Denied::NoRoute));
    };
    let team = match caller {
        Caller::Key(key) => deployment.team(&route, key),
        Caller::Team(_) if route.public => Ok(None),
        Caller::Team(name) => deployment.team_named(name).map(Some).ok_or(Denied::InvalidKey),
    };
    let team = match team {
        Ok(team) => team.map(|team| team.name.clone()),
        Err(denied) => return Some(Err(denied)),
    };
    Some(Ok((deployment, route, team)))
}
