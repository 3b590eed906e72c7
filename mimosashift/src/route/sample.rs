//! Draws a few candidates of a segment.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::choose::{Request, Stats};
use super::cost::Estimate;
use super::table::{Holder, Segment};
use crate::health::HealthView;

/// Share of candidates drawn from the own failure domain, when both the own
/// and others have holders.
const LOCAL_SHARE: f64 = 0.67;

/// Draws for each wanted candidate; further draws replace unusable endpoints
/// and repeated ones.
const DRAWS_PER_CANDIDATE: usize = 2;

/// Draws of each part kept back, so that a scan after fruitless draws stays
/// within the bound on endpoints looked at.
const SPARE_DRAWS: usize = 4;

/// One draw in so many is uniform.
const UNIFORM_EVERY: usize = 4;

/// Live candidates looked for when no draw gave one.
const FALLBACK_CANDIDATES: usize = 2;

/// Candidates of one segment.
pub(super) type Candidates = SmallVec<[Candidate; 24]>;

/// An endpoint that may run layers from a point on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) holder: Holder,
    pub(super) estimate: Estimate,
    /// Random factor on the cost, to break near-ties differently each time.
    pub(super) spread: f64,
}

/// Draws candidates of `segment`: power of k choices, with most draws among
/// the endpoints that are fastest when idle.
///
/// When no draw gives a live candidate, every holder is looked at, so that an
/// endpoint that can run the layers is always found.
pub(super) fn draw<V: HealthView>(
    segment: &Segment,
    request: &Request<'_, V>,
    stats: &mut Stats,
    rng: &mut Pcg64Mcg,
) -> Candidates {
    let wanted = request.table.settings.candidates;
    let mut found = Candidates::new();
    if segment.holders.len() <= wanted {
        collect(&segment.holders, usize::MAX, request, stats, rng, &mut found);
        return found;
    }
    let (local, remote) = segment.holders.split_at(segment.local);
    let quota = local_quota(wanted, local.len(), remote.len());
    draw_part(local, quota, request, stats, rng, &mut found);
    draw_part(remote, wanted - quota, request, stats, rng, &mut found);
    if !found.iter().any(|candidate| candidate.estimate.penalty_us == 0.0) {
        found.clear();
        let start = rng.random_range(0..segment.holders.len());
        let (before, after) = segment.holders.split_at(start);
        collect(after, FALLBACK_CANDIDATES, request, stats, rng, &mut found);
        collect(before, FALLBACK_CANDIDATES, request, stats, rng, &mut found);
    }
    found
}

fn local_quota(wanted: usize, local: usize, remote: usize) -> usize {
    let share = (wanted as f64 * LOCAL_SHARE).ceil() as usize;
    share.max(wanted.saturating_sub(remote)).min(local)
}

fn draw_part<V: HealthView>(
    holders: &[Holder],
    quota: usize,
    request: &Request<'_, V>,
    stats: &mut Stats,
    rng: &mut Pcg64Mcg,
    found: &mut Candidates,
) {
    if holders.len() <= quota {
        collect(holders, usize::MAX, request, stats, rng, found);
        return;
    }
    let enough = found.len() + quota;
    let octaves = (holders.len() as f32).log2();
    let mut seen: SmallVec<[u32; 64]> = SmallVec::new();
    for draw in 0..(quota * DRAWS_PER_CANDIDATE).saturating_sub(SPARE_DRAWS) {
        if found.len() >= enough {
            return;
        }
        let rank = draw_rank(draw, holders.len(), octaves, rng);
        if seen.contains(&rank) {
            continue;
        }
        seen.push(rank);
        found.extend(request.candidate(holders[rank as usize], stats, rng));
    }
}

/// A rank below `length`: every fourth one uniform, so that any holder may be
/// found idle, the others log-uniform, so that every octave of ranks is drawn
/// from equally.
fn draw_rank(draw: usize, length: usize, octaves: f32, rng: &mut Pcg64Mcg) -> u32 {
    let last = length as u32 - 1;
    if draw.is_multiple_of(UNIFORM_EVERY) {
        return rng.random_range(0..=last);
    }
    let rank = (rng.random::<f32>() * octaves).exp2() - 1.0;
    (rank as u32).min(last)
}

/// Takes up to `limit` live candidates of `holders`, and the avoided ones
/// that lie before them.
fn collect<V: HealthView>(
    holders: &[Holder],
    limit: usize,
    request: &Request<'_, V>,
    stats: &mut Stats,
    rng: &mut Pcg64Mcg,
    found: &mut Candidates,
) {
    let mut live = found.iter().filter(|known| known.estimate.penalty_us == 0.0).count();
    for &holder in holders {
        if live >= limit {
            return;
        }
        let Some(candidate) = request.candidate(holder, stats, rng) else { continue };
        live += usize::from(candidate.estimate.penalty_us == 0.0);
        found.push(candidate);
    }
}
