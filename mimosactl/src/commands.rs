//! Implementation of the commands.

use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};

use crate::client::{Error, Server};
use crate::files;
use crate::flags::{self, MimosactlCmd};
use crate::output::Format;

/// Default time limit of `apply --wait` and `wait`.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// Interval between polls while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Router that commands are sent to, and format of their output.
pub struct Context {
    /// The router to call.
    pub server: Server,
    /// The output format.
    pub format: Format,
}

impl Context {
    /// Runs a command.
    pub fn run(&self, command: &MimosactlCmd) -> Result<(), Error> {
        match command {
            MimosactlCmd::Apply(apply) => self.apply(apply),
            MimosactlCmd::Get(get) => {
                self.show(&format!("/api/v1/{}/{}", encode(&get.kind), encode(&get.name)))
            }
            MimosactlCmd::List(list) => {
                let answer = self.server.get(&format!("/api/v1/{}", encode(&list.kind)))?;
                self.print_items(&answer, &["name", "revision", "spec"])
            }
            MimosactlCmd::Delete(delete) => self.delete(delete),
            MimosactlCmd::Watch(watch) => self.watch(watch),
            MimosactlCmd::Wait(wait) => {
                let limit = wait.timeout.map_or(DEFAULT_WAIT, Duration::from_secs);
                self.wait(wait.revision, limit)
            }
            MimosactlCmd::Audit(audit) => self.audit(audit),
            MimosactlCmd::Explain(explain) => self.explain(explain),
            MimosactlCmd::Status(_) => self.show("/api/v1/status"),
            MimosactlCmd::Postings(_) => {
                let answer = self.server.get("/api/v1/postings?state=unknown")?;
                self.print_items(&answer, &["key", "since", "router"])
            }
            MimosactlCmd::Resolve(resolve) => self.resolve(resolve),
            MimosactlCmd::Drain(_) => {
                let answer = self.server.call(Method::POST, "/api/v1/drain", None, None)?;
                self.print_one(&answer)
            }
            MimosactlCmd::Completions(_) => {
                self.print_text(crate::completion_script());
                Ok(())
            }
        }
    }

    fn apply(&self, apply: &flags::Apply) -> Result<(), Error> {
        if apply.file.is_empty() {
            return Err(Error::Usage("apply needs at least one --file".to_owned()));
        }
        let mut last_revision = 0;
        for resource in files::read(&apply.file)? {
            let query = if apply.dry_run { "?dry_run=true" } else { "" };
            let path = format!("/api/v1/{}/{}{query}", resource.kind, resource.name);
            let body = resource.spec.to_json();
            let answer = self
                .server
                .call(Method::PUT, &path, None, Some(&body))
                .map_err(|error| with_source(&resource.source, error))?;
            last_revision = answer["revision"].as_u64().unwrap_or(last_revision);
            let summary = json!({
                "kind": resource.kind, "name": resource.name,
                "revision": answer["revision"], "change": answer["change"],
                "dry_run": apply.dry_run,
            });
            self.print_one(&summary)?;
        }
        if apply.wait && !apply.dry_run {
            return self.wait(last_revision, DEFAULT_WAIT);
        }
        Ok(())
    }

    fn delete(&self, delete: &flags::Delete) -> Result<(), Error> {
        let path = format!("/api/v1/{}/{}", encode(&delete.kind), encode(&delete.name));
        let precondition = delete.revision.map(|r| ("if-match", format!("\"{r}\"")));
        let answer = self.server.call(Method::DELETE, &path, precondition, None)?;
        self.print_one(&answer)
    }

    fn watch(&self, watch: &flags::Watch) -> Result<(), Error> {
        let after = match watch.after {
            Some(after) => after,
            None => self.server.get("/api/v1/status")?["revision"].as_u64().unwrap_or(0),
        };
        self.server.stream(&format!("/api/v1/watch?after={after}"), |change| {
            let line = match self.format {
                Format::Json => change.to_string(),
                Format::Table => {
                    let action = if change["spec"].is_null() { "delete" } else { "put" };
                    let field = |name: &str| change[name].as_str().unwrap_or("-").to_owned();
                    format!("{} {action} {} {}", change["revision"], field("kind"), field("name"))
                }
            };
            self.print_text(&line);
        })
    }

