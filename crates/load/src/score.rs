//! Scores a run: the share of requests answered in time, and the target time spent by stage.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::Scenario;
use crate::arrival::ACCOUNT_SHARES;
use crate::driver::{CallerOutcome, SentRequest};

/// The results of one run.
#[derive(Debug, Clone, Default)]
pub struct RunScore {
    /// The number of requests sent in the measured time.
    pub sent: usize,
    /// The share of requests with a complete response within the deadline.
    pub attainment: f64,
    /// The attainment over all accounts except the one that bursts.
    pub attainment_without_burst: f64,
    /// The lowest attainment of these accounts.
    pub worst_account: f64,
    /// Jain's index of the attainment of these accounts.
    pub fairness: f64,
    /// The share of requests that were refused.
    pub refused: f64,
    /// The share of requests with a complete response after the deadline.
    pub late: f64,
    /// The share of requests that failed.
    pub failed: f64,
    /// Complete responses within the deadline, per second.
    pub goodput_per_s: f64,
    /// Target time spent on all counted requests, in seconds.
    pub cost_s: f64,
    /// Target time spent on requests without a complete response in time, in seconds.
    pub wasted_s: f64,
    /// Target time by stage, in seconds.
    pub stage_cost_s: BTreeMap<&'static str, f64>,
    /// The median duration of complete responses in time, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the duration of complete responses in time, in milliseconds.
    pub p99_ms: f64,
    /// The number of errors by code and step.
    pub errors: BTreeMap<String, usize>,
    /// The 99th percentile of the time until a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
}

/// Returns Jain's fairness index: 1 if all shares are equal, 1/n if one of n has everything.
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Scores the requests that were sent after the warm-up. `run_times` has the stage, marker and
/// microseconds of each run at a target.
pub(crate) fn score_run(
    scenario: &Scenario,
    sent: &[SentRequest],
    run_times: &[(&'static str, String, u64)],
    warm_up: Duration,
    measured: Duration,
) -> RunScore {
    let counted: Vec<&SentRequest> = sent
        .iter()
        .filter(|request| request.arrival.at >= warm_up)
        .collect();
    let share = |outcome: CallerOutcome| ratio(&counted, |request| request.outcome == outcome);
    let is_complete = |request: &SentRequest| request.outcome == CallerOutcome::Complete;
    let bursting = scenario.burst.map(|(account, _)| account);
    let by_account: Vec<f64> = (0..ACCOUNT_SHARES.len())
        .filter(|account| Some(*account) != bursting)
        .map(|account| {
            let own: Vec<_> = counted
                .iter()
                .filter(|request| request.arrival.account == account)
                .copied()
                .collect();
            ratio(&own, is_complete)
        })
        .collect();
    let without_burst: Vec<_> = counted
        .iter()
        .filter(|request| Some(request.arrival.account) != bursting)
        .copied()
        .collect();
    let completed = counted
        .iter()
        .filter(|request| is_complete(request))
        .count();
    let mut score = RunScore {
        sent: counted.len(),
        attainment: ratio(&counted, is_complete),
        attainment_without_burst: ratio(&without_burst, is_complete),
        worst_account: by_account.iter().copied().fold(1.0, f64::min),
        fairness: jain_index(&by_account),
        refused: share(CallerOutcome::Refused),
        late: share(CallerOutcome::Late),
        failed: share(CallerOutcome::Failed),
        goodput_per_s: completed as f64 / measured.as_secs_f64(),
        ..RunScore::default()
    };
    for request in counted.iter().filter(|request| !request.detail.is_empty()) {
        *score.errors.entry(request.detail.clone()).or_default() += 1;
    }
    add_costs(&mut score, &counted, run_times);
    add_durations(&mut score, &counted);
    score
}

fn ratio(requests: &[&SentRequest], matches: impl Fn(&SentRequest) -> bool) -> f64 {
    if requests.is_empty() {
        return 1.0;
    }
    requests.iter().filter(|request| matches(request)).count() as f64 / requests.len() as f64
}

fn add_costs(
    score: &mut RunScore,
    counted: &[&SentRequest],
    run_times: &[(&'static str, String, u64)],
) {
    let all: HashSet<&str> = counted
        .iter()
        .map(|request| request.arrival.marker.as_str())
        .collect();
    let in_time: HashSet<&str> = counted
        .iter()
        .filter(|request| request.outcome == CallerOutcome::Complete)
        .map(|request| request.arrival.marker.as_str())
        .collect();
    for (stage, marker, micros) in run_times {
        if !all.contains(marker.as_str()) {
            continue;
        }
        let seconds = *micros as f64 / 1e6;
        score.cost_s += seconds;
        *score.stage_cost_s.entry(*stage).or_default() += seconds;
        if !in_time.contains(marker.as_str()) {
            score.wasted_s += seconds;
        }
    }
}

fn add_durations(score: &mut RunScore, counted: &[&SentRequest]) {
    let quantile_ms = |outcome: CallerOutcome, quantile: f64| {
        let Ok(mut durations) = Histogram::<u64>::new(3) else {
            return 0.0;
        };
        for request in counted.iter().filter(|request| request.outcome == outcome) {
            // The histogram resizes automatically, so recording does not fail.
            let _ = durations.record(request.elapsed.as_micros() as u64);
        }
        durations.value_at_quantile(quantile) as f64 / 1_000.0
    };
    score.p50_ms = quantile_ms(CallerOutcome::Complete, 0.5);
    score.p99_ms = quantile_ms(CallerOutcome::Complete, 0.99);
    score.refusal_p99_ms = quantile_ms(CallerOutcome::Refused, 0.99);
}
