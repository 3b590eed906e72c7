//! Serves the metrics and explanations to operators over HTTP.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mimosashift::meter::MemberState;
use tokio::net::TcpListener;

use crate::body::ResponseBody;
use crate::relay::explain;
use crate::state::RouterState;
use crate::{BUILD, clock};

/// Explains requests at [`explain::PATH`] and returns the metrics for every other path, until
/// the router exits.
pub async fn serve(state: Rc<RouterState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = state.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let state = state.clone();
            async move {
                Ok::<_, Infallible>(match request.uri().path() {
                    explain::PATH => explain::respond(&state, request).await,
                    _ => respond(&state),
                })
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // A failed scrape is repeated by the scraper.
        tokio::task::spawn_local(async move { drop(connection.await) });
    }
}

/// The metric that names the build; its labels are the same in all answers.
fn build_info() -> String {
    let version = env!("CARGO_PKG_VERSION");
    format!(
        "# HELP mimosashift_build_info Version and commit of this program; always 1.\n\
         # TYPE mimosashift_build_info gauge\n\
         mimosashift_build_info{{version=\"{version}\",build=\"{BUILD}\"}} 1\n"
    )
}

fn respond(state: &RouterState) -> Response<ResponseBody> {
    state.meter.running(state.in_flight.get() as u64);
    let usage = state.budget.usage();
    state.meter.buffered_bytes(usage.bytes as u64);
    state.meter.given_up_buffers(usage.given_up);
    let peers = state.peers.borrow().alive(clock::now()).count();
    state.meter.members(peers as u64, MemberState::Alive);
    match state.meter.render() {
        Ok(text) => {
            let text = text + &build_info();
            Response::new(ResponseBody::Full(Some(Bytes::from(text))))
        }
        Err(error) => {
            let mut response = Response::new(ResponseBody::Full(Some(error.to_string().into())));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
