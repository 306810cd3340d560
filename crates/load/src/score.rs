//! What a run was worth: attainment, and cost by stage.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::Scenario;
use crate::arrival::ACCOUNT_SHARES;
use crate::driver::{CallerOutcome, SentRequest};

/// The figures of one run.
#[derive(Debug, Clone, Default)]
pub struct RunScore {
    /// Requests of the measured time.
    pub sent: usize,
    /// Share answered whole within the deadline.
    pub attainment: f64,
    /// The same over the accounts that did not ask for more than their share.
    pub attainment_without_burst: f64,
    /// The same for the account that fared worst among those.
    pub worst_account: f64,
    /// Jain's index of the accounts' attainment.
    pub fairness: f64,
    /// Shares refused, late, and failed.
    pub refused: f64,
    /// Share late.
    pub late: f64,
    /// Share failed.
    pub failed: f64,
    /// Whole answers a second within the deadline.
    pub goodput_per_s: f64,
    /// Target-seconds in all, and those spent on requests that were not answered in time.
    pub cost_s: f64,
    /// Target-seconds spent on requests that were not answered in time.
    pub wasted_s: f64,
    /// Target-seconds by stage.
    pub stage_cost: BTreeMap<&'static str, f64>,
    /// The time of whole answers, in milliseconds: half and 99 of 100 below.
    pub p50_ms: f64,
    /// 99 of 100 below.
    pub p99_ms: f64,
    /// Errors by code and step.
    pub errors: BTreeMap<String, usize>,
    /// The longest time in which a refusal came, in milliseconds.
    pub refusal_p99_ms: f64,
}

/// Returns Jain's index of fairness: 1 where all are equal, 1/n where one has all.
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Scores the requests that arrived after the warm time.
pub(crate) fn score_run(
    scenario: &Scenario,
    sent: &[SentRequest],
    spent: &[(&'static str, String, u64)],
    warm: Duration,
    measured: Duration,
) -> RunScore {
    let counted: Vec<&SentRequest> = sent.iter().filter(|one| one.arrival.at >= warm).collect();
    let share = |outcome: CallerOutcome| ratio(&counted, |one| one.outcome == outcome);
    let whole = |one: &SentRequest| one.outcome == CallerOutcome::Complete;
    let bursting = scenario.burst.map(|(account, _)| account);
    let by_account: Vec<f64> = (0..ACCOUNT_SHARES.len())
        .filter(|account| Some(*account) != bursting)
        .map(|account| {
            let own: Vec<_> = counted
                .iter()
                .filter(|one| one.arrival.account == account)
                .copied()
                .collect();
            ratio(&own, whole)
        })
        .collect();
    let behaving: Vec<_> = counted
        .iter()
        .filter(|one| Some(one.arrival.account) != bursting)
        .copied()
        .collect();
    let wholes = counted.iter().filter(|one| whole(one)).count();
    let mut score = RunScore {
        sent: counted.len(),
        attainment: ratio(&counted, whole),
        attainment_without_burst: ratio(&behaving, whole),
        worst_account: by_account.iter().copied().fold(1.0, f64::min),
        fairness: jain_index(&by_account),
        refused: share(CallerOutcome::Refused),
        late: share(CallerOutcome::Late),
        failed: share(CallerOutcome::Failed),
        goodput_per_s: wholes as f64 / measured.as_secs_f64(),
        ..RunScore::default()
    };
    for one in counted.iter().filter(|one| !one.detail.is_empty()) {
        *score.errors.entry(one.detail.clone()).or_default() += 1;
    }
    add_costs(&mut score, &counted, spent);
    add_times(&mut score, &counted);
    score
}

fn ratio(of: &[&SentRequest], holds: impl Fn(&SentRequest) -> bool) -> f64 {
    if of.is_empty() {
        return 1.0;
    }
    of.iter().filter(|one| holds(one)).count() as f64 / of.len() as f64
}

fn add_costs(
    score: &mut RunScore,
    counted: &[&SentRequest],
    spent: &[(&'static str, String, u64)],
) {
    let all: HashSet<&str> = counted
        .iter()
        .map(|one| one.arrival.marker.as_str())
        .collect();
    let in_time: HashSet<&str> = counted
        .iter()
        .filter(|one| one.outcome == CallerOutcome::Complete)
        .map(|one| one.arrival.marker.as_str())
        .collect();
    for (stage, marker, micros) in spent {
        if !all.contains(marker.as_str()) {
            continue;
        }
        let seconds = *micros as f64 / 1e6;
        score.cost_s += seconds;
        *score.stage_cost.entry(*stage).or_default() += seconds;
        if !in_time.contains(marker.as_str()) {
            score.wasted_s += seconds;
        }
    }
}

fn add_times(score: &mut RunScore, counted: &[&SentRequest]) {
    let quantile = |outcome: CallerOutcome, at: f64| {
        let Ok(mut times) = Histogram::<u64>::new(3) else {
            return 0.0;
        };
        for one in counted.iter().filter(|one| one.outcome == outcome) {
            // The histogram grows as it needs to, so recording cannot fail.
            let _ = times.record(one.elapsed.as_micros() as u64);
        }
        times.value_at_quantile(at) as f64 / 1_000.0
    };
    score.p50_ms = quantile(CallerOutcome::Complete, 0.5);
    score.p99_ms = quantile(CallerOutcome::Complete, 0.99);
    score.refusal_p99_ms = quantile(CallerOutcome::Refused, 0.99);
}
