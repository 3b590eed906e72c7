//! Authentication and authorization by bearer token.

use hyper::StatusCode;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::http::Request;
use crate::http::problem::Problem;
use crate::resource::{Name, Snapshot, Team};
use crate::settings::Digest;

/// The team that a request's token belongs to.
pub fn team<'a>(
    request: &Request,
    snapshot: &'a Snapshot,
) -> Result<(&'a Name, &'a Team), Problem> {
    let digest = token_digest(request)?;
    snapshot.team_of_token(&digest).ok_or_else(unauthorized)
}

/// Checks that a request comes from an operator, and returns its name.
pub fn operator(
    request: &Request,
    snapshot: &Snapshot,
    bootstrap: Option<&Digest>,
) -> Result<String, Problem> {
    let digest = token_digest(request)?;
    if bootstrap.is_some_and(|expected| bool::from(digest.ct_eq(&expected.0))) {
        return Ok("bootstrap".to_owned());
    }
    let (name, team) = team(request, snapshot)?;
    if team.operator {
        return Ok(name.as_str().to_owned());
    }
    let detail = format!("team {:?} may not change resources", name.as_str());
    Err(Problem::not_run(StatusCode::FORBIDDEN, "forbidden", detail))
}

fn token_digest(request: &Request) -> Result<[u8; 32], Problem> {
    let value = request.header("authorization").ok_or_else(unauthorized)?;
    let token = value.strip_prefix("Bearer ").ok_or_else(unauthorized)?;
    Ok(Sha256::digest(token.trim().as_bytes()).into())
}

fn unauthorized() -> Problem {
    let detail = "the request carries no token of a known team";
    Problem::not_run(StatusCode::UNAUTHORIZED, "unauthorized", detail)
}
