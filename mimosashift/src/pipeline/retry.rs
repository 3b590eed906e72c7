//! Retry budget and backoff.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::time::Instant;

/// Upper bound of the random part of the first backoff.
const INITIAL_MAX_JITTER: Duration = Duration::from_millis(20);
/// Upper bound of the random part of every backoff.
const MAX_JITTER: Duration = Duration::from_secs(1);

/// Length of a time slot in the counts of a [`Window`], whose length is some
/// seconds.
const SLOT_MICROS: u64 = 250_000;

/// Margin for slot rounding and for the time until a counted retry reaches its
/// endpoint: two slots. A [`Window`] counts retries over its length plus this
/// margin, and requests over its length minus this margin.
const COUNT_MARGIN: Duration = Duration::from_millis(500);

/// Share of [`WindowLimits::extra`] that is available in the first window after a
/// start. A process uses at most the remaining share in later windows, so that a
/// restarted router and its previous process together stay within `extra`.
const FIRST_WINDOW_SHARE: f64 = 1.0 / 3.0;

/// Share of [`WindowLimits::extra`] that is available in later windows.
const LATER_WINDOW_SHARE: f64 = 1.0 - FIRST_WINDOW_SHARE;

/// Minimum number of routers among which the extra retries are divided, for one that has
/// not heard of its peers.
const MIN_ROUTERS: usize = 4;

/// Time after the start of a router within which it learns of nearly all others, of which
/// it may know none before.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed for each request, for example 0.2.
    pub per_request: f64,
    /// Retries allowed each second regardless of traffic.
    pub per_second: f64,
    /// Maximum number of retries that can accumulate.
    pub burst: f64,
}

/// A token bucket that limits retries to a share of the requests plus a constant
/// rate.
///
/// Without it, the loss of a large part of the endpoints would multiply the
/// load on the rest. See `docs/design/pipeline.md`.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: BudgetSettings,
    available_retries: f64,
    last_refill: Instant,
}

impl Budget {
    /// Creates a full budget.
    pub const fn new(settings: BudgetSettings, now: Instant) -> Self {
        Self { settings, available_retries: settings.burst, last_refill: now }
    }

    /// Adds the share of one new request.
    pub fn on_request(&mut self, now: Instant) {
        self.refill(now);
        self.add(self.settings.per_request);
    }

    /// Takes one retry, or returns the longest time until the next one is
    /// available.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.available_retries >= 1.0 {
            self.available_retries -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.available_retries;
        let wait = Duration::try_from_secs_f64(missing / self.settings.per_second);
        Err(wait.unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        self.add(elapsed.as_secs_f64() * self.settings.per_second);
    }

    fn add(&mut self, retries: f64) {
        self.available_retries = (self.available_retries + retries).min(self.settings.burst);
    }
}

/// Limits of a [`Window`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimits {
    /// Length of the window.
    pub length: Duration,
    /// Retries allowed for each request within it.
    pub per_request: f64,
    /// Additional retries allowed within it to a router and its previous process
    /// together. One process may use only a part of them, see [`Window::take`].
    pub extra: f64,
}

impl WindowLimits {
    /// The part of one router in limits that apply to all together. It knows of `routers`,
    /// itself included, and started `uptime` ago.
    pub fn share(self, routers: usize, uptime: Duration) -> Self {
        let sharers = routers.max(MIN_ROUTERS) as f64;
        let extra = if uptime < DISCOVERY_TIME { 0.0 } else { self.extra / sharers };
        Self { extra, ..self }
    }
}

/// Limits retries to a share of the requests in any window of time.
///
/// Unlike a [`Budget`], it permits all retries of a window at once, as is needed
/// when an endpoint is lost.
#[derive(Clone, Debug)]
pub struct Window {
    started: Instant,
    requests: SlotCounts,
    retries: SlotCounts,
}

/// Number of events by time slot, oldest first.
#[derive(Clone, Debug, Default)]
struct SlotCounts(VecDeque<(u64, u32)>);

impl SlotCounts {
    fn add(&mut self, now: Instant) {
        let slot = now.as_micros() / SLOT_MICROS;
        match self.0.back_mut() {
            Some((last, count)) if *last >= slot => *count += 1,
            _ => self.0.push_back((slot, 1)),
        }
    }

    /// Number of events in the slots that began within the last `span`.
    fn within(&self, span: Duration, now: Instant) -> f64 {
        let from = (now - span).as_micros() / SLOT_MICROS;
        self.0.iter().filter(|(slot, _)| *slot > from).map(|(_, count)| f64::from(*count)).sum()
    }

    fn evict(&mut self, span: Duration, now: Instant) {
        let oldest = (now - span).as_micros() / SLOT_MICROS;
        while self.0.front().is_some_and(|(slot, _)| *slot < oldest) {
            self.0.pop_front();
        }
    }
}

impl Window {
    /// Creates an empty window for a process that has just started. Until its
    /// length has passed, only a part of the extra retries is available: the previous
    /// process of this router may have used the rest.
    pub fn new(now: Instant) -> Self {
        Self { started: now, requests: SlotCounts::default(), retries: SlotCounts::default() }
    }

    /// Counts a new request.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.add(now);
    }

    /// Takes one retry, if the window allows one. One third of the extra retries is
    /// available in the first window after the start, and two thirds later.
    pub fn take(&mut self, limits: &WindowLimits, now: Instant) -> bool {
        self.requests.evict(limits.length, now);
        // Keeps every slot that is counted below.
        self.retries.evict(limits.length + 2 * COUNT_MARGIN, now);
        let is_allowed = self.allows(limits, now);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Whether the window allows a retry now.
    pub fn allows(&self, limits: &WindowLimits, now: Instant) -> bool {
        let WindowLimits { length, per_request, extra } = *limits;
        let is_new = now.since(self.started) < length + COUNT_MARGIN;
        let extra = extra * if is_new { FIRST_WINDOW_SHARE } else { LATER_WINDOW_SHARE };
        // A retry reaches the endpoint later than it is counted here. Counting
        // requests over a shorter span and retries over a longer one keeps their
        // ratio at the endpoint within the limit.
        let requests = self.requests.within(length.saturating_sub(COUNT_MARGIN), now);
        let allowed = per_request * requests + extra;
        self.retries.within(length + COUNT_MARGIN, now) + 1.0 <= allowed
    }
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { per_request: 0.2, per_second: 1.0, burst: 500.0 }
    }
}

/// Time to wait before retry number `retry`, counted from 0: the pause that the
/// endpoint requested, plus full jitter under an exponential bound.
pub fn backoff(retry: u32, retry_after: Option<Duration>, rng: &mut Pcg64Mcg) -> Duration {
    // The limit on the exponent prevents overflow; the bound is reached before it.
    let bound = INITIAL_MAX_JITTER.saturating_mul(1 << retry.min(16)).min(MAX_JITTER);
    let jitter = bound.mul_f64(rng.random_range(0.0..1.0));
    retry_after.unwrap_or_default().saturating_add(jitter)
}
