//! A service without an engine.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, body::Incoming};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::endpoints::{CRASHING_BODY, Endpoints, Health, Member, RequestTrace};
use super::engine::{Chunk, Reply, break_off, header_text, reply, stream_reply, stream_response};
use super::proxy::LinkState;

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Number of events of a stream.
pub const FEED_EVENTS: u64 = 3;

#[derive(Clone)]
pub struct Plain {
    pub endpoints: Arc<Endpoints>,
    pub member: Arc<Member>,
}

pub async fn serve(plain: Plain, listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let plain = plain.clone();
        let service = service_fn(move |request| {
            let plain = plain.clone();
            async move {
                Ok::<_, DroppedConnection>(plain.member.with_state(plain.answer(request).await?))
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(connection.await) });
    }
}

/// Error that makes hyper close the connection without a response.
#[derive(Debug)]
struct DroppedConnection;

impl std::fmt::Display for DroppedConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for DroppedConnection {}

impl Plain {
    async fn answer(&self, request: Request<Incoming>) -> Result<Reply, DroppedConnection> {
        let health = self.member.state().health;
        if health == Health::Unresponsive {
            std::future::pending::<()>().await;
        }
        let (head, body) = request.into_parts();
        if head.uri.path() == "/health" {
            return Ok(reply(200, &[("instance-id", &self.member.process_id())], ""));
        }
        let id = header_text(&head.headers, "request-id").unwrap_or_default().to_owned();
        self.endpoints.record_arrival(&self.member, &id);
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        if header_text(&head.headers, "target-instance") != Some(&self.member.process_id()) {
            let headers = [("not-executed", "1"), ("request-id", &*id)];
            self.wait_before_refusal().await;
            return Ok(reply(421, &headers, "{}"));
        }
        if let Some(rejection) = self.member.reject(&id) {
            return Ok(rejection);
        }
        if self.member.refuses_in_turn() {
            self.wait_before_refusal().await;
            return Ok(reply(503, &[("not-executed", "1"), ("request-id", &id)], "{}"));
        }
        self.endpoints.update_trace(&id, |trace| {
            trace.runs += 1;
            trace.last_activity = Some(Instant::now());
            trace.team = header_text(&head.headers, "tenant").map(str::to_owned);
            trace.key_leaked |= head.headers.contains_key("authorization");
            trace.call = format!("{} {} {}", head.method, head.uri, String::from_utf8_lossy(&body));
        });
        if body == CRASHING_BODY {
            self.endpoints.crashing_arrivals.lock().unwrap().push(Instant::now());
            self.endpoints.crash(&self.member);
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(service_time(head.uri.query())).await;
        if let Some(failure) = self.member.fail(&id) {
            return Ok(failure);
        }
        if head.uri.path().starts_with("/feed/") {
            return Ok(feed(&id, health));
        }
        if ["/draft/", "/note/"].iter().any(|path| head.uri.path().starts_with(path)) {
            return Ok(self.stream(&id, &head.headers));
        }
        match health {
            Health::DropsResponses => Err(DroppedConnection),
            Health::Failing => {
                Ok(reply(500, &[("request-id", &id), ("response-signature", "s")], "failed"))
            }
            Health::Healthy
            | Health::Unresponsive
            | Health::Stuck
            | Health::Trickles
            | Health::Unframed
            | Health::ClosesInsideEvent
            | Health::CrashesAfterEvent => {
                let signature = format!("sig-{id}");
                let headers = [("request-id", &*id), ("response-signature", &*signature)];
                Ok(reply(200, &headers, &format!("answer to {id}")))
            }
        }
    }
}

impl Plain {
    async fn wait_before_refusal(&self) {
        let delay = self.member.state().refusal_delay;
        tokio::time::sleep(delay).await;
    }

    /// A stream of the events after the one that the request names, in the usual interval.
    fn stream(&self, id: &str, headers: &HeaderMap) -> Reply {
        let number = |text: &str| text.trim().parse::<u64>().unwrap();
        let after = header_text(headers, "last-event-id").map_or(0, number);
        let counts = header_text(headers, "token-counts").unwrap_or("0,40");
        let total = number(counts.split(',').nth(1).unwrap()) / 4;
        let (sender, chunks) = mpsc::channel(1);
        let health = self.member.state().health;
        tokio::spawn(self.clone().write_events(id.to_owned(), after + 1..=total, health, sender));
        stream_response(id, health, chunks)
    }

    async fn write_events(
        self,
        id: String,
        events: RangeInclusive<u64>,
        health: Health,
        to: mpsc::Sender<Chunk>,
    ) {
        let (first, total) = (*events.start(), *events.end());
        for event in events {
            tokio::time::sleep(self.endpoints.options.event_interval).await;
            let data = format!("id: {event}\ndata: {id} {event}/{total}\n\n");
            match health {
                Health::DropsResponses if event > first + 1 => return,
                Health::Stuck if event > first + 1 => std::future::pending().await,
                Health::ClosesInsideEvent if event > first + 1 => {
                    drop(to.send(Some(data[..data.len() / 2].to_owned().into())).await);
                    return break_off(true, &to).await;
                }
                Health::CrashesAfterEvent if event > first + 1 => {
                    self.member.proxy.set(LinkState::Reset);
                    return;
                }
                _ => {}
            }
            if to.send(Some(data.into())).await.is_err() {
                return;
            }
            self.endpoints.update_trace(&id, RequestTrace::record_event);
        }
        drop(to.send(None).await);
    }
}

/// The time that a request asks for in its query, as `ms=N`.
fn service_time(query: Option<&str>) -> Duration {
    let ms = query.and_then(|query| query.strip_prefix("ms="));
    ms.map_or(SERVICE_TIME, |ms| Duration::from_millis(ms.parse().unwrap()))
}

/// A stream of events, which is cut inside the last one if the endpoint closes
/// its connections there.
fn feed(id: &str, health: Health) -> Reply {
    let mut body = (1..=FEED_EVENTS).fold(String::new(), |body, event| {
        body + &format!("id: {event}\ndata: {id} {event}/{FEED_EVENTS}\n\n")
    });
    if health == Health::ClosesInsideEvent {
        body.truncate(body.len() - 5);
    }
    stream_reply(id, health, body)
}
