//! Enforcement of account limits on one host.
//!
//! A limit applies to the complete fleet; each host enforces a share of it. See
//! docs/DESIGN-POLICY.md for the worst overshoot and undershoot.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linnet_table::RowLimits;

use crate::{DispatchRefusal, RefusalCause};

/// The burst of an account, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// Demand below this is not reported.
const MIN_DEMAND: f64 = 0.1;

/// The number of scopes above which idle ones are removed.
const MAX_SCOPES: usize = 50_000;

/// The scope of a limit: an account on all routes, or an account on one route.
pub type QuotaScope = (u32, Option<u32>);

#[derive(Debug)]
struct ScopeUsage {
    requests: f64,
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
    /// Recent requests, admitted or refused; halved by each call of
    /// [`QuotaTable::sample_demand`].
    demand: f64,
}

/// The usage of each scope, and the share of the fleet-wide limits that this host enforces.
#[derive(Debug)]
pub struct QuotaTable {
    usages: Mutex<HashMap<QuotaScope, ScopeUsage>>,
    shares: Mutex<QuotaShares>,
}

/// The shares of limits that a host enforces.
#[derive(Debug, Default)]
struct QuotaShares {
    default: f64,
    by_account: HashMap<u32, f64>,
}

/// Counts a request in flight against its limits until dropped.
#[derive(Debug)]
pub struct QuotaGuard {
    table: Arc<QuotaTable>,
    scopes: [(QuotaScope, RowLimits); 2],
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self::new()
    }
}

impl QuotaTable {
    /// Creates a table that enforces the complete limits on this host.
    pub fn new() -> Self {
        Self {
            usages: Mutex::default(),
            shares: Mutex::new(QuotaShares {
                default: 1.0,
                by_account: HashMap::new(),
            }),
        }
    }

    /// Sets the share of each limit that this host enforces: per account, and a default for all
    /// other accounts.
    pub fn set_shares(&self, default: f64, by_account: HashMap<u32, f64>) {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        *shares = QuotaShares {
            default,
            by_account,
        };
    }

    /// Returns the recent demand of each account at this host, and halves the stored value.
    pub fn sample_demand(&self) -> Vec<(u32, f64)> {
        let mut usages = self.lock();
        let mut report = Vec::new();
        for ((account, route), usage) in usages.iter_mut() {
            if route.is_none() && usage.demand >= MIN_DEMAND {
                report.push((*account, usage.demand));
                usage.demand /= 2.0;
            }
        }
        report
    }

    /// Charges one request of an account on a route to both scopes, or refuses it and charges
    /// neither.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exhausted, and when it will permit a request again.
    pub fn acquire(
        self: &Arc<Self>,
        account: u32,
        account_limits: RowLimits,
        route: u32,
        route_limits: RowLimits,
        now: Instant,
    ) -> Result<QuotaGuard, DispatchRefusal> {
        let scopes = [
            ((account, None), account_limits),
            ((account, Some(route)), route_limits),
        ];
        let share = self.share(account);
        let mut usages = self.lock();
        if usages.len() > MAX_SCOPES {
            usages.retain(|_, usage| usage.in_flight > 0);
        }
        for (scope, limits) in &scopes {
            let usage = usages.entry(*scope).or_insert(ScopeUsage {
                requests: f64::INFINITY,
                tokens: f64::INFINITY,
                refilled: now,
                in_flight: 0,
                demand: 0.0,
            });
            usage.demand += 1.0;
            usage.refill(limits, share, now);
            usage.check(limits, share)?;
        }
        for (scope, _) in &scopes {
            if let Some(usage) = usages.get_mut(scope) {
                usage.requests -= 1.0;
                usage.in_flight += 1;
            }
        }
        drop(usages);
        Ok(QuotaGuard {
            table: self.clone(),
            scopes,
        })
    }

    fn share(&self, account: u32) -> f64 {
        let shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let own_share = shares.by_account.get(&account).copied();
        own_share.unwrap_or(shares.default).clamp(0.0, 1.0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<QuotaScope, ScopeUsage>> {
        self.usages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ScopeUsage {
    fn refill(&mut self, limits: &RowLimits, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.requests = refill_bucket(self.requests, limits.rate, share, elapsed);
        self.tokens = refill_bucket(self.tokens, limits.tokens, share, elapsed);
    }

    fn check(&self, limits: &RowLimits, share: f64) -> Result<(), DispatchRefusal> {
        if let Some(rate) = limits.rate
            && self.requests < 1.0
        {
            let wait = refill_wait(1.0 - self.requests, rate, share);
            return Err(DispatchRefusal::new(RefusalCause::AccountRate, wait));
        }
        if let Some(tokens) = limits.tokens
            && self.tokens <= 0.0
        {
            let wait = refill_wait(-self.tokens, tokens, share);
            return Err(DispatchRefusal::new(RefusalCause::AccountTokens, wait));
        }
        if let Some(max) = limits.in_flight {
            // Rounded up, so that a small limit above zero still permits one request on every host.
            let own_limit = (f64::from(max) * share).ceil() as u32;
            if self.in_flight >= own_limit {
                let wait = Duration::from_millis(200);
                return Err(DispatchRefusal::new(RefusalCause::AccountInFlight, wait));
            }
        }
        Ok(())
    }
}

// The level of a bucket that is new, or had no limit, is infinite and is capped to the burst here.
fn refill_bucket(level: f64, rate: Option<u32>, share: f64, elapsed: f64) -> f64 {
    let Some(rate) = rate else {
        return f64::INFINITY;
    };
    let per_second = f64::from(rate) * share;
    let max = if rate == 0 {
        0.0
    } else {
        (per_second * BURST_SECONDS).max(1.0)
    };
    (level + per_second * elapsed).min(max)
}

fn refill_wait(amount: f64, rate: u32, share: f64) -> Duration {
    let per_second = f64::from(rate) * share;
    if per_second <= 0.0 {
        return Duration::MAX;
    }
    Duration::from_secs_f64((amount / per_second).min(3_600.0))
}

impl QuotaGuard {
    /// Charges generated tokens. The balance may become negative; later requests are refused until
    /// it has recovered.
    pub fn charge_tokens(&self, count: u64) {
        let mut usages = self.table.lock();
        for (scope, _) in &self.scopes {
            if let Some(usage) = usages.get_mut(scope) {
                usage.tokens -= count as f64;
            }
        }
    }
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        let mut usages = self.table.lock();
        for (scope, _) in &self.scopes {
            if let Some(usage) = usages.get_mut(scope) {
                usage.in_flight = usage.in_flight.saturating_sub(1);
            }
        }
    }
}
