//! Limits retries to a share of recent successes.

use std::collections::HashMap;

/// The retries added to a budget by one success.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// The maximum and initial number of retries in a budget.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The number of budgets at which all of them are reset to their initial value, which costs each at
/// most its saved retries.
const MAX_BUDGETS: usize = 50_000;

/// Retry budgets, one for each account and pool.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: HashMap<(u32, u32), f64>,
}

impl RetryBudget {
    /// Creates budgets that start at their maximum.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a success, which adds a fraction of a retry to the budget.
    pub fn record_success(&mut self, account: u32, pool: u32) {
        if let Some(saved) = self.saved.get_mut(&(account, pool)) {
            *saved = (*saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
        }
    }

    /// Takes a retry from the budget. Returns false if less than one retry is left.
    pub fn try_take_retry(&mut self, account: u32, pool: u32) -> bool {
        if self.saved.len() >= MAX_BUDGETS {
            self.saved.clear();
        }
        let saved = self
            .saved
            .entry((account, pool))
            .or_insert(MAX_SAVED_RETRIES);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
