//! The versions that a service has had lately.

use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;

/// How long a version counts after it was last listed: longer than callers wait for a stream.
const RETENTION: Duration = Duration::from_secs(60);

/// The software versions of the targets of each service, and when each was last listed.
#[derive(Default)]
pub struct VersionHistory {
    services: HashMap<String, Vec<(String, BootInstant)>>,
}

impl VersionHistory {
    /// Records that a target of a service with a version is listed.
    pub fn record_listed(&mut self, service: &str, version: &str, now: BootInstant) {
        if let Some(versions) = self.services.get_mut(service) {
            match versions.iter_mut().find(|(known, _)| known == version) {
                Some((_, listed)) => *listed = now,
                None => versions.push((version.to_owned(), now)),
            }
            return;
        }
        let versions = vec![(version.to_owned(), now)];
        self.services.insert(service.to_owned(), versions);
    }

    /// Returns the version of a service if it has had no other one lately.
    pub fn sole_version(&self, service: &str, now: BootInstant) -> Option<&str> {
        let versions = self.services.get(service)?.iter();
        let mut recent = versions.filter(|(_, listed)| now - *listed < RETENTION);
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(version)
    }

    /// Removes versions that were last listed long ago.
    pub fn expire(&mut self, now: BootInstant) {
        for versions in self.services.values_mut() {
            versions.retain(|(_, listed)| now - *listed < RETENTION);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
