//! Reads resource files, each with a JSON object or a list of them.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

use mimosashift::resource::{Kind, Name, Spec};
use serde::Deserialize;
use serde_json::Value;

use crate::client::Error;

/// A validated resource from a file.
pub struct Resource {
    /// File and position, for messages.
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

/// Reads the resources in the given files and directories and sorts them in the
/// order in which they must be applied. The error lists all invalid resources.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Resource>, Error> {
    let mut resources = Vec::new();
    let mut problems = Vec::new();
    for path in expand_directories(paths)? {
        let source = path.display().to_string();
        match read_text(&path).and_then(|text| parse(&source, &text)) {
            Ok(parsed) => resources.extend(parsed),
            Err(Error::Usage(problem)) => problems.push(problem),
            Err(error) => return Err(error),
        }
    }
    if !problems.is_empty() {
        return Err(Error::Usage(problems.join("\n")));
    }
    resources.sort_by_key(|r| Kind::ALL.iter().position(|kind| *kind == r.kind));
    Ok(resources)
}

fn expand_directories(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = fs::read_dir(path).map_err(|e| read_error(path, &e))?;
        let mut json_files: Vec<PathBuf> = entries
            .filter_map(|entry| Some(entry.ok()?.path()))
            .filter(|path| path.extension().is_some_and(|e| e == "json"))
            .collect();
        json_files.sort();
        files.extend(json_files);
    }
    Ok(files)
}

pub fn read_text(path: &Path) -> Result<String, Error> {
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(|e| read_error(path, &e))?;
        return Ok(text);
    }
    fs::read_to_string(path).map_err(|e| read_error(path, &e))
}

fn parse(source: &str, text: &str) -> Result<Vec<Resource>, Error> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| Error::Usage(format!("{source}: {e}")))?;
    let items = match value {
        Value::Array(items) => items,
        item => vec![item],
    };
    let mut resources = Vec::new();
    let mut problems = Vec::new();
    for (index, item) in items.into_iter().enumerate() {
        match parse_resource(item) {
            Ok((kind, name, spec)) => {
                let source = format!("{source}, item {index}");
                resources.push(Resource { source, kind, name, spec });
            }
            Err(problem) => problems.push(format!("{source}, item {index}: {problem}")),
        }
    }
    if problems.is_empty() { Ok(resources) } else { Err(Error::Usage(problems.join("\n"))) }
}

fn parse_resource(item: Value) -> Result<(Kind, Name, Spec), String> {
    let wire: Wire = serde_json::from_value(item).map_err(|e| e.to_string())?;
    let kind = Kind::try_from(wire.kind.as_str()).map_err(|e| e.to_string())?;
    let name = Name::try_from(wire.name.as_str()).map_err(|e| e.to_string())?;
    let body = wire.spec.to_string();
    let spec = Spec::decode(kind, body.as_bytes())
        .map_err(|e| format!("{kind} {:?}: {e}", name.as_str()))?;
    Ok((kind, name, spec))
}

fn read_error(path: &Path, error: &std::io::Error) -> Error {
    Error::Usage(format!("{}: {error}", path.display()))
}
