//! The local run: a testbed in one process and a sample of what it does.

use std::io;

use mimosashift::event;
use mimosashift::settings::{Form, Log};
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::testbed::{self, CALLER_TOKEN, OPERATOR_TOKEN, Testbed};

mod fault;
mod sample;

pub use fault::Fault;

quick_error! {
    /// Why the local run failed.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The testbed did not start.
        Testbed(error: testbed::Error) {
            from()
            display("{}", error)
        }
        /// A step of the sample did not do what it should.
        Sample { step: &'static str, reason: String } {
            display("{}: {}", step, reason)
        }
        /// Signals cannot be waited for.
        Signals(error: io::Error) {
            from()
            display("cannot wait for signals: {}", error)
        }
    }
}

/// What the local run is asked to do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Whether to end after the sample.
    pub once: bool,
    /// What to break while the sample runs.
    pub fault: Option<Fault>,
}

/// Runs the sample, then serves until a signal unless told otherwise.
pub fn run(plan: Plan) -> Result<(), Error> {
    let settings = Log { form: Form::Terminal, level: event::Level::Warning };
    let (log, _guard) = event::logger(&settings);
    let testbed = Testbed::start(&log)?;
    print_addresses(&testbed);
    sample::run(&testbed, plan.fault)?;
    if plan.once {
        return Ok(());
    }
    print_hints(&testbed);
    Signals::new([SIGINT, SIGTERM])?.forever().next();
    Ok(())
}

fn print_addresses(testbed: &Testbed) {
    println!("platform   {}", testbed.platform.address());
    println!("service    {}", testbed.service.address());
    for placed in &testbed.engines {
        println!("engine     {}  {}", placed.instance.address(), placed.name);
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
