//! This router's share of the link between zones.
//!
//! All chains with engines in two zones share one link, which sends one transfer after
//! another. Beyond its bandwidth they queue there, hold the memory of all their engines
//! meanwhile, and so drive further chains across it. See
//! `docs/design/link.md`.

use std::time::Duration;

use super::{Demand, Fleet, Hop};
use crate::deployment::Engine;
use crate::time::Instant;

/// Part of the bandwidth that requests may use; the rest is for rerouted ones, and for
/// answers that turn out longer than expected.
const USABLE_SHARE: f64 = 0.8;

/// Time over which an unused share accumulates.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Minimum number of routers among which the link is divided, for a router that has not
/// yet heard of its peers.
const MIN_ROUTERS: usize = 4;

/// A router's share of the link, and what it has used of it.
#[derive(Debug)]
pub(super) struct Link {
    /// Live routers, this one included.
    routers: usize,
    /// Bytes that may be sent, as of `credited_at`; negative after a chain that needed more.
    credit: f64,
    credited_at: Instant,
}

impl Default for Link {
    fn default() -> Self {
        Self { routers: MIN_ROUTERS, credit: 0.0, credited_at: Instant::ZERO }
    }
}

impl Link {
    /// This router's share of the bandwidth, in bytes per millisecond.
    fn rate(&self, engine: &Engine) -> f64 {
        engine.link_bytes_per_ms * USABLE_SHARE / self.routers as f64
    }

    fn credit_at(&self, engine: &Engine, now: Instant) -> f64 {
        let rate = self.rate(engine);
        let accrued = now.since(self.credited_at).as_secs_f64() * 1_000.0 * rate;
        (self.credit + accrued).min(rate * BURST_TIME.as_secs_f64() * 1_000.0)
    }

    /// Whether a chain may cross it. A chain may need more than is left, so that a share
    /// smaller than one request is of use as well.
    pub(super) fn permits(&self, engine: &Engine, now: Instant) -> bool {
        engine.link_bytes_per_ms <= 0.0 || self.credit_at(engine, now) > 0.0
    }

    fn take(&mut self, engine: &Engine, bytes: f64, now: Instant) {
        self.credit = self.credit_at(engine, now) - bytes;
        self.credited_at = now;
    }
}

impl Fleet {
    /// Charges what a request on a chain sends over the link; returns its bytes.
    pub fn charge_link(
        &mut self,
        engine: &Engine,
        chain: &[Hop],
        demand: &Demand,
        now: Instant,
    ) -> f64 {
        let zone = |hop: &Hop| self.members.get(&hop.id).map(|member| &member.endpoint.zone);
        let crossings = chain.windows(2).filter(|pair| zone(&pair[0]) != zone(&pair[1])).count();
        if crossings == 0 {
            return 0.0;
        }
        let tokens = demand.prompt + demand.output;
        let bytes = crossings as f64 * tokens * engine.activation_bytes;
        self.link.take(engine, bytes, now);
        bytes
    }

    /// Divides the link among this many live routers, this one included.
    pub(super) fn divide_link(&mut self, routers: usize) {
        self.link.routers = routers.max(MIN_ROUTERS);
    }
}
