//! When the list of targets is worked out anew, and requests that wait for the first one.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;

use super::Gateway;

/// For how long after its start, as a multiple of the longest wait, a host lets requests wait for what it
/// does not know yet, and the part of the time that a caller gives that is waited at most.
const START_SPAN: f64 = 2.5;
const START_PART: f64 = 0.25;

/// The least time between two lists of targets, unless one takes a target out. Working a list of 285
/// targets out from what five control hosts tell takes 0.4 ms (`measure_a_list_of_targets`, release
/// build), which is 3 ms of a host with an eighth of a core. When the targets register one by one, as
/// after a loss of power, 1,425 words would ask for it: 4.6 s of such a host. A new target waits so
/// long for its first request.
pub(super) const TARGETS_SPAN: Duration = Duration::from_millis(50);

/// How much longer than a list took the next one waits, so that lists take a twentieth of the time whatever
/// the fleet, and at most. With 3,000 targets one takes some milliseconds.
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
        let ready = self.view.borrow().ready_targets(now);
        self.metrics.target_lists.inc();
        self.metrics.targets_known.set(ready.len() as i64);
        let anew = self.targets.borrow_mut().replace(&ready, now);
        let mut engines = self.engines.borrow_mut();
        anew.iter().for_each(|engine| engines.forget_engine(engine));
        drop(engines);
        self.notices.take_list(BootInstant::now());
        self.note_starts();
        self.stages.set_targets(&ready);
        self.coordinator.set_targets(&ready);
        let addresses: HashSet<SocketAddr> = ready.iter().map(|target| target.address).collect();
        self.pool.retain(|address| addresses.contains(address));
        self.target_lists.send_replace(());
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
