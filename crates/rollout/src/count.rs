//! Counts of the answers of both versions. All of them only grow, so that a later report of a host replaces an
//! earlier one.

use serde::{Deserialize, Serialize};

/// Times are counted in so many spans, each ending at 1.41 times the end of the one before; the first ends at 1 ms
/// and the last, at 46 s, holds all that took longer.
const BUCKET_COUNT: usize = 32;

/// Which of the two versions of a roll-out a target has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionSide {
    /// The one that is rolled out.
    Tested,
    /// Any other.
    Former,
}

/// How many answers took how long.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseTimeHistogram {
    /// By span; spans at the end that hold nothing are left out.
    buckets: Vec<u32>,
}

impl ResponseTimeHistogram {
    /// Counts a time in milliseconds.
    pub fn record(&mut self, time_ms: f64) {
        let bucket = (time_ms.max(1.0).log2() * 2.0).ceil() as usize;
        let bucket = bucket.min(BUCKET_COUNT - 1);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, 0);
        }
        self.buckets[bucket] = self.buckets[bucket].saturating_add(1);
    }

    /// Returns how many were counted.
    pub fn total(&self) -> u64 {
        self.count_from(0)
    }

    /// Returns how many took longer than the spans before `first`.
    pub fn count_from(&self, first: usize) -> u64 {
        self.buckets
            .iter()
            .skip(first)
            .map(|count| u64::from(*count))
            .sum()
    }

    /// Returns the first span such that at most a part of the times lie in it or later ones.
    pub fn tail_bucket(&self, part: f64) -> usize {
        let most = self.total() as f64 * part;
        let is_rare = |bucket: &usize| self.count_from(*bucket) as f64 <= most;
        (0..=BUCKET_COUNT).find(is_rare).unwrap_or(BUCKET_COUNT)
    }

    fn add(&mut self, other: &Self) {
        if self.buckets.len() < other.buckets.len() {
            self.buckets.resize(other.buckets.len(), 0);
        }
        for (own, more) in self.buckets.iter_mut().zip(&other.buckets) {
            *own = own.saturating_add(*more);
        }
    }
}

/// Answers of targets of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Requests that were answered or failed.
    pub responses: u64,
    /// Of these, the ones that failed.
    pub failures: u64,
    /// How long the others took, in milliseconds, or as a part of what was expected.
    pub times: ResponseTimeHistogram,
}

impl VersionCounts {
    /// Counts an answer, with its time where that says something; `None` for a failure.
    pub(crate) fn record(&mut self, response: Option<Option<f64>>) {
        self.responses += 1;
        match response {
            None => self.failures += 1,
            Some(Some(time_ms)) => self.times.record(time_ms),
            Some(None) => {}
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
        self.times.add(&other.times);
    }
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Targets of the version that is rolled out.
    pub tested: VersionCounts,
    /// All others.
    pub former: VersionCounts,
}

impl RouteCounts {
    pub(crate) fn side_mut(&mut self, side: VersionSide) -> &mut VersionCounts {
        match side {
            VersionSide::Tested => &mut self.tested,
            VersionSide::Former => &mut self.former,
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.tested.add(&other.tested);
        self.former.add(&other.former);
    }
}

/// What one start of an entry host counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReporterCounts {
    /// The start of the entry host.
    pub reporter: String,
    /// Its counts.
    pub counted: Vec<PhaseCounts>,
}

/// What one entry host counted of a service while the share of the tested version was the same. Both versions are
/// compared within such a phase only: between phases the load differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseCounts {
    /// The service.
    pub service: String,
    /// The roll-out and the phase of it, by the revision and the step of its record.
    pub phase: (u64, u64),
    /// By route.
    pub routes: Vec<(String, RouteCounts)>,
    /// Requests of this host that are under way at targets of other versions.
    pub former_in_flight: u32,
}
