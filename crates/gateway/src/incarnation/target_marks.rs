//! Targets whose records are not of the incarnation that runs, or not known to be.

use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::Gateway;
use crate::caller_request::{CallerRequest, is_resumable};
use crate::target::{ChosenTarget, Target, TargetStore};

/// Longest time for which a stream that goes on waits for the record of a restarted target. The first
/// heartbeat of a target follows its start, and reaches the hosts within some 0.3 s.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(600);

/// Fraction of the remaining time of a request that may be spent on that wait.
const RECORD_WAIT_FRACTION: f64 = 0.25;

impl TargetStore {
    /// Returns when the incarnation of a target was listed first.
    pub(crate) fn listed_since(&self, service: &str, id: &str) -> Option<Instant> {
        self.get(service, id)?.listed_since
    }

    /// Records that a target restarted at the Unix millisecond `born`, unless that incarnation is listed;
    /// returns whether that was not known.
    pub(crate) fn mark_outdated(&mut self, service: &str, id: &str, born: u64) -> bool {
        let target = self.find_mut(service, id);
        target.is_some_and(|one| one.born < born && one.marks.set_outdated(born))
    }

    /// Returns whether the listed target is known to have restarted at the Unix millisecond `born`.
    pub(crate) fn is_known_outdated(&self, service: &str, id: &str, born: u64) -> bool {
        let target = self.get(service, id);
        target.is_some_and(|target| target.marks.is_known(born))
    }

    /// Records that no connection proved which incarnation of a target runs.
    pub(crate) fn mark_unproved(&mut self, service: &str, id: &str, now: Instant) {
        if let Some(target) = self.find_mut(service, id) {
            target.marks.set_unproved(now);
        }
    }

    /// Returns whether a target of a service is known to have restarted since its record was written.
    pub(crate) fn has_outdated_record(&self, service: &str) -> bool {
        self.of_service(service).any(|one| one.marks.is_outdated())
    }
}

impl Gateway {
    /// Records that a target has restarted since its record was written.
    pub(super) fn mark_outdated(&self, service: &str, chosen: &ChosenTarget, born: u64) {
        let mut targets = self.targets.borrow_mut();
        if !targets.mark_outdated(service, &chosen.id, born) {
            return;
        }
        drop(targets);
        let detail = format!(
            "service={service} version={} born={} stated_born={born}",
            chosen.version, chosen.born
        );
        let code = EventCode::RecordOutdated;
        self.config.recorder.record(code, &chosen.id, detail);
    }
}

/// Returns the targets at which a request cannot prove the incarnation. A stream that begins may still
/// use them if no other target may run it.
pub(crate) fn unprovable_targets(
    store: &TargetStore,
    service: &str,
    request: &CallerRequest,
) -> Vec<String> {
    if !is_resumable(request) {
        return Vec::new();
    }
    let now = Instant::now();
    let may_be_proved = |target: &Target| target.marks.may_be_proved(now);
    let mut targets = store.of_service(service);
    let may_begin_elsewhere = targets.any(|one| may_be_proved(one) && request.allows_target(one));
    if request.bound_version.get().is_none() && !may_begin_elsewhere {
        return Vec::new();
    }
    let unprovable = store.of_service(service).filter(|one| !may_be_proved(one));
    unprovable.map(|target| target.id.clone()).collect()
}

/// Waits until the record of a restarted target arrives, if a stream could go on at its version there.
/// Returns whether it waited.
pub(crate) async fn await_records(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    tried: &[String],
) -> bool {
    let is_awaited = || {
        let store = gateway.targets.borrow();
        let mut targets = store.of_service(service);
        targets.any(|one| {
            one.marks.is_outdated() && request.allows_target(one) && !tried.contains(&one.id)
        })
    };
    if request.bound_version.get().is_none() || !is_awaited() {
        return false;
    }
    let longest = request.time_left().mul_f64(RECORD_WAIT_FRACTION);
    let mut updates = gateway.target_list_updates.subscribe();
    let arrival = async { while is_awaited() && updates.changed().await.is_ok() {} };
    let _ = timeout(longest.min(MAX_RECORD_WAIT), arrival).await;
    true
}
