//! The operator API: [`queries`], [`commands`] and [`watch`]es.

use std::sync::Arc;

use hyper::header::{CONTENT_TYPE, ETAG, HeaderName};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::postings::operate;
use super::{Node, auth};
use crate::http::problem::Problem;
use crate::http::{Handler, Request, Responder};
use crate::resource::{self, Kind, Name};

mod commands;
mod queries;
mod watch;

/// Handles requests of operators.
pub struct Api {
    node: Arc<Node>,
    watches: watch::WatchSlots,
}

/// A successful response to an operator.
struct Reply {
    status: StatusCode,
    /// Revision for the `ETag` header, if the body is a single resource.
    revision: Option<u64>,
    body: Value,
}

type ReplyResult = Result<Reply, Problem>;

impl Api {
    /// The operator API of a router.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, watches: watch::WatchSlots::default() }
    }

    fn metrics(&self, responder: Responder) {
        match self.node.meter.render() {
            Ok(text) => {
                let kind = (CONTENT_TYPE, "text/plain; version=0.0.4");
                responder.send(StatusCode::OK, &[kind], text.into_bytes());
            }
            Err(error) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                responder.problem(&Problem::not_run(status, "internal", error.to_string()));
            }
        }
    }

    fn route(&self, request: &Request) -> ReplyResult {
        let path = request.uri.path();
        match path {
            "/healthz" => return Ok(json!({}).into()),
            "/readyz" => return self.node.not_ready().map_or(Ok(json!({}).into()), Err),
            _ => {}
        }
        let operator = self.operator(request)?;
        let node = &*self.node;
        match (&request.method, path_segments(path).as_slice()) {
            (&Method::GET, ["status"]) => Ok(queries::status(node).into()),
            (&Method::GET, ["in-force"]) => queries::in_force(node, request),
            (&Method::GET, ["audit"]) => queries::audit(node, request),
            (&Method::GET, ["explain"]) => queries::explain(node, request),
            (&Method::GET, ["postings"]) => into_reply(operate::list(node, request)),
            (&Method::POST, ["postings", "resolve"]) => {
                into_reply(operate::resolve(node, request, &operator))
            }
            (&Method::GET, [kind]) => queries::list(node, kind),
            (&Method::GET, [kind, name]) => queries::get(node, kind, name),
            (&Method::POST, ["drain"]) => Ok(commands::drain(node)),
            (&Method::PUT | &Method::DELETE, [kind, name]) => {
                commands::change(node, request, operator, kind, name)
            }
            _ => Err(not_found(format!("{} {path} does not exist", request.method))),
        }
    }

    /// Name of the operator. Until a configuration is installed only the bootstrap
    /// token is accepted.
    fn operator(&self, request: &Request) -> Result<String, Problem> {
        let installed = self.node.installed();
        let bootstrap = self.node.settings.bootstrap_digest.as_ref();
        let operator = auth::operator(request, installed.snapshot(), bootstrap);
        operator.map_err(|problem| self.node.config_missing().unwrap_or(problem))
    }
}

impl Handler for Api {
    fn handle(&self, request: Request, responder: Responder) {
        if request.method == Method::GET && path_segments(request.uri.path()) == ["watch"] {
            return match self.operator(&request) {
                Ok(_) => watch::run(&self.node, &self.watches, &request, responder),
                Err(problem) => responder.problem(&problem),
            };
        }
        if request.uri.path() == "/metrics" {
            return self.metrics(responder);
        }
        match self.route(&request) {
            Ok(reply) => reply.send(responder),
            Err(problem) => responder.problem(&problem),
        }
    }
}

impl Reply {
    fn send(self, responder: Responder) {
        let body = self.body.to_string().into_bytes();
        let tag = self.revision.map(|revision| format!("\"{revision}\""));
        let mut headers: Vec<(HeaderName, &str)> = vec![(CONTENT_TYPE, "application/json")];
        headers.extend(tag.as_deref().map(|tag| (ETAG, tag)));
        responder.send(self.status, &headers, body);
    }
}

impl From<Value> for Reply {
    fn from(body: Value) -> Self {
        Self { status: StatusCode::OK, revision: None, body }
    }
}

/// Converts a status and body into a reply.
fn into_reply(result: Result<(StatusCode, Value), Problem>) -> ReplyResult {
    result.map(|(status, body)| Reply { status, revision: None, body })
}

/// The segments of a path below the API's root; empty for other paths.
fn path_segments(path: &str) -> Vec<&str> {
    path.strip_prefix("/api/v1/").map_or(Vec::new(), |rest| rest.split('/').collect())
}

/// Parses a numeric query parameter.
fn parse_number<T: std::str::FromStr>(
    request: &Request,
    name: &'static str,
) -> Result<Option<T>, Problem> {
    let Some(text) = request.parameter(name) else { return Ok(None) };
    text.parse().map(Some).map_err(|_| {
        let detail = format!("parameter {name:?} is {text:?}, must be a whole number");
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail)
    })
}

fn parse_kind(kind: &str) -> Result<Kind, Problem> {
    Kind::try_from(kind).map_err(|e| not_found(e.to_string()))
}

fn parse_name(name: &str) -> Result<Name, Problem> {
    Name::try_from(name).map_err(|e| invalid(&e))
}

fn invalid(error: &resource::Error) -> Problem {
    Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "invalid", error.to_string())
}

fn not_found(detail: String) -> Problem {
    Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail)
}
