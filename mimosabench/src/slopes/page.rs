//! Replaces the generated block of a documentation page.

use std::fs;
use std::path::Path;

use super::{Error, Series, to_markdown};

/// Marker before the block.
pub const BEGIN: &str = "<!-- slopes:begin -->";

/// Marker after the block.
pub const END: &str = "<!-- slopes:end -->";

/// Command shown in the block that regenerates it.
const COMMAND: &str = "cargo run --release -p mimosabench -- slopes --write docs/CAPACITY.md";

/// Replaces the block of the page at `path`.
pub fn write(path: &Path, all: &[Series]) -> Result<(), Error> {
    let page = fs::read_to_string(path)?;
    let replaced = replace(&page, &to_markdown(all));
    let replaced = replaced.ok_or_else(|| Error::Page(path.display().to_string()))?;
    fs::write(path, replaced)?;
    Ok(())
}

/// Returns the page with `table` in its block, or `None` if it has no block.
pub fn replace(page: &str, table: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n\n`{COMMAND}`\n\n{table}\n{END}{after}"))
}
