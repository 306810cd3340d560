//! The response counts of one entry host.

use std::collections::BTreeMap;

use crate::{PhaseCounts, RolloutStore, RouteCounts, VersionSide, VersionStatus};

/// Maximum number of routes counted separately for one service; responses of further routes are
/// counted together.
const MAX_ROUTES: usize = 64;

/// The name under which further routes are counted.
const OTHER_ROUTES: &str = "other";

type Phase = (u64, u64);

/// Counts the responses of both versions during roll-outs.
#[derive(Debug, Default)]
pub struct ResponseTracker {
    phases: BTreeMap<(String, Phase), BTreeMap<String, RouteCounts>>,
}

impl ResponseTracker {
    /// Removes the counts of all roll-outs that are not in progress.
    pub fn retain_in_progress(&mut self, store: &RolloutStore) {
        self.phases.retain(|(service, (revision, _)), _| {
            let newest = store.newest(service);
            newest.is_some_and(|one| one.is_in_progress() && one.revision == *revision)
        });
    }

    /// Records a response of a target, with its time, in milliseconds or relative to the expected
    /// time, if that is meaningful for the target; `None` is a failure. Nothing is recorded if no
    /// roll-out of the service is in progress.
    pub fn record_response(
        &mut self,
        store: &RolloutStore,
        service: &str,
        (route, version): (&str, &str),
        response: Option<Option<f64>>,
    ) {
        let Some(record) = store.newest(service).filter(|one| one.is_in_progress()) else {
            return;
        };
        let side = match record.version_status(version) {
            VersionStatus::UnderTest => VersionSide::Tested,
            VersionStatus::Unrestricted | VersionStatus::Excluded => VersionSide::Former,
        };
        let phase = (service.to_owned(), (record.revision, record.step));
        let routes = self.phases.entry(phase).or_default();
        let is_counted = routes.contains_key(route) || routes.len() < MAX_ROUTES;
        let route = if is_counted { route } else { OTHER_ROUTES };
        let counts = routes.entry(route.to_owned()).or_default();
        counts.side_mut(side).record(response);
    }

    /// Returns the counts. `former_in_flight` returns the number of requests in flight at targets
    /// of a service whose version is not the tested one.
    pub fn counts(
        &self,
        store: &RolloutStore,
        former_in_flight: impl Fn(&str, &str) -> u32,
    ) -> Vec<PhaseCounts> {
        let mut all = Vec::new();
        for (service, record) in store.in_progress() {
            let newest = (record.revision, record.step);
            let open = former_in_flight(service, &record.version);
            all.extend(self.phases_of(service).filter(|one| one.phase != newest));
            let routes = self.phases.get(&(service.to_owned(), newest));
            all.push(PhaseCounts {
                service: service.to_owned(),
                phase: newest,
                routes: routes.map(list).unwrap_or_default(),
                former_in_flight: open,
            });
        }
        all
    }

    fn phases_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = PhaseCounts> + 'a {
        let phases = self.phases.iter().filter(move |((of, _), _)| of == service);
        phases.map(|((service, phase), routes)| PhaseCounts {
            service: service.clone(),
            phase: *phase,
            routes: list(routes),
            former_in_flight: 0,
        })
    }
}

fn list(routes: &BTreeMap<String, RouteCounts>) -> Vec<(String, RouteCounts)> {
    let all = routes.iter();
    all.map(|(route, counts)| (route.clone(), counts.clone()))
        .collect()
}

#[cfg(test)]
mod tests;
