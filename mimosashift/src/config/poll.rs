//! Reads the changes from the table that a router has not installed.

use super::call::{Response, StateMachine, Step};
use super::catchup::{CatchUp, Progress};
use super::load::Load;
use super::{Error, State};

/// Loads the whole configuration into an empty state; brings any other state
/// up to date from the log.
#[derive(Debug)]
pub enum Poll {
    /// Nothing is installed. The log may be much longer than the resources, so
    /// it is not replayed.
    Load(Load),
    /// A configuration is installed.
    CatchUp(CatchUp),
}

impl Poll {
    /// Starts from the installed state.
    pub fn new(installed: State) -> Self {
        if installed.version().revision == 0 {
            return Self::Load(Load::new(0));
        }
        Self::CatchUp(CatchUp::new(installed))
    }
}

impl StateMachine for Poll {
    type Output = Result<Progress, Error>;

    fn start(&mut self) -> Step<Self::Output> {
        match self {
            Self::Load(load) => map_load_step(load.start()),
            Self::CatchUp(machine) => machine.start(),
        }
    }

    fn on_response(&mut self, response: Response) -> Step<Self::Output> {
        match self {
            Self::Load(load) => map_load_step(load.on_response(response)),
            Self::CatchUp(machine) => machine.on_response(response),
        }
    }
}

fn map_load_step(step: Step<Result<State, Error>>) -> Step<Result<Progress, Error>> {
    match step {
        Step::Call(call) => Step::Call(call),
        Step::Done(result) => Step::Done(result.map(Progress::from)),
    }
}
