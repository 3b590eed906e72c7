//! Which router polls which endpoint.

use crate::resource::Name;

/// One live router.
#[derive(Clone, Copy, Debug)]
pub struct Router<'a> {
    /// Its name, unique among routers.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a Name,
}

/// The router of `routers` that polls `endpoint` in `domain`.
///
/// Routers of the endpoint's own failure domain share its endpoints by
/// rendezvous hash; without one, all routers share them. A router that joins
/// or goes therefore moves only its own part.
pub fn poller<'a>(endpoint: &Name, domain: &Name, routers: &[Router<'a>]) -> Option<Router<'a>> {
    let score = |router: &Router<'_>| hash(router.name, endpoint.as_str());
    let local = routers.iter().filter(|router| router.domain == domain).max_by_key(|r| score(r));
    local.or_else(|| routers.iter().max_by_key(|r| score(r))).copied()
}

/// FNV-1a over both texts with a final mix; equal on every router.
fn hash(router: &str, endpoint: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let separated = router.bytes().chain([0]).chain(endpoint.bytes());
    let hash = separated.fold(OFFSET, |h, b| (h ^ u64::from(b)).wrapping_mul(PRIME));
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
