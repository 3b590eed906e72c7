//! Accounting of the endpoint resources that requests use.

use smallvec::SmallVec;

use super::{Chain, Demand, Fleet, Usage};

/// Smallest growth of a claim, in tokens, so that not every event updates it.
const MIN_GROWTH_TOKENS: f32 = 64.0;

/// Resources that a request uses on its chain; must be released exactly once.
#[derive(Debug)]
pub struct Claim {
    /// The chain.
    pub chain: Chain,
    /// Tokens for which it uses KV cache in each layer.
    tokens: f32,
    /// Tokens of the prompt.
    prompt: f32,
    /// For each hop, whether its prefill is pending.
    prefill: SmallVec<[bool; 12]>,
    /// Whether its first event has arrived.
    started: bool,
}

impl Fleet {
    /// Claims resources on a chain for a request.
    pub fn claim(&mut self, chain: Chain, demand: &Demand) -> Claim {
        let (tokens, prompt) = (demand.tokens() as f32, demand.prompt as f32);
        let prefill = chain.iter().map(|_| true).collect();
        let claim = Claim { chain, tokens, prompt, prefill, started: false };
        self.account(&claim, true);
        claim
    }

    /// Records that an event arrived, which means that every hop has finished its
    /// prefill.
    pub fn finish_prefill(&mut self, claim: &mut Claim) {
        if !claim.started || claim.prefill.contains(&true) {
            self.account(claim, false);
            claim.started = true;
            claim.prefill.fill(false);
            self.account(claim, true);
        }
    }

    /// Raises a claim whose request has generated more tokens than expected.
    pub fn grow(&mut self, claim: &mut Claim, generated: f32) {
        if claim.prompt + generated > claim.tokens + MIN_GROWTH_TOKENS {
            self.account(claim, false);
            claim.tokens = claim.prompt + generated;
            self.account(claim, true);
        }
    }

    /// Moves a claim to another chain, whose new hops have to prefill all tokens.
    pub fn reroute(&mut self, claim: &mut Claim, chain: Chain) {
        self.account(claim, false);
        claim.prefill = chain.iter().map(|hop| !claim.chain.contains(hop)).collect();
        claim.chain = chain;
        self.account(claim, true);
    }

    /// Releases a claim.
    pub fn release(&mut self, claim: &Claim) {
        self.account(claim, false);
    }

    /// Adds a claim to the usage of its endpoints, or subtracts it.
    fn account(&mut self, claim: &Claim, add: bool) {
        for (index, hop) in claim.chain.iter().enumerate() {
            let layers = f32::from(hop.layers.count());
            let usage = Usage {
                cache: claim.tokens * layers,
                prefill: if claim.prefill[index] { claim.prompt * layers } else { 0.0 },
                requests: u32::from(index == 0),
            };
            let Some(member) = self.members.get_mut(&hop.id) else { continue };
            // The usage of an earlier incarnation was dropped at the restart.
            if member.endpoint.incarnation != hop.incarnation {
                continue;
            }
            let streams = u32::from(claim.started);
            if add {
                member.own_usage.add(&usage);
                member.active_streams += streams;
            } else {
                member.own_usage.subtract(&usage);
                member.active_streams = member.active_streams.saturating_sub(streams);
            }
        }
    }
}
