//! The versions that a service has had lately.

use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;

/// How long a version counts at least after it was last listed: longer than callers usually wait for a
/// stream.
const RETENTION: Duration = Duration::from_secs(60);

/// How long a version is kept after it was last listed, as origins of streams are.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// The software versions of the targets of each service, and when each was last listed.
#[derive(Default)]
pub struct VersionHistory {
    services: HashMap<String, ServiceVersions>,
}

/// The versions of one service.
struct ServiceVersions {
    /// Since when the service is observed without a gap.
    since: BootInstant,
    /// Each version, and when it was last listed.
    listed: Vec<(String, BootInstant)>,
}

impl VersionHistory {
    /// Records that a target of a service with a version is listed.
    pub fn record_listed(&mut self, service: &str, version: &str, now: BootInstant) {
        if let Some(versions) = self.services.get_mut(service) {
            let mut listed = versions.listed.iter_mut();
            match listed.find(|(known, _)| known == version) {
                Some((_, at)) => *at = now,
                None => versions.listed.push((version.to_owned(), now)),
            }
            return;
        }
        let versions = ServiceVersions {
            since: now,
            listed: vec![(version.to_owned(), now)],
        };
        self.services.insert(service.to_owned(), versions);
    }

    /// Records that lists are not up to date: what is listed meanwhile is not known.
    pub fn record_gap(&mut self, now: BootInstant) {
        let services = self.services.values_mut();
        services.for_each(|versions| versions.since = now);
    }

    /// Returns the version of a service if it has had no other one lately, as far back as `lifetime`,
    /// within which a stream that is taken up now began. What was listed before the service was observed
    /// is not known.
    pub fn sole_version(
        &self,
        service: &str,
        lifetime: Duration,
        now: BootInstant,
    ) -> Option<&str> {
        let versions = self.services.get(service)?;
        if now - versions.since < lifetime {
            return None;
        }
        let listed = versions.listed.iter();
        let retention = RETENTION.max(lifetime);
        let mut recent = listed.filter(|(_, at)| now - *at < retention);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }

    /// Removes versions that were last listed long ago.
    pub fn expire(&mut self, now: BootInstant) {
        for versions in self.services.values_mut() {
            versions.listed.retain(|(_, at)| now - *at < MAX_RETENTION);
        }
        self.services
            .retain(|_, versions| !versions.listed.is_empty());
    }
}
