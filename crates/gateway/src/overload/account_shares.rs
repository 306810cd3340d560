//! Shares of client accounts at an entry host: reports what accounts ask of each pool to its
//! coordinator, and applies the limits in the reply.

use std::collections::{HashMap, HashSet};
use std::rc::Weak;
use std::time::{Duration, Instant};

use linnet_shares::{
    AccountKey, AccountLimit, AccountUse, HostLimits, LIMITS_VALIDITY, ShareDecision, UseMeter,
    UseReport,
};
use tokio::time::sleep;

use crate::Gateway;
use crate::pool_key::PoolKey;
use crate::rank::Rank;

/// Interval between two reports. Shorter than the second for which limits are valid, so that a lost
/// report does not end them.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// What accounts ask of one pool, and their limits there.
struct PoolAccounts {
    meter: UseMeter<Rank>,
    limits: HostLimits<Rank>,
    /// The accounts in the newest limits and until when these are valid, for the metrics.
    limited: (Vec<AccountKey>, Instant),
}

/// The shares of client accounts in the pools that this host uses.
#[derive(Default)]
pub(crate) struct AccountShares {
    pools: HashMap<PoolKey, PoolAccounts>,
}

impl AccountShares {
    /// Counts the pieces that a request asks of a pool, and decides whether the share of its account
    /// admits it. `draw` is uniform in [0, 1).
    pub(crate) fn request(
        &mut self,
        pool: PoolKey,
        request: AccountUse<Rank>,
        draw: f64,
        now: Instant,
    ) -> ShareDecision {
        let AccountUse {
            rank,
            account,
            pieces,
        } = request;
        let accounts = self.pools.entry(pool).or_insert_with(|| PoolAccounts {
            meter: UseMeter::new(),
            limits: HostLimits::new(),
            limited: (Vec::new(), now),
        });
        accounts.meter.record(rank, account, pieces);
        accounts.limits.decide(rank, account, draw, now)
    }

    /// Replaces the limits of a pool.
    pub(crate) fn apply_limits(&mut self, pool: &PoolKey, limits: Vec<AccountLimit<Rank>>) {
        if let Some(accounts) = self.pools.get_mut(pool) {
            let now = Instant::now();
            let limited = limits.iter().map(|limit| limit.account).collect();
            accounts.limited = (limited, now + LIMITS_VALIDITY);
            accounts.limits.apply(limits, now);
        }
    }

    /// Returns the number of accounts that are limited in any pool.
    fn limited_accounts(&self, now: Instant) -> usize {
        let limited = self.pools.values().map(|accounts| &accounts.limited);
        let valid = limited.filter(|(_, valid_until)| now < *valid_until);
        let accounts: HashSet<_> = valid.flat_map(|(accounts, _)| accounts).collect();
        accounts.len()
    }

    /// Returns the uses of each pool since the last report. A pool without any is forgotten once its
    /// limits have expired; otherwise an account that pauses for one interval would escape them.
    fn take_reports(&mut self, now: Instant) -> Vec<(PoolKey, UseReport<Rank>)> {
        let mut reports = Vec::new();
        self.pools
            .retain(|pool, accounts| match accounts.meter.take_report() {
                Some(report) => {
                    reports.push((pool.clone(), report));
                    true
                }
                None => now < accounts.limited.1,
            });
        reports
    }
}

/// Returns the key of a request's account.
pub(crate) fn account_key(account: Option<&str>) -> AccountKey {
    account.map_or(AccountKey::OTHERS, AccountKey::new)
}

/// Reports the use of the pools to their coordinators until the gateway is dropped.
pub(crate) async fn report_account_use(gateway: Weak<Gateway>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        let client = &gateway.stage_client;
        let mut shares = client.account_shares().borrow_mut();
        let limited = shares.limited_accounts(Instant::now());
        gateway.metrics.accounts_limited.set(limited as i64);
        let reports = shares.take_reports(Instant::now());
        drop(shares);
        for (pool, report) in reports {
            client.report_use(pool, report);
        }
    }
}

#[cfg(test)]
mod tests;
