//! Counts of the outcomes of requests.

use std::collections::BTreeMap;

use clap::ValueEnum;
use linnet_telemetry::EventCode;
use serde::Serialize;

use crate::LogLine;

/// The attribute by which requests are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LossGroup {
    /// Priorities of account and route
    Rank,
    /// Route
    Route,
    /// Client account
    Account,
    /// Entry host
    Host,
    /// Second in which the request ended
    Second,
}

impl LossGroup {
    fn key_of(self, line: &LogLine) -> String {
        let field = |name| line.field(name).unwrap_or("-").to_owned();
        match self {
            Self::Rank => field("rank"),
            Self::Route => field("route"),
            Self::Account => field("account"),
            Self::Host => line.host.clone(),
            Self::Second => line.time.split('.').next().unwrap_or("-").to_owned(),
        }
    }
}

/// Median and 90th percentile of a set of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: u64,
    /// 90th percentile.
    pub p90_ms: u64,
}

impl Quantiles {
    /// Returns the quantiles of `times`; 0 if there are none.
    fn of(times: &[u64]) -> Self {
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        let quantile = |fraction: f64| {
            let index = (sorted.len() as f64 * fraction) as usize;
            let last = sorted.len().saturating_sub(1);
            sorted.get(index.min(last)).copied().unwrap_or(0)
        };
        Self {
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
        }
    }
}

/// Outcome counts and times of the requests of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LossRow {
    /// Requests with a response from their target, including error responses.
    pub answered: u64,
    /// Requests that were refused without running, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests without a response that may have run, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Streams among the answered requests that were interrupted.
    pub cut: u64,
    /// Expected durations of answered requests, estimated from the queues at admission.
    pub planned: Quantiles,
    /// Durations of the stages of answered requests.
    pub stages: Quantiles,
    /// Actual times until the response to an answered request began.
    pub took: Quantiles,
}

#[derive(Default)]
struct RowTimes {
    planned: Vec<u64>,
    stages: Vec<u64>,
    took: Vec<u64>,
}

impl RowTimes {
    fn record(&mut self, line: &LogLine) {
        self.planned.extend(line.field_ms("planned_ms"));
        self.stages.extend(line.field_ms("stages_ms"));
        self.took.extend(line.field_ms("took_ms"));
    }
}

/// Outcomes of requests, by group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LossTable {
    /// Rows by the key of the group.
    pub rows: BTreeMap<String, LossRow>,
}

impl LossTable {
    /// Counts the outcomes of the requests whose end is in `lines`.
    pub fn new<'a>(lines: impl IntoIterator<Item = &'a LogLine>, group: LossGroup) -> Self {
        let mut rows: BTreeMap<String, LossRow> = BTreeMap::new();
        let mut times: BTreeMap<String, RowTimes> = BTreeMap::new();
        for line in lines.into_iter().filter(|line| line.request.is_some()) {
            let Some(outcome) = line.outcome() else {
                continue;
            };
            let key = group.key_of(line);
            let row = rows.entry(key.clone()).or_default();
            // The end of a stream is logged as a second line, which has the number of its chunks.
            let ends_stream = line.field("chunks").is_some();
            match line.code {
                EventCode::RequestFinished if ends_stream => {}
                EventCode::RequestFailed if ends_stream => row.cut += 1,
                EventCode::RequestFailed if outcome.starts_with("status") => row.answered += 1,
                EventCode::RequestFinished => {
                    row.answered += 1;
                    times.entry(key).or_default().record(line);
                }
                EventCode::RequestRefused => {
                    *row.refused.entry(outcome.to_owned()).or_default() += 1
                }
                EventCode::RequestFailed => *row.failed.entry(outcome.to_owned()).or_default() += 1,
                _ => {}
            }
        }
        for (key, times) in times {
            let row = rows.entry(key).or_default();
            row.planned = Quantiles::of(&times.planned);
            row.stages = Quantiles::of(&times.stages);
            row.took = Quantiles::of(&times.took);
        }
        rows.retain(|_, row| *row != LossRow::default());
        Self { rows }
    }

    /// Formats the table as text, one row per line.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<24} {:>8} {:>8} {:>8} {:>6} {:>12} {:>12} {:>12}  reasons\n",
            "group", "answered", "refused", "failed", "cut", "planned ms", "stages ms", "took ms"
        );
        for (key, row) in &self.rows {
            let total = |reasons: &BTreeMap<String, u64>| reasons.values().sum::<u64>();
            let format_times = |times: Quantiles| format!("{}/{}", times.p50_ms, times.p90_ms);
            let reasons = row.refused.iter().chain(&row.failed);
            let reasons: Vec<String> = reasons
                .map(|(reason, count)| format!("{reason}={count}"))
                .collect();
            text += &format!(
                "{key:<24} {:>8} {:>8} {:>8} {:>6} {:>12} {:>12} {:>12}  {}\n",
                row.answered,
                total(&row.refused),
                total(&row.failed),
                row.cut,
                format_times(row.planned),
                format_times(row.stages),
                format_times(row.took),
                reasons.join(" ")
            );
        }
        text
    }
}

#[cfg(test)]
mod tests;
