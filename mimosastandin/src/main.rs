//! Command line of the stand-ins.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

use mimosashift::resource::{Engine, Layers, Name};
use mimosastandin::demo::{self, Options};
use mimosastandin::{engine, platform, service};
use quick_error::quick_error;

quick_error! {
    /// Why a stand-in did not start.
    #[derive(Debug)]
    enum Error {
        /// Listening on the address failed.
        Listen(address: SocketAddr, error: std::io::Error) {
            display("cannot listen on {}: {}", address, error)
        }
        /// The demo failed.
        Demo(error: demo::Error) {
            from()
            display("{}", error)
        }
        /// A name or range is invalid.
        Resource(error: mimosashift::resource::Error) {
            from()
            display("{}", error)
        }
        /// The specification of the engine is invalid.
        Engine(error: serde_json::Error) {
            from()
            display("invalid engine specification: {}", error)
        }
    }
}

mod flags {
    use std::net::SocketAddr;

    use mimosastandin::demo::Fault;

    xflags::xflags! {
        /// Stand-ins for the systems around a router, for tests and
        /// demonstrations.
        cmd mimosastandin {
            /// Runs a whole system in one process, and a sample of what it does.
            cmd demo {
                /// Ends after the sample.
                optional --once
                /// Breaks something while requests run: kill-stage,
                /// silence-connections, lose-domain or stop-table.
                optional --fault name: Fault
            }
            /// Runs the platform: tables and the list of VMs.
            cmd platform {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Rows written a second; 400 unless given.
                optional --writes rate: f64
                /// Reads a second; 2000 unless given.
                optional --reads rate: f64
            }
            /// Runs a model engine that holds some layers.
            cmd engine {
                /// Address to listen on.
                required --listen address: SocketAddr
                /// Name of the model.
                required --pipeline name: String
                /// Number of layers of the whole model.
                required --model-layers count: u16
                /// First layer held.
                required --first layer: u16
                /// One past the last layer held.
                required --end layer: u16
                /// Version held; 1 unless given.
                optional --version number: u32
                /// Microseconds to run one layer for one token; 20 unless given.
                optional --layer-us micros: u32
                /// Steps run at once; 16 unless given.
                optional --slots count: u16
            }
            /// Runs a plain service that counts how often each posting ran.
            cmd service {
                /// Address to listen on.
                required --listen address: SocketAddr
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Mimosastandin::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosastandin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: flags::Mimosastandin) -> Result<(), Error> {
    match flags.subcommand {
        flags::MimosastandinCmd::Demo(demo) => {
            Ok(demo::run(Options { once: demo.once, fault: demo.fault })?)
        }
        flags::MimosastandinCmd::Platform(platform) => run_platform(&platform),
        flags::MimosastandinCmd::Engine(engine) => run_engine(&engine),
        flags::MimosastandinCmd::Service(service) => run_service(&service),
    }
}

fn run_platform(flags: &flags::Platform) -> Result<(), Error> {
    let defaults = platform::Rates::default();
    let rates = platform::Rates {
        writes_per_second: flags.writes.unwrap_or(defaults.writes_per_second),
        reads_per_second: flags.reads.unwrap_or(defaults.reads_per_second),
    };
    let listen_error = |error| Error::Listen(flags.listen, error);
    let _instance = platform::Instance::start(flags.listen, rates).map_err(listen_error)?;
    park_forever()
}

fn run_engine(flags: &flags::Engine) -> Result<(), Error> {
    let pipeline = Name::try_from(flags.pipeline.as_str())?;
    let layers = Layers::try_from((flags.first, flags.end))?;
    let spec: Engine = serde_json::from_value(serde_json::json!({
        "accelerator": "stand-in",
        "layer_us": flags.layer_us.unwrap_or(20),
        "slots": flags.slots.unwrap_or(16),
        "holds": [{"pipeline": pipeline, "version": flags.version.unwrap_or(1), "layers": layers}],
    }))?;
    let models = HashMap::from([(pipeline, flags.model_layers)]);
    let listen_error = |error| Error::Listen(flags.listen, error);
    let _instance = engine::Instance::start(flags.listen, spec, models).map_err(listen_error)?;
    park_forever()
}

fn run_service(flags: &flags::Service) -> Result<(), Error> {
    let listen_error = |error| Error::Listen(flags.listen, error);
    let _instance = service::Instance::start(flags.listen).map_err(listen_error)?;
    park_forever()
}

/// Blocks until the process is terminated.
fn park_forever() -> Result<(), Error> {
    loop {
        thread::park();
    }
}
