//! What a control host holds against requests that may end targets, and how it finds that a target which was
//! taken as ended runs on.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_quarantine::{EndKey, RequestKey, SuspectRecord};
use linnet_telemetry::EventCode;
use linnet_wire::MessageVersion;
use tokio::time::sleep;

use super::{DirectoryNode, NodeState};

/// Heartbeats after which a target that was taken as ended is known to run on. One or two may have been on
/// their way since before.
const LIVING_HEARTBEATS: u64 = 3;

/// How often it is looked whether the log lacks a held request. A request that came to be held less than that
/// before all power was lost is found out anew.
const KEEPING_PERIOD: Duration = Duration::from_millis(250);

/// The last heartbeat of each start of a target when its end was first heard of here.
#[derive(Default)]
pub(crate) struct LivingTargets {
    sequences: HashMap<EndKey, u64>,
}

impl LivingTargets {
    /// Takes a heartbeat that is known of a start whose end is held against requests; says whether it
    /// proves that there was no end.
    fn take(&mut self, end: EndKey, sequence: u64) -> bool {
        let first = *self.sequences.entry(end).or_insert(sequence);
        sequence >= first + LIVING_HEARTBEATS
    }
}

impl NodeState {
    /// Takes back the ends of targets that run on; returns the requests that they were held against.
    fn retract_living(&mut self) -> Vec<RequestKey> {
        let targets = self.registry.records();
        let ends = targets.map(|one| (EndKey::new(&one.id, one.born), one.sequence));
        let known = self.suspects.known_ends();
        let accused: Vec<(EndKey, u64)> = ends.filter(|(end, _)| known.contains(end)).collect();
        let living = &mut self.living;
        living.sequences.retain(|end, _| known.contains(end));
        let mut freed = Vec::new();
        for (end, sequence) in accused {
            if living.take(end, sequence) {
                freed.extend(self.suspects.retract(end));
            }
        }
        freed
    }
}

impl NodeState {
    /// Says whether a control host is known that speaks the first form only.
    pub(super) fn has_first_form_control(&self) -> bool {
        let mut subscribers = self.subscribers.values();
        subscribers.any(|one| one.control && one.form == Some(MessageVersion::V1))
    }

    /// Says whether all control hosts that are connected know of roll-outs.
    pub(super) fn knows_rollouts(&self) -> bool {
        let mut controls = self.subscribers.values().filter(|one| one.control);
        controls.all(|one| one.form >= Some(MessageVersion::V3))
    }
}

impl DirectoryNode {
    /// Notes the form that a subscriber speaks, which it did not announce.
    pub(crate) fn note_form(&self, subscriber: u64, peer: &str, form: MessageVersion) {
        if let Some(known) = self.lock().subscribers.get_mut(&subscriber) {
            known.form = Some(form);
        }
        let detail = format!("peer={peer} form={form}");
        self.record(EventCode::PeerEarlier, &detail);
    }

    /// Takes what another process holds against requests, and tells the others what is news to them.
    pub(crate) fn take_suspects(&self, records: &[SuspectRecord]) {
        if records.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut news = false;
        {
            let mut state = self.lock();
            let book = &mut state.suspects;
            for record in records {
                news |= book.merge(record, now) && book.is_shared(record.subject.key);
            }
        }
        if news {
            self.wake();
        }
    }

    /// Returns what is held against requests, for operators.
    pub fn suspects(&self) -> Vec<SuspectRecord> {
        self.lock().suspects.records(Instant::now())
    }

    /// Returns how many requests are held.
    pub fn held_count(&self) -> usize {
        self.lock().suspects.counts().0
    }

    /// Frees a request at an operator's word; says whether anything was held against it.
    pub fn release_suspect(&self, key: RequestKey) -> bool {
        let known = self.lock().suspects.acquit(key);
        if known {
            let detail = format!("key={key} cause=an operator");
            self.record(EventCode::RequestReleased, &detail);
            self.wake();
        }
        known
    }

    /// Decides on requests, takes back what did not hold, and forgets what is old.
    pub(crate) fn keep_suspects(&self, now: Instant) {
        let mut state = self.lock();
        if state.suspects.is_empty() {
            return;
        }
        let before = state.suspects.number();
        state.suspects.settle(now);
        let freed = state.retract_living();
        state.suspects.expire(now);
        let changed = state.suspects.number() != before;
        drop(state);
        for key in freed {
            let detail = format!("key={key} cause=its target runs on");
            self.record(EventCode::RequestAcquitted, &detail);
        }
        if changed {
            self.wake();
        }
    }
}

/// Takes the held requests that the log keeps, as after a start.
pub(super) async fn take_held(node: DirectoryNode) {
    let mut holds = node.shared.machine.holds();
    holds.mark_changed();
    while holds.changed().await.is_ok() {
        let kept = node.shared.machine.held_requests();
        if !kept.is_empty() {
            let detail = format!("requests={}", kept.len());
            node.record(EventCode::HoldKept, &detail);
        }
        node.take_suspects(&kept);
    }
}

/// Has the log keep the requests that are held.
pub(super) async fn keep_held(node: DirectoryNode) {
    loop {
        sleep(KEEPING_PERIOD).await;
        node.keep_held().await;
    }
}

#[cfg(test)]
mod tests;
