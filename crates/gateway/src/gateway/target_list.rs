//! Recomputes the list of targets, and lets requests wait for the first list.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_directory::{TargetChanges, TargetRecord};

use super::Gateway;

/// Length of the startup phase, as a multiple of the maximum startup wait, and the maximum share of
/// a caller's timeout that a request waits in that phase.
const STARTUP_PHASE_FACTOR: f64 = 2.5;
const MAX_STARTUP_WAIT_SHARE: f64 = 0.25;

/// Minimum interval between two refreshes of the target list, unless a target is withdrawn. When
/// all targets register one by one, as after a power failure, a refresh for each would cost more
/// than applying the changes. A new target gets its first request at most this much later.
pub(super) const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The interval is this multiple of the duration of the last refresh, so that refreshes take at
/// most a twentieth of the time, up to the maximum interval.
const REFRESH_INTERVAL_FACTOR: u32 = 20;
const MAX_REFRESH_INTERVAL: Duration = Duration::from_millis(400);

pub(super) async fn run_target_refresh(gateway: Rc<Gateway>) {
    loop {
        gateway.targets_changed.notified().await;
        let started = Instant::now();
        gateway.refresh_targets();
        let interval = started.elapsed() * REFRESH_INTERVAL_FACTOR;
        tokio::time::sleep(interval.clamp(MIN_REFRESH_INTERVAL, MAX_REFRESH_INTERVAL)).await;
    }
}

impl Gateway {
    pub(super) fn refresh_targets(&self) {
        let now = Instant::now();
        let changes = self.directory.borrow_mut().take_changes(now);
        self.metrics.target_lists.inc();
        let known = self.directory.borrow().listed_count();
        self.metrics.targets_known.set(known as i64);
        let restarted = match &changes {
            TargetChanges::All(ready) => self.targets.borrow_mut().replace(ready, now),
            TargetChanges::Partial { listed, unlisted } => {
                self.targets.borrow_mut().update(listed, unlisted, now)
            }
        };
        let mut engines = self.engine_placer.borrow_mut();
        restarted
            .iter()
            .for_each(|engine| engines.forget_engine(engine));
        drop(engines);
        self.notices.apply_target_list(BootInstant::now());
        self.record_restarts();
        match &changes {
            TargetChanges::All(ready) => self.propagate_list(ready),
            TargetChanges::Partial { listed, unlisted } => self.propagate_changes(listed, unlisted),
        }
        self.target_list_updates.send_replace(());
    }

    /// Passes the complete list of targets to the components of the gateway.
    fn propagate_list(&self, ready: &[TargetRecord]) {
        self.stage_client.set_targets(&self.targets.borrow());
        self.coordinator.set_targets(ready);
        let addresses: HashSet<SocketAddr> = ready.iter().map(|target| target.address).collect();
        self.upstream.retain(|address| addresses.contains(address));
    }

    /// Passes changes of the target list to the components of the gateway.
    fn propagate_changes(&self, listed: &[TargetRecord], unlisted: &[TargetRecord]) {
        let changed = listed.iter().chain(unlisted);
        let services: BTreeSet<&str> = changed.map(|one| one.service.as_str()).collect();
        self.stage_client
            .update_targets(&self.targets.borrow(), &services);
        self.coordinator.update_targets(listed, unlisted);
        // Another target may have the address by now, which only costs a new connection.
        let removed: HashSet<SocketAddr> = unlisted.iter().map(|target| target.address).collect();
        if !removed.is_empty() {
            self.upstream.retain(|address| !removed.contains(address));
        }
    }

    /// Returns how long a request may wait for data that a starting host does not have yet; zero
    /// once the startup phase is over.
    pub(crate) fn startup_wait(&self, time_left: Option<Duration>) -> Duration {
        let max_wait = self.config.max_startup_wait;
        if self.started_at.elapsed() > max_wait.mul_f64(STARTUP_PHASE_FACTOR) {
            return Duration::ZERO;
        }
        let bound = time_left.map_or(max_wait, |remaining| {
            remaining.mul_f64(MAX_STARTUP_WAIT_SHARE)
        });
        bound.min(max_wait)
    }

    /// Waits until targets of all `services` are known, for at most `max_wait`.
    pub(crate) async fn wait_for_targets(&self, services: &[&str], max_wait: Duration) {
        let known = |service: &&str| self.targets.borrow().of_service(service).next().is_some();
        let mut lists = self.target_list_updates.subscribe();
        let all_known =
            async { while !services.iter().all(known) && lists.changed().await.is_ok() {} };
        // After a timeout, the code that needs a missing service reports its absence.
        let _ = tokio::time::timeout(max_wait, all_known).await;
    }
}
