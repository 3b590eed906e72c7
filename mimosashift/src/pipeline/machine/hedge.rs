//! Hedging: a second machine that runs the same request concurrently.

use smallvec::SmallVec;

use super::{Machine, Phase, Replacement, UsedEndpoint};
use crate::pipeline::action::{Actions, Context};
use crate::resource::Name;
use crate::time::Instant;

impl Machine {
    /// Endpoints that a second chain must not use, or `None` when no second chain
    /// is needed: the first token has arrived or a recovery is in progress.
    pub(in crate::pipeline) fn hedge_exclusions(
        &self,
        now: Instant,
    ) -> Option<SmallVec<[Name; 4]>> {
        let running = matches!(self.phase, Phase::Running { .. });
        if !running || self.step.position > 0 || !self.emitted().is_empty() {
            return None;
        }
        let avoided = self.excluded.iter().filter(|(_, until)| *until > now);
        let avoided = avoided.map(|(name, _)| name);
        let used = self.used.iter().map(|used| &used.endpoint);
        let stages = self.chain.stages().iter().map(|stage| &stage.endpoint);
        Some(avoided.chain(used).chain(stages).cloned().collect())
    }

    /// Starts the same request on a second chain that shares no endpoint with
    /// the first. Its attempts are numbered from `attempt`.
    pub(in crate::pipeline) fn hedge(
        &self,
        ctx: &mut Context<'_>,
        replacement: Replacement,
        attempt: u32,
    ) -> Option<(Self, Actions)> {
        let avoid = self.hedge_exclusions(ctx.now)?;
        let shared = replacement.chain.stages().iter().any(|stage| avoid.contains(&stage.endpoint));
        if shared || !self.is_usable(ctx.now, &replacement) {
            return None;
        }
        let Replacement { chain, cost, .. } = replacement;
        let step_times = self.step_times.clone();
        let mut machine =
            Self::new(self.request.clone(), chain, cost, step_times, attempt, ctx.now);
        let mut actions = Actions::new();
        machine.send_first_step(ctx, &mut actions);
        Some((machine, actions))
    }

    /// Continues alone after `other` was cancelled. The endpoints of `other` were
    /// told to release its attempts, so they accept only later ones.
    pub(in crate::pipeline) fn continue_alone(&mut self, other: &Self) {
        self.next_attempt = self.next_attempt.max(other.next_attempt);
        for used in &other.used {
            let known = self.used.iter().any(|own| own.endpoint == used.endpoint);
            if !known {
                let (endpoint, attempt) = (used.endpoint.clone(), self.attempt);
                self.used.push(UsedEndpoint { endpoint, attempt, released: true });
            }
        }
    }
}
