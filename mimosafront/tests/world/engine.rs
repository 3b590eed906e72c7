//! A model engine that passes activations on: chains, orders, streams.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::LAYERS;
use super::endpoints::{Endpoints, Health, Member};

/// Time that work waits for a dead part before it is cut off.
const STALL: Duration = Duration::from_millis(2_500);

/// Pause of a stream at an endpoint that is stuck.
const STUCK: Duration = Duration::from_millis(800);

/// Time to load layers.
const LOAD: Duration = Duration::from_millis(100);

/// A part of a chain: where, and its layers.
pub type Part = (SocketAddr, u16, u16);
type Reply = Response<BoxBody<Bytes, std::io::Error>>;

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
            async move { Ok::<_, Infallible>(engine.answer(request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(connection.await) });
    }
}

pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
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

impl Engine {
    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let health = self.member.state().health;
        if health == Health::Dark {
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
            "born": state.born, "waiting": 0, "running": 0, "cache_used": 0,
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
        let (member, born) = (self.member.clone(), state.born);
        tokio::spawn(async move {
            tokio::time::sleep(LOAD).await;
            let mut state = member.state();
            if state.born == born {
                state.layers = Some(layers);
                state.busy = false;
            }
        });
        reply(202, &[], "{}")
    }

    fn reroute(&self, order: &Value) -> Reply {
        let (id, path) = (order["id"].as_str().unwrap(), order["path"].as_str().unwrap());
        let path = parse(path);
        if let Some((address, ..)) = path.iter().find(|part| !self.holds(part)) {
            return reply(409, &[], &json!({"address": address}).to_string());
        }
        let mut running = self.endpoints.running.lock().unwrap();
        let Some(running) = running.get_mut(id).filter(|now| now[0] == path[0]) else {
            return reply(404, &[], "{}");
        };
        *running = path;
        reply(200, &[], "{}")
    }

    fn holds(&self, part: &Part) -> bool {
        let member = self.endpoints.at(part.0);
        member.is_some_and(|member| member.holds(part.1, part.2) && !member.state().draining)
    }

    async fn run(&self, headers: &HeaderMap, path: &str, body: &[u8]) -> Reply {
        let id = text(headers, "request-id").unwrap_or_default().to_owned();
        if text(headers, "target-instance") != Some(&self.member.id) {
            return reply(421, &[("not-executed", "1")], "{}");
        }
        let parts = parse(text(headers, "hop-count").unwrap_or_default());
        if let Some((address, ..)) = parts.iter().find(|part| !self.holds(part)) {
            let at = address.to_string();
            return reply(
                503,
                &[("not-executed", "1"), ("at-server", &at), ("request-id", &id)],
                "{}",
            );
        }
        if !is_whole(&parts) || parts[0].0 != self.member.address() {
            self.endpoints.violation(format!("{id}: chain {parts:?}"));
        }
        self.endpoints.note(&id, |seen| {
            seen.runs += 1;
            seen.last = Some(Instant::now());
            seen.team = text(headers, "tenant").map(str::to_owned);
            seen.key_leaked |= headers.contains_key("authorization");
            seen.call = format!("{path} {}", String::from_utf8_lossy(body));
        });
        if self.member.state().health == Health::Failing {
            return reply(500, &[("request-id", &id), ("response-signature", "s")], "failed");
        }
        let after: u64 = text(headers, "last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0);
        let counts = text(headers, "token-counts").unwrap_or("0,40");
        let output: u64 = counts.split(',').nth(1).unwrap().trim().parse().unwrap();
        self.endpoints.running.lock().unwrap().insert(id.clone(), parts);
        let (sender, pieces) = mpsc::channel(1);
        tokio::spawn(self.clone().stream(id.clone(), after, output / 4, sender));
        let mut response = Response::new(Pieces(pieces).boxed());
        let headers = response.headers_mut();
        headers.insert("request-id", id.parse().unwrap());
        headers.insert("response-signature", format!("sig-{id}").parse().unwrap());
        headers.insert("content-type", "text/event-stream".parse().unwrap());
        response
    }

    /// Makes the events after `after`, each of which passes every part.
    async fn stream(self, id: String, after: u64, total: u64, to: mpsc::Sender<Piece>) {
        for event in after + 1..=total {
            tokio::time::sleep(self.endpoints.plan.event).await;
            if self.member.state().health == Health::Stuck && event == after + 6 {
                tokio::time::sleep(STUCK).await;
            }
            let waited = Instant::now();
            while !self.passes(&id) {
                if waited.elapsed() > STALL || self.member.state().health == Health::Dark {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            if self.member.state().health == Health::LosesAnswers && event > after + 2 {
                return;
            }
            let data = format!("id: {event}\ndata: {id} {event}/{total}\n\n");
            if to.send(Some(data.into())).await.is_err() {
                self.endpoints.note(&id, |seen| seen.last = Some(Instant::now()));
                return;
            }
            self.endpoints.note(&id, |seen| seen.events += 1);
        }
        drop(to.send(None).await);
    }

    /// Whether every part of a request's chain works, this one included.
    fn passes(&self, id: &str) -> bool {
        let parts = self.endpoints.running.lock().unwrap()[id].clone();
        let alive = |part: &Part| {
            self.endpoints.at(part.0).is_some_and(|m| {
                let state = m.state();
                state.health != Health::Dark && !state.gone && state.layers.is_some()
            })
        };
        is_whole(&parts) && parts.iter().all(alive)
    }
}

/// Whether the parts run every layer once and in order.
fn is_whole(parts: &[Part]) -> bool {
    let mut next = 0;
    parts.iter().all(|(_, from, to)| std::mem::replace(&mut next, *to) == *from) && next == LAYERS
}

fn parse(path: &str) -> Vec<Part> {
    let part = |text: &str| {
        let (address, layers) = text.split_once('=').unwrap();
        let (from, to) = layers.split_once('-').unwrap();
        (address.parse().unwrap(), from.parse().unwrap(), to.parse().unwrap())
    };
    path.split(',').filter(|text| !text.is_empty()).map(part).collect()
}

/// A piece of a stream; `None` is its end, and without it the connection is
/// closed in the middle.
type Piece = Option<Bytes>;

struct Pieces(mpsc::Receiver<Piece>);

impl Body for Pieces {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0.poll_recv(cx).map(|piece| match piece {
            Some(Some(data)) => Some(Ok(Frame::data(data))),
            Some(None) => None,
            None => Some(Err(std::io::ErrorKind::ConnectionReset.into())),
        })
    }
}
