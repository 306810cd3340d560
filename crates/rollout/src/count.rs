//! Counts of the responses of both versions. All counts only grow, so a later report of a host
//! replaces an earlier one.

use serde::{Deserialize, Serialize};

/// Number of histogram buckets. The first ends at 1 ms, each later one at 1.41 times the end of the
/// one before; the last, whose nominal end is 46 s, also holds everything longer.
const BUCKET_COUNT: usize = 32;

/// The side of a roll-out that a target's version is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionSide {
    /// The version that is rolled out.
    Tested,
    /// Any other version.
    Former,
}

/// A histogram of response times.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseTimeHistogram {
    /// Counts by bucket; trailing empty buckets are left out.
    buckets: Vec<u32>,
}

impl ResponseTimeHistogram {
    /// Records a time in milliseconds.
    pub fn record(&mut self, time_ms: f64) {
        let bucket = (time_ms.max(1.0).log2() * 2.0).ceil() as usize;
        let bucket = bucket.min(BUCKET_COUNT - 1);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, 0);
        }
        self.buckets[bucket] = self.buckets[bucket].saturating_add(1);
    }

    /// Returns the number of recorded times.
    pub fn total(&self) -> u64 {
        self.count_from(0)
    }

    /// Returns the number of times in bucket `first` and later ones.
    pub fn count_from(&self, first: usize) -> u64 {
        self.buckets
            .iter()
            .skip(first)
            .map(|count| u64::from(*count))
            .sum()
    }

    /// Returns the first bucket such that at most the given fraction of the times lies in it and
    /// later ones.
    pub fn tail_bucket(&self, fraction: f64) -> usize {
        let limit = self.total() as f64 * fraction;
        let is_rare = |bucket: &usize| self.count_from(*bucket) as f64 <= limit;
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

/// Responses of targets of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Requests that were answered or failed.
    pub responses: u64,
    /// Requests among them that failed.
    pub failures: u64,
    /// Times of the others as far as they are meaningful, in milliseconds or relative to the
    /// expected time.
    pub times: ResponseTimeHistogram,
}

impl VersionCounts {
    /// Records a response, with its time if the time is meaningful; `None` is a failure.
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

/// Responses of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Responses of the version that is rolled out.
    pub tested: VersionCounts,
    /// Responses of all other versions.
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

/// The counts of one incarnation of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReporterCounts {
    /// The incarnation of the entry host.
    pub reporter: String,
    /// Its counts, by service and phase.
    pub phases: Vec<PhaseCounts>,
}

/// The counts of one entry host for a service during one phase, in which the share of the tested
/// version is constant. Versions are compared only within a phase, since the load differs between
/// phases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseCounts {
    /// The service.
    pub service: String,
    /// The roll-out and its phase: the revision and step of its record.
    pub phase: (u64, u64),
    /// Counts by route.
    pub routes: Vec<(String, RouteCounts)>,
    /// Requests of this host in flight at targets of other versions.
    pub former_in_flight: u32,
}
