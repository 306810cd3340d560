//! Generates the requests of a run: seeded Poisson arrivals, identical for every policy.

use std::time::Duration;

use crate::Scenario;

/// Shares of the load by account: few large accounts and some small ones, as the two users of the
/// project have them.
pub(crate) const ACCOUNT_SHARES: [f64; 5] = [0.40, 0.25, 0.15, 0.12, 0.08];

/// Weights of the accounts in the table.
pub(crate) const ACCOUNT_WEIGHTS: [u32; 5] = [40, 25, 15, 12, 8];

/// The fraction of requests that go to the retrieval pipeline, which has no generation stage.
const SEARCH_SHARE: f64 = 0.15;

/// The deadline of all pipelines other than `report`.
pub(crate) const DEFAULT_DEADLINE_MS: u64 = 2_000;
/// The deadline of the pipeline `report`.
pub(crate) const REPORT_DEADLINE_MS: u64 = 8_000;

/// The number of tokens of a response of all pipelines other than `report`.
pub(crate) const DEFAULT_TOKENS: u64 = 20;
/// The number of tokens of a long report.
pub(crate) const REPORT_TOKENS: u64 = 200;

/// One request to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The time from the start of the run until the request is sent.
    pub at: Duration,
    /// The number of the account.
    pub account: usize,
    /// The pipeline.
    pub pipeline: &'static str,
    /// The deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The number of requested tokens.
    pub tokens: u64,
    /// Identifies the request in the ledgers of the targets.
    pub marker: String,
}

/// Generates the arrivals of a run. During the warm-up the load is moderate, so that the hosts have
/// estimates before the scenario begins.
pub fn generate_arrivals(
    scenario: &Scenario,
    capacity_per_s: f64,
    warm_up: Duration,
    measured: Duration,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    for (account, share) in ACCOUNT_SHARES.iter().enumerate() {
        let burst = match scenario.burst {
            Some((bursting, factor)) if bursting == account => factor,
            _ => 1.0,
        };
        let flows = [
            ("yard-desk", 1.0 - SEARCH_SHARE - scenario.report_share, 1.0),
            ("search", SEARCH_SHARE, scenario.search_factor),
            ("report", scenario.report_share, 1.0),
        ];
        for (pipeline, fraction, factor) in flows {
            let base_rate = capacity_per_s * share * fraction;
            let warm_up_rate = base_rate * scenario.load.min(0.6);
            let measured_rate = base_rate * scenario.load * burst * factor;
            generate_flow(
                &mut rng,
                warm_up_rate,
                Duration::ZERO,
                warm_up,
                account,
                pipeline,
                &mut arrivals,
            );
            generate_flow(
                &mut rng,
                measured_rate,
                warm_up,
                measured,
                account,
                pipeline,
                &mut arrivals,
            );
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.marker = format!("m{number}");
    }
    arrivals
}

fn generate_flow(
    rng: &mut fastrand::Rng,
    rate: f64,
    start: Duration,
    length: Duration,
    account: usize,
    pipeline: &'static str,
    arrivals: &mut Vec<Arrival>,
) {
    if rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / rate;
        if at >= length.as_secs_f64() {
            return;
        }
        let is_report = pipeline == "report";
        arrivals.push(Arrival {
            at: start + Duration::from_secs_f64(at),
            account,
            pipeline,
            deadline_ms: if is_report {
                REPORT_DEADLINE_MS
            } else {
                DEFAULT_DEADLINE_MS
            },
            tokens: if is_report {
                REPORT_TOKENS
            } else {
                DEFAULT_TOKENS
            },
            marker: String::new(),
        });
    }
}
