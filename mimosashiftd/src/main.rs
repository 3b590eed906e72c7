//! The router daemon.

use std::fmt::Display;
use std::process::ExitCode;

use mimosashift::emit;
use mimosashift::event::{self, Event};
use mimosashift::node::{self, RunningNode};
use mimosashift::settings::{Setting, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::flags::Command;

mod flags;

/// Exit code if the router cannot start.
const EXIT_START: u8 = 1;

/// Exit code if the flags or settings are invalid.
const EXIT_USAGE: u8 = 2;

/// Exit code if the drain time ended before every request was answered.
const EXIT_CUT_OFF: u8 = 3;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let (raw, check_only) = match flags::parse(args) {
        Ok(Command::Help) => {
            print_help();
            return ExitCode::SUCCESS;
        }
        Ok(Command::Check(raw)) => (raw, true),
        Ok(Command::Run(raw)) => (raw, false),
        Err(error) => return exit_with_error(EXIT_USAGE, &error),
    };
    match Settings::try_from(raw.fill_from_env(|name| std::env::var(name).ok())) {
        Ok(_) if check_only => ExitCode::SUCCESS,
        Ok(settings) => run(&settings),
        Err(error) => exit_with_error(EXIT_USAGE, &error),
    }
}

fn print_help() {
    println!("mimosashiftd: a router for model pipelines.\n");
    println!("  --check\n      Checks the settings and exits.\n");
    print!("{}", Setting::help_text());
}

fn run(settings: &Settings) -> ExitCode {
    let (log, _guard) = event::logger(&settings.log);
    // Registered before the start, so that a signal during it is not lost.
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => return exit_with_error(EXIT_START, &error),
    };
    let started =
        node::Settings::try_from(settings).and_then(|s| RunningNode::start(s, log.clone()));
    let router = match started {
        Ok(router) => router,
        Err(error) => return exit_with_error(EXIT_START, &error),
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

fn exit_with_error(code: u8, error: &dyn Display) -> ExitCode {
    eprintln!("mimosashiftd: {error}");
    ExitCode::from(code)
}
