//! Operator API for postings whose outcome is unknown.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::http::Request;
use crate::http::problem::{Effect, Problem};
use crate::node::Node;
use crate::node::platform::Guard;
use crate::platform::budget::Class;
use crate::platform::{Key, Outcome, Refusal, Row, Table, Write};
use crate::posting::resolve::{self, Resolution};
use crate::posting::{Entry, TABLE};

/// Table of the audit records of postings.
const AUDIT_TABLE: &str = "posting-audit";

/// Rows of one page of the table.
const PAGE_ROWS: usize = 500;

/// Maximum number of pages read for one response.
const MAX_PAGES: usize = 20;

type ApiResult = Result<(StatusCode, Value), Problem>;

/// An operator's decision whether a call ran.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Finding {
    /// The row's key, as listed.
    key: String,
    /// Whether the call ran.
    ran: bool,
}

/// Audit record of a finding.
#[derive(Serialize)]
struct Record<'a> {
    operator: &'a str,
    at_unix_ms: u64,
    key: &'a str,
    ran: bool,
}

/// Lists claims that an operator has to resolve, in order of their keys.
///
/// `next` in the response is the key to continue after; it is absent at the end.
pub fn list(node: &Node, request: &Request) -> ApiResult {
    if request.parameter("state") != Some("unknown") {
        return Err(invalid("state must be unknown"));
    }
    let guard = node.platform.with_class(Class::Config);
    let unix_ms = node.clock.unix_ms();
    let mut after = percent_decode(request.parameter("after").unwrap_or(""));
    let mut items = Vec::new();
    for _ in 0..MAX_PAGES {
        let page = match guard.scan(TABLE, "", &after, PAGE_ROWS) {
            Outcome::Done(page) => page,
            _ => return Err(unavailable()),
        };
        items.extend(
            resolve::unresolved(&page.rows, unix_ms).map(|(row, entry)| claim_json(row, &entry)),
        );
        let last = page.rows.last().filter(|_| page.more);
        let Some(last) = last else {
            return Ok((StatusCode::OK, json!({"items": items})));
        };
        after.clone_from(&last.key.key);
        if items.len() >= PAGE_ROWS {
            break;
        }
    }
    Ok((StatusCode::OK, json!({"items": items, "next": after})))
}

/// Resolves a claim as run or not run, with an audit record.
pub fn resolve(node: &Node, request: &Request, operator: &str) -> ApiResult {
    let finding: Finding =
        serde_json::from_slice(&request.body).map_err(|e| invalid(&e.to_string()))?;
    let guard = node.platform.with_class(Class::Config);
    let row = read(&guard, TABLE, &finding.key)?
        .ok_or_else(|| problem(StatusCode::NOT_FOUND, "not-found", "no such posting"))?;
    let unix_ms = node.clock.unix_ms();
    let id = format!("{unix_ms:020}-{:016x}", rand::random::<u64>());
    let record = Record { operator, at_unix_ms: unix_ms, key: &finding.key, ran: finding.ran };
    let value = serde_json::to_string(&record).expect("a record has only string keys");
    let audit = Write::Put(Key { table: AUDIT_TABLE.to_owned(), key: id.clone() }, value);
    let resolution = if finding.ran { Resolution::Ran } else { Resolution::NotRun };
    let transaction =
        resolve::resolve(&row, resolution, audit, unix_ms).map_err(|e| conflict(&e))?;
    match guard.commit(&transaction) {
        Outcome::Done(_) => Ok(resolved(&id, &finding)),
        Outcome::NotDone(Refusal::Conflict(_)) => {
            Err(problem(StatusCode::CONFLICT, "conflict", "the posting has changed meanwhile"))
        }
        Outcome::NotDone(_) => Err(unavailable()),
        // The audit record is in the same transaction, so it shows whether that was committed.
        Outcome::Unknown => match read(&guard, AUDIT_TABLE, &id) {
            Ok(Some(_)) => Ok(resolved(&id, &finding)),
            _ => {
                let detail = format!("change {id} may have taken effect");
                let unknown = problem(StatusCode::SERVICE_UNAVAILABLE, "change-unknown", &detail);
                Err(unknown.with_effect(Effect::Unknown))
            }
        },
    }
}

fn read(guard: &Guard, table: &str, key: &str) -> Result<Option<Row>, Problem> {
    match guard.read(&Key { table: table.to_owned(), key: key.to_owned() }) {
        Outcome::Done(row) => Ok(row),
        Outcome::NotDone(_) | Outcome::Unknown => Err(unavailable()),
    }
}

fn claim_json(row: &Row, entry: &Entry) -> Value {
    json!({"key": row.key.key, "claimed_unix_ms": entry.unix_ms, "digest": entry.digest})
}

fn resolved(id: &str, finding: &Finding) -> (StatusCode, Value) {
    (StatusCode::OK, json!({"change": id, "key": finding.key, "ran": finding.ran}))
}

fn conflict(error: &resolve::Error) -> Problem {
    problem(StatusCode::CONFLICT, "conflict", &error.to_string())
}

fn percent_decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn invalid(detail: &str) -> Problem {
    problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail)
}

fn unavailable() -> Problem {
    let detail = "the platform's table cannot be reached";
    problem(StatusCode::SERVICE_UNAVAILABLE, "platform-unavailable", detail)
}

fn problem(status: StatusCode, code: &'static str, detail: &str) -> Problem {
    Problem::not_run(status, code, detail)
}
