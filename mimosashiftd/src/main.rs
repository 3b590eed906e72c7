//! The router daemon.

mod flags;

use std::process::ExitCode;

use mimosashift::settings::{Setting, Settings};

/// Exit code when the settings are wrong.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let raw = match flags::parse(args) {
        Ok(None) => {
            eprint!("{}", Setting::help_text());
            return ExitCode::SUCCESS;
        }
        Ok(Some(raw)) => raw,
        Err(error) => return usage(&error),
    };
    match Settings::try_from(raw.fill(|name| std::env::var(name).ok())) {
        Ok(_settings) => ExitCode::SUCCESS,
        Err(error) => usage(&error),
    }
}

fn usage(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}
