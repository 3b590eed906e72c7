//! The router daemon.

use std::process::ExitCode;

use mimosashift::settings::{Raw, SETTINGS, Setting, Settings};

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;

/// What the command line asks for.
enum Command {
    Help,
    Check(Box<Raw>),
    Run(Box<Raw>),
}

fn main() -> ExitCode {
    let command = match parse(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(message) => {
            eprintln!("mimosashiftd: {message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let (raw, check) = match command {
        Command::Help => {
            print_help();
            return ExitCode::SUCCESS;
        }
        Command::Check(raw) => (raw, true),
        Command::Run(raw) => (raw, false),
    };
    let raw = raw.fill(|name| std::env::var(name).ok());
    match Settings::try_from(raw) {
        Ok(_) if check => ExitCode::SUCCESS,
        Ok(settings) => run(settings),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}
