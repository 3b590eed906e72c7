//! The load tool and policy benchmarks.

use std::process::ExitCode;
use std::time::Duration;

use load::{Plan, Work};
use mimosabench::slopes;
use report::Outcome;

mod load;
mod report;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures routers and their policies.
        cmd mimosabench {
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
            /// Measures what each role of a router costs by size.
            cmd slopes {
                /// Measures only this role.
                optional --role name: String
                /// Writes the table into the block of this page.
                optional --write path: PathBuf
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Mimosabench::from_env_or_exit();
    match flags.subcommand {
        flags::MimosabenchCmd::Load(flags) => run_load(&flags),
        flags::MimosabenchCmd::Slopes(flags) => run_slopes(&flags),
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

fn run_slopes(flags: &flags::Slopes) -> ExitCode {
    let written = slopes::measure(flags.role.as_deref()).and_then(|all| {
        print!("{}", slopes::to_text(&all));
        flags.write.iter().try_for_each(|path| slopes::page::write(path, &all))
    });
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosabench: slopes: {error}");
            ExitCode::FAILURE
        }
    }
}
