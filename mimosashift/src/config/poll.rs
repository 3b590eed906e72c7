//! Reads from the table what a router lacks.

use super::call::{Response, StateMachine, Step};
use super::catchup::{CatchUp, Progress};
use super::load::Load;
use super::{Error, State};

/// Loads everything into an empty state and catches up with any other.
#[derive(Debug)]
pub enum Poll {
    /// Nothing is installed; the log may be far longer than the resources.
    Load(Load),
    /// Something is installed.
    CatchUp(CatchUp),
}

impl Poll {
    /// Starts from what is installed.
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
            Self::Load(load) => loaded(load.start()),
            Self::CatchUp(machine) => machine.start(),
        }
    }

    fn on_response(&mut self, response: Response) -> Step<Self::Output> {
        match self {
            Self::Load(load) => loaded(load.on_response(response)),
            Self::CatchUp(machine) => machine.on_response(response),
        }
    }
}

fn loaded(step: Step<Result<State, Error>>) -> Step<Result<Progress, Error>> {
    match step {
        Step::Call(call) => Step::Call(call),
        Step::Done(result) => Step::Done(result.map(Progress::from)),
    }
}
