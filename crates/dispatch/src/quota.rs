//! The limits of accounts as one host holds them.
//!
//! A limit is one number for the whole fleet. A host enforces a share of it; see
//! docs/DESIGN-POLICY.md for the worst overshoot and undershoot.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linnet_table::RowLimits;

use crate::{DispatchRefusal, RefusalCause};

/// How many seconds of its rate an account may save up.
const BURST_SECONDS: f64 = 1.0;

/// Demand below this is forgotten.
const LEAST_DEMAND: f64 = 0.1;

/// Scopes that are kept; past it idle ones are dropped.
const KEPT_SCOPES: usize = 50_000;

/// What a limit is on: an account as a whole, or an account on one route.
pub type QuotaScope = (u32, Option<u32>);

#[derive(Debug)]
struct ScopeUse {
    requests: f64,
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
    /// Requests of late, taken or refused; halves with each report.
    demand: f64,
}

/// The use of each scope, and the share of the fleet's limits that this host has.
#[derive(Debug)]
pub struct QuotaTable {
    uses: Mutex<HashMap<QuotaScope, ScopeUse>>,
    shares: Mutex<QuotaShares>,
}

/// The shares of limits that a host enforces.
#[derive(Debug, Default)]
struct QuotaShares {
    common: f64,
    by_account: HashMap<u32, f64>,
}

/// Requests in flight that count against limits until this is dropped.
#[derive(Debug)]
pub struct QuotaHold {
    table: Arc<QuotaTable>,
    scopes: [(QuotaScope, RowLimits); 2],
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self::new()
    }
}

impl QuotaTable {
    /// Creates a table whose host has the whole of each limit.
    pub fn new() -> Self {
        Self {
            uses: Mutex::default(),
            shares: Mutex::new(QuotaShares {
                common: 1.0,
                by_account: HashMap::new(),
            }),
        }
    }

    /// Sets the share of each limit that this host enforces: for some accounts their own, for all
    /// others a common one.
    pub fn set_shares(&self, common: f64, by_account: HashMap<u32, f64>) {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        *shares = QuotaShares { common, by_account };
    }

    /// Returns what each account asked of this host of late; asked again, half of it counts still.
    pub fn report_demand(&self) -> Vec<(u32, f64)> {
        let mut uses = self.lock();
        let mut report = Vec::new();
        for ((account, route), usage) in uses.iter_mut() {
            if route.is_none() && usage.demand >= LEAST_DEMAND {
                report.push((*account, usage.demand));
                usage.demand /= 2.0;
            }
        }
        report
    }

    /// Takes one request of an account on a route, or refuses it; nothing is taken by halves.
    ///
    /// # Errors
    ///
    /// The limit that is used up, and when it will hold a request again.
    pub fn take(
        self: &Arc<Self>,
        account: u32,
        account_limits: RowLimits,
        route: u32,
        route_limits: RowLimits,
        now: Instant,
    ) -> Result<QuotaHold, DispatchRefusal> {
        let scopes = [
            ((account, None), account_limits),
            ((account, Some(route)), route_limits),
        ];
        let share = self.share(account);
        let mut uses = self.lock();
        if uses.len() > KEPT_SCOPES {
            uses.retain(|_, usage| usage.in_flight > 0);
        }
        for (scope, limits) in &scopes {
            let usage = uses.entry(*scope).or_insert(ScopeUse {
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
            if let Some(usage) = uses.get_mut(scope) {
                usage.requests -= 1.0;
                usage.in_flight += 1;
            }
        }
        drop(uses);
        Ok(QuotaHold {
            table: self.clone(),
            scopes,
        })
    }

    fn share(&self, account: u32) -> f64 {
        let shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let own = shares.by_account.get(&account).copied();
        own.unwrap_or(shares.common).clamp(0.0, 1.0)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<QuotaScope, ScopeUse>> {
        self.uses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ScopeUse {
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
            let wait = wait_for(1.0 - self.requests, rate, share);
            return Err(DispatchRefusal::new(RefusalCause::AccountRate, wait));
        }
        if let Some(tokens) = limits.tokens
            && self.tokens <= 0.0
        {
            let wait = wait_for(-self.tokens, tokens, share);
            return Err(DispatchRefusal::new(RefusalCause::AccountTokens, wait));
        }
        if let Some(most) = limits.in_flight {
            // A limit above zero lets every host have one, or small limits would shut it out.
            let own = (f64::from(most) * share).ceil() as u32;
            if self.in_flight >= own {
                let wait = Duration::from_millis(200);
                return Err(DispatchRefusal::new(RefusalCause::AccountInFlight, wait));
            }
        }
        Ok(())
    }
}

// A bucket that is new, or had no limit, is infinite and is cut to what the limit lets save up.
fn refill_bucket(level: f64, rate: Option<u32>, share: f64, elapsed: f64) -> f64 {
    let Some(rate) = rate else {
        return f64::INFINITY;
    };
    let per_second = f64::from(rate) * share;
    let most = if rate == 0 {
        0.0
    } else {
        (per_second * BURST_SECONDS).max(1.0)
    };
    (level + per_second * elapsed).min(most)
}

fn wait_for(amount: f64, rate: u32, share: f64) -> Duration {
    let per_second = f64::from(rate) * share;
    if per_second <= 0.0 {
        return Duration::MAX;
    }
    Duration::from_secs_f64((amount / per_second).min(3_600.0))
}

impl QuotaHold {
    /// Charges generated tokens; the account may go into debt, which later requests wait for.
    pub fn charge_tokens(&self, count: u64) {
        let mut uses = self.table.lock();
        for (scope, _) in &self.scopes {
            if let Some(usage) = uses.get_mut(scope) {
                usage.tokens -= count as f64;
            }
        }
    }
}

impl Drop for QuotaHold {
    fn drop(&mut self) {
        let mut uses = self.table.lock();
        for (scope, _) in &self.scopes {
            if let Some(usage) = uses.get_mut(scope) {
                usage.in_flight = usage.in_flight.saturating_sub(1);
            }
        }
    }
}
