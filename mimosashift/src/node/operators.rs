//! The operator surface: queries here, commands in [`Surface::change`].

use std::sync::Arc;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::postings::operate;
use super::{Node, auth};
use crate::config::call;
use crate::config::change::Commit;
use crate::config::{self, Change, ChangeId, Precondition};
use crate::emit;
use crate::event::Event;
use crate::http::problem::{Effect, Problem};
use crate::http::{Handler, Request, Responder};
use crate::resource::{self, Kind, Name, Resource, Spec};

/// Answers operators.
pub struct Surface(pub Arc<Node>);

type Answer = Result<(StatusCode, Value), Problem>;

impl Handler for Surface {
    fn handle(&self, request: Request, responder: Responder) {
        match self.answer(&request) {
            Ok((status, body)) => responder.json(status, body.to_string().into_bytes()),
            Err(problem) => responder.problem(&problem),
        }
    }
}

impl Surface {
    fn answer(&self, request: &Request) -> Answer {
        let path = request.uri.path();
        if path == "/healthz" {
            return Ok((StatusCode::OK, json!({})));
        }
        let installed = self.0.installed();
        let bootstrap = self.0.settings.bootstrap_digest.as_ref();
        let operator = auth::operator(request, installed.snapshot(), bootstrap)?;
        let parts: Vec<&str> =
            path.strip_prefix("/api/v1/").map_or(Vec::new(), |rest| rest.split('/').collect());
        match (&request.method, parts.as_slice()) {
            (&Method::GET, ["status"]) => Ok((StatusCode::OK, self.status())),
            (&Method::GET, ["postings"]) => operate::list(&self.0, request),
            (&Method::POST, ["postings", "resolve"]) => {
                operate::resolve(&self.0, request, &operator)
            }
            (&Method::GET, [kind]) => self.list(kind),
            (&Method::GET, [kind, name]) => self.get(kind, name),
            (&Method::PUT | &Method::DELETE, [kind, name]) => {
                self.change(request, operator, kind, name)
            }
            _ => Err(not_found(format!("{} {path} does not exist", request.method))),
        }
    }

    fn status(&self) -> Value {
        let node = &self.0.settings.node;
        let version = self.0.installed().state().version();
        let queue = self.0.gate.with(|admission| {
            json!({
                "queued": admission.queue().len(),
                "running": admission.slots().used(),
                "slots": admission.slots().limit(),
            })
        });
        json!({
            "node": node.name, "domain": node.domain, "region": node.region,
            "revision": version.revision, "queue": queue,
        })
    }

    fn list(&self, kind: &str) -> Answer {
        let kind = parse_kind(kind)?;
        let installed = self.0.installed();
        let items: Vec<Value> = installed.snapshot().list(kind).map(show).collect();
        let revision = installed.snapshot().revision();
        Ok((StatusCode::OK, json!({"revision": revision, "items": items})))
    }

    fn get(&self, kind: &str, name: &str) -> Answer {
        let (kind, name) = (parse_kind(kind)?, parse_name(name)?);
        let installed = self.0.installed();
        let found = installed.snapshot().get(kind, &name);
        let found =
            found.ok_or_else(|| not_found(format!("{kind} {:?} does not exist", name.as_str())))?;
        Ok((StatusCode::OK, show(found)))
    }

    fn change(&self, request: &Request, operator: String, kind: &str, name: &str) -> Answer {
        let (kind, name) = (parse_kind(kind)?, parse_name(name)?);
        let spec = match request.method {
            Method::DELETE => None,
            _ => Some(Spec::decode(kind, &request.body).map_err(|e| invalid(&e))?),
        };
        let change = Change {
            id: ChangeId(rand::random()),
            operator,
            origin: request.header("x-origin").unwrap_or("api").to_owned(),
            at_unix_ms: self.0.clock.unix_ms(),
            kind,
            name,
            spec,
            precondition: precondition(request)?,
            dry_run: request.parameter("dry_run") == Some("true"),
        };
        let (id, dry_run) = (change.id, change.dry_run);
        let state = self.0.installed().state().clone();
        let committed = call::run(&*self.0.settings.table, Commit::new(change, state));
        match committed {
            Ok(committed) => {
                let revision = committed.revision;
                if !dry_run {
                    emit!(self.0.log, Event::ConfigAccepted, "revision" => revision);
                    self.0.install(committed.progress.state);
                }
                let body =
                    json!({"change": id.to_string(), "revision": revision, "dry_run": dry_run});
                Ok((StatusCode::OK, body))
            }
            Err(error) => {
                let event =
                    if error.not_run() { Event::ConfigRefused } else { Event::ConfigUnknown };
                emit!(self.0.log, event, "reason" => error.to_string());
                Err(refused(&error))
            }
        }
    }
}

fn show(resource: &Resource) -> Value {
    json!({
        "kind": resource.spec.kind(),
        "name": resource.name,
        "revision": resource.revision,
        "spec": resource.spec.to_json(),
    })
}

fn precondition(request: &Request) -> Result<Precondition, Problem> {
    if request.header("if-none-match") == Some("*") {
        return Ok(Precondition::Absent);
    }
    let Some(tag) = request.header("if-match") else { return Ok(Precondition::Any) };
    let revision = tag.trim_matches('"').parse();
    revision.map(Precondition::Revision).map_err(|_| {
        let detail = format!("if-match {tag:?} must be a revision in quotes");
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail)
    })
}

fn refused(error: &config::Error) -> Problem {
    let (status, code) = match error {
        config::Error::Precondition { .. } | config::Error::Contended { .. } => {
            (StatusCode::PRECONDITION_FAILED, "conflict")
        }
        config::Error::Resource(_) | config::Error::Reused(_) => {
            (StatusCode::UNPROCESSABLE_ENTITY, "invalid")
        }
        config::Error::Unknown(_) => (StatusCode::SERVICE_UNAVAILABLE, "change-unknown"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "platform-unavailable"),
    };
    let problem = Problem::not_run(status, code, error.to_string());
    if error.not_run() { problem } else { problem.with_effect(Effect::Unknown) }
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
