//! Error responses to callers and operators, as `application/problem+json`.

use std::time::Duration;

use hyper::StatusCode;
use serde::Serialize;

/// Whether the work of a refused or failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Nothing ran; used only when this is certain.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// It ran at least in part and failed.
    Failed,
}

/// An error with a stable code; see `docs/API.md`, "Errors".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code, for example `deadline-exceeded`.
    pub code: &'static str,
    /// Description of this occurrence.
    pub detail: String,
    /// Whether the work may have run.
    pub effect: Effect,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Wire<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    code: &'a str,
    detail: &'a str,
    effect: Effect,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    error: ErrorObject<'a>,
}

/// The `error` object that clients of the completions API expect.
#[derive(Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
}

impl Problem {
    /// A problem whose work did not run.
    pub fn not_run(status: StatusCode, code: &'static str, detail: impl Into<String>) -> Self {
        Self { status, code, detail: detail.into(), effect: Effect::NotRun, retry_after: None }
    }

    /// Replaces the effect.
    pub fn with_effect(mut self, effect: Effect) -> Self {
        self.effect = effect;
        self
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Value of the `Retry-After` header: seconds, rounded up, at least 1.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_millis().div_ceil(1_000).max(1) as u64)
    }

    /// The body as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        let title = self.status.canonical_reason().unwrap_or("Error");
        let error = ErrorObject { message: &self.detail, kind: self.code, code: self.code };
        let wire = Wire {
            kind: format!("urn:mimosashift:problem:{}", self.code),
            title,
            status: self.status.as_u16(),
            code: self.code,
            detail: &self.detail,
            effect: self.effect,
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            error,
        };
        serde_json::to_vec(&wire).expect("a problem has only string keys")
    }
}
