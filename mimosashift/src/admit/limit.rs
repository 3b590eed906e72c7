//! Per-team rate limits on requests and tokens per second.

use std::collections::HashMap;
use std::time::Duration;

use super::share::{DemandShares, TeamId};
use crate::resource::{Name, Team};
use crate::time::Instant;

/// Time over which unused allowance accumulates.
pub const BURST_WINDOW: Duration = Duration::from_millis(500);

/// Burst that is always allowed, in requests, however low the rate.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Time without a request, admitted or refused, after which a team is idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest retry delay returned to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Rate limiters (token buckets) of the teams that recently sent requests to this
/// router.
#[derive(Default)]
pub struct TeamLimits {
    teams: HashMap<Name, Allowance>,
}

struct Allowance {
    requests: Bucket,
    tokens: Bucket,
    refilled_at: Instant,
    last_request_at: Instant,
}

/// A token bucket that may go into debt by one request.
///
/// Debt lets a router whose share is below one request per second still admit
/// requests at that rate.
#[derive(Default)]
struct Bucket {
    /// Limit over all routers, per second; 0 means no limit.
    limit: u32,
    /// Cost of the most recent request, in the unit of the limit: requests or model
    /// tokens.
    cost: f64,
    /// This router's share of the limit, per second.
    rate: f64,
    /// Available amount, negative while in debt, in the unit of the limit.
    balance: f64,
}

impl TeamLimits {
    /// Charges a request of `cost` tokens, or returns the time until the team's
    /// allowance suffices.
    pub fn charge(
        &mut self,
        now: Instant,
        shares: &DemandShares,
        name: &Name,
        team: &Team,
        cost: u32,
    ) -> Result<(), Duration> {
        if team.requests_per_second == 0 && team.tokens_per_second == 0 {
            return Ok(());
        }
        let allowance = self.teams.entry(name.clone()).or_insert_with(|| Allowance::new(now));
        allowance.requests.configure(team.requests_per_second, 1.0);
        allowance.tokens.configure(team.tokens_per_second, f64::from(cost));
        allowance.refill(now, shares.fraction(now, TeamId::from(name)));
        allowance.last_request_at = now;
        let wait = allowance.time_to_zero_balance();
        if wait > Duration::ZERO {
            return Err(wait);
        }
        allowance.requests.balance -= 1.0;
        allowance.tokens.balance -= f64::from(cost);
        Ok(())
    }

    /// Refunds the charge of a request that never ran.
    pub fn refund(&mut self, name: &Name, cost: u32) {
        if let Some(allowance) = self.teams.get_mut(name) {
            allowance.requests.balance += 1.0;
            allowance.tokens.balance += f64::from(cost);
        }
    }

    /// Replaces the estimated token count of a request by the actual one.
    pub fn correct(&mut self, name: &Name, estimate: u32, actual: u32) {
        if let Some(allowance) = self.teams.get_mut(name) {
            allowance.tokens.balance += f64::from(estimate) - f64::from(actual);
        }
    }

    /// Refills every bucket up to `now`.
    ///
    /// Call it before this router's share changes, so that the elapsed time is
    /// credited at the share that applied to it.
    pub fn refill(&mut self, now: Instant, shares: &DemandShares) {
        for (name, allowance) in &mut self.teams {
            allowance.refill(now, shares.fraction(now, TeamId::from(name)));
        }
    }

    /// Drops idle teams that are not in debt.
    pub fn expire(&mut self, now: Instant) {
        self.teams.retain(|_, allowance| {
            now.since(allowance.last_request_at) < IDLE_TIMEOUT
                || allowance.time_to_zero_balance() > Duration::ZERO
        });
    }

    /// Number of teams for which state is held.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }
}

impl Allowance {
    fn new(now: Instant) -> Self {
        let (requests, tokens) = (Bucket::default(), Bucket::default());
        Self { requests, tokens, refilled_at: now, last_request_at: now }
    }

    fn refill(&mut self, now: Instant, fraction: f64) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.requests.refill(elapsed, fraction);
        self.tokens.refill(elapsed, fraction);
    }

    fn time_to_zero_balance(&self) -> Duration {
        self.requests.time_to_zero_balance().max(self.tokens.time_to_zero_balance())
    }
}

impl Bucket {
    fn configure(&mut self, limit: u32, cost: f64) {
        self.limit = limit;
        self.cost = cost;
    }

    fn refill(&mut self, elapsed: f64, fraction: f64) {
        if self.limit == 0 {
            self.balance = 0.0;
            return;
        }
        self.rate = f64::from(self.limit) * fraction;
        let max_balance =
            (self.rate * BURST_WINDOW.as_secs_f64()).max(MIN_BURST_REQUESTS * self.cost);
        self.balance = (self.balance + self.rate * elapsed).min(max_balance);
    }

    /// Time until the balance is no longer negative.
    fn time_to_zero_balance(&self) -> Duration {
        if self.limit == 0 || self.balance >= 0.0 {
            return Duration::ZERO;
        }
        let seconds = -self.balance / self.rate;
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
