//! Team limits on requests and tokens a second.

use std::collections::HashMap;
use std::time::Duration;

use super::share::{Share, TeamId};
use crate::resource::{Name, Team};
use crate::time::Instant;

/// Time for which an unused allowance is kept.
pub const BURST: Duration = Duration::from_millis(500);

/// Requests for which an unused allowance is kept, however low the rate.
const BURST_REQUESTS: f64 = 2.0;
/// Time without a request after which a team is idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
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
    charged: Instant,
}

/// A token bucket that may go into debt by one request.
///
/// Debt lets a router whose share is less than one request a second still
/// admit requests at that rate.
#[derive(Default)]
struct Bucket {
    /// Limit over all routers, a second; 0 means none.
    limit: u32,
    /// Cost of the latest request.
    cost: f64,
    /// This router's part of the limit, a second.
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
        let allowance = self.teams.entry(name.clone()).or_insert_with(|| Allowance::new(now));
        allowance.requests.set(team.requests_per_second, 1.0);
        allowance.tokens.set(team.tokens_per_second, f64::from(cost));
        allowance.refill(now, share.fraction(now, TeamId::from(name)));
        allowance.charged = now;
        let wait = allowance.wait();
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

    /// Adds to every allowance what it gained up to now.
    ///
    /// Call it before this router's share changes, so that time already past
    /// counts at the share that held then.
    pub fn refill(&mut self, now: Instant, share: &Share) {
        for (name, allowance) in &mut self.teams {
            allowance.refill(now, share.fraction(now, TeamId::from(name)));
        }
    }

    /// Drops teams that were idle and owe nothing.
    pub fn expire(&mut self, now: Instant) {
        self.teams.retain(|_, allowance| {
            now.since(allowance.charged) < IDLE_TIMEOUT || allowance.wait() > Duration::ZERO
        });
    }

    /// Teams for which state is held.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }
}

impl Allowance {
    fn new(now: Instant) -> Self {
        let (requests, tokens) = (Bucket::default(), Bucket::default());
        Self { requests, tokens, refilled: now, charged: now }
    }

    fn refill(&mut self, now: Instant, fraction: f64) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.requests.refill(elapsed, fraction);
        self.tokens.refill(elapsed, fraction);
    }

    fn wait(&self) -> Duration {
        self.requests.wait().max(self.tokens.wait())
    }
}

impl Bucket {
    fn set(&mut self, limit: u32, cost: f64) {
        self.limit = limit;
        self.cost = cost;
    }

    fn refill(&mut self, elapsed: f64, fraction: f64) {
        if self.limit == 0 {
            self.balance = 0.0;
            return;
        }
        self.rate = f64::from(self.limit) * fraction;
        let most = (self.rate * BURST.as_secs_f64()).max(BURST_REQUESTS * self.cost);
        self.balance = (self.balance + self.rate * elapsed).min(most);
    }

    /// Time until the balance is no longer negative.
    fn wait(&self) -> Duration {
        if self.limit == 0 || self.balance >= 0.0 {
            return Duration::ZERO;
        }
        let seconds = -self.balance / self.rate;
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
