//! Baseline policy: round-robin over replicas, restarting failed requests.

use std::time::Duration;

use mimosashift::engine::{Input, Label, Output, Step};
use mimosashift::pipeline::{Action, Actions, Effect, FailureCode, Outcome, Request};
use mimosashift::resource::Name;

use super::fleet::{Fleet, STAGES, VERSION};

/// Timeout of one step.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts per request, each on another replica.
const MAX_ATTEMPTS: u32 = 3;

/// A request that runs on one replica from its first to its last stage.
#[derive(Debug)]
pub struct Naive {
    request: Request,
    replica: usize,
    attempt: u32,
    stage: usize,
    position: u32,
    tokens: Vec<u32>,
    expected: Option<Label>,
    done: bool,
}

impl Naive {
    /// Creates a request that has not been sent.
    pub const fn new(request: Request, replica: usize) -> Self {
        Self {
            request,
            replica,
            attempt: 0,
            stage: 0,
            position: 0,
            tokens: Vec::new(),
            expected: None,
            done: false,
        }
    }

    /// Starts an attempt on the current replica.
    pub fn start(&mut self, fleet: &Fleet) -> Actions {
        self.attempt += 1;
        (self.stage, self.position) = (0, 0);
        self.tokens = self.request.prompt.clone();
        let mut actions = Actions::new();
        self.send(fleet, Input::Tokens(self.tokens.clone()), &mut actions);
        actions
    }

    /// Handles the answer of a stage.
    pub fn on_reply(&mut self, fleet: &Fleet, label: &Label, output: Output) -> Actions {
        let mut actions = Actions::new();
        if self.done || self.expected.as_ref() != Some(label) {
            return actions;
        }
        match output {
            Output::Hidden(hidden) => {
                self.stage += 1;
                self.send(fleet, Input::Hidden(hidden), &mut actions);
            }
            Output::Token(token) => {
                self.position = self.tokens.len() as u32;
                self.tokens.push(token);
                actions.push(Action::Emit(token));
                let answered = self.tokens.len() - self.request.prompt.len();
                if answered >= self.request.max_tokens as usize {
                    self.finish(fleet, Outcome::Complete, &mut actions);
                } else {
                    self.stage = 0;
                    self.send(fleet, Input::Tokens(vec![token]), &mut actions);
                }
            }
        }
        actions
    }

    /// Handles a failed step; retries on the next replica.
    pub fn on_failure(&mut self, fleet: &Fleet, label: &Label) -> Actions {
        let mut actions = Actions::new();
        if self.done || self.expected.as_ref() != Some(label) {
            return actions;
        }
        if self.attempt >= MAX_ATTEMPTS {
            let (code, effect) = (FailureCode::NoChain, Effect::Unknown);
            let outcome = Outcome::Failed { code, effect, retry_after: None };
            self.finish(fleet, outcome, &mut actions);
            return actions;
        }
        self.cancel(fleet, &mut actions);
        self.replica = (self.replica + 1) % (fleet.endpoints.len() / usize::from(STAGES));
        actions.extend(self.start(fleet));
        actions
    }

    /// Ends a request whose deadline has passed.
    pub fn expire(&mut self, fleet: &Fleet) -> Actions {
        let mut actions = Actions::new();
        let effect = Effect::Unknown;
        self.finish(fleet, Outcome::DeadlineExceeded { effect }, &mut actions);
        actions
    }

    fn send(&mut self, fleet: &Fleet, input: Input, actions: &mut Actions) {
        let endpoint = self.endpoint(fleet, self.stage);
        let number = self.replica * usize::from(STAGES) + self.stage;
        let count = self.tokens.len() as u32 - self.position;
        let label = Label {
            request: self.request.id,
            attempt: self.attempt,
            position: self.position,
            count,
            layers: fleet.engine(number).holds[0].layers,
            pipeline: fleet.pipeline.clone(),
            version: VERSION,
        };
        self.expected = Some(label.clone());
        let step = Step { label, priority: self.request.priority, adapter: None, input };
        actions.push(Action::Send { endpoint, step, timeout: STEP_TIMEOUT });
    }

    fn finish(&mut self, fleet: &Fleet, outcome: Outcome, actions: &mut Actions) {
        if self.done {
            return;
        }
        self.done = true;
        actions.push(Action::Finish(outcome));
        self.cancel(fleet, actions);
    }

    fn cancel(&self, fleet: &Fleet, actions: &mut Actions) {
        for stage in 0..usize::from(STAGES) {
            let (request, attempt) = (self.request.id, self.attempt);
            let endpoint = self.endpoint(fleet, stage);
            actions.push(Action::CancelEngine { endpoint, request, attempt });
        }
    }

    fn endpoint(&self, fleet: &Fleet, stage: usize) -> Name {
        fleet.endpoints[self.replica * usize::from(STAGES) + stage].0.clone()
    }
}
