//! Applies the limits of one pool at an entry host.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{AccountKey, AccountLimit};

/// How long limits apply; four report intervals, so that single lost answers have no effect.
pub const LIMITS_VALIDITY: Duration = Duration::from_secs(1);

/// The share of an account that is not limited, in thousandths.
pub(crate) const UNLIMITED_PERMILLE: u16 = 1_000;

/// Whether the share of an account admits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareDecision {
    /// The account is within its share, or the pool serves all demand.
    Unlimited,
    /// The account is over its share; this request is admitted.
    Admitted {
        /// Share of its requests that is admitted, in thousandths.
        admit_permille: u16,
    },
    /// The account is over its share; this request is refused.
    Refused {
        /// Share of its requests that is admitted, in thousandths.
        admit_permille: u16,
    },
}

/// The limits of one pool as an entry host knows them.
#[derive(Debug)]
pub struct HostLimits<R> {
    permilles: BTreeMap<(R, AccountKey), u16>,
    applied: Option<Instant>,
}

impl<R: Copy + Ord> Default for HostLimits<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R: Copy + Ord> HostLimits<R> {
    /// Creates limits that admit everything.
    pub fn new() -> Self {
        Self {
            permilles: BTreeMap::new(),
            applied: None,
        }
    }

    /// Replaces the limits. An empty list keeps those before until they expire: it may come from a new
    /// coordinator, which knows no demand at first.
    pub fn apply(&mut self, limits: Vec<AccountLimit<R>>, now: Instant) {
        if limits.is_empty() {
            return;
        }
        let limits = limits.into_iter();
        self.permilles = limits
            .map(|limit| ((limit.rank, limit.account), limit.admit_permille))
            .collect();
        self.applied = Some(now);
    }

    /// Decides on a request of an account. `draw` is uniform in [0, 1).
    pub fn decide(&self, rank: R, account: AccountKey, draw: f64, now: Instant) -> ShareDecision {
        let Some(admit_permille) = self.permille(rank, account, now) else {
            return ShareDecision::Unlimited;
        };
        if admit_permille >= UNLIMITED_PERMILLE {
            ShareDecision::Unlimited
        } else if draw * f64::from(UNLIMITED_PERMILLE) < f64::from(admit_permille) {
            ShareDecision::Admitted { admit_permille }
        } else {
            ShareDecision::Refused { admit_permille }
        }
    }

    /// Returns whether limits apply.
    pub fn are_valid(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < LIMITS_VALIDITY;
        self.applied.is_some_and(is_recent)
    }

    /// Returns the accounts that the limits list, once for each of their ranks; none if they have
    /// expired.
    pub fn accounts(&self, now: Instant) -> impl Iterator<Item = AccountKey> {
        let valid = self.are_valid(now).then_some(&self.permilles);
        valid
            .into_iter()
            .flat_map(|limits| limits.keys().map(|(_, account)| *account))
    }

    // An account that is not listed has no record at the coordinator and shares the limit of
    // `OTHERS`, if there is one.
    fn permille(&self, rank: R, account: AccountKey, now: Instant) -> Option<u16> {
        if !self.are_valid(now) {
            return None;
        }
        let own = self.permilles.get(&(rank, account));
        own.or_else(|| self.permilles.get(&(rank, AccountKey::OTHERS)))
            .copied()
    }
}
