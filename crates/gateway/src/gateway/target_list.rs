//! When the list of targets is worked out anew, and requests that wait for the first one.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_directory::{TargetChanges, TargetRecord};

use super::Gateway;

/// For how long after its start, as a multiple of the longest wait, a host lets requests wait for what it
/// does not know yet, and the part of the time that a caller gives that is waited at most.
const STARTUP_PHASE_FACTOR: f64 = 2.5;
const MAX_STARTUP_WAIT_SHARE: f64 = 0.25;

/// The least time between two looks at what changed of the targets, unless one is taken out. When all register one by
/// one, as after a loss of power, a look at each would cost more than the changes. A new target waits so long for its
/// first request.
pub(super) const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// How much longer than a look took the next one waits, so that looks take a twentieth of the time at most, and the
/// longest such wait.
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
        let changes = self.directory.borrow_mut().list_changes(now);
        self.metrics.target_lists.inc();
        let known = self.directory.borrow().listed_count();
        self.metrics.targets_known.set(known as i64);
        let restarted = match &changes {
            TargetChanges::Whole(ready) => self.targets.borrow_mut().replace(ready, now),
            TargetChanges::Some { listed, unlisted } => {
                self.targets.borrow_mut().update(listed, unlisted, now)
            }
        };
        let mut engines = self.engine_placer.borrow_mut();
        restarted
            .iter()
            .for_each(|engine| engines.forget_engine(engine));
        drop(engines);
        self.notices.take_list(BootInstant::now());
        self.note_starts();
        match &changes {
            TargetChanges::Whole(ready) => self.propagate_list(ready),
            TargetChanges::Some { listed, unlisted } => self.propagate_changes(listed, unlisted),
        }
        self.target_list_updates.send_replace(());
    }

    /// Tells the parts of the gateway all targets that take work.
    fn propagate_list(&self, ready: &[TargetRecord]) {
        self.stage_client.set_targets(&self.targets.borrow());
        self.coordinator.set_targets(ready);
        let addresses: HashSet<SocketAddr> = ready.iter().map(|target| target.address).collect();
        self.connections
            .retain(|address| addresses.contains(address));
    }

    /// Tells the parts of the gateway which targets have changed.
    fn propagate_changes(&self, listed: &[TargetRecord], unlisted: &[TargetRecord]) {
        let changed = listed.iter().chain(unlisted);
        let services: BTreeSet<&str> = changed.map(|one| one.service.as_str()).collect();
        self.stage_client
            .update_targets(&self.targets.borrow(), &services);
        self.coordinator.update_targets(listed, unlisted);
        // Another target may have the address by now; it only costs a new connection then.
        let removed: HashSet<SocketAddr> = unlisted.iter().map(|target| target.address).collect();
        if !removed.is_empty() {
            self.connections
                .retain(|address| !removed.contains(address));
        }
    }

    /// Returns how long a request waits here for what a host has to know first: nothing any more where the
    /// host started a while ago and is not about to know it.
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

    /// Waits, on a host that has just started, until targets of some services are known, for at most
    /// `patience`.
    pub(crate) async fn wait_for_targets(&self, services: &[&str], max_wait: Duration) {
        let known = |service: &&str| self.targets.borrow().of_service(service).next().is_some();
        let mut lists = self.target_list_updates.subscribe();
        let all_known =
            async { while !services.iter().all(known) && lists.changed().await.is_ok() {} };
        // What is still missing is told by whoever needs it.
        let _ = tokio::time::timeout(max_wait, all_known).await;
    }
}
