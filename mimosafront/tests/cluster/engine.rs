//! A model engine that is one hop of a chain: orders, reports and streams.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::LAYERS;
use super::endpoints::{
    CRASHING_BODY, CRASHING_LAST_PART, CRASHING_PART, Endpoints, Health, Member, RequestTrace,
};

/// Time for which a request waits for a dead hop before it is aborted.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause of a stream at a stuck endpoint.
const STUCK_PAUSE: Duration = Duration::from_millis(800);

/// Interval of the pieces of an event without end.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);

/// Time that loading layers takes.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// A hop of a chain: its address and range of layers.
pub type Hop = (SocketAddr, u16, u16);
pub type Reply = Response<BoxBody<Bytes, std::io::Error>>;

#[derive(Clone)]
pub struct Engine {
    pub endpoints: Arc<Endpoints>,
    pub member: Arc<Member>,
}

pub async fn serve(engine: Engine, listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        drop(stream.set_nodelay(true));
        let engine = engine.clone();
        let service = service_fn(move |request| {
            let engine = engine.clone();
            async move {
                let reply = engine.answer(request).await;
                Ok::<_, Infallible>(engine.member.with_state(reply))
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(connection.await) });
    }
}

pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

pub fn reply(status: u16, headers: &[(&'static str, &str)], body: &str) -> Reply {
    let body = Full::new(Bytes::from(body.to_owned())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    for (name, value) in headers {
        response.headers_mut().insert(*name, value.parse().unwrap());
    }
    response
}

/// A response with a stream of events that is generated in advance.
pub fn stream_reply(id: &str, health: Health, body: String) -> Reply {
    let (sender, chunks) = mpsc::channel(2);
    for chunk in [Some(body.into()), None] {
        sender.try_send(chunk).unwrap();
    }
    stream_response(id, health, chunks)
}

pub fn stream_response(id: &str, health: Health, chunks: mpsc::Receiver<Chunk>) -> Reply {
    let mut response = Response::new(StreamBody(chunks).boxed());
    if health.is_unframed() {
        // hyper ends such a body by closing the connection.
        *response.version_mut() = Version::HTTP_10;
    }
    let headers = response.headers_mut();
    headers.insert("request-id", id.parse().unwrap());
    headers.insert("response-signature", format!("sig-{id}").parse().unwrap());
    headers.insert("content-type", "text/event-stream".parse().unwrap());
    response
}

impl Engine {
    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let health = self.member.state().health;
        if health == Health::Unresponsive {
            std::future::pending::<()>().await;
        }
        let (head, body) = request.into_parts();
        if health == Health::Stuck && head.uri.path() == "/api/report" {
            std::future::pending::<()>().await;
        }
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        match (head.method.clone(), head.uri.path()) {
            (Method::GET, "/api/report") => self.report(),
            (Method::POST, "/api/order") => self.order(&body),
            _ => self.run(&head.headers, head.uri.path(), &body).await,
        }
    }

    fn report(&self) -> Reply {
        let state = self.member.state();
        let layers = state.layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
        let body = json!({"stage": "both", "busy": state.busy, "sequence": state.orders,
            "born": state.incarnation, "waiting": 0, "running": 0, "cache_used": 0,
            "cache_total": 1_000_000, "layers": layers, "pace": 1.0, "stalled": []});
        reply(200, &[], &body.to_string())
    }

    fn order(&self, body: &[u8]) -> Reply {
        let order: Value = serde_json::from_slice(body).unwrap();
        match order["operation"].as_str().unwrap() {
            "place" => self.place(&order),
            "repath" => self.reroute(&order),
            _ => reply(400, &[], "{}"),
        }
    }

    fn place(&self, order: &Value) -> Reply {
        let layers = (order["from"].as_u64().unwrap() as u16, order["to"].as_u64().unwrap() as u16);
        let mut state = self.member.state();
        if order["expected"].as_u64() != Some(state.orders) || state.busy {
            return reply(409, &[], "{}");
        }
        state.orders += 1;
        state.busy = true;
        state.layers = None;
        let (member, incarnation) = (self.member.clone(), state.incarnation);
        tokio::spawn(async move {
            tokio::time::sleep(LOAD_TIME).await;
            let mut state = member.state();
            if state.incarnation == incarnation {
                state.layers = Some(layers);
                state.busy = false;
            }
        });
        reply(202, &[], "{}")
    }

    fn reroute(&self, order: &Value) -> Reply {
        let (id, chain) = (order["id"].as_str().unwrap(), order["path"].as_str().unwrap());
        let chain = parse_chain(chain);
        if let Some((address, ..)) = chain.iter().find(|hop| !self.holds(hop)) {
            return reply(409, &[], &json!({"address": address}).to_string());
        }
        let mut chains = self.endpoints.chains.lock().unwrap();
        let Some(current) = chains.get_mut(id).filter(|current| current[0] == chain[0]) else {
            return reply(404, &[], "{}");
        };
        *current = chain;
        drop(chains);
        self.crash_last_hop(id);
        reply(200, &[], "{}")
    }

    fn holds(&self, hop: &Hop) -> bool {
        let member = self.endpoints.at(hop.0);
        member.is_some_and(|member| member.holds(hop.1, hop.2) && !member.state().draining)
    }

    async fn run(&self, headers: &HeaderMap, path: &str, body: &[u8]) -> Reply {
        let id = header_text(headers, "request-id").unwrap_or_default().to_owned();
        self.endpoints.record_arrival(&self.member, &id);
        if header_text(headers, "target-instance") != Some(&self.member.id) {
            return reply(421, &[("not-executed", "1"), ("request-id", &id)], "{}");
        }
        if let Some(rejection) = self.member.reject(&id) {
            return rejection;
        }
        let hops = parse_chain(header_text(headers, "hop-count").unwrap_or_default());
        let is_full = self.member.refuses_in_turn();
        let missing = hops.iter().find(|hop| !self.holds(hop));
        if let Some((address, ..)) = missing.or(hops.last().filter(|_| is_full)) {
            let at = address.to_string();
            return reply(
                503,
                &[("not-executed", "1"), ("at-server", &at), ("request-id", &id)],
                "{}",
            );
        }
        let is_first = |hop: &Hop| self.endpoints.at(hop.0).is_some_and(|m| m.id == self.member.id);
        if !is_complete_chain(&hops) || !is_first(&hops[0]) {
            self.endpoints.violation(format!("{id}: chain {hops:?}"));
        }
        self.endpoints.update_trace(&id, |trace| {
            trace.runs += 1;
            trace.last_activity = Some(Instant::now());
            trace.team = header_text(headers, "tenant").map(str::to_owned);
            trace.priority = header_text(headers, "request-priority").map(str::to_owned);
            trace.key_leaked |= headers.contains_key("authorization");
            trace.call = format!("{path} {}", String::from_utf8_lossy(body));
        });
        if let Some(failure) = self.member.fail(&id) {
            return failure;
        }
        if self.member.state().health == Health::Failing {
            return reply(500, &[("request-id", &id), ("response-signature", "s")], "failed");
        }
        let after: u64 =
            header_text(headers, "last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0);
        let counts = header_text(headers, "token-counts").unwrap_or("0,40");
        let output: u64 = counts.split(',').nth(1).unwrap().trim().parse().unwrap();
        self.endpoints.chains.lock().unwrap().insert(id.clone(), hops);
        if has_shared_part(headers, CRASHING_PART) || body == CRASHING_BODY {
            self.endpoints.crashing_arrivals.lock().unwrap().push(Instant::now());
            self.endpoints.crash(&self.member);
        }
        if has_shared_part(headers, CRASHING_LAST_PART) {
            self.endpoints.crashing_last.lock().unwrap().insert(id.clone());
        }
        self.crash_last_hop(&id);
        let (sender, chunks) = mpsc::channel(1);
        let health = self.member.state().health;
        let stream = self.clone().stream(id.clone(), after, output / 4, health, sender);
        tokio::spawn(stream);
        let head_delay = self.member.state().head_delay;
        tokio::time::sleep(head_delay).await;
        stream_response(&id, health, chunks)
    }

    /// Crashes the last hop of a request's chain, if the request has the part that
    /// does so.
    fn crash_last_hop(&self, id: &str) {
        if self.endpoints.crashing_last.lock().unwrap().contains(id) {
            let (last, ..) = *self.endpoints.chains.lock().unwrap()[id].last().unwrap();
            self.endpoints.crash(self.endpoints.at(last).unwrap());
        }
    }

    /// Generates the events after `after`, each of which passes through every
    /// hop.
    async fn stream(
        self,
        id: String,
        after: u64,
        total: u64,
        health_at_start: Health,
        to: mpsc::Sender<Chunk>,
    ) {
        let is_unframed = health_at_start.is_unframed();
        for event in after + 1..=total {
            tokio::time::sleep(self.endpoints.options.event_interval).await;
            if self.member.state().health == Health::Stuck && event == after + 6 {
                tokio::time::sleep(STUCK_PAUSE).await;
            }
            let mut waited = Instant::now();
            while !self.is_chain_alive(&id) {
                if self.member.state().health == Health::Unresponsive {
                    return;
                }
                if self.member.proxy.is_stopped() {
                    waited = Instant::now();
                }
                if waited.elapsed() > STALL_TIMEOUT {
                    return break_off(is_unframed, &to).await;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            if self.member.state().health == Health::DropsResponses && event > after + 2 {
                return;
            }
            if self.member.state().health == Health::CrashesAfterEvent && event > after + 2 {
                self.member.state().health = Health::Unresponsive;
                return break_off(is_unframed, &to).await;
            }
            if self.member.state().health == Health::Trickles {
                while to.send(Some("data".into())).await.is_ok() {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                }
                return;
            }
            let data = format!("id: {event}\ndata: {id} {event}/{total}\n\n");
            if self.member.state().health == Health::ClosesInsideEvent && event > after + 2 {
                let (start, _) = data.split_at(data.len() / 2);
                drop(to.send(Some(start.to_owned().into())).await);
                return break_off(is_unframed, &to).await;
            }
            if to.send(Some(data.into())).await.is_err() {
                self.endpoints
                    .update_trace(&id, |trace| trace.last_activity = Some(Instant::now()));
                return;
            }
            self.endpoints.update_trace(&id, RequestTrace::record_event);
        }
        drop(to.send(None).await);
    }

    /// Whether every hop of the chain of a request is alive, this one included.
    fn is_chain_alive(&self, id: &str) -> bool {
        let hops = self.endpoints.chains.lock().unwrap()[id].clone();
        let alive = |hop: &Hop| {
            self.endpoints.at(hop.0).is_some_and(|m| {
                let state = m.state();
                let is_alive = state.health != Health::Unresponsive && !m.proxy.is_stopped();
                let is_reached = m.id == self.member.id || !state.cut_off;
                is_alive && is_reached && !state.removed && state.layers.is_some()
            })
        };
        is_complete_chain(&hops) && hops.iter().all(alive)
    }
}

/// Ends a stream early: without a length or chunks its end looks like any other.
pub async fn break_off(is_unframed: bool, to: &mpsc::Sender<Chunk>) {
    if is_unframed {
        drop(to.send(None).await);
    }
}

/// Whether a part is among those that other requests may share.
fn has_shared_part(headers: &HeaderMap, id: &str) -> bool {
    let parts = header_text(headers, "prompt-prefix").unwrap_or_default();
    let shared = parts.rsplit_once(',').map_or("", |(shared, _own)| shared);
    shared.split(',').any(|part| part.split(':').next() == Some(id))
}

/// Whether the hops run every layer once and in order.
fn is_complete_chain(hops: &[Hop]) -> bool {
    let mut next = 0;
    hops.iter().all(|(_, from, to)| std::mem::replace(&mut next, *to) == *from) && next == LAYERS
}

fn parse_chain(text: &str) -> Vec<Hop> {
    let hop = |text: &str| {
        let (address, layers) = text.split_once('=').unwrap();
        let (from, to) = layers.split_once('-').unwrap();
        (address.parse().unwrap(), from.parse().unwrap(), to.parse().unwrap())
    };
    text.split(',').filter(|text| !text.is_empty()).map(hop).collect()
}

/// A chunk of a stream; `None` ends it, and without it the connection is closed
/// in mid-stream.
pub type Chunk = Option<Bytes>;

struct StreamBody(mpsc::Receiver<Chunk>);

impl Body for StreamBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0.poll_recv(cx).map(|chunk| match chunk {
            Some(Some(data)) => Some(Ok(Frame::data(data))),
            Some(None) => None,
            None => Some(Err(std::io::ErrorKind::ConnectionReset.into())),
        })
    }
}
