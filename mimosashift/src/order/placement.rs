//! Chooses which layer ranges to copy, and to which endpoint.
//!
//! The policies are compared in `docs/design/orders.md`.

use smallvec::SmallVec;

use crate::resource::Name;

/// When a lost copy is replaced on another endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Never; the copy is available again when its endpoint recovers.
    Wait,
    /// After every loss.
    EveryLoss,
    /// When the live copies fall below this percentage of the wanted copies.
    /// Adam and Tewari call this limit the generation threshold in
    /// "Regeneration with Virtual Copies for Replicated Databases".
    Below(u8),
}

/// Number of copies of one layer range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RangeCopies {
    /// Copies wanted.
    pub wanted: u16,
    /// Copies that are serving.
    pub live: u16,
    /// Copies being loaded.
    pub loading: u16,
}

/// An endpoint that could hold one more copy of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Live copies of the range in this failure domain.
    pub domain_copies: u16,
    /// Free accelerator memory.
    pub free_bytes: u64,
}

impl Policy {
    /// Number of copies below which another one is made.
    pub fn threshold(self, wanted: u16) -> u16 {
        match self {
            Self::Wait => 0,
            Self::EveryLoss => wanted,
            Self::Below(percent) => {
                let share = u32::from(wanted) * u32::from(percent.min(100));
                u16::try_from(share.div_ceil(100)).expect("the share is at most `wanted`")
            }
        }
    }
}

impl RangeCopies {
    /// Number of copies to order under `policy`.
    pub fn missing(self, policy: Policy) -> u16 {
        policy.threshold(self.wanted).saturating_sub(self.live.saturating_add(self.loading))
    }
}

impl Default for Policy {
    /// With fewer than 50 wanted copies every loss is replaced; with 50 or more,
    /// up to 2 % of the copies may be missing.
    fn default() -> Self {
        Self::Below(98)
    }
}

/// The indices of the ranges to copy next, those with the fewest live and
/// loading copies first. An index appears once per copy, and each copy chosen
/// counts as loading for the next choice.
pub fn plan(policy: Policy, ranges: &[RangeCopies], max_new_loads: usize) -> SmallVec<[usize; 8]> {
    let mut ranges = SmallVec::<[RangeCopies; 16]>::from_slice(ranges);
    let mut chosen = SmallVec::new();
    while chosen.len() < max_new_loads {
        let below_threshold =
            ranges.iter().enumerate().filter(|(_, range)| range.missing(policy) > 0);
        let Some((index, _)) =
            below_threshold.min_by_key(|(_, range)| (range.live + range.loading, range.live))
        else {
            break;
        };
        ranges[index].loading += 1;
        chosen.push(index);
    }
    chosen
}

/// The endpoint to hold a copy of `bytes`: the one whose failure domain has the
/// fewest copies, then the one with the most free memory.
pub fn choose_endpoint(candidates: &[Candidate], bytes: u64) -> Option<&Candidate> {
    let fits = candidates.iter().filter(|candidate| candidate.free_bytes >= bytes);
    fits.min_by_key(|c| (c.domain_copies, u64::MAX - c.free_bytes, &c.endpoint))
}
