//! Tests how strongly the counts speak against a version.
//!
//! For each route, and for all routes together, two hypotheses are tested: that its responses fail
//! more often than those of the former versions, and that they are slow more often. Each test bets
//! against the tested version at several bet sizes and averages the gains (a test martingale). If
//! the version is no worse, the probability that this mean ever reaches w is at most 1/w, however
//! often it is checked. So the counts can be evaluated with each report, without a minimum number
//! of responses.

use std::collections::BTreeMap;

use crate::{RolloutCause, RolloutTotals, RouteCounts, VersionCounts};

/// Bet sizes; each one tests against a failure share that is higher by about that amount.
const BET_SIZES: [f64; 4] = [0.03, 0.1, 0.3, 0.7];

/// Shares of the responses of former versions, taken from the slowest, that define which times are
/// slow; there is one test for each share.
const TAIL_SHARES: [f64; 3] = [0.5, 0.2, 0.05];

/// Number of buckets by which times of the tested version may be longer; one bucket is a factor of
/// 1.41. The targets of that version may have started recently, with little cached.
const BUCKET_SLACK: usize = 1;

/// Minimum number of responses of former versions to compare against.
const MIN_FORMER_RESPONSES: u64 = 20;

/// Failure share that is assumed if there are no counts of former versions.
const DEFAULT_BAD_SHARE: f64 = 0.2;

/// Minimum failure share that is assumed of former versions: lower shares cannot be distinguished
/// from zero.
const MIN_BAD_SHARE: f64 = 0.005;

/// Number of standard deviations of the confidence bound on a counted share.
const CONFIDENCE_DEVIATIONS: f64 = 1.64;

/// Route name that stands for all routes together.
const ALL_ROUTES: &str = "*";

/// The evaluation of the counts.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutVerdict {
    /// Natural logarithm of the mean gain of all tests; a value above 0 speaks against the version.
    pub log_gain: f64,
    /// The strongest evidence against the version.
    pub cause: RolloutCause,
}

/// Logarithms of the gains of one test in one phase, by bet size.
#[derive(Clone, Copy)]
struct LogGains([f64; BET_SIZES.len()]);

impl LogGains {
    /// Returns the gains for `bad` of `all` responses if the share `expected` of them is expected
    /// to be bad.
    fn new(bad: u64, all: u64, expected: f64) -> Self {
        let good = all.saturating_sub(bad);
        Self(BET_SIZES.map(|size| {
            let gain = (1.0 + size * (1.0 / expected - 1.0)).ln();
            let loss = (1.0 - size).ln();
            bad as f64 * gain + good as f64 * loss
        }))
    }
}

/// Returns the logarithm of the mean gain over the bet sizes and over the phases in which betting
/// may start: a version may turn bad after many good responses.
fn log_mean_gain(phases: impl DoubleEndedIterator<Item = LogGains>) -> f64 {
    let mut sums = [0.0; BET_SIZES.len()];
    let mut logs = vec![0.0];
    for gains in phases.rev() {
        for (sum, gain) in sums.iter_mut().zip(gains.0) {
            *sum += gain;
        }
        logs.extend(sums);
    }
    log_mean(&logs)
}

fn log_mean(logs: &[f64]) -> f64 {
    let max = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - max).exp()).sum();
    max + (sum / logs.len() as f64).ln()
}

/// Returns the Wilson confidence bound of a counted share at a number of standard deviations.
fn share_bound(bad: u64, all: u64, deviations: f64) -> f64 {
    let (n, squared) = (all as f64, deviations * deviations);
    let share = bad as f64 / n;
    let center = share + squared / (2.0 * n);
    let spread = deviations * (share * (1.0 - share) / n + squared / (4.0 * n * n)).sqrt();
    (center + spread) / (1.0 + squared / n)
}

/// Returns an upper confidence bound of a counted share.
fn upper_share(bad: u64, all: u64) -> f64 {
    if all == 0 {
        return DEFAULT_BAD_SHARE;
    }
    share_bound(bad, all, CONFIDENCE_DEVIATIONS).clamp(MIN_BAD_SHARE, 0.99)
}

/// Evaluates the version that is rolled out.
pub fn evaluate_rollout(totals: &RolloutTotals) -> RolloutVerdict {
    let routes = by_route(totals);
    let mut logs = Vec::new();
    let mut worst = (f64::NEG_INFINITY, RolloutCause::Evidence);
    for (route, phases) in &routes {
        let failures = failure_gains(phases);
        let slowness = TAIL_SHARES.map(|share| slowness_gains(phases, share));
        if failures > worst.0 {
            worst = (failures, RolloutCause::Failures(route.clone()));
        }
        for late in slowness {
            if late > worst.0 {
                worst = (late, RolloutCause::Slowness(route.clone()));
            }
            logs.push(late);
        }
        logs.push(failures);
    }
    RolloutVerdict {
        log_gain: if logs.is_empty() {
            0.0
        } else {
            log_mean(&logs)
        },
        cause: worst.1,
    }
}

/// Returns the counts by phase for each route and for all routes together.
fn by_route(totals: &RolloutTotals) -> BTreeMap<String, Vec<RouteCounts>> {
    let mut routes: BTreeMap<String, Vec<RouteCounts>> = BTreeMap::new();
    for phase in totals.phases.values() {
        let mut all = RouteCounts::default();
        for (route, counts) in phase {
            all.add(counts);
            routes
                .entry(route.clone())
                .or_default()
                .push(counts.clone());
        }
        routes.entry(ALL_ROUTES.to_owned()).or_default().push(all);
    }
    routes
}

/// Returns the share of bad responses to expect of a version that is no worse: that of the former
/// versions over all phases, unless they were clearly worse in this phase.
fn expected_share((bad, all): (u64, u64), (total_bad, total): (u64, u64)) -> f64 {
    let overall = upper_share(total_bad, total);
    let is_worse =
        all >= MIN_FORMER_RESPONSES && share_bound(bad, all, -CONFIDENCE_DEVIATIONS) > overall;
    if is_worse {
        upper_share(bad, all)
    } else {
        overall
    }
}

fn former_totals(phases: &[RouteCounts]) -> VersionCounts {
    let mut total = VersionCounts::default();
    phases.iter().for_each(|phase| total.add(&phase.former));
    total
}

fn failure_gains(phases: &[RouteCounts]) -> f64 {
    let total = former_totals(phases);
    let gains = phases.iter().map(|phase| {
        let former = (phase.former.failures, phase.former.responses);
        let expected = expected_share(former, (total.failures, total.responses));
        LogGains::new(phase.tested.failures, phase.tested.responses, expected)
    });
    log_mean_gain(gains)
}

fn slowness_gains(phases: &[RouteCounts], share: f64) -> f64 {
    let total = former_totals(phases).times;
    if total.total() < MIN_FORMER_RESPONSES {
        return 0.0;
    }
    let bucket = total.tail_bucket(share);
    let gains = phases.iter().map(|phase| {
        let (former, tested) = (&phase.former.times, &phase.tested.times);
        let of_phase = (former.count_from(bucket), former.total());
        let expected = expected_share(of_phase, (total.count_from(bucket), total.total()));
        LogGains::new(
            tested.count_from(bucket + BUCKET_SLACK),
            tested.total(),
            expected,
        )
    });
    log_mean_gain(gains)
}

#[cfg(test)]
mod tests;
