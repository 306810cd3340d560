//! Requests suspected of crashing targets, on a control host; and the check whether a target whose
//! crash was reported is still running.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_quarantine::{CrashKey, RequestKey, SuspectRecord};
use linnet_telemetry::EventCode;
use linnet_wire::MessageVersion;
use tokio::time::sleep;

use super::{DirectoryError, DirectoryNode, NodeState};

/// Number of heartbeats after which a target whose crash was reported is known to be running. One
/// or two may have been sent before the reported crash.
const MIN_PROOF_HEARTBEATS: u64 = 3;

/// How often the held requests are compared with the log. A request that became held within this
/// time before a complete loss of power has to be detected again.
const PERSIST_INTERVAL: Duration = Duration::from_millis(250);

/// For each incarnation of a target whose crash was reported, the sequence of its last heartbeat
/// when the report arrived.
#[derive(Default)]
pub(crate) struct LivenessProbes {
    sequences: HashMap<CrashKey, u64>,
}

impl LivenessProbes {
    /// Compares a heartbeat of an incarnation whose crash was reported with the first known one;
    /// returns whether it proves that the incarnation is still running.
    fn proves_running(&mut self, end: CrashKey, sequence: u64) -> bool {
        let first = *self.sequences.entry(end).or_insert(sequence);
        sequence >= first + MIN_PROOF_HEARTBEATS
    }
}

impl NodeState {
    /// Retracts reported crashes of targets that are still running; returns the requests that were
    /// suspected because of them.
    fn retract_refuted_crashes(&mut self) -> Vec<RequestKey> {
        let mut known = self.suspects.known_crashes();
        known.extend(self.parts.known_crashes());
        let probes = &mut self.liveness_probes;
        probes.sequences.retain(|end, _| known.contains(end));
        if known.is_empty() {
            return Vec::new();
        }
        let targets = self.registry.last_sequences();
        let firsts = targets.map(|(one, sequence)| (CrashKey::new(&one.id, one.born), sequence));
        // Further crashes are recorded only after the first one.
        let firsts = firsts.filter(|(first, _)| known.contains(first));
        let ends = firsts.flat_map(|(first, sequence)| {
            (0..CrashKey::MAX_CRASHES).map(move |number| (first.nth(number), sequence))
        });
        let reported: Vec<(CrashKey, u64)> = ends.filter(|(end, _)| known.contains(end)).collect();
        let mut cleared = Vec::new();
        for (end, sequence) in reported {
            if probes.proves_running(end, sequence) {
                cleared.extend(self.suspects.retract_crash(end));
                self.parts.retract_crash(end);
            }
        }
        cleared
    }
}

impl NodeState {
    /// Returns whether a connected control host speaks only message version 1.
    pub(super) fn has_v1_control(&self) -> bool {
        let mut subscribers = self.subscribers.values();
        subscribers.any(|one| one.is_control && one.message_version == Some(MessageVersion::V1))
    }

    /// Returns whether all connected control hosts support a message version.
    pub(super) fn all_controls_support(&self, version: MessageVersion) -> bool {
        let mut controls = self.subscribers.values().filter(|one| one.is_control);
        controls.all(|one| one.message_version >= Some(version))
    }
}

impl DirectoryNode {
    /// Records the message version of a subscriber that did not announce it.
    pub(crate) fn record_message_version(
        &self,
        subscriber_id: u64,
        peer: &str,
        message_version: MessageVersion,
    ) {
        if let Some(known) = self.lock().subscribers.get_mut(&subscriber_id) {
            known.message_version = Some(message_version);
        }
        let detail = format!("peer={peer} form={message_version}");
        self.record(EventCode::PeerEarlier, &detail);
    }

    /// Merges records of suspected requests from another process, and wakes the pushes if others
    /// need them.
    pub(crate) fn merge_suspects(&self, records: &[SuspectRecord]) {
        if records.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut changed = false;
        {
            let mut state = self.lock();
            let store = &mut state.suspects;
            for record in records {
                changed |= store.merge(record, now) && store.is_shared(record.subject.key);
            }
        }
        if changed {
            self.notify_subscribers();
        }
    }

    /// Returns the records of suspected requests, for operators.
    pub fn suspects(&self) -> Vec<SuspectRecord> {
        self.lock().suspects.records(Instant::now())
    }

    /// Returns the number of held requests.
    pub fn held_count(&self) -> usize {
        self.lock().suspects.counts().0
    }

    /// Releases a held request on an operator's order; returns whether there was a record of it.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::OrderOutdated`] changes nothing.
    pub fn release_suspect(&self, key: RequestKey) -> Result<bool, DirectoryError> {
        self.admit_order()?;
        let known = self.lock().suspects.clear_request(key);
        if known {
            let detail = format!("key={key} cause=an operator");
            self.record(EventCode::RequestReleased, &detail);
            self.notify_subscribers();
        }
        Ok(known)
    }

    /// Decides which suspected requests to hold, retracts crashes that were refuted, and removes
    /// old records.
    pub(crate) fn update_suspects(&self, now: Instant) {
        let mut state = self.lock();
        if state.suspects.is_empty() && state.parts.is_empty() {
            return;
        }
        let revisions = |state: &NodeState| (state.suspects.revision(), state.parts.revision());
        let before = revisions(&state);
        state.parts.decide_due(now);
        let explained = state.parts.attributed_crashes();
        state.suspects.set_explained(explained);
        state.suspects.decide_due(now);
        let cleared = state.retract_refuted_crashes();
        state.suspects.expire(now);
        state.parts.expire(now);
        let changed = revisions(&state) != before;
        drop(state);
        for key in cleared {
            let detail = format!("key={key} cause=target still running");
            self.record(EventCode::RequestAcquitted, &detail);
        }
        if changed {
            self.notify_subscribers();
        }
    }
}

/// Loads the held requests from the log, at the start and after each change.
pub(super) async fn load_held_requests(node: DirectoryNode) {
    let mut changes = node.shared.machine.held_request_changes();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        let held = node.shared.machine.held_requests();
        if !held.is_empty() {
            let detail = format!("requests={}", held.len());
            node.record(EventCode::HoldKept, &detail);
        }
        node.merge_suspects(&held);
    }
}

/// Periodically writes the held requests to the log.
pub(super) async fn persist_held_requests(node: DirectoryNode) {
    loop {
        sleep(PERSIST_INTERVAL).await;
        node.persist_held_requests().await;
    }
}

#[cfg(test)]
mod tests;
