//! Commands of operators: changes of resources, and shutdown.

use hyper::{Method, StatusCode};
use serde_json::json;

use super::{Reply, ReplyResult, invalid, parse_kind, parse_name};
use crate::config::change::Commit;
use crate::config::{self, Change, ChangeId, Precondition, call};
use crate::emit;
use crate::event::Event;
use crate::http::Request;
use crate::http::problem::{Effect, Problem};
use crate::node::Node;
use crate::resource::Spec;

/// Starts a graceful shutdown of this router.
pub fn drain(node: &Node) -> Reply {
    node.drain.handle().request();
    Reply { status: StatusCode::ACCEPTED, revision: None, body: json!({"draining": true}) }
}

/// Commits a change of a resource and installs it on this router.
pub fn change(
    node: &Node,
    request: &Request,
    operator: String,
    kind: &str,
    name: &str,
) -> ReplyResult {
    let (kind, name) = (parse_kind(kind)?, parse_name(name)?);
    let spec = match request.method {
        Method::DELETE => None,
        _ => Some(Spec::decode(kind, &request.body).map_err(|e| invalid(&e))?),
    };
    let change = Change {
        id: ChangeId(rand::random()),
        operator,
        origin: request.header("x-origin").unwrap_or("api").to_owned(),
        at_unix_ms: node.clock.unix_ms(),
        kind,
        name,
        spec,
        precondition: precondition(request)?,
        dry_run: request.parameter("dry_run") == Some("true"),
    };
    let (id, dry_run) = (change.id, change.dry_run);
    let state = node.installed().state().clone();
    match call::run(&*node.settings.table, Commit::new(change, state)) {
        Ok(committed) => {
            let revision = committed.revision;
            if !dry_run {
                emit!(node.log, Event::ConfigAccepted, "revision" => revision);
                node.install_committed(&committed);
            }
            Ok(json!({"change": id.to_string(), "revision": revision, "dry_run": dry_run}).into())
        }
        Err(error) => {
            let event = if error.not_run() { Event::ConfigRefused } else { Event::ConfigUnknown };
            emit!(node.log, event, "change" => id.to_string(), "reason" => error.to_string());
            Err(change_problem(&error))
        }
    }
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

/// The problem for a failed change.
pub fn change_problem(error: &config::Error) -> Problem {
    let (status, code) = match error {
        config::Error::Precondition { .. } | config::Error::Contended { .. } => {
            (StatusCode::PRECONDITION_FAILED, "conflict")
        }
        config::Error::Resource(_) | config::Error::ChangeIdReused(_) => {
            (StatusCode::UNPROCESSABLE_ENTITY, "invalid")
        }
        config::Error::Unknown(_) => (StatusCode::SERVICE_UNAVAILABLE, "change-unknown"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "platform-unavailable"),
    };
    let problem = Problem::not_run(status, code, error.to_string());
    if error.not_run() { problem } else { problem.with_effect(Effect::Unknown) }
}
