//! Bounds retries to a share of recent successes.

use std::collections::HashMap;

/// What one success earns.
const EARNED_BY_SUCCESS: f64 = 0.1;

/// The most retries that can be saved up, and what a new budget starts with.
const MOST_SAVED: f64 = 10.0;

/// Budgets that are kept; past it all start anew, which costs each at most its savings.
const KEPT_BUDGETS: usize = 50_000;

/// Budgets of retries, one for each account and pool.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: HashMap<(u32, u32), f64>,
}

impl RetryBudget {
    /// Creates budgets that all start full.
    pub fn new() -> Self {
        Self::default()
    }

    /// Earns a share of a retry by a success.
    pub fn earn(&mut self, account: u32, pool: u32) {
        if let Some(saved) = self.saved.get_mut(&(account, pool)) {
            *saved = (*saved + EARNED_BY_SUCCESS).min(MOST_SAVED);
        }
    }

    /// Spends a retry; false when the budget does not hold one.
    pub fn spend(&mut self, account: u32, pool: u32) -> bool {
        if self.saved.len() >= KEPT_BUDGETS {
            self.saved.clear();
        }
        let saved = self.saved.entry((account, pool)).or_insert(MOST_SAVED);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
