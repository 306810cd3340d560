//! Store of the latest reports of entry hosts on themselves and on their data halls.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linnet_feed::HostReport;

/// Time without a report on a host after which it is removed.
const REPORT_RETENTION: Duration = Duration::from_secs(3_600);

/// Age of the last message of a host, in milliseconds, below which the host counts as live.
const LIVE_MAX_AGE_MS: u64 = 5_000;

/// Maximum number of stored hosts.
const MAX_HOSTS: usize = 4_096;

/// The newest report on each host, with the time at which it was received.
#[derive(Default)]
pub(crate) struct HostReportStore {
    hosts: Mutex<HashMap<String, (HostReport, Instant)>>,
}

impl HostReportStore {
    /// Merges received reports; of two reports on one host the one with the lower age is retained.
    pub(crate) fn merge_reports(&self, reports: Vec<HostReport>) {
        let now = Instant::now();
        let mut hosts = self.lock();
        hosts.retain(|_, (_, at)| now - *at < REPORT_RETENTION);
        for report in reports {
            let has_room = hosts.len() < MAX_HOSTS || hosts.contains_key(&report.name);
            let is_newer = hosts.get(&report.name).is_none_or(|(stored, at)| {
                let stored_age_ms = stored.age_ms + (now - *at).as_millis() as u64;
                report.age_ms <= stored_age_ms
            });
            if has_room && is_newer {
                hosts.insert(report.name.clone(), (report, now));
            }
        }
    }

    /// Returns the reports on all hosts, sorted by name, with their current age.
    pub(crate) fn list_hosts(&self) -> Vec<HostReport> {
        let now = Instant::now();
        let mut reports: Vec<_> = self
            .lock()
            .values()
            .map(|(report, at)| HostReport {
                age_ms: report.age_ms + (now - *at).as_millis() as u64,
                ..report.clone()
            })
            .collect();
        reports.sort_by(|a, b| a.name.cmp(&b.name));
        reports
    }

    /// Returns the number of live hosts.
    pub(crate) fn count_live(&self) -> u32 {
        let hosts = self.list_hosts();
        let live = hosts.iter().filter(|host| host.age_ms < LIVE_MAX_AGE_MS);
        live.count() as u32
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, (HostReport, Instant)>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
