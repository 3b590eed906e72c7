//! Readiness endpoint for the load balancer.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use mimosashift::emit;
use mimosashift::event::Event;
use tokio::net::TcpListener;

use crate::body::ResponseBody;
use crate::state::RouterState;

/// Delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reason why the router is not ready; `None` if it is.
pub fn unready_reason(state: &RouterState) -> Option<&'static str> {
    if state.stopping.is_set() {
        return Some("stopping");
    }
    if state.active_config.borrow().is_none() {
        return Some("no configuration");
    }
    if !state.keys_are_current() {
        return Some("configuration not confirmed");
    }
    if state.directory_read_at().is_none() {
        return Some("endpoints not known");
    }
    None
}

/// Serves readiness checks until the router exits.
pub async fn serve(state: Rc<RouterState>, listener: TcpListener) {
    let last_logged = Rc::new(Cell::new(None));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (state, last_logged) = (state.clone(), last_logged.clone());
        let service = service_fn(move |_| {
            let (state, last_logged) = (state.clone(), last_logged.clone());
            async move { Ok::<_, Infallible>(respond(&state, &last_logged)) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // The load balancer repeats the check if this connection fails.
        tokio::task::spawn_local(async move { drop(connection.await) });
    }
}

fn respond(
    state: &RouterState,
    last_logged: &Cell<Option<Option<&'static str>>>,
) -> Response<ResponseBody> {
    let unready_reason = unready_reason(state);
    if last_logged.replace(Some(unready_reason)) != Some(unready_reason) {
        let (revision, age) = (state.revision(), state.config_age_ms());
        match unready_reason {
            None => {
                emit!(state.log, Event::FrontReady, "revision" => revision, "config_age_ms" => age);
            }
            Some(reason) => {
                emit!(state.log, Event::FrontNotReady, "reason" => reason, "revision" => revision, "config_age_ms" => age);
            }
        }
    }
    let mut response = Response::new(ResponseBody::Full(None));
    if unready_reason.is_some() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
