//! Prompts that endpoints still have to prefill, which hold up the first event of each request
//! that is sent after them. See `docs/design/prompts.md`.

use std::time::Duration;

use super::{Fleet, Hop, Member, Usage};
use crate::deployment::{Card, Engine};
use crate::time::Instant;

/// Time that an endpoint needs to prefill a token over all layers of the model, in ms.
pub(super) fn ms_per_token(engine: &Engine, card: &Card, member: &Member) -> f64 {
    card.prefill_factor / engine.prefill_tokens_per_ms * member.slowdown
}

/// Time that an endpoint needs to prefill what it was sent, in ms, at its time for a token.
pub(super) fn backlog_ms(engine: &Engine, usage: &Usage, ms_per_token: f64) -> f64 {
    f64::from(usage.prefill) * ms_per_token / f64::from(engine.layers)
}

impl Fleet {
    /// Longest time that an endpoint of a chain needs to prefill what it was sent by this router
    /// and its peers. A prompt counts until the first event of its request, by which every hop
    /// has read it, and so for longer than the endpoint takes to read it.
    pub fn prefill_ahead(&self, engine: &Engine, chain: &[Hop], now: Instant) -> Duration {
        let backlog = |hop: &Hop| {
            let member = self.members.get(&hop.id)?;
            let ms_per_token = ms_per_token(engine, engine.card(&member.endpoint)?, member);
            Some(backlog_ms(engine, &self.usage(member, now), ms_per_token))
        };
        let longest = chain.iter().filter_map(backlog).fold(0.0, f64::max);
        Duration::from_secs_f64(longest / 1_000.0)
    }
}
