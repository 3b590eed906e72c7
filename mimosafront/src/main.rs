//! The router daemon for the users' platform.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use mimosafront::flags::Mimosafront;
use mimosafront::run::{self, Start};
use mimosafront::settings::File;
use mimosashift::event;
use mimosashift::meter::Meter;
use mimosashift::settings::{Form, Log};

/// Exit code when the router cannot start.
const EXIT_START: u8 = 1;

/// Exit code when the settings are wrong.
const EXIT_USAGE: u8 = 2;

/// Exit code when the grace time ended before every request was answered.
const EXIT_CUT_OFF: u8 = 3;

/// Where the metrics are served when no flag says so.
const METRICS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 9464);

fn main() -> ExitCode {
    let flags = Mimosafront::from_env_or_exit();
    let (file, node) = match File::open(flags.settings) {
        Ok(opened) => opened,
        Err(error) => return stop(EXIT_USAGE, &error),
    };
    if flags.check {
        return ExitCode::SUCCESS;
    }
    let log = Log { form: Form::Json, level: event::Level::Info };
    let (log, _guard) = event::logger_to(&log, std::io::stdout());
    let meter = match Meter::new() {
        Ok(meter) => meter,
        Err(error) => return stop(EXIT_START, &error),
    };
    let metrics = flags.metrics.unwrap_or(METRICS);
    match run::run(Start { file, node, metrics, log, meter }) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT_OFF),
        Err(error) => stop(EXIT_START, &error),
    }
}

fn stop(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("mimosafront: {error}");
    ExitCode::from(code)
}
