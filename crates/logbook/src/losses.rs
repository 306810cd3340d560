//! What became of requests, counted.

use std::collections::BTreeMap;

use clap::ValueEnum;
use linnet_telemetry::EventCode;
use serde::Serialize;

use crate::LogLine;

/// By what requests are counted.
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
    /// Second of their end
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

/// The middle and the ninth tenth of some times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Half of them are at most this.
    pub p50_ms: u64,
    /// Nine in ten are at most this.
    pub p90_ms: u64,
}

impl Quantiles {
    /// Returns the quantiles of some times; 0 where there are none.
    fn of(times: &[u64]) -> Self {
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        let at = |part: f64| {
            let place = (sorted.len() as f64 * part) as usize;
            let last = sorted.len().saturating_sub(1);
            sorted.get(place.min(last)).copied().unwrap_or(0)
        };
        Self {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
        }
    }
}

/// What became of the requests of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LossRow {
    /// Requests whose target answered, also with a failure of its own.
    pub answered: u64,
    /// Requests that were refused and did not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that may have run and have no answer, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Streams among those answered that broke off.
    pub cut: u64,
    /// How long answered requests were to take by the queues at their admission.
    pub planned: Quantiles,
    /// How long their stages took.
    pub stages: Quantiles,
    /// How long they took until their answer began.
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

/// What became of requests, by group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LossTable {
    /// The rows, by the key of their group.
    pub rows: BTreeMap<String, LossRow>,
}

impl LossTable {
    /// Counts the requests that end in these lines.
    pub fn new<'a>(lines: impl IntoIterator<Item = &'a LogLine>, group: LossGroup) -> Self {
        let mut rows: BTreeMap<String, LossRow> = BTreeMap::new();
        let mut times: BTreeMap<String, RowTimes> = BTreeMap::new();
        for line in lines.into_iter().filter(|line| line.request.is_some()) {
            let Some(outcome) = line.outcome() else {
                continue;
            };
            let key = group.key_of(line);
            let row = rows.entry(key.clone()).or_default();
            // A stream has a second line when it ends, which tells its events.
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

    /// Returns the table as text, a row a line.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "{:<24} {:>8} {:>8} {:>8} {:>6} {:>12} {:>12} {:>12}  reasons\n",
            "group", "answered", "refused", "failed", "cut", "planned ms", "stages ms", "took ms"
        );
        for (key, row) in &self.rows {
            let sum = |reasons: &BTreeMap<String, u64>| reasons.values().sum::<u64>();
            let span = |one: Quantiles| format!("{}/{}", one.p50_ms, one.p90_ms);
            let reasons = row.refused.iter().chain(&row.failed);
            let reasons: Vec<String> = reasons.map(|(name, n)| format!("{name}={n}")).collect();
            text += &format!(
                "{key:<24} {:>8} {:>8} {:>8} {:>6} {:>12} {:>12} {:>12}  {}\n",
                row.answered,
                sum(&row.refused),
                sum(&row.failed),
                row.cut,
                span(row.planned),
                span(row.stages),
                span(row.took),
                reasons.join(" ")
            );
        }
        text
    }
}

#[cfg(test)]
mod tests;
