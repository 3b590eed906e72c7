//! Samples candidates for a segment.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::choose::{Evaluator, Stats};
use super::cost::Estimate;
use super::table::{Holder, Segment};
use crate::health::HealthView;

/// Share of candidates sampled from the router's own failure domain, if both it and
/// other domains have holders.
const LOCAL_SHARE: f64 = 0.67;

/// Draws per requested candidate; the additional draws replace unusable and repeated
/// endpoints.
const DRAWS_PER_CANDIDATE: usize = 2;

/// Draws withheld from each partition to offset the evaluations of a usual fallback
/// scan, whose length is not limited.
const RESERVED_DRAWS: usize = 4;

/// One in this many draws is uniform.
const UNIFORM_EVERY: usize = 4;

/// Candidates without a penalty at which a fallback scan stops.
const FALLBACK_CANDIDATES: usize = 2;

/// Candidates of one segment.
pub(super) type Candidates = SmallVec<[Candidate; 24]>;

/// An endpoint that can run layers from a boundary on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) holder: Holder,
    pub(super) estimate: Estimate,
    /// Random factor on the cost, which breaks near ties differently each time.
    pub(super) cost_factor: f64,
}

/// Samples candidates of `segment` (power of k choices), with most draws from the
/// endpoints that are fastest when idle.
///
/// If no draw yields a candidate without a penalty, it scans the holders, so that an
/// endpoint that can run the layers is always found.
pub(super) fn sample<V: HealthView>(
    segment: &Segment,
    evaluator: &Evaluator<'_, V>,
    stats: &mut Stats,
    rng: &mut Pcg64Mcg,
) -> Candidates {
    let requested = evaluator.table.settings.candidates;
    let mut found = Candidates::new();
    if segment.holders.len() <= requested {
        scan(&segment.holders, usize::MAX, evaluator, stats, rng, &mut found);
        return found;
    }
    let (local, remote) = segment.holders.split_at(segment.local);
    let quota = local_quota(requested, local.len(), remote.len());
    sample_partition(local, quota, evaluator, stats, rng, &mut found);
    sample_partition(remote, requested - quota, evaluator, stats, rng, &mut found);
    if !found.iter().any(|candidate| candidate.estimate.penalty_us == 0.0) {
        found.clear();
        let start = rng.random_range(0..segment.holders.len());
        let (before, after) = segment.holders.split_at(start);
        scan(after, FALLBACK_CANDIDATES, evaluator, stats, rng, &mut found);
        scan(before, FALLBACK_CANDIDATES, evaluator, stats, rng, &mut found);
    }
    found
}

/// Number of candidates to sample from the router's own failure domain.
fn local_quota(requested: usize, local: usize, remote: usize) -> usize {
    let wanted = (requested as f64 * LOCAL_SHARE).ceil() as usize;
    wanted.max(requested.saturating_sub(remote)).min(local)
}

/// Samples up to `quota` candidates of one partition of a segment.
fn sample_partition<V: HealthView>(
    holders: &[Holder],
    quota: usize,
    evaluator: &Evaluator<'_, V>,
    stats: &mut Stats,
    rng: &mut Pcg64Mcg,
    found: &mut Candidates,
) {
    if holders.len() <= quota {
        scan(holders, usize::MAX, evaluator, stats, rng, found);
        return;
    }
    let target_count = found.len() + quota;
    let log2_length = (holders.len() as f32).log2();
    let mut seen: SmallVec<[u32; 64]> = SmallVec::new();
    for draw in 0..(quota * DRAWS_PER_CANDIDATE).saturating_sub(RESERVED_DRAWS) {
        if found.len() >= target_count {
            return;
        }
        let rank = draw_rank(draw, holders.len(), log2_length, rng);
        if seen.contains(&rank) {
            continue;
        }
        seen.push(rank);
        found.extend(evaluator.candidate(holders[rank as usize], stats, rng));
    }
}

/// Draws a rank below `length`. One draw in `UNIFORM_EVERY` is uniform, so that an idle
/// holder of any rank can be found; the others are log-uniform, so that every
/// power-of-two range of ranks is equally likely.
fn draw_rank(draw: usize, length: usize, log2_length: f32, rng: &mut Pcg64Mcg) -> u32 {
    let last = length as u32 - 1;
    if draw.is_multiple_of(UNIFORM_EVERY) {
        return rng.random_range(0..=last);
    }
    let rank = (rng.random::<f32>() * log2_length).exp2() - 1.0;
    (rank as u32).min(last)
}

/// Adds candidates from `holders` in order until `found` has `limit` ones without
/// a penalty.
fn scan<V: HealthView>(
    holders: &[Holder],
    limit: usize,
    evaluator: &Evaluator<'_, V>,
    stats: &mut Stats,
    rng: &mut Pcg64Mcg,
    found: &mut Candidates,
) {
    let mut unpenalized = found.iter().filter(|known| known.estimate.penalty_us == 0.0).count();
    for &holder in holders {
        if unpenalized >= limit {
            return;
        }
        let Some(candidate) = evaluator.candidate(holder, stats, rng) else { continue };
        unpenalized += usize::from(candidate.estimate.penalty_us == 0.0);
        found.push(candidate);
    }
}
