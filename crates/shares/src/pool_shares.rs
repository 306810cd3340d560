//! Limits accounts at the coordinator of a pool that cannot serve all demand.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::demand_record::{DemandRecord, WINDOW};
use crate::host_budget::{HostBudgets, ReportWeight};
use crate::served_rate::ServedRate;
use crate::water_fill::{WeightedDemand, fill_factor};
use crate::{AccountKey, AccountUse, UseReport};

/// Accounts with a record of their own, in all ranks.
const MAX_ACCOUNTS: usize = 1_024;

/// Ranks with a record for the accounts without one of their own.
const MAX_RANKS: usize = 64;

/// An account without demand for this long is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The floor of usual demand, as a part of the mean of active accounts.
const FLOOR_PART: f64 = 0.5;

/// The part of the capacity that usual demand and new accounts together may have. At 1.0, a burst of
/// a new account brings the levels of the others down to their usual demand, and noise limits them.
const NEW_PART: f64 = 0.9;

/// Demand below this is not active, in pieces per second.
const ACTIVE_PER_S: f64 = 0.1;

/// Demand above the drain rate by this part sets no limits: measured rates are noisy.
const HEADROOM: f64 = 0.1;

/// The part of the capacity that is divided into levels. The queue refuses what is above the drain
/// rate without regard to accounts, so a queue that a burst has filled must become shorter.
const LEVEL_PART: f64 = 0.98;

/// The part that is divided during `RECOVERY_WINDOWS` after limits begin: what came before them has
/// filled the queue. Together this is 100 ms of the drain rate, less than what is queued then.
const RECOVERY_PART: f64 = 0.9;

/// Windows of recovery; 1 s.
const RECOVERY_WINDOWS: u32 = 4;

/// How far an account may be above its level without a limit, as a part of the mean capacity for an
/// account. The demand of an account with few requests varies by more than a quarter; that of a
/// large one does not, and without this bound the pool would be overloaded.
const NOISE_PART: f64 = 0.2;

/// The largest demand without a limit for the same reason, as a multiple of the level; a burst of
/// three times the rate is above it.
const NOISE_FACTOR: f64 = 1.5;

/// The part of the drain rate that remains for each rank.
const RANK_PART: f64 = 0.05;

/// How long limits are reused, as each report of each host asks for them. Longer times delay the
/// reaction to a burst: 50 ms costs the worst of the other accounts 1 point.
const LIMITS_REUSED: Duration = Duration::from_millis(25);

/// Drain rates above this are taken as this, in pieces per second.
const MAX_DRAIN: f64 = 1e9;

/// The limit of an account that asks for more than its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLimit<R> {
    /// Rank of its requests.
    pub rank: R,
    /// The account.
    pub account: AccountKey,
    /// Share of its requests that is admitted, in thousandths.
    pub admit_permille: u16,
}

/// What an account asks of a pool beside its share, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountShare<R> {
    /// Rank of its requests.
    pub rank: R,
    /// The account.
    pub account: AccountKey,
    /// Recent demand, in pieces per second.
    pub demand_per_s: f64,
    /// Usual demand, in pieces per second.
    pub usual_per_s: f64,
    /// Share of its requests that is admitted, in thousandths.
    pub admit_permille: u16,
}

/// Which weight an account has among the accounts of its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ShareWeights {
    /// Usual demand. That of a new account begins at the part that new accounts may have.
    #[default]
    Usual,
    /// The same for all accounts.
    Equal,
}

/// The demand of accounts for one pool, and their limits.
#[derive(Debug)]
pub struct PoolShares<R> {
    weights: ShareWeights,
    ranks: BTreeMap<R, RankRecords>,
    accounts: usize,
    budgets: HostBudgets,
    drain_per_s: Option<f64>,
    served: ServedRate,
    window_start: Option<Instant>,
    cut_pieces: u64,
    /// The limits that were computed last, and when.
    last_limits: Option<(Instant, Vec<AccountLimit<R>>)>,
}

impl<R: Copy + Ord> Default for PoolShares<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R: Copy + Ord> PoolShares<R> {
    /// Creates the shares of a pool without demand.
    pub fn new() -> Self {
        Self {
            weights: ShareWeights::default(),
            ranks: BTreeMap::new(),
            accounts: 0,
            budgets: HostBudgets::default(),
            drain_per_s: None,
            served: ServedRate::default(),
            window_start: None,
            cut_pieces: 0,
            last_limits: None,
        }
    }

    /// Sets the weights of accounts.
    pub fn with_weights(self, weights: ShareWeights) -> Self {
        Self { weights, ..self }
    }

