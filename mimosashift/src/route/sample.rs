//! Draws a few candidates of a segment.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;

use super::choose::{Request, Stats};
use super::cost::Estimate;
use super::table::{Holder, Segment};
use crate::health::View;

/// Share of candidates drawn from the own failure domain, when both the own
/// and others have holders.
const LOCAL_SHARE: f64 = 0.67;

/// Draws for each wanted candidate; further draws replace unusable endpoints
/// and repeated ones.
const DRAWS_PER_CANDIDATE: usize = 2;

/// Candidates of one segment.
pub(super) type Candidates = SmallVec<[Candidate; 16]>;

/// An endpoint that may run layers from a point on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) holder: Holder,
    pub(super) estimate: Estimate,
    /// Random factor on the cost, to break near-ties differently each time.
    pub(super) spread: f64,
}

/// Draws candidates of `segment`: power of k choices, half of them uniform
/// and half towards the endpoints that are fastest when idle.
///
/// When no draw gives a live candidate, every holder is looked at, so that an
/// endpoint that can run the layers is always found.
pub(super) fn draw<V: View>(
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
        collect(after, wanted, request, stats, rng, &mut found);
        collect(before, wanted, request, stats, rng, &mut found);
    }
    found
}

fn local_quota(wanted: usize, local: usize, remote: usize) -> usize {
    let share = (wanted as f64 * LOCAL_SHARE).ceil() as usize;
    share.max(wanted.saturating_sub(remote)).min(local)
}

fn draw_part<V: View>(
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
    for draw in 0..quota * DRAWS_PER_CANDIDATE {
        if found.len() >= enough {
            return;
        }
        let uniform = rng.random::<f64>();
        let position = if draw % 2 == 0 { uniform } else { uniform.powi(3) };
        let holder = holders[(position * holders.len() as f64) as usize];
        if found.iter().any(|candidate| candidate.holder == holder) {
            continue;
        }
        found.extend(request.candidate(holder, stats, rng));
    }
}

/// Takes up to `limit` live candidates of `holders`, and the avoided ones
/// that lie before them.
fn collect<V: View>(
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
