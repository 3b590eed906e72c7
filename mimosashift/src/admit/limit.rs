//! Team limits on requests and tokens a second.

use std::collections::HashMap;
use std::time::Duration;

use super::share::{Share, TeamId};
use crate::resource::{Name, Team};
use crate::time::Instant;

/// Time for which an unused allowance is kept.
pub const BURST: Duration = Duration::from_millis(500);

/// Longest hint when to try again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Allowances of the active teams on this router.
#[derive(Default)]
pub struct Limits {
    teams: HashMap<Name, Allowance>,
}

struct Allowance {
    requests: Bucket,
    tokens: Bucket,
    refilled: Instant,
}

/// A token bucket that may go into debt by one request.
///
/// Debt lets a router whose share is less than one request a second still
/// admit requests at that rate.
#[derive(Default)]
struct Bucket {
    rate: f64,
    balance: f64,
}

impl Limits {
    /// Charges a request of `cost` tokens, or returns after what time the
    /// team's allowance will suffice.
    pub fn charge(
        &mut self,
        now: Instant,
        share: &Share,
        name: &Name,
        team: &Team,
        cost: u32,
    ) -> Result<(), Duration> {
        if team.requests_per_second == 0 && team.tokens_per_second == 0 {
            return Ok(());
        }
        let fraction = share.fraction(TeamId::from(name));
        let allowance = self.teams.entry(name.clone()).or_insert_with(|| Allowance::new(now));
        let elapsed = now.since(allowance.refilled).as_secs_f64();
        allowance.refilled = now;
        allowance.requests.refill(elapsed, fraction, team.requests_per_second, 1.0);
        allowance.tokens.refill(elapsed, fraction, team.tokens_per_second, f64::from(cost));
        let wait = allowance.requests.wait().max(allowance.tokens.wait());
        if wait > Duration::ZERO {
            return Err(wait);
        }
        allowance.requests.balance -= 1.0;
        allowance.tokens.balance -= f64::from(cost);
        Ok(())
    }

    /// Gives back what a request that never ran was charged.
    pub fn refund(&mut self, name: &Name, cost: u32) {
        if let Some(allowance) = self.teams.get_mut(name) {
            allowance.requests.balance += 1.0;
            allowance.tokens.balance += f64::from(cost);
        }
    }

    /// Replaces the estimated tokens of a request by the actual ones.
    pub fn correct(&mut self, name: &Name, estimate: u32, actual: u32) {
        if let Some(allowance) = self.teams.get_mut(name) {
            allowance.tokens.balance += f64::from(estimate) - f64::from(actual);
        }
    }

    /// Drops teams that were idle until their debt was paid.
    pub fn expire(&mut self, now: Instant) {
        self.teams.retain(|_, allowance| {
            let idle = now.since(allowance.refilled);
            let owed = allowance.requests.wait().max(allowance.tokens.wait());
            idle < BURST.max(owed)
        });
    }

    /// Teams for which state is held.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }
}

impl Allowance {
    fn new(now: Instant) -> Self {
        Self { requests: Bucket::default(), tokens: Bucket::default(), refilled: now }
    }
}

impl Bucket {
    fn refill(&mut self, elapsed: f64, fraction: f64, limit: u32, cost: f64) {
        self.rate = f64::from(limit) * fraction;
        let most = (self.rate * BURST.as_secs_f64()).max(cost);
        self.balance = (self.balance + self.rate * elapsed).min(most);
        if limit == 0 {
            (self.rate, self.balance) = (f64::INFINITY, 0.0);
        }
    }

    /// Time until the balance is no longer negative.
    fn wait(&self) -> Duration {
        if self.balance >= 0.0 {
            return Duration::ZERO;
        }
        let seconds = -self.balance / self.rate;
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