    /// Applies the report of an entry host. A repeated report is ignored; a report after lost ones
    /// counts for these too.
    ///
    /// A host counts with at most four times the capacity, so that a faulty one can't make all
    /// others appear small.
    pub fn apply_report(&mut self, host: u64, report: &UseReport<R>, now: Instant) {
        self.end_windows(now);
        let uses = report.uses.iter().filter(|entry| entry.pieces > 0);
        let total: f64 = uses.clone().map(|entry| f64::from(entry.pieces)).sum();
        let drain = self.capacity_per_s(now);
        let weight = self.budgets.take(host, report.sequence, total, drain, now);
        let Some(ReportWeight { copies, part }) = weight else {
            self.cut_pieces = self.cut_pieces.saturating_add(total as u64);
            return;
        };
        let cut = total * copies * (1.0 - part);
        self.cut_pieces = self.cut_pieces.saturating_add(cut as u64);
        if copies > 0.0 {
            for entry in uses {
                self.add_use(entry, f64::from(entry.pieces) * copies * part);
            }
        }
    }

    /// Records pieces that the pool completed. A pool has at least the capacity that it uses, whatever
    /// the drain rate says that was measured with pieces of another kind.
    pub fn record_served(&mut self, pieces: u32, now: Instant) {
        self.served.add(pieces, now);
    }

    /// Returns the pieces that were reported above the bounds of hosts and ranks, and resets their
    /// number.
    pub fn take_cut_pieces(&mut self) -> u64 {
        std::mem::take(&mut self.cut_pieces)
    }

    /// Returns the pieces that were reported above the bounds of hosts and ranks since
    /// [`Self::take_cut_pieces`] was last called.
    pub fn cut_pieces(&self) -> u64 {
        self.cut_pieces
    }

    /// Returns the accounts that are limited while the pool completes `drain_per_s` pieces per
    /// second. Limits are computed at most every 25 ms.
    ///
    /// A rank that limits [`AccountKey::OTHERS`] lists its other accounts too, so that entry hosts
    /// can tell which ones have a record of their own.
    pub fn limits(&mut self, drain_per_s: f64, now: Instant) -> Vec<AccountLimit<R>> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIMITS_REUSED;
        if let Some((_, limits)) = self.last_limits.as_ref().filter(|(at, _)| is_recent(*at)) {
            return limits.clone();
        }
        self.end_windows(now);
        let is_known = drain_per_s.is_finite() && drain_per_s > 0.0;
        self.drain_per_s = is_known.then_some(drain_per_s.min(MAX_DRAIN));
        let drain = self.capacity_per_s(now).unwrap_or(f64::INFINITY);
        let mut left = drain;
        let mut limits = Vec::new();
        for (rank, records) in &mut self.ranks {
            let capacity = left.max(drain * RANK_PART);
            left -= limit_rank(records, self.weights, capacity);
            limits.extend(list_limits(*rank, records));
        }
        self.last_limits = Some((now, limits.clone()));
        limits
    }

    /// Returns the demand and the limit of each account.
    pub fn accounts(&self, now: Instant) -> Vec<AccountShare<R>> {
        let idle = self.window_start.map_or(Duration::ZERO, |start| {
            now.saturating_duration_since(start).saturating_sub(WINDOW)
        });
        let decay = (-idle.as_secs_f64()).exp();
        let mut shares = Vec::new();
        for (rank, records) in &self.ranks {
            let total = total_mean(records);
            shares.extend(
                records
                    .accounts
                    .iter()
                    .map(|(account, record)| AccountShare {
                        rank: *rank,
                        account: *account,
                        demand_per_s: record.demand(total) * decay,
                        usual_per_s: weight_of(record, self.weights, records.new_part),
                        admit_permille: record.admit_permille,
                    }),
            );
        }
        shares
    }

    /// Returns the capacity of the pool, in pieces per second: the drain rate or the rate at which it
    /// completes pieces, whichever is larger; `None` while no drain rate is known.
    fn capacity_per_s(&mut self, now: Instant) -> Option<f64> {
        let served = self.served.per_s(now);
        self.drain_per_s.map(|drain| drain.max(served))
    }

    fn add_use(&mut self, entry: &AccountUse<R>, pieces: f64) {
        if !self.ranks.contains_key(&entry.rank) && self.ranks.len() >= MAX_RANKS {
            self.cut_pieces = self.cut_pieces.saturating_add(pieces as u64);
            return;
        }
        let records = self.ranks.entry(entry.rank).or_default();
        let mut account = entry.account;
        if account != AccountKey::OTHERS && !records.accounts.contains_key(&account) {
            if self.accounts < MAX_ACCOUNTS {
                self.accounts += 1;
            } else {
                account = AccountKey::OTHERS;
            }
        }
        let record = records.accounts.entry(account).or_default();
        record.add(pieces);
    }

    fn end_windows(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        let passed = elapsed.as_nanos() / WINDOW.as_nanos();
        if passed == 0 {
            return;
        }
        // After this many windows all demand has decayed, so a longer pause needs no exact count.
        let windows = passed.min(1_000_000) as u32;
        self.window_start = Some(start + WINDOW * windows);
        if passed > u128::from(windows) {
            self.window_start = Some(now);
        }
        for records in self.ranks.values_mut() {
            end_rank_windows(records, windows);
        }
        self.ranks.retain(|_, records| !records.accounts.is_empty());
        let keys = self
            .ranks
            .values()
            .flat_map(|records| records.accounts.keys());
        self.accounts = keys.filter(|key| **key != AccountKey::OTHERS).count();
    }
}

