//! The caller surface.

use std::sync::Arc;

use hyper::header::{CACHE_CONTROL, CONTENT_TYPE};
use hyper::{Method, StatusCode};

use super::{Node, auth, relay, unix_seconds};
use crate::engine::RequestId;
use crate::http::completion::{Completion, Form, Reason, Writer, decode_token};
use crate::http::problem::{Effect, Problem};
use crate::http::{Handler, Request, Responder};

/// Answers callers.
pub struct Surface(pub Arc<Node>);

impl Handler for Surface {
    fn handle(&self, request: Request, responder: Responder) {
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/healthz") => responder.json(StatusCode::OK, b"{}".to_vec()),
            (&Method::GET, "/readyz") => self.ready(responder),
            (&Method::POST, "/v1/completions") => self.complete(Form::Text, request, responder),
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(Form::Chat, request, responder);
            }
            (_, path) => {
                let detail = format!("{} {path} does not exist", request.method);
                responder.problem(&Problem::not_run(StatusCode::NOT_FOUND, "not-found", detail));
            }
        }
    }
}

impl Surface {
    fn ready(&self, responder: Responder) {
        if self.0.drain.is_requested() {
            let detail = "the router is shutting down";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return responder.problem(&Problem::not_run(status, "not-ready", detail));
        }
        responder.json(StatusCode::OK, b"{}".to_vec());
    }

    fn complete(&self, form: Form, request: Request, responder: Responder) {
        let node = &self.0;
        node.drain.note_arrival();
        let snapshot = node.snapshot();
        let checked = auth::team(&request, &snapshot).and_then(|_| {
            Completion::decode(form, &request.body)
                .map_err(|e| Problem::not_run(StatusCode::BAD_REQUEST, "invalid", e.to_string()))
        });
        let completion = match checked {
            Ok(completion) => completion,
            Err(problem) => return responder.problem(&problem),
        };
        let chain = snapshot
            .route(&completion.model)
            .and_then(|(_, route)| relay::first_chain(&snapshot, &route.pipeline));
        let Some(chain) = chain else {
            let detail = format!("model {:?} does not exist", completion.model);
            let problem = Problem::not_run(StatusCode::NOT_FOUND, "model-not-found", detail);
            return responder.problem(&problem);
        };
        let id = RequestId(rand::random());
        let writer = Writer::new(form, &format!("cmpl-{id}"), &completion.model, unix_seconds());
        let (prompt, max) = (&completion.prompt, completion.max_tokens);
        if completion.stream {
            let headers = [(CONTENT_TYPE, "text/event-stream"), (CACHE_CONTROL, "no-cache")];
            let mut stream = responder.stream(&headers);
            let ran = relay::run(node, &snapshot, id, &chain, prompt, max, |token| {
                let text = decode_token(token).to_string();
                stream.write(writer.event(&text, None)).is_ok()
            });
            if ran.is_ok() {
                let _ = stream.write(writer.event("", Some(Reason::Length)));
                let _ = stream.write("data: [DONE]\n\n");
                stream.finish();
            }
            return;
        }
        let mut text = String::new();
        let ran = relay::run(node, &snapshot, id, &chain, prompt, max, |token| {
            text.push(decode_token(token));
            !responder.is_gone()
        });
        match ran {
            Ok(()) => {
                let body = writer.whole(&text, Reason::Length, prompt.len(), text.len());
                responder.json(StatusCode::OK, body);
            }
            Err(failure) => {
                let detail = failure.to_string();
                let problem = Problem::not_run(StatusCode::BAD_GATEWAY, "stage-failed", detail);
                responder.problem(&problem.with_effect(Effect::Failed));
            }
        }
    }
}
