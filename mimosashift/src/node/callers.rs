//! The caller API.

use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::json;

use super::gate::{Denied, Permit};
use super::installed::Installed;
use super::relay::{self, Job, RunResult};
use super::services::{self, Target};
use super::sink::Sink;
use super::{Node, auth, outcome};
use crate::admit::{self, Usage};
use crate::emit;
use crate::engine::RequestId;
use crate::event::Event;
use crate::http::completion::{Completion, CompletionKind, Writer};
use crate::http::problem::Problem;
use crate::http::{Handler, Request, Responder};
use crate::meter;
use crate::pipeline::{self, Outcome};
use crate::resource::{Name, Route, Team};

/// Header with the deadline of a request, in milliseconds from its arrival.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Token that ends generation.
const STOP_TOKEN: u32 = 0;

/// Handles requests of callers.
pub struct Api(pub Arc<Node>);

/// A validated completion request with the resources it refers to.
struct ValidatedRequest<'a> {
    completion: Completion,
    name: &'a Name,
    team: &'a Team,
    route: &'a Route,
    version: u32,
    deadline: Duration,
}

impl Handler for Api {
    fn handle(&self, request: Request, responder: Responder) {
        let path = request.uri.path();
        match (&request.method, path) {
            (&Method::GET, "/healthz") => return responder.json(StatusCode::OK, b"{}".to_vec()),
            (&Method::GET, "/readyz") => return self.ready(responder),
            _ => {}
        }
        if let Some(problem) = self.0.config_missing() {
            return responder.problem(&problem);
        }
        match (&request.method, path) {
            (&Method::GET, "/v1/models") => self.models(&request, responder),
            (&Method::POST, "/v1/completions") => {
                self.complete(CompletionKind::Text, request, responder)
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(CompletionKind::Chat, request, responder);
            }
            (_, path) if path.starts_with("/services/") => self.service(&request, responder),
            (_, path) => {
                let detail = format!("{} {path} does not exist", request.method);
                responder.problem(&Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail));
            }
        }
    }
}

impl Api {
    fn ready(&self, responder: Responder) {
        match self.0.not_ready() {
            Some(problem) => responder.problem(&problem),
            None => responder.json(StatusCode::OK, b"{}".to_vec()),
        }
    }

    fn models(&self, request: &Request, responder: Responder) {
        let installed = self.0.installed();
        let snapshot = installed.snapshot();
        let team = match auth::team(request, snapshot) {
            Ok((name, _)) => name,
            Err(problem) => return responder.problem(&problem),
        };
        let allowed = |route: &&Route| is_allowed(route, team);
        let models: Vec<_> = snapshot
            .routes()
            .filter(allowed)
            .map(|route| json!({"id": route.model, "object": "model", "owned_by": "mimosashift"}))
            .collect();
        let body = json!({"object": "list", "data": models});
        responder.json(StatusCode::OK, body.to_string().into_bytes());
    }

    fn complete(&self, kind: CompletionKind, request: Request, responder: Responder) {
        self.0.drain.record_arrival();
        let installed = self.0.installed();
        let validated = match validate(kind, &request, &installed) {
            Ok(validated) => validated,
            Err(problem) => {
                self.record_refusal(problem.code);
                return responder.problem(&problem);
            }
        };
        self.run(&installed, validated, responder);
    }

    fn run(&self, installed: &Installed, validated: ValidatedRequest<'_>, responder: Responder) {
        let node = &*self.0;
        let id = RequestId(rand::random());
        let priority_level =
            installed.snapshot().priority(&validated.team.priority).map_or(u8::MAX, |p| p.level);
        let completion = &validated.completion;
        let request = pipeline::Request {
            id,
            prompt: completion.prompt.clone(),
            max_tokens: completion.max_tokens.min(validated.route.max_tokens),
            stop: Some(STOP_TOKEN),
            deadline: node.clock.now() + validated.deadline,
            priority: priority_level,
            adapter: completion.adapter.clone(),
        };
        let (prompt, max_tokens) = (request.prompt.len(), request.max_tokens as usize);
        let job = Job { pipeline: &validated.route.pipeline, version: validated.version, request };
        let created = node.clock.unix_ms() / 1_000;
        let writer =
            Writer::new(completion.kind, &format!("cmpl-{id}"), &completion.model, created);
        let mut sink = Sink::new(&node.meter, responder, writer, completion.stream);
        let mut permit = match self.admit(installed, &job, &validated, &sink) {
            Ok(permit) => permit,
            Err(None) => return,
            Err(Some(problem)) => {
                self.record_refusal(problem.code);
                return sink.refuse(&problem);
            }
        };
        let result = relay::run(node, installed, job, &mut |token| sink.push(token));
        match result {
            Ok(result) => {
                permit.usage = Usage {
                    tokens: (prompt + sink.tokens()) as u32,
                    overloaded: result.overloaded,
                };
                self.record_outcome(&result, &sink);
                sink.finish(&result.outcome, prompt, max_tokens);
            }
            Err(refusal) => {
                let problem = outcome::no_chain(&refusal);
                self.record_refusal(problem.code);
                sink.refuse(&problem);
            }
        }
    }