/// The accounts of one rank.
#[derive(Debug, Default)]
struct RankRecords {
    accounts: BTreeMap<AccountKey, DemandRecord>,
    /// The weight of a new account.
    new_part: f64,
    /// Windows that ended since the rank is limited; `None` while it is not.
    limited_windows: Option<u32>,
}

fn end_rank_windows(records: &mut RankRecords, windows: u32) {
    if let Some(limited) = &mut records.limited_windows {
        *limited = limited.saturating_add(windows);
    }
    let total = total_mean(records);
    for record in records.accounts.values_mut() {
        record.end_windows(windows - 1, total);
    }
    let idle_windows = (IDLE_TIME.as_nanos() / WINDOW.as_nanos()) as u32;
    records
        .accounts
        .retain(|_, record| record.idle_windows() < idle_windows);
    let floor = usual_floor(records);
    for record in records.accounts.values_mut() {
        record.follow(windows, floor, records.new_part.max(floor));
    }
}

/// Sets the permilles of a rank. Returns its admitted demand, in pieces per second.
fn limit_rank(records: &mut RankRecords, weights: ShareWeights, capacity: f64) -> f64 {
    let mean = total_mean(records);
    records.new_part = new_part(records, capacity);
    let part = records.new_part;
    let demands: Vec<_> = records
        .accounts
        .values()
        .map(|record| WeightedDemand {
            demand: record.demand(mean),
            weight: weight_of(record, weights, part),
        })
        .collect();
    let total: f64 = demands.iter().map(|entry| entry.demand).sum();
    let factor = if total <= capacity * (1.0 + HEADROOM) {
        records.limited_windows = None;
        f64::INFINITY
    } else {
        let limited = *records.limited_windows.get_or_insert(0);
        let recovers = limited < RECOVERY_WINDOWS;
        let part = if recovers { RECOVERY_PART } else { LEVEL_PART };
        fill_factor(&demands, capacity * part)
    };
    let noise = NOISE_PART * capacity / demands.len().max(1) as f64;
    for (record, entry) in records.accounts.values_mut().zip(&demands) {
        record.admit_permille = permille(factor * entry.weight, entry.demand, noise);
    }
    total.min(capacity)
}

// At least 1, so that no account is refused completely.
fn permille(level: f64, demand: f64, noise: f64) -> u16 {
    if (level + noise).min(level * NOISE_FACTOR) >= demand {
        1_000
    } else {
        (level / demand * 1_000.0).round().clamp(1.0, 1_000.0) as u16
    }
}

fn list_limits<R: Copy>(rank: R, records: &RankRecords) -> Vec<AccountLimit<R>> {
    let others = records.accounts.get(&AccountKey::OTHERS);
    let lists_all = others.is_some_and(|record| record.admit_permille < 1_000);
    let listed = records
        .accounts
        .iter()
        .filter(|(_, record)| lists_all || record.admit_permille < 1_000);
    listed
        .map(|(account, record)| AccountLimit {
            rank,
            account: *account,
            admit_permille: record.admit_permille,
        })
        .collect()
}

fn total_mean(records: &RankRecords) -> f64 {
    records.accounts.values().map(DemandRecord::mean).sum()
}

/// Returns the floor of usual demand: a part of the mean of active accounts, by usual demand, or by
/// demand while none has a usual one.
fn usual_floor(records: &RankRecords) -> f64 {
    let active = records
        .accounts
        .values()
        .filter(|record| record.mean() >= ACTIVE_PER_S);
    let usuals: Vec<f64> = active.clone().filter_map(DemandRecord::usual).collect();
    let values = if usuals.is_empty() {
        active.map(DemandRecord::mean).collect()
    } else {
        usuals
    };
    FLOOR_PART * values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the weight of a new account: what the usual demand of the others leaves of the capacity,
/// or an equal part of it for each account, whichever is larger.
fn new_part(records: &RankRecords, capacity: f64) -> f64 {
    let usuals = records.accounts.values().filter_map(DemandRecord::usual);
    let known = usuals.clone().count();
    let count = records.accounts.len();
    let left = capacity * NEW_PART - usuals.sum::<f64>();
    let equal = capacity / count.max(1) as f64;
    equal.max(left / (count - known).max(1) as f64)
}

fn weight_of(record: &DemandRecord, weights: ShareWeights, new_part: f64) -> f64 {
    let usual = record.usual().unwrap_or(new_part);
    let weight = match weights {
        ShareWeights::Usual => usual,
        ShareWeights::Equal => 1.0,
    };
    // Above zero, as levels divide by it; finite, as an unknown drain rate leaves it all.
    weight.clamp(ACTIVE_PER_S, MAX_DRAIN)
}
