//! Command line of the load generator and the benchmarks.

use std::process::ExitCode;
use std::time::Duration;

use mimosabench::added_latency;
use mimosabench::clients;
use mimosabench::load::{self, LoadConfig, Workload};
use mimosabench::policy::{self, measure};
use mimosabench::report::{Outcome, Report};
use mimosabench::slopes;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures routers and their policies.
        cmd mimosabench {
            /// Compares token times through a router with those without one.
            cmd added {
                /// Requests of each kind; 200 unless given.
                optional --requests count: u32
            }
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
            /// Measures the decision code in virtual time, beside a baseline.
            cmd policy {
                /// Folder for the plots; none are drawn unless given.
                optional --plots folder: PathBuf
                /// Replicas of the model; 40 unless given.
                optional --replicas count: usize
                /// Seconds measured; 60 unless given.
                optional --seconds number: u64
                /// Seed; 1 unless given.
                optional --seed number: u64
                /// Only this mix: board or aksu.
                optional --mix name: String
                /// Prints why requests were refused or lost.
                optional --causes
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
        flags::MimosabenchCmd::Added(flags) => run_added(&flags),
        flags::MimosabenchCmd::Clients(_) => run_clients(),
        flags::MimosabenchCmd::Load(flags) => run_load(&flags),
        flags::MimosabenchCmd::Policy(flags) => run_policy(&flags),
        flags::MimosabenchCmd::Slopes(flags) => run_slopes(&flags),
    }
}

fn run_added(flags: &flags::Added) -> ExitCode {
    exit_code(added_latency::run(flags.requests.unwrap_or(200)))
}

fn run_clients() -> ExitCode {
    exit_code(clients::run())
}

fn exit_code(result: Result<(), impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosabench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_load(flags: &flags::Load) -> ExitCode {
    let seed = flags.seed.unwrap_or(1);
    let workload = match &flags.service {
        Some(service) => {
            Workload::Posting { service: service.clone(), label: format!("posting-{seed}") }
        }
        None => Workload::Completion {
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
    let report = load::run(&LoadConfig {
        targets: flags.target.clone(),
        token: flags.token.clone(),
        rate: flags.rate.unwrap_or(50.0),
        duration: Duration::from_secs_f64(flags.seconds.unwrap_or(10.0)),
        connections: flags.connections.unwrap_or(128),
        workload,
        seed,
    });
    print_report(&report, flags.json);
    if report.count(Outcome::Wrong) == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_report(report: &Report, json: bool) {
    if json {
        println!("{:#}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
}

fn run_policy(flags: &flags::Policy) -> ExitCode {
    let scale = measure::Scale {
        replicas: flags.replicas.unwrap_or(40),
        measured: Duration::from_secs(flags.seconds.unwrap_or(60)),
        seed: flags.seed.unwrap_or(1),
    };
    let (throughputs, recoveries) = measure::all(scale, flags.mix.as_deref());
    println!("{}", policy::throughputs(&throughputs));
    println!("{}", policy::recoveries(&recoveries));
    if flags.causes {
        print!("{}", policy::causes(&throughputs, &recoveries));
    }
    let Some(folder) = &flags.plots else { return ExitCode::SUCCESS };
    match policy::draw(folder, &throughputs, &recoveries) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosabench: cannot write plots to {}: {error}", folder.display());
            ExitCode::FAILURE
        }
    }
}

fn run_slopes(flags: &flags::Slopes) -> ExitCode {
    exit_code(slopes::measure(flags.role.as_deref()).and_then(|all| {
        print!("{}", slopes::to_text(&all));
        flags.write.iter().try_for_each(|path| slopes::page::write(path, &all))
    }))
}
