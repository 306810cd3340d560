//! What entry hosts last told of themselves and their halls.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linnet_feed::HostReport;

/// A host that was not told of for so long is forgotten.
const REPORT_RETENTION: Duration = Duration::from_secs(3_600);

/// A host that was heard within so many milliseconds lives.
const LIVE_MAX_AGE_MS: u64 = 5_000;

/// Hosts that are remembered at one time.
const MAX_HOSTS: usize = 4_096;

/// The newest report on each host.
#[derive(Default)]
pub(crate) struct HostReportStore {
    hosts: Mutex<HashMap<String, (HostReport, Instant)>>,
}

impl HostReportStore {
    /// Takes reports in; of two on one host the younger counts.
    pub(crate) fn merge_reports(&self, reports: Vec<HostReport>) {
        let now = Instant::now();
        let mut hosts = self.lock();
        hosts.retain(|_, (_, at)| now - *at < REPORT_RETENTION);
        for report in reports {
            let room = hosts.len() < MAX_HOSTS || hosts.contains_key(&report.name);
            let newer = hosts.get(&report.name).is_none_or(|(known, at)| {
                let known_age = known.age_ms + (now - *at).as_millis() as u64;
                report.age_ms <= known_age
            });
            if room && newer {
                hosts.insert(report.name.clone(), (report, now));
            }
        }
    }

    /// Returns what is known of every host, with its age as of now, by name.
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

    /// Returns the number of hosts that were heard lately.
    pub(crate) fn count_live(&self) -> u32 {
        let hosts = self.list_hosts();
        let live = hosts.iter().filter(|host| host.age_ms < LIVE_MAX_AGE_MS);
        live.count() as u32
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, (HostReport, Instant)>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
