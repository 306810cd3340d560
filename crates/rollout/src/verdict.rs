//! How strongly the counts speak against a version.
//!
//! For each route, and for all together, two things are tested: whether more answers fail than those of the former
//! versions do, and whether more of them are late by the times of those. Each test bets against the tested version
//! at several rates and keeps the mean of its wins; under the assumption that the version is no worse, the chance
//! that this mean ever reaches w is 1/w at most, however often it is looked at. So the counts may be judged with
//! each report, and there is no least number of answers to wait for.

use std::collections::BTreeMap;

use crate::{RolloutCause, RolloutSums, RouteCounts, VersionCounts};

/// The rates at which is bet: each tests against an error share that is about so much higher.
const BETS: [f64; 4] = [0.03, 0.1, 0.3, 0.7];

/// Shares of the former versions' times that count as late, one test each.
const LATE_PARTS: [f64; 3] = [0.5, 0.2, 0.05];

/// Spans by which the tested version's times may be longer: one is a factor of 1.41. Its targets may have started
/// lately and hold little.
const TIME_SLACK: usize = 1;

/// Answers of former versions in a phase that are enough to compare with.
const LEAST_FORMER: u64 = 20;

/// The error share that is assumed where nothing is known of former versions.
const UNKNOWN_SHARE: f64 = 0.2;

/// The least error share that is assumed of former versions: fewer errors cannot be told from none.
const LEAST_SHARE: f64 = 0.005;

/// By how many deviations a share that was counted may be too low.
const DEVIATIONS: f64 = 1.64;

/// The name of all routes together.
const ALL_ROUTES: &str = "*";

/// What the counts say.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// The natural logarithm of the mean win of all tests; above 0 speaks against the version.
    pub against: f64,
    /// What speaks against it most.
    pub cause: RolloutCause,
}

/// The wins of one test in one phase, as logarithms, by rate.
#[derive(Clone, Copy)]
struct Wins([f64; BETS.len()]);

impl Wins {
    /// Returns the wins with so many bad answers of all, where a part of them is expected to be bad.
    fn of(bad: u64, all: u64, expected: f64) -> Self {
        let good = all.saturating_sub(bad);
        Self(BETS.map(|bet| {
            let won = (1.0 + bet * (1.0 / expected - 1.0)).ln();
            let lost = (1.0 - bet).ln();
            bad as f64 * won + good as f64 * lost
        }))
    }
}

/// Returns the mean win over the rates, and over the phases in which the betting may begin: a version may have turned
/// bad after many good answers.
fn mean_win(phases: impl DoubleEndedIterator<Item = Wins>) -> f64 {
    let mut sums = [0.0; BETS.len()];
    let mut logs = vec![0.0];
    for wins in phases.rev() {
        for (sum, win) in sums.iter_mut().zip(wins.0) {
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
        return UNKNOWN_SHARE;
    }
    share_bound(bad, all, DEVIATIONS).clamp(LEAST_SHARE, 0.99)
}

/// Judges the version that is rolled out.
pub fn judge(sums: &RolloutSums) -> Verdict {
    let routes = by_route(sums);
    let mut logs = Vec::new();
    let mut worst = (f64::NEG_INFINITY, RolloutCause::Evidence);
    for (route, phases) in &routes {
        let failures = failure_wins(phases);
        let slowness = LATE_PARTS.map(|part| late_wins(phases, part));
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
    Verdict {
        against: if logs.is_empty() {
            0.0
        } else {
            log_mean(&logs)
        },
        cause: worst.1,
    }
}

/// Returns the counts of each route by phase, and of all together.
fn by_route(sums: &RolloutSums) -> BTreeMap<String, Vec<RouteCounts>> {
    let mut routes: BTreeMap<String, Vec<RouteCounts>> = BTreeMap::new();
    for phase in sums.phases.values() {
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
fn expected_share((bad, all): (u64, u64), (whole_bad, whole): (u64, u64)) -> f64 {
    let usual = upper_share(whole_bad, whole);
    let is_worse = all >= LEAST_FORMER && share_bound(bad, all, -DEVIATIONS) > usual;
    if is_worse {
        upper_share(bad, all)
    } else {
        usual
    }
}

fn whole_former(phases: &[RouteCounts]) -> VersionCounts {
    let mut whole = VersionCounts::default();
    phases.iter().for_each(|phase| whole.add(&phase.former));
    whole
}

fn failure_wins(phases: &[RouteCounts]) -> f64 {
    let whole = whole_former(phases);
    let wins = phases.iter().map(|phase| {
        let former = (phase.former.failures, phase.former.answers);
        let expected = expected_share(former, (whole.failures, whole.answers));
        Wins::of(phase.tested.failures, phase.tested.answers, expected)
    });
    mean_win(wins)
}

fn late_wins(phases: &[RouteCounts], part: f64) -> f64 {
    let whole = whole_former(phases).times;
    if whole.total() < LEAST_FORMER {
        return 0.0;
    }
    let span = whole.span_of(part);
    let wins = phases.iter().map(|phase| {
        let (former, tested) = (&phase.former.times, &phase.tested.times);
        let of_phase = (former.above(span), former.total());
        let expected = expected_share(of_phase, (whole.above(span), whole.total()));
        Wins::of(tested.above(span + TIME_SLACK), tested.total(), expected)
    });
    mean_win(wins)
}

#[cfg(test)]
mod tests;
