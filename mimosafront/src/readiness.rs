//! Answers the balancer whether this router takes connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use mimosashift::emit;
use mimosashift::event::Event;
use tokio::net::TcpListener;

use crate::body::Answer;
use crate::front::Front;

/// Why the router is not ready; `None` when it is.
pub fn obstacle(front: &Front) -> Option<&'static str> {
    if front.stopping.get() {
        return Some("stopping");
    }
    if front.deployment.borrow().is_none() {
        return Some("no configuration");
    }
    if !front.keys_are_current() {
        return Some("configuration not confirmed");
    }
    None
}

/// Answers for as long as the router runs.
pub async fn serve(front: Rc<Front>, listener: TcpListener) {
    let last = Rc::new(Cell::new(None));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (front, last) = (front.clone(), last.clone());
        let service = service_fn(move |_| {
            let (front, last) = (front.clone(), last.clone());
            async move { Ok::<_, Infallible>(answer(&front, &last)) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // The balancer asks again whatever becomes of this connection.
        tokio::task::spawn_local(async move { drop(connection.await) });
    }
}

fn answer(front: &Front, last: &Cell<Option<Option<&'static str>>>) -> Response<Answer> {
    let obstacle = obstacle(front);
    if last.replace(Some(obstacle)) != Some(obstacle) {
        let (revision, age) = (front.revision(), front.config_age_ms());
        match obstacle {
            None => {
                emit!(front.log, Event::FrontReady, "revision" => revision, "config_age_ms" => age);
            }
            Some(reason) => {
                emit!(front.log, Event::FrontNotReady, "reason" => reason, "revision" => revision, "config_age_ms" => age);
            }
        }
    }
    let mut response = Response::new(Answer::Whole(None));
    if obstacle.is_some() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
