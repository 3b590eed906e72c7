//! Command-line client for operators.

use std::process::ExitCode;

use client::{Error, Server};
use commands::Context;
use output::Format;

mod client;
mod commands;
mod files;
mod flags;
mod output;

fn main() -> ExitCode {
    let flags = flags::Mimosactl::from_env_or_exit();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosactl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(flags: &flags::Mimosactl) -> Result<(), Error> {
    let format = match flags.output.as_deref() {
        None | Some("table") => Format::Table,
        Some("json") => Format::Json,
        Some(other) => {
            let message = format!("--output is {other:?}, must be table or json");
            return Err(Error::Usage(message));
        }
    };
    let address = flags
        .server
        .clone()
        .or_else(|| std::env::var("MIMOSACTL_SERVER").ok())
        .unwrap_or_else(|| "127.0.0.1:8081".to_owned());
    let token = std::env::var("MIMOSACTL_TOKEN").unwrap_or_default();
    Context { server: Server::new(address, token), format }.run(&flags.subcommand)
}

/// Bash completion script for the commands, options and resource kinds.
fn completion_script() -> &'static str {
    r#"_mimosactl() {
    local commands="apply get list delete watch wait audit explain status postings resolve drain completions"
    local kinds="priority team pipeline service endpoint route"
    local word="${COMP_WORDS[COMP_CWORD]}"
    case "${COMP_WORDS[COMP_CWORD-1]}" in
        get|list|delete|--kind) COMPREPLY=($(compgen -W "$kinds" -- "$word")) ;;
        -f|--file) COMPREPLY=($(compgen -f -- "$word")) ;;
        -o|--output) COMPREPLY=($(compgen -W "table json" -- "$word")) ;;
        *) COMPREPLY=($(compgen -W "$commands" -- "$word")) ;;
    esac
}
complete -F _mimosactl mimosactl"#
}
