//! Who asks what and when: Poisson arrivals, seeded, the same for every policy.

use std::time::Duration;

use crate::Scenario;

/// Shares of the load by account, as both users have them: a few large, some small.
pub(crate) const ACCOUNT_SHARES: [f64; 5] = [0.40, 0.25, 0.15, 0.12, 0.08];

/// Weights of the accounts in the table.
pub(crate) const ACCOUNT_WEIGHTS: [u32; 5] = [40, 25, 15, 12, 8];

/// Share of requests that go to the retrieval pipeline, which has no generation.
const SEARCH_SHARE: f64 = 0.15;

/// Deadlines by pipeline, in milliseconds.
pub(crate) const DEFAULT_DEADLINE_MS: u64 = 2_000;
pub(crate) const REPORT_DEADLINE_MS: u64 = 8_000;

/// Tokens of an answer and of a long report.
pub(crate) const DEFAULT_TOKENS: u64 = 20;
pub(crate) const REPORT_TOKENS: u64 = 200;

/// One request that is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, from the beginning of the run.
    pub at: Duration,
    /// The number of the account.
    pub account: usize,
    /// The pipeline.
    pub pipeline: &'static str,
    /// The deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens that are asked for.
    pub tokens: u64,
    /// Names the request in the ledgers.
    pub marker: String,
}

/// Draws the arrivals of a run. Up to `warm` the load is calm, so that what is learned is learned
/// before the scenario begins.
pub fn generate_arrivals(
    scenario: &Scenario,
    capacity: f64,
    warm: Duration,
    measured: Duration,
    seed: u64,
) -> Vec<Arrival> {
    let mut chance = fastrand::Rng::with_seed(seed);
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
        for (pipeline, part, factor) in flows {
            let rate = capacity * share * part;
            let calm = rate * scenario.load.min(0.6);
            let full = rate * scenario.load * burst * factor;
            generate_flow(
                &mut chance,
                calm,
                Duration::ZERO,
                warm,
                account,
                pipeline,
                &mut arrivals,
            );
            generate_flow(
                &mut chance,
                full,
                warm,
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
    chance: &mut fastrand::Rng,
    rate: f64,
    from: Duration,
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
        at += -(1.0 - chance.f64()).ln() / rate;
        if at >= length.as_secs_f64() {
            return;
        }
        let report = pipeline == "report";
        arrivals.push(Arrival {
            at: from + Duration::from_secs_f64(at),
            account,
            pipeline,
            deadline_ms: if report {
                REPORT_DEADLINE_MS
            } else {
                DEFAULT_DEADLINE_MS
            },
            tokens: if report {
                REPORT_TOKENS
            } else {
                DEFAULT_TOKENS
            },
            marker: String::new(),
        });
    }
}
