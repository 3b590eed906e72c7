//! Accepts clients' connections.

use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::front::Front;
use crate::relay;

/// Pause after a connection could not be accepted, for example because file
/// descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Least size of the head buffer that the HTTP library takes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Accepts connections until the router stops accepting.
pub async fn serve(front: Rc<Front>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let mut stop = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The sender lives as long as the router.
            _ = stop.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = connection(front.clone(), stream, closing.clone());
                tokio::task::spawn_local(serving);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection(front: Rc<Front>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    // Small events are passed on at once; without the option they are late.
    drop(stream.set_nodelay(true));
    let limits = front.deployment().map_or_else(Default::default, |d| d.limits);
    let service = service_fn(|request| relay::handle(front.clone(), request));
    let mut builder = http1::Builder::new();
    // The library's timer covers idle time as well, so it is the longer one.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.read_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES));
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        // How a connection ends shows in its requests.
        _ = serving.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => serving.as_mut().graceful_shutdown(),
    }
    drop(serving.await);
}