    /// Waits until the request may run; the error is `None` if its caller has
    /// disconnected.
    fn admit(
        &self,
        installed: &Installed,
        job: &Job<'_>,
        validated: &ValidatedRequest<'_>,
        sink: &Sink<'_>,
    ) -> Result<Permit<'_>, Option<Problem>> {
        let service = relay::estimate(&self.0, installed, job);
        let service = service.map_err(|refusal| Some(outcome::no_chain(&refusal)))?;
        let cost = job.request.prompt.len() as u32 + job.request.max_tokens;
        let request = admit::Request {
            name: validated.name,
            team: validated.team,
            level: job.request.priority,
            cost,
            bytes: job.request.prompt.len() * size_of::<u32>(),
            deadline: job.request.deadline,
            service,
        };
        self.0.gate.admit(&request, || sink.is_disconnected()).map_err(|denied| match denied {
            Denied::Disconnected => None,
            Denied::Refused { refusal, retry_after } => {
                Some(outcome::admission_refused(refusal, retry_after))
            }
        })
    }

    fn record_refusal(&self, code: &'static str) {
        let node = &self.0;
        node.meter.requests(1, meter::Outcome::Refused);
        node.meter.refusals(1, outcome::refusal_metric(code));
        let event = if code == "shed" { Event::RequestShed } else { Event::RequestRefused };
        emit!(node.log, event, "code" => code);
    }

    fn record_outcome(&self, result: &RunResult, sink: &Sink<'_>) {
        self.0.meter.requests(1, outcome::outcome_metric(&result.outcome));
        let (tokens, recovered) = (sink.tokens(), result.recovered);
        match &result.outcome {
            Outcome::Complete => {}
            Outcome::Cancelled => {
                emit!(self.0.log, Event::RequestCancelled, "tokens" => tokens);
            }
            Outcome::Failed { .. } | Outcome::DeadlineExceeded { .. } => {
                emit!(self.0.log, Event::RequestFailed, "tokens" => tokens,
                    "recovered" => recovered, "outcome" => format!("{:?}", result.outcome));
            }
        }
    }

    fn service(&self, request: &Request, responder: Responder) {
        self.0.drain.record_arrival();
        let installed = self.0.installed();
        let snapshot = installed.snapshot();
        let checked =
            auth::team(request, snapshot).and_then(|(team, _)| Ok((team, service_path(request)?)));
        let (team, (name, path)) = match checked {
            Ok(checked) => checked,
            Err(problem) => return responder.problem(&problem),
        };
        let Some(spec) = snapshot.service(&name) else {
            let detail = format!("service {:?} does not exist", name.as_str());
            let problem = Problem::not_run(StatusCode::NOT_FOUND, "service-not-found", detail);
            return responder.problem(&problem);
        };
        let target = Target {
            team,
            service: &name,
            path: &path,
            timeout: Duration::from_millis(spec.timeout_ms),
            idempotent: services::is_idempotent(&spec.idempotent, &request.method),
        };
        services::forward(&self.0, &installed, &target, request, responder);
    }
}

fn validate<'a>(
    kind: CompletionKind,
    request: &Request,
    installed: &'a Installed,
) -> Result<ValidatedRequest<'a>, Problem> {
    let snapshot = installed.snapshot();
    let (name, team) = auth::team(request, snapshot)?;
    let completion = Completion::decode(kind, &request.body)
        .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, "invalid", e.to_string()))?;
    let not_found = || {
        let detail = format!("model {:?} does not exist", completion.model);
        Problem::not_run(StatusCode::NOT_FOUND, "model-not-found", detail)
    };
    let (_, route) = snapshot.route(&completion.model).ok_or_else(not_found)?;
    if !is_allowed(route, name) {
        let detail = format!("team {:?} may not call model {:?}", name.as_str(), route.model);
        return Err(Problem::not_run(StatusCode::FORBIDDEN, "forbidden", detail));
    }
    let pipeline = snapshot.pipeline(&route.pipeline).ok_or_else(not_found)?;
    let deadline = deadline(request, route.deadline_ms)?;
    Ok(ValidatedRequest { completion, name, team, route, version: pipeline.version, deadline })
}

fn is_allowed(route: &Route, team: &Name) -> bool {
    route.teams.is_empty() || route.teams.contains(team)
}

fn deadline(request: &Request, default_ms: u64) -> Result<Duration, Problem> {
    let Some(text) = request.header(DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(default_ms));
    };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis)),
        _ => {
            let detail = format!("{DEADLINE_HEADER} {text:?} must be milliseconds above 0");
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "invalid", detail))
        }
    }
}

/// The service that a call is for, and its path and query there.
fn service_path(request: &Request) -> Result<(Name, String), Problem> {
    let rest = request.uri.path().trim_start_matches("/services/");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let name = Name::try_from(service)
        .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, "invalid", e.to_string()))?;
    let query = request.uri.query().map_or(String::new(), |query| format!("?{query}"));
    Ok((name, format!("/{path}{query}")))
}
