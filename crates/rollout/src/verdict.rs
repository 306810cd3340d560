//! How strongly the counts speak against a version.
//!
//! For each route, and for all together, two things are tested: whether more answers fail than those of the former
//! versions do, and whether more of them are late by the times of those. Each test bets against the tested version
//! at several rates and keeps the mean of its wins; under the assumption that the version is no worse, the chance
//! that this mean ever reaches w is 1/w at most, however often it is looked at. So the counts may be judged with
//! each report, and there is no least number of answers to wait for.

use std::collections::BTreeMap;

use crate::{RolloutCause, RolloutTotals, RouteCounts, VersionCounts};

/// The rates at which is bet: each tests against an error share that is about so much higher.
const BET_SIZES: [f64; 4] = [0.03, 0.1, 0.3, 0.7];

/// Shares of the former versions' times that count as late, one test each.
const TAIL_SHARES: [f64; 3] = [0.5, 0.2, 0.05];

/// Spans by which the tested version's times may be longer: one is a factor of 1.41. Its targets may have started
/// lately and hold little.
const BUCKET_SLACK: usize = 1;

/// Answers of former versions in a phase that are enough to compare with.
const MIN_FORMER_RESPONSES: u64 = 20;

/// The error share that is assumed where nothing is known of former versions.
const DEFAULT_BAD_SHARE: f64 = 0.2;

/// The least error share that is assumed of former versions: fewer errors cannot be told from none.
const MIN_BAD_SHARE: f64 = 0.005;

/// By how many deviations a share that was counted may be too low.
const CONFIDENCE_DEVIATIONS: f64 = 1.64;

/// The name of all routes together.
const ALL_ROUTES: &str = "*";

/// What the counts say.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutVerdict {
    /// The natural logarithm of the mean win of all tests; above 0 speaks against the version.
    pub against: f64,
    /// What speaks against it most.
    pub cause: RolloutCause,
}

/// The wins of one test in one phase, as logarithms, by rate.
#[derive(Clone, Copy)]
struct LogGains([f64; BET_SIZES.len()]);

impl LogGains {
    /// Returns the wins with so many bad answers of all, where a part of them is expected to be bad.
    fn new(bad: u64, all: u64, expected: f64) -> Self {
        let good = all.saturating_sub(bad);
        Self(BET_SIZES.map(|bet| {
            let won = (1.0 + bet * (1.0 / expected - 1.0)).ln();
            let lost = (1.0 - bet).ln();
            bad as f64 * won + good as f64 * lost
        }))
    }
}

/// Returns the mean win over the rates, and over the phases in which the betting may begin: a version may have turned
/// bad after many good answers.
fn log_mean_gain(phases: impl DoubleEndedIterator<Item = LogGains>) -> f64 {
    let mut sums = [0.0; BET_SIZES.len()];
    let mut logs = vec![0.0];
    for gains in phases.rev() {
        for (sum, win) in sums.iter_mut().zip(gains.0) {
            *sum += win;
        }
        logs.extend(sums);
    }
    log_mean(&logs)
}

fn log_mean(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - most).exp()).sum();
    most + (sum / logs.len() as f64).ln()
}

/// Returns the bound of a share that was counted, so many deviations away from it.
fn share_bound(bad: u64, all: u64, deviations: f64) -> f64 {
    let (n, squared) = (all as f64, deviations * deviations);
    let share = bad as f64 / n;
    let middle = share + squared / (2.0 * n);
    let spread = deviations * (share * (1.0 - share) / n + squared / (4.0 * n * n)).sqrt();
    (middle + spread) / (1.0 + squared / n)
}

/// Returns a share that is hardly too low for what was counted.
fn upper_share(bad: u64, all: u64) -> f64 {
    if all == 0 {
        return DEFAULT_BAD_SHARE;
    }
    share_bound(bad, all, CONFIDENCE_DEVIATIONS).clamp(MIN_BAD_SHARE, 0.99)
}

/// Judges the version that is rolled out.
pub fn evaluate_rollout(totals: &RolloutTotals) -> RolloutVerdict {
    let routes = by_route(totals);
    let mut logs = Vec::new();
    let mut worst = (f64::NEG_INFINITY, RolloutCause::Evidence);
    for (route, phases) in &routes {
        let failures = failure_gains(phases);
        let slowness = TAIL_SHARES.map(|part| slowness_gains(phases, part));
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
        against: if logs.is_empty() {
            0.0
        } else {
            log_mean(&logs)
        },
        cause: worst.1,
    }
}

/// Returns the counts of each route by phase, and of all together.
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

/// Returns the share of bad answers that is expected of a version that is no worse: what was counted of the former
/// ones in all phases, unless they clearly were worse in this one.
fn expected_share((bad, all): (u64, u64), (whole_bad, total): (u64, u64)) -> f64 {
    let usual = upper_share(whole_bad, total);
    let is_worse =
        all >= MIN_FORMER_RESPONSES && share_bound(bad, all, -CONFIDENCE_DEVIATIONS) > usual;
    if is_worse {
        upper_share(bad, all)
    } else {
        usual
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

fn slowness_gains(phases: &[RouteCounts], part: f64) -> f64 {
    let total = former_totals(phases).times;
    if total.total() < MIN_FORMER_RESPONSES {
        return 0.0;
    }
    let bucket = total.tail_bucket(part);
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
