//! Whether this router reaches the endpoints of each service.
//!
//! A router may lose its paths to all endpoints while clients, the store and other
//! routers still reach it. Failures of single endpoints only cast doubt on the paths;
//! new connections to a sample of endpoints then decide. See `docs/design/reach.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Instant;

/// Number of endpoints of a service that must fail within `DOUBT_WINDOW` before its paths
/// are checked, or all if it has fewer.
const MIN_DOUBTED: usize = 2;

/// Time for which the failure of an endpoint casts doubt on the paths to the others.
const DOUBT_WINDOW: Duration = Duration::from_secs(1);

/// Minimum time between two checks of a service that is reachable.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks of a service that is unreachable.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an answer from an unreachable service after which its open connections
/// count as lost as well.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of asking a sample of a service's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Endpoints that answered.
    pub reached: usize,
    /// Endpoints asked.
    pub tried: usize,
}

/// Effect of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The service is unreachable from now on.
    Lost,
    /// The service is reachable again, after this time.
    Regained(Duration),
}

/// Paths of this router, by service.
#[derive(Debug, Default)]
pub struct Reach {
    services: BTreeMap<Arc<str>, Paths>,
}

/// The paths to the endpoints of one service.
#[derive(Debug, Default)]
struct Paths {
    /// Endpoints that failed, with the time of the latest failure.
    doubted: SmallVec<[(Arc<str>, Instant); 4]>,
    lost_since: Option<Instant>,
    next_check: Instant,
    /// Last answer since the paths were lost, over a connection that was open by then.
    last_answer: Option<Instant>,
}

impl Reach {
    /// Records that an endpoint of a service, which has `known` endpoints, did not answer.
    pub fn record_failure(
        &mut self,
        service: &Arc<str>,
        endpoint: &Arc<str>,
        known: usize,
        now: Instant,
    ) {
        let paths = self.services.entry(service.clone()).or_default();
        paths.doubted.retain(|(id, at)| id != endpoint && now.since(*at) < DOUBT_WINDOW);
        if paths.doubted.len() < MIN_DOUBTED.min(known) {
            paths.doubted.push((endpoint.clone(), now));
        }
    }

    /// Records an answer of an endpoint.
    pub fn record_answer(&mut self, service: &str, now: Instant) {
        let paths = self.services.get_mut(service).filter(|paths| paths.lost_since.is_some());
        if let Some(paths) = paths {
            paths.last_answer = Some(now);
        }
    }

    /// The services whose paths are to be checked now; `known` is the number of endpoints
    /// of a service.
    pub fn due(&mut self, known: impl Fn(&str) -> usize, now: Instant) -> Vec<Arc<str>> {
        let is_due = |(service, paths): (&Arc<str>, &mut Paths)| {
            let is_doubtful = paths.is_doubtful(known(service), now);
            if now < paths.next_check || !is_doubtful && paths.lost_since.is_none() {
                return None;
            }
            paths.next_check = now + MIN_CHECK_INTERVAL;
            Some(service.clone())
        };
        self.services.iter_mut().filter_map(is_due).collect()
    }

    /// Applies the result of a check.
    pub fn apply(&mut self, service: &Arc<str>, sample: Sample, now: Instant) -> Option<Change> {
        let paths = self.services.entry(service.clone()).or_default();
        match paths.lost_since {
            None if sample.tried > 0 && sample.reached == 0 => {
                paths.lost_since = Some(now);
                paths.last_answer = None;
                paths.next_check = now + RECHECK_INTERVAL;
                Some(Change::Lost)
            }
            Some(since) if sample.reached > 0 && sample.reached * 2 >= sample.tried => {
                *paths = Paths { next_check: now + MIN_CHECK_INTERVAL, ..Paths::default() };
                Some(Change::Regained(now.since(since)))
            }
            Some(_) => {
                paths.next_check = now + RECHECK_INTERVAL;
                None
            }
            None => {
                paths.doubted.clear();
                None
            }
        }
    }

    /// Whether the paths to all endpoints of a service are lost.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|paths| paths.lost_since.is_some())
    }

    /// Whether endpoints of a service still answer, if only over connections that were
    /// opened before its paths were lost.
    pub fn answers(&self, service: &str, now: Instant) -> bool {
        self.services.get(service).is_none_or(|paths| {
            let last_sign = paths.last_answer.max(paths.lost_since);
            paths.lost_since.is_none() || last_sign.is_some_and(|at| now.since(at) < ANSWER_TIMEOUT)
        })
    }

    /// The services whose paths are lost.
    pub fn lost(&self) -> impl Iterator<Item = &Arc<str>> {
        let lost = self.services.iter().filter(|(_, paths)| paths.lost_since.is_some());
        lost.map(|(service, _)| service)
    }
}

impl Paths {
    /// Whether enough endpoints failed lately.
    fn is_doubtful(&self, known: usize, now: Instant) -> bool {
        let recent = self.doubted.iter().filter(|(_, at)| now.since(*at) < DOUBT_WINDOW).count();
        recent > 0 && recent >= MIN_DOUBTED.min(known)
    }
}
