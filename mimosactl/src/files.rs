//! Resource files: JSON objects or lists of them.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

use mimosashift::resource::{Kind, Name, Spec};
use serde::Deserialize;
use serde_json::Value;

use crate::client::Error;

/// A resource as it stands in a file, checked.
pub struct Declared {
    /// Where it stands, for messages.
    pub source: String,
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: Name,
    /// Specification.
    pub spec: Spec,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    kind: String,
    name: String,
    spec: Value,
    #[serde(default, rename = "revision")]
    _revision: Option<u64>,
    #[serde(default, rename = "status")]
    _status: Option<Value>,
}

/// Reads every resource of the given files and directories, in the order in
/// which they should be applied. Every wrong one is reported.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Declared>, Error> {
    let mut declared = Vec::new();
    let mut problems = Vec::new();
    for path in expand(paths)? {
        let source = path.display().to_string();
        match text(&path).and_then(|text| parse(&source, &text)) {
            Ok(resources) => declared.extend(resources),
            Err(Error::Usage(problem)) => problems.push(problem),
            Err(error) => return Err(error),
        }
    }
    if !problems.is_empty() {
        return Err(Error::Usage(problems.join("\n")));
    }
    declared.sort_by_key(|d| Kind::ALL.iter().position(|kind| *kind == d.kind));
    Ok(declared)
}

fn expand(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).map_err(|e| unreadable(path, &e))?;
        let mut inside: Vec<PathBuf> = entries
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|path| path.extension().is_some_and(|e| e == "json"))
            .collect();
        inside.sort();
        files.extend(inside);
    }
    Ok(files)
}

fn text(path: &Path) -> Result<String, Error> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(|e| unreadable(path, &e))?;
        return Ok(text);
    }
    fs::read_to_string(path).map_err(|e| unreadable(path, &e))
}

fn parse(source: &str, text: &str) -> Result<Vec<Declared>, Error> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| Error::Usage(format!("{source}: {e}")))?;
    let items = match value {
        Value::Array(items) => items,
        item => vec![item],
    };
    let mut declared = Vec::new();
    let mut problems = Vec::new();
    for (index, item) in items.into_iter().enumerate() {
        match resource(item) {
            Ok((kind, name, spec)) => {
                let source = format!("{source}, item {index}");
                declared.push(Declared { source, kind, name, spec });
            }
            Err(problem) => problems.push(format!("{source}, item {index}: {problem}")),
        }
    }
    if problems.is_empty() { Ok(declared) } else { Err(Error::Usage(problems.join("\n"))) }
}

fn resource(item: Value) -> Result<(Kind, Name, Spec), String> {
    let wire: Wire = serde_json::from_value(item).map_err(|e| e.to_string())?;
    let kind = Kind::try_from(wire.kind.as_str()).map_err(|e| e.to_string())?;
    let name = Name::try_from(wire.name.as_str()).map_err(|e| e.to_string())?;
    let body = wire.spec.to_string();
    let spec = Spec::decode(kind, body.as_bytes())
        .map_err(|e| format!("{kind} {:?}: {e}", name.as_str()))?;
    Ok((kind, name, spec))
}

fn unreadable(path: &Path, error: &std::io::Error) -> Error {
    Error::Usage(format!("{}: {error}", path.display()))
}