    fn wait(&self, revision: u64, limit: Duration) -> Result<(), Error> {
        let start = Instant::now();
        loop {
            let answer = self.server.get(&format!("/api/v1/in-force?revision={revision}"))?;
            if installed_everywhere(&answer["domains"]) {
                let waited = start.elapsed().as_millis() as u64;
                let summary = json!({"in_force": revision, "waited_ms": waited});
                return self.print_one(&summary);
            }
            if start.elapsed() > limit {
                return Err(Error::TimedOut(format!(
                    "revision {revision} is in force on {} only",
                    answer["domains"]
                )));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn audit(&self, audit: &flags::Audit) -> Result<(), Error> {
        let mut path = format!("/api/v1/audit?limit={}", audit.limit.unwrap_or(100));
        let filters = [("kind", &audit.kind), ("name", &audit.name), ("operator", &audit.operator)];
        for (name, value) in filters {
            if let Some(value) = value {
                path.push_str(&format!("&{name}={}", encode(value)));
            }
        }
        if let Some(after) = audit.after {
            path.push_str(&format!("&after={after}"));
        }
        let answer = self.server.get(&path)?;
        let columns = ["revision", "time", "operator", "origin", "kind", "name", "change"];
        self.print_items(&answer, &columns)
    }

    fn explain(&self, explain: &flags::Explain) -> Result<(), Error> {
        let format = if explain.json { Format::Json } else { self.format };
        let answer = match &explain.model {
            Some(model) => {
                let tokens = explain.prompt_tokens.unwrap_or(100);
                let model = encode(model);
                self.server.get(&format!("/api/v1/explain?model={model}&prompt_tokens={tokens}"))?
            }
            None => self.explain_request(explain)?,
        };
        format.print_one(&answer).map_err(print_error)
    }

    /// Asks about a request by its head, its parameters, or both.
    fn explain_request(&self, explain: &flags::Explain) -> Result<Value, Error> {
        let number = |count: Option<u32>| count.map(|count| count.to_string());
        let parameters = [
            ("host", explain.host.clone()),
            ("path", explain.path.clone()),
            ("method", explain.method.clone()),
            ("team", explain.team.clone()),
            ("prompt", number(explain.prompt.or(explain.prompt_tokens))),
            ("max_output", number(explain.max_output)),
            ("hint", number(explain.hint)),
            ("prefix", explain.prefix.clone()),
        ];
        let given = parameters.iter().filter_map(|(name, value)| Some((name, value.as_ref()?)));
        let given: Vec<_> =
            given.map(|(name, value)| format!("{name}={}", encode(value))).collect();
        if explain.head.is_none() && (explain.host.is_none() || explain.path.is_none()) {
            let message = "explain needs a model, --head, or --host and --path";
            return Err(Error::Usage(message.to_owned()));
        }
        let path = format!("/api/v1/explain?{}", given.join("&"));
        match &explain.head {
            Some(file) => self.server.query(&path, files::read_text(file)?),
            None => self.server.get(&path),
        }
    }

    fn resolve(&self, resolve: &flags::Resolve) -> Result<(), Error> {
        if resolve.ran == resolve.not_run {
            return Err(Error::Usage("resolve needs one of --ran and --not-run".to_owned()));
        }
        let body = json!({"key": resolve.key, "ran": resolve.ran});
        let path = "/api/v1/postings/resolve";
        let answer = self.server.call(Method::POST, path, None, Some(&body))?;
        self.print_one(&answer)
    }

    fn show(&self, path: &str) -> Result<(), Error> {
        let answer = self.server.get(path)?;
        self.print_one(&answer)
    }

    fn print_items(&self, answer: &Value, columns: &[&str]) -> Result<(), Error> {
        let items = answer["items"].as_array().map_or(&[][..], Vec::as_slice);
        self.format.print(answer, items, columns).map_err(print_error)
    }

    fn print_one(&self, value: &Value) -> Result<(), Error> {
        self.format.print_one(value).map_err(print_error)
    }

    fn print_text(&self, text: &str) {
        println!("{text}");
    }
}

/// Whether every live router of every failure domain has installed the revision.
fn installed_everywhere(domains: &Value) -> bool {
    let Some(domains) = domains.as_object() else { return false };
    !domains.is_empty()
        && domains.values().all(|d| d["live"].is_u64() && d["installed"] == d["live"])
}

/// Percent-encodes a path segment or query value.
fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

fn with_source(source: &str, error: Error) -> Error {
    match error {
        Error::Refused { code, detail } => {
            Error::Refused { code, detail: format!("{source}: {detail}") }
        }
        Error::Conflict(detail) => Error::Conflict(format!("{source}: {detail}")),
        Error::Unknown(detail) => Error::Unknown(format!("{source}: {detail}")),
        other => other,
    }
}

fn print_error(error: std::io::Error) -> Error {
    Error::Usage(format!("cannot print: {error}"))
}
