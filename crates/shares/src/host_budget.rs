//! Bounds what one entry host can report, and recognizes lost and repeated reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Hosts with a budget of their own; several times the largest deployment.
const MAX_HOSTS: usize = 4_096;

/// Budgets without a report for this long are full again and are removed.
const BUDGET_IDLE: Duration = Duration::from_secs(2);

/// What a host may report, as a multiple of the capacity. A burst of ten times the rate of the
/// largest account through one host fits.
const CAPACITY_MULTIPLE: f64 = 4.0;

/// What a host may report at once, in seconds of the capacity; four report intervals.
const BURST_SECONDS: f64 = 1.0;

/// A report that is older than the newest one by less than this is repeated or out of order; by
/// more, its host has restarted.
const RECENT_REPORTS: u32 = 64;

/// The most reports in a row that the next one stands for, if they were lost; 1 s.
const MAX_LOST: u32 = 3;

/// The capacity for budgets while none is known, in pieces per second.
const UNKNOWN_CAPACITY: f64 = 1e6;

#[derive(Debug)]
struct ReportBudget {
    pieces: f64,
    sequence: u32,
    refilled: Instant,
}

/// How a report counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportWeight {
    /// Reports that it stands for: zero if it is a repeated one, more than one after lost ones.
    pub copies: f64,
    /// The part of its pieces that is within the budget of its host.
    pub part: f64,
}

/// The budgets of all hosts.
#[derive(Debug, Default)]
pub(crate) struct HostBudgets {
    budgets: BTreeMap<u64, ReportBudget>,
    cleaned: Option<Instant>,
}

impl HostBudgets {
    /// Takes a report of `total` pieces from the budget of a host. `None` if there are too many
    /// hosts.
    pub fn take(
        &mut self,
        host: u64,
        sequence: u32,
        total: f64,
        capacity: Option<f64>,
        now: Instant,
    ) -> Option<ReportWeight> {
        let capacity = capacity.unwrap_or(UNKNOWN_CAPACITY);
        let most = capacity * BURST_SECONDS;
        if !self.budgets.contains_key(&host) && !self.has_room(now) {
            return None;
        }
        let budget = self.budgets.entry(host).or_insert(ReportBudget {
            pieces: most,
            sequence: sequence.wrapping_sub(1),
            refilled: now,
        });
        let copies = copies_of(budget.sequence, sequence);
        if copies > 0.0 {
            budget.sequence = sequence;
        }
        let elapsed = now.saturating_duration_since(budget.refilled).as_secs_f64();
        budget.pieces = (budget.pieces + capacity * CAPACITY_MULTIPLE * elapsed).min(most);
        budget.refilled = now;
        let total = total * copies;
        let taken = total.min(budget.pieces);
        budget.pieces -= taken;
        let part = if total > 0.0 { taken / total } else { 1.0 };
        Some(ReportWeight { copies, part })
    }

    // Idle budgets are removed at most once per idle time, since unknown hosts can be many.
    fn has_room(&mut self, now: Instant) -> bool {
        let is_recent = |then: Instant| now.saturating_duration_since(then) < BUDGET_IDLE;
        if self.budgets.len() >= MAX_HOSTS && !self.cleaned.is_some_and(is_recent) {
            self.budgets.retain(|_, budget| is_recent(budget.refilled));
            self.cleaned = Some(now);
        }
        self.budgets.len() < MAX_HOSTS
    }
}

/// Returns how many reports a report stands for.
fn copies_of(newest: u32, sequence: u32) -> f64 {
    if newest.wrapping_sub(sequence) < RECENT_REPORTS {
        return 0.0;
    }
    let lost = sequence.wrapping_sub(newest).saturating_sub(1);
    if lost < RECENT_REPORTS {
        f64::from(lost.min(MAX_LOST)) + 1.0
    } else {
        1.0
    }
}
