//! The operator surface.

use std::sync::Arc;

use hyper::{Method, StatusCode};

use super::{Node, auth};
use crate::http::problem::Problem;
use crate::http::{Handler, Request, Responder};
use crate::resource::{Kind, Name, Spec};

/// Answers operators.
pub struct Surface(pub Arc<Node>);

impl Handler for Surface {
    fn handle(&self, request: Request, responder: Responder) {
        match self.answer(&request) {
            Ok((status, body)) => responder.json(status, body.to_string().into_bytes()),
            Err(problem) => responder.problem(&problem),
        }
    }
}

impl Surface {
    fn answer(&self, request: &Request) -> Result<(StatusCode, serde_json::Value), Problem> {
        let snapshot = self.0.snapshot();
        auth::operator(request, &snapshot, self.0.settings.bootstrap_digest.as_ref())?;
        let path = request.uri.path();
        let mut parts = path.trim_start_matches("/api/v1/").split('/');
        let kind = parts.next().unwrap_or_default();
        let kind = Kind::try_from(kind).map_err(|e| invalid(&e.to_string()))?;
        let name = Name::try_from(parts.next().unwrap_or_default())
            .map_err(|e| invalid(&e.to_string()))?;
        if request.method != Method::PUT {
            return Err(invalid("only PUT is served"));
        }
        let spec = Spec::decode(kind, &request.body).map_err(|e| invalid(&e.to_string()))?;
        snapshot.check(&spec).map_err(|e| invalid(&e.to_string()))?;
        let revision = snapshot.revision() + 1;
        self.0.snapshot.store(Arc::new(snapshot.with(revision, kind, &name, Some(spec))));
        Ok((StatusCode::OK, serde_json::json!({"revision": revision})))
    }
}

fn invalid(detail: &str) -> Problem {
    Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail)
}
