//! Compares failure counts that are too small for the verdict.
//!
//! The verdict is checked with each report, so it needs strong evidence. The decision at the end of
//! a roll-out is made once, and a single exact test has more power with few responses.

use crate::RolloutTotals;

/// Number of responses of a version from which the verdict alone decides.
const FEW_RESPONSES: u64 = 60;

/// Probability that a version that is no worse than the former ones is found to fail more often.
const SIGNIFICANCE: f64 = 0.01;

/// Returns whether a version with few responses failed more often than the former versions.
pub(crate) fn fails_more_often(totals: &RolloutTotals) -> bool {
    let (tested, former) = totals.responses();
    let (tested_failures, former_failures) = totals.failures();
    if tested >= FEW_RESPONSES {
        return false;
    }
    let failures = tested_failures + former_failures;
    tail_probability(tested, tested_failures, tested + former, failures) <= SIGNIFICANCE
}

/// Returns the probability that a random sample of `drawn` out of `all` responses holds `seen` or
/// more of the `failures` among all (Fisher's exact test, one-sided).
fn tail_probability(drawn: u64, seen: u64, all: u64, failures: u64) -> f64 {
    let total = ln_choose(all, drawn);
    let terms = (seen..=drawn.min(failures)).filter(|bad| drawn - bad <= all - failures);
    let terms = terms.map(|bad| ln_choose(failures, bad) + ln_choose(all - failures, drawn - bad));
    terms.map(|term| (term - total).exp()).sum()
}

/// Returns the logarithm of the number of ways to choose `chosen` of `count` items.
fn ln_choose(count: u64, chosen: u64) -> f64 {
    let smaller = chosen.min(count - chosen);
    let factors = (1..=smaller).map(|step| (count - smaller + step) as f64 / step as f64);
    factors.map(f64::ln).sum()
}

#[cfg(test)]
mod tests;
