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
const START_SPAN: f64 = 2.5;
const START_PART: f64 = 0.25;

/// The least time between two looks at what changed of the targets, unless one is taken out. When all register one by
/// one, as after a loss of power, a look at each would cost more than the changes. A new target waits so long for its
/// first request.
pub(super) const TARGETS_SPAN: Duration = Duration::from_millis(50);

/// How much longer than a look took the next one waits, so that looks take a twentieth of the time at most, and the
/// longest such wait.
const LIST_REST: u32 = 20;
const TARGETS_MOST_SPAN: Duration = Duration::from_millis(400);

pub(super) async fn keep_targets(gateway: Rc<Gateway>) {
    loop {
        gateway.targets_due.notified().await;
        let began = Instant::now();
        gateway.refresh_targets();
        let span = began.elapsed() * LIST_REST;
        tokio::time::sleep(span.clamp(TARGETS_SPAN, TARGETS_MOST_SPAN)).await;
    }
}

impl Gateway {
    pub(super) fn refresh_targets(&self) {
        let now = Instant::now();
        let changes = self.view.borrow_mut().list_changes(now);
        self.metrics.target_lists.inc();
        let known = self.view.borrow().listed_count();
        self.metrics.targets_known.set(known as i64);
        let anew = match &changes {
            TargetChanges::Whole(ready) => self.targets.borrow_mut().replace(ready, now),
            TargetChanges::Some { listed, unlisted } => {
                self.targets.borrow_mut().update(listed, unlisted, now)
            }
        };
        let mut engines = self.engines.borrow_mut();
        anew.iter().for_each(|engine| engines.forget_engine(engine));
        drop(engines);
        self.notices.apply_target_list(BootInstant::now());
        self.record_restarts();
        match &changes {
            TargetChanges::Whole(ready) => self.spread_whole(ready),
            TargetChanges::Some { listed, unlisted } => self.spread_changes(listed, unlisted),
        }
        self.target_lists.send_replace(());
    }

    /// Tells the parts of the gateway all targets that take work.
    fn spread_whole(&self, ready: &[TargetRecord]) {
        self.stages.set_targets(&self.targets.borrow());
        self.coordinator.set_targets(ready);
        let addresses: HashSet<SocketAddr> = ready.iter().map(|target| target.address).collect();
        self.pool.retain(|address| addresses.contains(address));
    }

    /// Tells the parts of the gateway which targets have changed.
    fn spread_changes(&self, listed: &[TargetRecord], unlisted: &[TargetRecord]) {
        let changed = listed.iter().chain(unlisted);
        let services: BTreeSet<&str> = changed.map(|one| one.service.as_str()).collect();
        self.stages
            .update_targets(&self.targets.borrow(), &services);
        self.coordinator.update_targets(listed, unlisted);
        // Another target may have the address by now; it only costs a new connection then.
        let left: HashSet<SocketAddr> = unlisted.iter().map(|target| target.address).collect();
        if !left.is_empty() {
            self.pool.retain(|address| !left.contains(address));
        }
    }

    /// Returns how long a request waits here for what a host has to know first: nothing any more where the
    /// host started a while ago and is not about to know it.
    pub(crate) fn start_patience(&self, time_left: Option<Duration>) -> Duration {
        let most = self.config.start_patience;
        if self.started.elapsed() > most.mul_f64(START_SPAN) {
            return Duration::ZERO;
        }
        let bound = time_left.map_or(most, |left| left.mul_f64(START_PART));
        bound.min(most)
    }

    /// Waits, on a host that has just started, until targets of some services are known, for at most
    /// `patience`.
    pub(crate) async fn targets_within(&self, services: &[&str], patience: Duration) {
        let known = |service: &&str| self.targets.borrow().of_service(service).next().is_some();
        let mut lists = self.target_lists.subscribe();
        let all_known =
            async { while !services.iter().all(known) && lists.changed().await.is_ok() {} };
        // What is still missing is told by whoever needs it.
        let _ = tokio::time::timeout(patience, all_known).await;
    }
}
