//! Serves the metrics.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::body::Answer;
use crate::front::Front;

/// Answers every path with the metrics, for as long as the router runs.
pub async fn serve(front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let front = front.clone();
        let service = service_fn(move |_| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(answer(&front)) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // Whoever reads the metrics asks again.
        tokio::task::spawn_local(async move { drop(connection.await) });
    }
}

fn answer(front: &Front) -> Response<Answer> {
    front.meter.running(front.in_flight.get() as u64);
    match front.meter.render() {
        Ok(text) => Response::new(Answer::Whole(Some(Bytes::from(text)))),
        Err(error) => {
            let mut response = Response::new(Answer::Whole(Some(error.to_string().into())));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
