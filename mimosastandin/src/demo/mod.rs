//! The local run: a world in one process and a sample of what it does.

use std::io;

use mimosashift::event;
use mimosashift::settings::{Format, Log};
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::world::{self, CALLER_TOKEN, OPERATOR_TOKEN, World};

mod fault;
mod sample;

pub use fault::Fault;

quick_error! {
    /// Why the local run failed.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The world did not start.
        World(error: world::Error) {
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
    let settings = Log { format: Format::Terminal, level: event::Level::Warning };
    let (log, _guard) = event::logger(&settings);
    let world = World::start(&log)?;
    print_addresses(&world);
    sample::run(&world, plan.fault)?;
    if plan.once {
        return Ok(());
    }
    print_hints(&world);
    Signals::new([SIGINT, SIGTERM])?.forever().next();
    Ok(())
}

fn print_addresses(world: &World) {
    println!("platform   {}", world.platform.address());
    println!("service    {}", world.service.address());
    for placed in &world.engines {
        println!("engine     {}  {}", placed.instance.address(), placed.name);
    }
    for (index, router) in world.routers.iter().enumerate() {
        let (callers, operators) = (router.callers(), router.operators());
        println!("router-{}   callers {callers}  operators {operators}", index + 1);
    }
    println!();
}

fn print_hints(world: &World) {
    let router = &world.routers[0];
    println!("\nTry it:\n");
    println!(
        "  curl -N http://{}/v1/completions -H 'Authorization: Bearer {CALLER_TOKEN}' \\\n    \
         -d '{{\"model\": \"{}\", \"prompt\": \"Which shade?\", \"max_tokens\": 40, \"stream\": true}}'",
        router.callers(),
        world::MODEL,
    );
    println!(
        "  MIMOSACTL_TOKEN={OPERATOR_TOKEN} cargo run --release --bin mimosactl -- \\\n    \
         --server {} status",
        router.operators(),
    );
    println!("\nCtrl-C ends it.");
}
