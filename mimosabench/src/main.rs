//! The load tool and policy benchmarks.

use std::process::ExitCode;
use std::time::Duration;

use load::{Plan, Work};
use report::Outcome;

mod clients;
mod load;
mod report;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Measures routers and their policies.
        cmd mimosabench {
            /// Compares HTTP clients and servers over loopback.
            cmd clients {
            }
            /// Sends load to routers and checks every answer.
            cmd load {
                /// Callers' address of a router.
                repeated --target address: SocketAddr
                /// Bearer token of the calling team.
                required --token text: String
                /// Requests a second; 50 unless given.
                optional --rate number: f64
                /// Seconds; 10 unless given.
                optional --seconds number: f64
                /// Connections at most; 128 unless given.
                optional --connections count: usize
                /// Seed; 1 unless given.
                optional --seed number: u64
                /// Model; advisor unless given.
                optional --model name: String
                /// Layers of the model; 24 unless given.
                optional --layers count: u16
                /// Prompt length in tokens; 64 unless given.
                optional --prompt-tokens count: usize
                /// Tokens to generate; 32 unless given.
                optional --tokens count: u32
                /// Posts to this service instead of asking for completions.
                optional --service name: String
                /// Prints JSON.
                optional --json
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Mimosabench::from_env_or_exit();
    match flags.subcommand {
        flags::MimosabenchCmd::Clients(_) => run_clients(),
        flags::MimosabenchCmd::Load(flags) => run_load(&flags),
    }
}

fn run_clients() -> ExitCode {
    match clients::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosabench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_load(flags: &flags::Load) -> ExitCode {
    let seed = flags.seed.unwrap_or(1);
    let work = match &flags.service {
        Some(service) => {
            Work::Posting { service: service.clone(), label: format!("posting-{seed}") }
        }
        None => Work::Completion {
            model: flags.model.clone().unwrap_or_else(|| "advisor".to_owned()),
            layers: flags.layers.unwrap_or(24),
            version: 1,
            prompt_tokens: flags.prompt_tokens.unwrap_or(64),
            tokens: flags.tokens.unwrap_or(32),
        },
    };
    if flags.target.is_empty() {
        eprintln!("mimosabench: load needs at least one --target");
        return ExitCode::from(2);
    }
    let report = load::run(&Plan {
        targets: flags.target.clone(),
        token: flags.token.clone(),
        rate: flags.rate.unwrap_or(50.0),
        duration: Duration::from_secs_f64(flags.seconds.unwrap_or(10.0)),
        connections: flags.connections.unwrap_or(128),
        work,
        seed,
    });
    print_report(&report, flags.json);
    if report.of(Outcome::Wrong) == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_report(report: &report::Report, json: bool) {
    if json {
        println!("{:#}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
}
