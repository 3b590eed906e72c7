//! Two machines of one request.

use smallvec::SmallVec;

use super::{Machine, Phase, Replacement, Use};
use crate::pipeline::action::{Actions, Context};
use crate::resource::Name;
use crate::time::Instant;

impl Machine {
    /// Endpoints that a second chain must not use, or `None` when a second
    /// chain is of no use: the first token is there or a recovery has begun.
    pub(in crate::pipeline) fn hedge_avoid(&self, now: Instant) -> Option<SmallVec<[Name; 4]>> {
        let running = matches!(self.phase, Phase::Running { .. });
        if !running || self.work.position > 0 || !self.emitted().is_empty() {
            return None;
        }
        let avoided = self.avoid.iter().filter(|(_, until)| *until > now);
        let avoided = avoided.map(|(name, _)| name);
        let used = self.used.iter().map(|used| &used.endpoint);
        let stages = self.chain.stages().iter().map(|stage| &stage.endpoint);
        Some(avoided.chain(used).chain(stages).cloned().collect())
    }

    /// Starts the same request over a second chain that shares no endpoint with
    /// the first, with attempts from `attempt` on.
    pub(in crate::pipeline) fn hedge(
        &self,
        ctx: &mut Context<'_>,
        found: Replacement,
        attempt: u32,
    ) -> Option<(Self, Actions)> {
        let avoid = self.hedge_avoid(ctx.now)?;
        let shared = found.chain.stages().iter().any(|stage| avoid.contains(&stage.endpoint));
        if shared || !self.usable(ctx.now, &found) {
            return None;
        }
        let Replacement { chain, cost, .. } = found;
        let progress = self.progress.clone();
        let mut machine = Self::new(self.request.clone(), chain, cost, progress, attempt, ctx.now);
        let mut actions = Actions::new();
        machine.begin(ctx, &mut actions);
        Some((machine, actions))
    }

    /// Goes on alone after `other` was given up: its endpoints were told to
    /// release its attempts, so they take only later ones.
    pub(in crate::pipeline) fn outlive(&mut self, other: &Self) {
        self.next_attempt = self.next_attempt.max(other.next_attempt);
        for used in &other.used {
            let known = self.used.iter().any(|own| own.endpoint == used.endpoint);
            if !known {
                let (endpoint, attempt) = (used.endpoint.clone(), self.attempt);
                self.used.push(Use { endpoint, attempt, released: true });
            }
        }
    }
}
