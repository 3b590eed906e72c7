//! Answers as tables or JSON.

use std::io::{self, Write};

use serde_json::Value;

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Aligned columns for people.
    Table,
    /// One JSON value for programs.
    Json,
}

impl Form {
    /// Prints `items` with the given columns, or `whole` as JSON.
    pub fn print(self, whole: &Value, items: &[Value], columns: &[&str]) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match self {
            Self::Json => writeln!(out, "{whole:#}"),
            Self::Table => write_table(&mut out, items, columns),
        }
    }

    /// Prints one value: its members as rows, or JSON.
    pub fn print_one(self, value: &Value) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match (self, value) {
            (Self::Table, Value::Object(members)) => {
                let width = members.keys().map(String::len).max().unwrap_or(0);
                for (name, member) in members {
                    writeln!(out, "{name:width$}  {}", cell(member))?;
                }
                Ok(())
            }
            _ => writeln!(out, "{value:#}"),
        }
    }
}

fn write_table(out: &mut impl Write, items: &[Value], columns: &[&str]) -> io::Result<()> {
    let header = columns.iter().map(|c| c.to_uppercase()).collect::<Vec<_>>();
    let mut rows = vec![header];
    for item in items {
        rows.push(columns.iter().map(|column| cell(&item[*column])).collect());
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

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
