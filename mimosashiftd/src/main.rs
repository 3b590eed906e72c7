//! The router daemon.

use std::process::ExitCode;

use mimosashift::event::{self, Event, emit};
use mimosashift::node::{self, Running};
use mimosashift::settings::{Raw, SETTINGS, Setting, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code when the router cannot start.
const EXIT_START: u8 = 1;

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;

/// Exit code when the drain time ended before every request was answered.
const EXIT_CUT_OFF: u8 = 3;

/// What the command line asks for.
enum Command {
    Help,
    Check(Box<Raw>),
    Run(Box<Raw>),
}

fn main() -> ExitCode {
    let (raw, check) = match parse(std::env::args().skip(1)) {
        Ok(Command::Help) => {
            print_help();
            return ExitCode::SUCCESS;
        }
        Ok(Command::Check(raw)) => (raw, true),
        Ok(Command::Run(raw)) => (raw, false),
        Err(message) => {
            eprintln!("mimosashiftd: {message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match Settings::try_from(raw.fill(|name| std::env::var(name).ok())) {
        Ok(_) if check => ExitCode::SUCCESS,
        Ok(settings) => run(&settings),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// Reads flags of the form `--flag value` and `--flag=value`.
fn parse(arguments: impl Iterator<Item = String>) -> Result<Command, String> {
    let mut raw = Box::<Raw>::default();
    let mut check = false;
    let mut arguments = arguments;
    while let Some(argument) = arguments.next() {
        let flag = argument
            .strip_prefix("--")
            .ok_or_else(|| format!("{argument:?} is no flag, see --help"))?;
        match flag {
            "help" => return Ok(Command::Help),
            "check" => check = true,
            _ => {
                let (flag, value) = match flag.split_once('=') {
                    Some((flag, value)) => (flag, Some(value.to_owned())),
                    None => (flag, arguments.next()),
                };
                let value = value.ok_or_else(|| format!("--{flag} needs a value"))?;
                raw.set(flag, value).map_err(|_| unknown_flag(flag))?;
            }
        }
    }
    Ok(if check { Command::Check(raw) } else { Command::Run(raw) })
}

fn unknown_flag(flag: &str) -> String {
    let known: Vec<&str> = SETTINGS.iter().map(|setting| setting.flag).collect();
    format!("--{flag} is no flag, must be one of {}, help, check", known.join(", "))
}

#[allow(clippy::print_stdout)] // Help goes to the standard output.
fn print_help() {
    println!("mimosashiftd: a router for model pipelines.\n");
    println!("  --check  checks the settings and exits\n  --help   prints this text\n");
    println!("{}", Setting::help_text());
}

fn run(settings: &Settings) -> ExitCode {
    let (log, _guard) = event::logger(&settings.log);
    // Signals that arrive from here on are kept until they are waited for.
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("mimosashiftd: cannot listen for signals: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let started = node::Settings::try_from(settings).and_then(|s| Running::start(s, log.clone()));
    let router = match started {
        Ok(router) => router,
        Err(error) => {
            eprintln!("mimosashiftd: cannot start: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let handle = signals.handle();
    let drain = router.drain_handle();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            drain.request();
        }
    });
    let cut_off = router.wait();
    handle.close();
    emit!(log, Event::NodeStopped, "cut_off" => cut_off);
    if cut_off == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CUT_OFF) }
}
