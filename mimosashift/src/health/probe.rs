//! Which router polls which endpoint.

use crate::resource::Name;

/// A live router.
#[derive(Clone, Copy, Debug)]
pub struct Router<'a> {
    /// Its name, unique among routers.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a Name,
}

/// The router of `routers` that polls `endpoint` in `domain`.
///
/// Rendezvous hashing assigns the endpoints of a failure domain to the routers
/// in that domain, or to all routers if it has none. A router that joins or
/// leaves therefore only changes the assignment of its own endpoints.
pub fn poller<'a>(endpoint: &Name, domain: &Name, routers: &[Router<'a>]) -> Option<Router<'a>> {
    let score = |router: &Router<'_>| hash(router.name, endpoint.as_str());
    let local = routers.iter().filter(|router| router.domain == domain).max_by_key(|r| score(r));
    local.or_else(|| routers.iter().max_by_key(|r| score(r))).copied()
}

/// FNV-1a over both names with a final mixing step; the same on every router.
fn hash(router: &str, endpoint: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let separated = router.bytes().chain([0]).chain(endpoint.bytes());
    let hash = separated.fold(OFFSET, |h, b| (h ^ u64::from(b)).wrapping_mul(PRIME));
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
