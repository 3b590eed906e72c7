//! Names the commit that is built, so that the builds of a deployment can be told apart.

use std::env;
use std::path::Path;
use std::process::Command;

/// Set by those who build from an export of the sources instead of a repository.
const OVERRIDE: &str = "MIMOSASHIFT_COMMIT";

fn main() {
    println!("cargo::rerun-if-env-changed={OVERRIDE}");
    let folder = git(&["rev-parse", "--absolute-git-dir"]);
    // The log of HEAD changes with each commit and each checkout.
    let log = folder.map(|folder| format!("{folder}/logs/HEAD"));
    match log.filter(|log| Path::new(log).exists()) {
        Some(log) => println!("cargo::rerun-if-changed={log}"),
        None => println!("cargo::rerun-if-changed=build.rs"),
    }
    let commit = env::var(OVERRIDE).ok().or_else(|| git(&["rev-parse", "--short=12", "HEAD"]));
    println!("cargo::rustc-env=MIMOSASHIFT_BUILD={}", commit.as_deref().unwrap_or("unknown"));
}

/// Output of a git command; `None` if there is no git or no repository.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?.trim().to_owned();
    (output.status.success() && !text.is_empty()).then_some(text)
}
