//! Reads bodies to their end, within the memory for buffered data.

use std::pin::{Pin, pin};

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::{Response, StatusCode};
use mimosashift::meter::RefusalReason;
use mimosashift::time::Instant;

use super::{DEFAULT_RETRY_AFTER, EXHAUSTED_REASON, RequestError};
use crate::body::ResponseBody;
use crate::clock;
use crate::connection::limits_since;
use crate::server::Listener;
use crate::state::RouterState;

/// Largest stream that is buffered for a client of HTTP/1.0.
const MAX_BUFFERED_STREAM_BYTES: usize = 8 * 1024 * 1024;

/// Replaces a streamed body by a buffered one, which is sent with a length.
/// Without chunks, a client could not tell a truncated stream from a complete
/// one.
pub(super) async fn buffer_stream(
    state: &RouterState,
    response: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, RequestError> {
    let (head, body) = response.into_parts();
    let ResponseBody::Stream(_) = body else { return Ok(Response::from_parts(head, body)) };
    let failed = |reason| RequestError::Failed(StatusCode::BAD_GATEWAY, reason);
    let body = collect(state, pin!(Limited::new(body, MAX_BUFFERED_STREAM_BYTES))).await;
    let body = body.map_err(|error| match error {
        CollectError::Exhausted => failed(EXHAUSTED_REASON),
        CollectError::Body(_) => failed("stream was not completed"),
    })?;
    Ok(Response::from_parts(head, ResponseBody::Full(Some(body))))
}

/// Why a body was not collected.
enum CollectError<E> {
    /// It broke off, or exceeds its limit.
    Body(E),
    /// The memory for buffered data is used up.
    Exhausted,
}

/// Reads a body to its end, within the memory for buffered data.
async fn collect<B: Body<Data = Bytes>>(
    state: &RouterState,
    mut body: Pin<&mut B>,
) -> Result<Bytes, CollectError<B::Error>> {
    let mut buffer = state.budget.buffer();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.revoked() => return Err(CollectError::Exhausted),
        };
        match frame {
            Some(Ok(frame)) => {
                // Trailers are not used.
                let Ok(data) = frame.into_data() else { continue };
                buffer.push(&data).map_err(|_| CollectError::Exhausted)?;
            }
            Some(Err(error)) => return Err(CollectError::Body(error)),
            None => return buffer.finish().map_err(|_| CollectError::Exhausted),
        }
    }
}

/// Reads the body of a request, under the limits in force meanwhile.
pub(super) async fn read_body(
    state: &RouterState,
    body: Incoming,
    listener: Listener,
    arrived: Instant,
) -> Result<Bytes, RequestError> {
    let limits = || limits_since(state, listener, arrived);
    let body = pin!(Limited::new(body, limits().body_bytes));
    let mut collected = pin!(collect(state, body));
    loop {
        let remaining = (arrived + limits().read_timeout).since(clock::now());
        match tokio::time::timeout(remaining, collected.as_mut()).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(CollectError::Body(error))) if error.is::<LengthLimitError>() => {
                return Err(RequestError::Denied(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
            }
            Ok(Err(CollectError::Body(_))) => {
                return Err(RequestError::Denied(StatusCode::BAD_REQUEST, "body broke off"));
            }
            Ok(Err(CollectError::Exhausted)) => {
                let shed = RefusalReason::Shed;
                return Err(RequestError::Refused(shed, EXHAUSTED_REASON, DEFAULT_RETRY_AFTER));
            }
            Err(_) if clock::now() < arrived + limits().read_timeout => {}
            Err(_) => {
                let invalid = RefusalReason::Invalid;
                return Err(RequestError::Refused(invalid, "body too slow", DEFAULT_RETRY_AFTER));
            }
        }
    }
}
