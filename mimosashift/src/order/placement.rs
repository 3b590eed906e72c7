//! Which layer ranges to copy, and on which endpoint.
//!
//! The policies are compared in `docs/design/orders.md`.

use smallvec::SmallVec;

use crate::resource::Name;

/// When a lost copy is replaced on another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Never: the copy comes back with its endpoint.
    Wait,
    /// At every loss.
    EveryLoss,
    /// When fewer live copies are left than this share of those wanted, in
    /// percent; the generation threshold of Adam and Tewari, "Regeneration
    /// with Virtual Copies for Replicated Databases".
    Below(u8),
}

/// Copies of one layer range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeCopies {
    /// Copies wanted.
    pub wanted: u16,
    /// Copies that serve.
    pub live: u16,
    /// Copies being loaded.
    pub loading: u16,
}

/// An endpoint that could take one more range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Live copies of the range in that failure domain.
    pub domain_copies: u16,
    /// Accelerator memory that is free.
    pub free_bytes: u64,
}

impl Policy {
    /// Copies below which another one is made.
    pub fn threshold(self, wanted: u16) -> u16 {
        match self {
            Self::Wait => 0,
            Self::EveryLoss => wanted,
            Self::Below(percent) => {
                let share = u32::from(wanted) * u32::from(percent.min(100));
                u16::try_from(share.div_ceil(100)).expect("at most the copies wanted")
            }
        }
    }
}

impl RangeCopies {
    /// Copies to order under `policy`.
    pub fn missing(self, policy: Policy) -> u16 {
        policy.threshold(self.wanted).saturating_sub(self.live.saturating_add(self.loading))
    }
}

impl Default for Policy {
    /// Close to every loss for few copies, and rarely a copy for many.
    fn default() -> Self {
        Self::Below(98)
    }
}

/// The ranges to copy next, those with the fewest live copies first; a range
/// appears once for each copy, and copies of one range follow their count.
pub fn plan(policy: Policy, ranges: &[RangeCopies], max_loads: usize) -> SmallVec<[usize; 8]> {
    let mut ranges = SmallVec::<[RangeCopies; 16]>::from_slice(ranges);
    let mut chosen = SmallVec::new();
    while chosen.len() < max_loads {
        let short = ranges.iter().enumerate().filter(|(_, range)| range.missing(policy) > 0);
        let Some((index, _)) =
            short.min_by_key(|(_, range)| (range.live + range.loading, range.live))
        else {
            break;
        };
        ranges[index].loading += 1;
        chosen.push(index);
    }
    chosen
}

/// The endpoint that takes a copy of `bytes`: in the failure domain with the
/// fewest copies, then the one with the most free memory.
pub fn choose_endpoint(candidates: &[Candidate], bytes: u64) -> Option<&Candidate> {
    let fits = candidates.iter().filter(|candidate| candidate.free_bytes >= bytes);
    fits.min_by_key(|c| (c.domain_copies, u64::MAX - c.free_bytes, &c.endpoint))
}
