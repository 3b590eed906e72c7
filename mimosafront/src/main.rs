//! The router daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use mimosafront::BUILD;
use mimosafront::flags::Mimosafront;
use mimosafront::run::{self, StartOptions};
use mimosafront::settings::SettingsFile;
use mimosashift::event;
use mimosashift::meter::Meter;
use mimosashift::settings::{Format, Log};

/// Exit code when the router fails to start.
const EXIT_START_FAILED: u8 = 1;

/// Exit code when the settings cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code when the shutdown grace period ended with requests still in
/// flight.
const EXIT_DRAIN_INCOMPLETE: u8 = 3;

/// Default listen address of the metrics.
const DEFAULT_METRICS_ADDRESS: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 9464);

fn main() -> ExitCode {
    let flags = Mimosafront::from_env_or_exit();
    if flags.version {
        println!("mimosafront {} ({BUILD})", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (file, node) = match SettingsFile::open(flags.settings) {
        Ok(settings) => settings,
        Err(error) => return exit_with(EXIT_INVALID_SETTINGS, &error),
    };
    if flags.check {
        return ExitCode::SUCCESS;
    }
    let log = Log { format: Format::Json, level: event::Level::Info };
    let (log, _guard) = event::logger_to(&log, std::io::stdout());
    let meter = match Meter::new() {
        Ok(meter) => meter,
        Err(error) => return exit_with(EXIT_START_FAILED, &error),
    };
    let metrics = flags.metrics.unwrap_or(DEFAULT_METRICS_ADDRESS);
    match run::run(StartOptions { file, node, metrics, log, meter }) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_DRAIN_INCOMPLETE),
        Err(error) => exit_with(EXIT_START_FAILED, &error),
    }
}

fn exit_with(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("mimosafront: {error}");
    ExitCode::from(code)
}
