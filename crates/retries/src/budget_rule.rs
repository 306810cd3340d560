//! The limits of a retry budget.

use std::time::Duration;

/// The limits of the budget: over all hosts, each service gets in any window at most `ratio` times
/// its requests plus `slack` retries. The requests are those of the window itself or of the one
/// before it, whichever has more.
#[derive(Debug, Clone, Copy)]
pub struct BudgetRule {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that share, in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}
