//! Demo: a testbed in one process and a sample workload.

use std::io;

use mimosashift::event;
use mimosashift::settings::{Format, Log};
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::testbed::{self, CALLER_TOKEN, OPERATOR_TOKEN, Testbed};

mod fault;
mod sample;

pub use fault::Fault;

quick_error! {
    /// Why the demo failed.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The testbed did not start.
        Testbed(error: testbed::Error) {
            from()
            display("{}", error)
        }
        /// A step of the sample workload gave a wrong result.
        Sample { step: &'static str, reason: String } {
            display("{}: {}", step, reason)
        }
        /// Waiting for signals failed.
        Signals(error: io::Error) {
            from()
            display("cannot wait for signals: {}", error)
        }
    }
}

/// Options of the demo.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Whether to exit after the sample workload.
    pub once: bool,
    /// Fault to inject while the sample workload runs.
    pub fault: Option<Fault>,
}

/// Runs the sample workload, then serves until SIGINT or SIGTERM unless
/// `options.once` is set.
pub fn run(options: Options) -> Result<(), Error> {
    let settings = Log { format: Format::Terminal, level: event::Level::Warning };
    let (log, _guard) = event::logger(&settings);
    let testbed = Testbed::start(&log)?;
    print_addresses(&testbed);
    sample::run(&testbed, options.fault)?;
    if options.once {
        return Ok(());
    }
    print_hints(&testbed);
    Signals::new([SIGINT, SIGTERM])?.forever().next();
    Ok(())
}

fn print_addresses(testbed: &Testbed) {
    println!("platform   {}", testbed.platform.address());
    println!("service    {}", testbed.service.address());
    for engine in &testbed.engines {
        println!("engine     {}  {}", engine.instance.address(), engine.name);
    }
    for (index, router) in testbed.routers.iter().enumerate() {
        let (callers, operators) = (router.callers(), router.operators());
        println!("router-{}   callers {callers}  operators {operators}", index + 1);
    }
    println!();
}

fn print_hints(testbed: &Testbed) {
    let router = &testbed.routers[0];
    println!("\nTry it:\n");
    println!(
        "  curl -N http://{}/v1/completions -H 'Authorization: Bearer {CALLER_TOKEN}' \\\n    \
         -d '{{\"model\": \"{}\", \"prompt\": \"Which shade?\", \"max_tokens\": 40, \"stream\": true}}'",
        router.callers(),
        testbed::MODEL,
    );
    println!(
        "  MIMOSACTL_TOKEN={OPERATOR_TOKEN} cargo run --release --bin mimosactl -- \\\n    \
         --server {} status",
        router.operators(),
    );
    println!("\nCtrl-C ends it.");
}
