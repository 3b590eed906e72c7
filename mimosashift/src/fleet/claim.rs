//! What requests use of the endpoints of their chains.

use smallvec::SmallVec;

use super::{Chain, Demand, Fleet, Usage};

/// Tokens by which a claim grows at least, so that not every event counts.
const GROWTH_TOKENS: f32 = 64.0;

/// A request's use of its chain, to be released once.
#[derive(Debug)]
pub struct Claim {
    /// The chain.
    pub chain: Chain,
    tokens: f32,
    prompt: f32,
    /// Whether each part still has to read what it keeps in memory.
    reading: SmallVec<[bool; 12]>,
    begun: bool,
}

impl Fleet {
    /// Counts a request's use of its chain.
    pub fn claim(&mut self, chain: Chain, demand: &Demand) -> Claim {
        let (tokens, prompt) = (demand.tokens() as f32, demand.prompt as f32);
        let reading = chain.iter().map(|_| true).collect();
        let claim = Claim { chain, tokens, prompt, reading, begun: false };
        self.count(&claim, true);
        claim
    }

    /// Notes that an event has come, so that every part has read its tokens.
    pub fn finish_prefill(&mut self, claim: &mut Claim) {
        if !claim.begun || claim.reading.contains(&true) {
            self.count(claim, false);
            claim.begun = true;
            claim.reading.fill(false);
            self.count(claim, true);
        }
    }

    /// Counts what a request has written beyond what was expected.
    pub fn grow(&mut self, claim: &mut Claim, written: f32) {
        if claim.prompt + written > claim.tokens + GROWTH_TOKENS {
            self.count(claim, false);
            claim.tokens = claim.prompt + written;
            self.count(claim, true);
        }
    }

    /// Moves a claim to another chain, whose new parts read all tokens.
    pub fn reroute(&mut self, claim: &mut Claim, chain: Chain) {
        self.count(claim, false);
        claim.reading = chain.iter().map(|hop| !claim.chain.contains(hop)).collect();
        claim.chain = chain;
        self.count(claim, true);
    }

    /// Gives a claim back.
    pub fn release(&mut self, claim: &Claim) {
        self.count(claim, false);
    }

    /// Adds a claim to what its endpoints are used for, or takes it away.
    fn count(&mut self, claim: &Claim, adds: bool) {
        for (place, hop) in claim.chain.iter().enumerate() {
            let layers = f32::from(hop.layers.count());
            let usage = Usage {
                cache: claim.tokens * layers,
                prefill: if claim.reading[place] { claim.prompt * layers } else { 0.0 },
                requests: u32::from(place == 0),
            };
            let Some(member) = self.members.get_mut(&hop.id) else { continue };
            // Work at an earlier start of the endpoint is gone with it.
            if member.endpoint.incarnation != hop.incarnation {
                continue;
            }
            let passing = u32::from(claim.begun);
            if adds {
                member.own.add(&usage);
                member.passing += passing;
            } else {
                member.own.subtract(&usage);
                member.passing = member.passing.saturating_sub(passing);
            }
        }
    }
}
