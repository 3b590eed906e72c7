//! Prints responses as tables or JSON.

use std::io::{self, Write};

use serde_json::Value;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns.
    Table,
    /// One JSON value.
    Json,
}

impl Format {
    /// Prints `items` as a table of the given columns, or `answer` as JSON.
    pub fn print(self, answer: &Value, items: &[Value], columns: &[&str]) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match self {
            Self::Json => writeln!(out, "{answer:#}"),
            Self::Table => write_table(&mut out, items, columns),
        }
    }

    /// Prints one value, either with its members as rows and its lists of
    /// objects as tables, or as JSON.
    pub fn print_one(self, value: &Value) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match (self, value) {
            (Self::Table, Value::Object(_)) => write_members(&mut out, value),
            _ => writeln!(out, "{value:#}"),
        }
    }
}

fn write_members(out: &mut impl Write, value: &Value) -> io::Result<()> {
    let (mut rows, mut lists) = (Vec::new(), Vec::new());
    flatten("", value, &mut rows, &mut lists);
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    for (name, text) in rows {
        writeln!(out, "{name:width$}  {text}")?;
    }
    for (name, items) in lists {
        let mut columns: Vec<&str> = Vec::new();
        for key in items.iter().filter_map(Value::as_object).flat_map(|item| item.keys()) {
            if !columns.contains(&key.as_str()) {
                columns.push(key);
            }
        }
        writeln!(out, "\n{name}")?;
        write_table(out, items, &columns)?;
    }
    Ok(())
}

/// Flattens nested members into rows and lists of objects, each named by its path.
fn flatten<'a>(
    path: &str,
    value: &'a Value,
    rows: &mut Vec<(String, String)>,
    lists: &mut Vec<(String, &'a [Value])>,
) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, member) in members {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, member, rows, lists);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            lists.push((path.to_owned(), items));
        }
        _ => rows.push((path.to_owned(), format_cell(value))),
    }
}

fn write_table(out: &mut impl Write, items: &[Value], columns: &[&str]) -> io::Result<()> {
    let header = columns.iter().map(|c| c.to_uppercase()).collect::<Vec<_>>();
    let mut rows = vec![header];
    for item in items {
        rows.push(columns.iter().map(|column| format_cell(&item[*column])).collect());
    }
    let width = |i: usize| rows.iter().map(|row| row[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for row in &rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}")).collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    Ok(())
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Object(members) if members.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(", "),
        Value::Object(members) => {
            let pair = |(name, value)| format!("{name}={}", format_cell(value));
            members.iter().map(pair).collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
