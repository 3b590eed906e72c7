//! Explains what a request along chains would meet now.

use mimosashift::admit::pressure::MAX_WAIT;
use mimosashift::fleet::{Explanation, Shortage};

use super::ChainRequest;
use super::admission::{may_pass, refusal_reason};
use crate::clock;
use crate::relay::RequestContext;
use crate::relay::explain::{Choice, Outcome, Refusal};

/// Explains what the request would meet now. Nothing is sent, recorded or logged.
pub fn explain(ctx: RequestContext) -> (Outcome, Choice) {
    let mut session = ChainRequest::new(ctx);
    // There is no outcome to count.
    session.outcome_recorded = true;
    let Some(engine) = session.engine.clone() else {
        let is_stopped = session.is_stopped();
        return session.ctx.explain_endpoint(is_stopped);
    };
    let explanation = session.explain_choice(&engine);
    let outcome = session.ctx.explain_obstacle(session.is_stopped());
    let outcome = outcome.unwrap_or_else(|| session.explain_admission(&explanation));
    (outcome, Choice::Chain(explanation))
}

impl ChainRequest {
    /// What [`admit_to_engines`](Self::admit_to_engines) would make of the choice.
    fn explain_admission(&self, explanation: &Explanation) -> Outcome {
        let mut pressure = self.state().pressure.borrow().clone();
        let waiting = pressure.waiting();
        let shortage = match &explanation.chosen {
            Ok(_) if waiting == 0 => return Outcome::Sent,
            Ok(_) => None,
            Err(shortage) => Some(shortage),
        };
        let now = clock::now();
        let waits = shortage.is_none_or(may_pass) && pressure.begin_wait(now);
        // A request that finds the queue full is refused as for lack of memory.
        let lasting = shortage.filter(|shortage| waits || !may_pass(shortage));
        let shortage = lasting.cloned().unwrap_or(Shortage::Full(0));
        pressure.record_refused(now);
        let (_, reason) = refusal_reason(&shortage);
        let after = [0.0, 1.0].map(|random| self.retry_after(&shortage, &pressure, random));
        let refusal = Refusal { layer: Some(shortage.layer()), ..Refusal::not_run(reason, after) };
        if waits {
            let left = MAX_WAIT.min(self.ctx.remaining());
            return Outcome::Waits { waiting, at_most: left, refusal };
        }
        Outcome::Refused(refusal)
    }
}

/// Reason for refusing a request that finds a shortage.
pub const fn reason(shortage: &Shortage) -> &'static str {
    refusal_reason(shortage).1
}
